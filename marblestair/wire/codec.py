"""What all interfaces share: MessagePack bodies, HTTP requests, and the error for bad input."""

from __future__ import annotations

from typing import Any

import msgspec

#: largest body of a request, in bytes
MAX_REQUEST_BODY_BYTES = 64 * 1024


class BadRequestError(Exception):
    """A body is malformed; the text says what is wrong with it."""


class HttpRequest(msgspec.Struct, frozen=True):
    """A request to an outside system."""

    method: str
    path: str
    body: bytes = b""


def pack(value: Any) -> bytes:
    """Encode a body."""
    return msgspec.msgpack.encode(value)


def encode_error(text: str) -> bytes:
    """Encode the body of a refusal."""
    return pack({"error": text})
