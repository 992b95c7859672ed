"""The jobs that a submission depends on, as they are found when it comes in.

Users name only jobs that were accepted, by any node: one that nobody accepted is refused, but only
after a read of the store that was sent after the request came in.
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

#: time for the reads of one submission, of the 5 s that its user waits
READS_S = 2.5


class ParentsState(enum.Enum):
    """What is to become of a submission by the jobs that it depends on."""

    #: all were accepted, and none is cancelled
    ACCEPTED = enum.auto()
    #: one of them, or a job before it, is cancelled
    CANCELLED = enum.auto()
    #: one of them was never accepted
    UNKNOWN = enum.auto()
    #: it is not known now
    UNDECIDED = enum.auto()


class ParentLookupResult(msgspec.Struct, frozen=True):
    """What was found of the jobs that a submission depends on."""

    state: ParentsState
    #: those that are not done
    unfinished: list[str] = []
    #: the one that decided
    deciding_job: str = ""


class ParentLookup:
    """Finds parents in what is remembered, in the view, and else by a read."""

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
        """Find each parent.

        What was read is remembered, so that a repeated submission goes on where this one ended.
        """
        until = self._context.now + READS_S
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
        """One parent's status as far as it matters here; None when it is not known now."""
        if job not in self._final_states and job not in self._view.jobs:
            read = self._reader.read_final_first(job, RequestPriority.LOOKUP)
            status = yield from self._lookups.read_within_limit(read)
            if status is None or status == UNKNOWN:
                return status
        if job in self._final_states:
            return JobStatus(self._final_states[job])
        is_cancelled = self._dependencies.is_cancelled(job)
        return JobStatus(JobState.CANCELLED if is_cancelled else JobState.QUEUED)
