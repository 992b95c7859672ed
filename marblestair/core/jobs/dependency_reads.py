"""Reads final states of parents from the store when this node got no announcement of them."""

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

#: mean pause between two checks for parents whose final state must be read
READ_PAUSE_S = 0.3
#: maximum number of parents read per check, so that these reads never use up the node's request
#: rate
MAX_READS_PER_ROUND = 8
#: maximum number of ancestors read for one user request
MAX_READS_PER_USER_REQUEST = 4


class DependencyReads:
    """Reads, for one node, unknown final states of parents whose records are deleted."""

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
        """Read unknown final states of the parents of jobs managed here, in an endless loop."""
        while True:
            yield Sleep(READ_PAUSE_S * (0.8 + 0.4 * self._context.rng.random()))
            for parent in self._parents_to_read():
                yield from self._reader.read_final_first(parent, RequestPriority.FINAL_STATE)

    def _parents_to_read(self) -> list[str]:
        """Return parents with an unknown final state and a dependent that is managed here.

        Returns at most ``MAX_READS_PER_ROUND`` parents.
        """
        found = []
        for parent in self._dependencies.parents_with_unknown_end():
            dependents = self._dependencies.dependents(parent)
            if any(job in self._managed_jobs for job in dependents):
                found.append(parent)
                if len(found) == MAX_READS_PER_ROUND:
                    break
        return found

    def may_answer_blocked(self, record: JobRecord, priority: RequestPriority) -> Coroutine[bool]:
        """Whether users may be told that a job is still blocked, given its newly read record.

        The record does not show whether an ancestor is cancelled, but this node's view does. If
        the view lacks the record of an ancestor, the ancestor's final state is read, for at most
        ``MAX_READS_PER_USER_REQUEST`` ancestors. The result is False if an ancestor is cancelled,
        if the final state of an ancestor remains unknown, or if the view is older than an agent's
        lease.
        """
        job = record.spec.id
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        if self._view.staleness_s(self._context.now) > agent_lease_s:
            return False
        # The list is computed again after each read: an ancestor that the read finds live may
        # itself have ancestors with deleted records.
        for _ in range(MAX_READS_PER_USER_REQUEST):
            unread = self._dependencies.ancestors_with_unknown_end(job)
            if not unread:
                return not self._dependencies.has_cancelled_ancestor(job)
            yield from self._reader.read_final_first(unread[0], priority)
        return not self._dependencies.ancestors_with_unknown_end(
            job
        ) and not self._dependencies.has_cancelled_ancestor(job)
