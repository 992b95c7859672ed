"""One part of the fleet under one term: its machines, tasks, leases and their reconciliation.

The rule this module guards above all is that no task runs twice. A task counts as on its machine
from the moment its launch is decided until it is *settled* as gone: a newer report of the
machine under this term does not list it (or lists it as exited), the worker's session has moved
on, the cloud confirmed that the machine is released, or the worker's lease must have run out.
Launches go only in the answers to reports: a worker drops answers after a few seconds and has one
report in flight, so its next report shows whether a launch happened.
"""

from __future__ import annotations

from marblestair.core.domain.agents import (
    CommandVerb,
    ExitReason,
    Heartbeat,
    TaskCommand,
    TaskState,
    TaskStatus,
)
from marblestair.core.domain.clocks import CLOCK_DRIFT
from marblestair.core.domain.index_ranges import IndexRanges
from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.shard.boot_times import BootTimes
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask, StopReason, TaskKey
from marblestair.core.state.records import JobRecord
from marblestair.settings.model import Cluster

#: attempts are (term << ATTEMPT_BITS) + a count, so that no term reuses another's
ATTEMPT_BITS = 24
#: orders in one answer, to keep it well under the size limit
MAX_ORDERS = 400
#: a machine that has not reported for this many intervals gets nothing new, and gives back what
#: it was not sent yet
QUIET_REPORTS = 3.5
#: a worker that is answered reports again within this many intervals
HEARD_REPORTS = 2.0
#: launches or leases in a row without effect after which a machine counts as deaf
UNHEEDED = 2
#: share of a lease for which a machine must report as often as one that is answered, before what
#: went unheeded earlier is forgotten
HEARS_AGAIN = 0.5


