"""The metrics address of a process; owns its listening socket."""

from collections.abc import Awaitable, Callable
from typing import Any

from prometheus_client import exposition

from cardamomflow import (
    authorities,
    context,
    errors,
    events,
    telemetry,
    webhandler,
    webserver,
)

PATH = '/metrics'
_OK = 200


class MetricsPage(webhandler.RequestHandler):
    """Serves the figures of a process."""

    def __init__(self, metrics: telemetry.Metrics) -> None:
        """Take the figures."""
        self._metrics = metrics

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Answer one request."""
        if request.path.partition('?')[0] != PATH:
            raise errors.NotFound(f'the metrics are at {PATH}')
        return webhandler.Response(
            _OK,
            None,
            [('content-type', exposition.CONTENT_TYPE_LATEST)],
            self._metrics.render(),
        )


def tasks(
    process_context: context.Context, served_at: str | None
) -> tuple[Callable[[], Awaitable[Any]], ...]:
    """Listen if there is an address; return what serves the figures there."""
    if served_at is None:
        return ()
    server = webserver.WebServer(
        *authorities.split(served_at), MetricsPage(process_context.metrics)
    )
    process_context.journal.info(events.Event.METRICS_SERVED, port=server.port)
    return (server.serve,)
