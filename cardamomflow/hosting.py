"""The host program: the whole tier in one process, on a users' platform.

Owns the requests in progress and when they are looked at again. Routes and
backend servers come from the platform, so that it needs no agent, and it
calls backend servers itself, so that it needs no aggregator.
"""

from collections.abc import Callable, Iterable
from typing import Any

import curio

from cardamomflow import (
    activerequests,
    answertime,
    context,
    delegatedparts,
    directory,
    discovery,
    errors,
    events,
    extraload,
    ownership,
    peering,
    reloading,
    requestlog,
    requeststate,
    routes,
    serverconnection,
    zonewatch,
)
from cardamomflow.platform import front

# The number of hosts before any was counted: a small fleet's.
ASSUMED_HOSTS = 8
# Time after which a smaller number of hosts is believed; an outage of the
# platform with its catching up is shorter.
FEWER_HOSTS_S = 30.0
DEFAULT_RETRY_SHARE = 0.2
# Retry-After of a request that no backend server can take. Callers wait at
# most a third of the time that they have left.
COME_BACK_S = 0.25
# Of an answer, for each part: a signature of the users' platform has 30 to 40
# characters, and a comma follows.
PART_BYTES = 40
DEFAULT_LINK_MBPS = 1000.0
_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1_000_000
_MS = 1000
# The platform takes a host that is not ready out of its rotation after two
# answers, a second apart.
LEAVE_ROTATION_S = 2.2


# Settings that come into force while the process runs; `stop_within_s` is
# read when it is needed.
_TAKEN_WHILE_RUNNING = frozenset(
    ('retry_share', 'retry_burst', 'stop_within_s')
)


