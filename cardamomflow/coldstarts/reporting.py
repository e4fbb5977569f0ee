"""Metrics and log lines about cold backend servers.

Owns the names of the counters; `bound` decides.
"""

from cardamomflow import context, events
from cardamomflow.coldstarts import bound

_MS = 1000


class ColdReport:
    """Reports the cold backend servers of one host."""

    def __init__(
        self, process_context: context.Context, cold_servers: bound.ColdServers
    ) -> None:
        self._cold_servers = cold_servers
        self._metrics = process_context.metrics
        self._journal = process_context.journal
        self._metrics.register_gauge(
            'host.cold_backend_servers', lambda: cold_servers.count
        )

    def report_changes(self, now: float) -> None:
        """Report what was decided and which servers became cold or warm."""
        self._cold_servers.expire(now)
        for event in self._cold_servers.pop_events():
            is_cold = event.remaining_s > 0
            self._journal.info(
                events.Event.BACKEND_COLD
                if is_cold
                else events.Event.BACKEND_WARM,
                backend_id=event.backend_id,
                remaining_ms=round(event.remaining_s * _MS),
            )
        if self._cold_servers.counts:
            for decision, count in self._cold_servers.pop_counts().items():
                self._metrics.increment(
                    f'host.cold_requests.{decision.name.lower()}', count
                )
