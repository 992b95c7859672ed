"""MessagePack encoding, encoded HTTP requests, and the error for malformed request bodies."""

from __future__ import annotations

from typing import Any

import msgspec

#: maximum size of the body of a received HTTP request
MAX_REQUEST_BODY_BYTES = 64 * 1024


class BadRequestError(Exception):
    """A request body is malformed or has a field out of range; the text gives the reason."""


class HttpRequest(msgspec.Struct, frozen=True):
    """An encoded HTTP request to the store or the cloud."""

    method: str
    path: str
    body: bytes = b""


def pack(value: Any) -> bytes:
    """Encode a value as MessagePack."""
    return msgspec.msgpack.encode(value)


def encode_error(text: str) -> bytes:
    """Encode the body of an error response."""
    return pack({"error": text})
