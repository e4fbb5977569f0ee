"""Metrics and log lines of the work that leaves the zone of a host.

Owns the names of the pairs of zones. They come from the settings, so that their
number is bounded whatever zones backend servers are listed in.
"""

from cardamomflow import context, events, requeststate
from cardamomflow.zonespill import policy

# Zones with a name of their own in the metrics; further ones count as OTHER.
MAXIMUM_NAMED_ZONES = 16
OTHER = 'other'
_MS = 1000


class ZoneTraffic:
    """Counts what one host sends to other zones."""

    def __init__(
        self, process_context: context.Context, zone_policy: policy.Policy
    ) -> None:
        self._policy = zone_policy
        self._metrics = process_context.metrics
        self._journal = process_context.journal
        self._own_zone = process_context.settings['host']['availability_zone']
        named = sorted(process_context.settings.get('availability_zones', ()))
        self._pairs_by_zone = {
            zone: _pair(self._own_zone, zone)
            for zone in named[:MAXIMUM_NAMED_ZONES]
        }
        if zone_policy.is_active:
            self._metrics.register_gauge(
                'host.zone_share', lambda: zone_policy.largest_share
            )

    def record_attempt(self, attempt: requeststate.Attempt) -> None:
        """Count an attempt at a backend server of another zone."""
        if self._leaves(attempt):
            pair = self._pair_of(attempt)
            self._metrics.increment(f'host.zone_attempts.{pair}')

    def record_answer(
        self, attempt: requeststate.Attempt, reply: requeststate.Reply
    ) -> None:
        """Count the bytes of an answer from another zone."""
        if self._leaves(attempt):
            pair = self._pair_of(attempt)
            self._metrics.increment(
                f'host.zone_answer_bytes.{pair}', len(reply.body)
            )

    def report_changes(self) -> None:
        """Log the shares that have changed."""
        for change in self._policy.pop_changes():
            home_latency_ms = None
            if change.home_latency_s is not None:
                home_latency_ms = round(change.home_latency_s * _MS)
            self._journal.info(
                events.Event.ZONE_SHARE,
                service=change.service,
                share=round(change.share, 2),
                before=round(change.before, 2),
                zone=self._own_zone,
                home_latency_ms=home_latency_ms,
            )

    def _leaves(self, attempt: requeststate.Attempt) -> bool:
        is_remote = attempt.availability_zone != self._own_zone
        return self._policy.is_active and is_remote

    def _pair_of(self, attempt: requeststate.Attempt) -> str:
        other = _pair(self._own_zone, OTHER)
        return self._pairs_by_zone.get(attempt.availability_zone, other)


def _pair(own_zone: str, zone: str) -> str:
    """Return the label of a pair; a dot would end the name of the counter."""
    return f'{own_zone}>{zone}'.replace('.', '_')
