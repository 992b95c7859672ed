"""Job statuses returned to users.

This module determines the status of each job that was accepted before the request; only the final
state returned for a cancel request may come from elsewhere (``user_requests.py``).

Statuses are consistent across nodes: once any node has returned a final state of a job, no request
that arrives later, at any node, gets another state. A state that is not final is therefore returned
only with a proof that no node can have returned a final state before the request arrived; a cached
state is no proof. A final state may be returned from a cache, because it never changes. The state
"cancelled" may be returned before it is recorded as the final state, once the cancel is confirmed
(``cancellations.py``).
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

#: timeout of a query to another controller; a user waits 2 s, and reads of the store need the rest
PEER_QUERY_TIMEOUT_S = 0.6


class Answers:
    """Determines the job statuses that one node may return to users."""

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

    # --- statuses from memory --------------------------------------------------------------

    def answerable_status(self, job: str, found: ProvenStatus | None) -> JobStatus | None:
        """Return the status that users may get for a job, or None if there is none now.

        Each status that this class returns, except UNKNOWN, passes this check last. Between the
        commit of a cancel and its confirmation no status is returned: "cancelled" would be wrong
        if some leader has not applied the cancel, and the state from before the cancel would be
        wrong if another node has already returned "cancelled".

        Parameters
        ----------
        job
            The job's id.
        found
            A status that is not final, with its proof; None if there is no proof.
        """
        if job in self._final_states:
            return JobStatus(self._final_states[job])
        if self._cancels.is_known(job):
            is_confirmed = self._cancellations.is_confirmed(job)
            return JobStatus(JobState.CANCELLED) if is_confirmed else None
        if self._dependencies.has_cancelled_ancestor(job):
            if self._dependencies.may_answer_cancelled(job):
                return JobStatus(JobState.CANCELLED)
            # ``found`` was determined without regard to the ancestor's cancel.
            found = None
        decisions = self._context.decisions
        if found is None:
            decisions.count(Decision.ANSWER, "refused: no proof")
            return None
        decisions.count(Decision.ANSWER, f"by {found.proof.name.lower()}")
        return found.status

    def status_from_memory(self, job: str) -> JobStatus | None:
        """Return the status that users may get for a job from memory, or None if there is none."""
        return self.answerable_status(job, self._managed_status(job))

    def _managed_status(self, job: str) -> ProvenStatus | None:
        """Return the status of a job that this node manages, or None if it cannot be proven."""
        record = self._view.jobs.get(job)
        managed = self._managed_jobs.get(job)
        if record is None or managed is None:
            return None
        if not self._leadership.is_leader(managed.shard_id):
            return None
        if not managed.is_record_known:
            # A commit whose response has not arrived may have recorded the final state, and another
            # node may already have returned that state.
            return None
        if record.is_blocked and not self._dependencies.knows_ancestors(job):
            return None
        done = min(managed.tasks_done, record.spec.task_count)
        running = managed.tasks_running
        state = JobState.RUNNING if running or done else JobState.QUEUED
        return ProvenStatus(JobStatus(state, done, running), Proof.MANAGER)

    # --- lookups ---------------------------------------------------------------------------

    def lookup(self, job: str) -> Coroutine[JobStatus | None]:
        """Return a job's status: UNKNOWN if no such job exists, None if not available now."""
        known = self.status_from_memory(job)
        if known is not None:
            return known
        return (yield from self._lookups.find(job, self.search))

    def search(self, job: str) -> Coroutine[JobStatus | None]:
        """Return the status of a job from its manager, or else from a new read of the store.

        Called for jobs whose status this node may not return from memory. Returns UNKNOWN if no
        such job exists, and None if neither the manager nor the read gives a status that users may
        get. Also starts to propagate a known, unconfirmed cancel of the job in the background.
        """
        record = self._view.jobs.get(job)
        self._cancellations.propagate_in_background(job)
        if record is not None:
            manager = self._leadership.leader_of(record.manager_shard)
            is_elsewhere = manager is not None and manager != self._context.node
            if is_elsewhere and manager is not None and not self._connectivity.is_disconnected():
                reply = yield PeerRequest(manager, QueryJob(job), PEER_QUERY_TIMEOUT_S)
                status = self._accept_peer_reply(job, reply)
                if status is not None:
                    return status
        return (
            yield from self._lookups.read_within_limit(
                self.read_status(job, RequestPriority.LOOKUP)
            )
        )

    def _accept_peer_reply(self, job: str, reply: Any) -> JobStatus | None:
        """Return the status that users may get, given another node's reply to a query.

        A final state in the reply is cached. A malformed reply, or one with the state
        "unknown", gives None.
        """
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
        """Return a job's status from a new read of the store.

        Returns UNKNOWN if no such job exists, and None if there is no status that users may get.
        """
        found = yield from self._reader.read_record(job, priority)
        if found is None or found == UNKNOWN:
            return found
        if job in self._final_states:
            return self.answerable_status(job, None)
        if found.state is JobState.CANCELLED and not self._cancels.is_known(job):
            # The record was read before the job ended, and the view already lacks the record. So
            # the registry has dropped the cancel, but this node has not read the final state.
            return self.answerable_status(job, None)
        record = self._view.jobs.get(job)
        if record is None:
            # The view is newer than the read and lacks the record, so the job's final state is
            # committed. The record that was read proves neither that the job is live nor that no
            # ancestor is cancelled.
            yield from self._reader.read_final(job, priority)
            return self.answerable_status(job, None)
        if record.is_blocked:
            if not (yield from self._dependency_reads.may_answer_blocked(record, priority)):
                return self.answerable_status(job, None)
        managed = self._managed_jobs.get(job)
        done = managed.tasks_done if managed is not None else 0
        state = JobState.RUNNING if done else JobState.QUEUED
        return self.answerable_status(job, ProvenStatus(JobStatus(state, done, 0), Proof.READ))
