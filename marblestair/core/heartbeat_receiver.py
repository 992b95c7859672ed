"""Handling of agents' heartbeats on a node that may or may not lead the machine's shard."""

from __future__ import annotations

from marblestair.core.capacity.machine_registry import MachineRegistry
from marblestair.core.domain.agents import CommandVerb, Heartbeat, TaskCommand
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.shard.commands import launch_commands
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from marblestair.core.shard.heartbeats import receive_heartbeat
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.store_view import StoreView


class HeartbeatReceiver:
    """Answers agents' heartbeats, and places tasks on capacity that a heartbeat shows as free."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        connectivity: Connectivity,
        catalog: MachineCatalog,
        registry: MachineRegistry,
        dispatcher: Dispatcher,
        run_times: RunTimes,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._connectivity = connectivity
        self._catalog = catalog
        self._registry = registry
        self._dispatcher = dispatcher
        self._run_times = run_times

    def receive(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Handle a heartbeat and return the response.

        Status 200 carries commands, 421 names the shard's leader if known, and 503 means that this
        node cannot answer the heartbeat.
        """
        self._connectivity.heartbeat_received()
        record = self._view.machines.get(heartbeat.machine)
        if record is None:
            return self._registry.receive_unregistered(heartbeat)
        leader = self._leadership.leader_of(record.shard_id)
        if leader != self._context.node:
            return HeartbeatResponse(421, leader=leader)
        shard = self._leadership.shards.get(record.shard_id)
        if shard is None or not self._leadership.is_leader(record.shard_id):
            return HeartbeatResponse(503)
        return self._receive_as_leader(shard, heartbeat)

    def _receive_as_leader(self, shard: Shard, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Handle a heartbeat from a machine of a shard that this node leads.

        An agent with a later fencing token than the shard's term gets status 421 without a leader,
        since another node may lead the shard by now.
        """
        machine = shard.machines.get(heartbeat.machine)
        if machine is not None and machine.machine_type is None:
            machine.set_machine_type(self._catalog.types.get(machine.type_name))
        was_reconciled = machine.is_reconciled if machine is not None else False
        free_before = list(machine.free) if machine is not None else []
        if heartbeat.fencing_token > shard.term:
            return HeartbeatResponse(421)
        commands = receive_heartbeat(shard, heartbeat, self._context.now)
        if commands is None:
            return HeartbeatResponse(503)
        if shard.finished_tasks:
            self._record_run_times(shard)
        if shard.shard_id in self._dispatcher.shards_with_new_work:
            self._dispatcher.place_all(shard)
        elif machine is not None and (
            machine.is_reconciled != was_reconciled or machine.free != free_before
        ):
            # Use newly available capacity in this response instead of the next one.
            self._dispatcher.fill_machine(shard, machine)
        if machine is not None:
            commands += self._launch_commands(shard, machine, commands)
        return HeartbeatResponse(200, shard.term, commands)

    def _launch_commands(
        self, shard: Shard, machine: Machine, commands: list[TaskCommand]
    ) -> list[TaskCommand]:
        """Return the launches for a response.

        Counts them, and the stops among ``commands``, in the decision log.
        """
        launches = launch_commands(shard, machine, self._context.now)
        stops = sum(command.verb is CommandVerb.STOP for command in commands)
        decisions = self._context.decisions
        decisions.count(Decision.STOP, "in an answer", stops)
        decisions.count(Decision.LAUNCH, "in an answer", len(launches))
        return launches

    def _record_run_times(self, shard: Shard) -> None:
        for spec, run_s in shard.finished_tasks:
            self._run_times.record(spec, run_s)
        shard.finished_tasks.clear()
