"""Figures of a load run and their format as text and JSON; sans-I/O.

Owns the counts and latency histograms.
"""

from collections import Counter
from typing import Any, NamedTuple

from hdrh import histogram

_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000.0
_PERCENTILES = (('p50', 50), ('p99', 99), ('p99.9', 99.9))


class Latency:
    """Distribution of durations; recorded in seconds, read in ms."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram = histogram.HdrHistogram(
            1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )

    def record(self, duration_s: float) -> None:
        """Record a duration, clamped to between 1 us and 600 s."""
        duration_us = min(_MAX_LATENCY_US, max(1, int(duration_s * _US_PER_S)))
        self._histogram.record_value(duration_us)

    def percentile_ms(self, percentile: float) -> float:
        """Return the given percentile of the durations, in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / _US_PER_MS


class Tally:
    """Request counts and latency of one kind of work or one rank."""

    def __init__(self) -> None:
        """Create a tally without requests."""
        self.sent = 0
        self.good = 0
        self.answered_shards = 0
        self.total_shards = 0
        self.count_by_result: Counter[str] = Counter()
        self.count_by_outcome: Counter[str] = Counter()
        self.latency = Latency()

    def document(self, duration_s: float) -> dict[str, Any]:
        """Return the figures as a JSON object."""
        latency_ms = {
            name: self.latency.percentile_ms(percentile)
            for name, percentile in _PERCENTILES
        }
        return {
            'sent': self.sent,
            'goodput_per_s': round(self.good / duration_s, 3),
            'good_share': _share(self.good, self.sent),
            'latency_ms': latency_ms,
            'coverage': _share(self.answered_shards, self.total_shards),
            'results': dict(self.count_by_result),
            'outcomes': dict(self.count_by_outcome),
        }


class Report(NamedTuple):
    """Result of a run; latency is measured from the due times.

    Attributes
    ----------
    seed : int
    duration_s : float
    by_rank, by_work : dict of str to Tally
    send_lag_ms : float
        99th percentile of the delay of this tool behind the due times. A
        large value means that the tool itself is overloaded; split the
        flows over several processes.
    violations : list of str
        The first violations; `violation_count` counts all.
    violation_count : int
    """

    seed: int
    duration_s: float
    by_rank: dict[str, Tally]
    by_work: dict[str, Tally]
    send_lag_ms: float
    violations: list[str]
    violation_count: int

    def document(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
        return {
            'seed': self.seed,
            'duration_s': self.duration_s,
            'send_lag_p99_ms': self.send_lag_ms,
            'violation_count': self.violation_count,
            'violations': self.violations,
            'by_rank': self._tallies(self.by_rank),
            'by_work': self._tallies(self.by_work),
        }

    def text(self) -> str:
        """Return the report as human-readable text."""
        lines = [
            f'seed {self.seed}, {self.duration_s:g} s,'
            f' send lag p99 {self.send_lag_ms:.1f} ms,'
            f' violations {self.violation_count}'
        ]
        for title, tallies in (
            ('rank', self.by_rank),
            ('work', self.by_work),
        ):
            lines.append(
                f'{title:<16}{"sent":>8}{"good/s":>9}{"p50 ms":>9}'
                f'{"p99 ms":>9}{"p99.9 ms":>10}{"coverage":>10}  results'
            )
            for name, figures in self._tallies(tallies).items():
                lines.append(_format_tally(name, figures))
        lines.extend(self.violations)
        return '\n'.join(lines)

    def _tallies(self, tallies: dict[str, Tally]) -> dict[str, Any]:
        return {
            name: tally.document(self.duration_s)
            for name, tally in sorted(tallies.items())
        }


def _format_tally(name: str, figures: dict[str, Any]) -> str:
    latency = figures['latency_ms']
    counts = ', '.join(
        f'{code} {count}' for code, count in sorted(figures['results'].items())
    )
    return (
        f'{name:<16}{figures["sent"]:>8}{figures["goodput_per_s"]:>9.1f}'
        f'{latency["p50"]:>9.1f}{latency["p99"]:>9.1f}'
        f'{latency["p99.9"]:>10.1f}{figures["coverage"]:>10.4f}  {counts}'
    )


def _share(count: int, total: int) -> float:
    return round(count / total, 6) if total else 1.0
