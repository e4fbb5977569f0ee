"""Creates matplotlib figures; matplotlib is a development dependency."""

from typing import Any

import click


def create_figure(**options: Any) -> Any:
    """Return an empty figure.

    Parameters
    ----------
    **options
        Keyword arguments of `matplotlib.figure.Figure`.

    Raises
    ------
    click.UsageError
        matplotlib is not installed.
    """
    try:
        from matplotlib import figure  # noqa: PLC0415  # optional
    except ImportError as error:
        raise click.UsageError(
            '--plot needs matplotlib; install requirements/development.txt'
        ) from error
    return figure.Figure(layout='constrained', **options)
