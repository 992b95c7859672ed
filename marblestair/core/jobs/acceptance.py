"""Acceptance of submitted jobs.

A job is refused if it can never run, if its description is too large to be stored, or if it depends
on a job that was never accepted. Any other job is accepted by a commit to the store. The commit
writes the job's record with its slices, or the final state "cancelled" if a job that it depends on
is cancelled. The commit fails if a record or a final state exists for the job's id, so an id is
accepted at most once, however often it is submitted and to however many controllers.
"""

from __future__ import annotations

from collections.abc import Container
from typing import Protocol

import msgspec

from marblestair.core.domain.jobs import JobSpec, JobState
from marblestair.core.jobs.admission import AdmissionLimiter
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

#: the limit on concurrent submissions is the number of writes that this node's share of the store's
#: write rate allows in this time
SUBMISSION_WINDOW_S = 0.75
#: lower bound of the limit on concurrent submissions
MIN_IN_FLIGHT_SUBMISSIONS = 2
#: expected share of submissions in a node's write rate, from which the Retry-After time of
#: submissions is computed; other writes use the rest
SUBMISSION_WRITE_SHARE = 0.5
#: maximum number of attempts to commit the record of one submission
MAX_COMMIT_TRIES = 3
#: Retry-After times: by default; when no shard can manage the job; and when the store rejected the
#: record or the job has too many unfinished parents for the record to fit
RETRY_AFTER_S, NO_SHARD_RETRY_AFTER_S, STORE_REFUSED_RETRY_AFTER_S = 1, 2, 5
#: maximum number of parents listed in a log line
MAX_LOGGED_PARENTS = 8


class Outcome(msgspec.Struct, frozen=True):
    """The response to a user's request."""

    http_status: int
    status: JobStatus = UNKNOWN
    error: str = ""
    retry_after_s: int = 0


class SliceAssignment(Protocol):
    """Assigns the tasks of a new job to shards."""

    def assign(self, spec: JobSpec, manager_shard: int) -> dict[str, list[list[int]]]:
        """Return the ranges of task indexes that each shard gets, by shard."""


