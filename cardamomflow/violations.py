"""Checks that a response is consistent with its request; sans-I/O.

Checks the request id, the outcome of a refusal, the shard counts of the
coverage, and the order, number and snapshot of the rows. It does not compare
rows with the contents of the index.
"""

from typing import Any

from cardamomflow import errors


def check_response(
    status: int, request: dict[str, Any], response: dict[str, Any]
) -> list[str]:
    """Return the violations that the caller can detect in a response."""
    if response.get('request_id') != request['request_id']:
        response_id = response.get('request_id')
        return [f'answers the request {response_id!r}']
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
    missing = [(each['service'], each['shard']) for each in coverage['missing']]
    violations = []
    if coverage['answered'] + len(missing) != coverage['total']:
        violations.append(
            f'{coverage["answered"]} answered and {len(missing)} missing'
            f' of {coverage["total"]} shards'
        )
    if len(set(missing)) != len(missing):
        violations.append('a shard is listed as missing twice')
    return violations


def _check_rows(request: dict[str, Any], response: dict[str, Any]) -> list[str]:
    rows = response['rows']
    snapshot = response['snapshot']
    missing = {
        (each['service'], each['shard'])
        for each in response['coverage']['missing']
    }
    sort_keys = [(-row['score'], row['id']) for row in rows]
    violations = []
    if sort_keys != sorted(sort_keys) or len(set(sort_keys)) != len(sort_keys):
        violations.append('rows are unsorted or duplicated')
    if len(rows) > request['query']['limit']:
        violations.append('more rows than the requested limit')
    for row in rows:
        if row.get('version', snapshot['version']) != snapshot['version']:
            violations.append(f'row {row["id"]} is of another snapshot')
        if (row.get('service'), row.get('shard')) in missing:
            violations.append(f'row {row["id"]} is of a missing shard')
    return violations
