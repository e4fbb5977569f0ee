"""The metrics address of a process; owns its listening socket."""

from collections.abc import Awaitable, Callable
from typing import Any

from prometheus_client import exposition

from cardamomflow import (
    authorities,
    context,
    errors,
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


def from_settings(
    around: context.Context,
) -> tuple[Callable[[], Awaitable[Any]], ...]:
    """Listen if the settings name an address; return what serves there."""
    served_at = around.settings.get('metrics')
    if served_at is None:
        return ()
    server = webserver.WebServer(
        *authorities.split(served_at), MetricsPage(around.metrics)
    )
    around.journal.info('metrics served', port=server.port)
    return (server.serve,)