class Acceptance:
    """Accepts or refuses the jobs that users submit to one node."""

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
        writes_per_s = settings.cluster.state.write_rps / len(settings.nodes)
        self._limiter = AdmissionLimiter(
            max(MIN_IN_FLIGHT_SUBMISSIONS, round(SUBMISSION_WINDOW_S * writes_per_s)),
            max(1.0, SUBMISSION_WRITE_SHARE * writes_per_s),
        )

    def submit(self, spec: JobSpec) -> Coroutine[Outcome]:
        """Accept or refuse a job; return its current status if it was accepted before."""
        if spec.id in self._final_states or spec.id in self._view.jobs:
            return (yield from self._answer_known_job(spec.id))
        if not self._catalog.types:
            return Outcome(503, UNKNOWN, "machine types are not known yet", RETRY_AFTER_S)
        reason = self._rejection_reason(spec)
        if reason is not None:
            return (yield from self._reject(spec, reason))
        if spec.depends_on:
            return (yield from self._submit_dependent(spec))
        return (yield from self._admit(spec))

    def _submit_dependent(self, spec: JobSpec) -> Coroutine[Outcome]:
        """Accept or refuse a job that depends on other jobs."""
        parents = yield from self._parents.find(spec.depends_on)
        if parents.state is ParentsState.UNDECIDED:
            return Outcome(
                503, UNKNOWN, f"nothing known of {parents.deciding_job} yet", RETRY_AFTER_S
            )
        if parents.state is ParentsState.UNKNOWN:
            reason = f"it awaits {parents.deciding_job}, which was never accepted"
            return (yield from self._reject(spec, reason))
        # The state "done" never changes, so the record needs only the unfinished parents.
        dependent = msgspec.structs.replace(spec, depends_on=parents.unfinished)
        if parents.state is ParentsState.CANCELLED:
            return (yield from self._accept_cancelled(dependent, parents.deciding_job))
        if self._is_too_large(dependent):
            # A later submission may fit: the record does not list parents that are done by then.
            error = "it awaits more unfinished jobs than can be kept"
            return Outcome(503, UNKNOWN, error, STORE_REFUSED_RETRY_AFTER_S)
        return (yield from self._admit(dependent))

    def _admit(self, spec: JobSpec) -> Coroutine[Outcome]:
        """Accept a job unless no shard can manage it or too many submissions are in progress."""
        manager_shard = self._choose_manager_shard()
        if manager_shard is None:
            return Outcome(503, UNKNOWN, "no part to accept into", NO_SHARD_RETRY_AFTER_S)
        if not self._limiter.try_acquire():
            return Outcome(429, UNKNOWN, "too many submissions", self._limiter.retry_after_s())
        try:
            return (yield from self._accept(spec, manager_shard))
        finally:
            self._limiter.release()

    def _answer_known_job(self, job: str) -> Coroutine[Outcome]:
        """Return the status of a job accepted before; ask for a retry if it is not available."""
        status = yield from self._answers.lookup(job)
        if status is None or status == UNKNOWN:
            return Outcome(503, UNKNOWN, "state not available", RETRY_AFTER_S)
        return Outcome(200, status)

    def _rejection_reason(self, spec: JobSpec) -> str | None:
        """Return why a job can never be accepted, or None if it can."""
        machine_types = list(self._catalog.types.values())
        reason = rejection_reason(spec, self._context.teams, machine_types)
        if reason is not None:
            return reason
        if self._is_too_large(msgspec.structs.replace(spec, depends_on=[])):
            return "the description is larger than what can be kept"
        return None

    def _is_too_large(self, spec: JobSpec) -> bool:
        """Whether a job's record without slices exceeds ``MAX_SPEC_SHARE`` of the value limit."""
        value_kb = self._context.settings.cluster.state.value_kb
        return exceeds_value_limit(JobRecord(spec, 0, {}, []), value_kb, MAX_SPEC_SHARE)

    def _reject(self, spec: JobSpec, reason: str) -> Coroutine[Outcome]:
        """Refuse a job permanently, unless it was accepted before.

        Returns the job's status if it was accepted, and asks for a retry if this is not known.
        """
        status = yield from self._answers.lookup(spec.id)
        if status is None:
            return Outcome(503, UNKNOWN, "state service unavailable", RETRY_AFTER_S)
        if status != UNKNOWN:
            return Outcome(200, status)
        self._context.log(
            "info", f"refused {spec.id}: class={spec.job_class} team={spec.team}: {reason}"
        )
        return Outcome(422, UNKNOWN, reason)

    def _choose_manager_shard(self) -> int | None:
        """Choose the shard whose leader is to run a new job's ServerManager.

        Chooses at random among the shards that this node leads. If it leads none but is authorized
        to act, it chooses among the shards whose current leaders have sent a recent summary: the
        chosen shard's leader gets the record by its watch. Returns None if no shard qualifies.
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
        """Commit the record of a new job."""
        dated = msgspec.structs.replace(spec, accepted_at=round(self._context.wall_time, 3))
        slices = self._assignment.assign(spec, manager_shard)
        record = JobRecord(dated, manager_shard, slices, [])
        for _ in range(MAX_COMMIT_TRIES):
            if not self._leadership.is_authorized(self._context.now):
                return Outcome(503, UNKNOWN, "no authority", RETRY_AFTER_S)
            swap = self._acceptance_swap(record)
            response: StoreResponse = yield swap
            if response.status == 200:
                self._view.apply_commit(swap, response.revision)
                self._view.publish_changes()
                self._announcements.announce(spec.id)
                self._log_accepted(spec, record)
                return Outcome(201, JobStatus(JobState.QUEUED, 0, 0))
            if response.status == 400:
                return Outcome(503, UNKNOWN, "not accepted", STORE_REFUSED_RETRY_AFTER_S)
            if response.status not in (0, 409):
                break
            # No response (0): this commit may have been applied. Conflict (409): an earlier attempt
            # of this node, or a submission to another node, may have created the record or a final
            # state; or the shard has a new leader.
            status = yield from self._answers.read_status(spec.id)
            if status is None:
                break
            if status != UNKNOWN:
                return Outcome(200, status)
        return Outcome(503, UNKNOWN, "state service unavailable", RETRY_AFTER_S)

    def _acceptance_swap(self, record: JobRecord) -> CompareAndSwap:
        """Return the compare-and-swap that accepts a job."""
        key = keys.JOBS + record.spec.id
        preconditions = [
            (key, 0),
            (keys.FINAL_STATES + record.spec.id, 0),
            self._leadership.fence_precondition(record.manager_shard),
        ]
        return CompareAndSwap(preconditions, [Put(key, record)], [], RequestPriority.ACCEPTANCE)

    def _accept_cancelled(self, spec: JobSpec, parent: str) -> Coroutine[Outcome]:
        """Accept a job with a cancelled parent by recording its final state "cancelled"."""
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
            self._context.log(
                "info", f"accepted {spec.id} as cancelled: parent={parent} is cancelled"
            )
            return Outcome(201, JobStatus(JobState.CANCELLED))
        if response.status in (0, 409):
            # No response (0): this commit may have been applied. Conflict (409): the job was
            # accepted by an earlier submission, to this node or to another one.
            status = yield from self._answers.read_status(spec.id)
            if status is not None and status != UNKNOWN:
                return Outcome(200, status)
        return Outcome(503, UNKNOWN, "not accepted yet", RETRY_AFTER_S)

    def _log_accepted(self, spec: JobSpec, record: JobRecord) -> None:
        sizes = {
            shard_id: sum(end - start for start, end in ranges)
            for shard_id, ranges in record.slices.items()
        }
        guarantee = (
            ", within the team's guaranteed quota" if spec.id in self._guaranteed_jobs else ""
        )
        self._context.log(
            "info",
            f"accepted {spec.id}: kind={spec.kind} class={spec.job_class} team={spec.team}"
            f" tasks_by_shard={sizes}{guarantee}{_format_dependencies(spec)}",
        )


def _format_dependencies(spec: JobSpec) -> str:
    """Return the part of a log line that lists a job's parents; empty if it has none."""
    if not spec.depends_on:
        return ""
    more = ", ..." if len(spec.depends_on) > MAX_LOGGED_PARENTS else ""
    return f", depends on {', '.join(spec.depends_on[:MAX_LOGGED_PARENTS])}{more}"
