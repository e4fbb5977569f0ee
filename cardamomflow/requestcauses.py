"""Explanations of failed or late requests from log lines; pure functions."""

import json
from collections.abc import Iterable
from typing import Any

from cardamomflow import events, requestlog

_INDENT = '  '
MAX_SHOWN_SERVICES = 5
MAX_SHOWN_ATTEMPTS = 2
_REQUEST_EVENTS = frozenset(
    (events.Event.REQUEST_ENDED, events.Event.REQUEST_REFUSED)
)


def parse(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the JSON objects in log lines.

    Text before an object is ignored. Lines without a complete object, such as
    those truncated when a process was killed, are skipped.
    """
    documents = []
    for line in lines:
        _, brace, remainder = line.partition('{')
        try:
            document = json.loads(brace + remainder)
        except ValueError:
            continue
        if isinstance(document, dict):
            documents.append(document)
    return documents


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the attempts of a request as a tree, then its cause."""
    documents = parse(lines)
    matching = [
        document
        for document in documents
        if document.get('request_id') == request_id
        and document.get('event') in _REQUEST_EVENTS
    ]
    if not matching:
        return [f'cause: not known; {_explain_no_match(documents)}']
    explanation = []
    for document in matching:
        explanation.extend(_render_request(document))
        explanation.append(f'cause: {_render_cause(document)}')
    return explanation


def explain_failures(lines: Iterable[str]) -> list[str]:
    """Return the cause of each request without a complete answer in time.

    The last line gives their number and the number of omitted log lines.
    """
    documents = parse(lines)
    causes = [
        f'{document.get("request_id")} {document.get("route", "-")}'
        f' {document.get("ending")}: {_render_cause(document)}'
        for document in documents
        if document.get('event') in _REQUEST_EVENTS
        and document.get('ending') != requestlog.ANSWERED
    ]
    causes.append(
        f'{len(causes)} requests; {_omitted_count(documents)} lines were left'
        ' out'
    )
    return causes


def _omitted_count(documents: list[dict[str, Any]]) -> int:
    return sum(
        sum(document.get('left_out', {}).values())
        for document in documents
        if document.get('event') == events.Event.REQUESTS_SUMMARISED
    )


def _explain_no_match(documents: list[dict[str, Any]]) -> str:
    return (
        f'none of {len(documents)} lines names this request. It was answered'
        ' whole and in time, another host got it, its host ended before the'
        f' line, or it is one of {_omitted_count(documents)} lines that were'
        ' left out.'
    )


def _render_request(document: dict[str, Any]) -> list[str]:
    prefix = f'{document.get("time")} {document.get("process")}:'
    if document.get('event') == events.Event.REQUEST_REFUSED:
        return [f'{prefix} refused before any service was chosen']
    lines = [
        f'{prefix} {document.get("ending")} after {document.get("took_ms")} ms,'
        f' target {document.get("target_ms")} ms,'
        f' {document.get("parts")} of {document.get("asked")} parts,'
        f' {document.get("needed")} needed; routes'
        f' {document.get("routes_revision")}, platform confirmed'
        f' {document.get("platform_age_ms")} ms ago'
    ]
    for service in document.get('services', []):
        lines.append(f'{_INDENT}{service["service"]}: {service["result"]}')
        lines.extend(
            f'{_INDENT * 2}+{attempt["at_ms"]} ms {_render_attempt(attempt)}'
            f' ({attempt["zone"]})'
            for attempt in service['attempts']
        )
    left_out = document.get('services_left_out')
    if left_out:
        lines.append(f'{_INDENT}and {left_out} more services')
    return lines


def _render_attempt(attempt: dict[str, Any]) -> str:
    duration = f'{attempt["took_ms"]} ms'
    match attempt['outcome']:
        case 'open':
            state = 'no answer' if attempt['sent'] else 'no connection'
            return f'{attempt["backend_id"]}: {state} for {duration}'
        case 'refused_connection':
            return f'{attempt["backend_id"]}: accepted no connection'
        case outcome:
            return f'{attempt["backend_id"]}: {outcome} after {duration}'


def _render_missing(document: dict[str, Any]) -> str:
    """Return the services without part, and the attempts to call them."""
    shards = document.get('missing', [])
    if shards:
        shown = shards[:MAX_SHOWN_SERVICES]
        return '; '.join(
            f'{shard["service"]}/{shard["shard"]} {shard["reason"]}'
            for shard in shown
        )
    services = [
        service
        for service in document.get('services', [])
        if service['result'] != requestlog.ANSWERED
    ]
    total = document.get('asked', 0) - document.get('parts', 0)
    shown = '; '.join(map(_render_service, services[:MAX_SHOWN_SERVICES]))
    unlisted_count = total - len(services[:MAX_SHOWN_SERVICES])
    return f'{shown}; {unlisted_count} more' if unlisted_count > 0 else shown


def _render_service(service: dict[str, Any]) -> str:
    attempts = service['attempts'][:MAX_SHOWN_ATTEMPTS]
    rendered_attempts = (
        ', '.join(map(_render_attempt, attempts)) or 'no attempt was made'
    )
    return f'{service["service"]} {service["result"]} ({rendered_attempts})'


def _render_cause(document: dict[str, Any]) -> str:
    """Return the cause of the ending in one line."""
    if 'code' in document:
        return f'{document["code"]}: {document.get("message")}'
    silent = document.get('silent_zones')
    zones_note = (
        f'; zones without answers: {", ".join(silent)}' if silent else ''
    )
    missing = _render_missing(document)
    causes_by_ending = {
        'partial': f'no part within the target: {missing}{zones_note}',
        'not_run': f'nothing was sent that can run: {missing}{zones_note}',
        'failed': f'no attempt was left: {missing}{zones_note}',
        'late': f'the deadline passed: {missing}{zones_note}',
        'answered_late': 'the answer was whole, later than its target'
        f'{_render_slowest(document)}',
    }
    return causes_by_ending.get(
        document.get('ending', ''),
        'none; the request was answered whole and in time',
    )


def _render_slowest(document: dict[str, Any]) -> str:
    services = document.get('services', [])
    return f': {_render_service(services[0])}' if services else ''
