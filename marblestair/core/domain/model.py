"""Plain values that the core works with."""

from __future__ import annotations

import math
from decimal import ROUND_CEILING, ROUND_FLOOR, Decimal
from functools import lru_cache
from typing import Any

import msgspec

#: Amounts are kept as whole numbers of a millionth, so that sums never drift from a limit.
UNIT = 1_000_000


@lru_cache(maxsize=4096)
def fixed_point_up(x: float) -> int:
    """A requested amount as fixed point, rounded up."""
    return int((Decimal(repr(x)) * UNIT).to_integral_value(ROUND_CEILING))


@lru_cache(maxsize=4096)
def fixed_point_down(x: float) -> int:
    """An available amount as fixed point, rounded down."""
    return int((Decimal(repr(x)) * UNIT).to_integral_value(ROUND_FLOOR))


#: independent tasks that run to completion; tasks that run together or not at all; independent
#: tasks that run until their job is cancelled
ARRAY, GANG, SERVICE = "array", "gang", "service"
PRIORITIES = {"production": 3, "high": 2, "normal": 1, "low": 0}


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """A job as its user described it, in the names used inside."""

    id: str
    job_class: str
    team: str
    kind: str
    priority: str
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
    def resources(self) -> tuple[int, int, int]:
        """What one task takes: cpus, gpus and memory in fixed point."""
        return fixed_point_up(self.cpus), fixed_point_up(self.gpus), fixed_point_up(self.mem_gb)

    def may_run_on(self, type_name: str, zone: str, spot: bool) -> bool:
        """Whether the job may run on a kind of machine."""
        return (
            (self.machine_types is None or type_name in self.machine_types)
            and (self.zone is None or zone == self.zone)
            and (self.allows_spot or not spot)
        )


class MachineType(msgspec.Struct, array_like=True, frozen=True):
    """A type of machine the cloud rents."""

    name: str
    cpus: float
    gpus: float
    mem_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]

    @property
    def capacity(self) -> tuple[int, int, int]:
        """Capacity in fixed point."""
        return (
            fixed_point_down(self.cpus),
            fixed_point_down(self.gpus),
            fixed_point_down(self.mem_gb),
        )

    def can_hold(self, need: tuple[int, int, int]) -> bool:
        """Whether an empty machine of this type can hold one such task."""
        return all(n <= s for n, s in zip(need, self.capacity, strict=True))


class TaskStatus(msgspec.Struct, frozen=True):
    """One task as a worker reports it."""

    job: str
    index: int
    attempt: int
    state: str
    exit_reason: str = ""
    is_checkpoint_saved: bool = False


class Heartbeat(msgspec.Struct, frozen=True):
    """A worker's report."""

    machine: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    agent_incarnation: int
    sequence: int
    fencing_token: int
    reclaim_in_s: float | None
    tasks: list[TaskStatus]


class TaskCommand(msgspec.Struct, frozen=True):
    """A command to a worker: ``start``, ``stop`` or ``forget``."""

    verb: str
    job: str
    index: int
    attempt: int
    grace_s: float = 0.0


#: kinds of entries in a job's change list: its user cancelled it; all that it awaits is done
CANCEL, RELEASE = "cancel", "release"


class JobRecord(msgspec.Struct, array_like=True):
    """A live job as the state service keeps it."""

    spec: JobSpec
    #: part whose owner is the job's ServerManager
    manager_shard: int
    #: ActiveServers: part -> index ranges [a, b) it holds
    slices: dict[str, list[list[int]]]
    #: change list: ``["cancel", seq]``, and ``["release", seq, wall-clock time]`` for a job that
    #: awaits others
    change_list: list[list[Any]]
    #: parts that recorded their slices here as complete, because the manager did not hear them
    complete_shards: list[int] = []

    @property
    def is_cancelled(self) -> bool:
        """Whether the change list holds a cancel."""
        return any(entry[0] == CANCEL for entry in self.change_list)

    @property
    def is_blocked(self) -> bool:
        """Whether no task may start yet, because the job awaits others."""
        return bool(self.spec.depends_on) and self._released_at is None

    @property
    def startable_since(self) -> float:
        """Wall-clock time since which tasks may start; that of acceptance if none was awaited."""
        released_at = self._released_at
        return self.spec.accepted_at if released_at is None else released_at

    @property
    def _released_at(self) -> float | None:
        return next((float(entry[2]) for entry in self.change_list if entry[0] == RELEASE), None)

    def with_entry(self, kind: str, *details: Any) -> JobRecord:
        """Return the record with one more entry in its change list."""
        entry = [kind, len(self.change_list) + 1, *details]
        return msgspec.structs.replace(self, change_list=[*self.change_list, entry])


#: share of a value that a job's description may take, and the whole record with its slices
DESCRIPTION, RECORD = 0.6, 0.95


def exceeds_value_limit(record: JobRecord, value_kb: float, share: float) -> bool:
    """Whether a record takes more than a share of what the state service keeps in one value."""
    return len(msgspec.msgpack.encode(record)) > share * value_kb * 1024


def with_cancel(record: JobRecord, value_kb: float) -> JobRecord:
    """Return the record with the entry of a cancel.

    One that was kept under larger limits than now comes out smaller: nothing of a cancelled job is
    placed any more, so the machine types that it may use need not be kept.
    """
    entered = record.with_entry(CANCEL)
    if not exceeds_value_limit(entered, value_kb, 1.0):
        return entered
    return msgspec.structs.replace(
        entered, spec=msgspec.structs.replace(record.spec, machine_types=None)
    )


def with_release(record: JobRecord, wall: float) -> JobRecord:
    """Return the record of a job all of whose awaited jobs are done; they need not be kept."""
    entered = record.with_entry(RELEASE, round(wall, 3))
    return msgspec.structs.replace(
        entered, spec=msgspec.structs.replace(record.spec, depends_on=[])
    )


def all_finite(*values: float | None) -> bool:
    """Whether every number is finite and not negative."""
    return all(v is None or (math.isfinite(v) and v >= 0) for v in values)
