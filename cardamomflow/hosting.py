"""The host program: the whole tier in one process, on a users' platform.

Applies what the platform reports and answers the callers. Routes and backend
servers come from the platform, so no agent is needed. The process calls
backend servers itself, so no aggregator is needed.
"""

import functools
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import curio
import logbook

from cardamomflow import (
    activerequests,
    answertime,
    context,
    delegatedparts,
    directory,
    discovery,
    dispatching,
    errors,
    events,
    extraload,
    graceperiod,
    ownership,
    peering,
    reloading,
    requestlog,
    requeststate,
    routes,
    serverconnection,
    servicezones,
    zonewatch,
)
from cardamomflow.accounts import authentication, check
from cardamomflow.accounts import table as accounts_table
from cardamomflow.coldstarts import allocation
from cardamomflow.platform import front
from cardamomflow.quotas import service as quota_service

# Number of hosts that is assumed before the first count: a small fleet.
INITIAL_HOST_COUNT = 8
# A smaller number of hosts is applied after this time. It is longer than an
# outage of the platform with the recovery that follows.
HOST_DECREASE_DELAY_S = 30.0
DEFAULT_RETRY_SHARE = 0.2
# Retry-After of a request that no backend server can accept. Callers wait at
# most a third of their remaining time.
RETRY_AFTER_S = 0.25
# Bytes that each part adds to an answer: a signature of the users' platform
# has 30 to 40 characters and is followed by a comma.
PART_BYTES = 40
# Ignored parts of the accounts of one revision that its log line names.
MAX_LOGGED_PROBLEMS = 20
DEFAULT_LINK_MBPS = 1000.0
_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1_000_000
_MS = 1000
# The platform removes a host from its rotation after two answers, a second
# apart, that report it as not ready.
ROTATION_REMOVAL_S = 2.2


# Settings that are applied while the process runs; `stop_within_s` is read at
# the stop.
_RELOADABLE_SETTINGS = frozenset(
    ('retry_share', 'retry_burst', 'stop_within_s')
)


