"""Report and plots of an experiment."""

import collections
import pathlib
import statistics
from collections.abc import Iterable, Iterator, Sequence

from cardamomflow import plotting
from lab import experiments

_PERCENT = 100


def lines(
    outcomes: Sequence[experiments.Outcome], decisions: Sequence[str]
) -> Iterator[str]:
    """Return a Markdown report.

    Goodput is the worth that callers got, of the worth that they asked for;
    a caller who got nothing, or an answer after the target, is not served.
    """
    groups = list(_groups(outcomes, decisions))
    yield (
        '| deployment, scenario | decisions | goodput | at best'
        ' | attempts / needed |'
    )
    yield '| --- | --- | --- | --- | --- |'
    for title, each, found in groups:
        yield (
            f'| {title} | {each}'
            f' | {_mean(one.goodput for one in found):.3f}'
            f' | {_mean(one.best_goodput for one in found):.3f}'
            f' | {_mean(one.extra_load for one in found):.3f} |'
        )
    yield ''
    yield (
        '| deployment, scenario | kind | decisions | in target | coverage'
        ' | p50 / p99 / p99.9 ms | not answered |'
    )
    yield '| --- | --- | --- | --- | --- | --- | --- |'
    for group in groups:
        yield from _kind_rows(*group)


def draw(
    outcomes: Sequence[experiments.Outcome],
    decisions: Sequence[str],
    path: pathlib.Path,
) -> None:
    """Draw goodput and waiting parts over time, a row for each scenario.

    Raises
    ------
    click.UsageError
        matplotlib, a development dependency, is not installed.
    """
    rows = list(experiments.by_scenario(outcomes))
    drawn = plotting.create_figure(figsize=(12, 2.4 * len(rows)))
    axes = drawn.subplots(len(rows), 3, squeeze=False)
    for row, (deployment, scenario) in zip(axes, rows, strict=True):
        row[0].set_ylabel(f'{deployment}\n{scenario}')
        for each in decisions:
            found = experiments.select(outcomes, deployment, scenario, each)
            _draw_row(row, found, each)
    for axis, title in zip(
        axes[0],
        ('worth a second', 'parts that wait', 'in target, % by kind'),
        strict=True,
    ):
        axis.set_title(title)
    axes[0][0].legend()
    drawn.savefig(path)


def _draw_row(
    row: Sequence[object],
    found: Sequence[experiments.Outcome],
    decisions: str,
) -> None:
    samples = found[0].samples
    times = [sample[0] for sample in samples]
    worth, waiting, in_target = row
    rates = [
        (later[2] - earlier[2]) / (later[0] - earlier[0])
        for earlier, later in zip(samples[:-10], samples[10:], strict=True)
    ]
    worth.plot(times[10:], rates, label=decisions)
    waiting.plot(times, [sample[1] for sample in samples])
    in_target.plot(
        [kind.kind for kind in found[0].kinds],
        [
            _PERCENT * _mean(one.kinds[place].in_target for one in found)
            for place in range(len(found[0].kinds))
        ],
        'o',
    )


def _groups(
    outcomes: Sequence[experiments.Outcome], decisions: Sequence[str]
) -> Iterator[tuple[str, str, list[experiments.Outcome]]]:
    """Yield a title, the decisions, and the outcomes of all seeds."""
    for deployment, scenario in experiments.by_scenario(outcomes):
        for each in decisions:
            yield (
                f'{deployment}, {scenario}',
                each,
                experiments.select(outcomes, deployment, scenario, each),
            )


def _kind_rows(
    title: str, decisions: str, found: Sequence[experiments.Outcome]
) -> Iterator[str]:
    for place, first in enumerate(found[0].kinds):
        kinds = [one.kinds[place] for one in found]
        quantiles = ' / '.join(
            f'{_mean(values):.0f}'
            for values in zip(
                *((kind.p50_ms, kind.p99_ms, kind.p999_ms) for kind in kinds),
                strict=True,
            )
        )
        yield (
            f'| {title} | {first.kind} ({first.rank}) | {decisions}'
            f' | {_mean(kind.in_target for kind in kinds):.3f}'
            f' | {_mean(kind.coverage for kind in kinds):.3f}'
            f' | {quantiles} | {_not_answered(kinds)} |'
        )


def _not_answered(kinds: Sequence[experiments.KindFigures]) -> str:
    """Return how requests without an answer ended, over all seeds."""
    total: collections.Counter[str] = collections.Counter()
    for kind in kinds:
        total.update(kind.ended)
    return ', '.join(
        f'{count} {name}'
        for name, count in sorted(total.items())
        if name != 'answered'
    )


def _mean(values: Iterable[float]) -> float:
    return statistics.fmean(values)
