"""Reconciliation of the tasks that a machine lists with those that its leader expects there."""

from __future__ import annotations

from marblestair.core.domain.agents import ExitReason, Heartbeat, TaskState, TaskStatus
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import ExitedTask, Machine, PlacedTask, TaskKey
from marblestair.core.shard.responsiveness import MAX_IGNORED_MESSAGES, Reachability
from marblestair.core.shard.shard import FinishedTask, Shard

#: time for which no task is placed on a machine that refused to start one, in heartbeat intervals
REFUSED_START_BACKOFF_INTERVALS = 2
#: exit reasons that mean that the agent refused to start the task
START_REFUSALS = (
    ExitReason.INSUFFICIENT_RESOURCES,
    ExitReason.UNKNOWN,
    ExitReason.OTHER_ATTEMPT_PRESENT,
)


def reconcile(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
    """Update the expected tasks of a reconciled machine from those that its heartbeat lists."""
    listed = _classify_listed_tasks(shard, machine, heartbeat, now)
    if machine.unknown_tasks:
        shard.machines_with_unknown_tasks.add(machine.name)
    else:
        shard.machines_with_unknown_tasks.discard(machine.name)
    is_launch_lost = is_launch_confirmed = False
    for key, task in list(machine.tasks.items()):
        status = listed.get(key)
        was_sent = task.state == TaskState.SENT
        is_launch_confirmed = is_launch_confirmed or (was_sent and status is not None)
        if status is not None and status.attempt == task.attempt:
            _apply_status(shard, machine, task, status, now)
        elif was_sent:
            is_launch_lost = True
            _reset_launch(shard, machine, task, now)
        elif task.state != TaskState.PLANNED:
            shard.remove_task(machine, task, now)
    if is_launch_confirmed:
        machine.responsiveness.ignored_commands = 0
    elif is_launch_lost:
        _record_ignored_launch(shard, machine, now)


def _classify_listed_tasks(
    shard: Shard, machine: Machine, heartbeat: Heartbeat, now: float
) -> dict[TaskKey, TaskStatus]:
    """Classify each task that a machine lists: it is expected, adopted, exited or unknown.

    An unexpected task that has not exited is adopted if it belongs to a slice of the shard and is
    placed on no machine; otherwise it is unknown and will be stopped. Returns the statuses to
    compare with the expected tasks, by task key.
    """
    listed: dict[TaskKey, TaskStatus] = {}
    machine.exited_tasks = {}
    machine.unknown_tasks = {}
    for status in heartbeat.tasks:
        key = (status.job, status.index)
        task = machine.tasks.get(key)
        is_expected = task is not None and task.attempt == status.attempt
        if status.state == TaskState.EXITED:
            is_done = status.exit_reason == ExitReason.DONE
            if is_expected:
                listed[key] = status
            elif is_done:
                _adopt_completion(shard, status, now)
            if key not in machine.exited_tasks or not is_expected:
                machine.exited_tasks[key] = ExitedTask(status.attempt, is_done)
            continue
        listed[key] = status
        if is_expected:
            continue
        job_slice = shard.slices.get(status.job)
        if task is None and job_slice is not None and job_slice.can_adopt(status.index):
            shard.adopt(machine, job_slice, status, now)
        else:
            machine.unknown_tasks[key] = status.attempt
    return listed


def _adopt_completion(shard: Shard, status: TaskStatus, now: float) -> None:
    """Mark a completed task as done if it belongs to the shard and is placed on no machine.

    An earlier leader launched such a task and did not record its completion.
    """
    job_slice = shard.slices.get(status.job)
    if job_slice is not None and job_slice.can_adopt(status.index):
        job_slice.mark_done(status.index, now)


def _apply_status(
    shard: Shard, machine: Machine, task: PlacedTask, status: TaskStatus, now: float
) -> None:
    """Apply the reported status of an expected task."""
    if status.state == TaskState.EXITED:
        _apply_exit(shard, machine, task, status, now)
    elif status.state != task.state:
        if status.state == TaskState.RUNNING and task.running_since is None:
            task.running_since = now
            if (job_slice := shard.slices.get(task.job)) is not None:
                job_slice.running_count += 1
        task.state = status.state


def _reset_launch(shard: Shard, machine: Machine, task: PlacedTask, now: float) -> None:
    """Return a task to the planned state after the agent dropped the response with its launch.

    The launch was not carried out, since a heartbeat that is newer than the response does not list
    this attempt. A task that must not be launched again is removed from the machine.
    """
    task.state = TaskState.PLANNED
    job_slice = shard.slices.get(task.job)
    if (
        job_slice is None
        or job_slice.is_cancelled
        or task.stop_grace_s is not None
        or machine.is_unresponsive
    ):
        shard.remove_task(machine, task, now)


def _record_ignored_launch(shard: Shard, machine: Machine, now: float) -> None:
    """Count a response whose launches were not carried out.

    When ``ignored_commands`` reaches ``MAX_IGNORED_MESSAGES``, the agent is marked unresponsive and
    its planned tasks are removed.
    """
    responsiveness = machine.responsiveness
    responsiveness.ignored_commands += 1
    if responsiveness.ignored_commands < MAX_IGNORED_MESSAGES:
        return
    if responsiveness.state is Reachability.RESPONSIVE:
        responsiveness.mark_unresponsive(now)
        shard.remove_planned_tasks(machine, now)


def _apply_exit(
    shard: Shard, machine: Machine, task: PlacedTask, status: TaskStatus, now: float
) -> None:
    """Record the outcome of an exited task and remove the task from its machine."""
    job_slice = shard.slices.get(task.job)
    if status.exit_reason == ExitReason.DONE:
        if job_slice is not None:
            _record_completion(shard, machine, task, job_slice, now)
    elif status.exit_reason == ExitReason.ERROR:
        job_has_succeeded = job_slice is not None and job_slice.done_count > 0
        shard.failures.record_failure(task.job, machine.name, job_has_succeeded, now)
        machine.back_off(now + shard.failures.machine_backoff_s(machine.name))
    elif status.exit_reason in START_REFUSALS:
        machine.backoff_until = (
            now + REFUSED_START_BACKOFF_INTERVALS * shard.cluster.workers.report_s
        )
    shard.remove_task(machine, task, now)


def _record_completion(
    shard: Shard, machine: Machine, task: PlacedTask, job_slice: JobSlice, now: float
) -> None:
    if task.running_since is not None:
        shard.finished_tasks.append(FinishedTask(job_slice.spec, now - task.running_since))
    shard.failures.record_success(task.job, machine.name)
    job_slice.mark_done(task.index, now)
