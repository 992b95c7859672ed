"""Pooled HTTP/1.1 client on asyncio protocols; parsing by httptools."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Any

import httptools

from marblestair.core.runtime.store_requests import NOT_SENT

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
    """Requests over connections that are kept.

    At most ``max_open`` requests are under way; more wait for their turn, in order. Kept
    connections are bounded too, per address and in all: the longest unused is closed first.
    """

    def __init__(self, max_idle: int = 4, max_open: int = 64, max_kept: int = 64) -> None:
        self.max_idle = max_idle
        self.max_kept = max_kept
        self._turns = asyncio.Semaphore(max_open)
        self._idle: OrderedDict[str, list[_Conn]] = OrderedDict()
        self._kept = 0

    async def request(
        self, addr: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Status and body; 0 when no answer came, NOT_SENT when nothing was sent."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._turns.acquire()
        except TimeoutError:
            return NOT_SENT, b""
        try:
            return await self._request(addr, method, path, body, timeout_s)
        finally:
            self._turns.release()

    def _reuse(self, addr: str) -> _Conn | None:
        idle = self._idle.get(addr, [])
        conn: _Conn | None = None
        while idle and conn is None:
            conn = idle.pop()
            self._kept -= 1
            if not conn.open or conn.transport.is_closing():
                conn = None
        if not idle:
            self._idle.pop(addr, None)
        return conn

    def _keep(self, addr: str, conn: _Conn) -> None:
        idle = self._idle.setdefault(addr, [])
        self._idle.move_to_end(addr)
        if len(idle) >= self.max_idle:
            conn.transport.close()
            return
        idle.append(conn)
        self._kept += 1
        while self._kept > self.max_kept:
            oldest, others = next(iter(self._idle.items()))
            others.pop(0).transport.close()
            self._kept -= 1
            if not others:
                del self._idle[oldest]

    async def _request(
        self, addr: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        conn = self._reuse(addr)
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        if conn is None:
            host, _, port = addr.rpartition(":")
            try:
                async with asyncio.timeout(timeout_s):
                    _, conn = await loop.create_connection(_Conn, host, int(port))
            except (OSError, TimeoutError, ValueError):
                return NOT_SENT, b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {addr}\r\n"
        if body or method == "POST":
            head += f"Content-Type: application/msgpack\r\nContent-Length: {len(body)}\r\n"
        try:
            async with asyncio.timeout_at(until):
                status, data = await conn.send(head.encode("ascii") + b"\r\n" + body)
        except TimeoutError:
            conn.transport.abort()
            return 0, b""
        except asyncio.CancelledError:
            conn.transport.abort()
            raise
        if conn.open and conn.keep:
            self._keep(addr, conn)
        elif conn.open:
            conn.transport.close()
        return status, data
