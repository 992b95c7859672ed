"""Reconciliation of what a machine lists with what its leader expects there."""

from __future__ import annotations

from marblestair.core.domain.agents import ExitReason, Heartbeat, TaskState, TaskStatus
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import ExitedTask, Machine, PlacedTask, TaskKey
from marblestair.core.shard.responsiveness import MAX_IGNORED, Reachability
from marblestair.core.shard.shard import FinishedTask, Shard

#: heartbeat intervals for which nothing is placed on a machine that refused to start a task
REFUSED_START_INTERVALS = 2
#: reasons for which agents refuse to start a task
START_REFUSALS = (
    ExitReason.INSUFFICIENT_RESOURCES,
    ExitReason.UNKNOWN,
    ExitReason.OTHER_ATTEMPT_PRESENT,
)


def reconcile(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
    """Apply what a reconciled machine lists to the tasks that are expected there."""
    listed = _sort_listed_tasks(shard, machine, heartbeat, now)
    if machine.unknown_tasks:
        shard.machines_with_unknown_tasks.add(machine.name)
    else:
        shard.machines_with_unknown_tasks.discard(machine.name)
    is_launch_lost = is_launch_shown = False
    for key, task in list(machine.tasks.items()):
        status = listed.get(key)
        was_sent = task.state == TaskState.SENT
        is_launch_shown = is_launch_shown or (was_sent and status is not None)
        if status is not None and status.attempt == task.attempt:
            _apply_status(shard, machine, task, status, now)
        elif was_sent:
            is_launch_lost = True
            _withdraw_launch(shard, machine, task, now)
        elif task.state != TaskState.PLANNED:
            shard.remove_task(machine, task, now)
    if is_launch_shown:
        machine.responsiveness.ignored_commands = 0
    elif is_launch_lost:
        _record_ignored_launch(shard, machine, now)


def _sort_listed_tasks(
    shard: Shard, machine: Machine, heartbeat: Heartbeat, now: float
) -> dict[TaskKey, TaskStatus]:
    """Sort what a machine lists into expected, adopted, exited and unknown tasks.

    Returns the tasks to compare with what is expected. Tasks of the shard's slices that no machine
    is known to have are adopted; those that the shard knows nothing of are to be stopped.
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
                _adopt_result(shard, status, now)
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


def _adopt_result(shard: Shard, status: TaskStatus, now: float) -> None:
    """Record a completion whose leader fell before it was recorded."""
    job_slice = shard.slices.get(status.job)
    if job_slice is not None and job_slice.can_adopt(status.index):
        job_slice.mark_done(status.index, now)


def _apply_status(
    shard: Shard, machine: Machine, task: PlacedTask, status: TaskStatus, now: float
) -> None:
    """Apply the status of a task that was launched here."""
    if status.state == TaskState.EXITED:
        _apply_exit(shard, machine, task, status, now)
    elif status.state != task.state:
        if status.state == TaskState.RUNNING and task.running_since is None:
            task.running_since = now
            if (job_slice := shard.slices.get(task.job)) is not None:
                job_slice.running_count += 1
        task.state = status.state


def _withdraw_launch(shard: Shard, machine: Machine, task: PlacedTask, now: float) -> None:
    """Make a launch planned again: the agent dropped the response that carried it.

    That is known, because a heartbeat newer than the response does not list the task.
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
    """Count launches that were not carried out: the machine may be unresponsive."""
    responsiveness = machine.responsiveness
    responsiveness.ignored_commands += 1
    if responsiveness.ignored_commands < MAX_IGNORED:
        return
    if responsiveness.state is Reachability.RESPONSIVE:
        responsiveness.mark_unresponsive(now)
        shard.remove_planned_tasks(machine, now)


def _apply_exit(
    shard: Shard, machine: Machine, task: PlacedTask, status: TaskStatus, now: float
) -> None:
    """Record why a task exited, and remove it."""
    job_slice = shard.slices.get(task.job)
    if status.exit_reason == ExitReason.DONE:
        if job_slice is not None:
            _record_completion(shard, machine, task, job_slice, now)
    elif status.exit_reason == ExitReason.ERROR:
        is_proven = job_slice is not None and job_slice.done_count > 0
        shard.failures.record_failure(task.job, machine.name, is_proven, now)
        machine.back_off(now + shard.failures.machine_backoff_s(machine.name))
    elif status.exit_reason in START_REFUSALS:
        machine.backoff_until = now + REFUSED_START_INTERVALS * shard.cluster.workers.report_s
    shard.remove_task(machine, task, now)


def _record_completion(
    shard: Shard, machine: Machine, task: PlacedTask, job_slice: JobSlice, now: float
) -> None:
    if task.running_since is not None:
        shard.finished_tasks.append(FinishedTask(job_slice.spec, now - task.running_since))
    shard.failures.record_success(task.job, machine.name)
    job_slice.mark_done(task.index, now)
