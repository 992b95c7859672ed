"""What users may be told of a job: the one place that every answer about a state comes from.

An answer never goes back: once any node has told a final state of a job, no answer to a request
that began later, at any node, is another one. So a state that is not final is told only with a
proof that no final state can have been told before the request came in; what a node merely
remembers is none. Final states are told once they are committed, and may be remembered.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core.domain.jobs import FINAL_STATES, JobState
from marblestair.core.jobs.lookups import Lookups
from marblestair.core.runtime.coroutines import Step
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import Get, Lane, StoreResponse
from marblestair.core.state import keys
from marblestair.core.state.records import JobRecord

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: time for another controller to answer a query, within the 2 s that a user waits; what is left
#: of them is for the state service
QUERY_PEER_S = 0.6
#: final states remembered per node; others are read from the state service
REMEMBERED = 20_000


class JobStatus(msgspec.Struct, frozen=True, array_like=True):
    """What users are told of a job: its state, and for display its tasks done and running."""

    state: JobState
    done: int | None = None
    running: int | None = None

    @property
    def is_final(self) -> bool:
        """Whether the job is over for good."""
        return self.state in FINAL_STATES


UNKNOWN = JobStatus(JobState.UNKNOWN)


class Proof(enum.Enum):
    """Why a status is not older than anything that was told before the request came in."""

    #: the owner of the job's manager part acts, and no change of the record that it sent is on
    #: its way or in doubt: it alone can commit a final state
    MANAGER = enum.auto()
    #: a read of the state service, sent after the request came in
    READ = enum.auto()
    #: another node had such a proof when it was asked, after the request came in
    PEER = enum.auto()


class ProvenStatus(msgspec.Struct, frozen=True):
    """A status that is not final, with its proof."""

    status: JobStatus
    proof: Proof


class Answers:
    """What one node may tell of jobs."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self.final_states: OrderedDict[str, JobState] = OrderedDict()
        state = controller.settings.cluster.state
        self.lookups = Lookups(
            controller.coroutines, self, state.rps / len(controller.settings.nodes)
        )

    def record_final(self, job: str, state: JobState) -> None:
        """Remember a job's final state."""
        if job not in self.final_states and self.controller.dependencies.has_dependents(job):
            self.controller.decisions.note(
                self.controller.now,
                Decision.END,
                state,
                job=job,
                view_rev=self.controller.view.revision,
            )
        self.final_states[job] = state
        while len(self.final_states) > REMEMBERED:
            self.final_states.popitem(last=False)
        self.controller.dependencies.parent_ended(job, state)

    def answerable_status(self, job: str, found: ProvenStatus | None) -> JobStatus | None:
        """What may be told of a job that was found in a status; None when nothing may be.

        Every answer to a user, whatever the request, passes here last. Between the commit of a
        cancel and its confirmation neither "cancelled" nor what was before is told: another node
        may have told the one already, and the other is not so yet.
        """
        if job in self.final_states:
            return JobStatus(self.final_states[job])
        if self.controller.cancellations.is_known(job):
            return (
                JobStatus(JobState.CANCELLED)
                if self.controller.cancellations.is_confirmed(job)
                else None
            )
        pipelines = self.controller.dependencies
        if pipelines.has_cancelled_ancestor(job):
            if pipelines.may_answer_cancelled(job):
                return JobStatus(JobState.CANCELLED)
            # Whatever was found, here or by another node, rests on an older view than this one.
            found = None
        decisions = self.controller.decisions
        if found is None:
            decisions.count(Decision.ANSWER, "refused: no proof")
            return None
        decisions.count(Decision.ANSWER, f"by {found.proof.name.lower()}")
        return found.status

    def status_from_memory(self, job: str) -> JobStatus | None:
        """The status of a job if this node may tell it from memory."""
        return self.answerable_status(job, self._managed_status(job))

    def _managed_status(self, job: str) -> ProvenStatus | None:
        controller = self.controller
        record = controller.view.jobs.get(job)
        managed = controller.job_managers.managed.get(job)
        if record is None or managed is None or not controller.is_leader(managed.shard_id):
            return None
        if not managed.is_record_known:
            # The end may be committed already, and others may have told it.
            return None
        if record.is_blocked and not controller.dependencies.knows_ancestors(job):
            return None
        done = min(managed.tasks_done, record.spec.task_count)
        running = managed.tasks_running
        state = JobState.RUNNING if running or done else JobState.QUEUED
        return ProvenStatus(JobStatus(state, done, running), Proof.MANAGER)

    def lookup(self, job: str) -> Step:
        """The status of any job: UNKNOWN, or None when it cannot be told now."""
        local = self.status_from_memory(job)
        if local is not None:
            return local
        return (yield from self.lookups.find_status(job))

    def search(self, job: str) -> Step:
        """The status of a job that this node does not manage, from its manager or a fresh read."""
        controller = self.controller
        record = controller.view.jobs.get(job)
        controller.cancellations.propagate_in_background(job)
        if record is not None:
            owner = controller.leader_of(record.manager_shard)
            if owner is not None and owner != controller.node and not controller.is_cut_off():
                answer = yield PeerRequest(owner, "query", [job], QUERY_PEER_S)
                told = self._accept_peer_answer(job, answer)
                if told is not None:
                    return told
        return (yield from self.lookups.read_status(job))

    def _accept_peer_answer(self, job: str, answer: Any) -> JobStatus | None:
        """Take in what another node said of a job when it was asked."""
        try:
            status = msgspec.convert(answer, JobStatus)
        except msgspec.ValidationError:
            return None
        if status.state is JobState.UNKNOWN:
            return None
        if status.is_final:
            self.record_final(job, status.state)
        return self.answerable_status(job, ProvenStatus(status, Proof.PEER))

    def read_status(self, job: str, lane: Lane = Lane.ACCEPTANCE) -> Step:
        """A job's status from a fresh read: UNKNOWN, or None when it cannot be told now."""
        controller = self.controller
        found = yield from self.read_record(job, lane)
        if found is None or found == UNKNOWN:
            return found
        if job in self.final_states:
            return self.answerable_status(job, None)
        if found.state is JobState.CANCELLED and not controller.cancellations.is_known(job):
            # The record was read before the job ended, and the view is past its end: its entry
            # is forgotten, and its final state is not read yet.
            return self.answerable_status(job, None)
        record = controller.view.jobs.get(job)
        if record is None:
            # The view is past the end of the job: what was read is no proof, least of all that no
            # ancestor is cancelled. The final state is committed.
            yield from self._read_final(job, lane)
            return self.answerable_status(job, None)
        if record.is_blocked:
            if not (yield from controller.dependencies.may_answer_blocked(record, lane)):
                return self.answerable_status(job, None)
        managed = controller.job_managers.managed.get(job)
        done = managed.tasks_done if managed is not None else 0
        state = JobState.RUNNING if done else JobState.QUEUED
        return self.answerable_status(job, ProvenStatus(JobStatus(state, done, 0), Proof.READ))

    def read_record(self, job: str, lane: Lane = Lane.ACCEPTANCE) -> Step:
        """Read a job's record or final state afresh.

        Returns the status as kept, UNKNOWN, or None when it could not be read. What is read
        is taken into the view; whether it may be told is for the caller to ask.
        """
        controller = self.controller
        if controller.is_cut_off():
            return None
        response: StoreResponse = yield Get(keys.JOBS + job, lane)
        if response.status == 200:
            controller.view.record_read(keys.JOBS + job, response.value, response.version)
            controller.sync()
            record = msgspec.convert(response.value, JobRecord)
            return JobStatus(JobState.CANCELLED if record.is_cancelled else JobState.QUEUED)
        if response.status != 404:
            return None
        controller.view.record_absence(keys.JOBS + job, response.revision)
        controller.sync()
        # In this order: a job that ends between the two reads moves from the first key to the
        # second.
        return (yield from self._read_final(job, lane))

    def _read_final(self, job: str, lane: Lane) -> Step:
        """Read a job's final state; UNKNOWN if it has none, None when it could not be read."""
        read: StoreResponse = yield Get(keys.FINALS + job, lane)
        if read.status == 200 and read.value in FINAL_STATES:
            self.record_final(job, JobState(read.value))
            return JobStatus(JobState(read.value))
        return UNKNOWN if read.status == 404 else None

    def read_final_first(self, job: str, lane: Lane) -> Step:
        """Look first for a job's final state, then for its record, by fresh reads.

        UNKNOWN, or None when that could not be told. A job that the view lacks is most often over.
        """
        if self.controller.is_cut_off():
            return None
        final = yield from self._read_final(job, lane)
        if final != UNKNOWN:
            return final
        # Between the two reads it may have ended: the next one looks for both, in that order.
        return (yield from self.read_record(job, lane))

    def refresh_record(self, job: str) -> Step:
        """Read a job's record afresh; whether that succeeded."""
        return (yield from self.read_record(job)) is not None
