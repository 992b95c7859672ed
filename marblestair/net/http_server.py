"""HTTP/1.1 server on asyncio protocols; parsing by httptools."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias, cast

import httptools
import msgspec

from marblestair.net.media_types import CONTENT_TYPE

#: largest request line with headers, in bytes
MAX_HEAD = 16 * 1024
#: requests that may wait on one connection behind the one that is answered. The interface has no
#: pipelining; a few extra requests are answered in order.
MAX_QUEUED_REQUESTS = 4
#: with all places in use, agents' connections that were idle for this share of the time are closed
FULL_IDLE_SHARE = 0.125
#: stands for a path that is not ASCII, which no interface has
UNKNOWN_PATH = "/?"

REASON_PHRASES = {
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
_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

#: called with the connection, method, path and body; answers by ``Connection.respond``
Handler: TypeAlias = Callable[["Connection", str, str, bytes], None]


class _Request(msgspec.Struct, frozen=True):
    """A complete request."""

    method: str
    path: str
    body: bytes
    keep_alive: bool


class Connection(asyncio.Protocol):
    """One client connection; one request at a time."""

    __slots__ = (
        "_body",
        "_head_bytes",
        "_is_busy",
        "_is_too_large",
        "_keep_alive",
        "_parser",
        "_queue",
        "_server",
        "_transport",
        "_url",
        "is_from_agent",
        "last_active_at",
    )

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url = b""
        self._body = bytearray()
        #: received bytes since the end of the last head or piece of a body
        self._head_bytes = 0
        self._is_too_large = False
        #: a request is with the handler, which has not answered it
        self._is_busy = False
        self._keep_alive = True
        #: requests that came while another one was answered
        self._queue: list[_Request] = []
        #: time by the server's clock at which data last came
        self.last_active_at = 0.0
        #: it has carried an agent's heartbeat: such connections are not given up for users'
        self.is_from_agent = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or abort it when there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        self.last_active_at = self._server.clock()
        if not self._server.admit(self):
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget a connection that was closed."""
        self._server.connections.discard(self)
        self._transport = None
        self._queue.clear()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        self.last_active_at = self._server.clock()
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse()
        if self._head_bytes > MAX_HEAD and not self._body and self._transport is not None:
            self._refuse()

    def _refuse(self) -> None:
        """Close after broken HTTP, which concerns this connection only."""
        if self._transport is None:
            return
        if not self._is_busy:
            self._transport.write(_BAD_REQUEST)
        self._transport.close()

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._url = b""
        self._body = bytearray()
        self._is_too_large = False

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the request path."""
        self._url += url

    def on_headers_complete(self) -> None:
        """The head of the request has ended."""
        self._head_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the request body, up to the limit."""
        self._head_bytes = 0
        if len(self._body) + len(body) > self._server.max_body:
            self._refuse_too_large()
            return
        self._body += body

    def _refuse_too_large(self) -> None:
        self._is_too_large = True
        if self._transport is not None:
            self._transport.pause_reading()
            self._is_busy = False
            self._refuse()

    def on_message_complete(self) -> None:
        """Pass a complete request to the handler, or queue it behind the one being answered."""
        self._head_bytes = 0
        if self._is_too_large:
            return
        request = self._received_request()
        if not self._is_busy:
            self._start(request)
        elif len(self._queue) >= MAX_QUEUED_REQUESTS:
            self._refuse()
        else:
            self._queue.append(request)

    def _received_request(self) -> _Request:
        try:
            path = self._url.partition(b"?")[0].decode("ascii")
        except UnicodeDecodeError:
            path = UNKNOWN_PATH
        method = self._parser.get_method().decode("ascii", "replace")
        return _Request(method, path, bytes(self._body), self._parser.should_keep_alive())

    def _start(self, request: _Request) -> None:
        self._is_busy = True
        self._keep_alive = request.keep_alive
        self._server.handler(self, request.method, request.path, request.body)

    # the server's side

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return not self._is_busy

    @property
    def is_closed(self) -> bool:
        """Whether the connection is lost."""
        return self._transport is None

    def respond(self, status: int, body: bytes, headers: str = "", close: bool = False) -> None:
        r"""Answer the request under way, if the client is still there.

        Parameters
        ----------
        headers
            Further header lines, each ended by ``\r\n``.
        close
            Whether this is the last response of the connection.
        """
        if self._transport is None or not self._is_busy:
            return
        self._is_busy = False
        self._keep_alive = self._keep_alive and not close
        head = (
            f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}\r\n"
            f"Content-Type: {CONTENT_TYPE}\r\nContent-Length: {len(body)}\r\n{headers}"
        )
        if not self._keep_alive:
            head += "Connection: close\r\n"
        self._transport.write(head.encode("ascii") + b"\r\n" + body)
        if not self._keep_alive:
            self._transport.close()
        elif self._queue:
            self._start(self._queue.pop(0))

    def close(self) -> None:
        """Close when what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()


class HttpServer:
    """Listens, bounds the number of connections and closes idle ones.

    Parameters
    ----------
    handler
        Called with each request.
    clock
        A steady clock, in seconds.
    max_connections
        Connections, at most; with all places in use, a new one replaces the longest idle one of
        a user.
    max_body
        Largest request body, in bytes.
    idle_s
        Time without data after which an idle connection may be closed, in seconds.
    crowded_at
        Number of connections above which users are to be turned away, so that the rest is left to
        agents; by default none are.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float],
        max_connections: int,
        max_body: int,
        idle_s: float,
        refuse_users_above: int | None = None,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.max_body = max_body
        self.connections: set[Connection] = set()
        self._max_connections = max_connections
        self._idle_s = idle_s
        self._crowded_at = max_connections if refuse_users_above is None else refuse_users_above
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections from now on.

        Raises
        ------
        OSError
            When the address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self),
            host,
            port,
            backlog=self._max_connections,
            reuse_address=True,
        )

    def close(self) -> None:
        """Accept no more connections, and abort those that are open."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    @property
    def must_refuse_users(self) -> bool:
        """Whether what is left of the connections is reserved for agents."""
        return len(self.connections) > self._crowded_at

    def admit(self, connection: Connection) -> bool:
        """Whether a new connection finds a place; an idle one of a user is closed for it."""
        if len(self.connections) >= self._max_connections:
            self._make_place()
            if len(self.connections) >= self._max_connections:
                return False
        self.connections.add(connection)
        return True

    def _make_place(self) -> None:
        idle_users = [
            connection
            for connection in self.connections
            if connection.is_idle and not connection.is_from_agent
        ]
        if idle_users:
            self._drop(min(idle_users, key=lambda connection: connection.last_active_at))
        else:
            self._close_idle(self._idle_s * FULL_IDLE_SHARE)

    def close_idle_connections(self) -> None:
        """Close the connections that have been idle for too long."""
        self._close_idle(self._idle_s)

    def _close_idle(self, idle_s: float) -> None:
        now = self.clock()
        for connection in list(self.connections):
            is_unused = now - connection.last_active_at > idle_s and connection.is_idle
            if is_unused and not connection.is_closed:
                self._drop(connection)

    def _drop(self, connection: Connection) -> None:
        connection.close()
        self.connections.discard(connection)
