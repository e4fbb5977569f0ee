"""Model of the limits of client accounts over a fleet, without network.

Runs the decisions of `cardamomflow.quotas` in virtual time, with the order of
messages of `service`. Links have a fixed latency and lose nothing; the hosts
agree on the holders. `tests/quotaworld.py` has the model with faults.
"""

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from cardamomflow import frames, routing
from cardamomflow.accounts import table
from cardamomflow.generated import wire_pb2
from cardamomflow.quotas import allocation, bucket, messages

NEAR_S = 0.0001
FAR_S = 0.001
BORROW_TIMEOUT_S = 0.015
TICK_S = 0.25
_USUAL_ID = messages.REQUEST_IDS // 2


class Place(NamedTuple):
    """A host in a zone."""

    zone: int
    number: int

    @property
    def host_id(self) -> str:
        """Id of the host."""
        return f'host-{self.zone}-{self.number}'


class Outcome(NamedTuple):
    """End of one request.

    Attributes
    ----------
    time : float
        Virtual time in seconds.
    place : Place
    account : str
    is_admitted : bool
    wait_s : float
        Time for which the request waited for its token.
    """

    time: float
    place: Place
    account: str
    is_admitted: bool
    wait_s: float


class _Tokens:
    """State of one account at one host."""

    def __init__(self, place: Place, tokens: allocation.Allocation) -> None:
        self.place = place
        self.tokens = tokens
        self.is_asking = False
        # What continues at the end of the inquiry.
        self.waiting: list[Callable[[], None]] = []


