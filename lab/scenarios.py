"""Patterns of load and faults that the decisions have to answer.

Each function arranges what happens at its times; `LENGTH_S` is a whole run.
Shares, factors and lengths are those of the troubles that the users list.
"""

from collections.abc import Callable
from typing import Any

from lab import worlds

LENGTH_S = 16.0
BEGIN_S = 4.0
# A dead backend server is listed for three beats of 1.2 s.
LISTED_AFTER_DEATH_S = 3.6
_HALF = 0.5


def _during(
    world: worlds.World,
    length_s: float,
    begin: Callable[[], None],
    end: Callable[[], None],
) -> None:
    world.clock.after(BEGIN_S, begin)
    world.clock.after(BEGIN_S + length_s, end)


def _sample(world: worlds.World, share: float) -> list[str]:
    """Return backend servers of shards, each of another shard if possible."""
    ids = [
        backend_id
        for backend_id in world.servers_by_id
        if backend_id.startswith('shard')
    ]
    return world.random.sample(ids, max(1, round(share * len(ids))))


def _of(world: worlds.World, service: str) -> list[str]:
    return [
        backend_id
        for backend_id, server in world.servers_by_id.items()
        if server.service.name == service
    ]


def _faulty(
    world: worlds.World,
    backend_ids: list[str],
    length_s: float,
    **faults: Any,
) -> None:
    """Let backend servers have faults for a time."""
    before = world.servers_by_id[backend_ids[0]].faults
    restored = {name: getattr(before, name) for name in faults}
    _during(
        world,
        length_s,
        lambda: world.change(backend_ids, **faults),
        lambda: world.change(backend_ids, **restored),
    )


def _flood(
    world: worlds.World, kind: str, factor: float, length_s: float
) -> None:
    rate = world.rates_by_kind[kind]
    _during(
        world,
        length_s,
        lambda: world.rates_by_kind.update({kind: rate * factor}),
        lambda: world.rates_by_kind.update({kind: rate}),
    )


def _die(
    world: worlds.World, backend_ids: list[str], length_s: float, **how: bool
) -> None:
    """Let backend servers die, leave the list late and come back cold."""
    world.clock.after(BEGIN_S, lambda: world.change(backend_ids, **how))
    if length_s > LISTED_AFTER_DEATH_S:
        world.clock.after(
            BEGIN_S + LISTED_AFTER_DEATH_S,
            lambda: world.set_listed(backend_ids, listed=False),
        )
    world.clock.after(BEGIN_S + length_s, lambda: _return(world, backend_ids))


def _return(world: worlds.World, backend_ids: list[str]) -> None:
    for backend_id in backend_ids:
        world.servers_by_id[backend_id].restart()
    world.set_listed(backend_ids, listed=True)


def steady(world: worlds.World) -> None:
    """Change nothing."""


def bulk_flood(world: worlds.World) -> None:
    """Flood of the least urgent kind behind a slow service."""
    _flood(world, 'statement', 6, 5)
    _faulty(world, _of(world, 'statements'), 5, factor=2.0)


def urgent_flood(world: worlds.World) -> None:
    """Flood of the most urgent kind."""
    _flood(world, 'check', 4, 4)


def straggler(world: worlds.World) -> None:
    """One slow backend server."""
    _faulty(world, _sample(world, 0), 8, factor=10.0)


def slow_across(world: worlds.World) -> None:
    """Slow backend servers of many shards."""
    _faulty(world, _sample(world, 0.15), 8, factor=10.0)


def gray(world: worlds.World) -> None:
    """Backend servers that fail at once while their health answer is good."""
    _faulty(world, _sample(world, 0.14), 6.5, failing_share=0.45)


def misleading(world: worlds.World) -> None:
    """Slow backend servers that report no load."""
    _faulty(world, _sample(world, 0.15), 8, factor=5.0, hides_load=True)


def dark(world: worlds.World) -> None:
    """Backend servers that fall silent."""
    _die(world, _sample(world, 0.14), 4.5, is_dark=True)


def lost_shard(world: worlds.World) -> None:
    """All backend servers of one shard crash."""
    _die(world, _of(world, 'shard-0'), 4.5, is_crashed=True)


def cold_zone(world: worlds.World) -> None:
    """A zone's backend servers crash and return cold."""
    zone = [
        backend_id
        for backend_id, server in world.servers_by_id.items()
        if server.zone == 'b'
    ]
    _die(world, zone, 4, is_crashed=True)


def return_of_all(world: worlds.World) -> None:
    """All backend servers are away for a second; callers come back."""
    _die(world, list(world.servers_by_id), 1, is_crashed=True)


def give_up(world: worlds.World) -> None:
    """Callers that leave early hold no slots."""
    _flood(world, 'search', 1.6, 6)
    _during(
        world,
        6,
        lambda: setattr(world, 'give_up_share', _HALF),
        lambda: setattr(world, 'give_up_share', 0),
    )


SCENARIOS_BY_NAME: dict[str, worlds.Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        steady,
        bulk_flood,
        urgent_flood,
        straggler,
        slow_across,
        gray,
        misleading,
        dark,
        lost_shard,
        cold_zone,
        return_of_all,
        give_up,
    )
}
