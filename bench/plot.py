"""Draw the slopes of `build/bench.json` for `docs/CAPACITY.md`.

Command: `python -m bench.plot docs/capacity.png`, after `make bench`.
"""

import json
import pathlib
import sys
from typing import NamedTuple

from matplotlib import pyplot

from bench import fit
from bench import run as bench_run


class Panel(NamedTuple):
    """A straight line through the figures `<prefix>.<size>.<name>`."""

    prefix: str
    name: str
    x_label: str
    y_label: str


PANELS = (
    Panel('control', 'bytes', 'members', 'bytes/s per node'),
    Panel('control', 'cpu', 'members', '% of a core per node'),
    Panel('path.entry', 'cpu', 'services per query', 'entry, us per query'),
    Panel(
        'path.aggregator',
        'cpu',
        'services per query',
        'aggregator, us per query',
    ),
)


def _points(
    values_by_name: dict[str, float], panel: Panel
) -> list[tuple[int, float]]:
    points = []
    for name, value in values_by_name.items():
        rest = name.removeprefix(f'{panel.prefix}.')
        size, _, figure = rest.partition('.')
        if rest != name and size.isdigit() and figure == panel.name:
            points.append((int(size), value))
    return sorted(points)


def draw(path: pathlib.Path) -> None:
    """Draw all panels into one file."""
    rows = json.loads(bench_run.OUTPUT.read_text())
    values_by_name = {row['name']: row['value'] for row in rows}
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 7))
    for panel, axis in zip(PANELS, axes.flat, strict=True):
        sizes, values = zip(*_points(values_by_name, panel), strict=True)
        line = fit.line(sizes, values)
        axis.plot(sizes, values, 'o')
        axis.plot(sizes, [line.at(size) for size in sizes], '-')
        axis.set_xlabel(panel.x_label)
        axis.set_ylabel(panel.y_label)
        axis.set_title(f'{line.offset:.4g} + {line.slope:.4g} x')
    figure.tight_layout()
    figure.savefig(path)


if __name__ == '__main__':
    draw(pathlib.Path(sys.argv[1]))