class Host(front.Application, discovery.Listener, peering.PartsServer):
    """Answers callers with the routes and backend servers of the platform."""

    def __init__(self, process_context: context.Context) -> None:
        self.stopping = False
        self.grace_period = graceperiod.GracePeriod()
        self.settings = process_context.settings
        self.on_bounds_changed: Callable[[serverconnection.Bounds], None] = (
            _ignore_bounds
        )
        # Set by the composition root.
        self.accounts_check: check.AccountsCheck | None = None
        self.directory = directory.Directory()
        self._context = process_context
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._table: routes.RouteTable | None = None
        self.active_requests = activerequests.ActiveRequests(
            process_context, self.directory
        )
        self.transport = self.active_requests.transport
        self.peer_client = self.active_requests.peer_client
        self.quotas = quota_service.Quotas(process_context, self.peer_client)
        self._dispatcher = self.active_requests.dispatcher
        self.zones = zonewatch.ZoneWatch(
            process_context, self.directory, self._dispatcher, self.transport
        )
        self.platform_confirmed_at = process_context.clock()
        self._confirmation_age = authentication.ConfirmationAge()
        self.request_log = requestlog.RequestLog(
            process_context.journal, process_context.clock
        )
        self._answer_time = answertime.AnswerTime()
        self._register_gauges()
        self._host_count = INITIAL_HOST_COUNT
        self._usual_capacity = math.inf
        self._keep_host_count_until = float('-inf')
        self._members: list[ownership.Member] = []
        self._dispatcher.cold_servers.view_age_s = functools.partial(
            _real_age_s, self._confirmation_age
        )
        self._update_sharing(self._host_count)

    # Updates from the platform.

    async def on_routes_changed(self, table: routes.RouteTable) -> None:
        """Apply the routes of a newer revision."""
        self._table = table
        self._answer_time.clear()
        self.grace_period.retain(table.names)
        self._dispatcher.apply(table)
        self.zones.apply(table)
        await self.quotas.apply(table.accounts)
        _update_cold_view(
            self._dispatcher,
            self.peer_client.owners,
            self._members,
            self._clock(),
        )
        self.on_bounds_changed(
            serverconnection.Bounds(
                head_bytes=table.limits.head_bytes,
                body_bytes=table.limits.body_bytes,
                head_timeout_s=table.limits.head_timeout_s,
                idle_timeout_s=table.limits.idle_timeout_s,
            )
        )
        await _report_accounts(
            self._context.journal, table, self.accounts_check
        )

    async def on_backends_changed(
        self, changes: Iterable[directory.Change]
    ) -> None:
        """Apply changes of the list of backend servers."""
        self._dispatcher.on_directory_changes(changes, self._clock())
        for change in changes:
            if not change.usable:
                await self.transport.close_idle(change.backend_id)
        await self.active_requests.send()

    async def on_platform_confirmed(self, confirmed_at: float) -> None:
        """Record when the platform confirmed the data of this host."""
        self.platform_confirmed_at = confirmed_at
        self._confirmation_age.record(
            confirmed_at, self._clock(), quota_service.boottime()
        )
        self.quotas.on_confirmed(confirmed_at)
        if self.accounts_check is not None:
            await self.accounts_check.on_confirmed(confirmed_at)

    async def on_hosts_counted(self, hosts: int) -> None:
        """Update the number of hosts that share connections and budgets.

        A smaller number is applied only after a delay: entries of running
        hosts may be missing from the list for some seconds.
        """
        now = self._clock()
        if hosts >= self._host_count or now >= self._keep_host_count_until:
            if hosts != self._host_count:
                self._context.journal.info(
                    events.Event.HOSTS_COUNTED,
                    hosts=hosts,
                    before=self._host_count,
                )
            self._host_count = hosts
            self._keep_host_count_until = now + HOST_DECREASE_DELAY_S
            self._update_sharing(hosts)

    async def on_members_listed(
        self, members: Iterable[ownership.Member]
    ) -> None:
        """Update the hosts that parts of queries can be handed over to."""
        members = list(members)
        await self.quotas.on_members(members)
        capacity = ownership.usual_capacity(
            [self.peer_client.owners.own, *members]
        )
        if capacity != self._usual_capacity:
            self._usual_capacity = capacity
            self._update_sharing(self._host_count)
        handover_services = self._dispatcher.handed_over_services
        services_by_zone = self.directory.services_by_zone(handover_services)
        home_zones = servicezones.home_zones(services_by_zone)
        own_zone = self.settings['host']['availability_zone']
        remote_services_by_zone = servicezones.remote_services(
            {zone: services_by_zone[zone] for zone in home_zones},
            handover_services,
            own_zone,
        )
        remote_count = sum(map(len, remote_services_by_zone.values()))
        placement = ownership.Placement(
            len(handover_services) - remote_count, remote_services_by_zone
        )
        if await self.peer_client.apply(members, home_zones, placement):
            self._update_sharing(self._host_count)
        self._members = members
        _update_cold_view(
            self._dispatcher,
            self.peer_client.owners,
            self._members,
            self._clock(),
        )

    def apply_settings(self, document: Any) -> reloading.ReloadResult:
        """Apply changed budgets; other keys need a restart."""
        changed = {
            key
            for key in self.settings.keys() | document.keys()
            if self.settings.get(key) != document.get(key)
        }
        in_force = changed & _RELOADABLE_SETTINGS
        unchanged = {
            key: value
            for key, value in self.settings.items()
            if key not in in_force
        }
        new_values = {key: document[key] for key in in_force & document.keys()}
        self.settings = {**unchanged, **new_values}
        self._update_sharing(self._host_count)
        return reloading.ReloadResult(
            sorted(in_force), sorted(changed - in_force)
        )

    # Requests of callers.

    @property
    def ready(self) -> bool:
        """Whether the platform should send new callers to this host."""
        has_routes = self._table is not None
        return has_routes and not self.stopping and not self.zones.is_cut_off

    def record_failure(self, error: errors.FlowError) -> None:
        """Count a request that failed."""
        self._metrics.increment(f'host.failed.{error.code}')

    def record_refusal(self, request_id: str, error: errors.FlowError) -> None:
        """Log a request that was refused before it got a route."""
        self.request_log.log_refusal(request_id, error, **self._platform_view())

    def route(self, host: str, path: str) -> routes.Route:
        """Return the route of a request."""
        if self._table is None:
            raise errors.NotReady('no routes are known yet')
        matching_route = self._table.find(host, path)
        if matching_route is None:
            raise errors.NotFound(f'no route matches {host}{path}')
        return matching_route

    async def check_accounts(self, remaining_s: float) -> float:
        """Find out whether accounts were introduced; return the wait."""
        if self.accounts_check is None or self._table is None:
            return 0
        if self._table.accounts:
            return 0
        started_at = self._clock()
        await self.accounts_check.wait(remaining_s)
        return self._clock() - started_at

    def authenticate(
        self, route: routes.Route, key: str | None
    ) -> accounts_table.Account | None:
        """Return the client account of a request; None if it needs none."""
        if self._table is None:
            raise errors.NotReady('no accounts are known yet')
        return authentication.authenticate(
            self._table.accounts,
            key,
            _real_age_s(self._confirmation_age),
            is_public=route.is_public,
            is_confirmed=self.accounts_check is None
            or self.accounts_check.is_confirmed,
        )

    async def answer(
        self,
        route: routes.Route,
        message: Any,
        time_budget: requeststate.TimeBudget,
        account: accounts_table.Account | None = None,
    ) -> requeststate.Work:
        """Run a request and return it with its answer."""
        now = self._clock()
        try:
            time_budget = self.grace_period.limit(route, time_budget, now)
            permit = await self.quotas.admit(
                account, now + min(time_budget.remaining_s, route.timeout_s)
            )
        except (
            errors.Stopping,
            errors.QuotaExceeded,
            errors.QuotaUnknown,
        ) as error:
            self.request_log.log_refusal(
                message.request_id.decode('latin-1'),
                error,
                repeatable=route.repeatable,
                **requestlog.describe_account(account),
                **self._platform_view(),
            )
            raise
        work = requeststate.Work(
            route,
            route.services(self._context.random),
            message,
            now,
            time_budget._replace(sending_s=self._sending_s(route)),
            account,
        )
        ending = await self.active_requests.run(work)
        if ending is requeststate.Ending.NOT_RUN:
            self.quotas.give_back(account, permit)
        self._metrics.increment(f'host.ended.{ending.name.lower()}')
        duration_s = self._clock() - work.started_at
        self._metrics.observe('host.latency', work.rank.label, duration_s)
        if ending is requeststate.Ending.ANSWERED:
            self.grace_period.record_answer(route.name, duration_s)
            await curio.spawn(
                self._record_answer, work, self._clock(), daemon=True
            )
        else:
            self._log_request(work, ending)
        _raise_failure(work, ending, self._retry_after_s(work))
        return work

    async def stop_by(self, answer_by: float) -> None:
        """Answer all requests in progress, and all further ones, in time.

        Parameters
        ----------
        answer_by : float
            Monotonic time in seconds.
        """
        self.stopping = True
        self.grace_period.start(answer_by)
        await self.active_requests.limit_deadlines(answer_by)

    async def wake(self, work: requeststate.Work) -> None:
        """Process a request that its requester ended, or granted more."""
        await self.active_requests.wake(work)

    async def serve_parts(
        self,
        work: delegatedparts.DelegatedWork,
        report: peering.PartsReporter,
        asked_by: str,
    ) -> None:
        """Fetch parts on behalf of another host."""
        work.deadline = min(work.deadline, self.grace_period.answer_by)
        if work.account is not None and self._table is not None:
            # The message has only the name. An account that this host does
            # not know yet has the weight of one without a limit.
            work.account = self._table.accounts.accounts_by_name.get(
                work.account.name, work.account
            )
        ending = await self.active_requests.run_parts(work, report)
        work.drop_bodies()
        self._log_request(work, ending, asked_by=asked_by)

    def _sending_s(self, route: routes.Route) -> float:
        """Return how long writing and sending the answer takes, in seconds."""
        bits = len(route.shards) * PART_BYTES * _BITS_PER_BYTE
        link_mbps = self.settings.get('link_mbps', DEFAULT_LINK_MBPS)
        transfer_s = bits / (link_mbps * _BITS_PER_MBIT)
        return transfer_s + self._answer_time.estimate_s(route.name)

    async def _record_answer(
        self, work: requeststate.Work, decided_at: float
    ) -> None:
        """Record an answer after it was sent."""
        send_s = self._clock() - decided_at
        self._answer_time.record(work.route.name, send_s)
        self._log_request(work, requeststate.Ending.ANSWERED)

    def _log_request(
        self,
        work: requeststate.Work,
        ending: requeststate.Ending,
        asked_by: str | None = None,
    ) -> None:
        self.request_log.log_end(
            work,
            ending,
            work.message.request_id.decode('latin-1'),
            asked_by,
            **self._platform_view(),
        )

    def _platform_view(self) -> dict[str, Any]:
        """Return the state of the platform that the host uses, with its age."""
        age_s = self._clock() - self.platform_confirmed_at
        return {
            'routes_revision': self._table.revision if self._table else None,
            'platform_age_ms': round(age_s * _MS),
            'silent_zones': sorted(self._dispatcher.reachability.silent_zones),
        }

    def _retry_after_s(self, work: requeststate.Work) -> float:
        """Return after how many seconds a caller should retry.

        By then, a backend server of each missing part takes requests again,
        and the platform has removed a host that is cut off from its rotation,
        so the caller reaches another zone.
        """
        pause_s = self._dispatcher.notices.remaining_s(
            (
                subrequest.service
                for subrequest in work.subrequests
                if subrequest.failure_reason is not None
            ),
            self._clock(),
        )
        silent_since = self._dispatcher.reachability.silent_since()
        if not self.zones.is_cut_off or silent_since is None:
            return max(RETRY_AFTER_S, pause_s)
        remaining_s = silent_since + ROTATION_REMOVAL_S - self._clock()
        return max(RETRY_AFTER_S, pause_s, remaining_s)

    def _register_gauges(self) -> None:
        """Register the gauges that the metrics read from this host."""
        gauges = {
            'platform_age': lambda: self._clock() - self.platform_confirmed_at,
            'known_hosts': lambda: self._host_count,
            'backend_servers': lambda: len(self.directory.backends_by_id),
            'evacuated_zones': lambda: len(self.directory.evacuated_zones),
            'open_requests': lambda: self.active_requests.count,
        }
        for name, read_value in gauges.items():
            self._metrics.register_gauge(f'host.{name}', read_value)

    def _update_sharing(self, hosts: int) -> None:
        self._dispatcher.update_sharing(
            extraload.FleetBudget(
                max(1, hosts),
                self.settings.get('retry_share', DEFAULT_RETRY_SHARE),
                self.settings.get('retry_burst', 0),
                self.peer_client.owners.owners_per_service
                if self.peer_client.is_enabled
                else 0,
                self.peer_client.owners.owns,
                self._usual_capacity,
            )
        )


