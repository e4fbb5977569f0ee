"""Checks of one response against what callers may rely on; sans-I/O.

Owns no state. It knows only the request and its response, not the index.
"""

from typing import Any

from cardamomflow import errors


def check_response(
    status: int, request: dict[str, Any], response: dict[str, Any]
) -> list[str]:
    """Return what a response violates, seen from its caller alone."""
    if response.get('request_id') != request['request_id']:
        found = response.get('request_id')
        return [f'answers the request {found!r}']
    if 'error' in response:
        return _check_refusal(status, response['error'])
    if 'key' in request:
        if response.get('key') != request['key']:
            return [f'reports the operation {response.get("key")!r}']
        return []
    try:
        return _check_coverage(response) + _check_rows(request, response)
    except (KeyError, TypeError, AttributeError) as error:
        return [f'malformed response: {error!r}']


def _check_refusal(status: int, error: Any) -> list[str]:
    if not isinstance(error, dict) or not error.get('code'):
        return [f'status {status} without an error code']
    if error.get('outcome') not in set(errors.Outcome):
        return [f'{error["code"]} without an outcome']
    return []


def _check_coverage(response: dict[str, Any]) -> list[str]:
    coverage = response['coverage']
    named = [(each['service'], each['shard']) for each in coverage['missing']]
    violations = []
    if coverage['answered'] + len(named) != coverage['total']:
        violations.append(
            f'{coverage["answered"]} answered and {len(named)} missing'
            f' of {coverage["total"]} shards'
        )
    if len(set(named)) != len(named):
        violations.append('a shard is named missing twice')
    return violations


def _check_rows(request: dict[str, Any], response: dict[str, Any]) -> list[str]:
    rows = response['rows']
    snapshot = response['snapshot']
    missing = {
        (each['service'], each['shard'])
        for each in response['coverage']['missing']
    }
    order = [(-row['score'], row['id']) for row in rows]
    violations = []
    if order != sorted(order) or len(set(order)) != len(order):
        violations.append('rows are unsorted or stand twice')
    if len(rows) > request['query']['limit']:
        violations.append('more rows than asked for')
    for row in rows:
        if row.get('version', snapshot['version']) != snapshot['version']:
            violations.append(f'row {row["id"]} is of another snapshot')
        if (row.get('service'), row.get('shard')) in missing:
            violations.append(f'row {row["id"]} is of a missing shard')
    return violations
