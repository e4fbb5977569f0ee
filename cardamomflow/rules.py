"""Rules of operators: ranks, kinds of work and limits; immutable, no I/O."""

import enum
from typing import Any, NamedTuple

from cardamomflow import errors, settings


class Rank(enum.IntEnum):
    """Rank of work; a smaller number is more urgent."""

    URGENT = 1
    STANDARD = 2
    BULK = 3

    @classmethod
    def from_name(cls, name: str) -> 'Rank':
        """Return the rank with a lower-case name.

        Raises
        ------
        errors.BadRequest
            There is no such rank.
        """
        try:
            return cls[name.upper()]
        except KeyError:
            names = ', '.join(rank.label for rank in cls)
            raise errors.BadRequest(
                f'unknown rank {name!r}, use one of {names}'
            ) from None

    @property
    def label(self) -> str:
        """The rank's name in documents, metrics and requests."""
        return self.name.lower()


class RankRule(NamedTuple):
    """Latency target and minimum share of a rank.

    Attributes
    ----------
    target_ms : int
        Latency target for 99 in 100 requests.
    minimum_share : float
        Share of capacity reserved for the rank while other ranks overload
        the service.
    """

    target_ms: int
    minimum_share: float


class Work(NamedTuple):
    """A kind of work."""

    name: str
    rank: Rank
    repeatable: bool


class Hedging(NamedTuple):
    """Limits on hedged attempts.

    Attributes
    ----------
    extra_load_share : float
        Maximum number of hedged attempts per first attempt.
    minimum_delay_ms : float
    """

    extra_load_share: float = 0.05
    minimum_delay_ms: float = 5.0


class Retries(NamedTuple):
    """Limits on retries.

    Attributes
    ----------
    budget_share : float
        Maximum number of retried attempts per first attempt.
    backoff_ms : float
        Mean delay before the first retry.
    """

    budget_share: float = 0.1
    backoff_ms: float = 5.0


class Rules(NamedTuple):
    """The typed rules."""

    rules_by_rank: dict[Rank, RankRule]
    work_by_name: dict[str, Work]
    hedging: Hedging
    retries: Retries
    customer_maximum_share: float

    @classmethod
    def from_document(cls, document: Any, source: str = 'rules') -> 'Rules':
        """Build the rules from a document.

        Raises
        ------
        errors.InvalidDocument
            Lists every problem of the document.
        """
        settings.require_valid(document, 'rules', source, _cross_check)
        return cls.build(document)

    @classmethod
    def build(cls, document: Any) -> 'Rules':
        """Build the rules from a document without checking it again."""
        return cls(
            rules_by_rank={
                Rank.from_name(name): RankRule(
                    rank['target_ms'], rank['minimum_share']
                )
                for name, rank in document['ranks'].items()
            },
            work_by_name={
                name: Work(
                    name,
                    Rank.from_name(work['rank']),
                    work.get('repeatable', True),
                )
                for name, work in document['work'].items()
            },
            hedging=Hedging(**document.get('hedging', {})),
            retries=Retries(**document.get('retries', {})),
            customer_maximum_share=document.get('customers', {}).get(
                'maximum_share', 1.0
            ),
        )

    def rank_of(self, work: str | None, rank: str | None) -> Rank:
        """Return the rank of a request from its work or its rank.

        The rank of a named kind of work comes from the rules, so that a
        caller can't raise it.

        Raises
        ------
        errors.BadRequest
            Neither is given, or the rank does not exist.
        errors.NotFound
            The kind of work is not in the rules.
        """
        if work is not None:
            return self.work_named(work).rank
        if rank is not None:
            return Rank.from_name(rank)
        raise errors.BadRequest('give the kind of work or the rank')

    def work_named(self, name: str) -> Work:
        """Return a kind of work.

        Raises
        ------
        errors.NotFound
            The kind of work is not in the rules.
        """
        work = self.work_by_name.get(name)
        if work is None:
            names = ', '.join(sorted(self.work_by_name))
            raise errors.NotFound(
                f'no work is named {name!r}; the rules have {names}'
            )
        return work


def _cross_check(document: Any, source: str) -> list[errors.SettingsProblem]:
    total_share = sum(
        rank['minimum_share'] for rank in document['ranks'].values()
    )
    if total_share <= 1:
        return []
    return [
        errors.SettingsProblem(
            source,
            'ranks',
            f'minimum shares that add up to {total_share:g}',
            'minimum shares that add up to 1 at most',
        )
    ]
