"""The managers of jobs: ends, cancels, and what parts report of their slices.

The owner of a job's manager part runs its ServerManager. It alone decides how the job ends, and
it alone gives answers that are not final, so that no user is given an older answer than before.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core.domain.model import CANCEL, JobRecord, cancelled, released
from marblestair.core.jobs.answers import JobState
from marblestair.core.jobs.managed_job import ManagedJob, SliceProgress
from marblestair.core.leadership.shard_map import ShardMap
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import (
    ACCEPT,
    FINAL,
    PROGRESS,
    CompareAndSwap,
    Put,
    Sleep,
    StoreResponse,
)
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: time within which a manager carries out a cancel for a user who waits
CANCEL_HERE_S = 3.0
#: an unchanged report of a slice is repeated after this time
REPEAT_S = 2.0
#: pause after a change that the state service refuses as malformed or too large: a defect, which no
#: repetition mends
REFUSED_PAUSE_S = 5.0
#: reports remembered as sent, beyond four for each live job
MOST_SENT = 200


class ManagerStep(enum.Enum):
    """What a manager has to do next for a job."""

    #: rewrite the record, so that a change in doubt is either found applied or can never be
    TOUCH = enum.auto()
    #: have a committed cancel applied by every owner that may act
    APPLY = enum.auto()
    #: record the end of a cancelled job of which nothing runs any more
    BURY = enum.auto()
    #: record the end of a job whose tasks are all done
    FINISH = enum.auto()
    #: commit the entry of a cancel
    CANCEL = enum.auto()
    #: commit the entry that lets the tasks of a job start, since all that it awaits is done
    RELEASE = enum.auto()
    #: record the end of a waiting job of which an ancestor is cancelled
    ABORT = enum.auto()


#: the final state that a step records
FINAL_STATE = {
    ManagerStep.FINISH: JobState.DONE,
    ManagerStep.BURY: JobState.CANCELLED,
    ManagerStep.ABORT: JobState.CANCELLED,
}


class JobManagers:
    """The jobs whose managers run at one node."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        self.managed: dict[str, ManagedJob] = {}
        #: part and job -> when the manager was last told of the slice, and what
        self._sent: dict[tuple[int, str], tuple[float, SliceProgress]] = {}
        #: descendants of cancelled jobs whose ends are being recorded
        self._aborting = 0

    # --- which jobs are managed here ---------------------------------------------------------

    def parts_changed(self) -> None:
        """Ownership moved: run the managers of the parts that are here, drop the others."""
        controller = self._controller
        for job, record in controller.view.jobs.items():
            self._manage(job, record)
        for job in [j for j, m in self.managed.items() if m.part not in controller.parts]:
            del self.managed[job]
        self._sent.clear()

    def changed(self, job: str) -> None:
        """A job's record changed in the view."""
        record = self._controller.view.jobs.get(job)
        if record is None:
            self.managed.pop(job, None)
            return
        self._manage(job, record)

    def _manage(self, job: str, record: JobRecord) -> None:
        part = self._controller.parts.get(record.manager)
        if part is not None and part.ready and job not in self.managed:
            self.managed[job] = ManagedJob(job, record)

    # --- what parts report --------------------------------------------------------------------

    def told(self, args: list[Any]) -> None:
        """A part's owner tells of its slices."""
        for raw in args:
            self._take_report(msgspec.convert(raw, SliceProgress))

    def _take_report(self, report: SliceProgress) -> None:
        record = self._controller.view.split
        managed = self.managed.get(report.job)
        if managed is None or record is None or not 0 <= report.part < len(record.parts):
            return
        # Only the present owner's word counts: an earlier owner's count may include tasks that
        # have since moved to another part.
        if record.parts[report.part].term == report.term:
            managed.reports[report.part] = report

    def _report(self, part: Shard, owned: JobSlice) -> SliceProgress:
        """What is to be told of a slice here."""
        placed = -1 if owned.suspect or part.suspects else len(owned.placed)
        return SliceProgress(
            owned.spec.id,
            part.number,
            part.term,
            owned.done_count,
            owned.runs,
            placed,
            owned.size,
            owned.cancelled,
        )

    def _tell_managers(self, acting: list[Shard]) -> None:
        """Report the slices of the parts here, each to its job's manager, when they changed."""
        controller = self._controller
        reports: dict[str, list[Any]] = {}
        for part in acting:
            for job, owned in part.slices.items():
                record = controller.view.jobs.get(job)
                if record is None:
                    continue
                report = self._report(part, owned)
                owner = controller.owner(record.manager)
                if owner == controller.node:
                    managed = self.managed.get(job)
                    if managed is None or managed.reports.get(part.number) != report:
                        self._take_report(report)
                elif owner is not None and self._is_due(part, job, report):
                    self._sent[(part.number, job)] = (controller.now, report)
                    reports.setdefault(owner, []).append(msgspec.to_builtins(report))
        for node, told in reports.items():
            controller.tell(node, "progress", told)
        if len(self._sent) > 4 * len(controller.view.jobs) + MOST_SENT:
            self._sent.clear()

    def _is_due(self, part: Shard, job: str, report: SliceProgress) -> bool:
        """Whether a manager elsewhere has to be told of a slice now."""
        sent = self._sent.get((part.number, job))
        if sent is None:
            return True
        sent_at, before = sent
        return before != report or self._controller.now - sent_at > REPEAT_S

    # --- carrying jobs on ----------------------------------------------------------------------

    def tick(self) -> None:
        """Tell managers of progress; carry managed jobs on."""
        controller = self._controller
        if controller.view.split is None:
            return
        acting = controller.acting()
        controller.completion_records.tick(acting)
        self._tell_managers(acting)
        for job in list(self.managed):
            self.advance(job)

    def advance(self, job: str) -> None:
        """Begin to do for a job what there is to do, if it is managed here."""
        controller = self._controller
        managed = self.managed.get(job)
        if managed is None or managed.editing or not controller.acts(managed.part):
            return
        record = controller.view.jobs.get(job)
        if record is not None and self._next(managed, record) is not None:
            controller.spawn(self._carry_on(managed))

    def _is_complete(self, managed: ManagedJob, record: JobRecord, split: ShardMap) -> bool:
        """Whether every slice of the record is reported done by its part's present owner."""
        total = 0
        for name, ranges in record.slices.items():
            part = int(name)
            size = sum(end - start for start, end in ranges)
            report = managed.reports.get(part)
            is_done = (
                report is not None
                and report.term == split.parts[part].term
                and report.done == report.size == size
            )
            if part not in record.complete and not is_done:
                return False
            total += size
        return total == record.spec.tasks

    def _is_empty(self, managed: ManagedJob, record: JobRecord, split: ShardMap) -> bool:
        """Whether no part has a task of the job on a machine any more."""
        for name in record.slices:
            report = managed.reports.get(int(name))
            if report is None or report.term != split.parts[int(name)].term:
                return False
            # What was told before the cancel was applied says nothing of what started since.
            if report.placed != 0 or not report.over:
                return False
        return True

    def _next(self, managed: ManagedJob, record: JobRecord) -> ManagerStep | None:
        """What is to be done for a job now, if anything."""
        split = self._controller.view.split
        if split is None:
            return None
        if managed.doubt and not managed.moving:
            # A change is in doubt that nobody follows up.
            return ManagerStep.TOUCH
        if record.cancelled:
            if not self._controller.cancels.confirmed(managed.job):
                return ManagerStep.APPLY
            return ManagerStep.BURY if self._is_empty(managed, record, split) else None
        if record.is_waiting:
            return self._next_waiting(managed)
        if self._is_complete(managed, record, split):
            return ManagerStep.FINISH
        return ManagerStep.CANCEL if managed.want_cancel else None

    def _next_waiting(self, managed: ManagedJob) -> ManagerStep | None:
        """What is to be done for a job that awaits others."""
        pipelines = self._controller.pipelines
        if pipelines.has_cancelled_ancestor(managed.job):
            if not pipelines.may_end(managed.job):
                return ManagerStep.CANCEL if managed.want_cancel else None
            # Nobody waits for these ends: only so many at once, behind all else that is written.
            is_full = self._aborting >= self._controller.batch
            return None if is_full and not managed.editing else ManagerStep.ABORT
        if managed.want_cancel:
            return ManagerStep.CANCEL
        return ManagerStep.RELEASE if pipelines.is_ready(managed.job) else None

    def _carry_on(self, managed: ManagedJob) -> Coroutine:
        """Do for a job what there is to do, one step after the other (Algorithm 3)."""
        controller = self._controller
        managed.editing = True
        holder = ("edit", managed.job)
        try:
            while self.managed.get(managed.job) is managed and controller.acts(managed.part):
                record = controller.view.jobs.get(managed.job)
                step = self._next(managed, record) if record is not None else None
                if record is None or step is None:
                    return
                if managed.moving or managed.locks.request_exclusive(holder) is None:
                    yield Sleep(0.05)
                elif step is ManagerStep.APPLY:
                    if not (yield from controller.cancels.ask(managed.job)):
                        yield Sleep(0.3)
                elif step is ManagerStep.ABORT:
                    yield from self._abort(managed, record)
                else:
                    yield from self._change(managed, record, step)
        finally:
            managed.locks.release_exclusive(holder)
            managed.editing = False

    def _abort(self, managed: ManagedJob, record: JobRecord) -> Step:
        """Record the end of a job that waits for a cancelled one."""
        self._aborting += 1
        try:
            yield from self._change(managed, record, ManagerStep.ABORT)
        finally:
            self._aborting -= 1

    def _change(self, managed: ManagedJob, record: JobRecord, step: ManagerStep) -> Step:
        """Send the change of the record that a step asks for, and take in what became of it."""
        controller = self._controller
        commit = self._commit_for(managed, record, step)
        result: StoreResponse = yield from managed.change(commit)
        if result.status == 200:
            controller.decisions.note(
                controller.now,
                Decision.RECORD,
                step.name.lower(),
                job=managed.job,
                rev=result.rev,
                read_rev=controller.view.version(keys.JOBS + managed.job),
                fence_rev=controller.fence(managed.part)[1],
                awaits=len(record.spec.awaits),
            )
            if step in FINAL_STATE:
                controller.pipelines.tell_ended(managed.job, FINAL_STATE[step])
                controller.answers.final(managed.job, FINAL_STATE[step])
            controller.view.committed(commit, result.rev)
            controller.sync()
            if step is ManagerStep.RELEASE:
                controller.log("info", f"released {managed.job}: all that it awaits is done")
                self.tell_record(managed.job)
        elif result.status == 409:
            # The record moved on: by an earlier try of ours, or the part has a new owner.
            # Whatever was in doubt is settled by reading it.
            if (yield from controller.answers.refresh(managed.job)):
                managed.doubt = False
            yield Sleep(0.05)
        elif result.status == 400:
            yield Sleep(REFUSED_PAUSE_S)
        else:
            yield Sleep(0.1 + 0.2 * controller.rng.random())

    def _commit_for(
        self, managed: ManagedJob, record: JobRecord, step: ManagerStep
    ) -> CompareAndSwap:
        controller = self._controller
        key = keys.JOBS + managed.job
        guards = [(key, controller.view.version(key)), controller.fence(managed.part)]
        if step is ManagerStep.TOUCH:
            return CompareAndSwap(guards, [Put(key, record)], [], ACCEPT)
        if step is ManagerStep.CANCEL:
            value_kb = controller.settings.cluster.state.value_kb
            return CompareAndSwap(guards, [Put(key, cancelled(record, value_kb))], [], ACCEPT)
        if step is ManagerStep.RELEASE:
            return CompareAndSwap(guards, [Put(key, released(record, controller.wall))], [], FINAL)
        final_key = keys.FINALS + managed.job
        is_patient = step is ManagerStep.ABORT and not controller.pipelines.must_end(managed.job)
        lane = PROGRESS if is_patient else FINAL
        return CompareAndSwap(
            [*guards, (final_key, 0)], [Put(final_key, FINAL_STATE[step])], [key], lane
        )

    # --- records ahead of the watch -------------------------------------------------------------

    def tell_record(self, job: str) -> None:
        """Tell the other nodes of a record that this one has committed, ahead of their watches.

        They can start what was released, and know an accepted job when another one awaits it.
        """
        controller = self._controller
        record = controller.view.jobs.get(job)
        if record is None:
            return
        version = controller.view.version(keys.JOBS + job)
        for peer in controller.settings.others:
            controller.tell(peer.node, "record", [job, msgspec.to_builtins(record), version])

    def told_record(self, job: str, record: Any, version: int) -> None:
        """Another node has committed a job's record."""
        msgspec.convert(record, JobRecord)
        self._controller.view.take_in(keys.JOBS + job, record, version)
        self._controller.sync()

    # --- asked by others -----------------------------------------------------------------------

    def arrive(self, job: str, version: int) -> Step:
        """A slice was moved here: the last change entry known of its job (Algorithm 4)."""
        controller = self._controller
        if controller.view.version(keys.JOBS + job) < version:
            yield from controller.answers.read(job)
        record = controller.view.jobs.get(job)
        return len(record.changes) if record is not None else 0

    def entries(self, job: str, changes: list[Any], version: int) -> bool:
        """Later change entries of a job, sent by the source of a migration."""
        if any(entry[0] == CANCEL for entry in changes):
            self._controller.cancels.learn(job, version)
        return True

    def cancel_here(self, job: str) -> Step:
        """Cancel a job managed here: its final state, or None if it takes too long."""
        controller = self._controller
        until = controller.now + CANCEL_HERE_S
        while controller.now < until:
            if job in controller.answers.finals:
                return controller.answers.finals[job]
            managed = self.managed.get(job)
            if job not in controller.view.jobs or managed is None:
                break
            if not controller.acts(managed.part):
                break
            if controller.authority.failing and not controller.cancels.known(job):
                # What cannot be written here another may be able to write.
                break
            if controller.cancels.confirmed(job):
                return JobState.CANCELLED
            managed.want_cancel = True
            if not managed.editing:
                controller.spawn(self._carry_on(managed))
                continue
            yield Sleep(0.02)
        return None
