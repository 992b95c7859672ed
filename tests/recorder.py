"""A recorder of the requests that one node makes."""

from __future__ import annotations

from typing import Any, NamedTuple

from marblestair.core.controller import Controller
from marblestair.core.runtime.requests import InspectAgent, PeerRequest
from marblestair.core.runtime.store_requests import Get
from marblestair.core.state import keys
from tests.fakes.simulated_deployment import SimulatedDeployment


class DelayedRead(NamedTuple):
    """A read that is not sent yet, and the controller that waits for it."""

    controller: Controller
    number: int
    request: Get


class RequestRecorder:
    """Records the requests of one node's coroutines, and can delay its reads."""

    def __init__(self, deployment: SimulatedDeployment, node: str) -> None:
        self.requests: list[Any] = []
        self.delayed_reads: list[DelayedRead] = []
        self.delays_reads = False
        self._node = node
        self._execute_request = deployment.nodes.execute_request
        deployment.nodes.execute_request = self._record

    def _record(self, controller: Controller, number: int, request: Any) -> None:
        if controller.context.node == self._node:
            self.requests.append(request)
            if self.delays_reads and isinstance(request, Get):
                self.delayed_reads.append(DelayedRead(controller, number, request))
                return
        self._execute_request(controller, number, request)

    def send_delayed_reads(self) -> None:
        """Send the reads that were delayed, and delay no more."""
        self.delays_reads = False
        for read in self.delayed_reads:
            self._execute_request(*read)

    def count_reads(self, job: str) -> int:
        """How often a job's keys were read."""
        job_keys = (keys.JOBS + job, keys.FINAL_STATES + job)
        return sum(
            isinstance(request, Get) and request.key in job_keys for request in self.requests
        )

    def count_store_and_cloud_requests(self) -> int:
        """How many requests went to the store or the cloud."""
        return sum(
            not isinstance(request, (PeerRequest, InspectAgent)) for request in self.requests
        )

    def count(self, kind: type) -> int:
        """How many requests of a kind were made."""
        return sum(isinstance(request, kind) for request in self.requests)
