"""Calls to backend servers: their documents and the check of answers.

Sans-I/O. An answer is accepted only when it names the attempt, the shard, the
version and the map revision of the call.
"""

import random
from typing import Any, NamedTuple

from cardamomflow import backends, errors, limits, queries

# Share of the remaining time that a first attempt may use. The remainder is for
# a retry at another replica.
FIRST_ATTEMPT_SHARE = 0.6
# Share of the time after which a hedge is sent at the latest, so that it has
# more time left than the first attempt has used.
LATEST_HEDGE_SHARE = 0.25
RESERVE_S = 0.004
_ATTEMPT_ID_BITS = 64


def new_attempt_id(generator: random.Random) -> str:
    """Return a random id, which the answer has to repeat."""
    return f'{generator.getrandbits(_ATTEMPT_ID_BITS):016x}'


class Call(NamedTuple):
    """A call to a backend server and the items that it carries."""

    backend_id: str
    items_by_attempt: dict[str, queries.QueryItem]
    started_at: float
    hedged: bool

    @property
    def first_item(self) -> queries.QueryItem:
        """The first item of the call; all items have its snapshot."""
        return next(iter(self.items_by_attempt.values()))

    @property
    def repeated(self) -> bool:
        """Whether any item of the call was sent before."""
        return any(
            item.attempts_sent > 1 for item in self.items_by_attempt.values()
        )

    def open_items(self) -> list[queries.QueryItem]:
        """Return the unsettled items that no other call carries."""
        return [
            item
            for attempt, item in self.items_by_attempt.items()
            if list(item.backends_by_attempt) == [attempt] and not item.settled
        ]

    def timeout_s(self, now: float, *, has_other_replica: bool) -> float:
        """Return how long the call may take, in seconds.

        If there is another replica, the call ends early enough for a retry.
        The timeout is a share of the deadline, not of the measured latency: a
        timeout close to the usual latency would abort every call when all
        become slower, and the aborted work would be repeated.
        """
        remaining_s = self._remaining_s(now)
        if self.hedged or self.repeated or not has_other_replica:
            return remaining_s
        return remaining_s * FIRST_ATTEMPT_SHARE

    def hedge_at(self, hedge_delay_s: float) -> float:
        """Return when to hedge, early enough for the hedge to be answered.

        The measured delay alone is not enough: the timeouts of a stall raise
        it for as many calls as its window contains.
        """
        latest_s = self._remaining_s(self.started_at) * LATEST_HEDGE_SHARE
        return self.started_at + min(hedge_delay_s, latest_s)

    def _remaining_s(self, now: float) -> float:
        items = self.items_by_attempt.values()
        latest = max(item.job.deadline for item in items)
        return max(RESERVE_S, latest - now - RESERVE_S)

    def document(self, now: float, timeout_s: float) -> dict[str, Any]:
        """Return the body of the call."""
        snapshot = self.first_item.job.snapshot
        return {
            'index': snapshot.index,
            'version': snapshot.version,
            'map_revision': snapshot.map_revision,
            'budget_ms': backends.to_ms(timeout_s),
            'items': [
                {
                    'attempt': attempt,
                    'shard': item.shard.shard,
                    'budget_ms': backends.to_ms(item.job.deadline - now),
                    'query': item.job.query,
                }
                for attempt, item in self.items_by_attempt.items()
            ],
        }


class CheckedAnswers(NamedTuple):
    """Answers of a call by result.

    Attributes
    ----------
    answered : list
        Item and rows of each valid answer.
    refused : list
        Item and reason of each refusal.
    rejected : list
        Items whose answer is missing or does not match the call.
    unexpected : list
        Answers that name no attempt of the call.
    """

    answered: list[tuple[queries.QueryItem, list[Any]]]
    refused: list[tuple[queries.QueryItem, str]]
    rejected: list[queries.QueryItem]
    unexpected: list[Any]

    @property
    def has_violation(self) -> bool:
        """Whether an answer is missing, does not match or is unexpected."""
        return bool(self.rejected or self.unexpected)


def check_answers(call: Call, answers: Any) -> CheckedAnswers:
    """Match the answers of a call with its items.

    Raises
    ------
    errors.ProtocolViolation
        The answer has no list of items.
    """
    if not isinstance(answers, list):
        raise errors.ProtocolViolation('the answer lists no items')
    checked = CheckedAnswers([], [], [], [])
    unanswered = dict(call.items_by_attempt)
    for answer in answers:
        item = unanswered.pop(_attempt_id(answer), None)
        if item is None:
            checked.unexpected.append(answer)
        else:
            _classify_answer(answer, item, checked)
    checked.rejected.extend(unanswered.values())
    return checked


def _attempt_id(answer: Any) -> str | None:
    attempt = answer.get('attempt') if isinstance(answer, dict) else None
    return attempt if isinstance(attempt, str) else None


def _classify_answer(
    answer: dict[str, Any], item: queries.QueryItem, checked: CheckedAnswers
) -> None:
    if 'error' in answer:
        checked.refused.append((item, str(answer['error'])))
    elif _matches(answer, item):
        checked.answered.append((item, answer['rows']))
    else:
        checked.rejected.append(item)


def _matches(answer: dict[str, Any], item: queries.QueryItem) -> bool:
    snapshot = item.job.snapshot
    received = tuple(
        answer.get(key) for key in ('shard', 'version', 'map_revision')
    )
    expected = (item.shard.shard, snapshot.version, snapshot.map_revision)
    return received == expected and _are_rows(answer.get('rows'))


def _are_rows(rows: Any) -> bool:
    return isinstance(rows, list) and all(map(_is_row, rows))


def _is_row(row: Any) -> bool:
    if not isinstance(row, dict):
        return False
    score = row.get('score')
    return isinstance(row.get('id'), str) and isinstance(score, int | float)


def outcome_of(error: errors.FlowError) -> limits.CallOutcome:
    """Return the call outcome that an error stands for."""
    match error:
        case errors.BackendRefused():
            return limits.CallOutcome.SHED
        case errors.DeadlineExceeded():
            return limits.CallOutcome.TIMEOUT
        case errors.ConnectFailed():
            return limits.CallOutcome.REFUSED_CONNECTION
        case _:
            return limits.CallOutcome.FAILED
