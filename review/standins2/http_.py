"""Minimal HTTP/1.1 server and client on asyncio streams, with MessagePack bodies."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))

import msgspec  # noqa: E402

pack = msgspec.msgpack.encode
unpack = msgspec.msgpack.decode

#: returned by a handler to abort the connection without a response
NO_ANSWER = object()

Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Any]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message; return its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError, asyncio.LimitOverrunError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP server; the handler returns (status, value), or NO_ANSWER."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> int:
        """Start."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                args = {key: value[0] for key, value in parse_qs(query).items()}
                decoded = unpack(body) if body else None
                result = await self.handler(method, unquote(path), args, decoded)
                if result is NO_ANSWER:
                    writer.transport.abort()
                    return
                status, value = result
                payload = pack(value)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/msgpack\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def close(self) -> None:
        """Close all."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()


class Client:
    """One kept connection to one address; requests on it go one after the other."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(
        self, method: str, path: str, value: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any, dict[str, str]]:
        """Return status, body and headers; status 0 if there was no response in time."""
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None or self.writer.is_closing():
                    self.reader, self.writer = await asyncio.open_connection(
                        "127.0.0.1", self.port, limit=1 << 22
                    )
                body = pack(value) if value is not None else b""
                head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
                if body or method == "POST":
                    head += f"Content-Length: {len(body)}\r\n"
                self.writer.write(head.encode() + b"\r\n" + body)
                assert self.reader is not None
                message = await read_message(self.reader)
        except (OSError, TimeoutError):
            self.close()
            return 0, None, {}
        except asyncio.CancelledError:
            self.close()
            raise
        if message is None:
            self.close()
            return 0, None, {}
        first, headers, payload = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), (unpack(payload) if payload else None), headers

    def close(self) -> None:
        """Close all."""
        if self.writer is not None:
            with contextlib.suppress(Exception):
                self.writer.transport.abort()
        self.writer = self.reader = None
