"""One shard of the fleet under one term: its machines, its slices of jobs, and its tasks.

The rule above all is that no task runs twice. A task counts as on its machine from the moment its
launch is decided until it is surely gone: a newer heartbeat of the machine under this term does not
list it (or lists it as exited), a new agent incarnation has begun, the cloud confirmed that the
machine is released, or the agent's lease must have expired. Launches are sent only in responses to
heartbeats: an agent drops responses after a few seconds and has one heartbeat in flight, so its
next heartbeat shows whether a launch happened.

What heartbeats change is in :mod:`marblestair.core.shard.heartbeats` and
:mod:`marblestair.core.shard.reconciliation`, what time changes in
:mod:`marblestair.core.shard.agent_leases` and :mod:`marblestair.core.shard.reclaimed_machines`,
and what agents are sent in :mod:`marblestair.core.shard.commands`.
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

#: attempts are ``(term << ATTEMPT_BITS) + count``, so that no term reuses another's
ATTEMPT_BITS = 24
#: a machine without a heartbeat for this many intervals gets nothing new, and loses the launches
#: that were not sent yet
SILENCE_LIMIT_INTERVALS = 3.5
#: time that an agent may take beyond its lease, and the clocks' drift, to stop its tasks
LEASE_MARGIN_S = 0.25
#: usage of a team of which there is no upper bound: more than any quota
UNBOUNDED_USAGE = 1 << 62


class FinishedTask(NamedTuple):
    """A task that was completed, and how long it ran."""

    spec: JobSpec
    run_s: float


class Shard:
    """The state of one shard while this controller leads it under one term.

    Parameters
    ----------
    shard_id
        The number of the shard in the shard map.
    term
        The fencing token under which it is led.
    cluster
        Settings of the deployment.
    now
        Steady time at which the shard was acquired, in seconds.
    failures, boot_times
        What the controller knows of failures and boot times, over all its shards; empty if None.
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
        #: raised when another leader moves a machine into this shard
        self.term = term
        #: the term under which the shard was acquired; each leadership of it has another one
        self.acquired_term = term
        self.acquired_at = now
        self.cluster = cluster
        self.machines: dict[str, Machine] = {}
        self.slices: dict[str, JobSlice] = {}
        #: team -> cpus and gpus of its tasks on machines, in fixed point
        self.team_usage: dict[str, list[int]] = {}
        #: machines that were in the shard at the failover and whose tasks are not known yet
        self.unreconciled_machines: set[str] = set()
        #: machines that list tasks of jobs that this shard knows nothing of
        self.machines_with_unknown_tasks: set[str] = set()
        #: the view has caught up with the failover, and progress is loaded
        self.is_ready = False
        #: being transferred to another node
        self.is_being_transferred = False
        #: tasks completed since the receiver of heartbeats last cleared this
        self.finished_tasks: list[FinishedTask] = []
        #: keys that are of no use any more (pages, rental intents), with the version that may be
        #: deleted; None where it is to be read first
        self.obsolete_keys: dict[str, int | None] = {}
        #: time since the last answered heartbeat after which an agent has surely stopped its tasks
        self.agent_lease_limit_s = (
            cluster.workers.lease_s * (1 + MAX_CLOCK_DRIFT_FRACTION) + LEASE_MARGIN_S
        )
        #: time without a heartbeat after which a machine gets nothing new
        self.silence_limit_s = SILENCE_LIMIT_INTERVALS * cluster.workers.report_s
        self._attempt_count = 0

    # --- usage -----------------------------------------------------------------------------

    def usage(self, team: str) -> tuple[int, int]:
        """Return an upper bound of the cpus and gpus that a team's tasks use, in fixed point.

        Machines that are not reconciled, or that have tasks of unknown jobs until those are
        stopped, count in full.
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
        """Tasks that are to stop and are not known to have ended."""
        return sum(
            task.stop_grace_s is not None
            for machine in self.machines.values()
            for task in machine.tasks.values()
        )

    # --- tasks -----------------------------------------------------------------------------

    def new_attempt(self) -> int:
        """Return an attempt number that no other launch has or will have."""
        self._attempt_count += 1
        return (self.term << ATTEMPT_BITS) + self._attempt_count

    def launch(self, machine: Machine, job_slice: JobSlice, index: int, attempt: int) -> None:
        """Decide to launch a task; the command is in the response to the next heartbeat."""
        spec = job_slice.spec
        task = PlacedTask(spec.id, index, attempt, job_slice.resources, spec.team)
        self._place(machine, job_slice, task)

    def adopt(self, machine: Machine, job_slice: JobSlice, status: TaskStatus, now: float) -> None:
        """Add a task that an earlier leader launched, and that a machine lists."""
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
        """Remove a task that is surely not on its machine; unless done, it is pending again."""
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
        """Remove the tasks of a machine whose launch was not sent yet."""
        for task in list(machine.tasks.values()):
            if task.state == TaskState.PLANNED:
                self.remove_task(machine, task, now)

    def remove_all_tasks(self, machine: Machine, now: float) -> None:
        """Remove all tasks of a machine: its agent incarnation so far has surely ended."""
        for task in list(machine.tasks.values()):
            self.remove_task(machine, task, now)
        machine.exited_tasks = {}
        machine.unknown_tasks = {}
        self.machines_with_unknown_tasks.discard(machine.name)

    def stop_tasks(self, tasks: list[PlacedTask], reason: StopReason) -> None:
        """Have tasks stopped to free their resources; those that can save a checkpoint do so."""
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
        """Bring a slice in line with its job's record: migrations, cancels, and the job's end."""
        job_slice = self.slices.get(job)
        if record is None:
            if job_slice is not None:
                # The job has ended: what is still on machines is stopped.
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
        """Apply a cancel: nothing starts any more, and what was sent is stopped without grace."""
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

    def release_reconciled_slices(self) -> None:
        """Let tasks start once every machine that was here at the failover is reconciled."""
        if self.unreconciled_machines:
            return
        for job_slice in self.slices.values():
            job_slice.is_unreconciled = False
            if (
                job_slice.spec.kind == JobKind.GANG
                and job_slice.placed_on
                and len(job_slice.pending)
            ):
                # Only some of the gang survived the failover.
                _stop_rest_of_gang(job_slice)

    # --- machines --------------------------------------------------------------------------

    def add_machine(self, machine: Machine) -> None:
        """Add a machine that has joined the shard."""
        machine.join_term = self.term
        machine.silence_limit_s = self.silence_limit_s
        self.machines[machine.name] = machine

    def remove_machine(self, name: str, now: float) -> None:
        """Remove a machine that was released, or that left the shard idle and reconciled."""
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        for task in list(machine.tasks.values()):
            self.remove_task(machine, task, now)
        self.machines_with_unknown_tasks.discard(name)
        self.mark_reconciled(name)

    def mark_reconciled(self, name: str) -> None:
        """Record that nothing unknown runs on a machine that was here at the failover."""
        self.unreconciled_machines.discard(name)
        self.release_reconciled_slices()


def _stop_rest_of_gang(job_slice: JobSlice) -> None:
    """Stop a gang that lost a task; it starts again once all its tasks are gone."""
    if job_slice.done_count == job_slice.size:
        return
    if not job_slice.placed_on:
        job_slice.is_stopping_gang = False
        return
    job_slice.is_stopping_gang = True
    job_slice.request_stops(0.0, StopReason.GANG_LOST)