def _update_cold_view(
    dispatcher: dispatching.Dispatcher,
    owners: ownership.Ownership,
    members: Sequence[ownership.Member],
    now: float,
) -> None:
    """Update the hosts that divide the requests to cold backend servers."""
    services = dispatcher.handed_over_services
    view = allocation.create_view(
        owners.own.host_id,
        members,
        services,
        frozenset(filter(owners.owns, services)),
    )
    dispatcher.cold_servers.update_view(view, now)


async def _report_accounts(
    journal: logbook.Logger,
    table: routes.RouteTable,
    accounts_check: check.AccountsCheck | None,
) -> None:
    """Log which accounts are in force, and which parts are ignored.

    Ends a check for accounts too, since newer routes are in force.
    """
    accounts = table.accounts
    if accounts:
        journal.info(
            events.Event.ACCOUNTS_IN_FORCE,
            revision=table.revision,
            accounts=len(accounts.accounts_by_name),
        )
    if accounts.problems:
        journal.warning(
            events.Event.ACCOUNTS_IGNORED,
            revision=table.revision,
            problems=accounts.problems[:MAX_LOGGED_PROBLEMS],
            count=len(accounts.problems),
        )
    if accounts_check is not None:
        await accounts_check.on_routes_changed()


def _real_age_s(confirmation_age: authentication.ConfirmationAge) -> float:
    """Return the real time since the platform's data was confirmed."""
    return confirmation_age.age_s(quota_service.boottime())


