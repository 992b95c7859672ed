"""Pooled HTTP/1.1 client on asyncio protocols; parsing by httptools."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Any, NamedTuple, cast

import httptools

from marblestair.core.runtime.store_requests import NOT_SENT
from marblestair.net.media_types import CONTENT_TYPE

#: largest body of a response that is accepted, in bytes
MAX_RESPONSE_BODY = 8 * 1024 * 1024
#: status of a request that may have been carried out, but got no response
NO_RESPONSE = 0


class HttpResponse(NamedTuple):
    """Status and body; :data:`NO_RESPONSE` when none came, NOT_SENT when nothing was sent."""

    status: int
    body: bytes = b""


class ClientConnection(asyncio.Protocol):
    """One outgoing connection; one request at a time."""

    def __init__(self) -> None:
        self.is_open = True
        #: whether the server lets the connection be used again
        self.is_reusable = True
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[HttpResponse] | None = None
        #: None: no request is under way
        self._parser: Any = None
        self._body = bytearray()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport on which requests are sent."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request under way without a response."""
        self.is_open = False
        self._finish(HttpResponse(NO_RESPONSE))

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; what was not asked for ends the connection."""
        if self._parser is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    # callbacks of httptools

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the response's body, up to the limit."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BODY:
            self.abort()

    def on_message_complete(self) -> None:
        """The response is complete."""
        status = self._parser.get_status_code()
        self.is_reusable = self._parser.should_keep_alive()
        self._parser = None
        self._finish(HttpResponse(status, bytes(self._body)))

    def _finish(self, response: HttpResponse) -> None:
        waiting, self._response = self._response, None
        if waiting is not None and not waiting.done():
            waiting.set_result(response)

    # the client's side

    def send(self, data: bytes) -> asyncio.Future[HttpResponse]:
        """Send an encoded request; the result is its response."""
        assert self._transport is not None
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._response

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed, or about to be."""
        return not self.is_open or self._transport is None or self._transport.is_closing()

    def close(self) -> None:
        """Close when what was sent has left."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()


class HttpClient:
    """Requests over pooled connections.

    Parameters
    ----------
    max_idle_per_address
        Idle connections to one address, at most.
    max_in_flight
        Requests under way, at most; more wait for their turn, in order.
    max_idle
        Idle connections in all, at most; the longest unused are closed first.
    """

    def __init__(
        self, max_idle_per_address: int = 4, max_in_flight: int = 64, max_idle: int = 64
    ) -> None:
        self._max_idle_per_address = max_idle_per_address
        self._max_idle = max_idle
        self._turns = asyncio.Semaphore(max_in_flight)
        #: idle connections by address, the longest unused address first
        self._idle: OrderedDict[str, list[ClientConnection]] = OrderedDict()
        self._idle_count = 0
        self._is_closed = False

    async def request(
        self, address: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        """Send a request and wait for the response.

        The wait for a turn and the request itself take up to ``timeout_s`` each.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._turns.acquire()
        except TimeoutError:
            return HttpResponse(NOT_SENT)
        try:
            return await self._exchange(address, method, path, body, timeout_s)
        finally:
            self._turns.release()

    def close(self) -> None:
        """Close the idle connections, and from now on each one when its request has ended."""
        self._is_closed = True
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
        self._idle_count = 0

    async def _exchange(
        self, address: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        connection = self._take_idle(address)
        deadline = asyncio.get_running_loop().time() + timeout_s
        if connection is None:
            connection = await _connect(address, timeout_s)
        if connection is None:
            return HttpResponse(NOT_SENT)
        data = _encode_request(address, method, path, body)
        try:
            async with asyncio.timeout_at(deadline):
                status, response_body = await connection.send(data)
        except TimeoutError:
            connection.abort()
            return HttpResponse(NO_RESPONSE)
        except asyncio.CancelledError:
            connection.abort()
            raise
        if connection.is_open:
            self._put_back(address, connection)
        return HttpResponse(status, response_body)

    def _take_idle(self, address: str) -> ClientConnection | None:
        """An idle connection to an address, the last used first; None when there is none."""
        idle = self._idle.get(address, [])
        connection: ClientConnection | None = None
        while idle and connection is None:
            connection = idle.pop()
            self._idle_count -= 1
            if connection.is_closing:
                connection = None
        if not idle:
            self._idle.pop(address, None)
        return connection

    def _put_back(self, address: str, connection: ClientConnection) -> None:
        """Make a connection available to later requests, or close it."""
        if self._is_closed or not connection.is_reusable:
            connection.close()
            return
        idle = self._idle.setdefault(address, [])
        self._idle.move_to_end(address)
        if len(idle) >= self._max_idle_per_address:
            connection.close()
            return
        idle.append(connection)
        self._idle_count += 1
        while self._idle_count > self._max_idle:
            self._close_longest_unused()

    def _close_longest_unused(self) -> None:
        address, connections = next(iter(self._idle.items()))
        connections.pop(0).close()
        self._idle_count -= 1
        if not connections:
            del self._idle[address]


async def _connect(address: str, timeout_s: float) -> ClientConnection | None:
    """Open a connection; None when that fails or the address is malformed."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(ClientConnection, host, int(port))
    except (OSError, TimeoutError, ValueError):
        return None
    return connection


def _encode_request(address: str, method: str, path: str, body: bytes) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
    if body or method == "POST":
        head += f"Content-Type: {CONTENT_TYPE}\r\nContent-Length: {len(body)}\r\n"
    return head.encode("ascii") + b"\r\n" + body
