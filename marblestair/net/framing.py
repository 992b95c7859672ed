"""Frames between controllers: MessagePack arrays behind their length.

A frame is an array that begins with its kind: ``["note", sender, tag, arguments]`` is a one-way
message, ``["ask", number, sender, tag, arguments]`` a request, ``["answer", number, value]`` its
response, and ``["pong"]`` shows the sender of one-way messages that they arrive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias, cast

import msgspec

#: largest payload of a frame that is accepted, in bytes; a summary of thousands of machines is far
#: smaller
MAX_FRAME_BYTES = 4 << 20
#: bytes of the length in front of each payload, in network byte order
LENGTH_BYTES = 4

#: elements of a received frame: MessagePack values as they came
Elements: TypeAlias = list[Any]

_decode = msgspec.msgpack.Decoder().decode
_encode = msgspec.msgpack.Encoder().encode


class MessageFrame(msgspec.Struct, frozen=True, array_like=True, tag="note"):
    """A one-way message."""

    sender: str
    tag: str
    arguments: Any


class RequestFrame(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A request; its number returns in the response."""

    number: int
    sender: str
    tag: str
    arguments: Any


class ResponseFrame(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """The response to a request, with the number as it was received."""

    number: Any
    value: Any


class AckFrame(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Shows that a one-way message has arrived."""


Frame: TypeAlias = MessageFrame | RequestFrame | ResponseFrame | AckFrame


def encode_frame(content: Frame) -> bytes:
    """Encode a frame with its length in front."""
    payload = _encode(content)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FramedConnection(asyncio.Protocol):
    """A connection that carries frames; one that is malformed aborts it.

    Parameters
    ----------
    on_frame
        Called with the connection and the elements of each frame, of which there is at least one.
    """

    def __init__(self, on_frame: Callable[[FramedConnection, Elements], None]) -> None:
        self.transport: asyncio.Transport | None = None
        #: called when the connection is lost
        self.on_lost: Callable[[], None] | None = None
        self._on_frame = on_frame
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport on which frames are sent."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop to send; whoever uses the connection learns of it."""
        self.transport = None
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Pass on the frames that are complete."""
        self._buffer += data
        while (payload := self._next_payload()) is not None:
            elements = _decoded_array(payload)
            if elements is None:
                self.abort()
                return
            self._on_frame(self, elements)

    def _next_payload(self) -> bytes | None:
        """Remove the next complete payload from the buffer; None when there is none."""
        if self.transport is None or len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            self.transport.abort()
            return None
        end = LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return payload

    def send(self, content: Frame) -> None:
        """Send a frame, unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_frame(content))

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close when what was sent has left."""
        if self.transport is not None:
            self.transport.close()


def _decoded_array(payload: bytes) -> Elements | None:
    """The elements of a payload; None when it is no array, or an empty one."""
    try:
        elements = _decode(payload)
    except (msgspec.DecodeError, RecursionError):
        return None
    return elements if isinstance(elements, list) and elements else None
