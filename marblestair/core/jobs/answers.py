"""What users may be answered about a job: the one place that every such answer comes from.

An answer never goes back: once any node has answered with a final state of a job, no answer to a
request that began later, at any node, is another one. So a state that is not final is given only
with a proof that no final state can have been given before the request came in; what a node merely
remembers is none. Final states are given once they are committed, and may be remembered.
"""

from __future__ import annotations

from typing import Any

import msgspec

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.dependency_reads import DependencyReads
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.job_status import UNKNOWN, JobStatus, Proof, ProvenStatus
from marblestair.core.jobs.lookups import Lookups
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.messages import QueryJob
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import RequestPriority
from marblestair.core.state.store_view import StoreView

#: time for another controller to reply to a query, within the 2 s that a user waits; what is left
#: of them is for the store
QUERY_PEER_S = 0.6


class Answers:
    """What one node may answer about jobs."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        connectivity: Connectivity,
        final_states: FinalStates,
        cancels: CancelRegistry,
        cancellations: Cancellations,
        dependencies: DependencyGraph,
        dependency_reads: DependencyReads,
        managed_jobs: dict[str, ManagedJob],
        reader: RecordReader,
        lookups: Lookups,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._connectivity = connectivity
        self._final_states = final_states
        self._cancels = cancels
        self._cancellations = cancellations
        self._dependencies = dependencies
        self._dependency_reads = dependency_reads
        self._managed_jobs = managed_jobs
        self._reader = reader
        self._lookups = lookups

    # --- what may be answered --------------------------------------------------------------

    def answerable_status(self, job: str, found: ProvenStatus | None) -> JobStatus | None:
        """What may be answered about a job that was found in a status; None when nothing may be.

        Every answer to a user, whatever the request, passes here last. Between the commit of a
        cancel and its confirmation neither "cancelled" nor what was before is answered: another
        node may have answered the one already, and the other is not so yet.
        """
        if job in self._final_states:
            return JobStatus(self._final_states[job])
        if self._cancels.is_known(job):
            is_confirmed = self._cancellations.is_confirmed(job)
            return JobStatus(JobState.CANCELLED) if is_confirmed else None
        if self._dependencies.has_cancelled_ancestor(job):
            if self._dependencies.may_answer_cancelled(job):
                return JobStatus(JobState.CANCELLED)
            # Whatever was found, here or by another node, rests on an older view than this one.
            found = None
        decisions = self._context.decisions
        if found is None:
            decisions.count(Decision.ANSWER, "refused: no proof")
            return None
        decisions.count(Decision.ANSWER, f"by {found.proof.name.lower()}")
        return found.status

    def status_from_memory(self, job: str) -> JobStatus | None:
        """The status of a job if this node may answer it from memory."""
        return self.answerable_status(job, self._managed_status(job))

    def _managed_status(self, job: str) -> ProvenStatus | None:
        record = self._view.jobs.get(job)
        managed = self._managed_jobs.get(job)
        if record is None or managed is None:
            return None
        if not self._leadership.is_leader(managed.shard_id):
            return None
        if not managed.is_record_known:
            # The end may be committed already, and others may have answered with it.
            return None
        if record.is_blocked and not self._dependencies.knows_ancestors(job):
            return None
        done = min(managed.tasks_done, record.spec.task_count)
        running = managed.tasks_running
        state = JobState.RUNNING if running or done else JobState.QUEUED
        return ProvenStatus(JobStatus(state, done, running), Proof.MANAGER)

    # --- lookups ---------------------------------------------------------------------------

    def lookup(self, job: str) -> Coroutine[JobStatus | None]:
        """The status of any job: UNKNOWN, or None when it cannot be given now."""
        known = self.status_from_memory(job)
        if known is not None:
            return known
        return (yield from self._lookups.find(job, self.search))

    def search(self, job: str) -> Coroutine[JobStatus | None]:
        """The status of a job that this node does not manage, from its manager or a new read."""
        record = self._view.jobs.get(job)
        self._cancellations.propagate_in_background(job)
        if record is not None:
            manager = self._leadership.leader_of(record.manager_shard)
            is_elsewhere = manager is not None and manager != self._context.node
            if is_elsewhere and manager is not None and not self._connectivity.is_disconnected():
                reply = yield PeerRequest(manager, QueryJob(job), QUERY_PEER_S)
                status = self._accept_peer_answer(job, reply)
                if status is not None:
                    return status
        return (
            yield from self._lookups.read_within_limit(
                self.read_status(job, RequestPriority.LOOKUP)
            )
        )

    def _accept_peer_answer(self, job: str, reply: Any) -> JobStatus | None:
        """Take in what another node said of a job when it was asked."""
        try:
            status = msgspec.convert(reply, JobStatus)
        except msgspec.ValidationError:
            return None
        if status.state is JobState.UNKNOWN:
            return None
        if status.is_final:
            self._final_states.record(job, status.state)
        return self.answerable_status(job, ProvenStatus(status, Proof.PEER))

    def read_status(
        self, job: str, priority: RequestPriority = RequestPriority.ACCEPTANCE
    ) -> Coroutine[JobStatus | None]:
        """A job's status from a new read: UNKNOWN, or None when it cannot be given now."""
        found = yield from self._reader.read_record(job, priority)
        if found is None or found == UNKNOWN:
            return found
        if job in self._final_states:
            return self.answerable_status(job, None)
        if found.state is JobState.CANCELLED and not self._cancels.is_known(job):
            # The record was read before the job ended, and the view is past its end: its entry
            # is forgotten, and its final state is not read yet.
            return self.answerable_status(job, None)
        record = self._view.jobs.get(job)
        if record is None:
            # The view is past the end of the job: what was read is no proof, least of all that no
            # ancestor is cancelled. The final state is committed.
            yield from self._reader.read_final(job, priority)
            return self.answerable_status(job, None)
        if record.is_blocked:
            if not (yield from self._dependency_reads.may_answer_blocked(record, priority)):
                return self.answerable_status(job, None)
        managed = self._managed_jobs.get(job)
        done = managed.tasks_done if managed is not None else 0
        state = JobState.RUNNING if done else JobState.QUEUED
        return self.answerable_status(job, ProvenStatus(JobStatus(state, done, 0), Proof.READ))
