"""One shard of the fleet under one term: its machines, its slices of jobs, and its tasks.

The main invariant is that no task runs twice. A task counts as placed on its machine from the
moment its launch is decided until it certainly no longer runs there. That is certain when a newer
heartbeat of the machine under this term does not list the task or lists it as exited, a new agent
incarnation has begun, the cloud has confirmed the machine's release, or the agent's lease must have
expired. Launches are sent only in heartbeat responses. An agent has one heartbeat in flight and
ignores a response that arrives after a few seconds, so its next heartbeat shows whether the
launches in the previous response were carried out.

Heartbeats are handled in :mod:`marblestair.core.shard.heartbeats` and
:mod:`marblestair.core.shard.reconciliation`, time-outs in
:mod:`marblestair.core.shard.agent_leases` and :mod:`marblestair.core.shard.reclaimed_machines`,
and commands to agents are composed in :mod:`marblestair.core.shard.commands`.
"""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.domain.agents import TaskState, TaskStatus
from marblestair.core.domain.clocks import MAX_CLOCK_DRIFT_FRACTION
from marblestair.core.domain.index_ranges import IndexRanges
from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.domain.settings import Cluster
from marblestair.core.shard.boot_times import BootTimes
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask, StopReason
from marblestair.core.state.records import JobRecord

#: an attempt number is ``(term << ATTEMPT_COUNT_BITS) + count``, so attempt numbers of different
#: terms differ
ATTEMPT_COUNT_BITS = 24
#: time since a machine's last heartbeat after which no tasks are placed on the machine and its
#: planned tasks are removed, in heartbeat intervals
HEARTBEAT_TIMEOUT_INTERVALS = 3.5
#: time that an agent may need to stop its tasks after its lease has ended
AGENT_STOP_MARGIN_S = 0.25
#: usage of a team for which no upper bound is known; exceeds any quota
UNBOUNDED_USAGE = 1 << 62


class FinishedTask(NamedTuple):
    """A completed task, and how long it ran."""

    spec: JobSpec
    run_s: float


