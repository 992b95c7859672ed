"""Messages between controllers in wire format."""

from __future__ import annotations

from typing import Any

import msgspec

from marblestair.core.runtime.requests import PeerMessage


class WireMessage(PeerMessage, frozen=True):
    """A message in wire format: its tag and its arguments as plain values."""

    tag: str
    arguments: list[Any]


def wire_round_trip(value: Any) -> Any:
    """Encode and decode a value, as in transport between two controllers."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value))
