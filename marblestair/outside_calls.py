"""Carries out the requests of the core: to the store, the cloud, agents and other controllers."""

from __future__ import annotations

import logging
from typing import Any

from marblestair.core.domain.agents import Heartbeat
from marblestair.core.runtime.cloud_requests import (
    CloudRequest,
    CloudResponse,
    ListMachines,
    ListMachineTypes,
    ReleaseMachines,
    RentMachines,
)
from marblestair.core.runtime.outbox import DirectCommand
from marblestair.core.runtime.rejected_writes import RejectedWrites
from marblestair.core.runtime.requests import InspectAgent, OutsideRequest, PeerRequest
from marblestair.core.runtime.store_requests import (
    NOT_SENT,
    CompareAndSwap,
    Get,
    GrantLease,
    ListKeys,
    RenewLease,
    StoreRequest,
    StoreResponse,
    Watch,
)
from marblestair.net.budget import Budget
from marblestair.net.http_client import HttpClient
from marblestair.net.peers import Link
from marblestair.settings import Settings
from marblestair.wire.agents import (
    COMMAND_PATH,
    INSPECT_PATH,
    decode_heartbeat,
    encode_direct_command,
)
from marblestair.wire.cloud import decode_cloud_response, encode_cloud_request
from marblestair.wire.codec import BadRequestError
from marblestair.wire.peers import arguments_of, tag_of
from marblestair.wire.store import decode_store_response, encode_store_request

log = logging.getLogger("marblestair")

#: share of the sockets that each outgoing use may keep or have under way, and the least number
OUTGOING_SHARE, LEAST_OUTGOING = 0.04, 4
#: connections to the cloud that are kept, and requests under way to it
CLOUD_KEPT, CLOUD_UNDER_WAY = 2, 8
#: share of the permitted rates that is used: clocks drift and the services count on theirs
STORE_RATE_SHARE, CLOUD_RATE_SHARE = 0.95, 0.9
#: time for a request to the cloud to get its place in the budget, in seconds
CLOUD_MAX_WAIT_S = 10.0
#: time for one request to the store, to the cloud, and to an agent, in seconds
STORE_S, CLOUD_S, AGENT_S = 1.2, 4.0, 1.5
#: lanes of the cloud's budget: rentals and releases come before listings
CLOUD_LANE, LISTING_LANE = 0, 1

STORE_REQUESTS = (Get, ListKeys, CompareAndSwap, GrantLease, RenewLease, Watch)
CLOUD_REQUESTS = (ListMachineTypes, RentMachines, ReleaseMachines, ListMachines)


class OutsideCalls:
    """The connections of one node to the systems around it, and their budgets."""

    def __init__(self, settings: Settings, rejected_writes: RejectedWrites) -> None:
        self._settings = settings
        self._rejected_writes = rejected_writes
        cluster, nodes = settings.cluster, len(settings.nodes)
        few = max(LEAST_OUTGOING, int(int(cluster.machine_limits.sockets) * OUTGOING_SHARE))
        self._store = HttpClient(few, 2 * few, few)
        self._cloud = HttpClient(CLOUD_KEPT, CLOUD_UNDER_WAY)
        # Stops for hundreds of machines at once take turns; no machine's connection is kept for
        # long where there are many.
        self._agents = HttpClient(1, few, few)
        self.store_budget = Budget(
            cluster.state.rps / nodes * STORE_RATE_SHARE,
            cluster.state.write_rps / nodes * STORE_RATE_SHARE,
        )
        self._cloud_budget = Budget(
            cluster.cloud.rps / nodes * CLOUD_RATE_SHARE, 1.0, CLOUD_MAX_WAIT_S
        )
        self.links = {peer.node: Link(settings.node, peer.address) for peer in settings.others}

    async def carry_out(self, request: OutsideRequest) -> Any:
        """The response to a request; one that says so when none came."""
        try:
            return await self._send(request)
        except Exception:
            log.exception("request failed: %r", request)
            return no_response(request)

    async def _send(self, request: OutsideRequest) -> Any:
        if isinstance(request, PeerRequest):
            return await self._ask_peer(request)
        if isinstance(request, STORE_REQUESTS):
            return await self._ask_store(request)
        if isinstance(request, CLOUD_REQUESTS):
            return await self._ask_cloud(request)
        if isinstance(request, InspectAgent):
            return await self._inspect(request)
        raise TypeError(f"unknown request {request!r}")

    async def _ask_peer(self, request: PeerRequest) -> Any:
        link = self.links.get(request.node)
        if link is None:
            return None
        arguments = arguments_of(request.message)
        return await link.ask(tag_of(request.message), arguments, request.timeout_s)

    async def _ask_store(self, request: StoreRequest) -> StoreResponse:
        changes = request.change_count if isinstance(request, CompareAndSwap) else 0
        if not await self.store_budget.take(request.lane, changes):
            return StoreResponse(NOT_SENT)
        wait_s = request.wait_ms / 1000 if isinstance(request, Watch) else 0.0
        encoded = encode_store_request(request)
        status, body = await self._store.request(
            self._settings.external.state,
            encoded.method,
            encoded.path,
            encoded.body,
            STORE_S + wait_s,
        )
        if status <= 0 or status >= 500:
            log.debug("store %s %s: %s", encoded.method, encoded.path, status)
        if isinstance(request, CompareAndSwap) and status == 400:
            self._rejected_writes.record(request)
        return decode_store_response(request, status, body)

    async def _ask_cloud(self, request: CloudRequest) -> CloudResponse:
        lane = LISTING_LANE if isinstance(request, ListMachines) else CLOUD_LANE
        if not await self._cloud_budget.take(lane, 0):
            return CloudResponse(NOT_SENT)
        encoded = encode_cloud_request(request)
        status, body = await self._cloud.request(
            self._settings.external.cloud, encoded.method, encoded.path, encoded.body, CLOUD_S
        )
        if status != 200:
            log.debug("cloud %s %s: %s", encoded.method, encoded.path, status)
        return decode_cloud_response(request, status, body)

    async def _inspect(self, request: InspectAgent) -> Heartbeat | None:
        status, body = await self._agents.request(
            request.address, "GET", INSPECT_PATH, b"", AGENT_S
        )
        try:
            return decode_heartbeat(body) if status == 200 else None
        except BadRequestError:
            return None

    async def send_command(self, command: DirectCommand) -> None:
        """Send commands straight to an agent; what becomes of them its heartbeats show."""
        body = encode_direct_command(
            command.fencing_token, command.agent_incarnation, command.commands
        )
        await self._agents.request(command.address, "POST", COMMAND_PATH, body, AGENT_S)


def no_response(request: OutsideRequest) -> Any:
    """What a request gets that was not answered."""
    if isinstance(request, (PeerRequest, InspectAgent)):
        return None
    if isinstance(request, CLOUD_REQUESTS):
        return CloudResponse(0)
    return StoreResponse(0)
