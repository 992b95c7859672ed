"""Which classes of jobs arrive, how often, and how soon they are to start.

The plan of the fleet reserves machines for gangs that are to start sooner than a machine boots,
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

#: a class's rate of arrival is that of the latest seconds, or of its latest jobs if they are more
RATE_S, RATE_JOBS = 90.0, 64
#: jobs whose arrival is remembered at least, so that none counts twice; twice the live jobs if that
#: is more
MIN_REMEMBERED_JOBS = 2000
#: nothing is reserved for a class of which no job has arrived for this long, in seconds
EXPIRY_S = 120.0
#: weight of the latest array in the moving average of their sizes
LATEST_ARRAY_WEIGHT = 0.1
#: boot times of the fastest type within which a gang's start must be due for its class to be
#: latency-sensitive
LATENCY_SENSITIVE_BOOTS = 2.0
#: all arrays together, in place of a class
ALL_ARRAYS = ""


class ExpectedGangs(msgspec.Struct, frozen=True):
    """A class of gangs that arrives: one of its jobs, and how often."""

    spec: JobSpec
    #: whether they are to start sooner than a machine boots
    is_latency_sensitive: bool
    arrivals_per_s: float = 0.0


class Arrivals:
    """The arrivals of jobs as one node has seen them."""

    def __init__(self, context: NodeContext, catalog: MachineCatalog) -> None:
        self._context = context
        self._catalog = catalog
        #: class -> its gangs
        self.expected_gangs: dict[str, ExpectedGangs] = {}
        #: usual size of an array that its team's guarantee may cover
        self.average_array_cpus = 0.0
        #: class -> times of day at which its latest gangs became startable
        self._arrived_at: dict[str, deque[float]] = {}
        #: jobs that were counted, the oldest first
        self._counted: dict[str, None] = {}
        #: class -> steady time at which its latest job was counted
        self._latest_at: dict[str, float] = {}

    def is_latency_sensitive(self, spec: JobSpec) -> bool:
        """Whether jobs of a job's class are to start sooner than a machine boots."""
        gangs = self.expected_gangs.get(spec.job_class)
        return gangs is not None and gangs.is_latency_sensitive

    def count_arrivals(self, live: list[JobRecord]) -> None:
        """Count the jobs that may start and were not counted before."""
        wait_objectives_s = self._wait_objectives_s()
        for record in live:
            if record.is_blocked or record.spec.id in self._counted:
                continue
            self._counted[record.spec.id] = None
            while len(self._counted) > max(MIN_REMEMBERED_JOBS, 2 * len(live)):
                self._counted.pop(next(iter(self._counted)))
            if record.spec.kind == JobKind.GANG:
                self._record_gang(record, wait_objectives_s.get(record.spec.job_class))
            elif not self._context.teams[record.spec.team].is_best_effort:
                self._record_array(record.spec)
        self._forget_expired()

    def _wait_objectives_s(self) -> dict[str, float]:
        """Class -> its shortest objective for the time until a start."""
        shortest: dict[str, float] = {}
        for objective in self._context.settings.cluster.objectives:
            if objective.kind == "wait":
                within_s = shortest.get(objective.cls, objective.within_s)
                shortest[objective.cls] = min(objective.within_s, within_s)
        return shortest

    def _guarantee_objective_s(self) -> float | None:
        """The shortest objective for the start of guaranteed work; None without any."""
        objectives = self._context.settings.cluster.objectives
        return min(
            (objective.within_s for objective in objectives if objective.kind == "guarantee"),
            default=None,
        )

    def _record_gang(self, record: JobRecord, wait_objective_s: float | None) -> None:
        """Count a gang, whose class has an objective for its start or none."""
        job_class, wall_time = record.spec.job_class, self._context.wall_time
        arrived_at = self._arrived_at.setdefault(job_class, deque(maxlen=RATE_JOBS))
        arrived_at.append(record.startable_since)
        span_s = wall_time - arrived_at[0] if len(arrived_at) == RATE_JOBS else RATE_S
        recent_count = sum(wall_time - at < RATE_S for at in arrived_at)
        self.expected_gangs[job_class] = ExpectedGangs(
            record.spec,
            self._starts_before_boot(record.spec, wait_objective_s),
            recent_count / max(1.0, min(span_s, RATE_S)),
        )
        self._latest_at[job_class] = self._context.now

    def _starts_before_boot(self, spec: JobSpec, wait_objective_s: float | None) -> bool:
        """Whether the objectives leave a gang no time to wait for a machine to boot."""
        kinds = kinds_for_job(spec, self._catalog.types)
        boot_s = min((kind.machine_type.boot_s for kind in kinds), default=None)
        if boot_s is None:
            return False
        if wait_objective_s is not None and wait_objective_s < LATENCY_SENSITIVE_BOOTS * boot_s:
            return True
        guarantee_s = self._guarantee_objective_s()
        return guarantee_s is not None and guarantee_s < boot_s

    def _record_array(self, spec: JobSpec) -> None:
        """Count an array in the usual size, as far as its team's guarantee may cover it."""
        size_cpus = min(spec.task_count * spec.cpus, self._context.teams[spec.team].cpus)
        self.average_array_cpus += LATEST_ARRAY_WEIGHT * (size_cpus - self.average_array_cpus)
        self._latest_at[ALL_ARRAYS] = self._context.now

    def _forget_expired(self) -> None:
        for job_class, latest_at in list(self._latest_at.items()):
            if self._context.now - latest_at <= EXPIRY_S:
                continue
            del self._latest_at[job_class]
            self.expected_gangs.pop(job_class, None)
            if job_class == ALL_ARRAYS:
                self.average_array_cpus = 0.0
