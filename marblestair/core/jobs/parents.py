"""Lookup of the jobs that a submission depends on: its parents.

Any node may have accepted a parent, so an accepted parent may still be unknown to this node. A
submission is refused because a parent was never accepted only if a read of the store, sent after
the submission arrived, finds neither a record nor a final state of the parent.
"""

from __future__ import annotations

import enum

import msgspec

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.job_status import UNKNOWN, JobStatus
from marblestair.core.jobs.lookups import Lookups
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.store_requests import RequestPriority
from marblestair.core.state.store_view import StoreView

#: time after which a submission starts no further parent lookup, out of the 5 s that its user waits
LOOKUP_TIMEOUT_S = 2.5


class ParentsState(enum.Enum):
    """Combined state of a submission's parents."""

    #: all parents were accepted, and neither a parent nor a parent's ancestor is known to be
    #: cancelled
    ACCEPTED = enum.auto()
    #: all parents were accepted, and a parent or a parent's ancestor is known to be cancelled
    CANCELLED = enum.auto()
    #: a parent was never accepted
    UNKNOWN = enum.auto()
    #: the status of a parent is not available now
    UNDECIDED = enum.auto()


class ParentLookupResult(msgspec.Struct, frozen=True):
    """Result of the lookup of a submission's parents."""

    state: ParentsState
    #: parents that are neither done nor cancelled; empty for UNKNOWN and UNDECIDED
    unfinished: list[str] = []
    #: the parent that determined the state; empty for ACCEPTED
    deciding_job: str = ""


class ParentLookup:
    """Finds the status of parents from cached final states, the view or a read of the store."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        final_states: FinalStates,
        dependencies: DependencyGraph,
        reader: RecordReader,
        lookups: Lookups,
    ) -> None:
        self._context = context
        self._view = view
        self._final_states = final_states
        self._dependencies = dependencies
        self._reader = reader
        self._lookups = lookups

    def find(self, parents: list[str]) -> Coroutine[ParentLookupResult]:
        """Look up the parents of a submission.

        The results of reads are kept in the view and in the cached final states. So if the lookup
        runs out of time, a retry of the submission does not repeat these reads.
        """
        until = self._context.now + LOOKUP_TIMEOUT_S
        unfinished = []
        cancelled = ""
        for job in parents:
            if self._context.now > until:
                return ParentLookupResult(ParentsState.UNDECIDED, [], job)
            status = yield from self._status(job)
            if status is None:
                return ParentLookupResult(ParentsState.UNDECIDED, [], job)
            if status == UNKNOWN:
                return ParentLookupResult(ParentsState.UNKNOWN, [], job)
            if status.state is JobState.CANCELLED:
                cancelled = job
            elif status.state is not JobState.DONE:
                unfinished.append(job)
        if cancelled:
            return ParentLookupResult(ParentsState.CANCELLED, unfinished, cancelled)
        return ParentLookupResult(ParentsState.ACCEPTED, unfinished)

    def _status(self, job: str) -> Coroutine[JobStatus | None]:
        """Return a parent's status, with a live parent given as cancelled or queued.

        A live parent is given as cancelled if a cancel of it or of an ancestor is known here.
        Returns UNKNOWN if no such job exists, and None if the status is not available.
        """
        if job not in self._final_states and job not in self._view.jobs:
            read = self._reader.read_final_first(job, RequestPriority.LOOKUP)
            status = yield from self._lookups.read_within_limit(read)
            if status is None or status == UNKNOWN:
                return status
        if job in self._final_states:
            return JobStatus(self._final_states[job])
        is_cancelled = self._dependencies.is_cancelled(job)
        return JobStatus(JobState.CANCELLED if is_cancelled else JobState.QUEUED)
