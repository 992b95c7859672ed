"""The messages between controllers.

Which tag each has on the wire is in ``wire/peers.py``, and nowhere else.
"""

from __future__ import annotations

from typing import Any

import msgspec

from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.requests import PeerMessage
from marblestair.core.state.records import JobRecord


class CapacityRefusal(msgspec.Struct, frozen=True, array_like=True):
    """A kind of machine that the cloud has none of, and for how long it is not asked for."""

    machine_type: str
    zone: str
    spot: bool
    remaining_s: float


class SliceProgress(msgspec.Struct, frozen=True, array_like=True):
    """What the leader of a shard last reported to the manager about its slice of a job."""

    job: str
    shard_id: int
    term: int
    done: int
    running: int
    #: tasks on machines or perhaps so; -1 while that is not known
    placed_tasks: int
    size: int
    #: the leader has applied the job's cancel
    is_cancelled: bool = False


# --- one-way messages --------------------------------------------------------------------------


class ShardSummaries(PeerMessage, frozen=True):
    """What a controller knows of the shards that it leads, and of its own connections."""

    incarnation: int
    summaries: list[ShardSummary]
    #: whether agents reach the sender
    can_accept_shards: bool
    refusals: list[CapacityRefusal]


class ProgressReport(PeerMessage, frozen=True):
    """What the leader of a shard reports to the managers of jobs about their slices there."""

    slices: list[SliceProgress]


class CancelConfirmed(PeerMessage, frozen=True):
    """Users may be answered that a job is cancelled, whose record had the entry at a revision."""

    job: str
    revision: int


class JobEnded(PeerMessage, frozen=True):
    """The final state of a job that others depend on is committed."""

    job: str
    state: str


class RecordCommitted(PeerMessage, frozen=True):
    """A job's record was committed at a version."""

    job: str
    record: JobRecord
    version: int


# --- requests ----------------------------------------------------------------------------------


class QueryJob(PeerMessage, frozen=True):
    """The status of a job, from its manager; replied to with a JobStatus, or None."""

    job: str


class CancelJob(PeerMessage, frozen=True):
    """Cancel a job that the receiver manages; replied to with its final state, or None."""

    job: str


class ApplyCancel(PeerMessage, frozen=True):
    """Apply a committed cancel; replied to with pairs of shard and term for which that is done."""

    job: str
    revision: int


class LockSlices(PeerMessage, frozen=True):
    """Take a migration's locks at a job's manager; replied to with True if they are given."""

    job: str
    holder: str


class UpdateSlices(PeerMessage, frozen=True):
    """Make a migration durable: task numbers that its source has dropped, for another shard.

    Replied to with the record's new version in a list, False when nothing was and will be changed,
    and None when that is not known.
    """

    job: str
    holder: str
    source: int
    #: term under which the source dropped them
    term: int
    #: ``stay`` or ``log_off``
    option: str
    target: int
    ranges: list[list[int]]


class ReleaseSlices(PeerMessage, frozen=True):
    """Give a migration's locks up; replied to with True once that is done."""

    job: str
    holder: str


class RequestStatus(PeerMessage, frozen=True):
    """What a controller sees and does, for operators; replied to with a map."""


class RequestPromise(PeerMessage, frozen=True):
    """Promise not to take the sender's shards over for the time of a lease.

    Replied to with the cancels, as pairs of job and revision, that a view of the sender's revision
    may lack, or with None when no promise is given.
    """

    node: str
    incarnation: int
    revision: int


class AnnounceMigration(PeerMessage, frozen=True):
    """A slice was moved to the receiver; replied to with the last change entry known there."""

    job: str
    version: int


class SendChangeEntries(PeerMessage, frozen=True):
    """Later change entries of a job; replied to with True."""

    job: str
    #: number of entries that the receiver said it knows
    known: int
    entries: list[list[Any]]
    version: int
