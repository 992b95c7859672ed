"""The cloud of a simulated deployment: rents machines, lists them late, takes them back."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from marblestair.core.runtime.cloud_requests import (
    CloudRequest,
    CloudResponse,
    ListedMachine,
    ListMachineTypes,
    ReleaseMachines,
    RentMachines,
)
from tests.fakes.agent import FakeAgent
from tests.fakes.network import CLOUD
from tests.fakes.pending_call import PendingCall
from tests.fakes.samples import MACHINE_TYPES

if TYPE_CHECKING:
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: time after which a controller gives a request up
RESPONSE_TIMEOUT_S = 4.0
#: how late a machine is in the list
LIST_LAG_S = 5.0
#: ratios of its type's boot time between which that of a machine is drawn
MIN_BOOT_RATIO, MAX_BOOT_RATIO = 0.6, 1.5


class FakeCloud:
    """Rents machines up to a capacity, each with its agent."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self.is_down = False
        #: machines that can be rented at a time
        self.capacity = 12
        self.machine_types = MACHINE_TYPES
        #: name of a rental -> the machines that it got
        self.rentals: dict[str, list[str]] = {}
        #: executes a request; a test may put another function in its place
        self.execute: Callable[[CloudRequest], CloudResponse] = self._execute

    def send(self, node: str, request: CloudRequest, call: PendingCall) -> None:
        """Carry a request of a controller to the cloud, and its response back."""
        deployment = self._deployment
        deployment.schedule(RESPONSE_TIMEOUT_S, lambda: call.complete(CloudResponse(0)))

        def execute() -> None:
            response = self.execute(request)
            deployment.network.send(CLOUD, node, lambda: call.complete(response))

        deployment.network.send(node, CLOUD, execute)

    def _execute(self, request: CloudRequest) -> CloudResponse:
        if self.is_down:
            return CloudResponse(503)
        if isinstance(request, ListMachineTypes):
            return CloudResponse(200, machine_types=self.machine_types)
        if isinstance(request, RentMachines):
            return self._rent(request)
        if isinstance(request, ReleaseMachines):
            return self._release(request)
        return CloudResponse(200, listed=self._listed_machines())

    def _rent(self, request: RentMachines) -> CloudResponse:
        """Rent machines; a name that was used already gives the same machines again."""
        if request.name not in self.rentals:
            rented = sum(not agent.is_released for agent in self._deployment.agents.values())
            count = min(request.count, self.capacity - rented)
            if count <= 0:
                return CloudResponse(503, no_capacity=True)
            self.rentals[request.name] = [self._boot_machine(request) for _ in range(count)]
        return CloudResponse(200, machines=self.rentals[request.name])

    def _boot_machine(self, request: RentMachines) -> str:
        """Have one machine boot; its name."""
        deployment = self._deployment
        machine_type = next(
            kind for kind in self.machine_types if kind.name == request.machine_type
        )
        name = f"host-{len(deployment.agents):06d}"
        agent = FakeAgent(deployment, name, machine_type, request.zone, request.spot)
        deployment.agents[name] = agent
        ratio = deployment.rng.uniform(MIN_BOOT_RATIO, MAX_BOOT_RATIO)
        deployment.schedule(ratio * machine_type.boot_s, agent.boot)
        return name

    def _release(self, request: ReleaseMachines) -> CloudResponse:
        for name in request.machines:
            if name in self._deployment.agents:
                self._deployment.agents[name].release()
        return CloudResponse(200)

    def _listed_machines(self) -> list[ListedMachine]:
        now = self._deployment.now
        return [
            ListedMachine(
                agent.name,
                agent.address,
                agent.machine_type.name,
                agent.zone,
                agent.spot,
                "running",
                now - agent.rented_at,
            )
            for agent in self._deployment.agents.values()
            if not agent.is_released and agent.rented_at < now - LIST_LAG_S
        ]
