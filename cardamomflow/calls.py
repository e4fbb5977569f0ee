"""Calls to backend servers: their documents and the check of answers.

Sans-I/O. An answer counts only when it names the attempt, the shard, the
version and the map revision that were asked for.
"""

import random
from typing import Any, NamedTuple

from cardamomflow import backends, errors, limits, queries

# Share of the remaining time that a first attempt may use, so that another
# replica can still be asked.
FIRST_ATTEMPT_SHARE = 0.6
# A hedge has to have more time left than it has waited.
LATEST_HEDGE_SHARE = 0.25
RESERVE_S = 0.004
_ATTEMPT_ID_BITS = 64


def new_attempt_id(generator: random.Random) -> str:
    """Return the id that an answer has to name."""
    return f'{generator.getrandbits(_ATTEMPT_ID_BITS):016x}'


class Call(NamedTuple):
    """A call to a backend server and the items that it carries."""

    backend_id: str
    items_by_attempt: dict[str, queries.QueryItem]
    started_at: float
    hedged: bool

    @property
    def first_item(self) -> queries.QueryItem:
        """The item that the call was made for."""
        return next(iter(self.items_by_attempt.values()))

    @property
    def repeated(self) -> bool:
        """Whether an attempt was sent before for any item."""
        return any(
            item.attempts_sent > 1 for item in self.items_by_attempt.values()
        )

    def open_items(self) -> list[queries.QueryItem]:
        """Return the items that wait for this call alone."""
        return [
            item
            for attempt, item in self.items_by_attempt.items()
            if list(item.backends_by_attempt) == [attempt] and not item.settled
        ]

    def timeout_s(self, now: float, *, has_other_replica: bool) -> float:
        """Return how long the call may take, in seconds.

        While another replica is left, the call ends early enough to ask it.
        A share of the deadline and not of the measured latency: a timeout
        close to the usual latency cuts every call when all become slower,
        and the work that is cut is done again.
        """
        remaining_s = self._remaining_s(now)
        if self.hedged or self.repeated or not has_other_replica:
            return remaining_s
        return remaining_s * FIRST_ATTEMPT_SHARE

    def hedge_at(self, hedge_delay_s: float) -> float:
        """Return when to hedge, early enough for the answer to matter.

        The measured delay is no guide after a stall, whose timeouts raise
        it for as many calls as it remembers.
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


class Checked(NamedTuple):
    """Answers of a call, sorted by what they are worth.

    Attributes
    ----------
    answered : list
        Item and rows of each valid answer.
    refused : list
        Item and reason of each refusal.
    rejected : list
        Items whose answer is missing or is not what was asked for.
    unasked : list
        Answers that name no attempt of the call.
    """

    answered: list[tuple[queries.QueryItem, list[Any]]]
    refused: list[tuple[queries.QueryItem, str]]
    rejected: list[queries.QueryItem]
    unasked: list[Any]

    @property
    def violated(self) -> bool:
        """Whether the peer did not answer as asked."""
        return bool(self.rejected or self.unasked)


def check_answers(call: Call, answers: Any) -> Checked:
    """Sort the answers of a call.

    Raises
    ------
    errors.ProtocolViolation
        The answer has no list of items.
    """
    if not isinstance(answers, list):
        raise errors.ProtocolViolation('the answer lists no items')
    checked = Checked([], [], [], [])
    waiting = dict(call.items_by_attempt)
    for answer in answers:
        item = waiting.pop(_attempt_of(answer), None)
        if item is None:
            checked.unasked.append(answer)
        else:
            _sort_answer(answer, item, checked)
    checked.rejected.extend(waiting.values())
    return checked


def _attempt_of(answer: Any) -> str | None:
    attempt = answer.get('attempt') if isinstance(answer, dict) else None
    return attempt if isinstance(attempt, str) else None


def _sort_answer(
    answer: dict[str, Any], item: queries.QueryItem, checked: Checked
) -> None:
    if 'error' in answer:
        checked.refused.append((item, str(answer['error'])))
    elif _matches(answer, item):
        checked.answered.append((item, answer['rows']))
    else:
        checked.rejected.append(item)


def _matches(answer: dict[str, Any], item: queries.QueryItem) -> bool:
    snapshot = item.job.snapshot
    found = tuple(
        answer.get(key) for key in ('shard', 'version', 'map_revision')
    )
    wanted = (item.shard.shard, snapshot.version, snapshot.map_revision)
    return found == wanted and _are_rows(answer.get('rows'))


def _are_rows(rows: Any) -> bool:
    return isinstance(rows, list) and all(map(_is_row, rows))


def _is_row(row: Any) -> bool:
    if not isinstance(row, dict):
        return False
    score = row.get('score')
    return isinstance(row.get('id'), str) and isinstance(score, int | float)


def outcome_of(error: errors.FlowError) -> limits.CallOutcome:
    """Return what a failure says about the backend server."""
    match error:
        case errors.BackendRefused():
            return limits.CallOutcome.SHED
        case errors.DeadlineExceeded():
            return limits.CallOutcome.TIMEOUT
        case errors.ConnectFailed():
            return limits.CallOutcome.REFUSED_CONNECTION
        case _:
            return limits.CallOutcome.FAILED
