"""Frames between controllers: MessagePack arrays, each preceded by its length.

The first element of the array is the kind of the frame: ``["note", sender, tag, arguments]`` is a
one-way message, ``["ask", number, sender, tag, arguments]`` a request,
``["answer", number, value]`` its response, and ``["pong"]`` acknowledges a one-way message.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias, cast

import msgspec

#: maximum size of a frame's payload; a summary of thousands of machines is far smaller
MAX_FRAME_BYTES = 4 << 20
#: size of the length that precedes each payload, in network byte order
LENGTH_BYTES = 4

#: elements of a received frame: decoded MessagePack values of any type
Elements: TypeAlias = list[Any]

_decode = msgspec.msgpack.Decoder().decode
_encode = msgspec.msgpack.Encoder().encode


class MessageFrame(msgspec.Struct, frozen=True, array_like=True, tag="note"):
    """A one-way message."""

    sender: str
    tag: str
    arguments: Any


class RequestFrame(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A request; the response carries its number."""

    number: int
    sender: str
    tag: str
    arguments: Any


class ResponseFrame(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """The response to a request, with the number of the request as received."""

    number: Any
    value: Any


class AckFrame(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Acknowledges a one-way message."""


Frame: TypeAlias = MessageFrame | RequestFrame | ResponseFrame | AckFrame


def encode_frame(content: Frame) -> bytes:
    """Encode a frame, preceded by its length."""
    payload = _encode(content)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FramedConnection(asyncio.Protocol):
    """A connection that carries frames; a malformed frame aborts it.

    Parameters
    ----------
    on_frame
        Called with the connection and the elements of each frame; there is at least one element.
    """

    def __init__(self, on_frame: Callable[[FramedConnection, Elements], None]) -> None:
        self.transport: asyncio.Transport | None = None
        #: called when the connection is lost
        self.on_lost: Callable[[], None] | None = None
        self._on_frame = on_frame
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport on which frames are sent."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport and call ``on_lost``."""
        self.transport = None
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Pass each complete frame to ``on_frame``."""
        self._buffer += data
        while (payload := self._next_payload()) is not None:
            elements = _decode_array(payload)
            if elements is None:
                self.abort()
                return
            self._on_frame(self, elements)

    def _next_payload(self) -> bytes | None:
        """Remove and return the next complete payload of the buffer; None when there is none.

        A length above ``MAX_FRAME_BYTES`` aborts the connection.
        """
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
        """Close the connection at once, without sending buffered data."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection after the buffered data has been sent."""
        if self.transport is not None:
            self.transport.close()


def _decode_array(payload: bytes) -> Elements | None:
    """Return the elements of a payload; None when it is not a non-empty array."""
    try:
        elements = _decode(payload)
    except (msgspec.DecodeError, RecursionError):
        return None
    return elements if isinstance(elements, list) and elements else None
