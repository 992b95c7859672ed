"""Priority and deadline of a pipeline's last job, handed back to the jobs before it.

Users set the deadline, and the priority that they care about, on the last job only. A job takes
the highest priority of the jobs that need it, and has to be done when the first of them has to
start, so that each of them can still be done in time.
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

#: report intervals between the end of a job and the start of one that awaits it
START_REPORTS = 2.0


class InheritedNeed(msgspec.Struct, frozen=True):
    """What the jobs that need a job ask of it."""

    priority: Priority
    #: wall-clock time by which it has to be done
    done_by: float | None


class InheritedUrgency:
    """The needs that jobs inherit, kept as the jobs that wait come and go."""

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
        self._inherited: dict[str, InheritedNeed] = {}
        self._changed: set[str] = set()

    def scheduling_spec(self, record: JobRecord) -> JobSpec:
        """The job with the priority and the deadline by which it is scheduled."""
        spec = record.spec
        need = self._inherited.get(spec.id)
        if need is None:
            return spec
        deadline_s = spec.deadline_s
        if need.done_by is not None:
            inherited_s = need.done_by - spec.accepted_at
            deadline_s = inherited_s if deadline_s is None else min(deadline_s, inherited_s)
        return msgspec.structs.replace(
            spec, priority=_higher(spec.priority, need.priority), deadline_s=deadline_s
        )

    def pop_changed(self) -> set[str]:
        """The jobs whose inherited needs changed since they were last taken."""
        changed, self._changed = self._changed, set()
        return changed

    def job_ended(self, job: str) -> None:
        """A job's record is gone."""
        self._inherited.pop(job, None)

    def dependents_changed(self, parents: Iterable[str]) -> None:
        """A waiting job came or went: work its parents' needs out anew, and so on upwards."""
        stack = sorted(parents)
        while stack:
            job = stack.pop()
            record = self._view.jobs.get(job)
            if record is None:
                continue
            need = self._need_of_children(job)
            if need == self._inherited.get(job):
                continue
            if need is None:
                del self._inherited[job]
            else:
                self._inherited[job] = need
            self._changed.add(job)
            if record.is_blocked:
                stack += record.spec.depends_on

    def _need_of_children(self, job: str) -> InheritedNeed | None:
        needs = []
        for child in self._dependencies.dependents(job):
            record = self._view.jobs.get(child)
            if record is not None:
                needs.append(self._need_of(record))
        if not needs:
            return None
        priority = max((need.priority for need in needs), key=PRIORITY_RANKS.__getitem__)
        times = [need.done_by for need in needs if need.done_by is not None]
        return InheritedNeed(priority, min(times, default=None))

    def _need_of(self, child: JobRecord) -> InheritedNeed:
        """What one child asks of its parents: to be done when it has to start."""
        spec = self.scheduling_spec(child)
        if spec.deadline_s is None:
            return InheritedNeed(spec.priority, None)
        run_s = spec.estimated_run_s * self._run_times.ratio(spec.job_class)
        start_s = START_REPORTS * self._context.settings.cluster.workers.report_s
        return InheritedNeed(
            spec.priority, round(spec.accepted_at + spec.deadline_s - run_s - start_s, 1)
        )


def _higher(one: Priority, other: Priority) -> Priority:
    return max(one, other, key=PRIORITY_RANKS.__getitem__)
