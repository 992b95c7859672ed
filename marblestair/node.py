"""The shell that joins the pure core with the network."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from typing import Any

from marblestair import wire
from marblestair.core.controller import Controller
from marblestair.core.runtime.cloud_requests import (
    CloudResponse,
    ListMachines,
    ListMachineTypes,
    ReleaseMachines,
    RentMachines,
)
from marblestair.core.runtime.outbox import DirectCommand, UserReply
from marblestair.core.runtime.requests import InspectAgent, OutsideRequest, PeerRequest
from marblestair.core.runtime.store_requests import (
    NOT_SENT,
    CompareAndSwap,
    Get,
    GrantLease,
    ListKeys,
    RenewLease,
    StoreResponse,
    Watch,
)
from marblestair.net.budget import Budget
from marblestair.net.http_client import HttpClient
from marblestair.net.http_server import Connection, HttpServer
from marblestair.net.peers import Link, PeerServer
from marblestair.policy import Policy
from marblestair.settings import Settings, split_addr

log = logging.getLogger("marblestair")

_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

#: pause between ticks, as a share of the workers' report interval
TICK = 0.2
#: shares of the sockets: what is accepted at all, from which users are turned away so that every
#: worker finds a place, and what each outgoing use may keep or have under way
ACCEPTED, CROWDED, OUTGOING = 0.8, 0.7, 0.04
#: seconds after which a user who was turned away may come back
CROWDED_RETRY_S = 2
#: time for one call of the state service, of the cloud, and of a worker
STATE_S, CLOUD_S, WORKER_S = 1.2, 4.0, 1.5


class Node:
    """One controller process."""

    def __init__(self, settings: Settings, policy: Policy) -> None:
        self.settings = settings
        cluster = settings.cluster
        n = len(settings.nodes)
        seed = int.from_bytes(os.urandom(7), "big")
        self.core = Controller(settings, seed, random.Random(seed), time.monotonic(), time.time())
        self.core.fleet.tuning = policy.tuning
        self.core.deadline_offsets_s = policy.lead_s
        sockets = int(cluster.machine_limits.sockets)
        few = max(4, int(sockets * OUTGOING))
        self.server = HttpServer(
            self._handle,
            time.monotonic,
            max(8, int(sockets * ACCEPTED)),
            wire.MAX_BODY,
            120.0,
            max(4, int(sockets * CROWDED)),
        )
        self.state = HttpClient(few, 2 * few, few)
        self.cloud = HttpClient(2, 8)
        # Stops for hundreds of machines at once take turns; no machine's connection is kept for
        # long where there are many.
        self.workers = HttpClient(1, few, few)
        # A few per cent stay free: clocks drift and the services count on theirs.
        self.state_budget = Budget(cluster.state.rps / n * 0.95, cluster.state.write_rps / n * 0.95)
        self.cloud_budget = Budget(cluster.cloud.rps / n * 0.9, 1.0, 10.0)
        self.links = {peer.node: Link(settings.node, peer.address) for peer in settings.others}
        self.peers = PeerServer(self._on_note, self._on_ask)
        self._requests: dict[int, Connection] = {}
        self._asks: dict[int, Any] = {}
        self._next = 1
        self._tasks: set[asyncio.Task[None]] = set()
        self._flushing = False

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = split_addr(self.settings.public_addr)
        await self.server.listen(host, port)
        host, port = split_addr(self.settings.cluster_listen)
        await self.peers.listen(host, port)
        self._time()
        self.core.start()
        self._flush()
        pause = max(0.05, TICK * self.settings.cluster.workers.report_s)
        last_sweep = time.monotonic()
        try:
            while True:
                await asyncio.sleep(pause)
                self._time()
                try:
                    self.core.tick()
                except Exception:
                    # Nothing that arrives may end the process; the next tick tries again.
                    log.exception("tick failed")
                self._flush()
                if time.monotonic() - last_sweep > 5.0:
                    last_sweep = time.monotonic()
                    self.server.sweep(self.server.idle_s)
        finally:
            self.server.close()
            self.peers.close()

    def _time(self) -> None:
        self.core.set_time(time.monotonic(), time.time())

    # --- outputs ---------------------------------------------------------------------------

    def _spawn(self, coro: Any) -> None:
        t = asyncio.create_task(coro)
        self._tasks.add(t)
        t.add_done_callback(self._tasks.discard)

    def _flush(self) -> None:
        controller = self.core
        while controller.coroutines.requests:
            calls, controller.coroutines.requests = controller.coroutines.requests, []
            for n, call in calls:
                self._spawn(self._carry_out(n, call))
        replies, controller.replies = controller.replies, []
        for reply in replies:
            connection = self._requests.pop(reply.request_id, None)
            if connection is not None:
                self._answer(connection, reply)
        commands, controller.direct_commands = controller.direct_commands, []
        for command in commands:
            self._spawn(self._command(command))
        notes, controller.messages = controller.messages, []
        for message in notes:
            link = self.links.get(message.node)
            if link is not None:
                link.note(message.tag, message.args)
        answers, controller.peer_replies = controller.peer_replies, []
        for n, value in answers:
            send = self._asks.pop(n, None)
            if send is not None:
                send(value)
        lines, controller.log_lines = controller.log_lines, []
        for level, text in lines:
            log.log(_LEVELS.get(level, logging.INFO), "%s", text)

    async def _carry_out(self, n: int, call: OutsideRequest) -> None:
        result: Any
        try:
            result = await self._call(call)
        except Exception:
            log.exception("call failed")
            result = self._nothing(call)
        self._time()
        self.core.complete(n, result)
        self._flush()

    def _nothing(self, call: OutsideRequest) -> Any:
        if isinstance(call, (PeerRequest, InspectAgent)):
            return None
        if isinstance(call, (ListMachineTypes, RentMachines, ReleaseMachines, ListMachines)):
            return CloudResponse(0)
        return StoreResponse(0)

    async def _call(self, call: OutsideRequest) -> Any:
        if isinstance(call, PeerRequest):
            link = self.links.get(call.node)
            return None if link is None else await link.ask(call.tag, call.args, call.timeout_s)
        if isinstance(call, (Get, ListKeys, CompareAndSwap, GrantLease, RenewLease, Watch)):
            writes = call.change_count if isinstance(call, CompareAndSwap) else 0
            if not await self.state_budget.take(call.lane, writes):
                return StoreResponse(NOT_SENT)
            wait = call.wait_ms / 1000 if isinstance(call, Watch) else 0.0
            method, path, body = wire.state_request(call)
            status, data = await self.state.request(
                self.settings.external.state, method, path, body, STATE_S + wait
            )
            if status <= 0 or status >= 500:
                log.debug("state %s %s: %s", method, path, status)
            if isinstance(call, CompareAndSwap) and status == 400:
                self.core.record_rejected_write(call)
            return wire.state_result(call, status, data)
        if isinstance(call, (ListMachineTypes, RentMachines, ReleaseMachines, ListMachines)):
            if not await self.cloud_budget.take(1 if isinstance(call, ListMachines) else 0, 0):
                return CloudResponse(NOT_SENT)
            method, path, body = wire.cloud_request(call)
            status, data = await self.cloud.request(
                self.settings.external.cloud, method, path, body, CLOUD_S
            )
            if status != 200:
                log.debug("cloud %s %s: %s", method, path, status)
            return wire.cloud_result(call, status, data)
        if isinstance(call, InspectAgent):
            status, data = await self.workers.request(
                call.address, "GET", wire.INSPECT_PATH, b"", WORKER_S
            )
            try:
                return wire.parse_report(data) if status == 200 else None
            except wire.BadRequestError:
                return None
        raise TypeError(f"unknown call {call!r}")

    async def _command(self, command: DirectCommand) -> None:
        body = wire.do_body(command.fencing_token, command.agent_incarnation, command.commands)
        await self.workers.request(command.address, "POST", wire.DO_PATH, body, WORKER_S)

    # --- inputs ----------------------------------------------------------------------------

    def _handle(self, connection: Connection, method: str, path: str, body: bytes) -> None:
        try:
            self._route(connection, method, path, body)
        except Exception:
            log.exception("request failed")
            connection.respond(503, wire.pack(wire.error_answer("internal")), "Retry-After: 1\r\n")

    def _route(self, connection: Connection, method: str, path: str, body: bytes) -> None:
        action, job = wire.route_user(method, path)
        if action == "health":
            ok = self.core.is_healthy()
            connection.respond(200 if ok else 503, wire.pack({}))
        elif action == "none":
            connection.respond(404, wire.pack(wire.error_answer("no such path")))
        elif action == "method":
            connection.respond(405, wire.pack(wire.error_answer("method not allowed")))
        elif action == "report":
            self._time()
            self._report(connection, body)
        else:
            self._time()
            self._user_request(connection, action, job, body)

    def _report(self, connection: Connection, body: bytes) -> None:
        """A worker's report."""
        connection.worker = True
        try:
            heartbeat = wire.parse_report(body)
        except wire.BadRequestError as e:
            connection.respond(400, wire.pack(wire.error_answer(str(e))))
            return
        status, token, commands, node = self.core.receive_heartbeat(heartbeat)
        if status == 200:
            answer = wire.report_answer(token, commands)
        else:
            answer = wire.redirect_answer(node)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("report %s -> %s %s", heartbeat, status, commands or node)
        connection.respond(status, wire.pack(answer))
        self._flush()

    def _user_request(self, connection: Connection, action: str, job: str, body: bytes) -> None:
        """A submission, a query or a cancel; answered through the core's replies."""
        if self.server.crowded:
            refusal = wire.pack(wire.error_answer("too many connections"))
            connection.respond(503, refusal, f"Retry-After: {CROWDED_RETRY_S}\r\n", close=True)
            return
        spec = None
        if action == "submit":
            try:
                spec = wire.parse_submit(body)
            except wire.BadRequestError as e:
                connection.respond(400, wire.pack(wire.error_answer(str(e))))
                return
        elif not wire.valid_job_id(job):
            connection.respond(404, wire.pack(wire.error_answer("no such job")))
            return
        n = self._next
        self._next += 1
        self._requests[n] = connection
        if spec is not None:
            self.core.spawn(self.core.user_requests.submit(n, spec))
        elif action == "query":
            self.core.spawn(self.core.user_requests.query(n, job))
        else:
            self.core.spawn(self.core.user_requests.cancel(n, job))
        self._flush()

    def _answer(self, connection: Connection, reply: UserReply) -> None:
        if reply.status in (200, 201):
            body = wire.job_answer(reply.job, reply.state, reply.done, reply.running)
        else:
            body = wire.error_answer(reply.error)
        extra = f"Retry-After: {reply.retry_after_s}\r\n" if reply.retry_after_s else ""
        connection.respond(reply.status, wire.pack(body), extra)

    def _on_note(self, node: str, tag: str, args: list[Any]) -> None:
        self._time()
        self.core.receive_message(node, tag, args)
        self._flush()

    def _on_ask(self, send: Any, node: str, tag: str, args: list[Any]) -> None:
        n = self._next
        self._next += 1
        self._asks[n] = send
        self._time()
        self.core.receive_request(n, node, tag, args)
        self._flush()


def serve(settings: Settings, policy: Policy) -> None:
    """Run one controller until the process is killed."""
    asyncio.run(Node(settings, policy).run())
