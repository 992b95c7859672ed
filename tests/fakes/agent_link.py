"""The link between agents and controllers: heartbeats, direct commands and inspections."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from marblestair.core.domain.agents import CommandVerb, Heartbeat
from marblestair.core.runtime.outbox import DirectCommand
from marblestair.core.runtime.requests import InspectAgent
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from tests.fakes.pending_call import PendingCall

if TYPE_CHECKING:
    from tests.fakes.agent import FakeAgent
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: time that a controller waits for the result of an inspection
INSPECTION_TIMEOUT_S = 1.5
#: time until an agent learns that its connection was refused
CONNECTION_REFUSED_DELAY_S = 0.001
#: bounds of the delay of a duplicated heartbeat: in seconds, and in multiples of the lease
MIN_DUPLICATE_DELAY_S = 2.0
MAX_DUPLICATE_DELAY_LEASES = 3.5
#: bounds of the delay of a copy of a response or of direct commands: in seconds, and in leases
MIN_COPY_DELAY_S, MAX_COPY_DELAY_LEASES = 0.05, 2.5
#: bounds of the delay of a late response, around the time that an agent waits for it
MIN_LATE_RESPONSE_S, MAX_LATE_RESPONSE_S = 0.5, 5.0
#: result of a heartbeat whose connection was refused
CONNECTION_REFUSED = HeartbeatResponse(0)


class AgentLink:
    """Carries heartbeats, responses, direct commands and inspections over the network."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        #: ratio of heartbeats that are duplicated; a duplicate arrives late
        self.duplicate_ratio = 0.0
        #: ratio of responses and of direct commands of which a copy arrives at the agent later
        self.copy_ratio = 0.0
        #: ratio of responses that arrive late
        self.late_response_ratio = 0.0
        #: number of start commands in the copies that reached an agent
        self.copied_starts = 0

    def end_failures(self) -> None:
        """End the duplication and the delay of messages."""
        self.duplicate_ratio = self.copy_ratio = self.late_response_ratio = 0.0

    def send_heartbeat(
        self, node: str, heartbeat: Heartbeat, respond: Callable[[HeartbeatResponse], None]
    ) -> None:
        """Send a heartbeat to a node; ``respond`` receives the response."""
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
            self._copy_response(heartbeat.machine, response, respond)

        if deployment.agents[heartbeat.machine].outbound_partitioned:
            return
        deployment.network.send(heartbeat.machine, node, deliver)
        if self.duplicate_ratio and deployment.rng.random() < self.duplicate_ratio:
            # The duplicate arrives late at a random node, and its response is discarded.
            other = deployment.rng.choice(deployment.nodes.names)
            delay_s = deployment.rng.uniform(
                MIN_DUPLICATE_DELAY_S, MAX_DUPLICATE_DELAY_LEASES * deployment.lease_s
            )
            deployment.schedule(delay_s, lambda: self.deliver_duplicate(other, heartbeat))

    def _respond(self, node: str, machine: str, deliver: Callable[[], None]) -> None:
        """Send a response to a machine; a frozen node sends it when it resumes."""
        deployment = self._deployment
        if deployment.nodes.defer_while_frozen(node, lambda: self._respond(node, machine, deliver)):
            return
        if deployment.agents[machine].inbound_partitioned:
            return
        if self.late_response_ratio and deployment.rng.random() < self.late_response_ratio:
            delay_s = deployment.rng.uniform(MIN_LATE_RESPONSE_S, MAX_LATE_RESPONSE_S)
            deployment.schedule(delay_s, deliver)
            return
        deployment.network.send(node, machine, deliver)

    def _copy_response(
        self,
        machine: str,
        response: HeartbeatResponse,
        respond: Callable[[HeartbeatResponse], None],
    ) -> None:
        """Deliver a response to its agent once more after a random delay, at a random ratio."""

        def deliver() -> None:
            if self._deployment.agents[machine].is_serving:
                starts = [item for item in response.commands if item.verb == CommandVerb.START]
                self.copied_starts += len(starts)
                respond(response)

        self._schedule_copy(deliver)

    def _schedule_copy(self, deliver: Callable[[], None]) -> None:
        deployment = self._deployment
        if self.copy_ratio and deployment.rng.random() < self.copy_ratio:
            max_delay_s = MAX_COPY_DELAY_LEASES * deployment.lease_s
            deployment.schedule(deployment.rng.uniform(MIN_COPY_DELAY_S, max_delay_s), deliver)

    def deliver_duplicate(self, node: str, heartbeat: Heartbeat) -> None:
        """Deliver a duplicate of a heartbeat to a node and discard the response."""
        nodes = self._deployment.nodes
        if nodes.defer_while_frozen(node, lambda: self.deliver_duplicate(node, heartbeat)):
            return
        controller = nodes.controllers.get(node)
        if controller is not None:
            nodes.set_time(controller)
            controller.receive_heartbeat(heartbeat)
            nodes.flush(node)

    def send_commands(self, node: str, direct_commands: list[DirectCommand]) -> None:
        """Send direct commands to their agents."""
        for command in direct_commands:
            agent = self._agent_at(command.address)
            if agent is not None and not agent.inbound_partitioned:
                self._send_command(node, agent, command)

    def _send_command(self, node: str, agent: FakeAgent, command: DirectCommand) -> None:
        def deliver() -> None:
            agent.receive_direct_commands(
                command.fencing_token, command.agent_incarnation, command.commands
            )

        self._deployment.network.send(node, agent.name, deliver)
        self._schedule_copy(deliver)

    def inspect(self, node: str, request: InspectAgent, call: PendingCall) -> None:
        """Request a heartbeat from an agent; ``call`` receives it, or None after a timeout."""
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
