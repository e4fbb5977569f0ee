"""Runs the daemons: start, readiness and graceful stop; owns their tasks."""

import functools
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
from curio import io as curio_io

from cardamomflow import (
    aggregator,
    authorities,
    context,
    discovery,
    entry,
    events,
    exitstatus,
    feedlinks,
    hosting,
    links,
    localview,
    logoutput,
    looplag,
    metricspage,
    operations,
    peering,
    platformsource,
    reloading,
    requestlog,
    shutdown,
    webserver,
)
from cardamomflow import settings as settings_module
from cardamomflow.accounts import check, counters
from cardamomflow.generated import wire_pb2
from cardamomflow.heldbytes import guard, sizing
from cardamomflow.platform import front
from cardamomflow.quotas import service as quota_service

DEFAULT_DRAIN_DELAY_S = 0.5
DEFAULT_DRAIN_TIMEOUT_S = 35.0
DEFAULT_STOP_WITHIN_S = 6.0
HOST_DRAIN_DELAY_S = 2.5
# Reserve before the time at which the platform kills the process.
STOP_MARGIN_S = 0.5
# For the last frames to other hosts, which close their end of a link at once.
LINK_CLOSE_TIMEOUT_S = 0.4
# Time to send the answers of requests that end when the grace period does.
LAST_ANSWER_TIMEOUT_S = 0.2
_ACCEPT_RETRY_S = 0.05
_MS = 1000


def _seconds(settings: Any, key: str, default: float) -> float:
    return settings[key] / _MS if key in settings else default


class LinkServer:
    """Accepts links from peers and passes them to a handler."""

    def __init__(
        self,
        address: str,
        port: int,
        handler: Any,
        client_guard: guard.Guard | None = None,
    ) -> None:
        """Bind the listening socket, so that port 0 is resolved at once."""
        self._guard = client_guard or guard.Guard(sizing.Limits())
        self._listener = webserver.listen(address, port)
        webserver.limit_buffers(self._listener)
        self.port: int = self._listener.getsockname()[1]
        self._handler = handler
        self.stopping = False

    async def serve(self) -> None:
        """Accept links until cancelled."""
        async with self._listener:
            for number in itertools.count(1):
                if not number % webserver.ACCEPTS_IN_A_TURN:
                    # An accept does not wait while others are pending.
                    await curio.sleep(0)
                try:
                    sock, _ = await self._listener.accept()
                except OSError:
                    # No free descriptors, or the peer is already gone.
                    await curio.sleep(_ACCEPT_RETRY_S)
                    continue
                if self.stopping:
                    await sock.close()
                    continue
                if await self._guard.make_room():
                    await self._add_link(await self._guard.admit(sock))
                else:
                    await sock.close()

    async def _add_link(self, sock: curio_io.Socket | None) -> None:
        if sock is None:
            return
        links.set_no_delay(sock)
        link = links.Link(sock, wire_pb2.Envelope, self._handler, self._guard)
        self._guard.budget.open(link)
        await curio.spawn(self._run, link, daemon=True)

    async def _run(self, link: links.Link[wire_pb2.Envelope]) -> None:
        try:
            await self._handler.on_opened(link)
            await link.run()
        finally:
            self._guard.close(link)


async def run_entry(process_context: context.Context) -> exitstatus.ExitStatus:
    """Run an entry process until a stop is requested."""
    settings = process_context.settings
    program = entry.Entry(process_context)
    listen = settings['listen']
    server = webserver.WebServer(
        listen['address'],
        listen['port'],
        program,
        client_guard=process_context.client_guard,
    )
    view = localview.LocalViewClient(
        settings, 'entry', (listen['address'], server.port), program
    )
    program.view_age_s = lambda: view.age_s
    program.other_zones_age_s = lambda: view.other_zones_age_s
    supervisor = shutdown.Supervisor(process_context.journal)
    await supervisor.start(
        server.serve,
        view.run,
        program.aggregators.run,
        *_log_tasks(process_context, program.request_log),
        *metricspage.create_tasks(
            process_context, process_context.settings.get('metrics')
        ),
    )
    process_context.journal.info(events.Event.STARTED, port=server.port)
    healthy = await supervisor.wait()
    process_context.journal.info(events.Event.STOPPING)
    program.stopping = True
    server.announce_stop()
    await _wait_drain_delay(process_context)
    clean = await server.drain(
        _seconds(settings, 'drain_timeout_ms', DEFAULT_DRAIN_TIMEOUT_S)
    )
    await program.aggregators.stop()
    return _log_stop(process_context, clean=clean and healthy)


