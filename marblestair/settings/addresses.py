"""Addresses of the form ``host:port``."""

from __future__ import annotations

#: port numbers are below this
PORT_LIMIT = 65536


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its host and port.

    Raises
    ------
    ValueError
        When it is not of the form ``host:port``.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise ValueError(f"not an address of the form host:port: {address!r}")
    return host, int(port)
