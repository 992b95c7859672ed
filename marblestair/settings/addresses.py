"""Addresses of the form ``host:port``."""

from __future__ import annotations

#: exclusive upper bound of port numbers
PORT_LIMIT = 65536


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its host and port.

    Raises
    ------
    ValueError
        When the address is not of the form ``host:port``, or the port is out of range.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise ValueError(
            f"must be host:port with a port from 1 to {PORT_LIMIT - 1}, got {address!r:.40}"
        )
    return host, int(port)
