"""HTTP interface of one controller for users, agents and the load balancer."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator

from marblestair.core.controller import Controller
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.outbox import UserReply
from marblestair.net.http_server import Connection, HttpServer
from marblestair.wire.agents import decode_heartbeat, encode_heartbeat_response, encode_redirect
from marblestair.wire.codec import MAX_REQUEST_BODY_BYTES, BadRequestError, encode_error, pack
from marblestair.wire.users import (
    RequestKind,
    decode_submission,
    encode_job_status,
    is_valid_job_id,
    route_request,
)

log = logging.getLogger("marblestair")

#: maximum number of open connections: as a share of the process's sockets, and the lower bound of
#: that number
CONNECTION_LIMIT_SHARE = 0.8
MIN_CONNECTION_LIMIT = 8
#: number of connections above which users' requests are refused, so that agents can still connect:
#: as a share of the process's sockets, and the lower bound of that number
USER_LIMIT_SHARE = 0.7
MIN_USER_LIMIT = 4
#: time after which an idle connection is closed
IDLE_TIMEOUT_S = 120.0
#: Retry-After in seconds in the response to a user's request that is refused because of too many
#: connections, and to a request whose handling raised an exception
OVERLOAD_RETRY_AFTER_S = 2
ERROR_RETRY_AFTER_S = 1


class HttpApi:
    """Receives HTTP requests, passes them to the core and sends the responses.

    This object owns the HTTP server, and keeps each connection until the core has answered the
    connection's request.

    Parameters
    ----------
    core
        The controller core that handles the requests.
    max_sockets
        Maximum number of sockets that the process may use.
    request_ids
        Yields a unique id for each request.
    set_time
        Sets the core's clock; called before a heartbeat or user's request is passed to the core.
    flush
        Sends the core's output; called after the core has handled an input.
    """

    def __init__(
        self,
        core: Controller,
        max_sockets: int,
        request_ids: Iterator[int],
        set_time: Callable[[], None],
        flush: Callable[[], None],
    ) -> None:
        self._core = core
        self._request_ids = request_ids
        self._set_time = set_time
        self._flush = flush
        self._server = HttpServer(
            self._handle,
            time.monotonic,
            max_connections=max(MIN_CONNECTION_LIMIT, int(max_sockets * CONNECTION_LIMIT_SHARE)),
            max_body=MAX_REQUEST_BODY_BYTES,
            idle_timeout_s=IDLE_TIMEOUT_S,
            refuse_users_above=max(MIN_USER_LIMIT, int(max_sockets * USER_LIMIT_SHARE)),
        )
        #: connections whose requests the core has not answered yet, by request id
        self._pending_connections: dict[int, Connection] = {}

    async def listen(self, host: str, port: int) -> None:
        """Start to accept requests.

        Raises
        ------
        OSError
            When the address cannot be bound.
        """
        await self._server.listen(host, port)

    def close(self) -> None:
        """Stop accepting requests and abort all connections."""
        self._server.close()

    def close_idle_connections(self) -> None:
        """Close the connections that have been idle for longer than the timeout."""
        self._server.close_idle_connections()

    def send_reply(self, reply: UserReply) -> None:
        """Send the core's reply to a user's request."""
        connection = self._pending_connections.pop(reply.request_id, None)
        if connection is None:
            return
        if reply.status in (200, 201):
            body = encode_job_status(reply.job, reply.state, reply.done, reply.running)
        else:
            body = encode_error(reply.error)
        headers = _retry_after_header(reply.retry_after_s) if reply.retry_after_s else ""
        connection.respond(reply.status, body, headers)

    def _handle(self, connection: Connection, method: str, path: str, body: bytes) -> None:
        try:
            self._dispatch(connection, method, path, body)
        except Exception:
            # An exception in the handling of one request must not end the process.
            log.exception("HTTP request failed: method=%s path=%.100s", method, path)
            connection.respond(
                503, encode_error("internal"), _retry_after_header(ERROR_RETRY_AFTER_S)
            )

    def _dispatch(self, connection: Connection, method: str, path: str, body: bytes) -> None:
        route = route_request(method, path)
        kind = route.kind
        if kind is RequestKind.HEARTBEAT:
            self._set_time()
            self._receive_heartbeat(connection, body)
        elif kind is RequestKind.HEALTH:
            connection.respond(200 if self._core.is_healthy() else 503, pack({}))
        elif kind is RequestKind.UNKNOWN_PATH:
            connection.respond(404, encode_error("no such path"))
        elif kind is RequestKind.WRONG_METHOD:
            connection.respond(405, encode_error("method not allowed"))
        else:
            self._set_time()
            self._receive_user_request(connection, kind, route.job, body)

    def _receive_heartbeat(self, connection: Connection, body: bytes) -> None:
        connection.is_from_agent = True
        try:
            heartbeat = decode_heartbeat(body)
        except BadRequestError as error:
            connection.respond(400, encode_error(str(error)))
            return
        response = self._core.receive_heartbeat(heartbeat)
        if response.status == 200:
            encoded = encode_heartbeat_response(response.fencing_token, response.commands)
        else:
            encoded = encode_redirect(response.leader)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("heartbeat received: %s; response: %s", heartbeat, response)
        connection.respond(response.status, encoded)
        self._flush()

    def _receive_user_request(
        self, connection: Connection, kind: RequestKind, job: str, body: bytes
    ) -> None:
        """Pass a submission, query or cancel to the core, whose reply becomes the response."""
        if self._server.must_refuse_users:
            refusal = encode_error("too many connections")
            connection.respond(
                503, refusal, _retry_after_header(OVERLOAD_RETRY_AFTER_S), close=True
            )
        elif kind is RequestKind.SUBMIT:
            self._submit(connection, body)
        elif not is_valid_job_id(job):
            connection.respond(404, encode_error("no such job"))
        elif kind is RequestKind.QUERY:
            self._spawn(self._core.user_requests.query(self._register_request(connection), job))
        else:
            self._spawn(self._core.user_requests.cancel(self._register_request(connection), job))

    def _submit(self, connection: Connection, body: bytes) -> None:
        try:
            spec = decode_submission(body)
        except BadRequestError as error:
            connection.respond(400, encode_error(str(error)))
            return
        self._spawn(self._core.user_requests.submit(self._register_request(connection), spec))

    def _spawn(self, coroutine: Coroutine[None]) -> None:
        self._core.context.spawn(coroutine)
        self._flush()

    def _register_request(self, connection: Connection) -> int:
        """Register a connection for the core's reply and return the id of its request."""
        request_id = next(self._request_ids)
        self._pending_connections[request_id] = connection
        return request_id


def _retry_after_header(seconds: int) -> str:
    """Return the header with the time after which the client may retry."""
    return f"Retry-After: {seconds}\r\n"
