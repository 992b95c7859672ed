"""Priorities and deadlines that jobs inherit from the jobs that depend on them.

Users set the deadline and the intended priority only on the last job of a pipeline. A job
therefore inherits the highest priority among its dependents. The job must also be done by the
earliest time at which a dependent has to start in order to meet the dependent's own deadline.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from marblestair.core.domain.jobs import PRIORITY_RANKS, JobSpec, Priority
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.state.records import JobRecord
from marblestair.core.state.store_view import StoreView

#: time allowed between the end of a job and the start of a dependent, in heartbeat intervals
DEPENDENT_START_INTERVALS = 2.0


class Urgency(msgspec.Struct, frozen=True):
    """The priority and the completion time that a job inherits from its dependents."""

    priority: Priority
    #: wall-clock time by which the job must be done; None if no dependent has a deadline
    done_by: float | None


class InheritedUrgency:
    """Holds the inherited urgency of each job; updated when dependents are added or removed."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        dependencies: DependencyGraph,
        run_times: RunTimes,
    ) -> None:
        self._context = context
        self._view = view
        self._dependencies = dependencies
        self._run_times = run_times
        self._inherited: dict[str, Urgency] = {}
        self._changed: set[str] = set()

    def scheduling_spec(self, record: JobRecord) -> JobSpec:
        """Return the job's spec with its inherited priority and deadline applied."""
        spec = record.spec
        inherited = self._inherited.get(spec.id)
        if inherited is None:
            return spec
        deadline_s = spec.deadline_s
        if inherited.done_by is not None:
            inherited_s = inherited.done_by - spec.accepted_at
            deadline_s = inherited_s if deadline_s is None else min(deadline_s, inherited_s)
        priority = max(spec.priority, inherited.priority, key=PRIORITY_RANKS.__getitem__)
        return msgspec.structs.replace(spec, priority=priority, deadline_s=deadline_s)

    def pop_changed(self) -> set[str]:
        """Return the jobs whose inherited urgency changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def remove_job(self, job: str) -> None:
        """Drop the urgency of a job whose record was deleted."""
        self._inherited.pop(job, None)

    def recompute(self, jobs: Iterable[str]) -> None:
        """Recompute the urgency of jobs whose dependents changed, and of their prerequisites.

        The prerequisites of a job are recomputed only if the job's urgency changed and the job is
        blocked.
        """
        stack = sorted(jobs)
        while stack:
            job = stack.pop()
            record = self._view.jobs.get(job)
            if record is None:
                continue
            inherited = self._inherited_urgency(job)
            if inherited == self._inherited.get(job):
                continue
            if inherited is None:
                del self._inherited[job]
            else:
                self._inherited[job] = inherited
            self._changed.add(job)
            if record.is_blocked:
                stack += record.spec.depends_on

    def _inherited_urgency(self, job: str) -> Urgency | None:
        """Combine the urgency that a job inherits from all dependents; None without dependents."""
        inherited = []
        for dependent in self._dependencies.dependents(job):
            record = self._view.jobs.get(dependent)
            if record is not None:
                inherited.append(self._urgency_from(record))
        if not inherited:
            return None
        priority = max((urgency.priority for urgency in inherited), key=PRIORITY_RANKS.__getitem__)
        times = [urgency.done_by for urgency in inherited if urgency.done_by is not None]
        return Urgency(priority, min(times, default=None))

    def _urgency_from(self, dependent: JobRecord) -> Urgency:
        """Return the urgency that one dependent passes on to the jobs that it depends on.

        Those jobs must be done by the time at which the dependent has to start.
        """
        spec = self.scheduling_spec(dependent)
        if spec.deadline_s is None:
            return Urgency(spec.priority, None)
        run_s = spec.estimated_run_s * self._run_times.ratio(spec.job_class)
        start_s = DEPENDENT_START_INTERVALS * self._context.settings.cluster.workers.report_s
        done_by = round(spec.accepted_at + spec.deadline_s - run_s - start_s, 1)
        return Urgency(spec.priority, done_by)
