"""Publish protocol of operators, see `docs/design.md`, 5 and 13.

Validates a proposal and writes it to the platform. A result is reported only
when it is certain: if an answer is lost, the same write is sent again. This is
safe because both copies have the same publish id and expect the same
modification number. The copy that is applied first fences the other, so a late
copy can't change a reported result.

Writes only the key of the configuration. `publications` encodes and decodes
the stored document.
"""

import time
from collections.abc import Sequence
from typing import Any

import curio

from cardamomflow import (
    configuration,
    errors,
    fleet,
    platform,
    publications,
    register,
    rules,
)

RESOLVE_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2


class PublishConflict(errors.Conflict):
    """Another operator published first; nothing was published.

    Attributes
    ----------
    stored_revision : int
        Revision that the platform has.
    changes : list of str
        Changes of the other publications, one line each.
    """

    def __init__(
        self, based_on: int, stored: publications.StoredConfiguration
    ) -> None:
        """Describe the changes since the revision `based_on`."""
        self.stored_revision = stored.revision
        self.changes = stored.changes_since(based_on)
        lines = [
            f'not published: the change is based on revision {based_on} and'
            f' the platform has revision {stored.revision}',
            *self.changes,
            'Next: merge these changes into your files and publish again with'
            f' --based-on {stored.revision}.',
        ]
        super().__init__('\n'.join(lines))


class PlatformBehind(errors.Conflict):
    """The platform returned a revision older than one in force."""

    def __init__(
        self, stored_revision: int, newest: fleet.RevisionReport
    ) -> None:
        """Describe both revisions and the process with the newer one."""
        super().__init__(
            f'not published: the platform returned revision {stored_revision},'
            f' but {newest.endpoint} has revision {newest.revision} in force,'
            ' so the platform returned old data or lost data.\nNext: wait and'
            f' try again. If the platform lost revision {newest.revision} for'
            f' good, publish with --recover --based-on {newest.revision}.'
        )


class FleetUnreachable(errors.PlatformUnavailable):
    """No agent or entry of the settings reported its revision."""

    def __init__(self, reports: Sequence[fleet.RevisionReport]) -> None:
        """List the problem of each process."""
        lines = [f'{report.endpoint}: {report.problem}' for report in reports]
        super().__init__(
            'not published: no agent or entry of the settings answered, so'
            ' a newer revision may be in force\n'
            + '\n'.join(lines)
            + '\nNext: correct the settings, or publish with'
            ' --without-fleet when no process is running yet.'
        )


async def read(store: platform.Platform) -> publications.StoredConfiguration:
    """Return the configuration that the platform stores.

    Raises
    ------
    errors.PlatformUnavailable, errors.InvalidDocument
        The configuration can't be read.
    """
    return publications.StoredConfiguration(await store.read(configuration.KEY))


class Publisher:
    """Publishes one proposal at a time."""

    def __init__(
        self,
        store: platform.Platform,
        resolve_timeout_s: float = RESOLVE_TIMEOUT_S,
        retry_delay_s: float = RETRY_DELAY_S,
    ) -> None:
        """Create a publisher.

        Parameters
        ----------
        store : platform.Platform
        resolve_timeout_s : float
            How long to retry after a lost answer before the outcome is
            reported as unknown.
        retry_delay_s : float
            Pause between two attempts.
        """
        self._store = store
        self._resolve_timeout_s = resolve_timeout_s
        self._retry_delay_s = retry_delay_s

    async def publish(
        self,
        proposal: publications.Proposal,
        reports: Sequence[fleet.RevisionReport] = (),
    ) -> publications.PublishResult:
        """Store a proposal as the next revision.

        Parameters
        ----------
        proposal : publications.Proposal
        reports : sequence of fleet.RevisionReport
            Revisions in force as reported by agents and entries.

        Raises
        ------
        errors.InvalidDocument
            The documents are not valid; nothing was published.
        PublishConflict
            Another operator published first; nothing was published.
        PlatformBehind
            A process has a newer revision in force than the platform;
            nothing was published.
        FleetUnreachable
            Every report lacks a revision; nothing was published.
        errors.PlatformUnavailable
            The platform could not be reached; nothing was published.
        errors.OutcomeUnknown
            The answer was lost and the outcome could not be determined.
        """
        check_documents(proposal.register, proposal.rules)
        try:
            stored = await self._prepare(proposal, reports)
        except errors.FlowError as error:
            # A refusal of this run does not show the outcome of an earlier
            # run.
            if proposal.repeated and not isinstance(error, PublishConflict):
                raise _outcome_unknown(proposal) from error
            raise
        if isinstance(stored, publications.PublishResult):
            return stored
        return await self._write_until_confirmed(_Attempt(stored, proposal))

    async def _prepare(
        self,
        proposal: publications.Proposal,
        reports: Sequence[fleet.RevisionReport],
    ) -> publications.PublishResult | publications.StoredConfiguration:
        """Return an earlier run's result, or the stored configuration."""
        stored = await read(self._store)
        result = publications.find_result(stored, proposal)
        if result is not None:
            return result
        _check_base(stored, proposal, reports)
        return stored

    async def _write_until_confirmed(
        self, attempt: '_Attempt'
    ) -> publications.PublishResult:
        deadline = time.monotonic() + self._resolve_timeout_s
        while True:
            published = await self._write_once(attempt)
            if published is None:
                published = await self._read_outcome(attempt)
            if published is not None:
                return published
            if time.monotonic() >= deadline:
                raise _outcome_unknown(attempt.proposal)
            await curio.sleep(self._retry_delay_s)

    async def _write_once(
        self, attempt: '_Attempt'
    ) -> publications.PublishResult | None:
        """Send the write; return None if its outcome is unknown."""
        try:
            entry = await self._store.compare_and_swap(
                configuration.KEY, attempt.payload, attempt.expected
            )
        except platform.Conflict as conflict:
            return attempt.resolve(conflict.present)
        except errors.OutcomeUnknown:
            attempt.may_be_applied = True
            return None
        except errors.FlowError:
            # This copy had no effect, but an earlier one may be applied.
            if attempt.may_be_applied:
                return None
            raise
        return attempt.resolve(entry)

    async def _read_outcome(
        self, attempt: '_Attempt'
    ) -> publications.PublishResult | None:
        try:
            entry = await self._store.read(configuration.KEY)
        except errors.PlatformUnavailable:
            return None
        # A stale read proves nothing. The platform checks the next write
        # against the newest value.
        if entry is None or entry.revision <= attempt.expected:
            return None
        return attempt.resolve(entry)