class Shard:
    """The state of one shard while this controller leads it under one term.

    Parameters
    ----------
    shard_id
        The number of the shard in the shard map.
    term
        The term under which the shard is led; it is also the fencing token.
    cluster
        Settings of the deployment.
    now
        Monotonic time at which the shard was acquired, in seconds.
    failures, boot_times
        The controller's records of failures and boot times, common to all its shards; new empty
        ones if None.
    """

    def __init__(
        self,
        shard_id: int,
        term: int,
        cluster: Cluster,
        now: float,
        failures: FailureAttribution | None = None,
        boot_times: BootTimes | None = None,
    ) -> None:
        self.failures = failures if failures is not None else FailureAttribution(cluster.workers)
        self.boot_times = boot_times if boot_times is not None else BootTimes()
        self.shard_id = shard_id
        #: the shard's present term; rises when another shard's leader moves a machine into this
        #: shard
        self.term = term
        #: the term under which the shard was acquired; identifies this period of leadership
        self.acquired_term = term
        self.acquired_at = now
        self.cluster = cluster
        self.machines: dict[str, Machine] = {}
        self.slices: dict[str, JobSlice] = {}
        #: team -> cpus and gpus of the team's placed tasks, in fixed point
        self.team_usage: dict[str, list[int]] = {}
        #: machines that were in the shard at the failover and are not reconciled yet
        self.unreconciled_machines: set[str] = set()
        #: machines that list tasks that this shard does not expect there
        self.machines_with_unknown_tasks: set[str] = set()
        #: recovery is complete: the view includes the shard's acquisition, and the progress pages
        #: have been loaded
        self.is_ready = False
        #: the shard is being transferred to another node
        self.is_being_transferred = False
        #: tasks completed since the heartbeat receiver last cleared this list
        self.finished_tasks: list[FinishedTask] = []
        #: store key that is no longer needed (progress page, rental intent) -> version to delete;
        #: None where the version must be read first
        self.obsolete_keys: dict[str, int | None] = {}
        #: time since an agent's last answered heartbeat after which the agent must have stopped its
        #: tasks, in seconds
        self.agent_lease_limit_s = (
            cluster.workers.lease_s * (1 + MAX_CLOCK_DRIFT_FRACTION) + AGENT_STOP_MARGIN_S
        )
        #: time since a machine's last heartbeat after which no tasks are placed on the machine, in
        #: seconds
        self.heartbeat_timeout_s = HEARTBEAT_TIMEOUT_INTERVALS * cluster.workers.report_s
        self._attempt_count = 0

    # --- usage -----------------------------------------------------------------------------

    def usage(self, team: str) -> tuple[int, int]:
        """Return an upper bound of the cpus and gpus that a team's tasks use, in fixed point.

        The full capacity of each machine in ``unreconciled_machines`` or
        ``machines_with_unknown_tasks`` is added, since any team's tasks may run there. Both values
        are ``UNBOUNDED_USAGE`` if such a machine or its type is unknown.
        """
        cpus, gpus = self.team_usage.get(team, (0, 0))
        for name in (
            (self.unreconciled_machines | self.machines_with_unknown_tasks)
            if self.machines_with_unknown_tasks
            else self.unreconciled_machines
        ):
            machine = self.machines.get(name)
            if machine is None or machine.machine_type is None:
                return UNBOUNDED_USAGE, UNBOUNDED_USAGE
            capacity = machine.machine_type.capacity
            cpus += capacity.cpus
            gpus += capacity.gpus
        return cpus, gpus

    def _count_usage(self, task: PlacedTask, sign: int) -> None:
        usage = self.team_usage.setdefault(task.team, [0, 0])
        usage[0] += sign * task.resources.cpus
        usage[1] += sign * task.resources.gpus

    @property
    def pending_stop_count(self) -> int:
        """The number of tasks with a requested stop that are not known to have ended."""
        return sum(
            task.stop_grace_s is not None
            for machine in self.machines.values()
            for task in machine.tasks.values()
        )

    # --- tasks -----------------------------------------------------------------------------

    def new_attempt(self) -> int:
        """Return an attempt number that is unique among all launches."""
        self._attempt_count += 1
        return (self.term << ATTEMPT_COUNT_BITS) + self._attempt_count

    def launch(self, machine: Machine, job_slice: JobSlice, index: int, attempt: int) -> None:
        """Place a task; its launch is sent in the response to the machine's next heartbeat."""
        spec = job_slice.spec
        task = PlacedTask(spec.id, index, attempt, job_slice.resources, spec.team)
        self._place(machine, job_slice, task)

    def adopt(self, machine: Machine, job_slice: JobSlice, status: TaskStatus, now: float) -> None:
        """Place a task that the machine's agent lists and an earlier leader launched.

        The task must not be placed on any machine yet.
        """
        task = PlacedTask(
            status.job, status.index, status.attempt, job_slice.resources, job_slice.spec.team
        )
        task.state = status.state
        if status.state in (TaskState.RUNNING, TaskState.SAVING):
            task.running_since = now
            job_slice.running_count += 1
        if job_slice.is_cancelled or job_slice.is_done(status.index):
            task.request_stop(0.0, StopReason.JOB_ENDED)
        self._place(machine, job_slice, task)
        job_slice.pending.discard(status.index)

    def _place(self, machine: Machine, job_slice: JobSlice, task: PlacedTask) -> None:
        machine.add_task(task)
        machine.record_image(job_slice.spec)
        job_slice.placed_on[task.index] = machine
        self._count_usage(task, 1)

    def remove_task(self, machine: Machine, task: PlacedTask, now: float) -> None:
        """Remove a task that no longer runs on its machine.

        The task becomes pending if it is not done and still belongs to the slice. If the task
        belonged to a gang that is not done, the gang's other placed tasks are stopped.
        """
        machine.remove_task(task, now)
        self._count_usage(task, -1)
        job_slice = self.slices.get(task.job)
        if job_slice is None:
            return
        if job_slice.placed_on.get(task.index) is machine:
            del job_slice.placed_on[task.index]
            if not job_slice.placed_on:
                job_slice.pending_since = now
            if task.running_since is not None:
                job_slice.running_count -= 1
        if job_slice.contains(task.index) and not job_slice.is_done(task.index):
            job_slice.pending.add(task.index, task.index + 1)
        if job_slice.spec.kind == JobKind.GANG:
            _stop_rest_of_gang(job_slice)

    def remove_planned_tasks(self, machine: Machine, now: float) -> None:
        """Remove a machine's tasks for which no start command has been sent yet."""
        for task in list(machine.tasks.values()):
            if task.state == TaskState.PLANNED:
                self.remove_task(machine, task, now)

    def remove_all_tasks(self, machine: Machine, now: float) -> None:
        """Remove all tasks of a machine whose agent incarnation has ended or lost its lease."""
        for task in list(machine.tasks.values()):
            self.remove_task(machine, task, now)
        machine.exited_tasks = {}
        machine.unknown_tasks = {}
        self.machines_with_unknown_tasks.discard(machine.name)

    def stop_tasks(self, tasks: list[PlacedTask], reason: StopReason) -> None:
        """Request stops of tasks that are not being stopped already.

        Tasks that support checkpoints get time to save one.
        """
        for task in tasks:
            if task.stop_grace_s is not None:
                continue
            job_slice = self.slices.get(task.job)
            saves = job_slice is not None and job_slice.spec.saves_checkpoints
            task.request_stop(
                job_slice.spec.checkpoint_save_s if job_slice is not None and saves else 0.0, reason
            )

    # --- jobs ------------------------------------------------------------------------------

    def sync_job(self, record: JobRecord | None, job: str, now: float) -> None:
        """Create, update or remove a job's slice by the job's record; None if the job ended."""
        job_slice = self.slices.get(job)
        if record is None:
            if job_slice is not None:
                # The job has ended, so its tasks that are still on machines are stopped.
                job_slice.request_stops(0.0, StopReason.JOB_ENDED)
                del self.slices[job]
            return
        ranges = record.slices.get(str(self.shard_id), [])
        if not ranges and job_slice is None:
            return
        if job_slice is None:
            job_slice = self.slices[job] = JobSlice(record.spec)
            job_slice.pending_since = now
        job_slice.startable_since = record.startable_since
        if record.is_blocked:
            job_slice.block(ranges)
        elif job_slice.is_blocked:
            job_slice.unblock(now)
        if ranges != job_slice.ranges:
            had_tasks = job_slice.size > 0
            job_slice.set_ranges(ranges)
            if had_tasks and job_slice.is_vacated:
                del self.slices[job]
                return
        if record.is_cancelled:
            self.cancel(job, now)

    def cancel(self, job: str, now: float) -> None:
        """Cancel a slice: no task starts any more, and launched tasks are stopped without grace."""
        job_slice = self.slices.get(job)
        if job_slice is None or job_slice.is_cancelled:
            return
        job_slice.is_cancelled = True
        job_slice.cancelled_at = now
        for index, machine in list(job_slice.placed_on.items()):
            task = machine.tasks.get((job, index))
            if task is None:
                continue
            if task.state == TaskState.PLANNED:
                self.remove_task(machine, task, now)
            else:
                task.request_stop(0.0, StopReason.CANCELLED)
        job_slice.pending = IndexRanges()

    def mark_slices_reconciled(self) -> None:
        """Mark all slices as reconciled if all machines from before the failover are reconciled.

        A gang of which only some tasks are then placed is stopped.
        """
        if self.unreconciled_machines:
            return
        for job_slice in self.slices.values():
            job_slice.is_unreconciled = False
            if (
                job_slice.spec.kind == JobKind.GANG
                and job_slice.placed_on
                and len(job_slice.pending)
            ):
                # Only some tasks of the gang survived the failover.
                _stop_rest_of_gang(job_slice)

    # --- machines --------------------------------------------------------------------------

    def add_machine(self, machine: Machine) -> None:
        """Add a machine that has joined the shard."""
        machine.join_term = self.term
        machine.heartbeat_timeout_s = self.heartbeat_timeout_s
        self.machines[machine.name] = machine

    def remove_machine(self, name: str, now: float) -> None:
        """Remove a machine that was released, or was transferred while idle and reconciled."""
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        for task in list(machine.tasks.values()):
            self.remove_task(machine, task, now)
        self.machines_with_unknown_tasks.discard(name)
        self.mark_reconciled(name)

    def mark_reconciled(self, name: str) -> None:
        """Record that all tasks that a machine may run from before the failover are known."""
        self.unreconciled_machines.discard(name)
        self.mark_slices_reconciled()


def _stop_rest_of_gang(job_slice: JobSlice) -> None:
    """Stop the rest of a gang that lost a task; the gang can restart when no task is placed."""
    if job_slice.done_count == job_slice.size:
        return
    if not job_slice.placed_on:
        job_slice.is_stopping_gang = False
        return
    job_slice.is_stopping_gang = True
    job_slice.request_stops(0.0, StopReason.GANG_LOST)
