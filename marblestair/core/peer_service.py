"""Dispatch of other controllers' messages and requests to the components that handle them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from marblestair.core.capacity.capacity_refusals import CapacityRefusals
from marblestair.core.domain.jobs import FINAL_STATES, JobState
from marblestair.core.jobs.answers import Answers
from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.job_managers import JobManagers
from marblestair.core.jobs.migration_locks import MigrationLocks
from marblestair.core.jobs.progress_reports import ProgressReports
from marblestair.core.jobs.record_announcements import RecordAnnouncements
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.promises import Promises
from marblestair.core.messaging.messages import (
    AnnounceMigration,
    ApplyCancel,
    CancelConfirmed,
    CancelJob,
    JobEnded,
    LockSlices,
    ProgressReport,
    QueryJob,
    RecordCommitted,
    ReleaseSlices,
    RequestPromise,
    RequestStatus,
    SendChangeEntries,
    ShardSummaries,
    UpdateSlices,
)
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.outbox import PeerReply
from marblestair.core.runtime.requests import PeerMessage
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.state.store_view import StoreView


class PeerService:
    """Handles messages and requests from other controllers."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        connectivity: Connectivity,
        promises: Promises,
        summaries: ReceivedSummaries,
        failures: FailureAttribution,
        refusals: CapacityRefusals,
        final_states: FinalStates,
        cancels: CancelRegistry,
        cancellations: Cancellations,
        answers: Answers,
        job_managers: JobManagers,
        reports: ProgressReports,
        announcements: RecordAnnouncements,
        migration_locks: MigrationLocks,
        status: Callable[[], dict[str, object]],
    ) -> None:
        self._context = context
        self._view = view
        self._connectivity = connectivity
        self._promises = promises
        self._summaries = summaries
        self._failures = failures
        self._refusals = refusals
        self._final_states = final_states
        self._cancels = cancels
        self._cancellations = cancellations
        self._answers = answers
        self._job_managers = job_managers
        self._reports = reports
        self._announcements = announcements
        self._migration_locks = migration_locks
        self._status = status

    # --- one-way messages ------------------------------------------------------------------

    def receive(self, node: str, message: PeerMessage | None) -> None:
        """Handle a one-way message from another node; ``message`` is None if its tag is unknown."""
        self._connectivity.message_received(node)
        if isinstance(message, ShardSummaries):
            self._receive_summaries(node, message)
        elif isinstance(message, ProgressReport):
            self._reports.receive(message)
        elif isinstance(message, CancelConfirmed):
            self._cancels.mark_confirmed(message.job, message.revision)
        elif isinstance(message, JobEnded):
            self._receive_end(node, message)
        elif isinstance(message, RecordCommitted):
            self._announcements.receive(message)

    def reject_message(self, node: str, error: str) -> None:
        """Log a message or request that could not be decoded.

        The message still counts as contact with ``node`` if the settings list that node.
        """
        if node in self._context.settings.nodes:
            self._connectivity.message_received(node)
        self._context.log("error", f"rejected message from {node}: {error}")

    def _receive_summaries(self, node: str, message: ShardSummaries) -> None:
        if self._view.nodes.get(node, message.incarnation) != message.incarnation:
            # The message is a late one of an earlier process on that node, or it is from a new
            # process that is not in the view yet.
            return
        for summary in message.summaries:
            self._summaries.record(summary)
            self._failures.receive_failing_jobs(
                summary.shard_id, summary.failing_jobs, self._context.now
            )
        self._connectivity.peer_can_accept_shards[node] = message.can_accept_shards
        self._refusals.receive(message.refusals)

    def _receive_end(self, node: str, message: JobEnded) -> None:
        if message.state not in FINAL_STATES:
            self._context.log(
                "error",
                f"rejected end of job {message.job[:40]} from {node}: "
                f"{message.state[:40]!r} is not a final state",
            )
            return
        self._final_states.record(message.job, JobState(message.state))

    # --- requests --------------------------------------------------------------------------

    def receive_request(self, request_id: int, node: str, message: PeerMessage | None) -> None:
        """Handle a request from another node or an operator; the reply is put into the outbox."""
        if node in self._context.settings.nodes:
            self._connectivity.message_received(node)
        self._context.spawn(self._handle_request(request_id, message))

    def reject_request(self, request_id: int, node: str, error: str) -> None:
        """Log a request that could not be decoded, and reply to it with None."""
        self.reject_message(node, error)
        self._context.outbox.peer_replies.append(PeerReply(request_id, None))

    def _handle_request(self, request_id: int, message: PeerMessage | None) -> Coroutine[None]:
        reply = yield from self._reply_to(message)
        self._context.outbox.peer_replies.append(PeerReply(request_id, reply))

    def _reply_to(self, message: PeerMessage | None) -> Coroutine[Any]:
        """Return the reply to a request; None if its kind is unknown or no reply can be given."""
        if isinstance(message, QueryJob):
            return msgspec.to_builtins(self._answers.status_from_memory(message.job))
        if isinstance(message, CancelJob):
            return (yield from self._job_managers.cancel_managed(message.job))
        if isinstance(message, ApplyCancel):
            return self._cancellations.apply_entry(message.job, message.revision)
        if isinstance(message, (LockSlices, UpdateSlices, ReleaseSlices)):
            return (yield from self._migration_locks.handle(message))
        if isinstance(message, RequestPromise):
            return self._promises.grant(message)
        if isinstance(message, AnnounceMigration):
            return (yield from self._job_managers.receive_migration_announcement(message))
        if isinstance(message, SendChangeEntries):
            return self._job_managers.receive_change_entries(message)
        if isinstance(message, RequestStatus):
            return self._status()
        return None
