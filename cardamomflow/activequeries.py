"""Queries in progress at an aggregator.

Owns the query jobs by link and attempt ID, their deadlines and their answers.
"""

import json
from typing import Any

from cardamomflow import context, errors, links, queries, services, timertask
from cardamomflow.generated import wire_pb2

_MS_PER_S = 1000

WireLink = links.Link[wire_pb2.Envelope]


class ActiveQueries:
    """Queries in progress, by link and attempt ID."""

    def __init__(
        self,
        process_context: context.Context,
        process_timers: timertask.TimerTask,
        groups_by_service: dict[str, services.ServiceGroup],
    ) -> None:
        """Create an empty table.

        Parameters
        ----------
        process_context : context.Context
        process_timers : timertask.TimerTask
            Calls back at the deadlines of queries.
        groups_by_service : dict of str to services.ServiceGroup
            Groups that process the items of a query; may change later.
        """
        self._context = process_context
        self._clock = process_context.clock
        self._timers = process_timers
        self._groups_by_service = groups_by_service
        self._jobs_by_link: dict[WireLink, dict[int, queries.QueryJob]] = {}

    @property
    def empty(self) -> bool:
        """Whether no query is in progress."""
        return not any(self._jobs_by_link.values())

    def has_queries(self, link: WireLink) -> bool:
        """Return whether a query of a link is in progress."""
        return bool(self._jobs_by_link.get(link))

    def add_link(self, link: WireLink) -> None:
        """Add a link without queries."""
        self._jobs_by_link[link] = {}

    async def remove_link(self, link: WireLink) -> None:
        """Remove a closed link and abandon its queries."""
        for job in list(self._jobs_by_link.pop(link, {}).values()):
            await self._abandon(job)

    async def start(
        self, link: WireLink, request: wire_pb2.QueryRequest
    ) -> None:
        """Start a query; its answer is sent on the link."""
        deadline = self._clock() + request.budget_ms / _MS_PER_S
        job = queries.QueryJob(request, deadline, link)
        job.root_span = self._context.tracer.start_span(
            'aggregator.query', request.trace
        )
        self._jobs_by_link[link][request.attempt_id] = job

        async def expire(now: float) -> None:
            await self._expire(job)

        await self._timers.schedule(deadline, expire)
        for task in request.tasks:
            await self._submit(job, task.service)

    async def cancel(self, link: WireLink, attempt_id: int) -> None:
        """Abandon a query that the entry cancelled."""
        job = self._jobs_by_link.get(link, {}).get(attempt_id)
        if job is not None:
            self._context.metrics.increment('aggregator.cancelled')
            await self._abandon(job)

    async def finish(self, job: queries.QueryJob) -> None:
        """Answer a query, unless it is already finished."""
        if job.finished:
            return
        job.finished = True
        await self._discard(job)
        answer = _answer(job)
        try:
            await job.link.post(wire_pb2.Envelope(query_answer=answer))
        except errors.FlowError:
            self._context.metrics.increment('aggregator.answers_undelivered')

    async def _submit(self, job: queries.QueryJob, service: str) -> None:
        items = job.items_of(service)
        group = self._groups_by_service.get(service)
        if group is not None:
            await group.submit(items)
            return
        for item in items:
            if job.fail(item, errors.NotOwner.code):
                await self.finish(job)

    async def _expire(self, job: queries.QueryJob) -> None:
        if not job.finished:
            job.fail_open_shards(errors.DeadlineExceeded.code)
            await self.finish(job)

    async def _abandon(self, job: queries.QueryJob) -> None:
        job.finished = True
        await self._discard(job)

    async def _discard(self, job: queries.QueryJob) -> None:
        jobs: dict[int, Any] = self._jobs_by_link.get(job.link, {})
        jobs.pop(job.request.attempt_id, None)
        for task in job.request.tasks:
            group = self._groups_by_service.get(task.service)
            if group is not None:
                await group.discard(job)


def _answer(job: queries.QueryJob) -> wire_pb2.QueryAnswer:
    missing = job.coverage.missing_shards()
    if job.root_span is not None:
        job.spans.append(
            job.root_span.finish(
                answered=len(job.coverage.answered),
                shards=len(job.items_by_shard),
            )
        )
    return wire_pb2.QueryAnswer(
        attempt_id=job.request.attempt_id,
        request_id=job.request.request_id,
        snapshot=job.request.snapshot,
        answered=queries.group_shards(job.coverage.answered),
        failures=[
            wire_pb2.ShardFailure(
                service=shard.service, shard=shard.shard, reason=reason
            )
            for shard, reason in missing
        ],
        rows=json.dumps(job.coverage.rows()).encode(),
        attempts=job.attempts,
        needed=len(job.items_by_shard),
        spans=job.spans,
    )
