"""Checks answers of a fleet against what its backend servers hold."""

import itertools
from typing import Any

from standins import backend, fleet


def expected_rows(
    running: fleet.Fleet, answer: dict[str, Any], text: str, limit: int
) -> list[dict[str, Any]]:
    """Return the rows of the shards that an answer says it covers."""
    missing = {
        (shard['service'], shard['shard'])
        for shard in answer['coverage']['missing']
    }
    snapshot = answer['snapshot']
    shards = running.shards * snapshot['map_revision']
    rows = []
    for service, shard in itertools.product(running.services, range(shards)):
        if (service, shard) not in missing:
            rows.extend(
                backend.expected_rows(
                    snapshot['index'],
                    snapshot['version'],
                    service,
                    shard,
                    text,
                    limit,
                )
            )
    rows.sort(key=lambda row: (-row['score'], row['id']))
    return rows[:limit]


def problems(
    running: fleet.Fleet, request_id: str, answer: dict[str, Any]
) -> list[str]:
    """List what is wrong with the answer to `Fleet.query`."""
    found = []
    coverage = answer['coverage']
    if answer['request_id'] != request_id:
        found.append(f'answer of request {answer["request_id"]}')
    if coverage['answered'] + len(coverage['missing']) != coverage['total']:
        found.append(f'coverage does not add up: {coverage}')
    expected = expected_rows(
        running, answer, fleet.QUERY['text'], fleet.QUERY['limit']
    )
    if answer['rows'] != expected:
        found.append('rows differ from those of the covered shards')
    return found
