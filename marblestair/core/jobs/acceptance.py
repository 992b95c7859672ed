"""Acceptance of jobs: what can never run is refused, the rest is cut into slices and recorded.

A job is accepted by the commit of its record, on condition that neither its record nor its final
state exists. So an id is accepted once, whoever is asked and however often.
"""

from __future__ import annotations

from collections.abc import Container
from typing import Protocol

import msgspec

from marblestair.core.domain.jobs import JobSpec, JobState
from marblestair.core.jobs.admission import AdmissionStage
from marblestair.core.jobs.answers import Answers
from marblestair.core.jobs.eligibility import rejection_reason
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.job_status import UNKNOWN, JobStatus
from marblestair.core.jobs.parents import ParentLookup, ParentsState
from marblestair.core.jobs.record_announcements import RecordAnnouncements
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.state import keys
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.records import MAX_SPEC_SHARE, JobRecord, exceeds_value_limit
from marblestair.core.state.store_view import StoreView

#: submissions under way at once: as many as a node's changes accept within this time, in seconds
ADMITTED_S = 0.75
#: submissions under way at once, at the least
LEAST_ADMITTED = 2
#: share of a node's changes that submissions may count on: the rest is for other things
CHANGES_SHARE = 0.5
#: commits tried for one submission
MOST_TRIES = 3
#: seconds after which a user who was refused for now may come back: usually, without a shard to
#: accept into, and when the store refuses the record itself
RETRY_AFTER_S, NO_SHARD_RETRY_S, REFUSED_RETRY_S = 1, 2, 5
#: parents named in a log line
LOGGED_PARENTS = 8


class Outcome(msgspec.Struct, frozen=True):
    """What a user's request is answered with."""

    http_status: int
    status: JobStatus = UNKNOWN
    error: str = ""
    retry_after_s: int = 0


class SliceAssignment(Protocol):
    """Decides which shard gets which tasks of a new job."""

    def assign(self, spec: JobSpec, manager_shard: int) -> dict[str, list[list[int]]]:
        """Ranges of task numbers by shard."""


