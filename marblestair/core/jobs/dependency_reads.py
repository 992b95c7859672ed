"""Reads of how jobs ended that others depend on, where nobody has announced it."""

from __future__ import annotations

from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import RequestPriority
from marblestair.core.state.records import JobRecord
from marblestair.core.state.store_view import StoreView

#: pause between two checks for parents whose end has to be read
READ_PAUSE_S = 0.3
#: parents read in one turn, so that releases never use up the rate of requests
MOST_READS = 8
#: parents of one job read for a user who waits
MOST_READS_FOR_USER = 4


class DependencyReads:
    """The reads of one node."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        dependencies: DependencyGraph,
        managed_jobs: dict[str, ManagedJob],
        reader: RecordReader,
    ) -> None:
        self._context = context
        self._view = view
        self._dependencies = dependencies
        self._managed_jobs = managed_jobs
        self._reader = reader

    def read_unknown_ends(self) -> Coroutine[None]:
        """Read the ends of parents that nobody announced, for good."""
        while True:
            yield Sleep(READ_PAUSE_S * (0.8 + 0.4 * self._context.rng.random()))
            for parent in self._parents_to_read():
                yield from self._reader.read_final_first(parent, RequestPriority.FINAL_STATE)

    def _parents_to_read(self) -> list[str]:
        """Parents whose end decides about a job that is managed here."""
        found = []
        for parent in self._dependencies.parents_of_unknown_end():
            dependents = self._dependencies.dependents(parent)
            if any(job in self._managed_jobs for job in dependents):
                found.append(parent)
                if len(found) == MOST_READS:
                    break
        return found

    def may_answer_blocked(self, record: JobRecord, priority: RequestPriority) -> Coroutine[bool]:
        """Whether users may be answered that a job is still blocked, whose record was just read.

        The record alone does not show the cancel of an ancestor. This node's view does, unless
        it is too old, or an ancestor is gone from it.
        """
        job = record.spec.id
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        if self._view.staleness_s(self._context.now) > agent_lease_s:
            return False
        # One that is found alive may have ancestors that are gone in their turn.
        for _ in range(MOST_READS_FOR_USER):
            gone = self._dependencies.ancestors_of_unknown_end(job)
            if not gone:
                return not self._dependencies.has_cancelled_ancestor(job)
            yield from self._reader.read_final_first(gone[0], priority)
        return not self._dependencies.ancestors_of_unknown_end(
            job
        ) and not self._dependencies.has_cancelled_ancestor(job)
