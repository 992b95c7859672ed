"""Messages between controllers; ``wire/peers.py`` defines the tag of each on the wire."""

from __future__ import annotations

from typing import Any

import msgspec

from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.requests import PeerMessage
from marblestair.core.state.records import JobRecord


class CapacityRefusal(msgspec.Struct, frozen=True, array_like=True):
    """A kind of machine that the cloud has no capacity for.

    For another ``remaining_s`` seconds, controllers request no machines of this kind.
    """

    machine_type: str
    zone: str
    spot: bool
    remaining_s: float


class SliceProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a shard's slice of a job, reported by the shard's leader to the job's manager."""

    job: str
    shard_id: int
    term: int
    done: int
    running: int
    #: number of the slice's tasks that are or may be on machines; -1 while the leader does not know
    #: this number
    placed_tasks: int
    #: number of tasks in the slice
    size: int
    #: whether the leader has applied the job's cancel
    is_cancelled: bool = False


# --- one-way messages --------------------------------------------------------------------------


class ShardSummaries(PeerMessage, frozen=True):
    """Summaries of the shards that the sender leads, and the sender's own state."""

    incarnation: int
    summaries: list[ShardSummary]
    #: whether the sender accepts shards (see ``Connectivity.can_accept_shards``)
    can_accept_shards: bool
    #: kinds of machines that the cloud currently has no capacity for
    refusals: list[CapacityRefusal]


class ProgressReport(PeerMessage, frozen=True):
    """Progress of slices, sent by the leader of their shards to the manager of their jobs."""

    slices: list[SliceProgress]


class CancelConfirmed(PeerMessage, frozen=True):
    """The cancel of a job is confirmed: any controller may report the job as cancelled to users.

    ``revision`` is a revision at which the job's record held the cancel entry.
    """

    job: str
    revision: int


class JobEnded(PeerMessage, frozen=True):
    """The final state of a job on which other jobs depend has been committed."""

    job: str
    state: str


class RecordCommitted(PeerMessage, frozen=True):
    """The sender has committed a job's record, which now has the given version."""

    job: str
    record: JobRecord
    version: int


# --- requests ----------------------------------------------------------------------------------


class QueryJob(PeerMessage, frozen=True):
    """Ask a job's manager for the job's status.

    Reply: a JobStatus, or None when the receiver cannot give one.
    """

    job: str


class CancelJob(PeerMessage, frozen=True):
    """Cancel a job that the receiver manages.

    Reply: the job's final state, or None when the receiver cannot cancel the job or the cancel was
    not confirmed in time.
    """

    job: str


class ApplyCancel(PeerMessage, frozen=True):
    """Apply the committed cancel of a job.

    The receiver applies the cancel in all shards that it leads. ``revision`` is a revision at which
    the job's record contained the cancel. Reply: the id and term of each of these shards.
    """

    job: str
    revision: int


class LockSlices(PeerMessage, frozen=True):
    """Ask a job's manager for the locks that a migration of some of the job's tasks needs.

    Reply: True if the locks are granted, False if not, None if the receiver does not manage the
    job.
    """

    job: str
    holder: str


class UpdateSlices(PeerMessage, frozen=True):
    """Ask a job's manager to commit a migration of tasks from one shard to another.

    The source shard's leader has stopped starting these tasks.

    Reply: the job record's new version in a list; False when the record was not changed and this
    request will not change it; None when the outcome is not known.
    """

    job: str
    holder: str
    source: int
    #: term of the source shard under which its leader stopped starting the tasks
    term: int
    #: ``stay`` or ``log_off``: whether the source shard stays in the job's ActiveServers
    option: str
    target: int
    #: ranges [start, end) of the task indexes to move
    ranges: list[list[int]]


class ReleaseSlices(PeerMessage, frozen=True):
    """Release the locks of a migration.

    Reply: True if the locks are released; False while an update of the job's record is in progress
    or the outcome of the update is uncertain; None if the receiver does not manage the job.
    """

    job: str
    holder: str


class RequestStatus(PeerMessage, frozen=True):
    """Ask a controller for its status report, for operators.

    Reply: a map.
    """


class RequestPromise(PeerMessage, frozen=True):
    """Ask the receiver to promise not to take over the sender's shards for the duration of a lease.

    Reply: the cancels, as pairs of job and revision, that a view as of ``revision`` may lack; None
    when the receiver gives no promise.
    """

    #: name and incarnation of the sender
    node: str
    incarnation: int
    #: revision of the sender's view
    revision: int


class AnnounceMigration(PeerMessage, frozen=True):
    """Announce a committed migration to the leader of its target shard.

    Reply: the number of entries of the job's change list that the receiver knows.
    """

    job: str
    #: version of the job's record that includes the migration
    version: int


class SendChangeEntries(PeerMessage, frozen=True):
    """Send the leader of a migration's target shard the change entries that this leader lacks.

    Reply: True.
    """

    job: str
    #: number of entries that the receiver reported as known
    known: int
    entries: list[list[Any]]
    version: int
