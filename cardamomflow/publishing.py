"""Publish protocol of operators, see `docs/design.md`, 5 and 13.

Owns the step from a checked document to the platform's accepted one. A
result is reported only when it is certain: after a lost answer the same
write is sent again, which is safe because both copies carry the same
publish id and expect the same modification number. Whichever copy is applied
fences the other, so a late copy can't change a reported result.

Changes no key but the configuration's. What the stored document holds is
read and made by `publications`.
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
    present : int
        Revision that the platform has.
    changes : list of str
        What the others changed, one line each.
    """

    def __init__(self, based_on: int, present: publications.Stored) -> None:
        """Describe the changes since the revision that was edited."""
        self.present = present.revision
        self.changes = present.changes_since(based_on)
        lines = [
            f'not published: the change is based on revision {based_on} and'
            f' the platform has revision {present.revision}',
            *self.changes,
            'Next: merge these changes into your files and publish again with'
            f' --based-on {present.revision}.',
        ]
        super().__init__('\n'.join(lines))


class PlatformBehind(errors.Conflict):
    """The platform returned an older revision than one in force."""

    def __init__(self, present: int, newest: fleet.Sighting) -> None:
        """Name the process that has the newer revision."""
        super().__init__(
            f'not published: the platform returned revision {present}, but'
            f' {newest.endpoint} has revision {newest.revision} in force, so'
            ' the platform served or lost data.\nNext: wait and try again. If'
            f' the platform lost revision {newest.revision} for good, publish'
            f' with --recover --based-on {newest.revision}.'
        )


class FleetUnreachable(errors.PlatformUnavailable):
    """No agent or entry of the settings told its revision."""

    def __init__(self, sightings: Sequence[fleet.Sighting]) -> None:
        """List why none answered."""
        lines = [
            f'{sighting.endpoint}: {sighting.problem}' for sighting in sightings
        ]
        super().__init__(
            'not published: no agent or entry of the settings answered, so'
            ' a newer revision may be in force\n'
            + '\n'.join(lines)
            + '\nNext: correct the settings, or publish with'
            ' --without-fleet when no process is running yet.'
        )


async def read(store: platform.Platform) -> publications.Stored:
    """Return the configuration that the platform holds.

    Raises
    ------
    errors.PlatformUnavailable, errors.InvalidDocument
        It can't be read.
    """
    return publications.Stored(await store.read(configuration.KEY))


class Publisher:
    """Publishes one proposal at a time."""

    def __init__(
        self,
        store: platform.Platform,
        resolve_timeout_s: float = RESOLVE_TIMEOUT_S,
        retry_delay_s: float = RETRY_DELAY_S,
    ) -> None:
        """Take the platform.

        Parameters
        ----------
        store : platform.Platform
        resolve_timeout_s : float
            How long to work on a lost answer before the outcome is reported
            as unknown.
        retry_delay_s : float
            Pause between two attempts.
        """
        self._store = store
        self._resolve_timeout_s = resolve_timeout_s
        self._retry_delay_s = retry_delay_s

    async def publish(
        self,
        proposal: publications.Proposal,
        sightings: Sequence[fleet.Sighting] = (),
    ) -> publications.Published:
        """Store a proposal as the next revision.

        Parameters
        ----------
        proposal : publications.Proposal
        sightings : sequence of fleet.Sighting
            What agents and entries reported as in force.

        Raises
        ------
        errors.InvalidDocument
            The documents are not valid; nothing was published.
        PublishConflict
            Another operator published first; nothing was published.
        PlatformBehind
            The platform is older than the fleet; nothing was published.
        FleetUnreachable
            There are sightings, and none holds an answer.
        errors.PlatformUnavailable
            The platform could not be reached; nothing was published.
        errors.OutcomeUnknown
            The answer was lost and the outcome could not be found out.
        """
        check(proposal.register, proposal.rules)
        try:
            present = await self._prepare(proposal, sightings)
        except errors.FlowError as error:
            # A refusal of this run does not tell what an earlier run did.
            if proposal.repeated and not isinstance(error, PublishConflict):
                raise _unknown(proposal) from error
            raise
        if isinstance(present, publications.Published):
            return present
        return await self._store_until_certain(_Attempt(present, proposal))

    async def _prepare(
        self,
        proposal: publications.Proposal,
        sightings: Sequence[fleet.Sighting],
    ) -> publications.Published | publications.Stored:
        """Return what to replace, or the publication of an earlier run."""
        present = await read(self._store)
        own = publications.find_own(present, proposal)
        if own is not None:
            return own
        _check_base(present, proposal, sightings)
        return present

    async def _store_until_certain(
        self, attempt: '_Attempt'
    ) -> publications.Published:
        give_up_at = time.monotonic() + self._resolve_timeout_s
        while True:
            published = await self._store_once(attempt)
            if published is None:
                published = await self._read_again(attempt)
            if published is not None:
                return published
            if time.monotonic() >= give_up_at:
                raise _unknown(attempt.proposal)
            await curio.sleep(self._retry_delay_s)

    async def _store_once(
        self, attempt: '_Attempt'
    ) -> publications.Published | None:
        """Send the write; return None when its outcome is open."""
        try:
            stored = await self._store.compare_and_swap(
                configuration.KEY, attempt.payload, attempt.expected
            )
        except platform.Conflict as conflict:
            return attempt.judge(conflict.present)
        except errors.OutcomeUnknown:
            attempt.lost = True
            return None
        except errors.FlowError:
            # This copy had no effect, but an earlier one may still have.
            if attempt.lost:
                return None
            raise
        return attempt.judge(stored)

    async def _read_again(
        self, attempt: '_Attempt'
    ) -> publications.Published | None:
        try:
            entry = await self._store.read(configuration.KEY)
        except errors.PlatformUnavailable:
            return None
        # An old value proves nothing; the next write asks the store itself.
        if entry is None or entry.revision <= attempt.expected:
            return None
        return attempt.judge(entry)


