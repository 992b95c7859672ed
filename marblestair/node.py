"""The shell of one controller process: joins the pure core with the network."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from marblestair.core.controller import Controller
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.requests import OutsideRequest
from marblestair.net.http_server import Connection, HttpServer
from marblestair.net.peers import PeerServer
from marblestair.outside_calls import OutsideCalls
from marblestair.policy import Policy
from marblestair.settings import Settings, split_address
from marblestair.wire.agents import decode_heartbeat, encode_heartbeat_response, encode_redirect
from marblestair.wire.codec import MAX_BODY, BadRequestError, encode_error, pack
from marblestair.wire.peers import (
    MalformedMessageError,
    arguments_of,
    decode_message,
    decode_request,
    tag_of,
)
from marblestair.wire.users import (
    RequestKind,
    decode_submission,
    encode_job_status,
    is_valid_job_id,
    route_request,
)

log = logging.getLogger("marblestair")

_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

#: pause between ticks, as a share of the agents' heartbeat interval, and the least in seconds
TICK_SHARE, LEAST_TICK_S = 0.2, 0.05
#: shares of the sockets: what is accepted at all, and from which on users are turned away so that
#: every agent finds a place; and the least numbers
ACCEPTED_SHARE, CROWDED_SHARE = 0.8, 0.7
LEAST_ACCEPTED, LEAST_CROWDED = 8, 4
#: seconds after which an idle connection is closed, and between two checks for such
IDLE_S, SWEEP_S = 120.0, 5.0
#: seconds after which a user who was turned away, or met an error, may come back
CROWDED_RETRY_S, ERROR_RETRY_S = 2, 1
#: bytes of randomness in a process's incarnation
INCARNATION_BYTES = 7


class Node:
    """One controller process."""

    def __init__(self, settings: Settings, policy: Policy) -> None:
        self.settings = settings
        seed = int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
        self.core = Controller(
            settings,
            seed,
            random.Random(seed),
            time.monotonic(),
            time.time(),
            policy.tuning,
            policy.deadline_offsets_s,
        )
        sockets = int(settings.cluster.machine_limits.sockets)
        self.server = HttpServer(
            self._handle,
            time.monotonic,
            max(LEAST_ACCEPTED, int(sockets * ACCEPTED_SHARE)),
            MAX_BODY,
            IDLE_S,
            max(LEAST_CROWDED, int(sockets * CROWDED_SHARE)),
        )
        self.outside = OutsideCalls(settings, self.core.rejected_writes)
        self.peers = PeerServer(self._receive_message, self._receive_request)
        #: connections of users whose requests the core has not answered, by the requests' numbers
        self._user_connections: dict[int, Connection] = {}
        #: what sends the reply to a request of another controller, by the requests' numbers
        self._peer_replies: dict[int, Callable[[Any], None]] = {}
        self._next_request = 1
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_address(self.settings.public_addr)
        await self.server.listen(host, port)
        host, port = split_address(self.settings.cluster_listen)
        await self.peers.listen(host, port)
        self._set_time()
        self.core.start()
        self._flush()
        try:
            await self._tick_for_good()
        finally:
            self.server.close()
            self.peers.close()

    async def _tick_for_good(self) -> None:
        pause_s = max(LEAST_TICK_S, TICK_SHARE * self.settings.cluster.workers.report_s)
        last_sweep = time.monotonic()
        while True:
            await asyncio.sleep(pause_s)
            self._set_time()
            try:
                self.core.tick()
            except Exception:
                # Nothing that arrives may end the process; the next tick tries again.
                log.exception("tick failed")
            self._flush()
            if time.monotonic() - last_sweep > SWEEP_S:
                last_sweep = time.monotonic()
                self.server.sweep(self.server.idle_s)

    def _set_time(self) -> None:
        self.core.set_time(time.monotonic(), time.time())

    # --- outputs ---------------------------------------------------------------------------

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that the node owns until it is done."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _flush(self) -> None:
        """Send what the core has to send."""
        coroutines = self.core.context.coroutines
        while coroutines.requests:
            requests, coroutines.requests = coroutines.requests, []
            for number, request in requests:
                self._spawn(self._carry_out(number, request))
        self._flush_users_and_agents()
        self._flush_peers()
        outbox = self.core.context.outbox
        lines, outbox.log_lines = outbox.log_lines, []
        for line in lines:
            log.log(_LEVELS.get(line.level, logging.INFO), "%s", line.text)

    def _flush_users_and_agents(self) -> None:
        outbox = self.core.context.outbox
        replies, outbox.user_replies = outbox.user_replies, []
        for reply in replies:
            connection = self._user_connections.pop(reply.request_id, None)
            if connection is not None:
                self._reply_to_user(connection, reply)
        commands, outbox.direct_commands = outbox.direct_commands, []
        for command in commands:
            self._spawn(self.outside.send_command(command))

    def _flush_peers(self) -> None:
        outbox = self.core.context.outbox
        messages, outbox.messages = outbox.messages, []
        for outgoing in messages:
            link = self.outside.links.get(outgoing.node)
            if link is not None:
                link.note(tag_of(outgoing.message), arguments_of(outgoing.message))
        replies, outbox.peer_replies = outbox.peer_replies, []
        for reply in replies:
            send = self._peer_replies.pop(reply.request_id, None)
            if send is not None:
                send(reply.value)

    async def _carry_out(self, number: int, request: OutsideRequest) -> None:
        response = await self.outside.carry_out(request)
        self._set_time()
        self.core.complete(number, response)
        self._flush()

    def _reply_to_user(self, connection: Connection, reply: UserReply) -> None:
        if reply.status in (200, 201):
            body = encode_job_status(reply.job, reply.state, reply.done, reply.running)
        else:
            body = encode_error(reply.error)
        headers = _retry_after(reply.retry_after_s) if reply.retry_after_s else ""
        connection.respond(reply.status, body, headers)

    # --- inputs ----------------------------------------------------------------------------

    def _handle(self, connection: Connection, method: str, path: str, body: bytes) -> None:
        """A request of a user, an agent or the load balancer."""
        try:
            self._route(connection, method, path, body)
        except Exception:
            log.exception("request failed")
            connection.respond(503, encode_error("internal"), _retry_after(ERROR_RETRY_S))

    def _route(self, connection: Connection, method: str, path: str, body: bytes) -> None:
        route = route_request(method, path)
        if route.kind is RequestKind.HEALTH:
            connection.respond(200 if self.core.is_healthy() else 503, pack({}))
        elif route.kind is RequestKind.UNKNOWN_PATH:
            connection.respond(404, encode_error("no such path"))
        elif route.kind is RequestKind.WRONG_METHOD:
            connection.respond(405, encode_error("method not allowed"))
        elif route.kind is RequestKind.HEARTBEAT:
            self._set_time()
            self._receive_heartbeat(connection, body)
        else:
            self._set_time()
            self._receive_user_request(connection, route.kind, route.job, body)

    def _receive_heartbeat(self, connection: Connection, body: bytes) -> None:
        connection.worker = True
        try:
            heartbeat = decode_heartbeat(body)
        except BadRequestError as error:
            connection.respond(400, encode_error(str(error)))
            return
        response = self.core.receive_heartbeat(heartbeat)
        if response.status == 200:
            commands = list(response.commands)
            answer = encode_heartbeat_response(response.fencing_token, commands)
        else:
            answer = encode_redirect(response.leader)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("heartbeat %s -> %s", heartbeat, response)
        connection.respond(response.status, answer)
        self._flush()

    def _receive_user_request(
        self, connection: Connection, kind: RequestKind, job: str, body: bytes
    ) -> None:
        """A submission, a query or a cancel; answered through the core's replies."""
        if self.server.crowded:
            refusal = encode_error("too many connections")
            connection.respond(503, refusal, _retry_after(CROWDED_RETRY_S), close=True)
            return
        if kind is RequestKind.SUBMIT:
            try:
                spec = decode_submission(body)
            except BadRequestError as error:
                connection.respond(400, encode_error(str(error)))
                return
            self._submit(connection, spec)
        elif not is_valid_job_id(job):
            connection.respond(404, encode_error("no such job"))
            return
        elif kind is RequestKind.QUERY:
            requests = self.core.user_requests
            self.core.context.spawn(requests.query(self._expect_reply(connection), job))
        else:
            requests = self.core.user_requests
            self.core.context.spawn(requests.cancel(self._expect_reply(connection), job))
        self._flush()

    def _submit(self, connection: Connection, spec: JobSpec) -> None:
        requests = self.core.user_requests
        self.core.context.spawn(requests.submit(self._expect_reply(connection), spec))

    def _expect_reply(self, connection: Connection) -> int:
        """The number under which the core answers a user's request."""
        number = self._take_number()
        self._user_connections[number] = connection
        return number

    def _take_number(self) -> int:
        number = self._next_request
        self._next_request += 1
        return number

    def _receive_message(self, node: str, tag: str, arguments: list[Any]) -> None:
        """A one-way message of another controller."""
        self._set_time()
        try:
            message = decode_message(tag, arguments)
        except MalformedMessageError as error:
            self.core.peer_service.reject(node, str(error))
        else:
            self.core.peer_service.receive(node, message)
        self._flush()

    def _receive_request(
        self, send: Callable[[Any], None], node: str, tag: str, arguments: list[Any]
    ) -> None:
        """A request of another controller, or of an operator."""
        number = self._take_number()
        self._peer_replies[number] = send
        self._set_time()
        try:
            message = decode_request(tag, arguments)
        except MalformedMessageError as error:
            self.core.peer_service.refuse_request(number, node, str(error))
        else:
            self.core.peer_service.receive_request(number, node, message)
        self._flush()


def _retry_after(seconds: int) -> str:
    """The header that tells when to come back."""
    return f"Retry-After: {seconds}\r\n"


def serve(settings: Settings, policy: Policy) -> None:
    """Run one controller until the process is killed."""
    asyncio.run(Node(settings, policy).run())
