"""The managers of jobs, which commit the release, cancel and final state of each job.

The leader of a job's manager shard runs the job's ServerManager. Only this leader records the final
state of a live job, so it alone can know without a read that the job has not ended. Therefore only
this leader answers from memory with a state that is not final, and no user gets a status that is
older than one returned before.
"""

from __future__ import annotations

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.completion_records import CompletionRecords
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.jobs.manager_steps import FINAL_STATE_OF, ManagerStep, ManagerSteps
from marblestair.core.jobs.progress_reports import ProgressReports
from marblestair.core.jobs.record_announcements import RecordAnnouncements
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.store_lease import StoreLease
from marblestair.core.messaging.messages import AnnounceMigration, SendChangeEntries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.state import keys
from marblestair.core.state.records import ChangeKind, JobRecord, with_cancel, with_release
from marblestair.core.state.store_view import StoreView

#: maximum time for a manager to commit a cancel and get it confirmed while a user waits
CANCEL_TIMEOUT_S = 3.0
#: pause between two checks whether the cancel is confirmed
CANCEL_POLL_S = 0.02
#: pauses before a retry: while a migration holds the job's locks, after a propagation that did not
#: confirm the cancel, and after a commit whose precondition failed
LOCK_RETRY_S, PROPAGATION_RETRY_S, CONFLICT_RETRY_S = 0.05, 0.3, 0.05
#: pause after the store rejected a commit as malformed or too large; a retry of the same commit
#: would fail again
REJECTED_RETRY_S = 5.0


