"""The aggregator program: answers requests of the entries of its zone.

Owns the service groups, the links from entries and the queries in progress.
Connects to the backend servers of those services only for which it is owner
or standby.
"""

import functools
from collections.abc import Callable
from typing import Any

import curio

from cardamomflow import (
    activequeries,
    callrunner,
    configuration,
    context,
    errors,
    events,
    hedging,
    linkkeepalive,
    links,
    liveness,
    localview,
    operations,
    requestlog,
    retries,
    routing,
    rules,
    services,
    snapshots,
    timertask,
)
from cardamomflow.generated import wire_pb2

DEFAULT_MAX_QUEUED_ITEMS = 20_000
# After a longer pause, other aggregators may already own the services.
PAUSE_LIMIT_S = 5.0
# Ten seconds before the other aggregators take over the services.
MAX_VIEW_AGE_S = 50.0
_MS_PER_S = 1000
_CHECK_INTERVAL_S = 0.5
_STOP_POLL_S = 0.05


class Aggregator(linkkeepalive.KeepaliveHandler, localview.ViewListener):
    """State of an aggregator process."""

    def __init__(
        self,
        process_context: context.Context,
        runner: 'operations.OperationRunner',
    ) -> None:
        super().__init__()
        self.stopping = False
        self._is_leaving = False
        self.groups_by_service: dict[str, services.ServiceGroup] = {}
        self._context = process_context
        self._clock = process_context.clock
        self._runner = runner
        self.timers = timertask.TimerTask(process_context.clock)
        self.request_log = requestlog.RequestLog(
            process_context.journal, process_context.clock
        )
        self._configuration: configuration.Configuration | None = None
        self._routing = routing.ZoneRouting(())
        self._links: set[links.Link[wire_pb2.Envelope]] = set()
        self._queries = activequeries.ActiveQueries(
            process_context, self.timers, self.groups_by_service
        )
        self._open_operation_count = 0
        self._policy: callrunner.Policy | None = None
        self._leaving_by_host: dict[str, bool] = {}

    # Updates from the agent.

    async def on_configuration_changed(
        self, new: configuration.Configuration
    ) -> None:
        """Apply a new configuration."""
        old, self._configuration = self._configuration, new
        if old is None or old.rules != new.rules:
            self._policy = callrunner.Policy(
                hedging.HedgePolicy(new.rules.hedging),
                retries.RetryBudget(new.rules.retries),
            )
        configured_names = new.register.services_by_name.keys()
        for removed_service in self.groups_by_service.keys() - configured_names:
            await self._drop_group(removed_service)
        for group in list(self.groups_by_service.values()):
            await group.apply(new.register, self._service_context())
        await self._apply_ownership()
        self._context.journal.info(
            events.Event.CONFIGURATION_IN_FORCE, revision=new.revision
        )

    async def on_zones_changed(
        self, aggregators_by_zone: dict[str, list[routing.Aggregator]]
    ) -> None:
        """Update the eligible aggregators of the own zone."""
        zone = self._context.settings['host']['availability_zone']
        self._routing = routing.ZoneRouting(aggregators_by_zone.get(zone, ()))
        await self._apply_ownership()

    async def on_hosts_changed(self, leaving_by_host: dict[str, bool]) -> None:
        """Update which hosts are leaving, from the platform's host list."""
        self._leaving_by_host = leaving_by_host
        for group in self.groups_by_service.values():
            group.replicas.update_leaving_hosts(leaving_by_host)

    async def _apply_ownership(self) -> None:
        if self._configuration is None:
            return
        own_id = self._context.settings['process_id']
        services_by_name = self._configuration.register.services_by_name
        for name, service in services_by_name.items():
            may_connect = self._routing.may_connect(own_id, name)
            if may_connect and name not in self.groups_by_service:
                self._add_group(service)
            elif not may_connect and name in self.groups_by_service:
                await self._drop_group(name)
        self._activate_owned(own_id)

    def _activate_owned(self, own_id: str) -> None:
        owned = [
            name
            for name in self.groups_by_service
            if self._routing.owners(name)[0] == own_id
        ]
        for name in owned:
            self.groups_by_service[name].active = True
        self._runner.set_owned_services(owned)

    def _add_group(self, service: Any) -> None:
        group = services.ServiceGroup(
            service, self._configuration.register, self._service_context()
        )
        group.replicas.update_leaving_hosts(self._leaving_by_host)
        self.groups_by_service[service.name] = group

    async def _drop_group(self, name: str) -> None:
        group = self.groups_by_service.pop(name)
        await group.retire()
        self._context.metrics.increment('ownership.dropped')

    def _service_context(self) -> services.ServiceContext:
        return services.ServiceContext(
            self._context,
            self.timers,
            self._policy,
            self._configuration.rules,
            self._context.settings.get(
                'max_queued_items', DEFAULT_MAX_QUEUED_ITEMS
            ),
            self._queries.finish,
        )

    # Messages from entries.

    def has_outstanding_work(self, link: links.Link[wire_pb2.Envelope]) -> bool:
        """Return whether queries of an entry are in progress."""
        return self._queries.has_queries(link)

    async def on_opened(self, link: links.Link[wire_pb2.Envelope]) -> None:
        """Send the holdings to a new entry, and whether this process leaves."""
        self._links.add(link)
        self._queries.add_link(link)
        await link.post(_make_holdings_update(self.groups_by_service))
        if self._is_leaving:
            await link.post(_make_going_away())

    async def on_message(
        self,
        link: links.Link[wire_pb2.Envelope],
        message: wire_pb2.Envelope,
    ) -> None:
        """Handle a message from an entry."""
        match message.WhichOneof('body'):
            case 'query' if self.stopping:
                await self._refuse(link, message.query, errors.Stopping)
            case 'query':
                self._context.metrics.increment('aggregator.queries')
                await self._queries.start(link, message.query)
                await link.monitor_peer()
            case 'operation':
                await curio.spawn(
                    self._run_operation, link, message.operation, daemon=True
                )
            case 'cancel':
                await self._queries.cancel(link, message.cancel.attempt_id)
            case 'ping':
                await self.on_ping(link, message.ping)
            case 'pong':
                self.on_pong(link, message.pong)

    async def _refuse(
        self,
        link: links.Link[wire_pb2.Envelope],
        request: wire_pb2.QueryRequest | wire_pb2.OperationRequest,
        reason: type[errors.FlowError],
    ) -> None:
        """Refuse a request for which no work was started."""
        self._context.metrics.increment(f'aggregator.refused.{reason.code}')
        self.request_log.log_refusal(
            request.request_id,
            reason('nothing was started for this request'),
            repeatable=isinstance(request, wire_pb2.QueryRequest),
            services_held=len(self.groups_by_service),
        )
        refusal = wire_pb2.Refusal(
            attempt_id=request.attempt_id,
            request_id=request.request_id,
            error_code=reason.code,
        )
        await _post_ignoring_errors(link, wire_pb2.Envelope(refusal=refusal))

    async def on_closed(self, link: links.Link[wire_pb2.Envelope]) -> None:
        """Abandon the queries of a disconnected entry."""
        self._links.discard(link)
        await self._queries.remove_link(link)

    async def _run_operation(
        self,
        link: links.Link[wire_pb2.Envelope],
        request: wire_pb2.OperationRequest,
    ) -> None:
        group = self.groups_by_service.get(request.service)
        if self.stopping:
            await self._refuse(link, request, errors.Stopping)
            return
        if group is None:
            await self._refuse(link, request, errors.NotOwner)
            return
        group.active = True
        self._open_operation_count += 1
        try:
            deadline = self._clock() + request.budget_ms / _MS_PER_S
            answer = await self._runner.execute(request, deadline)
            await link.post(wire_pb2.Envelope(operation_answer=answer))
        except errors.FlowError:
            self._context.metrics.increment('aggregator.answers_undelivered')
        finally:
            self._open_operation_count -= 1

    # Background work.

    async def run_status_polls(self) -> None:
        """Poll the status of backend servers until cancelled."""
        next_at = self._clock()
        while True:
            poll_all = self._clock() >= next_at
            if poll_all:
                next_at = self._clock() + services.STATUS_INTERVAL_S
            await self._poll_status(poll_all=poll_all)
            await curio.sleep(services.STATUS_CHECK_INTERVAL_S)

    async def _poll_status(self, *, poll_all: bool) -> None:
        """Poll all active services, or only those whose snapshot was lost."""
        due = [
            service_group
            for service_group in self.groups_by_service.values()
            if service_group.active and (poll_all or service_group.poll_due)
        ]
        if not due:
            return
        async with curio.TaskGroup() as group:
            polls = [
                await group.spawn(service_group.poll_status)
                for service_group in due
            ]
        if any(poll.result for poll in polls):
            await self._send_holdings()

    async def run_view_checks(self, view: localview.LocalViewClient) -> None:
        """Close backend connections while the view of the members is too old.

        Other aggregators replace a host whose agent is down after
        `ranking_retention_s`; this process must drop its services earlier.
        """
        has_dropped = False
        while True:
            await curio.sleep(_CHECK_INTERVAL_S)
            is_old = view.age_s > MAX_VIEW_AGE_S
            if is_old and self.groups_by_service:
                has_dropped = True
                self._context.journal.warning(events.Event.VIEW_OLD)
                await self._drop_all_groups()
            elif has_dropped and not is_old:
                has_dropped = False
                await self._apply_ownership()

    async def _drop_all_groups(self) -> None:
        for name in list(self.groups_by_service):
            await self._drop_group(name)

    async def run_pause_checks(self) -> None:
        """Close backend connections after this process was paused."""
        detector = liveness.PauseDetector(self._clock(), PAUSE_LIMIT_S)
        while True:
            await curio.sleep(_CHECK_INTERVAL_S)
            if detector.check(self._clock()):
                self._context.metrics.increment('process.paused')
                self._context.journal.warning(events.Event.RESUMED)
                await self._drop_all_groups()
                await curio.sleep(PAUSE_LIMIT_S)
                await self._apply_ownership()

    async def announce_leaving(self) -> None:
        """Ask entries to send no new work; requests that arrive are served."""
        self._is_leaving = True
        for link in list(self._links):
            await _post_ignoring_errors(link, _make_going_away())

    async def stop(self, timeout_s: float) -> bool:
        """Refuse new requests and finish those in progress.

        Returns
        -------
        bool
            False when requests were unfinished at the timeout.
        """
        self.stopping = True
        finished = False
        async with curio.ignore_after(timeout_s):
            while self._open_operation_count or not self._queries.empty:
                await curio.sleep(_STOP_POLL_S)
            finished = True
        for link in list(self._links):
            await link.close()
        await self._drop_all_groups()
        return finished

    async def _send_holdings(self) -> None:
        update = _make_holdings_update(self.groups_by_service)
        for link in list(self._links):
            await _post_ignoring_errors(link, update)


