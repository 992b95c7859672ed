"""One controller process: connects the core, which does no I/O itself, to the network."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import os
import random
import time
from collections.abc import Coroutine
from typing import Any

from marblestair.core.controller import Controller
from marblestair.core.runtime.requests import CoroutineRequest
from marblestair.http_api import HttpApi
from marblestair.log_levels import LOG_LEVELS
from marblestair.net.framing import Elements
from marblestair.net.peers import PeerServer, Responder
from marblestair.policy import Policy
from marblestair.request_executor import RequestExecutor
from marblestair.settings import Settings, split_address
from marblestair.wire.peers import (
    MalformedMessageError,
    arguments_of,
    decode_message,
    decode_request,
    tag_of,
)

log = logging.getLogger("marblestair")

#: interval between two ticks of the core: as a share of the agents' heartbeat interval, and its
#: minimum in seconds
TICK_INTERVAL_SHARE = 0.2
MIN_TICK_INTERVAL_S = 0.05
#: interval between two searches for idle connections to close
IDLE_CHECK_INTERVAL_S = 5.0
#: length of the random incarnation, which identifies one run of a controller process, in bytes
INCARNATION_BYTES = 7


class Node:
    """One controller process.

    It owns the HTTP interface, the server for other controllers, the outgoing connections and the
    asyncio tasks that execute the core's requests; :meth:`run` closes all of them when it ends.
    """

    def __init__(self, settings: Settings, policy: Policy) -> None:
        self.settings = settings
        self.core = _new_controller(settings, policy)
        request_ids = itertools.count(1)
        self._request_ids = request_ids
        sockets = int(settings.cluster.machine_limits.sockets)
        self._http_api = HttpApi(self.core, sockets, request_ids, self._set_time, self._flush)
        self._peer_server = PeerServer(self._receive_message, self._receive_request)
        self.request_executor = RequestExecutor(settings, self.core.rejected_writes)
        #: responders of the pending requests of other controllers, by request id
        self._responders: dict[int, Responder] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until cancelled.

        Raises
        ------
        OSError
            When an address to listen on cannot be bound.
        """
        with contextlib.closing(self):
            await self._http_api.listen(*split_address(self.settings.public_addr))
            await self._peer_server.listen(*split_address(self.settings.cluster_listen))
            self._set_time()
            self.core.start()
            self._flush()
            await self._tick_forever()

    def close(self) -> None:
        """Cancel the tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        self._http_api.close()
        self._peer_server.close()
        self.request_executor.close()

    async def _tick_forever(self) -> None:
        pause_s = max(
            MIN_TICK_INTERVAL_S, TICK_INTERVAL_SHARE * self.settings.cluster.workers.report_s
        )
        last_idle_check = time.monotonic()
        while True:
            await asyncio.sleep(pause_s)
            self._set_time()
            try:
                self.core.tick()
            except Exception:
                # An exception must not end the process; the next tick repeats the work.
                log.exception("tick of the controller failed; the next tick retries")
            self._flush()
            if time.monotonic() - last_idle_check > IDLE_CHECK_INTERVAL_S:
                last_idle_check = time.monotonic()
                self._http_api.close_idle_connections()

    def _set_time(self) -> None:
        self.core.set_time(time.monotonic(), time.time())

    # --- outputs ---------------------------------------------------------------------------

    def _flush(self) -> None:
        """Start the requests, send the output and write the log lines that the core queued."""
        self._start_requests()
        self._send_replies_and_commands()
        self._send_to_peers()
        outbox = self.core.context.outbox
        lines, outbox.log_lines = outbox.log_lines, []
        for line in lines:
            log.log(LOG_LEVELS.get(line.level, logging.INFO), "%s", line.text)

    def _start_requests(self) -> None:
        coroutines = self.core.context.coroutines
        while coroutines.requests:
            requests, coroutines.requests = coroutines.requests, []
            for number, request in requests:
                self._spawn(self._execute(number, request))

    def _send_replies_and_commands(self) -> None:
        outbox = self.core.context.outbox
        replies, outbox.user_replies = outbox.user_replies, []
        for reply in replies:
            self._http_api.send_reply(reply)
        commands, outbox.direct_commands = outbox.direct_commands, []
        for command in commands:
            self._spawn(self.request_executor.send_command(command))

    def _send_to_peers(self) -> None:
        outbox = self.core.context.outbox
        messages, outbox.messages = outbox.messages, []
        for outgoing in messages:
            link = self.request_executor.links.get(outgoing.node)
            if link is not None:
                link.send_message(tag_of(outgoing.message), arguments_of(outgoing.message))
        replies, outbox.peer_replies = outbox.peer_replies, []
        for reply in replies:
            respond = self._responders.pop(reply.request_id, None)
            if respond is not None:
                respond(reply.value)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task; keep a reference, so that it is not garbage-collected."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, number: int, request: CoroutineRequest) -> None:
        response = await self.request_executor.execute(request)
        self._set_time()
        self.core.complete(number, response)
        self._flush()

    # --- inputs from other controllers -----------------------------------------------------

    def _receive_message(self, sender: str, tag: str, arguments: Elements) -> None:
        """Pass a one-way message of another controller to the core."""
        self._set_time()
        try:
            message = decode_message(tag, arguments)
        except MalformedMessageError as error:
            self.core.peer_service.reject_message(sender, str(error))
        else:
            self.core.peer_service.receive(sender, message)
        self._flush()

    def _receive_request(
        self, respond: Responder, sender: str, tag: str, arguments: Elements
    ) -> None:
        """Pass a request of another controller, or of the command line, to the core."""
        request_id = next(self._request_ids)
        self._responders[request_id] = respond
        self._set_time()
        try:
            message = decode_request(tag, arguments)
        except MalformedMessageError as error:
            self.core.peer_service.reject_request(request_id, sender, str(error))
        else:
            self.core.peer_service.receive_request(request_id, sender, message)
        self._flush()


def _new_controller(settings: Settings, policy: Policy) -> Controller:
    """Return the core of a new process, with a random incarnation."""
    incarnation = int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
    return Controller(
        settings,
        incarnation,
        random.Random(incarnation),
        time.monotonic(),
        time.time(),
        policy.tuning,
        policy.deadline_offsets_s,
    )


def serve(settings: Settings, policy: Policy) -> None:
    """Run one controller until the process is killed."""
    asyncio.run(Node(settings, policy).run())
