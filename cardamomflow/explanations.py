"""Text explanations of the configuration and of traces; pure functions."""

from collections.abc import Iterator
from typing import Any

from cardamomflow import configuration, register, rules

_INDENT = '  '
_US_PER_MS = 1000
_MS_PER_S = 1000


def explain(
    config: configuration.Configuration,
    target: str,
    work: str | None,
    rank: str | None,
) -> list[str]:
    """Return the configuration that applies to a request, as lines of text.

    Parameters
    ----------
    config : configuration.Configuration
    target : str
        Service or index that the request names.
    work, rank : str or None
        As in the request; the work takes precedence.

    Raises
    ------
    errors.NotFound, errors.BadRequest
        The request names something that is not in the configuration.
    """
    index = config.register.index_of(target)
    services = config.register.services_of(target)
    request_rank = config.rules.rank_of(work, rank)
    lines = [f'revision: {config.revision}']
    lines.extend(_explain_rank(config.rules, request_rank, work))
    lines.extend(_explain_repetition(config.rules, work))
    lines.extend(_explain_target(index, services))
    for name in services:
        lines.extend(_explain_service(config.register, name))
    return lines


def _explain_rank(
    rule_set: rules.Rules, rank: rules.Rank, work: str | None
) -> list[str]:
    rule = rule_set.rules_by_rank[rank]
    reason = f'from the rules for work {work}' if work else 'from the request'
    return [
        f'rank: {rank.label} ({reason})',
        f'target: {rule.target_ms} ms for 99 in 100 requests, also the'
        ' default deadline',
        f'minimum share: {rule.minimum_share:.0%} of the capacity while other'
        ' ranks flood',
        'maximum share of one customer:'
        f' {rule_set.customer_maximum_share:.0%} of the rank while others wait',
    ]


def _explain_repetition(rule_set: rules.Rules, work: str | None) -> list[str]:
    if work is not None and not rule_set.work_named(work).repeatable:
        return [
            'hedged: no, the work is not repeatable',
            'repeated: no, it runs at most once; only an attempt that'
            ' certainly did not start is followed by another',
        ]
    hedging = rule_set.hedging
    return [
        'hedged: as a query yes, after the p95 latency of the service and'
        f' {hedging.minimum_delay_ms:g} ms at least, up to'
        f' {hedging.extra_load_share:.0%} extra attempts; as an operation no',
        'repeated: as a query yes, up to'
        f' {rule_set.retries.budget_share:.0%} of the attempts; as an'
        ' operation only when the attempt certainly did not start',
    ]


def _explain_target(
    index: register.Index, services: tuple[str, ...]
) -> list[str]:
    maps = ' or '.join(
        f'map {revision} with {shards} shards for each service'
        for revision, shards in sorted(index.shards_by_map.items())
    )
    newest = index.shards_by_map[max(index.shards_by_map)]
    return [
        f'index: {index.name}; one snapshot, under {maps}',
        f'services: {", ".join(services)}',
        f'shards: {newest * len(services)} under map'
        f' {max(index.shards_by_map)}',
    ]


def _explain_service(assets: register.Register, name: str) -> Iterator[str]:
    service = assets.services_by_name[name]
    yield (
        f'{name}: {service.slots} slots and {service.connections} connections'
        ' for each backend server, a new connection costs'
        f' {service.connection_cost_ms:g} ms'
    )
    for backend in assets.backends_by_service[name]:
        allowance = assets.connection_allowance(backend.backend_id)
        leaving = ', leaving: gets no new work' if backend.leaving else ''
        yield (
            f'{_INDENT}{backend.backend_id} at {backend.address}:'
            f'{backend.port} in {backend.availability_zone}: at most'
            f' {allowance} connections from one aggregator, one of them for'
            f' status and cancellation{leaving}'
        )


def render_trace(spans: list[Any]) -> list[str]:
    """Render spans as a tree, one line each.

    A span whose parent is not among the spans is shown as a root. The offset
    of each span is from the earliest start; the clocks of hosts differ.
    """
    by_id = {span['span_id']: span for span in spans}
    ordered = sorted(by_id.values(), key=_start)
    children_by_parent: dict[str | None, list[Any]] = {}
    for span in ordered:
        parent = span.get('parent_span_id')
        shown_parent = parent if parent in by_id else None
        children_by_parent.setdefault(shown_parent, []).append(span)
    if not ordered:
        return []
    return list(_render_spans(children_by_parent, None, _start(ordered[0]), ''))


def _start(span: Any) -> float:
    return span['start_unix_s']


def _render_spans(
    children_by_parent: dict[str | None, list[Any]],
    parent: str | None,
    earliest_s: float,
    indent: str,
) -> Iterator[str]:
    # Each list is removed when rendered, so spans that name each other as
    # parent do not recurse without end.
    for span in children_by_parent.pop(parent, ()):
        yield f'{indent}{_render_span(span, earliest_s)}'
        yield from _render_spans(
            children_by_parent,
            span['span_id'],
            earliest_s,
            f'{indent}{_INDENT}',
        )


def _render_span(span: Any, earliest_s: float) -> str:
    offset_ms = (_start(span) - earliest_s) * _MS_PER_S
    duration_ms = span['duration_us'] / _US_PER_MS
    attributes = ''.join(
        f' {name}={attribute}'
        for name, attribute in sorted(span.get('attributes', {}).items())
    )
    return (
        f'{span["name"]} {duration_ms:.3f} ms at +{offset_ms:.3f} ms on'
        f' {span["process"]}{attributes}'
    )