class Shard:
    """The state of one part while this controller owns it under one term."""

    def __init__(
        self,
        number: int,
        term: int,
        cluster: Cluster,
        now: float,
        faults: FailureAttribution | None = None,
        boots: BootTimes | None = None,
    ) -> None:
        self.failures = faults if faults is not None else FailureAttribution(cluster.workers)
        self.boot_times = boots if boots is not None else BootTimes()
        self.shard_id = number
        self.term = term
        self.cluster = cluster
        self.acquired_at = now
        self.machines: dict[str, Machine] = {}
        self.slices: dict[str, JobSlice] = {}
        self.team_usage: dict[str, list[int]] = {}
        #: machines of the part at the takeover whose tasks are not known yet
        self.unreconciled_machines: set[str] = set()
        #: machines that list tasks of jobs that this part knows nothing of
        self.machines_with_unknown_tasks: set[str] = set()
        #: the view has caught up with the takeover and progress is loaded
        self.is_ready = False
        #: being handed to another node
        self.is_closing = False
        #: term under which the part was taken; it tells one ownership from the next
        self.acquired_term = term
        self._attempts = 0
        #: run times of finished tasks against their estimates, by class
        self.finished_tasks: list[tuple[JobSpec, float]] = []
        #: keys that are of no use any more (pages, rental intents), with the version that may be
        #: deleted; None where it is to be read first
        self.obsolete_keys: dict[str, int | None] = {}
        self.agent_lease_limit_s = cluster.workers.lease_s * (1 + CLOCK_DRIFT) + 0.25

    # --- accounting ------------------------------------------------------------------------

    def new_attempt(self) -> int:
        """An attempt number that no other launch has or will have."""
        self._attempts += 1
        return (self.term << ATTEMPT_BITS) + self._attempts

    def usage(self, team: str) -> tuple[int, int]:
        """Return an upper bound of what a team's tasks use.

        Machines that are not settled, or that hold tasks of unknown jobs until those are
        stopped, count in full.
        """
        c, g = self.team_usage.get(team, (0, 0))
        for name in (
            (self.unreconciled_machines | self.machines_with_unknown_tasks)
            if self.machines_with_unknown_tasks
            else self.unreconciled_machines
        ):
            machine = self.machines.get(name)
            if machine is None or machine.machine_type is None:
                return 1 << 62, 1 << 62
            c += machine.machine_type.capacity[0]
            g += machine.machine_type.capacity[1]
        return c, g

    @property
    def pending_stop_count(self) -> int:
        """Tasks that are to stop and are not known to have ended."""
        return sum(
            task.stop_grace_s is not None
            for machine in self.machines.values()
            for task in machine.tasks.values()
        )

    def _count_usage(self, task: PlacedTask, sign: int) -> None:
        u = self.team_usage.setdefault(task.team, [0, 0])
        u[0] += sign * task.resources[0]
        u[1] += sign * task.resources[1]

    def launch(
        self, machine: Machine, job_slice: JobSlice, index: int, attempt: int, now: float
    ) -> None:
        """Decide to launch a task; the order goes in the answer to the machine's next report."""
        task = PlacedTask(
            job_slice.spec.id, index, attempt, job_slice.resources, job_slice.spec.team, now
        )
        machine.add_task(task)
        machine.record_image(job_slice.spec)
        job_slice.placed_on[index] = machine
        self._count_usage(task, 1)

    def _adopt(self, machine: Machine, job_slice: JobSlice, status: TaskStatus, now: float) -> None:
        task = PlacedTask(
            status.job, status.index, status.attempt, job_slice.resources, job_slice.spec.team, now
        )
        task.state = status.state
        if status.state in (TaskState.RUNNING, TaskState.SAVING):
            task.running_since = now
            job_slice.running_count += 1
        if job_slice.is_cancelled or (job_slice.done_bits >> status.index) & 1:
            task.stop_grace_s, task.stop_reason = 0.0, StopReason.JOB_ENDED
        machine.add_task(task)
        machine.record_image(job_slice.spec)
        job_slice.placed_on[status.index] = machine
        job_slice.pending.discard(status.index)
        job_slice.last_attempt = max(job_slice.last_attempt, status.attempt)
        self._count_usage(task, 1)

    def _remove_task(self, machine: Machine, task: PlacedTask, now: float) -> None:
        """A task is settled as not on its machine; run it again unless it is done."""
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
        if job_slice.contains(task.index) and not (job_slice.done_bits >> task.index) & 1:
            job_slice.pending.add(task.index, task.index + 1)
        if job_slice.spec.kind == JobKind.GANG:
            self._gang_lost(job_slice)

    def _gang_lost(self, job_slice: JobSlice) -> None:
        """A gang lost a member: the rest is stopped, and it starts again once all are gone."""
        if job_slice.done_count == job_slice.size:
            return
        if not job_slice.placed_on:
            job_slice.is_stopping_gang = False
            return
        job_slice.is_stopping_gang = True
        for i, machine in job_slice.placed_on.items():
            task = machine.tasks.get((job_slice.spec.id, i))
            if task is not None and task.stop_grace_s is None:
                task.stop_grace_s, task.stop_reason = 0.0, StopReason.GANG_LOST

    def _mark_done(self, job_slice: JobSlice, index: int, now: float) -> None:
        if (
            (job_slice.done_bits >> index) & 1
            or not job_slice.contains(index)
            or job_slice.spec.kind == JobKind.SERVICE
        ):
            return
        # The members of a gang complete together: when one is done, all are.
        for i in IndexRanges(job_slice.ranges) if job_slice.spec.kind == JobKind.GANG else (index,):
            if not (job_slice.done_bits >> i) & 1:
                job_slice.done_bits |= 1 << i
                job_slice.done_count += 1
            job_slice.pending.discard(i)
        if job_slice.dirty_since is None:
            job_slice.dirty_since = now

    # --- jobs ------------------------------------------------------------------------------

    def sync_job(self, record: JobRecord | None, job: str, version: int, now: float) -> None:
        """Follow a job's record: slices gained or lost, cancels, and its end."""
        job_slice = self.slices.get(job)
        if record is None:
            if job_slice is not None:
                self._end_slice(job_slice)
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
            if (
                had_tasks
                and not job_slice.ranges
                and not job_slice.placed_on
                and not job_slice.is_cancelled
            ):
                del self.slices[job]
                return
        job_slice.record_version = version
        if record.is_cancelled:
            self.cancel(job, now)

    def _end_slice(self, job_slice: JobSlice) -> None:
        """The job is over: what is still on machines is stopped."""
        for index, machine in list(job_slice.placed_on.items()):
            task = machine.tasks.get((job_slice.spec.id, index))
            if task is not None and task.stop_grace_s is None:
                task.stop_grace_s, task.stop_reason = 0.0, StopReason.JOB_ENDED
        del self.slices[job_slice.spec.id]

    def cancel(self, job: str, now: float) -> None:
        """Apply a cancel: nothing starts any more, and what is there is stopped at once."""
        job_slice = self.slices.get(job)
        if job_slice is None or job_slice.is_cancelled:
            return
        job_slice.is_cancelled = True
        job_slice.cancelled_at = now
        job_slice.pending = IndexRanges()
        for i, machine in list(job_slice.placed_on.items()):
            task = machine.tasks.get((job, i))
            if task is None:
                continue
            if task.state == TaskState.PLANNED:
                self._remove_task(machine, task, now)
            else:
                task.stop_grace_s, task.stop_reason = 0.0, StopReason.CANCELLED
                task.stop_sent_at = -1e9
        job_slice.pending = IndexRanges()

    def release_reconciled_slices(self) -> None:
        """Once every machine of the takeover is settled, what is not on one may start."""
        if self.unreconciled_machines:
            return
        for job_slice in self.slices.values():
            job_slice.is_unreconciled = False
            if (
                job_slice.spec.kind == JobKind.GANG
                and job_slice.placed_on
                and len(job_slice.pending)
            ):
                # Only some of the gang survived the takeover.
                self._gang_lost(job_slice)

    # --- machines --------------------------------------------------------------------------

    def add_machine(self, machine: Machine) -> None:
        """A machine joins the part."""
        machine.join_term = self.term
        machine.silence_limit_s = QUIET_REPORTS * self.cluster.workers.report_s
        self.machines[machine.name] = machine

    def remove_machine(self, name: str, now: float) -> None:
        """A machine is gone for certain (released), or left the part idle and settled."""
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        for task in list(machine.tasks.values()):
            self._remove_task(machine, task, now)
        self.machines_with_unknown_tasks.discard(name)
        self.unreconciled_machines.discard(name)
        self.release_reconciled_slices()

    def forget_tasks(self, machine: Machine, now: float) -> None:
        """All tasks of the machine's session so far are gone."""
        for task in list(machine.tasks.values()):
            self._remove_task(machine, task, now)
        machine.exited_tasks = {}
        machine.unknown_tasks = {}
        self.machines_with_unknown_tasks.discard(machine.name)

    def _drain_reclaimed_machines(self, now: float) -> None:
        """Save what can be saved on machines that the cloud takes back."""
        report_s = self.cluster.workers.report_s
        for machine in self.machines.values():
            if machine.reclaim_at is None:
                continue
            for task in list(machine.tasks.values()):
                job_slice = self.slices.get(task.job)
                if (
                    job_slice is None
                    or job_slice.spec.checkpoint_interval_s <= 0
                    or task.stop_grace_s is not None
                ):
                    continue
                if machine.reclaim_at - now > 2 * job_slice.spec.checkpoint_save_s + 3 * report_s:
                    continue
                # A gang saves only if all its tasks are told, and told at nearly the same time.
                for i, at in job_slice.placed_on.items():
                    member = at.tasks.get((task.job, i))
                    if member is not None and member.stop_grace_s is None:
                        member.stop_grace_s, member.stop_reason = (
                            max(job_slice.spec.checkpoint_save_s, 0.001),
                            StopReason.MACHINE_RECLAIMED,
                        )

    def tick(self, now: float) -> None:
        """Let leases of silent workers run out."""
        self._drain_reclaimed_machines(now)
        for machine in list(self.machines.values()):
            last = (
                machine.answered_at if machine.answered_at > self.acquired_at else self.acquired_at
            )
            if now - machine.last_heartbeat_at >= machine.silence_limit_s:
                # A launch that is in no answer yet can go elsewhere at once.
                for task in list(machine.tasks.values()):
                    if task.state == TaskState.PLANNED:
                        self._remove_task(machine, task, now)
            if (
                machine.is_silent
                or now < last + self.agent_lease_limit_s
                or machine.name not in self.unreconciled_machines
                and not (machine.agent_incarnation)
            ):
                continue
            # No report was answered for longer than the worker's lease: it has killed its
            # tasks. Late copies of its old reports must not bring them back.
            machine.is_silent = True
            machine.ignored_terms = 0
            self._mark_unresponsive(machine, now)
            machine.min_incarnation = (
                machine.agent_incarnation + 1 if machine.agent_incarnation else 0
            )
            self.forget_tasks(machine, now)
            self.unreconciled_machines.discard(machine.name)
            self.release_reconciled_slices()

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[TaskCommand] | None:
        """Take in a report and return the orders of its answer.

        None when the report must not be answered with a 200.
        """
        machine = self.machines.get(heartbeat.machine)
        if machine is None or not self._is_newest(machine, heartbeat):
            return None
        self._record_heartbeat(machine, heartbeat, now)
        if heartbeat.fencing_token >= machine.join_term:
            machine.is_reconciled = True
        if not machine.is_reconciled:
            return self._answer_unreconciled(machine, heartbeat, now)
        self._reconcile(machine, heartbeat, now)
        if machine.name in self.unreconciled_machines:
            self.unreconciled_machines.discard(machine.name)
            self.release_reconciled_slices()
        machine.answered_at = now
        return self._task_commands(machine, now)

    def _is_newest(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether a report is to be taken in: the newest of a machine that is still wanted."""
        if machine.is_given_up or machine.is_releasing or heartbeat.fencing_token > self.term:
            return False
        # A late copy: the worker has given such a report up, and its list is old.
        return heartbeat.agent_incarnation >= machine.min_incarnation and (
            heartbeat.agent_incarnation,
            heartbeat.sequence,
        ) > (machine.agent_incarnation, machine.sequence)

    def _record_heartbeat(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """What a report shows of the machine itself: it lives, hears, or is to be taken back."""
        machine.address = heartbeat.address
        often = now - machine.last_heartbeat_at < HEARD_REPORTS * self.cluster.workers.report_s
        if heartbeat.agent_incarnation != machine.agent_incarnation:
            self._begin_incarnation(machine, heartbeat.agent_incarnation, now)
        elif often and machine.ignored_commands < UNHEEDED:
            # A worker that is not answered within some seconds turns to another controller.
            machine.is_unresponsive = False
        if not often:
            machine.frequent_since = now
        elif now - machine.frequent_since > HEARS_AGAIN * self.cluster.workers.lease_s:
            # Nothing is sent to a deaf machine that could show whether it hears again.
            machine.ignored_commands = 0
        machine.sequence = heartbeat.sequence
        if machine.is_awaited:
            # It was away together with many. Whether it hears is told by what follows.
            machine.unresponsive_since, machine.is_awaited = now, False
        machine.last_heartbeat_at = now
        machine.is_silent = False
        machine.reclaim_at = (
            None if heartbeat.reclaim_in_s is None else now + heartbeat.reclaim_in_s
        )

    def _begin_incarnation(self, machine: Machine, session: int, now: float) -> None:
        """The worker's first session that is seen, or one after its lease has run out."""
        if not machine.agent_incarnation:
            if machine.machine_type is not None and machine.name not in self.unreconciled_machines:
                self.boot_times.record(machine.machine_type, now - machine.added_at, now)
        else:
            # If it reported all the while, what it was answered did not reach it.
            if now - machine.last_heartbeat_at < self.cluster.workers.lease_s / 2:
                machine.ignored_commands += 1
                self._mark_unresponsive(machine, now)
            self.forget_tasks(machine, now)
        machine.agent_incarnation = session

    def _answer_unreconciled(
        self, machine: Machine, heartbeat: Heartbeat, now: float
    ) -> list[TaskCommand] | None:
        """Answer a machine of which no report has carried this term yet; None for no answer.

        Answering renews the lease and raises the token; the list counts only from the first
        report that carries this term, because only that one is known to be newer than everything
        the earlier owner sent. A machine that does not take the term up is answered no more, so
        that its lease, which is counted from the last answer that it may have had, comes to an
        end. (A session that moves on would not settle it: the earlier session may be known from
        a late copy only.)
        """
        if machine.ignored_terms > UNHEEDED:
            self._mark_unresponsive(machine, now)
            return None
        machine.ignored_terms += 1
        machine.answered_at = now
        return self._over(heartbeat)

    def _over(self, heartbeat: Heartbeat) -> list[TaskCommand]:
        """Return stops for tasks of jobs that are over on a machine that is not settled.

        An answer that renews its lease must not let them go on.
        """
        commands = []
        for status in heartbeat.tasks:
            job_slice = self.slices.get(status.job)
            if status.state != TaskState.EXITED and (job_slice is None or job_slice.is_cancelled):
                commands.append(
                    TaskCommand(CommandVerb.STOP, status.job, status.index, status.attempt, 0.0)
                )
        return commands[:MAX_ORDERS]

    def _mark_unresponsive(self, machine: Machine, now: float) -> None:
        if not machine.is_unresponsive:
            machine.is_unresponsive, machine.unresponsive_since = True, now

    def _reconcile(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Compare what a settled machine lists with what was launched there."""
        listed = self._take_listed_tasks(machine, heartbeat, now)
        if machine.unknown_tasks:
            self.machines_with_unknown_tasks.add(machine.name)
        else:
            self.machines_with_unknown_tasks.discard(machine.name)
        is_launch_lost = is_launch_shown = False
        for key, task in list(machine.tasks.items()):
            found = listed.get(key)
            was_sent = task.state == TaskState.SENT
            is_launch_shown = is_launch_shown or (was_sent and found is not None)
            if found is not None and found.attempt == task.attempt:
                self._update_task_state(machine, task, found, now)
            elif was_sent:
                is_launch_lost = True
                self._retract_launch(machine, task, now)
            elif task.state != TaskState.PLANNED:
                self._remove_task(machine, task, now)
        if is_launch_shown:
            machine.ignored_commands = 0
        elif is_launch_lost:
            self._record_ignored_command(machine, now)

    def _take_listed_tasks(
        self, machine: Machine, heartbeat: Heartbeat, now: float
    ) -> dict[TaskKey, TaskStatus]:
        """Sort what a machine lists.

        Returns the tasks to compare with what was launched here. Of the others, those that the
        part may hold are taken in, and those that it knows nothing of are to be stopped.
        """
        listed: dict[TaskKey, TaskStatus] = {}
        machine.exited_tasks = {}
        machine.unknown_tasks = {}
        for status in heartbeat.tasks:
            key = (status.job, status.index)
            task = machine.tasks.get(key)
            is_launched = task is not None and task.attempt == status.attempt
            job_slice = self.slices.get(status.job)
            is_free = (
                job_slice is not None
                and job_slice.contains(status.index)
                and status.index not in job_slice.placed_on
            )
            if status.state == TaskState.EXITED:
                if is_launched:
                    listed[key] = status
                elif status.exit_reason == ExitReason.DONE and job_slice is not None and is_free:
                    # A result whose owner fell before it was recorded.
                    self._mark_done(job_slice, status.index, now)
                if key not in machine.exited_tasks or not is_launched:
                    machine.exited_tasks[key] = (
                        status.attempt,
                        status.exit_reason == ExitReason.DONE,
                    )
                continue
            listed[key] = status
            if is_launched:
                continue
            if task is None and job_slice is not None and is_free:
                self._adopt(machine, job_slice, status, now)
            else:
                machine.unknown_tasks[key] = status.attempt
        return listed

    def _update_task_state(
        self, machine: Machine, task: PlacedTask, found: TaskStatus, now: float
    ) -> None:
        """A task that was launched here is listed."""
        if found.state == TaskState.EXITED:
            self._task_exited(machine, task, found, now)
        elif found.state != task.state:
            if found.state == TaskState.RUNNING and task.running_since is None:
                task.running_since = now
                if (job_slice := self.slices.get(task.job)) is not None:
                    job_slice.running_count += 1
            task.state = found.state

    def _retract_launch(self, machine: Machine, task: PlacedTask, now: float) -> None:
        """No report newer than the answer with a launch lists the task: the answer was dropped.

        It may be sent again.
        """
        task.state = TaskState.PLANNED
        job_slice = self.slices.get(task.job)
        if (
            job_slice is None
            or job_slice.is_cancelled
            or task.stop_grace_s is not None
            or machine.is_unresponsive
        ):
            self._remove_task(machine, task, now)

    def _record_ignored_command(self, machine: Machine, now: float) -> None:
        """A launch did not show; after several in a row the machine counts as deaf."""
        machine.ignored_commands += 1
        if machine.ignored_commands < UNHEEDED or machine.is_unresponsive:
            return
        self._mark_unresponsive(machine, now)
        for task in [task for task in machine.tasks.values() if task.state == TaskState.PLANNED]:
            self._remove_task(machine, task, now)

    def _task_exited(
        self, machine: Machine, task: PlacedTask, status: TaskStatus, now: float
    ) -> None:
        job_slice = self.slices.get(task.job)
        if status.exit_reason == ExitReason.DONE:
            if job_slice is not None:
                if task.running_since is not None:
                    self.finished_tasks.append((job_slice.spec, now - task.running_since))
                self.failures.record_success(task.job, machine.name)
                self._mark_done(job_slice, task.index, now)
        elif status.exit_reason == ExitReason.ERROR:
            self.failures.record_failure(
                task.job, machine.name, job_slice is not None and job_slice.done_count > 0, now
            )
            machine.usable_from = max(
                machine.usable_from, now + self.failures.machine_backoff_s(machine.name)
            )
        elif status.exit_reason in (ExitReason.NO_ROOM, ExitReason.UNKNOWN, ExitReason.BUSY):
            machine.usable_from = now + 2 * self.cluster.workers.report_s
        self._remove_task(machine, task, now)

    def _task_commands(self, machine: Machine, now: float) -> list[TaskCommand]:
        commands: list[TaskCommand] = []
        for key, (attempt, done) in machine.exited_tasks.items():
            job_slice = self.slices.get(key[0])
            kept = (
                done
                and job_slice is not None
                and job_slice.contains(key[1])
                and job_slice.spec.kind != JobKind.SERVICE
            )
            if kept and job_slice is not None and not (job_slice.durable_bits >> key[1]) & 1:
                continue
            commands.append(TaskCommand(CommandVerb.FORGET, key[0], key[1], attempt))
        for key, attempt in machine.unknown_tasks.items():
            commands.append(TaskCommand(CommandVerb.STOP, key[0], key[1], attempt, 0.0))
        for task in list(machine.tasks.values()):
            if task.stop_grace_s is not None and task.state != TaskState.PLANNED:
                commands.append(
                    TaskCommand(
                        CommandVerb.STOP, task.job, task.index, task.attempt, task.stop_grace_s
                    )
                )
                task.stop_sent_at = now
        return commands

    def launch_commands(self, machine: Machine, now: float) -> list[TaskCommand]:
        """Launches to carry in the answer to the report just taken in, after its other orders."""
        commands: list[TaskCommand] = []
        if not machine.is_reconciled or machine.is_given_up or machine.is_releasing:
            return commands
        for task in list(machine.tasks.values()):
            if task.state != TaskState.PLANNED:
                continue
            job_slice = self.slices.get(task.job)
            may_start = (
                job_slice is not None and not job_slice.is_blocked and not job_slice.is_cancelled
            )
            if (
                not may_start
                or machine.is_unresponsive
                or task.stop_grace_s is not None
                or machine.is_draining
            ):
                self._remove_task(machine, task, now)
            elif len(commands) < MAX_ORDERS:
                commands.append(TaskCommand(CommandVerb.START, task.job, task.index, task.attempt))
                task.state = TaskState.SENT
                task.sent_sequence = machine.sequence
        return commands

    def stop_tasks(self, tasks: list[PlacedTask], reason: StopReason) -> None:
        """Stop tasks to make room for others; what can save does so."""
        for task in tasks:
            job_slice = self.slices.get(task.job)
            if task.stop_grace_s is None:
                saves = job_slice is not None and job_slice.spec.checkpoint_interval_s > 0
                task.stop_grace_s = (
                    job_slice.spec.checkpoint_save_s if job_slice is not None and saves else 0.0
                )
                task.stop_reason = reason
                task.stop_sent_at = -1e9

    def overdue_stops(self, now: float) -> list[tuple[Machine, list[TaskCommand]]]:
        """Return stops that should not wait for the machine's next report.

        They are harmless when late: attempts are never reused.
        """
        out = []
        again = self.cluster.workers.report_s * 2
        for machine in self.machines.values():
            if not machine.address or not machine.agent_incarnation or not machine.is_reconciled:
                continue
            commands = []
            for task in machine.tasks.values():
                if (
                    task.stop_grace_s is not None
                    and task.state != TaskState.PLANNED
                    and now - task.stop_sent_at > again
                ):
                    commands.append(
                        TaskCommand(
                            CommandVerb.STOP, task.job, task.index, task.attempt, task.stop_grace_s
                        )
                    )
                    task.stop_sent_at = now
            if commands:
                out.append((machine, commands[:MAX_ORDERS]))
        return out
