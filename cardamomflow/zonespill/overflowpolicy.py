"""Decides for each attempt whether it leaves the zone; sans-I/O.

Owns the state of each service at one host. An attempt leaves only if the own
zone can't serve it in time, another zone probably can, and the share has a
credit for it. docs/design/leaving-the-zone.md says why.
"""

import math
import random as random_module
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from cardamomflow import requeststate, rules
from cardamomflow.zonespill import overflow, policy, servicestate

# Time that is planned for an attempt, as a multiple of the average latency. At
# the spread of work in the lab, 0.35, a tenth of the requests takes longer.
LATENCY_RESERVE = 1.5
# Part of the capacity that a rank is expected to get at least.
MINIMUM_LEFT_SHARE = 0.05
# The own zone has to take this many times longer than another one, so that
# figures which are a little too high or too low send nothing out.
MINIMUM_GAIN_FACTOR = 1.25
# Part of the time left until the target for which an attempt stays at the only
# backend server of the own zone without a comparison. A pause of that server
# holds up all that waits for it, and no other one there can take over.
LONE_SHARE = 0.2
# Time in seconds for which the open zones and their room are kept. Listing them
# takes as long as several decisions.
OPTIONS_KEPT_S = 0.1
# A share that has changed by less than this since the last line is not logged.
LOGGED_CHANGE = 0.1
_MS = 1000
# Looking up a member of an enumeration takes a twentieth of a decision.
_URGENT = rules.Rank.URGENT
_BULK = rules.Rank.BULK
_HOME = policy.Decision.HOME
_WAIT = policy.Decision.WAIT
_OVERFLOW = policy.Decision.OVERFLOW


class Settings(NamedTuple):
    """Settings of the policy.

    Attributes
    ----------
    share : overflow.ShareSettings
    round_trip_s : float
        Time in seconds that a call to another zone takes longer.
    gain_s_per_kb : float
        Seconds by which an answer has to be earlier for each KB of it.
    """

    share: overflow.ShareSettings = overflow.ShareSettings()
    round_trip_s: float = 0.003
    gain_s_per_kb: float = 0.001


