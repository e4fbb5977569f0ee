"""Report and plot of the traces in which a zone runs short."""

import pathlib
from collections.abc import Iterator, Sequence

from cardamomflow import plotting
from lab import zonetraces

Found = Sequence[tuple[zonetraces.Run, zonetraces.ZoneOutcome]]


def lines(found: Found) -> Iterator[str]:
    """Return a Markdown table; in target are the kinds of the first zone."""
    yield (
        '| trace | decisions | check / search / statement in target'
        ' | calls between zones | largest share | largest load by zone |'
    )
    yield '| --- | --- | --- | --- | --- | --- |'
    for run, outcome in found:
        in_target = ' / '.join(
            f'{share:.3f}'
            for (zone, _), share in outcome.in_target.items()
            if zone == zonetraces.ZONES[0]
        )
        loads = ', '.join(
            f'{zone} {load:.2f}' for zone, load in outcome.largest_load.items()
        )
        yield (
            f'| {run.name} | {run.decisions} | {in_target}'
            f' | {outcome.calls_between_zones}'
            f' | {_largest_share(outcome):.2f} | {loads} |'
        )


def draw(found: Found, path: pathlib.Path) -> None:
    """Draw the share of each zone over time, a row for each trace.

    Raises
    ------
    click.UsageError
        matplotlib, a development dependency, is not installed.
    """
    decided = [
        (run, outcome)
        for run, outcome in found
        if run.decisions == zonetraces.POLICY
    ]
    drawn = plotting.create_figure(figsize=(9, 2.2 * len(decided)))
    axes = drawn.subplots(len(decided), 1, squeeze=False)
    for (axis,), (run, outcome) in zip(axes, decided, strict=True):
        for zone, samples in outcome.shares.items():
            axis.plot(*zip(*samples, strict=True), label=f'zone {zone}')
        axis.set_ylabel(run.name)
        axis.set_ylim(0, 1)
    axes[0][0].set_title('share of the requests that may leave the zone')
    axes[0][0].legend()
    axes[-1][0].set_xlabel('s')
    drawn.savefig(path)


def _largest_share(outcome: zonetraces.ZoneOutcome) -> float:
    return max(
        share for samples in outcome.shares.values() for _, share in samples
    )
