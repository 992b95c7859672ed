"""Records in the store: jobs, the shard map, machines and rental intents.

Records are stored as arrays of their fields, and the deployed release of marblestair reads the same
records. Fields may therefore be renamed but not reordered, and new fields are appended with a
default.
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from marblestair.core.domain.jobs import JobSpec


class ChangeKind(enum.StrEnum):
    """Kind of an entry in a job's change list."""

    #: the user cancelled the job
    CANCEL = "cancel"
    #: all jobs that the job depends on are done
    RELEASE = "release"


class JobRecord(msgspec.Struct, array_like=True):
    """Record of a live job."""

    spec: JobSpec
    #: shard whose leader runs the job's ServerManager
    manager_shard: int
    #: ActiveServers: shard -> ranges [start, end) of the task indexes in its slice
    slices: dict[str, list[list[int]]]
    #: entries ``["cancel", sequence]`` and, for a job that depends on other jobs,
    #: ``["release", sequence, wall-clock time]``
    change_list: list[list[Any]]
    #: shards whose slices of the job are complete. The leader of such a shard records the shard
    #: here if the job's manager did not respond.
    complete_shards: list[int] = []

    @property
    def is_cancelled(self) -> bool:
        """Whether the change list contains a cancel entry."""
        return any(entry[0] == ChangeKind.CANCEL for entry in self.change_list)

    @property
    def is_blocked(self) -> bool:
        """Whether no task may start yet, because the job depends on jobs that are not all done."""
        return bool(self.spec.depends_on) and self._released_at is None

    @property
    def startable_since(self) -> float:
        """Wall-clock time of the job's release, or of its acceptance if it has no release entry."""
        released_at = self._released_at
        return self.spec.accepted_at if released_at is None else released_at

    @property
    def _released_at(self) -> float | None:
        return next(
            (float(entry[2]) for entry in self.change_list if entry[0] == ChangeKind.RELEASE), None
        )

    def with_entry(self, kind: ChangeKind, *details: Any) -> JobRecord:
        """Return the record with an entry appended to its change list."""
        entry = [kind, len(self.change_list) + 1, *details]
        return msgspec.structs.replace(self, change_list=[*self.change_list, entry])


#: maximum size of the record of a newly submitted job without its slices, as a share of the store's
#: value limit
MAX_SPEC_SHARE = 0.6
#: maximum size of a record with its slices after a migration, as a share of the store's value limit
MAX_RECORD_SHARE = 0.95


def exceeds_value_limit(record: JobRecord, value_kb: float, share: float) -> bool:
    """Return whether a record is larger than a share of the store's value limit in KiB."""
    return len(msgspec.msgpack.encode(record)) > share * value_kb * 1024


def with_cancel(record: JobRecord, value_kb: float) -> JobRecord:
    """Return the record with a cancel entry appended.

    If the store's value limit was larger when the record was stored, the record with the entry may
    exceed the current limit. The list of permitted machine types is then removed from the result.
    The list is not needed, since tasks of a cancelled job are not placed any more.
    """
    updated = record.with_entry(ChangeKind.CANCEL)
    if not exceeds_value_limit(updated, value_kb, 1.0):
        return updated
    return msgspec.structs.replace(
        updated, spec=msgspec.structs.replace(record.spec, machine_types=None)
    )


def with_release(record: JobRecord, wall: float) -> JobRecord:
    """Return the record with a release entry appended and its dependencies, all done, removed."""
    updated = record.with_entry(ChangeKind.RELEASE, round(wall, 3))
    return msgspec.structs.replace(
        updated, spec=msgspec.structs.replace(record.spec, depends_on=[])
    )


class ShardRecord(msgspec.Struct, array_like=True):
    """Leader (node and incarnation), term and quotas of one shard.

    ``quotas`` maps each team to its cpus and gpus in fixed point.
    """

    leader: str
    incarnation: int
    term: int
    quotas: dict[str, list[int]]
    #: term under which the leader acquired the shard; unchanged by later increases of ``term``
    acquired_term: int = 0


class ShardMap(msgspec.Struct, array_like=True):
    """All shards; ``last_term`` is the highest term ever assigned to any shard."""

    last_term: int
    shards: list[ShardRecord]


class MachineRecord(msgspec.Struct, array_like=True):
    """Record of a machine, with the shard that it belongs to."""

    shard_id: int
    machine_type: str
    zone: str
    spot: bool
    #: wall-clock time at which the machine was rented or first seen
    added_at: float


class RentalIntent(msgspec.Struct, array_like=True, frozen=True):
    """A rental request, committed before it is sent to the cloud."""

    machine_type: str
    zone: str
    spot: bool
    count: int
    #: wall-clock time at which the intent was recorded
    recorded_at: float | None = None
