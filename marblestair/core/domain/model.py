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
def up(x: float) -> int:
    """A requested amount as fixed point, rounded up."""
    return int((Decimal(repr(x)) * UNIT).to_integral_value(ROUND_CEILING))


@lru_cache(maxsize=4096)
def down(x: float) -> int:
    """An available amount as fixed point, rounded down."""
    return int((Decimal(repr(x)) * UNIT).to_integral_value(ROUND_FLOOR))


#: independent tasks that run to completion; tasks that run together or not at all; independent
#: tasks that run until their job is cancelled
ARRAY, GANG, SERVICE = "array", "gang", "service"
PRIORITIES = {"production": 3, "high": 2, "normal": 1, "low": 0}


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """A job as its user described it, in the names used inside."""

    id: str
    cls: str
    team: str
    kind: str
    priority: str
    tasks: int
    cpus: float
    gpus: float
    mem_gb: float
    image: str
    image_gb: float
    types: list[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    #: wall-clock time of acceptance, for ordering and deadlines only
    at: float = 0.0
    #: jobs that must be done before a task of this one starts, as far as they were not done when
    #: it was accepted
    awaits: list[str] = []

    @property
    def need(self) -> tuple[int, int, int]:
        """What one task takes: cpus, gpus and memory in fixed point."""
        return up(self.cpus), up(self.gpus), up(self.mem_gb)

    def may_run_on(self, type_name: str, zone: str, spot: bool) -> bool:
        """Whether the job may run on a kind of machine."""
        return (
            (self.types is None or type_name in self.types)
            and (self.zone is None or zone == self.zone)
            and (self.spot or not spot)
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
    def size(self) -> tuple[int, int, int]:
        """Capacity in fixed point."""
        return down(self.cpus), down(self.gpus), down(self.mem_gb)

    def fits(self, need: tuple[int, int, int]) -> bool:
        """Whether an empty machine of this type can hold one such task."""
        return all(n <= s for n, s in zip(need, self.size, strict=True))


class TaskStatus(msgspec.Struct, frozen=True):
    """One task as a worker reports it."""

    job: str
    index: int
    attempt: int
    state: str
    why: str = ""
    saved: bool = False


class Heartbeat(msgspec.Struct, frozen=True):
    """A worker's report."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    notice_s: float | None
    tasks: list[TaskStatus]


class TaskCommand(msgspec.Struct, frozen=True):
    """A command to a worker: ``start``, ``stop`` or ``forget``."""

    op: str
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
    manager: int
    #: ActiveServers: part -> index ranges [a, b) it holds
    slices: dict[str, list[list[int]]]
    #: change list: ``["cancel", seq]``, and ``["release", seq, wall-clock time]`` for a job that
    #: awaits others
    changes: list[list[Any]]
    #: parts that recorded their slices here as complete, because the manager did not hear them
    complete: list[int] = []

    @property
    def cancelled(self) -> bool:
        """Whether the change list holds a cancel."""
        return any(entry[0] == CANCEL for entry in self.changes)

    @property
    def is_waiting(self) -> bool:
        """Whether no task may start yet, because the job awaits others."""
        return bool(self.spec.awaits) and self._released_at is None

    @property
    def ready_at(self) -> float:
        """Wall-clock time since which tasks may start; that of acceptance if none was awaited."""
        released_at = self._released_at
        return self.spec.at if released_at is None else released_at

    @property
    def _released_at(self) -> float | None:
        return next((float(entry[2]) for entry in self.changes if entry[0] == RELEASE), None)

    def with_entry(self, kind: str, *details: Any) -> JobRecord:
        """Return the record with one more entry in its change list."""
        entry = [kind, len(self.changes) + 1, *details]
        return msgspec.structs.replace(self, changes=[*self.changes, entry])


#: share of a value that a job's description may take, and the whole record with its slices
DESCRIPTION, RECORD = 0.6, 0.95


def too_large(record: JobRecord, value_kb: float, share: float) -> bool:
    """Whether a record takes more than a share of what the state service keeps in one value."""
    return len(msgspec.msgpack.encode(record)) > share * value_kb * 1024


def cancelled(record: JobRecord, value_kb: float) -> JobRecord:
    """Return the record with the entry of a cancel.

    One that was kept under larger limits than now comes out smaller: nothing of a cancelled job is
    placed any more, so the machine types that it may use need not be kept.
    """
    entered = record.with_entry(CANCEL)
    if not too_large(entered, value_kb, 1.0):
        return entered
    return msgspec.structs.replace(entered, spec=msgspec.structs.replace(record.spec, types=None))


def released(record: JobRecord, wall: float) -> JobRecord:
    """Return the record of a job all of whose awaited jobs are done; they need not be kept."""
    entered = record.with_entry(RELEASE, round(wall, 3))
    return msgspec.structs.replace(entered, spec=msgspec.structs.replace(record.spec, awaits=[]))


def finite(*values: float | None) -> bool:
    """Whether every number is finite and not negative."""
    return all(v is None or (math.isfinite(v) and v >= 0) for v in values)