class GroupDispatcher(operations.Dispatcher):
    """Sends an operation to one backend server of its service."""

    def __init__(self) -> None:
        """Start without groups; `daemons` sets both attributes."""
        self.groups_by_service: dict[str, services.ServiceGroup] = {}
        self.may_send: Callable[[str], bool] = bool

    def accepts_work(self, service: str) -> bool:
        """Return whether a backend server of a service accepts new work."""
        group = self.groups_by_service.get(service)
        return group is not None and bool(group.replicas.accepting_backends())

    async def dispatch(
        self,
        service: str,
        operation_key: str,
        payload: bytes,
        budget_s: float,
        rank: int,
    ) -> bytes:
        """Send an operation once.

        Raises
        ------
        errors.FlowError
            Its outcome states whether the operation ran.
        """
        group = self.groups_by_service.get(service)
        if group is None:
            raise errors.NotOwner(f'service {service} has another owner')
        return await group.run_operation(
            operation_key,
            payload,
            budget_s,
            rules.Rank(rank),
            functools.partial(self.may_send, operation_key),
        )


def _make_going_away() -> wire_pb2.Envelope:
    return wire_pb2.Envelope(going_away=wire_pb2.GoingAway())


async def _post_ignoring_errors(
    link: links.Link[wire_pb2.Envelope], message: wire_pb2.Envelope
) -> None:
    try:
        await link.post(message)
    except errors.FlowError:
        return


def _make_holdings_update(
    groups_by_service: dict[str, services.ServiceGroup],
) -> wire_pb2.Envelope:
    update = wire_pb2.HoldingsUpdate()
    for name, group in groups_by_service.items():
        for backend_id, status in group.replicas.holdings().items():
            accepts_new_work, holdings = status
            backend = update.backends.add(
                backend_id=backend_id,
                service=name,
                accepts_new_work=accepts_new_work,
            )
            backend.holdings.extend(map(_encode_holding, holdings))
    return wire_pb2.Envelope(holdings=update)


def _encode_holding(holding: snapshots.Holding) -> wire_pb2.Holding:
    return wire_pb2.Holding(
        version=holding.version,
        map_revision=holding.map_revision,
        shards=sorted(holding.shards),
    )
