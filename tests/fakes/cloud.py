"""A simulated cloud: rents, lists (with a lag) and releases machines."""

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

#: time that a controller waits for a response
RESPONSE_TIMEOUT_S = 4.0
#: time after its rental until a machine is listed
LIST_LAG_S = 5.0
#: bounds of the random ratio between the boot time of a machine and that of its type
MIN_BOOT_RATIO, MAX_BOOT_RATIO = 0.6, 1.5


class FakeCloud:
    """Rents machines up to a capacity, each with its agent."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self.is_down = False
        #: maximum number of machines rented at one time
        self.capacity = 12
        #: type and zone -> maximum number of such machines rented at one time; no entry: no maximum
        self.capacity_by_kind: dict[tuple[str, str], int] = {}
        #: whether every rental is refused for lack of capacity
        self.is_full = False
        self.machine_types = MACHINE_TYPES
        #: name of a rental -> names of its machines
        self.rentals: dict[str, list[str]] = {}
        #: executes a request; a test may replace it
        self.execute: Callable[[CloudRequest], CloudResponse] = self._execute

    def send(self, node: str, request: CloudRequest, call: PendingCall) -> None:
        """Send a node's request to the cloud; ``call`` receives the response."""
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
        """Rent machines; a repeated rental name returns the machines of the first request."""
        if request.name not in self.rentals:
            count = min(request.count, self._free_capacity(request))
            if count <= 0 or self.is_full:
                return CloudResponse(503, no_capacity=True)
            self.rentals[request.name] = [self._boot_machine(request) for _ in range(count)]
        return CloudResponse(200, machines=self.rentals[request.name])

    def _free_capacity(self, request: RentMachines) -> int:
        """Return how many more machines of the requested kind can be rented now."""
        rented = [agent for agent in self._deployment.agents.values() if not agent.is_released]
        kind = (request.machine_type, request.zone)
        of_kind = sum((agent.machine_type.name, agent.zone) == kind for agent in rented)
        most_of_kind = self.capacity_by_kind.get(kind, self.capacity)
        return min(self.capacity - len(rented), most_of_kind - of_kind)

    def _boot_machine(self, request: RentMachines) -> str:
        """Create a machine, schedule its boot and return its name."""
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
