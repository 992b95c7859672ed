"""Which classes of jobs come, how often, and how soon their starts are wanted.

The plan of the fleet keeps machines ready for gangs that are wanted sooner than a machine boots,
and a spare for arrays of the usual size.
"""

from __future__ import annotations

from collections import deque

import msgspec

from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.domain.machine_kinds import kinds_for_job
from marblestair.core.runtime.context import NodeContext
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.records import JobRecord

#: a class's rate of arrival is taken over this many seconds, or its latest jobs if they are more
RATE_S, RATE_JOBS = 90.0, 64
#: jobs whose arrival is remembered, so that none counts twice, if fewer than half of them live
LEAST_NOTED = 2000
#: what has not come for this long is not kept ready for
FORGET_S = 120.0
#: weight of the latest array in the usual size
USUAL_WEIGHT = 0.1
#: boot times of the fastest type within which a gang's start must be wanted for it to be hurried
HURRIED_BOOTS = 2.0
#: stands for all arrays among the classes
ARRAYS = ""
#: an aim that nobody has
NO_AIM_S = 1e9


class ExpectedGangs(msgspec.Struct, frozen=True):
    """A class of gangs that comes: one of its jobs, and how often."""

    spec: JobSpec
    #: whether starts are wanted sooner than a machine boots
    is_latency_sensitive: bool
    arrivals_per_s: float = 0.0


class Arrivals:
    """What one node has seen come."""

    def __init__(self, context: NodeContext, catalog: MachineCatalog) -> None:
        self._context = context
        self._catalog = catalog
        #: gang classes that come, and how often
        self.expected_gangs: dict[str, ExpectedGangs] = {}
        #: usual size of an array job within its guarantee
        self.usual_array_cpus = 0.0
        self._arrived: dict[str, deque[float]] = {}
        self._recorded: dict[str, None] = {}
        #: class -> when its latest job came
        self._latest: dict[str, float] = {}

    def is_latency_sensitive(self, spec: JobSpec) -> bool:
        """Whether a job's class is one whose starts are wanted sooner than a machine boots."""
        known = self.expected_gangs.get(spec.job_class)
        return known is not None and known.is_latency_sensitive

    def record_jobs(self, live: list[JobRecord]) -> None:
        """Take in the jobs that may start and were not seen before."""
        start_aims = self._start_aims()
        for record in live:
            if record.is_blocked or record.spec.id in self._recorded:
                continue
            self._recorded[record.spec.id] = None
            while len(self._recorded) > max(LEAST_NOTED, 2 * len(live)):
                self._recorded.pop(next(iter(self._recorded)))
            if record.spec.kind == JobKind.GANG:
                self._record_gang(record, start_aims)
            elif not self._context.teams[record.spec.team].is_best_effort:
                self._record_array(record.spec)
        self._forget()

    def _start_aims(self) -> dict[str, float]:
        """Class -> its shortest aim for starts, which tells whether a boot is too long."""
        aims: dict[str, float] = {}
        for objective in self._context.settings.cluster.objectives:
            if objective.kind == "wait":
                known = aims.get(objective.cls, objective.within_s)
                aims[objective.cls] = min(objective.within_s, known)
        return aims

    def _guarantee_s(self) -> float:
        """Time within which work within a guarantee is to start."""
        objectives = self._context.settings.cluster.objectives
        return min(
            (objective.within_s for objective in objectives if objective.kind == "guarantee"),
            default=NO_AIM_S,
        )

    def _record_gang(self, record: JobRecord, start_aims: dict[str, float]) -> None:
        spec = record.spec
        boots = [kind.machine_type.boot_s for kind in kinds_for_job(spec, self._catalog.types)]
        hurry = False
        if boots:
            wanted_s = start_aims.get(spec.job_class, NO_AIM_S)
            hurry = wanted_s < HURRIED_BOOTS * min(boots) or self._guarantee_s() < min(boots)
        at = self._arrived.setdefault(spec.job_class, deque(maxlen=RATE_JOBS))
        at.append(record.startable_since)
        span_s = self._context.wall_time - at[0] if len(at) == RATE_JOBS else RATE_S
        lately = sum(self._context.wall_time - t < RATE_S for t in at)
        self.expected_gangs[spec.job_class] = ExpectedGangs(
            spec, hurry, lately / max(1.0, min(span_s, RATE_S))
        )
        self._latest[spec.job_class] = self._context.now

    def _record_array(self, spec: JobSpec) -> None:
        size = min(spec.task_count * spec.cpus, self._context.teams[spec.team].cpus)
        self.usual_array_cpus += USUAL_WEIGHT * (size - self.usual_array_cpus)
        self._latest[ARRAYS] = self._context.now

    def _forget(self) -> None:
        for cls, latest in list(self._latest.items()):
            if self._context.now - latest <= FORGET_S:
                continue
            del self._latest[cls]
            self.expected_gangs.pop(cls, None)
            if cls == ARRAYS:
                self.usual_array_cpus = 0.0