class _Attempt:
    """State of the write of one proposal.

    Attributes
    ----------
    may_be_applied : bool
        Whether a write without an answer has been or may be applied.
    """

    def __init__(
        self,
        stored: publications.StoredConfiguration,
        proposal: publications.Proposal,
    ) -> None:
        self.proposal = proposal
        self.expected = stored.modification_number
        self.payload = configuration.compress(stored.make_successor(proposal))
        self.may_be_applied = proposal.repeated

    def resolve(
        self, entry: platform.Entry | None
    ) -> publications.PublishResult:
        """Return or raise the outcome, given an entry newer than expected.

        Modification numbers are never reused, so no copy of the write can be
        applied any more.
        """
        stored = publications.decode(entry)
        result = stored and publications.find_result(stored, self.proposal)
        if result is not None:
            return result
        if stored is None or stored.has_dropped(self.proposal.revision):
            raise self._undecided_error()
        raise PublishConflict(self.proposal.based_on, stored)

    def _undecided_error(self) -> errors.FlowError:
        if self.may_be_applied:
            return _outcome_unknown(self.proposal)
        return errors.Conflict(
            'not published: the platform stores a configuration that does not'
            f' show its changes since revision {self.proposal.based_on}.\n'
            'Next: see `cardamomflow show`.'
        )


def _outcome_unknown(proposal: publications.Proposal) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        f'it is not known whether revision {proposal.revision} was published:'
        ' the answer of the platform was lost and the outcome could not be'
        ' determined since.\nNext: repeat the same command with'
        f' --publish-id {proposal.publish_id}; it determines the outcome and'
        ' never publishes twice.'
    )


def check_documents(
    register_document: Any,
    rules_document: Any,
    register_source: str = 'register',
    rules_source: str = 'rules',
) -> None:
    """Validate both documents.

    Parameters
    ----------
    register_document, rules_document : object
    register_source, rules_source : str
        Origins of the documents, shown in the problems.

    Raises
    ------
    errors.InvalidDocument
        Lists every problem of both documents.
    """
    problems: list[errors.SettingsProblem] = []
    for parse, document, source in (
        (register.Register.from_document, register_document, register_source),
        (rules.Rules.from_document, rules_document, rules_source),
    ):
        try:
            parse(document, source)
        except errors.InvalidDocument as error:
            problems.extend(error.problems)
    if problems:
        raise errors.InvalidDocument(problems)


def _check_base(
    stored: publications.StoredConfiguration,
    proposal: publications.Proposal,
    reports: Sequence[fleet.RevisionReport],
) -> None:
    newest = _newest_report(reports)
    if newest is not None and newest.revision > stored.revision:
        if not proposal.recover:
            raise PlatformBehind(stored.revision, newest)
        if proposal.based_on == newest.revision:
            return
    elif proposal.based_on == stored.revision:
        return
    if proposal.repeated and stored.find_publication(proposal.revision) is None:
        raise _outcome_unknown(proposal)
    raise PublishConflict(proposal.based_on, stored)


def _newest_report(reports: Sequence[fleet.RevisionReport]) -> Any:
    answered = [report for report in reports if report.revision is not None]
    if reports and not answered:
        raise FleetUnreachable(reports)
    return max(answered, key=lambda report: report.revision or 0, default=None)
