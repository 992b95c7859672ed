"""Minimal HTTP/1.1 with MessagePack bodies: a server, and a client with one connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import msgspec

#: status of a request that got no response
NO_RESPONSE = 0


class Request:
    """A received request."""

    def __init__(self, method: str, target: str, body: bytes) -> None:
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query))
        self.body = body

    def decoded(self) -> Any:
        """Return the decoded body; an empty map if there is none."""
        return msgspec.msgpack.decode(self.body) if self.body else {}


#: returns status and body; None leaves the request without an answer
Handler = Callable[[Request], Awaitable[tuple[int, Any] | None]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message: its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(host: str, handler: Handler, port: int = 0) -> asyncio.Server:
    """Serve HTTP on a port (a free one by default); the connections stay open."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await handler(Request(method, target, body))
                if answer is None:
                    await asyncio.Event().wait()
                    return
                status, value = answer
                payload = msgspec.msgpack.encode(value)
                head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(payload)}\r\n\r\n"
                writer.write(head.encode() + payload)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port)


def port_of(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])


class Client:
    """Sends requests over one connection to one address at a time."""

    def __init__(self) -> None:
        self._address = ""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self._streams[1].close()
        self._streams = None

    async def request(
        self, address: str, method: str, path: str, value: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any, dict[str, str]]:
        """Return status, decoded body and headers; the status is 0 without a response."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, method, path, value)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return NO_RESPONSE, None, {}
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(
        self, address: str, method: str, path: str, value: Any
    ) -> tuple[int, Any, dict[str, str]]:
        if self._streams is None or self._address != address:
            self.close()
            host, _, port = address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port))
            self._address = address
        reader, writer = self._streams
        body = b"" if value is None else msgspec.msgpack.encode(value)
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        line, headers, payload = await _read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        decoded = msgspec.msgpack.decode(payload) if payload else None
        return int(line.split(" ")[1]), decoded, headers
