"""The entry program: answers callers over HTTP.

Owns the HTTP server, the links to aggregators, the snapshot catalogue and
the requests in progress.
"""

import json
import math
from collections.abc import Callable, Iterable
from typing import Any

from cardamomflow import (
    aggregatorlinks,
    callers,
    configuration,
    context,
    errors,
    events,
    fanout,
    forwarding,
    inflightlimit,
    localview,
    requestlog,
    routing,
    rules,
    scatter,
    snapshots,
    webhandler,
)
from cardamomflow.generated import wire_pb2

DEFAULT_MAX_IN_FLIGHT = 512
MAX_UNIX_S = 1_000_000_000_000
LOOKUP_TIMEOUT_S = 2.0
_OK = 200
_ACCEPTED = 202
_OPERATIONS_PATH = '/v1/operations/'
_TRACES_PATH = '/v1/traces/'
_OPERATION_PATH_PART_COUNT = 3


class Entry(
    webhandler.RequestHandler,
    fanout.Planner,
    localview.ViewListener,
):
    """State of an entry process."""

    def __init__(self, process_context: context.Context) -> None:
        self.stopping = False
        self.view_age_s: Callable[[], float] = float
        self.other_zones_age_s: Callable[[], float | None] = float
        self._context = process_context
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._zone = process_context.settings['host']['availability_zone']
        self.request_log = requestlog.RequestLog(
            process_context.journal, process_context.clock
        )
        self._in_flight_limiter = inflightlimit.InFlightLimiter(
            process_context.settings.get('max_in_flight', DEFAULT_MAX_IN_FLIGHT)
        )
        self._configuration: configuration.Configuration | None = None
        self._configured_at = 0.0
        self._routing_by_zone: dict[str, routing.ZoneRouting] = {}
        self._catalog = snapshots.SnapshotCatalog()
        self.aggregators = aggregatorlinks.AggregatorLinks(
            process_context, self._on_holdings
        )

    # Updates from the agent.

    async def on_configuration_changed(
        self, new: configuration.Configuration
    ) -> None:
        """Apply a new configuration."""
        old, self._configuration = self._configuration, new
        self._configured_at = self._clock()
        if old is not None:
            removed_ids = old.register.backends_by_id.keys()
            removed_ids -= new.register.backends_by_id.keys()
            for backend_id in removed_ids:
                service = old.register.backends_by_id[backend_id].service
                self._catalog.remove(service, backend_id)
        self._catalog.invalidate()
        self._metrics.set_gauge('configuration.revision', new.revision)
        self._context.journal.info(
            events.Event.CONFIGURATION_IN_FORCE, revision=new.revision
        )
        await self._apply_links()

    async def on_zones_changed(
        self, aggregators_by_zone: dict[str, list[routing.Aggregator]]
    ) -> None:
        """Update the eligible aggregators of every zone."""
        self._routing_by_zone = {
            zone: routing.ZoneRouting(aggregators)
            for zone, aggregators in aggregators_by_zone.items()
        }
        await self._apply_links()

    async def _apply_links(self) -> None:
        """Update the links to the aggregators.

        Permanent links go to the own zone, or to other zones of the own region
        as replacements. All other aggregators are dialed on demand.
        """
        region_zones = filter(self._is_in_own_region, self._routing_by_zone)
        aggregators_by_zone = {
            zone: list(zone_routing.aggregators_by_id.values())
            for zone, zone_routing in self._routing_by_zone.items()
        }
        await self.aggregators.apply(
            [
                aggregators_by_zone.pop(zone)
                for zone in self._own_zone_first(region_zones)
            ],
            [
                aggregator
                for zone in aggregators_by_zone.values()
                for aggregator in zone
            ],
        )

    def _is_in_own_region(self, zone: str) -> bool:
        """Return whether a zone is in the own region.

        All zones count as in the region until there is a configuration.
        """
        if self._configuration is None:
            return True
        regions_by_zone = self._configuration.register.regions_by_zone
        host = self._context.settings['host']
        own_region = regions_by_zone.get(self._zone, host['region'])
        return zone == self._zone or regions_by_zone.get(zone) == own_region

    def _own_zone_first(self, zones: Iterable[str]) -> list[str]:
        return sorted(zones, key=lambda zone: (zone != self._zone, zone))

    async def on_hosts_changed(self, leaving_by_host: dict[str, bool]) -> None:
        """Ignore the host list: only aggregators call backend servers."""

    # Messages from aggregators.

    def _on_holdings(self, update: wire_pb2.HoldingsUpdate) -> None:
        for backend in update.backends:
            holdings = backend.holdings if backend.accepts_new_work else ()
            self._catalog.update(
                backend.service,
                backend.backend_id,
                [
                    snapshots.Holding(
                        holding.version,
                        holding.map_revision,
                        frozenset(holding.shards),
                    )
                    for holding in holdings
                ],
            )

    # Requests from callers.

    def record_failure(self, error: errors.FlowError) -> None:
        """Count a refused or failed request in the metrics."""
        self._metrics.increment(f'entry.failed.{error.code}')

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Answer a request of a caller or an operator."""
        path = request.path.partition('?')[0]
        match (request.method, path):
            case ('POST', '/v1/query'):
                return await self._handle_document(request, self._handle_query)
            case ('POST', '/v1/operations'):
                return await self._handle_document(
                    request, self._handle_operation
                )
            case ('GET', '/v1/ready'):
                return self._handle_ready()
            case ('GET', '/v1/status'):
                return webhandler.Response(_OK, self.status())
            case ('GET', _) if path.startswith(_TRACES_PATH):
                return self._handle_trace(path.removeprefix(_TRACES_PATH))
            case ('GET', _) if path.startswith(_OPERATIONS_PATH):
                return await self._handle_lookup(path)
            case (_, '/v1/query' | '/v1/operations'):
                raise errors.MethodNotAllowed(f'use POST for {path}')
            case _:
                raise errors.NotFound(f'there is no path {path}')

    async def _handle_document(
        self, request: webhandler.Request, handler: Any
    ) -> webhandler.Response:
        """Handle a JSON request; error responses carry its request id."""
        document = request.json()
        request_id = document.get('request_id')
        valid_request_id = request_id if isinstance(request_id, str) else None
        started_at = self._clock()
        try:
            caller = callers.parse_caller(
                document, self._active_config.rules, started_at
            )
            return await self._admit(caller, document, handler)
        except errors.FlowError as error:
            self.record_failure(error)
            self.request_log.log_refusal(
                valid_request_id or '',
                error,
                repeatable=handler != self._handle_operation,
                **self._view_log_fields(),
            )
            return webhandler.error_response(error, valid_request_id)

    async def _admit(
        self, caller: callers.Caller, document: dict[str, Any], handler: Any
    ) -> webhandler.Response:
        self._in_flight_limiter.admit(
            caller.rank, caller.customer, self._active_config.rules
        )
        started_at = self._clock()
        try:
            response = await handler(caller, document)
        finally:
            self._in_flight_limiter.release(caller.rank, caller.customer)
        self._metrics.observe(
            'entry.latency', caller.rank.label, self._clock() - started_at
        )
        self._metrics.increment(f'entry.answered.{caller.rank.label}')
        return response

    @property
    def _active_config(self) -> configuration.Configuration:
        """The configuration in force; raises `errors.NotReady` if none."""
        if self._configuration is None:
            raise errors.NotReady('no configuration is in force yet')
        return self._configuration

    # Queries.

    async def _handle_query(
        self, caller: callers.Caller, document: dict[str, Any]
    ) -> webhandler.Response:
        work = callers.optional_text(document, 'work')
        if work and not self._active_config.rules.work_named(work).repeatable:
            raise errors.BadRequest(
                f'work {work!r} may not be repeated: use /v1/operations'
            )
        query_fanout = fanout.Fanout(
            self._context,
            self,
            self.aggregators,
            caller,
            callers.parse_query(document),
        )
        finished = await query_fanout.run()
        self._metrics.increment('entry.shards_needed', finished.shard_count)
        self._metrics.increment(
            'entry.shard_attempts', finished.backend_attempts
        )
        return self._query_response(caller, finished)

    def _query_response(
        self, caller: callers.Caller, finished: scatter.Scatter
    ) -> webhandler.Response:
        merged = finished.result()
        summary = merged.summary()
        if summary.missing:
            self._metrics.increment(f'entry.partial.{caller.rank.label}')
            self.request_log.log_response(
                caller.request_id,
                'partial',
                repeatable=True,
                rank=caller.rank.label,
                parts=summary.answered,
                asked=finished.shard_count,
                missing=summary.missing[: requestlog.MAX_LISTED_SERVICES],
                **self._view_log_fields(),
            )
        if not summary.answered:
            raise errors.DeadlineExceeded(
                f'no shard answered in time: {summary.missing[0]["reason"]}'
            )
        return webhandler.Response(
            _OK,
            {
                'request_id': caller.request_id,
                'snapshot': finished.pinned.snapshot._asdict(),
                'coverage': summary._asdict(),
                'rows': merged.rows(),
            },
        )

    def plan(
        self,
        caller: callers.Caller,
        limit: int,
        excluded: set[snapshots.Snapshot],
    ) -> scatter.Scatter:
        """Pin a snapshot and list the candidate aggregators of each service.

        Raises
        ------
        errors.NotFound, errors.SnapshotGone
            The service is unknown, or no backend server has a snapshot of it.
        """
        register = self._active_config.register
        services = register.services_of(caller.service)
        pinned = self._catalog.choose(
            register.index_of(caller.service), services, excluded
        )
        return scatter.Scatter(
            caller.request_id,
            pinned,
            {service: self._candidates(service) for service in services},
            limit,
        )

    def _candidates(self, service: str) -> list[str]:
        """Return owner and standby of each zone, the own zone first."""
        register = self._active_config.register
        servers = register.backends_by_service[service]
        if not servers:
            return []
        region = register.regions_by_zone[servers[0].availability_zone]
        return [
            aggregator_id
            for zone in self._own_zone_first(register.zones_of_region(region))
            if zone in self._routing_by_zone
            for aggregator_id in self._routing_by_zone[zone].owners(service)
        ]

    # Operations.

    async def _handle_operation(
        self, caller: callers.Caller, document: dict[str, Any]
    ) -> webhandler.Response:
        if caller.service not in self._active_config.register.services_by_name:
            raise errors.NotFound(
                f'no service is named {caller.service!r}; an operation names'
                ' one service'
            )
        payload = document.get('payload', {})
        request = wire_pb2.OperationRequest(
            request_id=caller.request_id,
            customer=caller.customer,
            rank=scatter.rank_number(caller.rank),
            service=caller.service,
            key=callers.required_text(document, 'key'),
            issued_at=callers.integer(
                document, 'issued_at', default=None, bounds=(0, MAX_UNIX_S)
            ),
            deferred=bool(document.get('deferred', False)),
            payload=json.dumps(payload, sort_keys=True).encode(),
        )
        return await self._run_operation(caller, request)

    async def _handle_lookup(self, path: str) -> webhandler.Response:
        parts = path.removeprefix(_OPERATIONS_PATH).split('/', 2)
        if len(parts) != _OPERATION_PATH_PART_COUNT or not parts[1].isdigit():
            raise errors.NotFound(
                'use /v1/operations/<service>/<issued_at>/<key>'
            )
        service, issued_at, key = parts
        caller = callers.Caller(
            key,
            service,
            rules.Rank.STANDARD,
            '',
            self._clock() + LOOKUP_TIMEOUT_S,
        )
        if service not in self._active_config.register.services_by_name:
            raise errors.NotFound(f'no service is named {service!r}')
        return await self._run_operation(
            caller,
            wire_pb2.OperationRequest(
                request_id=key,
                rank=scatter.rank_number(caller.rank),
                service=service,
                key=key,
                issued_at=int(issued_at),
                lookup=True,
            ),
        )

    async def _run_operation(
        self, caller: callers.Caller, request: wire_pb2.OperationRequest
    ) -> webhandler.Response:
        forwarder = forwarding.OperationForwarder(
            self._context,
            self.aggregators,
            caller,
            request,
            self._candidates(caller.service),
        )
        answer = await forwarder.run()
        outcome = _outcome_name(answer.outcome)
        if answer.error_code:
            self.request_log.log_response(
                caller.request_id,
                outcome,
                repeatable=False,
                code=answer.error_code,
                message=answer.error_message,
                **self._view_log_fields(),
            )
            return webhandler.Response(
                _http_status(answer.error_code),
                {
                    'request_id': caller.request_id,
                    'error': {
                        'code': answer.error_code,
                        'message': answer.error_message,
                        'outcome': outcome,
                    },
                },
            )
        document = {
            'request_id': caller.request_id,
            'key': request.key,
            'outcome': outcome,
        }
        if answer.result:
            document['result'] = json.loads(answer.result)
        accepted = answer.outcome == wire_pb2.OUTCOME_ACCEPTED
        return webhandler.Response(_ACCEPTED if accepted else _OK, document)

    def _view_log_fields(self) -> dict[str, Any]:
        """Return the log fields that describe this process's view."""
        current = self._configuration
        return {
            'configuration_revision': current.revision if current else None,
            'view_age_s': _to_json_duration(self.view_age_s()),
            'aggregators': len(self.aggregators.connected),
        }

    # Requests from operators.

    def _handle_ready(self) -> webhandler.Response:
        if self.stopping:
            raise errors.Stopping('the process is stopping')
        if self._configuration is None or not self.aggregators.connected:
            raise errors.NotReady('no configuration or no aggregator yet')
        return webhandler.Response(_OK, {'ready': True})

    def status(self) -> dict[str, Any]:
        """Return the configuration in force, the links and the counters.

        `view_age_s` is the time since the agent's last message, in seconds.
        `other_zones_age_s` is the time since the agent last received from
        another availability zone. Both show how old the view of an isolated
        process is.
        """
        current = self._configuration
        return {
            'process_id': self._context.settings['process_id'],
            'host': self._context.settings['host'],
            'stopping': self.stopping,
            'configuration': current
            and {
                'revision': current.revision,
                'publish_id': current.publish_id,
                'age_s': round(self._clock() - self._configured_at, 3),
            },
            'view_age_s': _to_json_duration(self.view_age_s()),
            'other_zones_age_s': _to_json_duration(self.other_zones_age_s()),
            'aggregators': self.aggregators.connected,
            'in_flight': self._in_flight_limiter.in_flight,
            'counters': dict(self._metrics.totals_by_name),
        }

    def _handle_trace(self, request_id: str) -> webhandler.Response:
        spans = self._context.tracer.trace_document(request_id)
        if spans is None:
            raise errors.NotFound(
                f'this process has no trace of request {request_id!r}; query'
                ' the entry process that answered it, with "trace": true'
            )
        return webhandler.Response(_OK, {'spans': spans})


def _to_json_duration(duration_s: float | None) -> float | None:
    """Return a duration for JSON, with None for infinity."""
    if duration_s is None or math.isinf(duration_s):
        return None
    return round(duration_s, 3)


def _outcome_name(outcome: int) -> str:
    return wire_pb2.Outcome.Name(outcome).removeprefix('OUTCOME_').lower()


def _http_status(code: str) -> int:
    for error_type in errors.all_error_types():
        if error_type.code == code:
            return int(error_type.status)
    return int(errors.FlowError.status)
