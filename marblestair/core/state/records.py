"""The records that the store keeps: jobs, the shard map, machines and rental intents.

All are stored as arrays, so names of fields may change; the order may not, and new fields come at
the end with a default (the version in production reads them too).
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from marblestair.core.domain.jobs import JobSpec


class ChangeKind(enum.StrEnum):
    """Kinds of entries in a job's change list."""

    #: its user cancelled it
    CANCEL = "cancel"
    #: all that it depends on is done
    RELEASE = "release"


class JobRecord(msgspec.Struct, array_like=True):
    """A live job as the store has it."""

    spec: JobSpec
    #: shard whose leader runs the job's ServerManager
    manager_shard: int
    #: ActiveServers: shard -> ranges [start, end) of the task numbers that it has
    slices: dict[str, list[list[int]]]
    #: ``["cancel", sequence]``, and ``["release", sequence, wall-clock time]`` for a job that
    #: depends on others
    change_list: list[list[Any]]
    #: shards that recorded their slices here as complete, because the manager did not reply
    complete_shards: list[int] = []

    @property
    def is_cancelled(self) -> bool:
        """Whether the change list holds a cancel."""
        return any(entry[0] == ChangeKind.CANCEL for entry in self.change_list)

    @property
    def is_blocked(self) -> bool:
        """Whether no task may start yet, because the job depends on others."""
        return bool(self.spec.depends_on) and self._released_at is None

    @property
    def startable_since(self) -> float:
        """Wall-clock time since which tasks may start; that of acceptance if it depends on none."""
        released_at = self._released_at
        return self.spec.accepted_at if released_at is None else released_at

    @property
    def _released_at(self) -> float | None:
        return next(
            (float(entry[2]) for entry in self.change_list if entry[0] == ChangeKind.RELEASE), None
        )

    def with_entry(self, kind: ChangeKind, *details: Any) -> JobRecord:
        """Return the record with one more entry in its change list."""
        entry = [kind, len(self.change_list) + 1, *details]
        return msgspec.structs.replace(self, change_list=[*self.change_list, entry])


#: share of a value in the store that a job's description may take
MAX_SPEC_SHARE = 0.6
#: share of a value in the store that a whole record may take, with its slices
MAX_RECORD_SHARE = 0.95


def exceeds_value_limit(record: JobRecord, value_kb: float, share: float) -> bool:
    """Whether a record takes more than a share of what the store takes in one value."""
    return len(msgspec.msgpack.encode(record)) > share * value_kb * 1024


def with_cancel(record: JobRecord, value_kb: float) -> JobRecord:
    """Return the record with the entry of a cancel.

    One that was stored under larger limits than now comes out smaller: nothing of a cancelled job
    is placed any more, so the machine types that it may use need not be in it.
    """
    entered = record.with_entry(ChangeKind.CANCEL)
    if not exceeds_value_limit(entered, value_kb, 1.0):
        return entered
    return msgspec.structs.replace(
        entered, spec=msgspec.structs.replace(record.spec, machine_types=None)
    )


def with_release(record: JobRecord, wall: float) -> JobRecord:
    """Return the record of a job whose parents are all done; they need not be in it any more."""
    entered = record.with_entry(ChangeKind.RELEASE, round(wall, 3))
    return msgspec.structs.replace(
        entered, spec=msgspec.structs.replace(record.spec, depends_on=[])
    )


class ShardRecord(msgspec.Struct, array_like=True):
    """One shard: its leader (node and incarnation), its term and its quota of each team."""

    leader: str
    incarnation: int
    term: int
    quotas: dict[str, list[int]]
    #: term under which the leader acquired the shard; a raise of the term leaves it
    acquired_term: int = 0


class ShardMap(msgspec.Struct, array_like=True):
    """All shards; ``last_term`` is the highest term ever given out."""

    last_term: int
    shards: list[ShardRecord]


class MachineRecord(msgspec.Struct, array_like=True):
    """The shard that a machine belongs to."""

    shard_id: int
    machine_type: str
    zone: str
    spot: bool
    #: wall-clock time at which it was rented or first seen
    added_at: float


class RentalIntent(msgspec.Struct, array_like=True, frozen=True):
    """A rental request, recorded before it is sent."""

    machine_type: str
    zone: str
    spot: bool
    count: int
    #: wall-clock time at which it was recorded
    recorded_at: float | None = None