class JobManagers:
    """Manages the jobs whose manager shards one node leads."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        lease: StoreLease,
        leadership: Leadership,
        managed_jobs: dict[str, ManagedJob],
        steps: ManagerSteps,
        reports: ProgressReports,
        completion_records: CompletionRecords,
        announcements: RecordAnnouncements,
        final_states: FinalStates,
        cancels: CancelRegistry,
        cancellations: Cancellations,
        dependencies: DependencyGraph,
        reader: RecordReader,
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._leadership = leadership
        self._managed_jobs = managed_jobs
        self._steps = steps
        self._reports = reports
        self._completion_records = completion_records
        self._announcements = announcements
        self._final_states = final_states
        self._cancels = cancels
        self._cancellations = cancellations
        self._dependencies = dependencies
        self._reader = reader
        #: number of commits in flight that record the end of a descendant of a cancelled job
        self._blocked_ends_in_flight = 0

    # --- which jobs are managed here -------------------------------------------------------

    def shards_changed(self) -> None:
        """Manage the jobs of this node's ready shards, and drop the jobs of shards that it lost.

        All slices are reported again, because managers may have moved to other nodes.
        """
        for job, record in self._view.jobs.items():
            self._manage_if_leader(job, record)
        shards = self._leadership.shards
        for job in [
            job for job, managed in self._managed_jobs.items() if managed.shard_id not in shards
        ]:
            del self._managed_jobs[job]
        self._reports.clear_sent()

    def record_changed(self, job: str) -> None:
        """Start or stop managing a job after its record changed in the view."""
        record = self._view.jobs.get(job)
        if record is None:
            self._managed_jobs.pop(job, None)
            return
        self._manage_if_leader(job, record)

    def _manage_if_leader(self, job: str, record: JobRecord) -> None:
        shard = self._leadership.shards.get(record.manager_shard)
        if shard is not None and shard.is_ready and job not in self._managed_jobs:
            self._managed_jobs[job] = ManagedJob(job, record)

    # --- advancing jobs --------------------------------------------------------------------

    def report_and_advance(self) -> None:
        """Send progress reports, record complete slices and advance the managed jobs."""
        if self._view.shard_map is None:
            return
        led_shards = self._leadership.led_shards()
        self._completion_records.start_due_commits(led_shards)
        self._reports.send(led_shards)
        for job in list(self._managed_jobs):
            self.advance(job)

    def advance(self, job: str) -> None:
        """Start the next step of a job, if the job is managed here and has one."""
        managed = self._managed_jobs.get(job)
        if managed is None or managed.is_advancing:
            return
        if not self._leadership.is_leader(managed.shard_id):
            return
        record = self._view.jobs.get(job)
        if record is not None and self._next_step(managed, record) is not None:
            self._context.spawn(self._advance(managed))

    def _next_step(self, managed: ManagedJob, record: JobRecord) -> ManagerStep | None:
        may_end_blocked = self._blocked_ends_in_flight < self._context.max_batch_changes
        return self._steps.next_step(managed, record, may_end_blocked)

    def _is_managed_here(self, managed: ManagedJob) -> bool:
        is_current = self._managed_jobs.get(managed.job) is managed
        return is_current and self._leadership.is_leader(managed.shard_id)

    def _advance(self, managed: ManagedJob) -> Coroutine[None]:
        """Take the next steps of a job, one by one, until there is none (Algorithm 3).

        Stops early if this node no longer manages the job.
        """
        managed.is_advancing = True
        holder = ("edit", managed.job)
        try:
            while self._is_managed_here(managed):
                record = self._view.jobs.get(managed.job)
                step = self._next_step(managed, record) if record is not None else None
                if record is None or step is None:
                    return
                if (
                    managed.is_committing_migration
                    or managed.locks.acquire_exclusive(holder) is None
                ):
                    yield Sleep(LOCK_RETRY_S)
                else:
                    yield from self._take_step(managed, record, step)
        finally:
            managed.locks.release_exclusive(holder)
            managed.is_advancing = False

    def _take_step(
        self, managed: ManagedJob, record: JobRecord, step: ManagerStep
    ) -> Coroutine[None]:
        if step is ManagerStep.PROPAGATE_CANCEL:
            if not (yield from self._cancellations.propagate(managed.job)):
                yield Sleep(PROPAGATION_RETRY_S)
        elif step is ManagerStep.END_BLOCKED:
            yield from self._end_blocked(managed, record)
        else:
            yield from self._change_record(managed, record, step)

    def _end_blocked(self, managed: ManagedJob, record: JobRecord) -> Coroutine[None]:
        """Record the end of a blocked job that has a cancelled ancestor."""
        self._blocked_ends_in_flight += 1
        try:
            yield from self._change_record(managed, record, ManagerStep.END_BLOCKED)
        finally:
            self._blocked_ends_in_flight -= 1

    def _change_record(
        self, managed: ManagedJob, record: JobRecord, step: ManagerStep
    ) -> Coroutine[None]:
        """Commit the write or deletion of the record that a step requires; handle the response."""
        swap = self._commit_for_step(managed, record, step)
        response = yield from managed.commit_change(swap)
        if response.status == 200:
            self._apply_change(managed, record, step, swap, response)
        elif response.status == 409:
            # The record has changed, perhaps by an earlier commit of this node, or the shard has a
            # new leader. An earlier commit with an unknown outcome has the same or older
            # preconditions, so it can no longer take effect. The read shows whether it took effect.
            if (yield from self._reader.refresh(managed.job)):
                managed.has_uncertain_commit = False
            yield Sleep(CONFLICT_RETRY_S)
        elif response.status == 400:
            yield Sleep(REJECTED_RETRY_S)
        else:
            yield Sleep(0.1 + 0.2 * self._context.rng.random())

    def _apply_change(
        self,
        managed: ManagedJob,
        record: JobRecord,
        step: ManagerStep,
        swap: CompareAndSwap,
        response: StoreResponse,
    ) -> None:
        """Apply a committed change of the record to the state of this node."""
        job = managed.job
        self._log_change(managed, record, step, response)
        if step in FINAL_STATE_OF:
            self._dependencies.announce_end(job, FINAL_STATE_OF[step])
            self._final_states.record(job, FINAL_STATE_OF[step])
        self._view.apply_commit(swap, response.revision)
        self._view.publish_changes()
        if step is ManagerStep.RELEASE:
            self._context.log("info", f"released {job}: all its parents are done")
            self._announcements.announce(job)

    def _log_change(
        self, managed: ManagedJob, record: JobRecord, step: ManagerStep, response: StoreResponse
    ) -> None:
        self._context.decisions.log(
            self._context.now,
            Decision.RECORD,
            step.name.lower(),
            job=managed.job,
            rev=response.revision,
            read_rev=self._view.version(keys.JOBS + managed.job),
            fence_rev=self._leadership.fence_precondition(managed.shard_id)[1],
            depends_on=len(record.spec.depends_on),
        )

    def _commit_for_step(
        self, managed: ManagedJob, record: JobRecord, step: ManagerStep
    ) -> CompareAndSwap:
        """Return the commit that writes or deletes the record as a step requires."""
        key = keys.JOBS + managed.job
        preconditions = [
            (key, self._view.version(key)),
            self._leadership.fence_precondition(managed.shard_id),
        ]
        if step is ManagerStep.REWRITE:
            return CompareAndSwap(preconditions, [Put(key, record)], [], RequestPriority.ACCEPTANCE)
        if step is ManagerStep.CANCEL:
            value_kb = self._context.settings.cluster.state.value_kb
            cancelled = with_cancel(record, value_kb)
            return CompareAndSwap(
                preconditions, [Put(key, cancelled)], [], RequestPriority.ACCEPTANCE
            )
        if step is ManagerStep.RELEASE:
            released = with_release(record, self._context.wall_time)
            return CompareAndSwap(
                preconditions, [Put(key, released)], [], RequestPriority.FINAL_STATE
            )
        final_key = keys.FINAL_STATES + managed.job
        return CompareAndSwap(
            [*preconditions, (final_key, 0)],
            [Put(final_key, FINAL_STATE_OF[step])],
            [key],
            self._priority_of_end(managed, step),
        )

    def _priority_of_end(self, managed: ManagedJob, step: ManagerStep) -> RequestPriority:
        is_blocked = step is ManagerStep.END_BLOCKED
        is_deferrable = is_blocked and not self._dependencies.is_end_overdue(managed.job)
        return RequestPriority.PROGRESS if is_deferrable else RequestPriority.FINAL_STATE

    # --- requests from other nodes and users -----------------------------------------------

    def receive_migration_announcement(self, message: AnnounceMigration) -> Coroutine[int]:
        """Return how many change entries of a migrated slice's job are known here (Algorithm 4).

        The record is read first if the view has an older version than the announced one. Returns 0
        if the view has no record of the job.
        """
        if self._view.version(keys.JOBS + message.job) < message.version:
            yield from self._reader.read_record(message.job)
        record = self._view.jobs.get(message.job)
        return len(record.change_list) if record is not None else 0

    def receive_change_entries(self, message: SendChangeEntries) -> bool:
        """Apply a cancel among the change entries that a migration's source sent; return True."""
        if any(entry[0] == ChangeKind.CANCEL for entry in message.entries):
            self._cancels.record(message.job, message.version)
        return True

    def cancel_managed(self, job: str) -> Coroutine[JobState | None]:
        """Cancel a job managed here, and return its final state.

        The state is "done" if the job finished first. Returns None when this node may not
        cancel the job, or when the cancel is not confirmed within ``CANCEL_TIMEOUT_S``.
        """
        until = self._context.now + CANCEL_TIMEOUT_S
        while self._context.now < until:
            if job in self._final_states:
                return self._final_states[job]
            managed = self._managed_jobs.get(job)
            if managed is None or not self._may_cancel(managed):
                break
            if self._cancellations.is_confirmed(job):
                return JobState.CANCELLED
            managed.is_cancel_requested = True
            if not managed.is_advancing:
                self._context.spawn(self._advance(managed))
                continue
            yield Sleep(CANCEL_POLL_S)
        return None

    def _may_cancel(self, managed: ManagedJob) -> bool:
        """Return whether this node may cancel a job as its manager."""
        if managed.job not in self._view.jobs:
            return False
        if not self._leadership.is_leader(managed.shard_id):
            return False
        # While this node's lease renewals fail, the node may be unable to write to the store.
        # Then the node that the user asked commits the cancel (``UserRequests``). The confirmation
        # of a committed cancel needs no write.
        return not self._lease.is_renewal_failing or self._cancels.is_known(managed.job)
