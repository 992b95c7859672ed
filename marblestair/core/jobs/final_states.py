"""One node's cache of the final states of jobs.

Entries never become stale, because a committed final state never changes.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from marblestair.core.domain.jobs import JobState
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.state.store_view import StoreView

#: maximum number of final states cached per node; evicted ones are read from the store again
MAX_CACHED_STATES = 20_000


class DependentJobs(Protocol):
    """Index of the jobs that depend on other jobs; it is notified of each final state."""

    def has_dependents(self, job: str) -> bool:
        """Return whether a blocked job depends directly on ``job``."""

    def parent_ended(self, parent: str, state: JobState) -> None:
        """Handle the committed final state of a job."""


class FinalStates:
    """Cache of committed final states by job; evicts the entries that were added first."""

    def __init__(self, context: NodeContext, view: StoreView) -> None:
        self._context = context
        self._view = view
        self._states: OrderedDict[str, JobState] = OrderedDict()
        self._dependents: DependentJobs | None = None

    def subscribe(self, dependents: DependentJobs) -> None:
        """Register the index to notify of each recorded final state; replaces an earlier index."""
        self._dependents = dependents

    def __contains__(self, job: object) -> bool:
        """Return whether the final state of a job is cached."""
        return job in self._states

    def __getitem__(self, job: str) -> JobState:
        """Return the cached final state of a job."""
        return self._states[job]

    def get(self, job: str) -> JobState | None:
        """Return the final state of a job, or None when it is not cached."""
        return self._states.get(job)

    def record(self, job: str, state: JobState) -> None:
        """Cache a job's committed final state and notify the index of dependent jobs."""
        dependents = self._dependents
        if job not in self._states and dependents is not None and dependents.has_dependents(job):
            self._context.decisions.log(
                self._context.now, Decision.END, state, job=job, view_rev=self._view.revision
            )
        self._states[job] = state
        while len(self._states) > MAX_CACHED_STATES:
            self._states.popitem(last=False)
        if dependents is not None:
            dependents.parent_ended(job, state)
