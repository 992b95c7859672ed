"""Splits streams into HTTP messages or controllers' frames; builds and parses these messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

HEAD_END = b"\r\n\r\n"
#: size in bytes of the length prefix of a frame between controllers
FRAME_LENGTH_BYTES = 4


class Splitter(Protocol):
    """Splits a stream of bytes into messages."""

    def feed(self, data: bytes) -> list[bytes]:
        """Append data to the buffer; return the messages that are now complete."""


class HttpSplitter:
    """Splits a stream of HTTP/1.1 messages, which have a Content-Length or no body."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Append data to the buffer; return the messages that are now complete."""
        self._buffer += data
        complete = []
        while (size := self._size_of_first()) is not None:
            complete.append(self._buffer[:size])
            self._buffer = self._buffer[size:]
        return complete

    def _size_of_first(self) -> int | None:
        """Return the size of the first message in bytes; None if it is not complete."""
        head, end, body = self._buffer.partition(HEAD_END)
        if not end:
            return None
        length = int(parse_headers(head).get("content-length", "0"))
        return len(head) + len(end) + length if len(body) >= length else None


class FrameSplitter:
    """Splits a stream of frames between controllers."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Append data to the buffer; return the messages that are now complete."""
        self._buffer += data
        complete = []
        while len(self._buffer) >= FRAME_LENGTH_BYTES:
            size = FRAME_LENGTH_BYTES + int.from_bytes(self._buffer[:FRAME_LENGTH_BYTES], "big")
            if len(self._buffer) < size:
                break
            complete.append(self._buffer[:size])
            self._buffer = self._buffer[size:]
        return complete


def parse_headers(head: bytes) -> dict[str, str]:
    """Return the headers of a message by their names in lower case."""
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


@dataclass(frozen=True)
class HttpMessage:
    """A request or a response."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start_line.split(" ")[1]

    @property
    def closes_connection(self) -> bool:
        """Whether the message has the header ``Connection: close``."""
        return self.headers.get("connection", "").lower() == "close"


def parse_http(data: bytes) -> HttpMessage:
    """Parse one complete message."""
    head, _, body = data.partition(HEAD_END)
    start_line = head.decode("latin-1").split("\r\n")[0]
    return HttpMessage(start_line, parse_headers(head), body)


def build_request(method: str, path: str, body: bytes, closes_connection: bool) -> bytes:
    """Return an HTTP request as the outside systems send it."""
    head = f"{method} {path} HTTP/1.1\r\nHost: marblestair\r\nContent-Length: {len(body)}\r\n"
    if closes_connection:
        head += "Connection: close\r\n"
    return head.encode("ascii") + b"\r\n" + body


def build_response(status: int, body: bytes) -> bytes:
    """Return an HTTP response as the outside systems send it."""
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode("ascii") + body


def build_frame(message: Any) -> bytes:
    """Return a frame as controllers send it to each other."""
    data = pack(message)
    return len(data).to_bytes(FRAME_LENGTH_BYTES, "big") + data


def pack(value: Any) -> bytes:
    """Return a value encoded as MessagePack."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes) -> Any:
    """Return a value decoded from MessagePack; None if the data is malformed."""
    try:
        return msgspec.msgpack.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
