"""Users' requests: submission, query and cancel of a job, each ended by one reply."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marblestair.core.domain.jobs import FINAL_STATES, JobSpec, JobState
from marblestair.core.jobs.acceptance import RETRY_S, Acceptance, Outcome
from marblestair.core.jobs.answers import UNKNOWN, JobStatus
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.requests import PeerRequest

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: time for another controller to answer a cancel, within the 5 s that a user waits; what is left
#: of them is for the state service
CANCEL_PEER_S = 2.5
#: time for the owners of slices to apply a cancel that is entered by way of the record
SETTLE_S = 1.0


class UserRequests:
    """The requests of users at one node."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        self._acceptance = Acceptance(controller)

    def submit(self, request: int, spec: JobSpec) -> Coroutine:
        """POST of a job."""
        outcome: Outcome = yield from self._acceptance.submit(spec)
        self._reply(request, spec.id, outcome)

    def query(self, request: int, job: str) -> Coroutine:
        """GET of a job."""
        status: JobStatus | None = yield from self._controller.answers.lookup(job)
        if status is None:
            outcome = Outcome(503, UNKNOWN, "state not available", RETRY_S)
        elif status == UNKNOWN:
            outcome = Outcome(404, UNKNOWN, "no such job")
        else:
            outcome = Outcome(200, status)
        self._reply(request, job, outcome)

    def cancel(self, request: int, job: str) -> Coroutine:
        """POST of a cancel."""
        outcome: Outcome = yield from self._cancel(job)
        self._reply(request, job, outcome)

    def _cancel(self, job: str) -> Step:
        controller = self._controller
        answers = controller.answers
        if job not in answers.final_states and job not in controller.view.jobs:
            yield from answers.read_record(job)
        if job in answers.final_states:
            return Outcome(200, JobStatus(answers.final_states[job]))
        final: JobState | None = None
        if not controller.is_cut_off():
            if job in controller.view.jobs:
                final = yield from self._cancel_live(job)
            else:
                status: JobStatus | None = yield from answers.lookup(job)
                if status == UNKNOWN:
                    return Outcome(404, UNKNOWN, "no such job")
                if status is not None and status.is_final:
                    final = status.state
        if final is None:
            return Outcome(503, UNKNOWN, "not cancelled yet", RETRY_S)
        return Outcome(200, JobStatus(final))

    def _cancel_live(self, job: str) -> Step:
        """Have a job cancelled whose record is in the view: its final state, or None for now."""
        controller = self._controller
        known: JobStatus | None = controller.answers.answerable_status(job, None)
        if known is not None:
            return known.state
        owner = controller.leader_of(controller.view.jobs[job].manager_shard)
        answer: Any = None
        if owner == controller.node:
            answer = yield from controller.job_managers.cancel_managed(job)
        elif owner is not None:
            answer = yield PeerRequest(owner, "cancel", [job], CANCEL_PEER_S)
        if answer in FINAL_STATES:
            return JobState(answer)
        if owner == controller.node:
            return None
        # The manager is not heard, or cannot write: by way of the record.
        if not controller.cancellations.is_known(job):
            yield from controller.cancellations.commit_entry(job)
        if (yield from controller.cancellations.await_confirmation(job, SETTLE_S)):
            return JobState.CANCELLED
        return controller.answers.final_states.get(job)

    def _reply(self, request: int, job: str, outcome: Outcome) -> None:
        status = outcome.status
        self._controller.replies.append(
            UserReply(
                request,
                outcome.http_status,
                job,
                status.state,
                status.done,
                status.running,
                outcome.error,
                outcome.retry_after_s,
            )
        )
