"""The managers of jobs: ends, cancels, and what parts report of their slices.

The owner of a job's manager part runs its ServerManager. It alone decides how the job ends, and
it alone gives answers that are not final, so that no user is given an older answer than before.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.managed_job import ManagedJob, SliceProgress
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import CompareAndSwap, Lane, Put, StoreResponse
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.records import (
    ChangeKind,
    JobRecord,
    ShardMap,
    with_cancel,
    with_release,
)

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
        self._reported: dict[tuple[int, str], tuple[float, SliceProgress]] = {}
        #: descendants of cancelled jobs whose ends are being recorded
        self._aborting = 0

    # --- which jobs are managed here ---------------------------------------------------------

    def shards_changed(self) -> None:
        """Ownership moved: run the managers of the parts that are here, drop the others."""
        controller = self._controller
        for job, record in controller.view.jobs.items():
            self._manage(job, record)
        for job in [
            j for j, managed in self.managed.items() if managed.shard_id not in controller.shards
        ]:
            del self.managed[job]
        self._reported.clear()

    def record_changed(self, job: str) -> None:
        """A job's record changed in the view."""
        record = self._controller.view.jobs.get(job)
        if record is None:
            self.managed.pop(job, None)
            return
        self._manage(job, record)

    def _manage(self, job: str, record: JobRecord) -> None:
        shard = self._controller.shards.get(record.manager_shard)
        if shard is not None and shard.is_ready and job not in self.managed:
            self.managed[job] = ManagedJob(job, record)

    # --- what parts report --------------------------------------------------------------------

    def receive_progress(self, args: list[Any]) -> None:
        """A part's owner tells of its slices."""
        for raw in args:
            self._record_progress(msgspec.convert(raw, SliceProgress))

    def _record_progress(self, report: SliceProgress) -> None:
        record = self._controller.view.shard_map
        managed = self.managed.get(report.job)
        if managed is None or record is None or not 0 <= report.shard_id < len(record.shards):
            return
        # Only the present owner's word counts: an earlier owner's count may include tasks that
        # have since moved to another part.
        if record.shards[report.shard_id].term == report.term:
            managed.progress_by_shard[report.shard_id] = report

    def _slice_progress(self, shard: Shard, job_slice: JobSlice) -> SliceProgress:
        """What is to be told of a slice here."""
        placed = (
            -1
            if job_slice.is_unreconciled or shard.unreconciled_machines
            else len(job_slice.placed_on)
        )
        return SliceProgress(
            job_slice.spec.id,
            shard.shard_id,
            shard.term,
            job_slice.done_count,
            job_slice.running_count,
            placed,
            job_slice.size,
            job_slice.is_cancelled,
        )

    def _report_progress(self, led_shards: list[Shard]) -> None:
        """Report the slices of the parts here, each to its job's manager, when they changed."""
        controller = self._controller
        reports: dict[str, list[Any]] = {}
        for shard in led_shards:
            for job, job_slice in shard.slices.items():
                record = controller.view.jobs.get(job)
                if record is None:
                    continue
                report = self._slice_progress(shard, job_slice)
                owner = controller.leader_of(record.manager_shard)
                if owner == controller.node:
                    managed = self.managed.get(job)
                    if managed is None or managed.progress_by_shard.get(shard.shard_id) != report:
                        self._record_progress(report)
                elif owner is not None and self._is_due(shard, job, report):
                    self._reported[(shard.shard_id, job)] = (controller.now, report)
                    reports.setdefault(owner, []).append(msgspec.to_builtins(report))
        for node, told in reports.items():
            controller.send(node, "progress", told)
        if len(self._reported) > 4 * len(controller.view.jobs) + MOST_SENT:
            self._reported.clear()

    def _is_due(self, shard: Shard, job: str, report: SliceProgress) -> bool:
        """Whether a manager elsewhere has to be told of a slice now."""
        sent = self._reported.get((shard.shard_id, job))
        if sent is None:
            return True
        sent_at, before = sent
        return before != report or self._controller.now - sent_at > REPEAT_S

    # --- carrying jobs on ----------------------------------------------------------------------

    def tick(self) -> None:
        """Tell managers of progress; carry managed jobs on."""
        controller = self._controller
        if controller.view.shard_map is None:
            return
        led_shards = controller.led_shards()
        controller.completion_records.tick(led_shards)
        self._report_progress(led_shards)
        for job in list(self.managed):
            self.advance(job)

    def advance(self, job: str) -> None:
        """Begin to do for a job what there is to do, if it is managed here."""
        controller = self._controller
        managed = self.managed.get(job)
        if managed is None or managed.is_advancing or not controller.is_leader(managed.shard_id):
            return
        record = controller.view.jobs.get(job)
        if record is not None and self._next_step(managed, record) is not None:
            controller.spawn(self._advance(managed))

    def _is_complete(self, managed: ManagedJob, record: JobRecord, shard_map: ShardMap) -> bool:
        """Whether every slice of the record is reported done by its part's present owner."""
        total = 0
        for name, ranges in record.slices.items():
            shard_id = int(name)
            size = sum(end - start for start, end in ranges)
            report = managed.progress_by_shard.get(shard_id)
            is_done = (
                report is not None
                and report.term == shard_map.shards[shard_id].term
                and report.done == report.size == size
            )
            if shard_id not in record.complete_shards and not is_done:
                return False
            total += size
        return total == record.spec.task_count

    def _is_empty(self, managed: ManagedJob, record: JobRecord, shard_map: ShardMap) -> bool:
        """Whether no part has a task of the job on a machine any more."""
        for name in record.slices:
            report = managed.progress_by_shard.get(int(name))
            if report is None or report.term != shard_map.shards[int(name)].term:
                return False
            # What was told before the cancel was applied says nothing of what started since.
            if report.placed_tasks != 0 or not report.is_cancelled:
                return False
        return True

    def _next_step(self, managed: ManagedJob, record: JobRecord) -> ManagerStep | None:
        """What is to be done for a job now, if anything."""
        shard_map = self._controller.view.shard_map
        if shard_map is None:
            return None
        if managed.is_uncertain and not managed.is_migrating:
            # A change is in doubt that nobody follows up.
            return ManagerStep.TOUCH
        if record.is_cancelled:
            if not self._controller.cancellations.is_confirmed(managed.job):
                return ManagerStep.APPLY
            return ManagerStep.BURY if self._is_empty(managed, record, shard_map) else None
        if record.is_blocked:
            return self._next_blocked_step(managed)
        if self._is_complete(managed, record, shard_map):
            return ManagerStep.FINISH
        return ManagerStep.CANCEL if managed.is_cancel_requested else None

    def _next_blocked_step(self, managed: ManagedJob) -> ManagerStep | None:
        """What is to be done for a job that awaits others."""
        pipelines = self._controller.dependencies
        if pipelines.has_cancelled_ancestor(managed.job):
            if not pipelines.may_end(managed.job):
                return ManagerStep.CANCEL if managed.is_cancel_requested else None
            # Nobody waits for these ends: only so many at once, behind all else that is written.
            is_full = self._aborting >= self._controller.max_batch_changes
            return None if is_full and not managed.is_advancing else ManagerStep.ABORT
        if managed.is_cancel_requested:
            return ManagerStep.CANCEL
        return ManagerStep.RELEASE if pipelines.is_ready(managed.job) else None

    def _advance(self, managed: ManagedJob) -> Coroutine:
        """Do for a job what there is to do, one step after the other (Algorithm 3)."""
        controller = self._controller
        managed.is_advancing = True
        holder = ("edit", managed.job)
        try:
            while self.managed.get(managed.job) is managed and controller.is_leader(
                managed.shard_id
            ):
                record = controller.view.jobs.get(managed.job)
                step = self._next_step(managed, record) if record is not None else None
                if record is None or step is None:
                    return
                if managed.is_migrating or managed.locks.request_exclusive(holder) is None:
                    yield Sleep(0.05)
                elif step is ManagerStep.APPLY:
                    if not (yield from controller.cancellations.propagate(managed.job)):
                        yield Sleep(0.3)
                elif step is ManagerStep.ABORT:
                    yield from self._abort(managed, record)
                else:
                    yield from self._change(managed, record, step)
        finally:
            managed.locks.release_exclusive(holder)
            managed.is_advancing = False

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
        response: StoreResponse = yield from managed.commit_change(commit)
        if response.status == 200:
            controller.decisions.note(
                controller.now,
                Decision.RECORD,
                step.name.lower(),
                job=managed.job,
                rev=response.revision,
                read_rev=controller.view.version(keys.JOBS + managed.job),
                fence_rev=controller.fence_precondition(managed.shard_id)[1],
                awaits=len(record.spec.depends_on),
            )
            if step in FINAL_STATE:
                controller.dependencies.announce_end(managed.job, FINAL_STATE[step])
                controller.answers.record_final(managed.job, FINAL_STATE[step])
            controller.view.record_commit(commit, response.revision)
            controller.sync()
            if step is ManagerStep.RELEASE:
                controller.log("info", f"released {managed.job}: all that it awaits is done")
                self.announce_record(managed.job)
        elif response.status == 409:
            # The record moved on: by an earlier try of ours, or the part has a new owner.
            # Whatever was in doubt is settled by reading it.
            if (yield from controller.answers.refresh_record(managed.job)):
                managed.is_uncertain = False
            yield Sleep(0.05)
        elif response.status == 400:
            yield Sleep(REFUSED_PAUSE_S)
        else:
            yield Sleep(0.1 + 0.2 * controller.rng.random())

    def _commit_for(
        self, managed: ManagedJob, record: JobRecord, step: ManagerStep
    ) -> CompareAndSwap:
        controller = self._controller
        key = keys.JOBS + managed.job
        guards = [
            (key, controller.view.version(key)),
            controller.fence_precondition(managed.shard_id),
        ]
        if step is ManagerStep.TOUCH:
            return CompareAndSwap(guards, [Put(key, record)], [], Lane.ACCEPTANCE)
        if step is ManagerStep.CANCEL:
            value_kb = controller.settings.cluster.state.value_kb
            return CompareAndSwap(
                guards, [Put(key, with_cancel(record, value_kb))], [], Lane.ACCEPTANCE
            )
        if step is ManagerStep.RELEASE:
            return CompareAndSwap(
                guards, [Put(key, with_release(record, controller.wall_time))], [], Lane.FINAL_STATE
            )
        final_key = keys.FINALS + managed.job
        is_patient = step is ManagerStep.ABORT and not controller.dependencies.must_end(managed.job)
        lane = Lane.PROGRESS if is_patient else Lane.FINAL_STATE
        return CompareAndSwap(
            [*guards, (final_key, 0)], [Put(final_key, FINAL_STATE[step])], [key], lane
        )

    # --- records ahead of the watch -------------------------------------------------------------

    def announce_record(self, job: str) -> None:
        """Tell the other nodes of a record that this one has committed, ahead of their watches.

        They can start what was released, and know an accepted job when another one awaits it.
        """
        controller = self._controller
        record = controller.view.jobs.get(job)
        if record is None:
            return
        version = controller.view.version(keys.JOBS + job)
        for peer in controller.settings.others:
            controller.send(peer.node, "record", [job, msgspec.to_builtins(record), version])

    def receive_record(self, job: str, record: Any, version: int) -> None:
        """Another node has committed a job's record."""
        msgspec.convert(record, JobRecord)
        self._controller.view.record_read(keys.JOBS + job, record, version)
        self._controller.sync()

    # --- asked by others -----------------------------------------------------------------------

    def slice_arrived(self, job: str, version: int) -> Step:
        """A slice was moved here: the last change entry known of its job (Algorithm 4)."""
        controller = self._controller
        if controller.view.version(keys.JOBS + job) < version:
            yield from controller.answers.read_record(job)
        record = controller.view.jobs.get(job)
        return len(record.change_list) if record is not None else 0

    def receive_change_entries(self, job: str, changes: list[Any], version: int) -> bool:
        """Later change entries of a job, sent by the source of a migration."""
        if any(entry[0] == ChangeKind.CANCEL for entry in changes):
            self._controller.cancellations.record(job, version)
        return True

    def cancel_managed(self, job: str) -> Step:
        """Cancel a job managed here: its final state, or None if it takes too long."""
        controller = self._controller
        until = controller.now + CANCEL_HERE_S
        while controller.now < until:
            if job in controller.answers.final_states:
                return controller.answers.final_states[job]
            managed = self.managed.get(job)
            if job not in controller.view.jobs or managed is None:
                break
            if not controller.is_leader(managed.shard_id):
                break
            if controller.leadership.is_renewal_failing and not controller.cancellations.is_known(
                job
            ):
                # What cannot be written here another may be able to write.
                break
            if controller.cancellations.is_confirmed(job):
                return JobState.CANCELLED
            managed.is_cancel_requested = True
            if not managed.is_advancing:
                controller.spawn(self._advance(managed))
                continue
            yield Sleep(0.02)
        return None
