"""The HTTP interface of one controller: users, agents and the load balancer."""

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

#: share of the sockets that is accepted at all, and the least number
ACCEPTED_SHARE = 0.8
MIN_ACCEPTED = 8
#: share of the sockets above which users are turned away so that every agent finds a place, and
#: the least number
CROWDED_SHARE = 0.7
MIN_CROWDED = 4
#: time after which an idle connection is closed, in seconds
IDLE_S = 120.0
#: time after which a user who was turned away, or met an error, may come back, in seconds
CROWDED_RETRY_S = 2
ERROR_RETRY_S = 1


class HttpApi:
    """Receives HTTP requests, passes them to the core, and sends the responses.

    It owns the HTTP server and the connections of the users whose requests the core has not
    answered yet.

    Parameters
    ----------
    core
        What the requests go to.
    max_sockets
        Sockets that the process may use.
    request_ids
        Yields a new id for each request.
    set_time
        To be called before an input of the core.
    flush
        To be called after an input of the core; sends what the core has to send.
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
            max_connections=max(MIN_ACCEPTED, int(max_sockets * ACCEPTED_SHARE)),
            max_body=MAX_REQUEST_BODY_BYTES,
            idle_s=IDLE_S,
            refuse_users_above=max(MIN_CROWDED, int(max_sockets * CROWDED_SHARE)),
        )
        #: connections of users whose requests are with the core, by the requests' ids
        self._waiting: dict[int, Connection] = {}

    async def listen(self, host: str, port: int) -> None:
        """Accept requests from now on.

        Raises
        ------
        OSError
            When the address cannot be used.
        """
        await self._server.listen(host, port)

    def close(self) -> None:
        """Accept no more requests, and abort all connections."""
        self._server.close()

    def close_idle_connections(self) -> None:
        """Close the connections that have been idle for too long."""
        self._server.close_idle_connections()

    def send_reply(self, reply: UserReply) -> None:
        """Send the core's reply to a user's request."""
        connection = self._waiting.pop(reply.request_id, None)
        if connection is None:
            return
        if reply.status in (200, 201):
            body = encode_job_status(reply.job, reply.state, reply.done, reply.running)
        else:
            body = encode_error(reply.error)
        headers = _retry_after(reply.retry_after_s) if reply.retry_after_s else ""
        connection.respond(reply.status, body, headers)

    def _handle(self, connection: Connection, method: str, path: str, body: bytes) -> None:
        try:
            self._dispatch(connection, method, path, body)
        except Exception:
            # Nothing that arrives may end the process.
            log.exception("request failed")
            connection.respond(503, encode_error("internal"), _retry_after(ERROR_RETRY_S))

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
            log.debug("heartbeat %s -> %s", heartbeat, response)
        connection.respond(response.status, encoded)
        self._flush()

    def _receive_user_request(
        self, connection: Connection, kind: RequestKind, job: str, body: bytes
    ) -> None:
        """A submission, a query or a cancel; the core's reply answers it."""
        if self._server.must_refuse_users:
            refusal = encode_error("too many connections")
            connection.respond(503, refusal, _retry_after(CROWDED_RETRY_S), close=True)
        elif kind is RequestKind.SUBMIT:
            self._submit(connection, body)
        elif not is_valid_job_id(job):
            connection.respond(404, encode_error("no such job"))
        elif kind is RequestKind.QUERY:
            self._start(self._core.user_requests.query(self._expect_reply(connection), job))
        else:
            self._start(self._core.user_requests.cancel(self._expect_reply(connection), job))

    def _submit(self, connection: Connection, body: bytes) -> None:
        try:
            spec = decode_submission(body)
        except BadRequestError as error:
            connection.respond(400, encode_error(str(error)))
            return
        self._start(self._core.user_requests.submit(self._expect_reply(connection), spec))

    def _start(self, coroutine: Coroutine[None]) -> None:
        self._core.context.spawn(coroutine)
        self._flush()

    def _expect_reply(self, connection: Connection) -> int:
        """The id under which the core answers a user's request."""
        request_id = next(self._request_ids)
        self._waiting[request_id] = connection
        return request_id


def _retry_after(seconds: int) -> str:
    """The header with the time after which a user may come back."""
    return f"Retry-After: {seconds}\r\n"
