"""Executes the core's requests to the store, the cloud, agents and other controllers."""

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
from marblestair.core.runtime.requests import CoroutineRequest, InspectAgent, PeerRequest
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
from marblestair.net.http_client import NO_RESPONSE, HttpClient
from marblestair.net.peers import Link
from marblestair.net.rate_limiter import RateLimiter
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

#: maximum number of idle connections to the store and to agents, and of in-flight requests to
#: agents: as a share of the process's sockets, and the lower bound of that number
OUTGOING_LIMIT_SHARE = 0.04
MIN_OUTGOING_LIMIT = 4
#: maximum number of in-flight requests to the store, as a multiple of the maximum number of idle
#: connections to the store
STORE_IN_FLIGHT_FACTOR = 2
#: limits of idle connections and of in-flight requests to the cloud
MAX_IDLE_CLOUD_CONNECTIONS = 2
MAX_CLOUD_REQUESTS_IN_FLIGHT = 8
#: maximum request rates to the store and the cloud, as shares of the permitted rates; the rest
#: allows for clock drift between this node and the store or the cloud
STORE_RATE_SHARE = 0.95
CLOUD_RATE_SHARE = 0.9
#: write rate of the cloud's rate limiter; without effect, since no cloud request counts as a write
CLOUD_WRITES_PER_S = 1.0
#: maximum time that a request to the cloud waits for the rate limiter
MAX_CLOUD_WAIT_S = 10.0
#: timeouts of one request to the store (a watch adds the time it waits), to the cloud and to an
#: agent
STORE_TIMEOUT_S = 1.2
CLOUD_TIMEOUT_S = 4.0
AGENT_TIMEOUT_S = 1.5
#: priorities in the cloud's rate limiter: listings of machines come last
CLOUD_PRIORITY = 0
LISTING_PRIORITY = 1

STORE_REQUESTS = (Get, ListKeys, CompareAndSwap, GrantLease, RenewLease, Watch)
CLOUD_REQUESTS = (ListMachineTypes, RentMachines, ReleaseMachines, ListMachines)


