"""Faults of a running fleet, drawn from a source of randomness.

Owns how each fault begins and ends; knows nothing of requests and answers.
"""

import functools
import random
import signal
from collections.abc import Callable
from typing import Any, NamedTuple

from standins import fleet, network

ZONES = ('zone-a', 'zone-b', 'zone-c')


class Fault(NamedTuple):
    """A fault that can be begun and ended.

    Attributes
    ----------
    name : str
    begin, end : callable
    freezes : bool
        Whether a process stops answering; such faults begin last and end
        first, so that the controls of the others are reached.
    """

    name: str
    begin: Callable[[], None]
    end: Callable[[], None]
    freezes: bool = False


class FaultSource:
    """Draws faults of a fleet."""

    def __init__(self, running: fleet.Fleet, generator: random.Random) -> None:
        """Take the fleet, which must have a network."""
        self._running = running
        self._random = generator
        self._makers = (
            self._hanging_replica,
            self._draining_replica,
            self._silent_connections,
            self._paused_servers,
            self._paused_aggregator,
            self._killed_aggregator,
            self._killed_agent,
            self._platform_outage,
            self._lost_answers,
            self._zone_cut,
        )

    def pair(self) -> list[Fault]:
        """Return two faults, perhaps of one kind, in the order to begin."""
        faults = [self._random.choice(self._makers)() for _ in range(2)]
        return sorted(faults, key=lambda fault: fault.freezes)

    def _backend(self) -> str:
        return self._random.choice(list(self._running.backend_ports))

    def _controlled(self, name: str, **changes: Any) -> Fault:
        backend_id = self._backend()
        control = functools.partial(self._running.control, [backend_id])
        restored = {'gray': 'none', 'draining': False}
        return Fault(
            f'{name} {backend_id}',
            functools.partial(control, **changes),
            functools.partial(control, **restored),
        )

    def _hanging_replica(self) -> Fault:
        return self._controlled('hang', gray='hang')

    def _draining_replica(self) -> Fault:
        return self._controlled('drain', draining=True)

    def _silent_connections(self) -> Fault:
        return self._controlled('silence', silence_connections=True)

    def _paused_servers(self) -> Fault:
        names = [
            name
            for name in self._running.processes_by_name
            if name.startswith('backends-')
        ]
        return self._paused(self._random.choice(names))

    def _paused_aggregator(self) -> Fault:
        return self._paused(f'aggregator-{self._random.choice(ZONES)}')

    def _paused(self, name: str) -> Fault:
        def send(number: int) -> None:
            process = self._running.processes_by_name[name]
            if process.running:
                process.signal(number)

        return Fault(
            f'pause {name}',
            functools.partial(send, signal.SIGSTOP),
            functools.partial(send, signal.SIGCONT),
            freezes=True,
        )

    def _killed_aggregator(self) -> Fault:
        return self._killed('aggregator')

    def _killed_agent(self) -> Fault:
        return self._killed('agent')

    def _killed(self, program: str) -> Fault:
        zone = self._random.choice(ZONES)
        name = f'{program}-{zone}'

        def kill() -> None:
            self._running.processes_by_name[name].kill()

        def restart() -> None:
            if not self._running.processes_by_name[name].running:
                self._running.start_program(program, zone)

        return Fault(f'kill {name}', kill, restart)

    def _platform_outage(self) -> Fault:
        kind = self._random.choice(('hang', 'drop', 'error'))
        control = self._running.control_platform
        return Fault(
            f'platform {kind}',
            functools.partial(control, outage=kind),
            functools.partial(control, outage='none'),
        )

    def _lost_answers(self) -> Fault:
        kinds = ('applied', 'not_applied', 'late', 'none')
        losses = self._random.choices(kinds, k=20)
        control = self._running.control_platform
        return Fault(
            'platform loses answers',
            functools.partial(control, losses=losses),
            functools.partial(control, losses=[], apply_late_writes=True),
        )

    def _zone_cut(self) -> Fault:
        zone = self._random.choice(ZONES)
        others = [other for other in ZONES if other != zone]
        places = (*others, fleet.PLATFORM, network.OUTSIDE)
        return Fault(
            f'cut {zone}',
            functools.partial(self._running.network.cut, zone, places),
            self._running.network.heal,
        )