class _Attempt:
    """One proposal on its way into the store.

    Attributes
    ----------
    lost : bool
        Whether a copy of the write may be applied without an answer.
    """

    def __init__(
        self, present: publications.Stored, proposal: publications.Proposal
    ) -> None:
        self.proposal = proposal
        self.expected = present.modification
        self.payload = configuration.compress(present.successor(proposal))
        self.lost = proposal.repeated

    def judge(self, entry: platform.Entry | None) -> publications.Published:
        """Tell from an entry above the expected one what became of it.

        The expected modification number does not come back, so no copy of
        the write can be applied any more.
        """
        present = publications.decode(entry)
        own = present and publications.find_own(present, self.proposal)
        if own is not None:
            return own
        if present is None or present.hides(self.proposal.revision):
            raise self._undecided()
        raise PublishConflict(self.proposal.based_on, present)

    def _undecided(self) -> errors.FlowError:
        if self.lost:
            return _unknown(self.proposal)
        return errors.Conflict(
            'not published: the platform holds a configuration that does not'
            f' tell how it follows revision {self.proposal.based_on}.\n'
            'Next: see `cardamomflow show`.'
        )


def _unknown(proposal: publications.Proposal) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        f'it is not known whether revision {proposal.revision} was published:'
        ' the answer of the platform was lost and it could not be found out'
        ' since.\nNext: repeat the same command with'
        f' --publish-id {proposal.publish_id}; it finds out and never'
        ' publishes twice.'
    )


def check(
    register_document: Any,
    rules_document: Any,
    register_source: str = 'register',
    rules_source: str = 'rules',
) -> None:
    """Check both documents.

    Parameters
    ----------
    register_document, rules_document : object
    register_source, rules_source : str
        Origins of the documents, named in the problems.

    Raises
    ------
    errors.InvalidDocument
        Lists every problem of both.
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
    present: publications.Stored,
    proposal: publications.Proposal,
    sightings: Sequence[fleet.Sighting],
) -> None:
    newest = _newest_sighting(sightings)
    if newest is not None and newest.revision > present.revision:
        if not proposal.recover:
            raise PlatformBehind(present.revision, newest)
        if proposal.based_on == newest.revision:
            return
    elif proposal.based_on == present.revision:
        return
    if proposal.repeated and present.publication(proposal.revision) is None:
        raise _unknown(proposal)
    raise PublishConflict(proposal.based_on, present)


def _newest_sighting(sightings: Sequence[fleet.Sighting]) -> Any:
    answered = [found for found in sightings if found.revision is not None]
    if sightings and not answered:
        raise FleetUnreachable(sightings)
    return max(answered, key=lambda found: found.revision or 0, default=None)
