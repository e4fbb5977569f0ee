"""Life of the daemons: start, readiness, graceful stop; owns their tasks."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

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
from cardamomflow.generated import wire_pb2
from cardamomflow.platform import front

DEFAULT_DRAIN_DELAY_S = 0.5
DEFAULT_DRAIN_TIMEOUT_S = 35.0
DEFAULT_STOP_WITHIN_S = 6.0
HOST_DRAIN_DELAY_S = 2.5
# Kept back from the time until the platform kills the process.
STOP_MARGIN_S = 0.5
# For the last frames to other hosts, which answer the end of a link at once.
LINKS_CLOSE_S = 0.4
_ACCEPT_RETRY_S = 0.05
_MS = 1000


def _seconds(settings: Any, key: str, default: float) -> float:
    return settings[key] / _MS if key in settings else default


class LinkServer:
    """Accepts links from entries and hands them to a handler."""

    def __init__(self, address: str, port: int, handler: Any) -> None:
        """Bind the listening socket at once, so that port 0 is resolved."""
        self._listener = webserver.listen(address, port)
        self.port: int = self._listener.getsockname()[1]
        self._handler = handler
        self.stopping = False

    async def serve(self) -> None:
        """Accept links until cancelled."""
        async with self._listener:
            while True:
                try:
                    sock, _ = await self._listener.accept()
                except OSError:
                    # No free descriptors, or the peer is already gone.
                    await curio.sleep(_ACCEPT_RETRY_S)
                    continue
                if self.stopping:
                    await sock.close()
                    continue
                links.set_no_delay(sock)
                link = links.Link(sock, wire_pb2.Envelope, self._handler)
                await curio.spawn(self._run, link, daemon=True)

    async def _run(self, link: links.Link[wire_pb2.Envelope]) -> None:
        await self._handler.on_opened(link)
        await link.run()


async def run_entry(process_context: context.Context) -> exitstatus.ExitStatus:
    """Run an entry process until it is told to stop."""
    settings = process_context.settings
    program = entry.Entry(process_context)
    listen = settings['listen']
    server = webserver.WebServer(listen['address'], listen['port'], program)
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
    await _wait_for_senders(process_context)
    clean = await server.drain(
        _seconds(settings, 'drain_timeout_ms', DEFAULT_DRAIN_TIMEOUT_S)
    )
    await program.aggregators.stop()
    return _end(process_context, clean=clean and healthy)


async def run_aggregator(
    process_context: context.Context, store: Any, ledger: Any
) -> exitstatus.ExitStatus:
    """Run an aggregator process until it is told to stop."""
    dispatcher = aggregator.GroupDispatcher()
    runner = operations.OperationRunner(
        ledger, store, dispatcher, process_context
    )
    program = aggregator.Aggregator(process_context, runner)
    dispatcher.may_send = runner.may_send
    dispatcher.groups_by_service = program.groups_by_service
    listen = process_context.settings['listen']
    server = LinkServer(listen['address'], listen['port'], program)
    view = localview.LocalViewClient(
        process_context.settings,
        'aggregator',
        _advertised(process_context.settings, server.port),
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
    await _wait_for_senders(process_context)
    clean = await _finish_work(process_context, runner, program)
    return _end(process_context, clean=clean and healthy)


class HostParts(NamedTuple):
    """The parts of a host process, wired to each other.

    Attributes
    ----------
    program : hosting.Host
    callers, readiness : webserver.WebServer
        Listen already, and have to be served.
    tasks : tuple of callables
        Run until the process ends.
    follower : following.Follower
    peers : LinkServer or None
        Takes requests for parts; listens already.
    answerer : peering.PeerServer
    feed : feedlinks.FeedLinks
    """

    program: hosting.Host
    callers: webserver.WebServer
    readiness: webserver.WebServer
    tasks: tuple[Callable[[], Awaitable[Any]], ...]
    follower: discovery.Follower
    peers: LinkServer | None
    answerer: peering.PeerServer
    feed: feedlinks.FeedLinks


def create_host(
    process_context: context.Context, store: platformsource.Source
) -> HostParts:
    """Return the parts of a host process."""
    settings = process_context.settings
    program = hosting.Host(process_context)
    server = webserver.WebServer(
        *authorities.split(settings['callers']), front.CallerHandler(program)
    )
    readiness = webserver.WebServer(
        *authorities.split(settings['readiness']),
        front.ReadinessHandler(program),
    )
    program.zones.on_cut_off_change = server.set_close_after_response
    program.bounds_changed = functools.partial(setattr, server, 'bounds')
    feed = feedlinks.FeedLinks(process_context, program.asker)
    follower = discovery.Follower(
        store, program.directory, program, feed, process_context
    )
    answerer = peering.PeerServer(process_context, program, feed)
    peers = None
    if 'peers' in settings:
        peers = LinkServer(*authorities.split(settings['peers']), answerer)
    return HostParts(
        program,
        server,
        readiness,
        (
            program.transport.sweep,
            program.zones.run,
            program.asker.links.run,
            feed.run,
            *(() if peers is None else (peers.serve,)),
            *_log_tasks(process_context, program.request_log),
            follower.follow,
            follower.expire_backends,
            follower.announce,
            looplag.LoopLag(process_context).run,
            *metricspage.create_tasks(
                process_context, process_context.settings.get('metrics')
            ),
        ),
        follower,
        peers,
        answerer,
        feed,
    )


async def run_host(
    process_context: context.Context,
    store: platformsource.Source,
    file: settings_module.SettingsFile,
) -> exitstatus.ExitStatus:
    """Run a host process until it is told to stop."""
    parts = create_host(process_context, store)
    watch = reloading.SettingsWatch(
        file, parts.program.take_settings, process_context.journal
    )
    supervisor = shutdown.Supervisor(process_context.journal)
    await supervisor.start(
        parts.callers.serve, parts.readiness.serve, watch.run, *parts.tasks
    )
    process_context.journal.info(
        events.Event.STARTED,
        port=parts.callers.port,
        readiness_port=parts.readiness.port,
    )
    healthy = await supervisor.wait()
    process_context.journal.info(events.Event.STOPPING)
    parts.program.stopping = True
    parts.callers.announce_stop()
    await parts.answerer.announce_stop()
    await parts.follower.leave()
    # The platform takes two refusals, a second apart, to send callers away.
    await curio.sleep(HOST_DRAIN_DELAY_S)
    stop_within_s = parts.program.settings.get(
        'stop_within_s', DEFAULT_STOP_WITHIN_S
    )
    clean = await _finish_requests(
        process_context,
        parts,
        stop_within_s - HOST_DRAIN_DELAY_S - STOP_MARGIN_S,
    )
    await parts.program.transport.close()
    return _end(process_context, clean=clean and healthy)


async def _finish_requests(
    process_context: context.Context, parts: HostParts, left_s: float
) -> bool:
    """Finish what callers and other hosts asked; tell if all was."""
    work_s = max(0, left_s - 2 * LINKS_CLOSE_S)
    ends_at = process_context.clock() + work_s
    clean = await parts.callers.drain(work_s)
    async with curio.ignore_after(max(0, ends_at - process_context.clock())):
        await parts.answerer.wait_idle()
    async with curio.ignore_after(LINKS_CLOSE_S):
        await parts.program.asker.links.stop()
    if parts.peers is not None:
        # Other hosts dial again as soon as their link has ended.
        parts.peers.stopping = True
    async with curio.ignore_after(LINKS_CLOSE_S):
        await parts.answerer.stop()
    return clean and parts.answerer.is_idle


def _advertised(settings: Any, port: int) -> tuple[str, int]:
    """Return where others reach a process that listens on a port."""
    listening = {'address': settings['listen']['address'], 'port': port}
    reached = settings.get('advertise', listening)
    return reached['address'], reached['port']


async def _wait_for_senders(process_context: context.Context) -> None:
    """Give balancer and peers time to learn that this process leaves."""
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
    """Finish operations and queries; tell whether all were finished."""
    timeout_s = _seconds(
        process_context.settings, 'drain_timeout_ms', DEFAULT_DRAIN_TIMEOUT_S
    )
    drained = await runner.drain(timeout_s)
    return await program.stop(timeout_s) and drained


def _log_tasks(
    process_context: context.Context, request_log: requestlog.RequestLog
) -> tuple[Callable[[], Awaitable[Any]], ...]:
    """Return what keeps the log of a process going."""
    return (
        functools.partial(_flush_log, process_context),
        functools.partial(_summarise, process_context, request_log),
    )


async def _flush_log(process_context: context.Context) -> None:
    """Write lines that wait for a reader that is back, until cancelled."""
    while True:
        await curio.sleep(logoutput.FLUSH_INTERVAL_S)
        process_context.log_output.flush()


async def _summarise(
    process_context: context.Context, request_log: requestlog.RequestLog
) -> None:
    """Log sums of requests and lost lines at intervals until cancelled."""
    while True:
        await curio.sleep(requestlog.SUMMARY_INTERVAL_S)
        request_log.summarise()
        lost = process_context.log_output.take_dropped()
        if lost:
            process_context.metrics.increment('log.lost', lost)
            process_context.journal.warning(events.Event.LINES_LOST, lines=lost)


def _end(
    process_context: context.Context, *, clean: bool
) -> exitstatus.ExitStatus:
    process_context.journal.info(events.Event.STOPPED, clean=clean)
    return exitstatus.ExitStatus.OK if clean else exitstatus.ExitStatus.FAILED
