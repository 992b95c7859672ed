"""User requests: submission, query and cancel of a job, each with exactly one reply."""

from __future__ import annotations

from typing import Any

from marblestair.core.domain.jobs import FINAL_STATES, JobSpec, JobState
from marblestair.core.jobs.acceptance import RETRY_AFTER_S, Acceptance, Outcome
from marblestair.core.jobs.answers import Answers
from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.job_managers import JobManagers
from marblestair.core.jobs.job_status import UNKNOWN, JobStatus
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.messages import CancelJob
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.state.store_view import StoreView

#: time for another controller to reply to a cancel, out of the 5 s that a user waits; the rest is
#: left for requests to the store
CANCEL_PEER_TIMEOUT_S = 2.5
#: time for the confirmation of a committed cancel by this node, after the job's manager has not
#: got the cancel confirmed
CONFIRMATION_TIMEOUT_S = 1.0


class UserRequests:
    """Handles the requests of users at one node."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        connectivity: Connectivity,
        acceptance: Acceptance,
        answers: Answers,
        final_states: FinalStates,
        cancels: CancelRegistry,
        cancellations: Cancellations,
        job_managers: JobManagers,
        reader: RecordReader,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._connectivity = connectivity
        self._acceptance = acceptance
        self._answers = answers
        self._final_states = final_states
        self._cancels = cancels
        self._cancellations = cancellations
        self._job_managers = job_managers
        self._reader = reader

    def submit(self, request_id: int, spec: JobSpec) -> Coroutine[None]:
        """Accept or refuse a job, and reply."""
        outcome = yield from self._acceptance.submit(spec)
        self._reply(request_id, spec.id, outcome)

    def query(self, request_id: int, job: str) -> Coroutine[None]:
        """Reply with the status of a job."""
        status = yield from self._answers.lookup(job)
        if status is None:
            outcome = Outcome(503, UNKNOWN, "state not available", RETRY_AFTER_S)
        elif status == UNKNOWN:
            outcome = Outcome(404, UNKNOWN, "no such job")
        else:
            outcome = Outcome(200, status)
        self._reply(request_id, job, outcome)

    def cancel(self, request_id: int, job: str) -> Coroutine[None]:
        """Cancel a job, and reply."""
        outcome = yield from self._cancel(job)
        self._reply(request_id, job, outcome)

    def _cancel(self, job: str) -> Coroutine[Outcome]:
        if job not in self._final_states and job not in self._view.jobs:
            yield from self._reader.read_record(job)
        if job in self._final_states:
            return Outcome(200, JobStatus(self._final_states[job]))
        final: JobState | None = None
        if not self._connectivity.is_disconnected():
            if job in self._view.jobs:
                final = yield from self._cancel_live(job)
            else:
                status = yield from self._answers.lookup(job)
                if status == UNKNOWN:
                    return Outcome(404, UNKNOWN, "no such job")
                if status is not None and status.is_final:
                    final = status.state
        if final is None:
            return Outcome(503, UNKNOWN, "not cancelled yet", RETRY_AFTER_S)
        return Outcome(200, JobStatus(final))

    def _cancel_live(self, job: str) -> Coroutine[JobState | None]:
        """Cancel a job whose record is in the view.

        Returns the state to answer the user with, or None if the cancel is not confirmed in time.
        """
        known = self._answers.answerable_status(job, None)
        if known is not None:
            return known.state
        manager = self._leadership.leader_of(self._view.jobs[job].manager_shard)
        final = yield from self._ask_manager(manager, job)
        if final is not None or manager == self._context.node:
            return final
        # The manager is unknown, did not reply, could not write to the store, or did not get the
        # cancel confirmed in time. Unless a committed cancel is known here, this node commits one
        # in place of the manager.
        if not self._cancels.is_known(job):
            yield from self._cancellations.commit_entry(job)
        if (yield from self._cancellations.await_confirmation(job, CONFIRMATION_TIMEOUT_S)):
            return JobState.CANCELLED
        return self._final_states.get(job)

    def _ask_manager(self, manager: str | None, job: str) -> Coroutine[JobState | None]:
        """Ask a job's manager to cancel the job; return the job's final state.

        Returns None if no manager is known, if the manager does not reply, or if it replies that
        the job has no final state yet.
        """
        reply: Any = None
        if manager == self._context.node:
            reply = yield from self._job_managers.cancel_managed(job)
        elif manager is not None:
            reply = yield PeerRequest(manager, CancelJob(job), CANCEL_PEER_TIMEOUT_S)
        return JobState(reply) if reply in FINAL_STATES else None

    def _reply(self, request_id: int, job: str, outcome: Outcome) -> None:
        status = outcome.status
        self._context.outbox.user_replies.append(
            UserReply(
                request_id,
                outcome.http_status,
                job,
                status.state,
                status.done,
                status.running,
                outcome.error,
                outcome.retry_after_s,
            )
        )
