"""What users submit: jobs, their kinds and priorities, and the states that users can see."""

from __future__ import annotations

import enum

import msgspec

from marblestair.core.domain.amounts import Resources, requested_resources


class JobKind(enum.StrEnum):
    """How the tasks of a job run."""

    #: independent tasks that run to completion
    ARRAY = "array"
    #: tasks that run together or not at all
    GANG = "gang"
    #: independent tasks that run until their job is cancelled
    SERVICE = "service"


class Priority(enum.StrEnum):
    """The importance of a job, as its user gave it."""

    PRODUCTION = "production"
    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


#: the higher the rank, the earlier a job is served
PRIORITY_RANKS: dict[Priority, int] = {
    Priority.PRODUCTION: 3,
    Priority.HIGH: 2,
    Priority.NORMAL: 1,
    Priority.LOW: 0,
}


class JobState(enum.StrEnum):
    """State of a job as users see it."""

    #: nobody submitted it
    UNKNOWN = "unknown"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


FINAL_STATES = (JobState.DONE, JobState.CANCELLED)


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """A job as its user described it, with the names of its fields in this package."""

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
    #: wall-clock time of acceptance, for ordering and deadlines only
    accepted_at: float = 0.0
    #: jobs that must be done before a task of this one starts, as far as they were not done when
    #: it was accepted
    depends_on: list[str] = []

    @property
    def resources(self) -> Resources:
        """What one task uses."""
        return requested_resources(self.cpus, self.gpus, self.mem_gb)

    @property
    def saves_checkpoints(self) -> bool:
        """Whether a task that is stopped can save what it has done."""
        return self.checkpoint_interval_s > 0

    @property
    def is_indivisible(self) -> bool:
        """Whether all tasks of the job stay in one slice."""
        return self.kind == JobKind.GANG or self.single_zone or self.spread_zones

    def may_run_on(self, type_name: str, zone: str, spot: bool) -> bool:
        """Whether the job may run on a kind of machine."""
        return (
            (self.machine_types is None or type_name in self.machine_types)
            and (self.zone is None or zone == self.zone)
            and (self.allows_spot or not spot)
        )
