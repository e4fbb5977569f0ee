"""HTTP server for the metrics of a process; owns its listening socket."""

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
    """Serves the metrics of a process."""

    def __init__(self, metrics: telemetry.Metrics) -> None:
        """Create the handler that renders `metrics`."""
        self._metrics = metrics

    async def handle(self, request: webhandler.Request) -> webhandler.Response:
        """Return the metrics as text."""
        if request.path.partition('?')[0] != PATH:
            raise errors.NotFound(f'the metrics are served at {PATH}')
        return webhandler.Response(
            _OK,
            None,
            [('content-type', exposition.CONTENT_TYPE_LATEST)],
            self._metrics.render(),
        )


def create_tasks(
    process_context: context.Context, address: str | None
) -> tuple[Callable[[], Awaitable[Any]], ...]:
    """Listen on the metrics address; return the functions to run as tasks.

    Parameters
    ----------
    process_context : context.Context
    address : str or None
        IP number and port; without it nothing is served.
    """
    if address is None:
        return ()
    server = webserver.WebServer(
        *authorities.split(address),
        MetricsPage(process_context.metrics),
        client_guard=process_context.client_guard,
        reserved_connections=webserver.OPERATORS_CONNECTIONS,
    )
    process_context.journal.info(events.Event.METRICS_SERVED, port=server.port)
    return (server.serve,)
