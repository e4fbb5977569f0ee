"""Structured log: one JSON object per line on standard output.

Lines report changes of state. `requestlog` also logs requests whose answer was
late or incomplete. Other frequent events are counted; see `telemetry`.
"""

import json
import logging
import sys
from typing import IO

import logbook
from logbook import compat

LEVELS_BY_NAME = {
    'debug': logbook.DEBUG,
    'info': logbook.INFO,
    'warning': logbook.WARNING,
    'error': logbook.ERROR,
}


def _format(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = {
        'time': record.time.isoformat(),
        'level': logbook.get_level_name(record.level).lower(),
        'process': record.channel,
        'event': record.message,
        **record.kwargs,
    }
    return json.dumps(line, default=str)


def create(
    process_id: str, level: str = 'info', stream: IO[str] | None = None
) -> logbook.Logger:
    """Return the logger of a process and install its handler.

    Parameters
    ----------
    process_id : str
        Written into each line.
    level : str
        Name of the lowest level that is written.
    stream : file object, optional
        Standard output by default.
    """
    handler = logbook.StreamHandler(
        stream or sys.stdout, level=LEVELS_BY_NAME[level]
    )
    handler.formatter = _format
    handler.push_application()
    # curio logs a warning for each timeout that ended late, which may be a line
    # for every call of a busy process. Its errors are still logged.
    logging.getLogger('curio').setLevel(logging.ERROR)
    compat.redirect_logging(set_root_logger_level=False)
    return logbook.Logger(process_id)
