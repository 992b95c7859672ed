"""HTTP/1.1 client with a connection pool, on asyncio protocols and the parser of httptools."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Any, NamedTuple, cast

import httptools

from marblestair.core.runtime.store_requests import NOT_SENT
from marblestair.net.media_types import CONTENT_TYPE

#: maximum size of the body of a response; the connection is aborted above it
MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024
#: status of a request that got no response and may have been carried out
NO_RESPONSE = 0


class HttpResponse(NamedTuple):
    """A response; without one, the status is ``NO_RESPONSE`` or ``NOT_SENT``."""

    status: int
    body: bytes = b""


class ClientConnection(asyncio.Protocol):
    """An outgoing connection that carries one request at a time."""

    def __init__(self) -> None:
        self.is_open = True
        #: whether the server keeps the connection open for further requests
        self.is_reusable = True
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[HttpResponse] | None = None
        #: parser of the response; None when no request is in flight
        self._parser: Any = None
        self._body = bytearray()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport on which requests are sent."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in flight with ``NO_RESPONSE``."""
        self.is_open = False
        self._finish(HttpResponse(NO_RESPONSE))

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; abort if they are malformed or unsolicited."""
        if self._parser is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    # callbacks of httptools

    def on_body(self, body: bytes) -> None:
        """Append a piece of the response's body; abort the connection above the limit."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BODY_BYTES:
            self.abort()

    def on_message_complete(self) -> None:
        """Resolve the request in flight with its complete response."""
        status = self._parser.get_status_code()
        self.is_reusable = self._parser.should_keep_alive()
        self._parser = None
        self._finish(HttpResponse(status, bytes(self._body)))

    def _finish(self, response: HttpResponse) -> None:
        waiting, self._response = self._response, None
        if waiting is not None and not waiting.done():
            waiting.set_result(response)

    # interface for the client

    def send(self, data: bytes) -> asyncio.Future[HttpResponse]:
        """Send an encoded request and return a future of its response."""
        assert self._transport is not None
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._response

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return not self.is_open or self._transport is None or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection after the buffered data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()


class HttpClient:
    """Sends requests over pooled connections.

    Parameters
    ----------
    max_idle_per_address
        Maximum number of idle connections to one address.
    max_in_flight
        Maximum number of requests in flight; further requests wait in order of arrival.
    max_idle
        Maximum number of idle connections to all addresses; above it, an idle connection to the
        least recently used address is closed.
    """

    def __init__(
        self, max_idle_per_address: int = 4, max_in_flight: int = 64, max_idle: int = 64
    ) -> None:
        self._max_idle_per_address = max_idle_per_address
        self._max_idle = max_idle
        self._in_flight_slots = asyncio.Semaphore(max_in_flight)
        #: idle connections by address, the least recently used address first
        self._idle: OrderedDict[str, list[ClientConnection]] = OrderedDict()
        self._idle_count = 0
        self._is_closed = False

    async def request(
        self, address: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        """Send a request and wait for the response.

        The wait until fewer than ``max_in_flight`` requests are in flight, and the exchange itself,
        take up to ``timeout_s`` seconds each. The status is ``NOT_SENT`` if that wait times out or
        no connection can be opened, and ``NO_RESPONSE`` if no response arrives after the request
        was sent.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._in_flight_slots.acquire()
        except TimeoutError:
            return HttpResponse(NOT_SENT)
        try:
            return await self._exchange(address, method, path, body, timeout_s)
        finally:
            self._in_flight_slots.release()

    def close(self) -> None:
        """Close the idle connections; each busy one is closed when its request has ended."""
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
            self._return_to_pool(address, connection)
        return HttpResponse(status, response_body)

    def _take_idle(self, address: str) -> ClientConnection | None:
        """Take the most recently used idle connection to an address; None when there is none."""
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

    def _return_to_pool(self, address: str, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it.

        The connection is closed if it is not reusable, the client is closed, or
        ``max_idle_per_address`` connections to the address are idle. Above ``max_idle`` idle
        connections in total, one to the least recently used address is closed.
        """
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
            self._close_least_recently_used()

    def _close_least_recently_used(self) -> None:
        address, connections = next(iter(self._idle.items()))
        connections.pop(0).close()
        self._idle_count -= 1
        if not connections:
            del self._idle[address]


async def _connect(address: str, timeout_s: float) -> ClientConnection | None:
    """Open a connection; return None when that fails or the address is malformed."""
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