async def run_aggregator(
    process_context: context.Context, store: Any, ledger: Any
) -> exitstatus.ExitStatus:
    """Run an aggregator process until a stop is requested."""
    dispatcher = aggregator.GroupDispatcher()
    runner = operations.OperationRunner(
        ledger, store, dispatcher, process_context
    )
    program = aggregator.Aggregator(process_context, runner)
    dispatcher.may_send = runner.may_send
    dispatcher.groups_by_service = program.groups_by_service
    listen = process_context.settings['listen']
    server = LinkServer(
        listen['address'],
        listen['port'],
        program,
        process_context.client_guard,
    )
    view = localview.LocalViewClient(
        process_context.settings,
        'aggregator',
        _advertised_endpoint(process_context.settings, server.port),
        program,
    )
    supervisor = shutdown.Supervisor(process_context.journal)
    await supervisor.start(
        server.serve,
        view.run,
        program.timers.run,
        program.run_status_polls,
        program.run_pause_checks,
        functools.partial(program.run_view_checks, view),
        runner.run_background,
        *_log_tasks(process_context, program.request_log),
        *metricspage.create_tasks(
            process_context, process_context.settings.get('metrics')
        ),
    )
    process_context.journal.info(events.Event.STARTED, port=server.port)
    healthy = await supervisor.wait()
    process_context.journal.info(events.Event.STOPPING)
    await program.announce_leaving()
    await view.leave()
    await _wait_drain_delay(process_context)
    clean = await _finish_work(process_context, runner, program)
    return _log_stop(process_context, clean=clean and healthy)


class HostComponents(NamedTuple):
    """The connected components of a host process.

    Attributes
    ----------
    host : hosting.Host
    caller_server, readiness_server : webserver.WebServer
        Already listening; their `serve` has still to be run.
    tasks : tuple of callables
        Background loops; the process ends when one fails.
    restartable_tasks : tuple of callables
        Background loops that are started again when they fail.
    follower : following.Follower
    peer_listener : LinkServer or None
        Accepts links of other hosts; already listening.
    peer_server : peering.PeerServer
    feed_links : feedlinks.FeedLinks
    """

    host: hosting.Host
    caller_server: webserver.WebServer
    readiness_server: webserver.WebServer
    tasks: tuple[Callable[[], Awaitable[Any]], ...]
    restartable_tasks: tuple[Callable[[], Awaitable[Any]], ...]
    follower: discovery.Follower
    peer_listener: LinkServer | None
    peer_server: peering.PeerServer
    feed_links: feedlinks.FeedLinks


def create_host(
    process_context: context.Context, store: platformsource.Source
) -> HostComponents:
    """Create the components of a host process and connect them."""
    settings = process_context.settings
    program = hosting.Host(process_context)
    server = webserver.WebServer(
        *authorities.split(settings['callers']),
        front.CallerHandler(program, _create_counters(process_context)),
        client_guard=process_context.client_guard,
    )
    readiness = webserver.WebServer(
        *authorities.split(settings['readiness']),
        front.ReadinessHandler(program),
        client_guard=process_context.client_guard,
        reserved_connections=webserver.OPERATORS_CONNECTIONS,
    )
    program.zones.on_cut_off_change = server.set_close_after_response
    program.on_bounds_changed = functools.partial(setattr, server, 'bounds')
    feed_links = feedlinks.FeedLinks(process_context, program.peer_client)
    follower = discovery.Follower(
        store, program.directory, program, feed_links, process_context
    )
    program.accounts_check = check.AccountsCheck(
        store, follower, process_context, quota_service.boottime
    )
    peer_server = peering.PeerServer(process_context, program, feed_links)
    peer_server.token_server = program.quotas
    peer_listener = None
    if 'peers' in settings:
        peer_listener = LinkServer(
            *authorities.split(settings['peers']),
            peer_server,
            process_context.client_guard,
        )
    return HostComponents(
        program,
        server,
        readiness,
        (
            program.transport.sweep,
            program.zones.run,
            program.peer_client.links.run,
            feed_links.run,
            program.quotas.run,
            program.quotas.run_links,
            *(() if peer_listener is None else (peer_listener.serve,)),
            follower.follow,
            follower.view.expire,
            follower.own_entry.announce,
        ),
        (
            *_log_tasks(process_context, program.request_log),
            looplag.LoopLag(process_context).run,
            *metricspage.create_tasks(
                process_context, process_context.settings.get('metrics')
            ),
        ),
        follower,
        peer_listener,
        peer_server,
        feed_links,
    )


def _create_counters(
    process_context: context.Context,
) -> counters.AccountCounters:
    """Create the counters by account, which the metrics page reads."""
    created = counters.AccountCounters()
    metrics = process_context.metrics
    metrics.register_rows('account.requests', created.requests)
    metrics.register_rows('account.refused', created.refusals)
    return created


