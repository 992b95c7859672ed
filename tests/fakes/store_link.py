"""The way from the controllers to the store: delays, lost responses, commits that come late."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from marblestair.core.runtime.store_requests import (
    NOT_SENT,
    CompareAndSwap,
    StoreRequest,
    StoreResponse,
    Watch,
)
from tests.fakes.network import STORE
from tests.fakes.pending_call import PendingCall
from tests.fakes.store import RequestOrder

if TYPE_CHECKING:
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: time after which a controller gives a request up
RESPONSE_TIMEOUT_S = 1.2
#: time in which a controller finds that the store is cut off
CONNECT_TIMEOUT_S = 0.3
#: how often a watch looks for changes
WATCH_POLL_INTERVAL_S = 0.02
#: how late a commit is carried out that comes late: at least, at most
MIN_COMMIT_DELAY_S, MAX_COMMIT_DELAY_S = 0.5, 20.0
#: ratios of the latency between which the time of a request is drawn
MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.5, 1.5


def no_delay(_node: str, _request: object) -> float | None:
    """Let every request be carried out or answered at once."""
    return None


class StoreLink:
    """Sends controllers' requests to the store, under the failures that a test sets."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        #: usual time that a request takes; 0: that of the network
        self.latency_s = 0.0
        #: ratio of requests whose response is lost although they are carried out
        self.lost_response_ratio = 0.0
        #: ratio of commits that are carried out late and unanswered
        self.late_commit_ratio = 0.0
        #: how late a commit of a node is carried out, unanswered; None: at once
        self.commit_delay_s: Callable[[str, CompareAndSwap], float | None] = no_delay
        #: how late the response to a request of a node arrives, which is carried out at once;
        #: None: soon. Beyond the node's timeout it never does.
        self.response_delay_s: Callable[[str, StoreRequest], float | None] = no_delay
        #: node -> how late the response to its watch arrives
        self.watch_lag_s: dict[str, float] = {}

    def end_failures(self) -> None:
        """End what is drawn at random; what a test set for single requests stays."""
        self.latency_s = self.late_commit_ratio = self.lost_response_ratio = 0.0

    def watch(self, node: str, request: Watch, call: PendingCall) -> None:
        """Answer a watch once there are changes, or when its time is over."""
        deployment = self._deployment
        wait_s = request.wait_ms / 1000
        deployment.schedule(wait_s + RESPONSE_TIMEOUT_S, lambda: call.complete(StoreResponse(0)))
        end = deployment.now + wait_s

        def poll() -> None:
            if call.is_completed:
                return
            store = deployment.store
            if not store.is_down and node not in store.refused_nodes:
                response = store.changes_after(request.prefix, request.after_revision)
                if response.events or response.status != 200 or deployment.now >= end:
                    self._respond(node, call, response, self.watch_lag_s.get(node, 0.0))
                    return
            deployment.schedule(WATCH_POLL_INTERVAL_S, poll)

        deployment.network.send(node, STORE, poll)

    def send(
        self, node: str, request: StoreRequest, call: PendingCall, order: RequestOrder
    ) -> None:
        """Send a request to the store, and its response back."""
        deployment = self._deployment
        deployment.schedule(RESPONSE_TIMEOUT_S, lambda: call.complete(StoreResponse(0)))

        def execute() -> None:
            delay_s = self._commit_delay_s(node, request)
            if delay_s is not None:
                deployment.schedule(delay_s, lambda: deployment.store.execute(request, node, order))
                return
            response = deployment.store.execute(request, node, order)
            if deployment.rng.random() < self.lost_response_ratio:
                return
            self._respond(node, call, response, self.response_delay_s(node, request) or 0.0)

        if deployment.network.drops(node, STORE):
            deployment.schedule(CONNECT_TIMEOUT_S, lambda: call.complete(StoreResponse(NOT_SENT)))
        elif self.latency_s:
            ratio = deployment.rng.uniform(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO)
            deployment.schedule(
                ratio * self.latency_s, lambda: deployment.network.send(node, STORE, execute)
            )
        else:
            deployment.network.send(node, STORE, execute)

    def _commit_delay_s(self, node: str, request: StoreRequest) -> float | None:
        """How late a request is carried out; None: at once."""
        if not isinstance(request, CompareAndSwap):
            return None
        delay_s = self.commit_delay_s(node, request)
        if self._deployment.rng.random() < self.late_commit_ratio:
            delay_s = self._deployment.rng.uniform(MIN_COMMIT_DELAY_S, MAX_COMMIT_DELAY_S)
        return delay_s

    def _respond(
        self, node: str, call: PendingCall, response: StoreResponse, delay_s: float
    ) -> None:
        deployment = self._deployment
        deployment.schedule(
            delay_s,
            lambda: deployment.network.send(STORE, node, lambda: call.complete(response)),
        )