class ZonePolicy(policy.Policy):
    """Keeps work in the own zone as long as that can serve it in time."""

    is_active = True

    def __init__(
        self,
        own_zone: str,
        settings: Settings,
        random: random_module.Random,
    ) -> None:
        """Start without figures.

        Parameters
        ----------
        own_zone : str
        settings : Settings
        random : random.Random
        """
        self._own_zone = own_zone
        self._settings = settings
        self._random = random
        self._services_by_name: dict[str, servicestate.ServiceState] = {}
        self._changes: list[policy.ShareChange] = []

    # Events.

    def record_queued(self, service: str, rank: rules.Rank) -> None:
        """Count a request that was enqueued; it has arrived before."""
        self._services_by_name[service].queued_by_rank[rank] += 1

    def record_dequeued(self, service: str, rank: rules.Rank) -> None:
        """Count a request that has left the queue."""
        self._services_by_name[service].queued_by_rank[rank] -= 1

    def record_start(
        self, service: str, zone: str, backend_id: str, now: float
    ) -> None:
        """Count an attempt that was sent."""
        state = self._service(service, now)
        state.figures(zone).record_start(backend_id)

    def record_end(
        self,
        attempt: requeststate.Attempt,
        reply: requeststate.Reply | None,
        now: float,
    ) -> None:
        """Count the end of an attempt, with its answer if there is one."""
        state = self._service(attempt.subrequest.service, now)
        zone = state.figures(attempt.availability_zone)
        zone.record_end(attempt.backend_id)
        if reply is None:
            return
        if reply.load is not None:
            zone.record_load(attempt.backend_id, reply.load, now)
        if reply.not_run:
            zone.record_refusal(attempt.backend_id, now)
        elif reply.succeeded:
            rank = attempt.subrequest.work.rank
            zone.record_latency(rank, now - attempt.started_at, now)
            state.answer_size.record(len(reply.body))

    def forget(self, service: str, backend_id: str) -> None:
        """Drop the reports of a backend server that is not listed."""
        state = self._services_by_name.get(service)
        if state is not None:
            for zone in state.figures_by_zone.values():
                zone.forget(backend_id)

    def retain(self, services: set[str]) -> None:
        """Drop the figures of services without attempts that no route names."""
        for name, state in list(self._services_by_name.items()):
            in_use = any(
                zone.in_flight for zone in state.figures_by_zone.values()
            )
            is_queued = any(state.queued_by_rank.values())
            if name not in services and not in_use and not is_queued:
                self._services_by_name.pop(name)

    # Results.

    def decide(
        self,
        query: policy.Query,
        free_by_zone: Mapping[str, Sequence[str]],
        now: float,
        *,
        has_home: bool,
    ) -> policy.Choice:
        """Keep an attempt at home unless that is too slow for it."""
        state = self._service(query.service, now)
        if query.is_first:
            state.overflow.record_arrival(query.rank, now)
            self._note_change(query.service, state, now)
        if query.lone_wait_s is not None:
            return self._compare(
                state, query, query.lone_wait_s, free_by_zone, now
            )
        if not has_home:
            return policy.Choice(
                policy.Decision.MISSING, self._missing(state, free_by_zone, now)
            )
        if query.is_hedge:
            home = free_by_zone.get(self._own_zone, ())
            return _stay(self._for_hedge(state, home, now))
        return self._keep_or_leave(state, query, free_by_zone, now)

    def shares_by_service(self) -> dict[str, float]:
        """Return the share of each service that may leave now."""
        return {
            name: state.overflow.share
            for name, state in self._services_by_name.items()
        }

    @property
    def largest_share(self) -> float:
        """The largest share of all services."""
        return max(self.shares_by_service().values(), default=0)

    def pop_changes(self) -> list[policy.ShareChange]:
        """Return the changes of shares since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _service(self, name: str, now: float) -> servicestate.ServiceState:
        state = self._services_by_name.get(name)
        if state is None:
            state = servicestate.ServiceState(
                self._settings.share, self._own_zone, now
            )
            self._services_by_name[name] = state
        return state

    def _keep_or_leave(
        self,
        state: servicestate.ServiceState,
        query: policy.Query,
        free_by_zone: Mapping[str, Sequence[str]],
        now: float,
    ) -> policy.Choice:
        """Let an attempt leave by the share if several servers are too slow."""
        home = free_by_zone.get(self._own_zone, ())
        home_s = self._home_s(state, query, is_free=bool(home), now=now)
        is_slow = now + home_s > _horizon(query, now)
        if is_slow:
            state.record_need(query, now)
        elif not state.makes_room(query.rank, now):
            return _stay(home)
        away = self._away(state, query, free_by_zone, home_s, now)
        if away:
            state.overflow.spend()
            return policy.Choice(_OVERFLOW, away, exceeds_zone=True)
        if not is_slow and state.home.in_flight:
            # An attempt that is in flight will end and ask again.
            return policy.Choice(_WAIT, ())
        return _stay(home, exceeds_zone=is_slow)

    def _home_s(
        self,
        state: servicestate.ServiceState,
        query: policy.Query,
        *,
        is_free: bool,
        now: float,
    ) -> float:
        """Return the expected time to an answer of the own zone."""
        home = state.home
        latency_s = home.rank_latency_s(query.rank, now)
        if latency_s is None:
            latency_s = home.latency_s(now)
        if latency_s is None:
            return 0
        expected_s = LATENCY_RESERVE * latency_s
        if is_free:
            return expected_s
        ahead = 0 if query.is_queued else state.ahead(query.rank)
        average_s = home.latency_s(now) or latency_s
        # Attempts of this host that end in a second, less those for more
        # urgent requests that arrive meanwhile.
        ends_per_s = max(1, home.in_flight) / average_s
        left_per_s = max(
            MINIMUM_LEFT_SHARE * ends_per_s,
            ends_per_s - state.overflow.urgent_rate(query.rank),
        )
        return expected_s + (ahead + 1) / left_per_s

    def _compare(
        self,
        state: servicestate.ServiceState,
        query: policy.Query,
        lone_wait_s: float,
        free_by_zone: Mapping[str, Sequence[str]],
        now: float,
    ) -> policy.Choice:
        """Stay at the only server at home if it is fast, else compare waits.

        Bulk work is kept out of zones that report to be full. Work of other
        ranks is not: in a burst with slow servers, up to 0.2 of the searches
        in the lab missed their target that way.
        """
        home = free_by_zone.get(self._own_zone, ())
        if home and lone_wait_s <= LONE_SHARE * (query.target_at - now):
            return _stay(home)
        compared = list(home)
        # Without an attempt in flight at home, nothing would ask again.
        may_wait = query.rank is _BULK and state.home.in_flight
        for zone, free in free_by_zone.items():
            if zone != self._own_zone and (
                not may_wait or state.figures(zone).is_open(query.rank, now)
            ):
                compared.extend(free)
        return policy.Choice(policy.Decision.COMPARE, compared)

    def _for_hedge(
        self, state: servicestate.ServiceState, home: Sequence[str], now: float
    ) -> Sequence[str]:
        """Return the backend servers of the own zone that may get a hedge."""
        if not state.is_short(now):
            return home
        return state.home.without_queue(home, now)

    def _away(
        self,
        state: servicestate.ServiceState,
        query: policy.Query,
        free_by_zone: Mapping[str, Sequence[str]],
        home_s: float,
        now: float,
    ) -> Sequence[str]:
        """Return the backend servers of another zone that is worth its cost.

        Work that makes room is sent wherever its deadline can be met, with the
        credits of the urgent work for which it leaves.
        """
        makes_room = state.makes_room(query.rank, now)
        paying_rank = _URGENT if makes_room else query.rank
        if not state.overflow.may_spend(paying_rank):
            return ()
        within_s = query.deadline - now
        if not makes_room:
            gain_s = self._settings.gain_s_per_kb * state.answer_size.average_kb
            within_s = min(within_s, home_s - gain_s)
        return self._choose_zone(state, query.rank, free_by_zone, within_s, now)

    def _remote_s(
        self,
        state: servicestate.ServiceState,
        zone: str,
        rank: rules.Rank,
        now: float,
    ) -> float:
        """Return the expected time to an answer of another zone.

        A zone without a recent answer is expected to be as fast as the own one
        was lately at its best.
        """
        latency_s = state.figures(zone).rank_latency_s(rank, now)
        if latency_s is not None:
            return LATENCY_RESERVE * latency_s
        home = state.home
        lowest_s = home.lowest_latency_s(rank)
        return LATENCY_RESERVE * lowest_s + self._settings.round_trip_s

    def _choose_zone(
        self,
        state: servicestate.ServiceState,
        rank: rules.Rank,
        free_by_zone: Mapping[str, Sequence[str]],
        within_s: float,
        now: float,
    ) -> Sequence[str]:
        """Return the backend servers with room in one zone that is faster.

        The zone is drawn in proportion to its room, so that hosts which decide
        at once do not all choose the same.
        """
        options = state.options_by_rank[rank]
        if now - options.listed_at >= OPTIONS_KEPT_S:
            options = self._list_options(state, rank, free_by_zone, now)
            state.options_by_rank[rank] = options
        chosen = self._draw(options.zones, within_s)
        if chosen is None:
            return ()
        if chosen.is_probe and state.figures(chosen.zone).in_flight:
            return ()
        free = free_by_zone.get(chosen.zone, ())
        return [each for each in free if each in chosen.backend_ids]

    def _draw(
        self, options: Sequence[servicestate.Option], within_s: float
    ) -> servicestate.Option | None:
        """Draw a zone that is fast enough, in proportion to its room."""
        found = []
        total: float = 0
        for option in options:
            if option.needed_s < within_s:
                total += option.room
                found.append(option)
        left = self._random.random() * total
        for drawn in found:
            left -= drawn.room
            if left < 0:
                return drawn
        return found[-1] if found else None

    def _list_options(
        self,
        state: servicestate.ServiceState,
        rank: rules.Rank,
        free_by_zone: Mapping[str, Sequence[str]],
        now: float,
    ) -> servicestate.Options:
        """Return the other zones that are open to a rank and have room."""
        options = []
        for zone, free in free_by_zone.items():
            remote = state.figures(zone)
            if zone == self._own_zone or not remote.is_open(rank, now):
                continue
            backend_ids, room = remote.with_room(free, now)
            if backend_ids:
                needed_s = MINIMUM_GAIN_FACTOR * self._remote_s(
                    state, zone, rank, now
                )
                options.append(
                    servicestate.Option(
                        zone,
                        needed_s,
                        room,
                        frozenset(backend_ids),
                        remote.is_full(rank),
                    )
                )
        return servicestate.Options(now, options)

    def _missing(
        self,
        state: servicestate.ServiceState,
        free_by_zone: Mapping[str, Sequence[str]],
        now: float,
    ) -> Sequence[str]:
        """Return where to send what the own zone can't serve at all."""
        within_room = self._choose_zone(
            state, rules.Rank.URGENT, free_by_zone, math.inf, now
        )
        if within_room:
            return within_room
        return [
            backend_id for free in free_by_zone.values() for backend_id in free
        ]

    def _note_change(
        self, service: str, state: servicestate.ServiceState, now: float
    ) -> None:
        """Note a share that began, ended or changed much."""
        current, before = state.overflow.share, state.logged_share
        if current == before:
            return
        if abs(current - before) >= LOGGED_CHANGE or not current or not before:
            state.logged_share = current
            home_s = state.home.latency_s(now)
            self._changes.append(
                policy.ShareChange(service, current, before, home_s)
            )