async def run_host(
    process_context: context.Context,
    store: platformsource.Source,
    file: settings_module.SettingsFile,
) -> exitstatus.ExitStatus:
    """Run a host process until a stop is requested."""
    components = create_host(process_context, store)
    watch = reloading.SettingsWatch(
        file, components.host.apply_settings, process_context.journal
    )
    supervisor = shutdown.Supervisor(process_context.journal)
    await supervisor.start(
        components.caller_server.serve,
        components.readiness_server.serve,
        *components.tasks,
    )
    await supervisor.start_restartable(watch.run, *components.restartable_tasks)
    process_context.journal.info(
        events.Event.STARTED,
        port=components.caller_server.port,
        readiness_port=components.readiness_server.port,
    )
    healthy = await supervisor.wait()
    clean = await _stop_host(process_context, components)
    return _log_stop(process_context, clean=clean and healthy)


async def _stop_host(
    process_context: context.Context, components: HostComponents
) -> bool:
    """Stop a host process; return whether all requests were finished."""
    process_context.journal.info(events.Event.STOPPING)
    drained_by = (
        process_context.clock()
        + components.host.settings.get('stop_within_s', DEFAULT_STOP_WITHIN_S)
        - STOP_MARGIN_S
        - LINK_CLOSE_TIMEOUT_S
    )
    components.caller_server.announce_stop()
    await components.host.stop_by(drained_by - LAST_ANSWER_TIMEOUT_S)
    await components.peer_server.announce_stop()
    await components.follower.own_entry.leave()
    # The platform removes a host from its rotation after two failed readiness
    # checks, a second apart.
    await curio.sleep(HOST_DRAIN_DELAY_S)
    clean = await _finish_requests(process_context, components, drained_by)
    await components.host.transport.close()
    return clean


async def _finish_requests(
    process_context: context.Context,
    components: HostComponents,
    drained_by: float,
) -> bool:
    """Finish all requests; return whether none was left at the end."""
    clock = process_context.clock
    clean = await components.caller_server.drain(max(0, drained_by - clock()))
    async with curio.ignore_after(max(0, drained_by - clock())):
        await components.peer_server.wait_idle()
    async with curio.ignore_after(LINK_CLOSE_TIMEOUT_S):
        await components.host.peer_client.links.stop()
        await components.host.quotas.stop()
        if components.peer_listener is not None:
            # Other hosts dial again as soon as their link is closed.
            components.peer_listener.stopping = True
        await components.peer_server.stop()
    return clean and components.peer_server.is_idle


def _advertised_endpoint(settings: Any, port: int) -> tuple[str, int]:
    """Return the address and port at which others reach this process."""
    listen_endpoint = {'address': settings['listen']['address'], 'port': port}
    endpoint = settings.get('advertise', listen_endpoint)
    return endpoint['address'], endpoint['port']


async def _wait_drain_delay(process_context: context.Context) -> None:
    """Wait until load balancer and peers have seen that the process stops."""
    await curio.sleep(
        _seconds(
            process_context.settings, 'drain_delay_ms', DEFAULT_DRAIN_DELAY_S
        )
    )


async def _finish_work(
    process_context: context.Context,
    runner: operations.OperationRunner,
    program: aggregator.Aggregator,
) -> bool:
    """Finish operations and queries; return whether all were finished."""
    timeout_s = _seconds(
        process_context.settings, 'drain_timeout_ms', DEFAULT_DRAIN_TIMEOUT_S
    )
    drained = await runner.drain(timeout_s)
    return await program.stop(timeout_s) and drained


def _log_tasks(
    process_context: context.Context, request_log: requestlog.RequestLog
) -> tuple[Callable[[], Awaitable[Any]], ...]:
    """Return the background tasks of the log of a process."""
    return (
        functools.partial(_flush_log, process_context),
        functools.partial(_log_summaries, process_context, request_log),
    )


async def _flush_log(process_context: context.Context) -> None:
    """Write buffered log lines when the reader reads again, until cancelled."""
    while True:
        await curio.sleep(logoutput.FLUSH_INTERVAL_S)
        process_context.log_output.flush()


async def _log_summaries(
    process_context: context.Context, request_log: requestlog.RequestLog
) -> None:
    """Log counts of requests and lost lines at intervals, until cancelled."""
    while True:
        await curio.sleep(requestlog.SUMMARY_INTERVAL_S)
        request_log.log_summary()
        dropped_lines = process_context.log_output.take_dropped()
        if dropped_lines:
            process_context.metrics.increment('log.lost', dropped_lines)
            process_context.journal.warning(
                events.Event.LINES_LOST, lines=dropped_lines
            )


def _log_stop(
    process_context: context.Context, *, clean: bool
) -> exitstatus.ExitStatus:
    process_context.journal.info(events.Event.STOPPED, clean=clean)
    return exitstatus.ExitStatus.OK if clean else exitstatus.ExitStatus.FAILED