class Fleet:
    """Hosts that share the limits of accounts.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    outcomes : list of Outcome
    messages : int
    bytes_by_place : dict
        Bytes that each host has sent and received for tokens.
    """

    def __init__(
        self,
        zones: int,
        hosts_per_zone: int,
        accounts: Iterable[table.Account],
        seed: int = 1,
    ) -> None:
        """Create the hosts; the holders start with full buckets."""
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self.places = [
            Place(zone, number)
            for zone in range(zones)
            for number in range(hosts_per_zone)
        ]
        self.bytes_by_place = dict.fromkeys(self.places, 0)
        self.messages = 0
        self.random = random.Random(seed)
        self._zones = zones
        self._accounts = {account.name: account for account in accounts}
        self._states: dict[tuple[Place, str], _Tokens] = {}
        self._askers = {place: allocation.Askers() for place in self.places}
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._request_ids = itertools.count(1)
        self._turn = itertools.count()
        self._holders: dict[tuple[str, int], Place] = {}
        for name in self._accounts:
            for zone in range(zones):
                self._start_holder(name, zone)

    def configure(self, account: table.Account) -> None:
        """Apply another limit at all hosts."""
        self._accounts[account.name] = account
        limit = self._limit(account)
        for (_, name), state in self._states.items():
            if name == account.name:
                state.tokens.configure(account, limit, self.now)

    def add_requests(
        self,
        account: str,
        rates_by_place: Mapping[Place, float],
        begin: float,
        end: float,
    ) -> None:
        """Add Poisson arrivals of requests, in requests per second."""
        for place, rate_per_s in rates_by_place.items():
            at = begin
            while rate_per_s:
                at += self.random.expovariate(rate_per_s)
                if at >= end:
                    break
                self._call_at(at, self._arrive, place, account)

    def run(self, until: float) -> None:
        """Process all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, handle, arguments = heapq.heappop(self._events)
            handle(*arguments)
        self.now = until

    def admitted_share(
        self, account: str, begin: float, end: float = math.inf
    ) -> float:
        """Return the share of admitted requests in a time."""
        ends = [
            outcome.is_admitted
            for outcome in self.outcomes
            if outcome.account == account and begin <= outcome.time < end
        ]
        return sum(ends) / len(ends)

    def most_in_window(
        self, account: str, window_s: float, begin: float = 0
    ) -> int:
        """Return the most admitted requests in any window after a time."""
        times = sorted(
            outcome.time
            for outcome in self.outcomes
            if outcome.account == account
            and outcome.is_admitted
            and outcome.time >= begin
        )
        most = 0
        first = 0
        for count, time in enumerate(times, 1):
            while times[first] < time - window_s:
                first += 1
            most = max(most, count - first)
        return most

    def _limit(self, account: table.Account) -> bucket.Limit:
        return bucket.zone_limit(account, self._zones, bucket.Reserve())

    def _start_holder(self, name: str, zone: int) -> None:
        places = [place for place in self.places if place.zone == zone]
        place = max(places, key=lambda held: routing.score(name, held.host_id))
        self._holders[name, zone] = place
        state = self._state(place, name)
        # The bucket has been filling for a minute.
        state.tokens.set_role(-60.0, -60.0)
        self._call_at(self.random.uniform(0, TICK_S), self._tick_holder, state)

    def _tick_holder(self, state: _Tokens) -> None:
        self._ask_ahead(state)
        self._call_at(self.now + TICK_S, self._tick_holder, state)

    def _state(self, place: Place, name: str) -> _Tokens:
        key = (place, name)
        if key not in self._states:
            account = self._accounts[name]
            self._states[key] = _Tokens(
                place,
                allocation.Allocation(
                    account, self._limit(account), self._askers[place]
                ),
            )
        return self._states[key]

    def _call_at(
        self, at: float, handle: Callable[..., None], *arguments: Any
    ) -> None:
        heapq.heappush(self._events, (at, next(self._order), handle, arguments))

    # Requests of callers.

    def _arrive(self, place: Place, name: str) -> None:
        state = self._state(place, name)
        state.tokens.record_demand(self.now)
        self._admit(state, self.now)

    def _admit(self, state: _Tokens, arrived_at: float) -> None:
        permit = state.tokens.take(self.now)
        is_refused = state.tokens.current_refusal(self.now) is not None
        if permit is None and not is_refused:
            self._ask(state, functools.partial(self._admit, state, arrived_at))
            return
        self.outcomes.append(
            Outcome(
                self.now,
                state.place,
                state.tokens.account.name,
                permit is not None,
                self.now - arrived_at,
            )
        )
        if permit is not None:
            self._ask_ahead(state)

    # Questions, in the order of `service`.

    def _ask_ahead(self, state: _Tokens) -> None:
        tokens = state.tokens
        if (
            not state.is_asking
            and tokens.should_ask_ahead(self.now)
            and tokens.current_refusal(self.now) is None
        ):
            self._ask(state)

    def _ask(
        self, state: _Tokens, then: Callable[[], None] | None = None
    ) -> None:
        if then is not None:
            state.waiting.append(then)
        if state.is_asking:
            return
        state.is_asking = True
        name = state.tokens.account.name
        zones = [
            zone for zone in range(self._zones) if zone != state.place.zone
        ]
        if zones:
            turn = next(self._turn) % len(zones)
            zones = zones[turn:] + zones[:turn]
        if not state.tokens.is_holder:
            zones.insert(0, state.place.zone)
        inquiry = allocation.Inquiry(
            [self._holders[name, zone].host_id for zone in zones],
            state.tokens.wanted(self.now),
        )
        targets = {
            self._holders[name, zone].host_id: self._holders[name, zone]
            for zone in zones
        }
        self._ask_next(state, inquiry, iter(inquiry), targets)

    def _ask_next(
        self,
        state: _Tokens,
        inquiry: allocation.Inquiry,
        steps: Any,
        targets: dict[str, Place],
    ) -> None:
        host_id = next(steps, None)
        if host_id is None:
            self._end_inquiry(state, inquiry)
            return
        holder = self._state(targets[host_id], state.tokens.account.name)
        request_id = next(self._request_ids)
        is_foreign = holder.place.zone != state.place.zone
        state.tokens.loans.on_request_sent(request_id, self.now)
        asked_by = state.place.host_id if is_foreign else ''
        self._count(
            state,
            holder,
            _request_bytes(state.tokens.account.name, inquiry.wanted, asked_by),
        )

        def answer(grant: allocation.Grant) -> None:
            self._count(state, holder, _grant_bytes(grant))
            self._call_at(self.now + _latency(state, holder), receive, grant)

        def receive(grant: allocation.Grant) -> None:
            state.tokens.loans.on_grant(
                request_id, grant.tokens, grant.valid_s, self.now
            )
            inquiry.on_grant(grant, is_decisive=not is_foreign)
            self._ask_next(state, inquiry, steps, targets)

        self._call_at(
            self.now + _latency(state, holder),
            self._on_request,
            holder,
            state.place,
            inquiry.wanted,
            answer,
        )

    def _end_inquiry(self, state: _Tokens, inquiry: allocation.Inquiry) -> None:
        if not inquiry.granted:
            state.tokens.on_refused(inquiry.wait_s, self.now)
        state.is_asking = False
        waiting, state.waiting = state.waiting, []
        for proceed in waiting:
            proceed()

    def _on_request(
        self,
        holder: _Tokens,
        asker: Place,
        wanted: int,
        answer: Callable[[allocation.Grant], None],
    ) -> None:
        tokens = holder.tokens
        is_foreign = asker.zone != holder.place.zone
        if not is_foreign:
            tokens.record_asked(wanted, self.now)
        lend = functools.partial(
            tokens.lend, asker, wanted, is_foreign=is_foreign
        )
        grant = lend(self.now)
        may_borrow = not grant.tokens and not is_foreign
        if may_borrow and tokens.current_refusal(self.now) is None:
            self._ask(holder, lambda: answer(lend(self.now)))
            return
        answer(grant)
        self._ask_ahead(holder)

    def _count(self, one: _Tokens, other: _Tokens, size: int) -> None:
        if one.place != other.place:
            self.messages += 1
            self.bytes_by_place[one.place] += size
            self.bytes_by_place[other.place] += size


def _latency(one: _Tokens, other: _Tokens) -> float:
    return NEAR_S if one.place.zone == other.place.zone else FAR_S


@functools.lru_cache(maxsize=4096)
def _request_bytes(name: str, wanted: int, asked_by: str) -> int:
    request = messages.build_request(name, wanted, asked_by)
    request.request_id = _USUAL_ID
    return len(frames.encode(wire_pb2.Envelope(token_request=request)))


@functools.lru_cache(maxsize=4096)
def _grant_bytes(grant: allocation.Grant) -> int:
    return len(frames.encode(messages.build_answer(_USUAL_ID, grant)))
