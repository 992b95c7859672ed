"""Arrival statistics of jobs: the classes of gangs, their rates, and the average array size.

The fleet plan uses them to reserve machines for gangs that must start sooner than a machine boots,
and to keep spare capacity for an array of average size.
"""

from __future__ import annotations

from collections import deque

import msgspec

from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.domain.machine_kinds import kinds_for_job
from marblestair.core.runtime.context import NodeContext
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.records import JobRecord

#: length of the window over which the arrival rate of a class is computed, and maximum number of
#: the class's latest gangs that are counted; if more gangs arrive within the window, the rate is
#: the number of counted gangs divided by the time since the oldest of them became startable
RATE_WINDOW_S, RATE_WINDOW_JOBS = 90.0, 64
#: the ids of the latest counted jobs are kept, so that no job is counted twice: this many ids, or
#: two per live job if that is more
MIN_TRACKED_JOBS = 2000
#: time without new gangs of a class after which no more gangs of the class are expected; also the
#: time without new arrays after which the average array size is reset to 0
CLASS_EXPIRY_S = 120.0
#: weight of the latest array in the exponential moving average of array sizes
LATEST_ARRAY_WEIGHT = 0.1
#: wait objective below which a class is latency-sensitive, as a multiple of the shortest boot time
#: of the machine types that its jobs may run on
LATENCY_SENSITIVE_BOOT_TIMES = 2.0
#: key for all arrays together in mappings by class, since arrays are not counted by class
ALL_ARRAYS = ""


class ExpectedGangs(msgspec.Struct, frozen=True):
    """The expected gangs of one job class."""

    #: spec of the latest gang of the class
    spec: JobSpec
    #: whether gangs of the class must start without waiting for a machine to boot
    is_latency_sensitive: bool
    arrivals_per_s: float = 0.0


class Arrivals:
    """Counts the job arrivals that one node observes."""

    def __init__(self, context: NodeContext, catalog: MachineCatalog) -> None:
        self._context = context
        self._catalog = catalog
        #: class -> the expected gangs of the class
        self.expected_gangs: dict[str, ExpectedGangs] = {}
        #: moving average of array sizes in cpus; each size is limited to the guaranteed cpus of the
        #: array's team
        self.average_array_cpus = 0.0
        #: class -> wall-clock times at which its latest gangs became startable
        self._arrived_at: dict[str, deque[float]] = {}
        #: ids of counted jobs, oldest first
        self._counted_jobs: dict[str, None] = {}
        #: class, or ``ALL_ARRAYS`` -> monotonic time at which the latest such job was counted
        self._last_counted_at: dict[str, float] = {}

    def is_latency_sensitive(self, spec: JobSpec) -> bool:
        """Whether gangs of a job's class must start without waiting for a machine to boot.

        False if no gangs of the class are expected.
        """
        gangs = self.expected_gangs.get(spec.job_class)
        return gangs is not None and gangs.is_latency_sensitive

    def count_arrivals(self, live: list[JobRecord]) -> None:
        """Count the live jobs that are not blocked and have not been counted yet.

        Arrays of best-effort teams do not change the average array size. Expired classes are
        removed afterwards.
        """
        wait_objectives_s = self._wait_objectives_s()
        for record in live:
            if record.is_blocked or record.spec.id in self._counted_jobs:
                continue
            self._counted_jobs[record.spec.id] = None
            while len(self._counted_jobs) > max(MIN_TRACKED_JOBS, 2 * len(live)):
                self._counted_jobs.pop(next(iter(self._counted_jobs)))
            if record.spec.kind == JobKind.GANG:
                self._count_gang(record, wait_objectives_s.get(record.spec.job_class))
            elif not self._context.teams[record.spec.team].is_best_effort:
                self._count_array(record.spec)
        self._remove_expired()

    def _wait_objectives_s(self) -> dict[str, float]:
        """Return, by class, the shortest wait that a wait objective allows a job, in seconds."""
        shortest: dict[str, float] = {}
        for objective in self._context.settings.cluster.objectives:
            if objective.kind == "wait":
                within_s = shortest.get(objective.cls, objective.within_s)
                shortest[objective.cls] = min(objective.within_s, within_s)
        return shortest

    def _guarantee_objective_s(self) -> float | None:
        """Return the shortest time within which an objective requires guaranteed jobs to start.

        The time is in seconds; None if there is no such objective.
        """
        objectives = self._context.settings.cluster.objectives
        return min(
            (objective.within_s for objective in objectives if objective.kind == "guarantee"),
            default=None,
        )

    def _count_gang(self, record: JobRecord, wait_objective_s: float | None) -> None:
        """Count a gang; ``wait_objective_s`` is None if its class has no wait objective."""
        job_class, wall_time = record.spec.job_class, self._context.wall_time
        arrived_at = self._arrived_at.setdefault(job_class, deque(maxlen=RATE_WINDOW_JOBS))
        arrived_at.append(record.startable_since)
        span_s = wall_time - arrived_at[0] if len(arrived_at) == RATE_WINDOW_JOBS else RATE_WINDOW_S
        recent_count = sum(wall_time - at < RATE_WINDOW_S for at in arrived_at)
        self.expected_gangs[job_class] = ExpectedGangs(
            record.spec,
            self._must_start_before_boot(record.spec, wait_objective_s),
            recent_count / max(1.0, min(span_s, RATE_WINDOW_S)),
        )
        self._last_counted_at[job_class] = self._context.now

    def _must_start_before_boot(self, spec: JobSpec, wait_objective_s: float | None) -> bool:
        """Whether the objectives leave a gang too little time to wait for a machine to boot.

        This is so if the wait objective is below ``LATENCY_SENSITIVE_BOOT_TIMES`` boot times, or if
        the shortest guarantee objective is below one boot time. The boot time is the shortest of
        the machine types that the job may run on; False if there is none.
        """
        kinds = kinds_for_job(spec, self._catalog.types)
        boot_s = min((kind.machine_type.boot_s for kind in kinds), default=None)
        if boot_s is None:
            return False
        if (
            wait_objective_s is not None
            and wait_objective_s < LATENCY_SENSITIVE_BOOT_TIMES * boot_s
        ):
            return True
        guarantee_s = self._guarantee_objective_s()
        return guarantee_s is not None and guarantee_s < boot_s

    def _count_array(self, spec: JobSpec) -> None:
        """Add an array's cpus, at most its team's guaranteed cpus, to the moving average."""
        size_cpus = min(spec.task_count * spec.cpus, self._context.teams[spec.team].cpus)
        self.average_array_cpus += LATEST_ARRAY_WEIGHT * (size_cpus - self.average_array_cpus)
        self._last_counted_at[ALL_ARRAYS] = self._context.now

    def _remove_expired(self) -> None:
        for job_class, last_counted_at in list(self._last_counted_at.items()):
            if self._context.now - last_counted_at <= CLASS_EXPIRY_S:
                continue
            del self._last_counted_at[job_class]
            self.expected_gangs.pop(job_class, None)
            if job_class == ALL_ARRAYS:
                self.average_array_cpus = 0.0