class Host(front.Application, discovery.Listener, peering.PartsServer):
    """State of a host process."""

    def __init__(self, process_context: context.Context) -> None:
        """Start without routes and without backend servers."""
        self.stopping = False
        self.settings = process_context.settings
        self.bounds_changed: Callable[[serverconnection.Bounds], None] = _ignore
        self.directory = directory.Directory()
        self._context = process_context
        self._clock = process_context.clock
        self._metrics = process_context.metrics
        self._table: routes.RouteTable | None = None
        self.runs = activerequests.Runs(process_context, self.directory)
        self.transport = self.runs.transport
        self.asker = self.runs.asker
        self._dispatcher = self.runs.dispatcher
        self.zones = zonewatch.ZoneWatch(
            process_context, self.directory, self._dispatcher, self.transport
        )
        self.platform_confirmed_at = process_context.clock()
        self.request_log = requestlog.RequestLog(
            process_context.journal, process_context.clock
        )
        self._answer_time = answertime.AnswerTime()
        self._measure()
        self._hosts = ASSUMED_HOSTS
        self._hosts_until = float('-inf')
        self._share_with(self._hosts)

    # What the platform says.

    async def on_routes_changed(self, table: routes.RouteTable) -> None:
        """Put the routes of a newer revision in force."""
        self._table = table
        self._answer_time.clear()
        self._dispatcher.apply(table)
        self.zones.apply(table)
        self.bounds_changed(
            serverconnection.Bounds(
                head_bytes=table.limits.head_bytes,
                body_bytes=table.limits.body_bytes,
                head_timeout_s=table.limits.head_timeout_s,
                idle_timeout_s=table.limits.idle_timeout_s,
            )
        )

    async def on_backends_changed(
        self, changes: Iterable[directory.Change]
    ) -> None:
        """Use the backend servers that are listed now."""
        self._dispatcher.on_directory_changes(changes, self._clock())
        for change in changes:
            if not change.usable:
                await self.transport.close_idle(change.backend_id)
        await self.runs.send()

    def on_platform_confirmed(self, confirmed_at: float) -> None:
        """Note when the platform confirmed what this host knows."""
        self.platform_confirmed_at = confirmed_at

    async def on_hosts_counted(self, hosts: int) -> None:
        """Take the number of hosts that share connections and budgets.

        A smaller number counts only after a while: entries of hosts that
        live may be missing from the list for some seconds.
        """
        now = self._clock()
        if hosts >= self._hosts or now >= self._hosts_until:
            if hosts != self._hosts:
                self._context.journal.info(
                    events.Event.HOSTS_COUNTED, hosts=hosts, before=self._hosts
                )
            self._hosts = hosts
            self._hosts_until = now + FEWER_HOSTS_S
            self._share_with(hosts)

    async def on_members_listed(
        self, members: Iterable[ownership.Member]
    ) -> None:
        """Take the hosts that parts of queries can be handed to."""
        shared = self._dispatcher.handed_over_services
        present_by_zone = self.directory.services_by_zone(shared)
        homes = frozenset(
            zone
            for zone, present in present_by_zone.items()
            if 2 * len(present) > len(shared)
        )
        own_zone = self.settings['host']['availability_zone']
        distant = shared - present_by_zone.get(own_zone, set())
        if await self.asker.apply(members, homes, distant):
            self._share_with(self._hosts)

    def take_settings(self, document: Any) -> reloading.Taken:
        """Use changed budgets; other keys wait for the next start."""
        changed = {
            key
            for key in self.settings.keys() | document.keys()
            if self.settings.get(key) != document.get(key)
        }
        in_force = changed & _TAKEN_WHILE_RUNNING
        kept = {
            key: value
            for key, value in self.settings.items()
            if key not in in_force
        }
        taken = {key: document[key] for key in in_force & document.keys()}
        self.settings = {**kept, **taken}
        self._share_with(self._hosts)
        return reloading.Taken(sorted(in_force), sorted(changed - in_force))

    # What callers ask.

    @property
    def ready(self) -> bool:
        """Whether new callers should come here."""
        known = self._table is not None
        return known and not self.stopping and not self.zones.is_cut_off

    def record_failure(self, error: errors.FlowError) -> None:
        """Count a request that failed."""
        self._metrics.increment(f'host.failed.{error.code}')

    def record_refusal(self, request_id: str, error: errors.FlowError) -> None:
        """Log a request that no service was chosen for."""
        self.request_log.refused(request_id, error, **self._knowledge())

    def route(self, host: str, path: str) -> routes.Route:
        """Return the route of a request."""
        if self._table is None:
            raise errors.NotReady('no routes are known yet')
        found = self._table.find(host, path)
        if found is None:
            raise errors.NotFound(f'no route leads from {host}{path}')
        return found

    async def answer(
        self,
        route: routes.Route,
        message: Any,
        time_budget: requeststate.TimeBudget,
    ) -> requeststate.Work:
        """Return an ended request that has its answer."""
        work = requeststate.Work(
            route,
            route.services(self._context.random),
            message,
            self._clock(),
            time_budget._replace(sending_s=self._sending_s(route)),
        )
        ending = await self.runs.run(work)
        self._metrics.increment(f'host.ended.{ending.name.lower()}')
        self._metrics.observe(
            'host.latency', route.rank.label, self._clock() - work.started_at
        )
        if ending is requeststate.Ending.ANSWERED:
            await curio.spawn(self._answered, work, self._clock(), daemon=True)
        else:
            self._log_request(work, ending)
        _check(work, ending, self._come_back_s())
        return work

    async def wake(self, work: requeststate.Work) -> None:
        """Look at a request that nobody waits for any more."""
        await self.runs.wake(work)

    async def serve_parts(
        self,
        work: delegatedparts.DelegatedWork,
        report: peering.PartsReporter,
        asked_by: str,
    ) -> None:
        """Ask for parts on behalf of another host."""
        ending = await self.runs.run_parts(work, report)
        self._log_request(work, ending, asked_by=asked_by)

    def _sending_s(self, route: routes.Route) -> float:
        """Return how long it takes to write and send the answer of a query."""
        bits = len(route.shards) * PART_BYTES * _BITS_PER_BYTE
        speed = self.settings.get('link_mbps', DEFAULT_LINK_MBPS)
        on_link_s = bits / (speed * _BITS_PER_MBIT)
        return on_link_s + self._answer_time.estimate_s(route.name)

    async def _answered(
        self, work: requeststate.Work, decided_at: float
    ) -> None:
        """Note an answer, after it was sent."""
        taken_s = self._clock() - decided_at
        self._answer_time.record(work.route.name, taken_s)
        self._log_request(work, requeststate.Ending.ANSWERED)

    def _log_request(
        self,
        work: requeststate.Work,
        ending: requeststate.Ending,
        asked_by: str | None = None,
    ) -> None:
        self.request_log.ended(
            work,
            ending,
            work.message.request_id.decode('latin-1'),
            asked_by,
            **self._knowledge(),
        )

    def _knowledge(self) -> dict[str, Any]:
        """Return what the host knows, with its age."""
        age_s = self._clock() - self.platform_confirmed_at
        return {
            'routes_revision': self._table.revision if self._table else None,
            'platform_age_ms': round(age_s * _MS),
            'silent_zones': sorted(self._dispatcher.reachability.silent_zones),
        }

    def _come_back_s(self) -> float:
        """Return when a caller should ask again.

        A host that is cut off leaves the platform's rotation by then, and the
        caller reaches another zone.
        """
        silent_since = self._dispatcher.reachability.silent_since()
        if not self.zones.is_cut_off or silent_since is None:
            return COME_BACK_S
        left_s = silent_since + LEAVE_ROTATION_S - self._clock()
        return max(COME_BACK_S, left_s)

    def _measure(self) -> None:
        """Let the metrics read what the host knows."""
        gauges = {
            'platform_age': lambda: self._clock() - self.platform_confirmed_at,
            'known_hosts': lambda: self._hosts,
            'backend_servers': lambda: len(self.directory.backends_by_id),
            'open_requests': lambda: self.runs.count,
        }
        for name, read in gauges.items():
            self._metrics.register_gauge(f'host.{name}', read)

    def _share_with(self, hosts: int) -> None:
        self._dispatcher.update_sharing(
            extraload.FleetBudget(
                max(1, hosts),
                self.settings.get('retry_share', DEFAULT_RETRY_SHARE),
                self.settings.get('retry_burst', 0),
                self.asker.owners.owners_per_service
                if self.asker.is_enabled
                else 0,
                self.asker.owners.owns,
            )
        )


def _ignore(_: Any) -> None:
    """Stand in until there is a server to tell."""


def _check(
    work: requeststate.Work, ending: requeststate.Ending, come_back_s: float
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
    match ending:
        case requeststate.Ending.NOT_RUN:
            raise errors.NoReplica(reason, retry_after_s=come_back_s)
        case requeststate.Ending.FAILED:
            raise errors.BackendFailed(reason)
        case requeststate.Ending.LATE:
            raise errors.DeadlineExceeded(reason)