def create(settings: Any, random: random_module.Random) -> policy.Policy:
    """Return the policy that the settings of a host ask for.

    Parameters
    ----------
    settings : dict
        Checked settings of the host.
    random : random.Random
    """
    zones = set(settings.get('availability_zones', ()))
    own_zone = settings['host']['availability_zone']
    leaving = settings.get('leave_zone', {})
    if len(zones) <= 1 or not leaving.get('enabled', True):
        return policy.NEAREST
    defaults = Settings()
    return ZonePolicy(
        own_zone,
        Settings(
            overflow.ShareSettings(
                leaving.get('max_share', defaults.share.maximum),
                _seconds(leaving, 'grow_after_ms', defaults.share.grow_after_s),
                _seconds(leaving, 'fall_after_ms', defaults.share.fall_after_s),
            ),
            _seconds(leaving, 'round_trip_ms', defaults.round_trip_s),
            _seconds(leaving, 'gain_ms_per_kb', defaults.gain_s_per_kb),
        ),
        random,
    )


def _seconds(settings: Any, key: str, default_s: float) -> float:
    return settings[key] / _MS if key in settings else default_s


def _stay(home: Sequence[str], *, exceeds_zone: bool = False) -> policy.Choice:
    """Return the choice of an attempt that does not leave."""
    decision = _HOME if home else _WAIT
    return policy.Choice(decision, home, exceeds_zone)


def _horizon(query: policy.Query, now: float) -> float:
    """Return until when an answer is in time.

    Bulk work may take until its deadline, as may work whose target has passed.
    """
    if query.rank is _BULK or now >= query.target_at:
        return query.deadline
    return query.target_at
