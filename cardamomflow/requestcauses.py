"""Cause of one request's end, told from log lines; pure functions."""

import json
from collections.abc import Iterable
from typing import Any

from cardamomflow import requestlog

_INDENT = '  '
SHOWN_SERVICES = 5


def parse(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the documents of log lines; text before one is ignored.

    Lines that hold none, such as those cut off by a kill, are left out.
    """
    documents = []
    for line in lines:
        _, brace, rest = line.partition('{')
        try:
            document = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(document, dict):
            documents.append(document)
    return documents


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the tree of a request and its cause, one line each."""
    documents = parse(lines)
    found = [
        document
        for document in documents
        if document.get('request_id') == request_id
    ]
    if not found:
        return [f'cause: not known; {_why_unknown(documents)}']
    told = []
    for document in found:
        told.extend(_tree(document))
        told.append(f'cause: {_cause(document)}')
    return told


def _why_unknown(documents: list[dict[str, Any]]) -> str:
    left_out = sum(
        sum(document.get('left_out', {}).values())
        for document in documents
        if document.get('event') == requestlog.SUMMARY_EVENT
    )
    return (
        f'none of {len(documents)} lines names this request. It was answered'
        ' whole and in time, another host got it, its host ended before the'
        f' line, or it is one of {left_out} lines that were left out.'
    )


def _tree(document: dict[str, Any]) -> list[str]:
    if document.get('event') == requestlog.REFUSED_EVENT:
        return [
            f'{document.get("time")} {document.get("process")}: refused'
            f' before any service was chosen'
        ]
    lines = [
        f'{document.get("time")} {document.get("process")}: '
        f'{document.get("ending")} after {document.get("took_ms")} ms,'
        f' target {document.get("target_ms")} ms,'
        f' {document.get("parts")} of {document.get("asked")} parts,'
        f' {document.get("needed")} needed; routes'
        f' {document.get("routes_revision")}, platform heard'
        f' {document.get("platform_age_ms")} ms ago'
    ]
    for part in document.get('open', []):
        asked = ', '.join(part['asked']) or 'nobody'
        lines.append(
            f'{_INDENT}{part["service"]}: {part["reason"]}; asked {asked}'
        )
        lines.extend(
            f'{_INDENT * 2}{attempt["backend_id"]}: no answer for'
            f' {attempt["for_ms"]} ms'
            for attempt in part['open']
        )
        lines.extend(
            f'{_INDENT * 2}{backend_id}: accepted no connection'
            for backend_id in part['unreachable']
        )
    return lines


def _join(names: list[str]) -> str:
    """Return the first names, and how many more there are."""
    shown = ', '.join(names[:SHOWN_SERVICES])
    more = len(names) - SHOWN_SERVICES
    return f'{shown} and {more} more' if more > 0 else shown


def _cause(document: dict[str, Any]) -> str:
    """Return the cause in one line."""
    parts = document.get('open', [])
    silent = document.get('silent_zones')
    where = f'; zones without answers: {", ".join(silent)}' if silent else ''
    reasons = ', '.join(sorted({part['reason'] for part in parts}))
    services = _join([part['service'] for part in parts])
    causes_by_ending = {
        'partial': (
            f'{services} did not answer within the target ({reasons}){where}'
        ),
        'not_run': f'nothing was sent: {reasons} at {services}{where}',
        'failed': f'{reasons} at {services}, and no attempt was left{where}',
        'late': f'the deadline passed: {reasons} at {services}{where}',
        'answered_late': 'the answer was whole, later than its target',
        'refused': f'{document.get("code")}: {document.get("message")}',
    }
    return causes_by_ending.get(
        document.get('ending', ''),
        'none; the request was answered whole and in time',
    )
