"""Headers of callers' requests on their way to backend servers; no I/O.

Owns which of them are secret or set by hosts alone. They are removed from every
request, whatever the configuration in force says of client accounts: it may be
older than the request.
"""

from collections.abc import Iterable

from cardamomflow.platform import wire

Headers = Iterable[tuple[bytes, bytes]]

_ACCOUNT_HEADERS = frozenset((wire.API_KEY, wire.ACCOUNT))
_HEADERS_SET_BY_HOST = frozenset((wire.DEADLINE, wire.BACKEND_ID))
_NOT_FORWARDED = wire.CONNECTION_HEADERS | _HEADERS_SET_BY_HOST


def find_key(headers: Headers) -> str | None:
    """Return the API key of a request, None without one.

    Several keys are returned as one text, which no account holds.
    """
    keys = [content for name, content in headers if name == wire.API_KEY]
    if not keys:
        return None
    # Line ends can't occur in a header, so no key contains one.
    return b'\n'.join(keys).decode(errors='surrogateescape')


def select_forwarded(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers of a caller that are meant for backend servers."""
    return [header for header in headers if header[0] not in _NOT_FORWARDED]


def set_account(
    headers: Headers, account_name: str | None
) -> list[tuple[bytes, bytes]]:
    """Return headers that name the client account, without any key.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        From a caller, or from a host of another release.
    account_name : str or None
        None removes the name of any account.
    """
    kept = [
        header
        for header in headers
        if header[0].lower() not in _ACCOUNT_HEADERS
    ]
    if account_name is not None:
        kept.append((wire.ACCOUNT, account_name.encode()))
    return kept