class Acceptance:
    """Submissions at one node."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        catalog: MachineCatalog,
        summaries: ReceivedSummaries,
        assignment: SliceAssignment,
        guaranteed_jobs: Container[str],
        final_states: FinalStates,
        answers: Answers,
        parents: ParentLookup,
        announcements: RecordAnnouncements,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._catalog = catalog
        self._summaries = summaries
        self._assignment = assignment
        self._guaranteed_jobs = guaranteed_jobs
        self._final_states = final_states
        self._answers = answers
        self._parents = parents
        self._announcements = announcements
        settings = context.settings
        changes_per_s = settings.cluster.state.write_rps / len(settings.nodes)
        self._stage = AdmissionStage(
            max(LEAST_ADMITTED, round(ADMITTED_S * changes_per_s)),
            max(1.0, CHANGES_SHARE * changes_per_s),
        )

    def submit(self, spec: JobSpec) -> Coroutine[Outcome]:
        """Accept or refuse a job, or answer with the state of one that is known."""
        if spec.id in self._final_states or spec.id in self._view.jobs:
            return (yield from self._known(spec.id))
        if not self._catalog.types:
            return Outcome(503, UNKNOWN, "machine types are not known yet", RETRY_AFTER_S)
        reason = self._rejection_reason(spec)
        if reason is not None:
            return (yield from self._reject(spec, reason))
        if spec.depends_on:
            return (yield from self._submit_dependent(spec))
        return (yield from self._admit(spec))

    def _submit_dependent(self, spec: JobSpec) -> Coroutine[Outcome]:
        """Accept or refuse a job that depends on others."""
        parents = yield from self._parents.find(spec.depends_on)
        if parents.state is ParentsState.UNDECIDED:
            return Outcome(
                503, UNKNOWN, f"nothing known of {parents.deciding_job} yet", RETRY_AFTER_S
            )
        if parents.state is ParentsState.UNKNOWN:
            reason = f"it awaits {parents.deciding_job}, which was never accepted"
            return (yield from self._reject(spec, reason))
        # What is done stays done: only the others need be remembered.
        dependent = msgspec.structs.replace(spec, depends_on=parents.unfinished)
        if parents.state is ParentsState.CANCELLED:
            return (yield from self._accept_cancelled(dependent, parents.deciding_job))
        if self._is_too_large(dependent):
            # Fewer are left to depend on before long.
            error = "it awaits more unfinished jobs than can be kept"
            return Outcome(503, UNKNOWN, error, REFUSED_RETRY_S)
        return (yield from self._admit(dependent))

    def _admit(self, spec: JobSpec) -> Coroutine[Outcome]:
        """Accept a job if the stage of commits has a place for it."""
        manager_shard = self._choose_manager_shard()
        if manager_shard is None:
            return Outcome(503, UNKNOWN, "no part to accept into", NO_SHARD_RETRY_S)
        if not self._stage.enter():
            return Outcome(429, UNKNOWN, "too many submissions", self._stage.retry_after())
        try:
            return (yield from self._accept(spec, manager_shard))
        finally:
            self._stage.leave()

    def _known(self, job: str) -> Coroutine[Outcome]:
        status = yield from self._answers.lookup(job)
        if status is None or status == UNKNOWN:
            return Outcome(503, UNKNOWN, "state not available", RETRY_AFTER_S)
        return Outcome(200, status)

    def _rejection_reason(self, spec: JobSpec) -> str | None:
        """Why a job can never run; None if it can."""
        machine_types = list(self._catalog.types.values())
        reason = rejection_reason(spec, self._context.teams, machine_types)
        if reason is not None:
            return reason
        if self._is_too_large(msgspec.structs.replace(spec, depends_on=[])):
            return "the description is larger than what can be kept"
        return None

    def _is_too_large(self, spec: JobSpec) -> bool:
        value_kb = self._context.settings.cluster.state.value_kb
        return exceeds_value_limit(JobRecord(spec, 0, {}, []), value_kb, MAX_SPEC_SHARE)

    def _reject(self, spec: JobSpec, reason: str) -> Coroutine[Outcome]:
        """Refuse a job for good, unless it was accepted before: then it is known."""
        status = yield from self._answers.lookup(spec.id)
        if status is None:
            return Outcome(503, UNKNOWN, "state service unavailable", RETRY_AFTER_S)
        if status != UNKNOWN:
            return Outcome(200, status)
        self._context.log(
            "info", f"refused {spec.id} of {spec.job_class} for {spec.team}: {reason}"
        )
        return Outcome(422, UNKNOWN, reason)

    def _choose_manager_shard(self) -> int | None:
        """Choose the shard whose leader is to run a new job's ServerManager.

        It is one that this node leads or, where it leads none, one of whose leader a summary came
        just now. A job is accepted by the commit of its record, which needs no leadership of the
        shard; its leader finds the record by its watch.
        """
        shard_ids = [shard.shard_id for shard in self._leadership.led_shards()]
        shard_map = self._view.shard_map
        is_authorized = self._leadership.is_authorized(self._context.now)
        if not shard_ids and is_authorized and shard_map is not None:
            shard_ids = [
                shard_id
                for shard_id, shard in enumerate(shard_map.shards)
                if self._summaries.is_recent(shard_id, shard.term)
            ]
        if not shard_ids:
            return None
        return shard_ids[self._context.rng.randrange(len(shard_ids))]

    def _accept(self, spec: JobSpec, manager_shard: int) -> Coroutine[Outcome]:
        dated = msgspec.structs.replace(spec, accepted_at=round(self._context.wall_time, 3))
        slices = self._assignment.assign(spec, manager_shard)
        record = JobRecord(dated, manager_shard, slices, [])
        for _ in range(MOST_TRIES):
            if not self._leadership.is_authorized(self._context.now):
                return Outcome(503, UNKNOWN, "no authority", RETRY_AFTER_S)
            swap = self._acceptance(record)
            response: StoreResponse = yield swap
            if response.status == 200:
                self._view.apply_commit(swap, response.revision)
                self._view.publish_changes()
                self._announcements.announce(spec.id)
                self._log_accepted(spec, record)
                return Outcome(201, JobStatus(JobState.QUEUED, 0, 0))
            if response.status == 400:
                return Outcome(503, UNKNOWN, "not accepted", REFUSED_RETRY_S)
            if response.status not in (0, 409):
                break
            # Perhaps an earlier try of ours, or of the user by way of another node.
            status = yield from self._answers.read_status(spec.id)
            if status is None:
                break
            if status != UNKNOWN:
                return Outcome(200, status)
        return Outcome(503, UNKNOWN, "state service unavailable", RETRY_AFTER_S)

    def _acceptance(self, record: JobRecord) -> CompareAndSwap:
        """The commit that accepts a job."""
        key = keys.JOBS + record.spec.id
        preconditions = [
            (key, 0),
            (keys.FINAL_STATES + record.spec.id, 0),
            self._leadership.fence_precondition(record.manager_shard),
        ]
        return CompareAndSwap(preconditions, [Put(key, record)], [], RequestPriority.ACCEPTANCE)

    def _accept_cancelled(self, spec: JobSpec, parent: str) -> Coroutine[Outcome]:
        """Accept a job that depends on a cancelled one: it is over from the start."""
        if not self._leadership.is_authorized(self._context.now):
            return Outcome(503, UNKNOWN, "no authority", RETRY_AFTER_S)
        final_key = keys.FINAL_STATES + spec.id
        swap = CompareAndSwap(
            [(keys.JOBS + spec.id, 0), (final_key, 0)],
            [Put(final_key, JobState.CANCELLED)],
            [],
            RequestPriority.ACCEPTANCE,
        )
        response: StoreResponse = yield swap
        if response.status == 200:
            self._final_states.record(spec.id, JobState.CANCELLED)
            self._context.log("info", f"accepted {spec.id} as cancelled, like {parent} before it")
            return Outcome(201, JobStatus(JobState.CANCELLED))
        if response.status in (0, 409):
            # Perhaps an earlier try of ours, or of the user by way of another node.
            status = yield from self._answers.read_status(spec.id)
            if status is not None and status != UNKNOWN:
                return Outcome(200, status)
        return Outcome(503, UNKNOWN, "not accepted yet", RETRY_AFTER_S)

    def _log_accepted(self, spec: JobSpec, record: JobRecord) -> None:
        sizes = {
            shard_id: sum(end - start for start, end in ranges)
            for shard_id, ranges in record.slices.items()
        }
        guarantee = ", within its guarantee" if spec.id in self._guaranteed_jobs else ""
        self._context.log(
            "info",
            f"accepted {spec.id}: {spec.kind} of {spec.job_class} for {spec.team},"
            f" tasks by shard {sizes}{guarantee}{_dependencies(spec)}",
        )


def _dependencies(spec: JobSpec) -> str:
    """What a job depends on, for the log."""
    if not spec.depends_on:
        return ""
    more = ", ..." if len(spec.depends_on) > LOGGED_PARENTS else ""
    return f", depends on {', '.join(spec.depends_on[:LOGGED_PARENTS])}{more}"
