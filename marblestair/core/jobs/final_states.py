"""The final states of jobs that one node remembers: they are committed and never change."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from marblestair.core.domain.jobs import JobState
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.state.store_view import StoreView

#: final states remembered per node; others are read from the store
REMEMBERED = 20_000


class DependentJobs(Protocol):
    """The jobs that depend on others."""

    def has_dependents(self, job: str) -> bool:
        """Whether a job depends on this one."""

    def parent_ended(self, parent: str, state: JobState) -> None:
        """The final state of a job is known to be committed."""


class FinalStates:
    """Final states by job, the latest last."""

    def __init__(self, context: NodeContext, view: StoreView) -> None:
        self._context = context
        self._view = view
        self._states: OrderedDict[str, JobState] = OrderedDict()
        self._dependents: DependentJobs | None = None

    def subscribe(self, dependents: DependentJobs) -> None:
        """Call the jobs that depend on others with each end."""
        self._dependents = dependents

    def __contains__(self, job: object) -> bool:
        """Whether the final state of a job is remembered."""
        return job in self._states

    def __getitem__(self, job: str) -> JobState:
        """The final state of a job that is remembered."""
        return self._states[job]

    def get(self, job: str) -> JobState | None:
        """The final state of a job, or None when it is not remembered."""
        return self._states.get(job)

    def record(self, job: str, state: JobState) -> None:
        """Remember a job's final state."""
        dependents = self._dependents
        if job not in self._states and dependents is not None and dependents.has_dependents(job):
            self._context.decisions.log(
                self._context.now, Decision.END, state, job=job, view_rev=self._view.revision
            )
        self._states[job] = state
        while len(self._states) > REMEMBERED:
            self._states.popitem(last=False)
        if dependents is not None:
            dependents.parent_ended(job, state)
