"""HTTP/1.1 server on asyncio protocols; parsing by httptools."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import httptools

#: bytes of request line and headers
MAX_HEAD = 16 * 1024
REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    503: "Service Unavailable",
}

#: called with the connection, method, path and body; answers by ``Connection.respond``
Handler = Callable[["Connection", str, str, bytes], None]


class Connection(asyncio.Protocol):
    """One client connection; one request at a time."""

    __slots__ = (
        "_body",
        "_busy",
        "_head",
        "_keep",
        "_parser",
        "_queue",
        "_too_big",
        "_url",
        "last",
        "server",
        "transport",
        "worker",
    )

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.transport: Any = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url = b""
        self._body = bytearray()
        self._head = 0
        self._too_big = False
        self._busy = False
        self._keep = True
        self._queue: list[tuple[str, str, bytes, bool]] = []
        self.last = 0.0
        #: it has carried a worker's report: such connections are not given up for users'
        self.worker = False

    # asyncio

    def connection_made(self, transport: Any) -> None:
        """Accept a connection, or abort it when there are too many."""
        self.transport = transport
        self.last = self.server.clock()
        if not self.server.admit(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget a connection that was closed."""
        self.server.connections.discard(self)
        self.transport = None
        self._queue.clear()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        self.last = self.server.clock()
        self._head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse()
        except httptools.HttpParserError:
            self._refuse()
        if self._head > MAX_HEAD and not self._body and self.transport is not None:
            self._refuse()

    def _refuse(self) -> None:
        # Broken HTTP concerns this connection only.
        if self.transport is not None and not self._busy:
            self.transport.write(
                b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
        if self.transport is not None:
            self.transport.close()

    # httptools

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._url = b""
        self._body = bytearray()
        self._too_big = False

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request path."""
        self._url += url

    def on_headers_complete(self) -> None:
        """Note the end of the request head."""
        self._head = 0

    def on_body(self, body: bytes) -> None:
        """Collect a part of the request body, up to the limit."""
        self._head = 0
        if len(self._body) + len(body) > self.server.max_body:
            self._too_big = True
            if self.transport is not None:
                self.transport.pause_reading()
                self._busy = False
                self._refuse()
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Hand a complete request on, or queue it behind the one being answered."""
        self._head = 0
        if self._too_big:
            return
        try:
            path = self._url.partition(b"?")[0].decode("ascii")
        except UnicodeDecodeError:
            path = "/?"
        method = self._parser.get_method().decode("ascii", "replace")
        item = (method, path, bytes(self._body), self._parser.should_keep_alive())
        if self._busy:
            # The interface has no pipelining; a few extra requests are kept in order.
            if len(self._queue) >= 4:
                self._refuse()
            else:
                self._queue.append(item)
            return
        self._start(item)

    def _start(self, item: tuple[str, str, bytes, bool]) -> None:
        self._busy = True
        self._keep = item[3]
        self.server.handler(self, item[0], item[1], item[2])

    @property
    def idle(self) -> bool:
        """Whether no request is under way."""
        return not self._busy

    def respond(self, status: int, body: bytes, extra: str = "", close: bool = False) -> None:
        """Answer the request under way; with ``close`` it is the last of its connection."""
        if self.transport is None or not self._busy:
            return
        self._busy = False
        self._keep = self._keep and not close
        head = (
            f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
            f"Content-Type: application/msgpack\r\nContent-Length: {len(body)}\r\n{extra}"
        )
        if not self._keep:
            head += "Connection: close\r\n"
        self.transport.write(head.encode("ascii") + b"\r\n" + body)
        if not self._keep:
            self.transport.close()
        elif self._queue:
            self._start(self._queue.pop(0))


class HttpServer:
    """Listens, bounds the number of connections and drops idle ones.

    From ``crowded_at`` connections on, users are to be turned away (:attr:`crowded`), so that the
    rest is left to workers; at ``max_connections`` the longest idle user makes room.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float],
        max_connections: int,
        max_body: int,
        idle_s: float,
        crowded_at: int | None = None,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.max_connections = max_connections
        self.max_body = max_body
        self.idle_s = idle_s
        self.crowded_at = max_connections if crowded_at is None else crowded_at
        self.connections: set[Connection] = set()
        self._server: Any = None

    @property
    def crowded(self) -> bool:
        """Whether what is left of the connections is kept for workers."""
        return len(self.connections) > self.crowded_at

    def admit(self, connection: Connection) -> bool:
        """Whether a new connection finds a place; a user's that is idle makes room for it."""
        if len(self.connections) >= self.max_connections:
            users = [x for x in self.connections if x.idle and not x.worker]
            if users:
                self._drop(min(users, key=lambda x: x.last))
            else:
                self.sweep(self.idle_s / 8)
            if len(self.connections) >= self.max_connections:
                return False
        self.connections.add(connection)
        return True

    def _drop(self, connection: Connection) -> None:
        if connection.transport is not None:
            connection.transport.close()
        self.connections.discard(connection)

    def sweep(self, idle_s: float) -> None:
        """Close connections that have been idle."""
        now = self.clock()
        for connection in list(self.connections):
            if (
                now - connection.last > idle_s
                and connection.transport is not None
                and connection.idle
            ):
                self._drop(connection)

    async def listen(self, host: str, port: int) -> None:
        """Start to accept."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, port, backlog=self.max_connections, reuse_address=True
        )

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
