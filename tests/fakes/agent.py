"""A simulated agent: its rented machine, its heartbeats, its lease and its tasks."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from marblestair.core.domain.agents import (
    CommandVerb,
    ExitReason,
    Heartbeat,
    TaskCommand,
    TaskStatus,
)
from marblestair.core.domain.machines import MachineType
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from tests.fakes.agent_tasks import FakeTask, advance_task

if TYPE_CHECKING:
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: interval at which an agent advances its tasks
TASK_STEP_S = 0.25
#: pause after which an unresponsive agent retries what it could not do
UNRESPONSIVE_RETRY_S = 0.5
#: bounds of the random pause between a response and the next heartbeat
MIN_HEARTBEAT_PAUSE_S, MAX_HEARTBEAT_PAUSE_S = 0.75, 1.25
#: time that an agent waits for the response to a heartbeat
RESPONSE_TIMEOUT_S = 4.0
#: pause before an agent sends to the next node after an error response or a timeout
NEXT_NODE_PAUSE_S = 1.0
#: bound of the random pause before an agent sends to the leader that a redirect names
MAX_REDIRECT_PAUSE_S = 0.5
#: pause before the first heartbeat of a new incarnation, after an expired lease and (bounds of a
#: random pause) after a restart
LEASE_LOST_PAUSE_S = 0.1
MIN_RESTART_PAUSE_S, MAX_RESTART_PAUSE_S = 0.05, 0.5
#: job class whose tasks exit with an error as soon as they start
FAILING_CLASS = "bad"


class FakeAgent:
    """A rented machine with its agent.

    Sends heartbeats, holds a lease, executes commands and advances its tasks.
    """

    def __init__(
        self,
        deployment: SimulatedDeployment,
        name: str,
        machine_type: MachineType,
        zone: str,
        spot: bool,
    ) -> None:
        self.deployment = deployment
        self.name, self.machine_type, self.zone, self.spot = name, machine_type, zone, spot
        self.address = f"{name}:9000"
        self.rented_at = deployment.now
        self.is_up = False
        self.is_released = False
        #: the agent sends and receives nothing, and its tasks make no progress
        self.is_unresponsive = False
        #: heartbeats reach the controllers; responses and direct commands to the agent are lost
        self.inbound_partitioned = False
        #: heartbeats are lost; direct commands reach the agent
        self.outbound_partitioned = False
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], FakeTask] = {}
        self.lease_renewed_at = 0.0
        #: index of the node that heartbeats go to, taken modulo the number of nodes
        self._node_index = 0
        #: number of the latest heartbeat; responses to earlier ones are ignored
        self._heartbeat_number = 0
        #: number of the latest scheduled heartbeat; earlier ones are not sent, so that only one
        #: heartbeat is in flight at a time
        self._schedule_number = 0
        #: time at which the cloud reclaims a spot machine; None: no reclaim announced
        self.reclaim_at: float | None = None
        #: whether each task exits with an error as soon as it starts
        self.fails_tasks = False

    @property
    def is_serving(self) -> bool:
        """Whether the machine has booted and is not released."""
        return self.is_up and not self.is_released

    @property
    def live_tasks(self) -> dict[tuple[str, int], FakeTask]:
        """Tasks that have not exited, by job and index."""
        return {key: task for key, task in self.tasks.items() if task.is_live}

    def tasks_of(self, job: str) -> list[FakeTask]:
        """Return the live tasks of a job."""
        return [task for task in self.live_tasks.values() if task.job == job]

    def boot(self) -> None:
        """Start to run tasks and to send heartbeats, unless the machine is released."""
        if self.is_released:
            return
        self.is_up = True
        self.lease_renewed_at = self.deployment.now
        self._advance()
        self.send_heartbeat()

    def release(self) -> None:
        """Release the machine: all its tasks and its agent end."""
        self.is_released = True
        self.tasks = {}

    def hang(self, seconds: float) -> None:
        """Make the agent unresponsive for some seconds."""
        self.is_unresponsive = True
        self.deployment.schedule(seconds, lambda: setattr(self, "is_unresponsive", False))

    def partition_inbound(self, seconds: float) -> None:
        """Lose everything sent to the agent for some seconds; heartbeats still arrive."""
        self.inbound_partitioned = True
        self.deployment.schedule(seconds, lambda: setattr(self, "inbound_partitioned", False))

    def partition_outbound(self, seconds: float) -> None:
        """Lose the agent's heartbeats for some seconds; direct commands still arrive."""
        self.outbound_partitioned = True
        self.deployment.schedule(seconds, lambda: setattr(self, "outbound_partitioned", False))

    def end_failures(self) -> None:
        """End the partitions of the agent and its unresponsiveness."""
        self.is_unresponsive = self.inbound_partitioned = self.outbound_partitioned = False

    def next_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the agent's present state and the next sequence number."""
        self.sequence += 1
        tasks = [
            TaskStatus(task.job, task.index, task.attempt, task.state, task.exit_reason)
            for task in self.tasks.values()
        ]
        reclaim_in_s = None
        if self.reclaim_at is not None:
            reclaim_in_s = max(0.0, self.reclaim_at - self.deployment.now)
        return Heartbeat(
            self.name,
            self.address,
            self.machine_type.name,
            self.zone,
            self.spot,
            self.incarnation,
            self.sequence,
            self.fencing_token,
            reclaim_in_s,
            tasks,
        )

    def _schedule_heartbeat(self, delay_s: float) -> None:
        """Send the next heartbeat after a delay, in place of one that was scheduled before."""
        self._schedule_number += 1
        number = self._schedule_number

        def send() -> None:
            if number == self._schedule_number:
                self.send_heartbeat()

        self.deployment.schedule(delay_s, send)

    def send_heartbeat(self) -> None:
        """Send a heartbeat; its response or its timeout schedules the next one."""
        deployment = self.deployment
        if self.is_released:
            return
        if self.is_unresponsive:
            self._schedule_heartbeat(UNRESPONSIVE_RETRY_S)
            return
        heartbeat, sent_at = self.next_heartbeat(), deployment.now
        self._heartbeat_number += 1
        number = self._heartbeat_number
        names = deployment.nodes.names
        node = names[self._node_index % len(names)]

        def receive(response: HeartbeatResponse) -> None:
            if not self.is_released and number == self._heartbeat_number:
                self._receive_response(response, node, heartbeat, sent_at)

        def time_out() -> None:
            if not self.is_released and number == self._heartbeat_number:
                self._heartbeat_number += 1
                self._retry_at_next_node()

        deployment.schedule(RESPONSE_TIMEOUT_S, time_out)
        deployment.agent_link.send_heartbeat(node, heartbeat, receive)

    def _receive_response(
        self, response: HeartbeatResponse, node: str, heartbeat: Heartbeat, sent_at: float
    ) -> None:
        """Handle a node's response to the latest heartbeat."""
        deployment = self.deployment
        self._heartbeat_number += 1
        if self.is_unresponsive:
            self._schedule_heartbeat(UNRESPONSIVE_RETRY_S)
            return
        names, leader = deployment.nodes.names, response.leader
        if response.status == 200:
            is_same_incarnation = heartbeat.agent_incarnation == self.incarnation
            if is_same_incarnation and response.fencing_token >= self.fencing_token:
                self.fencing_token = response.fencing_token
                self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
                self.execute_commands(response.commands)
            pause_s = deployment.rng.uniform(MIN_HEARTBEAT_PAUSE_S, MAX_HEARTBEAT_PAUSE_S)
            self._schedule_heartbeat(pause_s)
        elif response.status == 421 and leader in names and leader != node:
            self._node_index = names.index(leader)
            pause_s = deployment.rng.uniform(0.0, MAX_REDIRECT_PAUSE_S)
            self._schedule_heartbeat(pause_s)
        else:
            self._retry_at_next_node()

    def _retry_at_next_node(self) -> None:
        self._node_index += 1
        self._schedule_heartbeat(NEXT_NODE_PAUSE_S)

    def receive_direct_commands(
        self, fencing_token: int, incarnation: int, commands: Sequence[TaskCommand]
    ) -> None:
        """Execute direct commands, unless the fencing token or the incarnation is outdated."""
        if not self.is_serving:
            return
        if self.is_unresponsive:
            self.deployment.schedule(
                UNRESPONSIVE_RETRY_S,
                lambda: self.receive_direct_commands(fencing_token, incarnation, commands),
            )
            return
        self._check_lease()
        if fencing_token < self.fencing_token or incarnation != self.incarnation:
            return
        self.fencing_token = fencing_token
        assert all(command.verb != CommandVerb.START for command in commands), (
            "a direct command must not start a task"
        )
        self.execute_commands(commands)

    def execute_commands(self, commands: Sequence[TaskCommand]) -> None:
        """Execute commands that start or stop tasks or remove exited ones."""
        for command in commands:
            key = (command.job, command.index)
            task = self.tasks.get(key)
            is_same_attempt = task is not None and task.attempt == command.attempt
            if command.verb == CommandVerb.START:
                if not is_same_attempt:
                    self.start_task(command, task)
            elif task is None or not is_same_attempt:
                continue
            elif command.verb == CommandVerb.STOP:
                if task.is_live:
                    task.exit(ExitReason.STOPPED)
            elif not task.is_live:
                del self.tasks[key]

    def start_task(self, command: TaskCommand, previous: FakeTask | None) -> None:
        """Start a task unless its previous attempt is still live."""
        task_history = self.deployment.tasks
        free = self.free_capacity()
        if previous is not None and previous.is_live:
            return
        task = FakeTask(command.job, command.index, command.attempt)
        self.tasks[(command.job, command.index)] = task
        task_history.record_agent(command.job, self)
        spec = task_history.specs[command.job]
        if any(need > amount for need, amount in zip(spec.resources, free, strict=True)):
            task.exit(ExitReason.INSUFFICIENT_RESOURCES)
            return
        if self.fails_tasks or spec.job_class == FAILING_CLASS:
            task.exit(ExitReason.ERROR)
            return
        self.deployment.rules.check_start(self, task)
        task.remaining_s = task_history.run_time_s(command.job, command.index)
        task.fetch_remaining_s = task_history.fetch_s

    def free_capacity(self) -> list[int]:
        """Return the cpus, gpus and memory that no live task uses, in fixed point."""
        specs = self.deployment.tasks.specs
        used = [specs[task.job].resources for task in self.live_tasks.values()]
        return [
            amount - sum(resources[index] for resources in used)
            for index, amount in enumerate(self.machine_type.capacity)
        ]

    def _is_lease_expired(self) -> bool:
        return self.deployment.now - self.lease_renewed_at > self.deployment.lease_s

    def _check_lease(self) -> None:
        """If the lease has expired, drop all tasks and begin a new incarnation."""
        if self._is_lease_expired():
            self._begin_incarnation()
            self._schedule_heartbeat(LEASE_LOST_PAUSE_S)

    def restart(self) -> None:
        """Restart the agent as a new incarnation without tasks."""
        self._begin_incarnation()
        self._schedule_heartbeat(
            self.deployment.rng.uniform(MIN_RESTART_PAUSE_S, MAX_RESTART_PAUSE_S)
        )

    def reboot(self) -> None:
        """Restart the machine: its tasks are gone, and its agent begins as on a new machine."""
        self.restart()
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0

    def _begin_incarnation(self) -> None:
        self.tasks = {}
        self.incarnation += 1
        self.lease_renewed_at = self.deployment.now
        self._heartbeat_number += 1

    def _advance(self) -> None:
        """Advance the tasks by one step and schedule the next step."""
        if self.is_released:
            return
        self.deployment.schedule(TASK_STEP_S, self._advance)
        if self.is_unresponsive:
            if self._is_lease_expired():
                self.tasks = {}
            return
        self._check_lease()
        for task in list(self.tasks.values()):
            advance_task(self.deployment, task, TASK_STEP_S)
