"""One part of the fleet under one term: its machines, tasks, leases and their reconciliation.

The rule this module guards above all is that no task runs twice. A task counts as on its machine
from the moment its launch is decided until it is *settled* as gone: a newer report of the
machine under this term does not list it (or lists it as exited), the worker's session has moved
on, the cloud confirmed that the machine is released, or the worker's lease must have run out.
Launches go only in the answers to reports: a worker drops answers after a few seconds and has one
report in flight, so its next report shows whether a launch happened.
"""

from __future__ import annotations

from marblestair.core.capacity.boot_times import BootTimes
from marblestair.core.capacity.failures import FailureAttribution
from marblestair.core.domain.index_ranges import Ranges
from marblestair.core.domain.model import (
    GANG,
    SERVICE,
    Heartbeat,
    JobRecord,
    JobSpec,
    TaskCommand,
    TaskStatus,
)
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask, TaskKey
from marblestair.settings import Cluster

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
#: allowance for clocks that drift apart, as a share of a lease
DRIFT = 0.002


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
        self.agent_lease_limit_s = cluster.workers.lease_s * (1 + DRIFT) + 0.25

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
            m = self.machines.get(name)
            if m is None or m.machine_type is None:
                return 1 << 62, 1 << 62
            c += m.machine_type.capacity[0]
            g += m.machine_type.capacity[1]
        return c, g

    @property
    def pending_stop_count(self) -> int:
        """Tasks that are to stop and are not known to have ended."""
        return sum(
            p.stop_grace_s is not None for m in self.machines.values() for p in m.tasks.values()
        )

    def _count_usage(self, p: PlacedTask, sign: int) -> None:
        u = self.team_usage.setdefault(p.team, [0, 0])
        u[0] += sign * p.resources[0]
        u[1] += sign * p.resources[1]

    def launch(self, m: Machine, s: JobSlice, index: int, attempt: int, now: float) -> None:
        """Decide to launch a task; the order goes in the answer to the machine's next report."""
        p = PlacedTask(s.spec.id, index, attempt, s.resources, s.spec.team, now)
        m.add_task(p)
        m.record_image(s.spec)
        s.placed_on[index] = m
        self._count_usage(p, 1)

    def _adopt(self, m: Machine, s: JobSlice, t: TaskStatus, now: float) -> None:
        p = PlacedTask(t.job, t.index, t.attempt, s.resources, s.spec.team, now)
        p.state = t.state
        if t.state in ("running", "saving"):
            p.running_since = now
            s.running_count += 1
        if s.is_cancelled or (s.done_bits >> t.index) & 1:
            p.stop_grace_s, p.stop_reason = 0.0, "over"
        m.add_task(p)
        m.record_image(s.spec)
        s.placed_on[t.index] = m
        s.pending.discard(t.index)
        s.last_attempt = max(s.last_attempt, t.attempt)
        self._count_usage(p, 1)

    def _remove_task(self, m: Machine, p: PlacedTask, now: float) -> None:
        """A task is settled as not on its machine; run it again unless it is done."""
        m.remove_task(p, now)
        self._count_usage(p, -1)
        s = self.slices.get(p.job)
        if s is None:
            return
        if s.placed_on.get(p.index) is m:
            del s.placed_on[p.index]
            if not s.placed_on:
                s.pending_since = now
            if p.running_since is not None:
                s.running_count -= 1
        if s.contains(p.index) and not (s.done_bits >> p.index) & 1:
            s.pending.add(p.index, p.index + 1)
        if s.spec.kind == GANG:
            self._gang_lost(s)

    def _gang_lost(self, s: JobSlice) -> None:
        """A gang lost a member: the rest is stopped, and it starts again once all are gone."""
        if s.done_count == s.size:
            return
        if not s.placed_on:
            s.is_stopping_gang = False
            return
        s.is_stopping_gang = True
        for i, m in s.placed_on.items():
            p = m.tasks.get((s.spec.id, i))
            if p is not None and p.stop_grace_s is None:
                p.stop_grace_s, p.stop_reason = 0.0, "gang"

    def _mark_done(self, s: JobSlice, index: int, now: float) -> None:
        if (s.done_bits >> index) & 1 or not s.contains(index) or s.spec.kind == SERVICE:
            return
        # The members of a gang complete together: when one is done, all are.
        for i in Ranges(s.ranges) if s.spec.kind == GANG else (index,):
            if not (s.done_bits >> i) & 1:
                s.done_bits |= 1 << i
                s.done_count += 1
            s.pending.discard(i)
        if s.dirty_since is None:
            s.dirty_since = now

    # --- jobs ------------------------------------------------------------------------------

    def sync_job(self, record: JobRecord | None, job: str, version: int, now: float) -> None:
        """Follow a job's record: slices gained or lost, cancels, and its end."""
        s = self.slices.get(job)
        if record is None:
            if s is not None:
                self._end_slice(s)
            return
        ranges = record.slices.get(str(self.shard_id), [])
        if not ranges and s is None:
            return
        if s is None:
            s = self.slices[job] = JobSlice(record.spec)
            s.pending_since = now
        s.startable_since = record.startable_since
        if record.is_blocked:
            s.block(ranges)
        elif s.is_blocked:
            s.unblock(now)
        if ranges != s.ranges:
            had_tasks = s.size > 0
            s.set_ranges(ranges)
            if had_tasks and not s.ranges and not s.placed_on and not s.is_cancelled:
                del self.slices[job]
                return
        s.record_version = version
        if record.is_cancelled:
            self.cancel(job, now)

    def _end_slice(self, s: JobSlice) -> None:
        """The job is over: what is still on machines is stopped."""
        for index, m in list(s.placed_on.items()):
            p = m.tasks.get((s.spec.id, index))
            if p is not None and p.stop_grace_s is None:
                p.stop_grace_s, p.stop_reason = 0.0, "over"
        del self.slices[s.spec.id]

    def cancel(self, job: str, now: float) -> None:
        """Apply a cancel: nothing starts any more, and what is there is stopped at once."""
        s = self.slices.get(job)
        if s is None or s.is_cancelled:
            return
        s.is_cancelled = True
        s.cancelled_at = now
        s.pending = Ranges()
        for i, m in list(s.placed_on.items()):
            p = m.tasks.get((job, i))
            if p is None:
                continue
            if p.state == "planned":
                self._remove_task(m, p, now)
            else:
                p.stop_grace_s, p.stop_reason = 0.0, "cancel"
                p.stop_sent_at = -1e9
        s.pending = Ranges()

    def release_reconciled_slices(self) -> None:
        """Once every machine of the takeover is settled, what is not on one may start."""
        if self.unreconciled_machines:
            return
        for s in self.slices.values():
            s.is_unreconciled = False
            if s.spec.kind == GANG and s.placed_on and len(s.pending):
                # Only some of the gang survived the takeover.
                self._gang_lost(s)

    # --- machines --------------------------------------------------------------------------

    def add_machine(self, m: Machine) -> None:
        """A machine joins the part."""
        m.join_term = self.term
        m.silence_limit_s = QUIET_REPORTS * self.cluster.workers.report_s
        self.machines[m.name] = m

    def remove_machine(self, name: str, now: float) -> None:
        """A machine is gone for certain (released), or left the part idle and settled."""
        m = self.machines.pop(name, None)
        if m is None:
            return
        for p in list(m.tasks.values()):
            self._remove_task(m, p, now)
        self.machines_with_unknown_tasks.discard(name)
        self.unreconciled_machines.discard(name)
        self.release_reconciled_slices()

    def forget_tasks(self, m: Machine, now: float) -> None:
        """All tasks of the machine's session so far are gone."""
        for p in list(m.tasks.values()):
            self._remove_task(m, p, now)
        m.exited_tasks = {}
        m.unknown_tasks = {}
        self.machines_with_unknown_tasks.discard(m.name)

    def _drain_reclaimed_machines(self, now: float) -> None:
        """Save what can be saved on machines that the cloud takes back."""
        report_s = self.cluster.workers.report_s
        for m in self.machines.values():
            if m.reclaim_at is None:
                continue
            for p in list(m.tasks.values()):
                s = self.slices.get(p.job)
                if s is None or s.spec.checkpoint_interval_s <= 0 or p.stop_grace_s is not None:
                    continue
                if m.reclaim_at - now > 2 * s.spec.checkpoint_save_s + 3 * report_s:
                    continue
                # A gang saves only if all its tasks are told, and told at nearly the same time.
                for i, at in s.placed_on.items():
                    q = at.tasks.get((p.job, i))
                    if q is not None and q.stop_grace_s is None:
                        q.stop_grace_s, q.stop_reason = (
                            max(s.spec.checkpoint_save_s, 0.001),
                            "drain",
                        )

    def tick(self, now: float) -> None:
        """Let leases of silent workers run out."""
        self._drain_reclaimed_machines(now)
        for m in list(self.machines.values()):
            last = m.answered_at if m.answered_at > self.acquired_at else self.acquired_at
            if now - m.last_heartbeat_at >= m.silence_limit_s:
                # A launch that is in no answer yet can go elsewhere at once.
                for p in list(m.tasks.values()):
                    if p.state == "planned":
                        self._remove_task(m, p, now)
            if (
                m.is_silent
                or now < last + self.agent_lease_limit_s
                or m.name not in self.unreconciled_machines
                and not (m.agent_incarnation)
            ):
                continue
            # No report was answered for longer than the worker's lease: it has killed its
            # tasks. Late copies of its old reports must not bring them back.
            m.is_silent = True
            m.ignored_terms = 0
            self._mark_unresponsive(m, now)
            m.min_incarnation = m.agent_incarnation + 1 if m.agent_incarnation else 0
            self.forget_tasks(m, now)
            self.unreconciled_machines.discard(m.name)
            self.release_reconciled_slices()

    def receive_heartbeat(self, rep: Heartbeat, now: float) -> list[TaskCommand] | None:
        """Take in a report and return the orders of its answer.

        None when the report must not be answered with a 200.
        """
        m = self.machines.get(rep.machine)
        if m is None or not self._is_newest(m, rep):
            return None
        self._record_heartbeat(m, rep, now)
        if rep.fencing_token >= m.join_term:
            m.is_reconciled = True
        if not m.is_reconciled:
            return self._answer_unreconciled(m, rep, now)
        self._reconcile(m, rep, now)
        if m.name in self.unreconciled_machines:
            self.unreconciled_machines.discard(m.name)
            self.release_reconciled_slices()
        m.answered_at = now
        return self._task_commands(m, now)

    def _is_newest(self, m: Machine, rep: Heartbeat) -> bool:
        """Whether a report is to be taken in: the newest of a machine that is still wanted."""
        if m.is_given_up or m.is_releasing or rep.fencing_token > self.term:
            return False
        # A late copy: the worker has given such a report up, and its list is old.
        return rep.agent_incarnation >= m.min_incarnation and (
            rep.agent_incarnation,
            rep.sequence,
        ) > (m.agent_incarnation, m.sequence)

    def _record_heartbeat(self, m: Machine, rep: Heartbeat, now: float) -> None:
        """What a report shows of the machine itself: it lives, hears, or is to be taken back."""
        m.address = rep.address
        often = now - m.last_heartbeat_at < HEARD_REPORTS * self.cluster.workers.report_s
        if rep.agent_incarnation != m.agent_incarnation:
            self._begin_incarnation(m, rep.agent_incarnation, now)
        elif often and m.ignored_commands < UNHEEDED:
            # A worker that is not answered within some seconds turns to another controller.
            m.is_unresponsive = False
        if not often:
            m.frequent_since = now
        elif now - m.frequent_since > HEARS_AGAIN * self.cluster.workers.lease_s:
            # Nothing is sent to a deaf machine that could show whether it hears again.
            m.ignored_commands = 0
        m.sequence = rep.sequence
        if m.is_awaited:
            # It was away together with many. Whether it hears is told by what follows.
            m.unresponsive_since, m.is_awaited = now, False
        m.last_heartbeat_at = now
        m.is_silent = False
        m.reclaim_at = None if rep.reclaim_in_s is None else now + rep.reclaim_in_s

    def _begin_incarnation(self, m: Machine, session: int, now: float) -> None:
        """The worker's first session that is seen, or one after its lease has run out."""
        if not m.agent_incarnation:
            if m.machine_type is not None and m.name not in self.unreconciled_machines:
                self.boot_times.record(m.machine_type, now - m.added_at, now)
        else:
            # If it reported all the while, what it was answered did not reach it.
            if now - m.last_heartbeat_at < self.cluster.workers.lease_s / 2:
                m.ignored_commands += 1
                self._mark_unresponsive(m, now)
            self.forget_tasks(m, now)
        m.agent_incarnation = session

    def _answer_unreconciled(
        self, m: Machine, rep: Heartbeat, now: float
    ) -> list[TaskCommand] | None:
        """Answer a machine of which no report has carried this term yet; None for no answer.

        Answering renews the lease and raises the token; the list counts only from the first
        report that carries this term, because only that one is known to be newer than everything
        the earlier owner sent. A machine that does not take the term up is answered no more, so
        that its lease, which is counted from the last answer that it may have had, comes to an
        end. (A session that moves on would not settle it: the earlier session may be known from
        a late copy only.)
        """
        if m.ignored_terms > UNHEEDED:
            self._mark_unresponsive(m, now)
            return None
        m.ignored_terms += 1
        m.answered_at = now
        return self._over(rep)

    def _over(self, rep: Heartbeat) -> list[TaskCommand]:
        """Return stops for tasks of jobs that are over on a machine that is not settled.

        An answer that renews its lease must not let them go on.
        """
        orders = []
        for t in rep.tasks:
            s = self.slices.get(t.job)
            if t.state != "exited" and (s is None or s.is_cancelled):
                orders.append(TaskCommand("stop", t.job, t.index, t.attempt, 0.0))
        return orders[:MAX_ORDERS]

    def _mark_unresponsive(self, m: Machine, now: float) -> None:
        if not m.is_unresponsive:
            m.is_unresponsive, m.unresponsive_since = True, now

    def _reconcile(self, m: Machine, rep: Heartbeat, now: float) -> None:
        """Compare what a settled machine lists with what was launched there."""
        listed = self._take_listed_tasks(m, rep, now)
        if m.unknown_tasks:
            self.machines_with_unknown_tasks.add(m.name)
        else:
            self.machines_with_unknown_tasks.discard(m.name)
        is_launch_lost = is_launch_shown = False
        for key, p in list(m.tasks.items()):
            found = listed.get(key)
            was_sent = p.state == "sent"
            is_launch_shown = is_launch_shown or (was_sent and found is not None)
            if found is not None and found.attempt == p.attempt:
                self._update_task_state(m, p, found, now)
            elif was_sent:
                is_launch_lost = True
                self._retract_launch(m, p, now)
            elif p.state != "planned":
                self._remove_task(m, p, now)
        if is_launch_shown:
            m.ignored_commands = 0
        elif is_launch_lost:
            self._record_ignored_command(m, now)

    def _take_listed_tasks(
        self, m: Machine, rep: Heartbeat, now: float
    ) -> dict[TaskKey, TaskStatus]:
        """Sort what a machine lists.

        Returns the tasks to compare with what was launched here. Of the others, those that the
        part may hold are taken in, and those that it knows nothing of are to be stopped.
        """
        listed: dict[TaskKey, TaskStatus] = {}
        m.exited_tasks = {}
        m.unknown_tasks = {}
        for t in rep.tasks:
            key = (t.job, t.index)
            p = m.tasks.get(key)
            is_launched = p is not None and p.attempt == t.attempt
            s = self.slices.get(t.job)
            is_free = s is not None and s.contains(t.index) and t.index not in s.placed_on
            if t.state == "exited":
                if is_launched:
                    listed[key] = t
                elif t.exit_reason == "done" and s is not None and is_free:
                    # A result whose owner fell before it was recorded.
                    self._mark_done(s, t.index, now)
                if key not in m.exited_tasks or not is_launched:
                    m.exited_tasks[key] = (t.attempt, t.exit_reason == "done")
                continue
            listed[key] = t
            if is_launched:
                continue
            if p is None and s is not None and is_free:
                self._adopt(m, s, t, now)
            else:
                m.unknown_tasks[key] = t.attempt
        return listed

    def _update_task_state(self, m: Machine, p: PlacedTask, found: TaskStatus, now: float) -> None:
        """A task that was launched here is listed."""
        if found.state == "exited":
            self._task_exited(m, p, found, now)
        elif found.state != p.state:
            if found.state == "running" and p.running_since is None:
                p.running_since = now
                if (s := self.slices.get(p.job)) is not None:
                    s.running_count += 1
            p.state = found.state

    def _retract_launch(self, m: Machine, p: PlacedTask, now: float) -> None:
        """No report newer than the answer with a launch lists the task: the answer was dropped.

        It may be sent again.
        """
        p.state = "planned"
        s = self.slices.get(p.job)
        if s is None or s.is_cancelled or p.stop_grace_s is not None or m.is_unresponsive:
            self._remove_task(m, p, now)

    def _record_ignored_command(self, m: Machine, now: float) -> None:
        """A launch did not show; after several in a row the machine counts as deaf."""
        m.ignored_commands += 1
        if m.ignored_commands < UNHEEDED or m.is_unresponsive:
            return
        self._mark_unresponsive(m, now)
        for p in [p for p in m.tasks.values() if p.state == "planned"]:
            self._remove_task(m, p, now)

    def _task_exited(self, m: Machine, p: PlacedTask, t: TaskStatus, now: float) -> None:
        s = self.slices.get(p.job)
        if t.exit_reason == "done":
            if s is not None:
                if p.running_since is not None:
                    self.finished_tasks.append((s.spec, now - p.running_since))
                self.failures.record_success(p.job, m.name)
                self._mark_done(s, p.index, now)
        elif t.exit_reason == "error":
            self.failures.record_failure(p.job, m.name, s is not None and s.done_count > 0, now)
            m.usable_from = max(m.usable_from, now + self.failures.machine_backoff_s(m.name))
        elif t.exit_reason in ("no_room", "unknown", "busy"):
            m.usable_from = now + 2 * self.cluster.workers.report_s
        self._remove_task(m, p, now)

    def _task_commands(self, m: Machine, now: float) -> list[TaskCommand]:
        orders: list[TaskCommand] = []
        for key, (attempt, done) in m.exited_tasks.items():
            s = self.slices.get(key[0])
            kept = done and s is not None and s.contains(key[1]) and s.spec.kind != SERVICE
            if kept and s is not None and not (s.durable_bits >> key[1]) & 1:
                continue
            orders.append(TaskCommand("forget", key[0], key[1], attempt))
        for key, attempt in m.unknown_tasks.items():
            orders.append(TaskCommand("stop", key[0], key[1], attempt, 0.0))
        for p in list(m.tasks.values()):
            if p.stop_grace_s is not None and p.state != "planned":
                orders.append(TaskCommand("stop", p.job, p.index, p.attempt, p.stop_grace_s))
                p.stop_sent_at = now
        return orders

    def launch_commands(self, m: Machine, now: float) -> list[TaskCommand]:
        """Launches to carry in the answer to the report just taken in, after its other orders."""
        orders: list[TaskCommand] = []
        if not m.is_reconciled or m.is_given_up or m.is_releasing:
            return orders
        for p in list(m.tasks.values()):
            if p.state != "planned":
                continue
            s = self.slices.get(p.job)
            may_start = s is not None and not s.is_blocked and not s.is_cancelled
            if not may_start or m.is_unresponsive or p.stop_grace_s is not None or m.is_draining:
                self._remove_task(m, p, now)
            elif len(orders) < MAX_ORDERS:
                orders.append(TaskCommand("start", p.job, p.index, p.attempt))
                p.state = "sent"
                p.sent_sequence = m.sequence
        return orders

    def stop_tasks(self, tasks: list[PlacedTask], why: str) -> None:
        """Stop tasks to make room for others; what can save does so."""
        for p in tasks:
            s = self.slices.get(p.job)
            if p.stop_grace_s is None:
                saves = s is not None and s.spec.checkpoint_interval_s > 0
                p.stop_grace_s = s.spec.checkpoint_save_s if s is not None and saves else 0.0
                p.stop_reason = why
                p.stop_sent_at = -1e9

    def overdue_stops(self, now: float) -> list[tuple[Machine, list[TaskCommand]]]:
        """Return stops that should not wait for the machine's next report.

        They are harmless when late: attempts are never reused.
        """
        out = []
        again = self.cluster.workers.report_s * 2
        for m in self.machines.values():
            if not m.address or not m.agent_incarnation or not m.is_reconciled:
                continue
            orders = []
            for p in m.tasks.values():
                if (
                    p.stop_grace_s is not None
                    and p.state != "planned"
                    and now - p.stop_sent_at > again
                ):
                    orders.append(TaskCommand("stop", p.job, p.index, p.attempt, p.stop_grace_s))
                    p.stop_sent_at = now
            if orders:
                out.append((m, orders[:MAX_ORDERS]))
        return out
