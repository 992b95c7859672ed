"""Jobs that users submit: their kinds, priorities, specifications and states."""

from __future__ import annotations

import enum

import msgspec

from marblestair.core.domain.amounts import Resources, requested_resources


class JobKind(enum.StrEnum):
    """How the tasks of a job run."""

    #: independent tasks that run to completion
    ARRAY = "array"
    #: tasks that run all at the same time or not at all
    GANG = "gang"
    #: independent tasks that run until their job is cancelled
    SERVICE = "service"


class Priority(enum.StrEnum):
    """Priority of a job, as given by its user."""

    PRODUCTION = "production"
    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


#: numeric rank of each priority; jobs of a higher rank are scheduled first
PRIORITY_RANKS: dict[Priority, int] = {
    Priority.PRODUCTION: 3,
    Priority.HIGH: 2,
    Priority.NORMAL: 1,
    Priority.LOW: 0,
}


class JobState(enum.StrEnum):
    """State of a job as reported to users."""

    #: no such job was submitted
    UNKNOWN = "unknown"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


FINAL_STATES = (JobState.DONE, JobState.CANCELLED)


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """The specification of a job, as submitted by its user."""

    id: str
    job_class: str
    team: str
    kind: JobKind
    priority: Priority
    task_count: int
    cpus: float
    gpus: float
    mem_gb: float
    image: str
    image_gb: float
    machine_types: list[str] | None
    zone: str | None
    single_zone: bool
    spread_zones: bool
    allows_spot: bool
    estimated_run_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float
    deadline_s: float | None
    #: wall-clock time in seconds at which the job was accepted; for ordering and deadlines only
    accepted_at: float = 0.0
    #: ids of the jobs that must be done before any task of this job starts. Jobs that were already
    #: done when this job was accepted are not listed.
    depends_on: list[str] = []

    @property
    def resources(self) -> Resources:
        """Resources that one task uses."""
        return requested_resources(self.cpus, self.gpus, self.mem_gb)

    @property
    def saves_checkpoints(self) -> bool:
        """Whether the job's tasks save checkpoints."""
        return self.checkpoint_interval_s > 0

    @property
    def is_indivisible(self) -> bool:
        """Whether the tasks of the job must not be divided among several slices."""
        return self.kind == JobKind.GANG or self.single_zone or self.spread_zones

    def may_run_on(self, type_name: str, zone: str, spot: bool) -> bool:
        """Return whether the job may run on machines of a type, a zone and a purchase option."""
        return (
            (self.machine_types is None or type_name in self.machine_types)
            and (self.zone is None or zone == self.zone)
            and (self.allows_spot or not spot)
        )
