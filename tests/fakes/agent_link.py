"""The way between agents and controllers: heartbeats, responses, direct commands, inspections."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from marblestair.core.domain.agents import Heartbeat
from marblestair.core.runtime.outbox import DirectCommand
from marblestair.core.runtime.requests import InspectAgent
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from tests.fakes.pending_call import PendingCall

if TYPE_CHECKING:
    from tests.fakes.agent import FakeAgent
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: time after which a controller gives an inspection up
INSPECTION_TIMEOUT_S = 1.5
#: time in which an agent finds that a connection is refused
CONNECTION_REFUSED_DELAY_S = 0.001
#: how late a duplicate of a heartbeat arrives: at least, and at most in leases
MIN_DUPLICATE_DELAY_S = 2.0
MAX_DUPLICATE_DELAY_LEASES = 3.5
#: what an agent takes a refused connection for
CONNECTION_REFUSED = HeartbeatResponse(0)


class AgentLink:
    """Carries what goes between agents and controllers."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        #: ratio of heartbeats of which a duplicate arrives late
        self.duplicate_ratio = 0.0

    def send_heartbeat(
        self, node: str, heartbeat: Heartbeat, respond: Callable[[HeartbeatResponse], None]
    ) -> None:
        """Carry a heartbeat to a node, and the response back."""
        deployment = self._deployment

        def deliver() -> None:
            if deployment.nodes.defer_while_frozen(node, deliver):
                return
            controller = deployment.nodes.controllers.get(node)
            if controller is None:
                deployment.schedule(CONNECTION_REFUSED_DELAY_S, lambda: respond(CONNECTION_REFUSED))
                return
            deployment.nodes.set_time(controller)
            response = controller.receive_heartbeat(heartbeat)
            deployment.nodes.flush(node)
            deployment.nodes.report_heartbeat_response(node, response)
            deployment.rules.check_commands(node, response.commands)
            self._respond(node, heartbeat.machine, lambda: respond(response))

        if deployment.agents[heartbeat.machine].outbound_partitioned:
            return
        deployment.network.send(heartbeat.machine, node, deliver)
        if self.duplicate_ratio and deployment.rng.random() < self.duplicate_ratio:
            # It comes late, at any node, and nobody waits for its response.
            other = deployment.rng.choice(deployment.nodes.names)
            delay_s = deployment.rng.uniform(
                MIN_DUPLICATE_DELAY_S, MAX_DUPLICATE_DELAY_LEASES * deployment.lease_s
            )
            deployment.schedule(delay_s, lambda: self.deliver_duplicate(other, heartbeat))

    def _respond(self, node: str, machine: str, deliver: Callable[[], None]) -> None:
        """Send a response, once the node does not stand still."""
        deployment = self._deployment
        if deployment.nodes.defer_while_frozen(node, lambda: self._respond(node, machine, deliver)):
            return
        if not deployment.agents[machine].inbound_partitioned:
            deployment.network.send(node, machine, deliver)

    def deliver_duplicate(self, node: str, heartbeat: Heartbeat) -> None:
        """Have a duplicate of a heartbeat arrive at a node; its response goes nowhere."""
        nodes = self._deployment.nodes
        if nodes.defer_while_frozen(node, lambda: self.deliver_duplicate(node, heartbeat)):
            return
        controller = nodes.controllers.get(node)
        if controller is not None:
            nodes.set_time(controller)
            controller.receive_heartbeat(heartbeat)
            nodes.flush(node)

    def send_commands(self, node: str, direct_commands: list[DirectCommand]) -> None:
        """Carry direct commands to their agents."""
        for command in direct_commands:
            agent = self._agent_at(command.address)
            if agent is not None and not agent.inbound_partitioned:
                self._send_command(node, agent, command)

    def _send_command(self, node: str, agent: FakeAgent, command: DirectCommand) -> None:
        self._deployment.network.send(
            node,
            agent.name,
            lambda: agent.receive_direct_commands(
                command.fencing_token, command.agent_incarnation, command.commands
            ),
        )

    def inspect(self, node: str, request: InspectAgent, call: PendingCall) -> None:
        """Ask an agent for a heartbeat at once."""
        deployment = self._deployment
        deployment.schedule(INSPECTION_TIMEOUT_S, lambda: call.complete(None))
        agent = self._agent_at(request.address)
        if agent is None:
            return

        def respond() -> None:
            if agent.is_serving and not agent.is_unresponsive and not agent.inbound_partitioned:
                heartbeat = agent.next_heartbeat()
                deployment.network.send(agent.name, node, lambda: call.complete(heartbeat))

        deployment.network.send(node, agent.name, respond)

    def _agent_at(self, address: str) -> FakeAgent | None:
        return self._deployment.agents.get(address.split(":")[0])
