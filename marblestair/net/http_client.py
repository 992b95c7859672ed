"""Pooled HTTP/1.1 client on asyncio protocols; parsing by httptools."""

from __future__ import annotations

import asyncio
from typing import Any

import httptools

from marblestair.core.calls import NOT_SENT

#: an answer larger than this is not taken
MAX_ANSWER = 8 * 1024 * 1024


class _Conn(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: Any = None
        self.future: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser: Any = None
        self.body = bytearray()
        self.keep = True
        self.open = True

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._finish((0, b""))

    def data_received(self, data: bytes) -> None:
        if self.parser is None:
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_ANSWER:
            self.transport.abort()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        self.keep = self.parser.should_keep_alive()
        self.parser = None
        self._finish((status, bytes(self.body)))

    def _finish(self, result: tuple[int, bytes]) -> None:
        f, self.future = self.future, None
        if f is not None and not f.done():
            f.set_result(result)

    def send(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        self.body = bytearray()
        self.parser = httptools.HttpResponseParser(self)
        self.future = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.future


class HttpClient:
    """Requests to a few addresses, over connections that are kept."""

    def __init__(self, max_idle: int = 4, max_open: int = 64) -> None:
        self.max_idle = max_idle
        self.max_open = max_open
        self._idle: dict[str, list[_Conn]] = {}
        self.open = 0

    async def request(
        self, addr: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Status and body; 0 when no answer came, NOT_SENT when nothing was sent."""
        idle = self._idle.setdefault(addr, [])
        conn: _Conn | None = None
        while idle and conn is None:
            conn = idle.pop()
            if not conn.open or conn.transport.is_closing():
                conn = None
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        if conn is None:
            if self.open >= self.max_open:
                return NOT_SENT, b""
            host, _, port = addr.rpartition(":")
            self.open += 1
            try:
                async with asyncio.timeout(timeout_s):
                    _, conn = await loop.create_connection(_Conn, host, int(port))
            except (OSError, TimeoutError, ValueError):
                return NOT_SENT, b""
            finally:
                self.open -= 1
        head = f"{method} {path} HTTP/1.1\r\nHost: {addr}\r\n"
        if body or method == "POST":
            head += f"Content-Type: application/msgpack\r\nContent-Length: {len(body)}\r\n"
        self.open += 1
        try:
            async with asyncio.timeout_at(until):
                status, data = await conn.send(head.encode("ascii") + b"\r\n" + body)
        except TimeoutError:
            conn.transport.abort()
            return 0, b""
        except asyncio.CancelledError:
            conn.transport.abort()
            raise
        finally:
            self.open -= 1
        if conn.open and conn.keep and len(idle) < self.max_idle:
            idle.append(conn)
        elif conn.open:
            conn.transport.close()
        return status, data

    def close(self) -> None:
        """Drop every kept connection."""
        for idle in self._idle.values():
            for c in idle:
                if c.open:
                    c.transport.abort()
            idle.clear()

    def drop(self, addr: str) -> None:
        """Forget kept connections to an address."""
        for c in self._idle.pop(addr, []):
            if c.open:
                c.transport.abort()