def _ignore_bounds(_: Any) -> None:
    """Ignore changed bounds until a server is attached."""


# Errors of requests that were not run, by their only reason.
_ERROR_TYPES_BY_REASON: dict[str, type[errors.FlowError]] = {
    errors.DeadlineUnreachable.code: errors.DeadlineUnreachable,
    errors.MemoryShort.code: errors.MemoryShort,
}


def _raise_failure(
    work: requeststate.Work, ending: requeststate.Ending, retry_delay_s: float
) -> None:
    """Raise the error that a caller gets instead of an answer."""
    if (
        not work.route.merges_answers
        and work.subrequests[0].error_reply is not None
    ):
        return
    reasons = {
        subrequest.failure_reason
        for subrequest in work.subrequests
        if subrequest.failure_reason is not None
    }
    reason = ', '.join(sorted(reasons)) or 'no answer in time'
    if work.is_evicted:
        reason = errors.MemoryShort.code
    if ending is not requeststate.Ending.ANSWERED:
        work.drop_bodies()
    match ending:
        case requeststate.Ending.NOT_RUN:
            error_type = _ERROR_TYPES_BY_REASON.get(reason, errors.NoReplica)
            raise error_type(reason, retry_after_s=retry_delay_s)
        case requeststate.Ending.FAILED:
            raise errors.BackendFailed(reason)
        case requeststate.Ending.LATE:
            raise errors.DeadlineExceeded(reason)
