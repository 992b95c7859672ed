"""Composition of commands to agents, for heartbeat responses and for direct requests."""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.domain.agents import CommandVerb, Heartbeat, TaskCommand, TaskState
from marblestair.core.domain.jobs import JobKind
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask
from marblestair.core.shard.shard import Shard

#: maximum number of launches in a heartbeat response, of stops in a direct request, and of stops in
#: the response to an unreconciled machine; keeps messages well below the size limit
MAX_COMMANDS_PER_MESSAGE = 400
#: time since a stop was last sent after which it is sent directly again if the task has not ended,
#: in heartbeat intervals
STOP_RETRY_INTERVALS = 2


class DirectStops(NamedTuple):
    """Stops for one machine that are sent in a request instead of a heartbeat response."""

    machine: Machine
    commands: list[TaskCommand]


def task_commands(shard: Shard, machine: Machine, now: float) -> list[TaskCommand]:
    """Return the stop and forget commands for the response to a heartbeat.

    The heartbeat must have been passed to ``reconcile`` before.
    """
    commands: list[TaskCommand] = []
    for (job, index), exited in machine.exited_tasks.items():
        if not exited.is_done or not _is_completion_unpersisted(shard.slices.get(job), index):
            commands.append(TaskCommand(CommandVerb.FORGET, job, index, exited.attempt))
    for (job, index), attempt in machine.unknown_tasks.items():
        commands.append(TaskCommand(CommandVerb.STOP, job, index, attempt, 0.0))
    for task in machine.tasks.values():
        if task.stop_grace_s is not None and task.state != TaskState.PLANNED:
            commands.append(_stop_command(task, task.stop_grace_s, now))
    return commands


def _is_completion_unpersisted(job_slice: JobSlice | None, index: int) -> bool:
    """Whether the store still lacks the completion of a task that needs one.

    Tasks of services need none. Until the completion is stored, the agent must keep listing the
    task.
    """
    return (
        job_slice is not None
        and job_slice.contains(index)
        and job_slice.spec.kind != JobKind.SERVICE
        and not (job_slice.durable_bits >> index) & 1
    )


def stops_of_ended_jobs(shard: Shard, heartbeat: Heartbeat) -> list[TaskCommand]:
    """Return stops for live tasks of cancelled jobs, and of jobs without a slice in the shard.

    The machine is not reconciled yet. The response to its heartbeat renews the agent's lease, so
    these tasks would otherwise keep running. At most ``MAX_COMMANDS_PER_MESSAGE`` stops are
    returned.
    """
    commands = []
    for status in heartbeat.tasks:
        job_slice = shard.slices.get(status.job)
        if status.state != TaskState.EXITED and (job_slice is None or job_slice.is_cancelled):
            commands.append(
                TaskCommand(CommandVerb.STOP, status.job, status.index, status.attempt, 0.0)
            )
    return commands[:MAX_COMMANDS_PER_MESSAGE]


def launch_commands(shard: Shard, machine: Machine, now: float) -> list[TaskCommand]:
    """Return the start commands for a heartbeat response, to be sent after its other commands.

    At most ``MAX_COMMANDS_PER_MESSAGE`` are returned. A planned task that may no longer start is
    removed from the machine instead.
    """
    commands: list[TaskCommand] = []
    if not machine.is_reconciled or machine.is_decommissioned or machine.is_releasing:
        return commands
    for task in list(machine.tasks.values()):
        if task.state != TaskState.PLANNED:
            continue
        if not _may_start(shard.slices.get(task.job), machine, task):
            shard.remove_task(machine, task, now)
        elif len(commands) < MAX_COMMANDS_PER_MESSAGE:
            commands.append(TaskCommand(CommandVerb.START, task.job, task.index, task.attempt))
            task.state = TaskState.SENT
    return commands


def _may_start(job_slice: JobSlice | None, machine: Machine, task: PlacedTask) -> bool:
    """Whether a planned task may still be launched on its machine."""
    return (
        job_slice is not None
        and not job_slice.is_blocked
        and not job_slice.is_cancelled
        and not machine.is_unresponsive
        and task.stop_grace_s is None
        and machine.cordon is None
    )


def direct_stops(shard: Shard, now: float) -> list[DirectStops]:
    """Return the stops to send directly rather than in the next heartbeat response.

    These are stops that were never sent or are due for a retry. They are sent only to reconciled
    machines with a known address, and only for tasks whose start commands have been sent. A stop
    that arrives late is harmless, since attempt numbers are never reused.
    """
    pending_stops = []
    retry_s = shard.cluster.workers.report_s * STOP_RETRY_INTERVALS
    for machine in shard.machines.values():
        if not machine.address or not machine.agent_incarnation or not machine.is_reconciled:
            continue
        commands = []
        for task in machine.tasks.values():
            if task.stop_grace_s is None or task.state == TaskState.PLANNED:
                continue
            if task.stop_sent_at is None or now - task.stop_sent_at > retry_s:
                commands.append(_stop_command(task, task.stop_grace_s, now))
        if commands:
            pending_stops.append(DirectStops(machine, commands[:MAX_COMMANDS_PER_MESSAGE]))
    return pending_stops


def _stop_command(task: PlacedTask, grace_s: float, now: float) -> TaskCommand:
    """Return a command to stop a task, and record the current time as its sending time."""
    task.stop_sent_at = now
    return TaskCommand(CommandVerb.STOP, task.job, task.index, task.attempt, grace_s)