class RequestExecutor:
    """Executes requests of one node to external systems, within their rate limits.

    It owns the HTTP clients, the rate limiters and the links to the other controllers;
    :meth:`close` closes them.
    """

    def __init__(self, settings: Settings, rejected_writes: RejectedWrites) -> None:
        self._settings = settings
        self._rejected_writes = rejected_writes
        cluster, node_count = settings.cluster, len(settings.nodes)
        sockets = int(cluster.machine_limits.sockets)
        max_outgoing = max(MIN_OUTGOING_LIMIT, int(sockets * OUTGOING_LIMIT_SHARE))
        self._store = HttpClient(
            max_idle_per_address=max_outgoing,
            max_in_flight=STORE_IN_FLIGHT_FACTOR * max_outgoing,
            max_idle=max_outgoing,
        )
        self._cloud = HttpClient(
            max_idle_per_address=MAX_IDLE_CLOUD_CONNECTIONS,
            max_in_flight=MAX_CLOUD_REQUESTS_IN_FLIGHT,
        )
        # If commands go to hundreds of agents at once, the requests beyond max_in_flight wait. With
        # many agents, an agent's idle connection is soon closed, because max_idle limits the total.
        self._agents = HttpClient(
            max_idle_per_address=1, max_in_flight=max_outgoing, max_idle=max_outgoing
        )
        self.store_rate_limiter = RateLimiter(
            cluster.state.rps / node_count * STORE_RATE_SHARE,
            cluster.state.write_rps / node_count * STORE_RATE_SHARE,
        )
        self._cloud_rate_limiter = RateLimiter(
            cluster.cloud.rps / node_count * CLOUD_RATE_SHARE, CLOUD_WRITES_PER_S, MAX_CLOUD_WAIT_S
        )
        #: links to the other controllers, by node name
        self.links = {peer.node: Link(settings.node, peer.address) for peer in settings.others}

    def close(self) -> None:
        """Close all connections; no request may be executed afterwards."""
        self.store_rate_limiter.close()
        self._cloud_rate_limiter.close()
        for client in (self._store, self._cloud, self._agents):
            client.close()
        for link in self.links.values():
            link.close()

    async def execute(self, request: CoroutineRequest) -> Any:
        """Execute a request and return its response.

        If an unexpected exception occurs, it is logged and :func:`no_response` gives the result.
        """
        try:
            return await self._send(request)
        except Exception:
            log.exception("request to an external system failed: %r", request)
            return no_response(request)

    async def send_command(self, command: DirectCommand) -> None:
        """Send commands to an agent; ignore the response, as heartbeats show the result."""
        body = encode_direct_command(
            command.fencing_token, command.agent_incarnation, command.commands
        )
        await self._agents.request(command.address, "POST", COMMAND_PATH, body, AGENT_TIMEOUT_S)

    async def _send(self, request: CoroutineRequest) -> Any:
        if isinstance(request, PeerRequest):
            return await self._request_peer(request)
        if isinstance(request, STORE_REQUESTS):
            return await self._request_store(request)
        if isinstance(request, CLOUD_REQUESTS):
            return await self._request_cloud(request)
        if isinstance(request, InspectAgent):
            return await self._inspect(request)
        raise TypeError(f"request of an unknown type: {request!r}")

    async def _request_peer(self, request: PeerRequest) -> Any:
        link = self.links.get(request.node)
        if link is None:
            return None
        arguments = arguments_of(request.message)
        return await link.request(tag_of(request.message), arguments, request.timeout_s)

    async def _request_store(self, request: StoreRequest) -> StoreResponse:
        write_count = request.change_count if isinstance(request, CompareAndSwap) else 0
        if not await self.store_rate_limiter.acquire(request.priority, write_count):
            return StoreResponse(NOT_SENT)
        wait_s = request.wait_ms / 1000 if isinstance(request, Watch) else 0.0
        encoded = encode_store_request(request)
        status, body = await self._store.request(
            self._settings.external.state,
            encoded.method,
            encoded.path,
            encoded.body,
            STORE_TIMEOUT_S + wait_s,
        )
        if status <= NO_RESPONSE or status >= 500:
            log.debug("store request failed: %s %s status=%s", encoded.method, encoded.path, status)
        if isinstance(request, CompareAndSwap) and status == 400:
            self._rejected_writes.record(request)
        return decode_store_response(request, status, body)

    async def _request_cloud(self, request: CloudRequest) -> CloudResponse:
        priority = LISTING_PRIORITY if isinstance(request, ListMachines) else CLOUD_PRIORITY
        if not await self._cloud_rate_limiter.acquire(priority, 0):
            return CloudResponse(NOT_SENT)
        encoded = encode_cloud_request(request)
        status, body = await self._cloud.request(
            self._settings.external.cloud,
            encoded.method,
            encoded.path,
            encoded.body,
            CLOUD_TIMEOUT_S,
        )
        if status != 200:
            log.debug("cloud request failed: %s %s status=%s", encoded.method, encoded.path, status)
        return decode_cloud_response(request, status, body)

    async def _inspect(self, request: InspectAgent) -> Heartbeat | None:
        status, body = await self._agents.request(
            request.address, "GET", INSPECT_PATH, b"", AGENT_TIMEOUT_S
        )
        try:
            return decode_heartbeat(body) if status == 200 else None
        except BadRequestError:
            return None


def no_response(request: CoroutineRequest) -> StoreResponse | CloudResponse | None:
    """Return the value that represents a missing response to a request."""
    if isinstance(request, (PeerRequest, InspectAgent)):
        return None
    if isinstance(request, CLOUD_REQUESTS):
        return CloudResponse(NO_RESPONSE)
    return StoreResponse(NO_RESPONSE)
