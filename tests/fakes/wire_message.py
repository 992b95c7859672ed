"""Messages between controllers as they are on the wire."""

from __future__ import annotations

from typing import Any

import msgspec

from marblestair.core.runtime.requests import PeerMessage


class WireMessage(PeerMessage, frozen=True):
    """A message on the wire: its tag and its arguments as plain values."""

    tag: str
    arguments: list[Any]


def wire_round_trip(value: Any) -> Any:
    """What arrives of a value that goes between two controllers."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value))
