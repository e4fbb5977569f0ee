"""Parses `address:port` values of the settings; owns no state."""


def split(authority: str) -> tuple[str, int]:
    """Return the IP address and the port of `address:port`."""
    address, _, port = authority.rpartition(':')
    return address, int(port)
