"""HTTP/1.1 server on asyncio protocols and the parser of httptools."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias, cast

import httptools
import msgspec

from marblestair.net.media_types import CONTENT_TYPE

#: maximum size of the head of a request: its request line and headers
MAX_HEAD_BYTES = 16 * 1024
#: maximum number of pipelined requests that wait on one connection while an earlier one is handled;
#: clients are not expected to send more, and the connection is closed if they do
MAX_QUEUED_REQUESTS = 4
#: when the limit of connections is reached and no user's connection is idle: time without received
#: data after which an agent's idle connection is closed, as a share of the idle timeout
AGENT_IDLE_TIMEOUT_SHARE = 0.125
#: path that replaces one that is not ASCII; no interface has this path
NON_ASCII_PATH = "/?"

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

#: called with the connection, method, path and body; must call
#: ``Connection.respond``, at once or later
Handler: TypeAlias = Callable[["Connection", str, str, bytes], None]


class _Request(msgspec.Struct, frozen=True):
    """A completely received request."""

    method: str
    path: str
    body: bytes
    keep_alive: bool


class Connection(asyncio.Protocol):
    """A client connection whose requests are handled one at a time."""

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
        #: number of bytes received since the parser last reported a complete head, a piece of a
        #: body or a complete request; these bytes belong to a head that is not complete yet
        self._head_bytes = 0
        self._is_too_large = False
        #: whether a request was passed to the handler and has no response yet
        self._is_busy = False
        self._keep_alive = True
        #: requests that were received while an earlier one was being handled
        self._queue: list[_Request] = []
        #: time of the server's clock at which data was last received
        self.last_active_at = 0.0
        #: set by the handler when a heartbeat arrives on the connection; at the limit of
        #: connections, the server closes idle connections of users before those of agents
        self.is_from_agent = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or abort it when the server does not admit it."""
        self._transport = cast(asyncio.Transport, transport)
        self.last_active_at = self._server.clock()
        if not self._server.admit(self):
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the closed connection from the server and drop its queued requests."""
        self._server.connections.discard(self)
        self._transport = None
        self._queue.clear()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; reject malformed requests and oversized heads."""
        self.last_active_at = self._server.clock()
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject_and_close()
        if self._head_bytes > MAX_HEAD_BYTES and not self._body and self._transport is not None:
            self._reject_and_close()

    def _reject_and_close(self) -> None:
        """Close the connection; respond with 400 first unless a request is being handled."""
        if self._transport is None:
            return
        if not self._is_busy:
            self._transport.write(_BAD_REQUEST)
        self._transport.close()

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._url = b""
        self._body = bytearray()
        self._is_too_large = False

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request's URL."""
        self._url += url

    def on_headers_complete(self) -> None:
        """Stop counting bytes of the request head."""
        self._head_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Append a piece of the request body; reject a body above the limit and close."""
        self._head_bytes = 0
        if len(self._body) + len(body) > self._server.max_body:
            self._reject_too_large()
            return
        self._body += body

    def _reject_too_large(self) -> None:
        self._is_too_large = True
        if self._transport is not None:
            self._transport.pause_reading()
            self._is_busy = False
            self._reject_and_close()

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler, or queue it while another one is handled.

        The connection is closed if its queue is full.
        """
        self._head_bytes = 0
        if self._is_too_large:
            return
        request = self._build_request()
        if not self._is_busy:
            self._handle(request)
        elif len(self._queue) >= MAX_QUEUED_REQUESTS:
            self._reject_and_close()
        else:
            self._queue.append(request)

    def _build_request(self) -> _Request:
        try:
            path = self._url.partition(b"?")[0].decode("ascii")
        except UnicodeDecodeError:
            path = NON_ASCII_PATH
        method = self._parser.get_method().decode("ascii", "replace")
        return _Request(method, path, bytes(self._body), self._parser.should_keep_alive())

    def _handle(self, request: _Request) -> None:
        self._is_busy = True
        self._keep_alive = request.keep_alive
        self._server.handler(self, request.method, request.path, request.body)

    # interface for the server and the handler

    @property
    def is_idle(self) -> bool:
        """Whether no request is being handled."""
        return not self._is_busy

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._transport is None

    def respond(self, status: int, body: bytes, headers: str = "", close: bool = False) -> None:
        r"""Respond to the request being handled; does nothing if the connection is closed.

        Parameters
        ----------
        headers
            Additional header lines, each ended by ``\r\n``.
        close
            Whether to close the connection after this response.
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
            self._handle(self._queue.pop(0))

    def close(self) -> None:
        """Close the connection after the buffered data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()


class HttpServer:
    """Accepts HTTP connections, bounds their number and closes idle ones.

    Parameters
    ----------
    handler
        Called with each request.
    clock
        Monotonic clock, in seconds.
    max_connections
        Maximum number of open connections. For a new connection at the limit, the idle user's
        connection that has received no data for longest is closed. If no user's connection is idle,
        all agents' connections are closed that have been idle for longer than
        ``AGENT_IDLE_TIMEOUT_SHARE`` of the timeout. If there are none, the new connection is
        aborted.
    max_body
        Maximum size of a request body, in bytes.
    idle_timeout_s
        Time in seconds without received data after which ``close_idle_connections`` closes a
        connection on which no request is being handled.
    refuse_users_above
        Number of connections above which ``must_refuse_users`` tells the handler to refuse users'
        requests, so that the remaining connections are reserved for agents. By default no requests
        are refused.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float],
        max_connections: int,
        max_body: int,
        idle_timeout_s: float,
        refuse_users_above: int | None = None,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.max_body = max_body
        self.connections: set[Connection] = set()
        self._max_connections = max_connections
        self._idle_timeout_s = idle_timeout_s
        self._refuse_users_above = (
            max_connections if refuse_users_above is None else refuse_users_above
        )
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections.

        Raises
        ------
        OSError
            When the address cannot be bound.
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
        """Stop accepting connections and abort the open ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    @property
    def must_refuse_users(self) -> bool:
        """Whether more than ``refuse_users_above`` connections are open."""
        return len(self.connections) > self._refuse_users_above

    def admit(self, connection: Connection) -> bool:
        """Admit a new connection; False at the limit if no idle connection can be closed."""
        if len(self.connections) >= self._max_connections:
            self._evict_idle()
            if len(self.connections) >= self._max_connections:
                return False
        self.connections.add(connection)
        return True

    def _evict_idle(self) -> None:
        idle_users = [
            connection
            for connection in self.connections
            if connection.is_idle and not connection.is_from_agent
        ]
        if idle_users:
            self._evict(min(idle_users, key=lambda connection: connection.last_active_at))
        else:
            self._close_idle(self._idle_timeout_s * AGENT_IDLE_TIMEOUT_SHARE)

    def close_idle_connections(self) -> None:
        """Close the idle connections that have received no data for ``idle_timeout_s``."""
        self._close_idle(self._idle_timeout_s)

    def _close_idle(self, min_idle_s: float) -> None:
        now = self.clock()
        for connection in list(self.connections):
            is_unused = now - connection.last_active_at > min_idle_s and connection.is_idle
            if is_unused and not connection.is_closed:
                self._evict(connection)

    def _evict(self, connection: Connection) -> None:
        connection.close()
        self.connections.discard(connection)
