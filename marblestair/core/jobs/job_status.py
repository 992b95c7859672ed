"""The status of a job in answers to users, and the proofs that it is not stale."""

from __future__ import annotations

import enum

import msgspec

from marblestair.core.domain.jobs import FINAL_STATES, JobState


class JobStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of a job and, for display only, its numbers of done and running tasks if known."""

    state: JobState
    done: int | None = None
    running: int | None = None

    @property
    def is_final(self) -> bool:
        """Whether the state is final, so that it never changes again."""
        return self.state in FINAL_STATES


#: status of an id under which no job was accepted
UNKNOWN = JobStatus(JobState.UNKNOWN)


class Proof(enum.Enum):
    """Why a status is at least as recent as every answer given before the request arrived."""

    #: the answering node may act as leader of the job's manager shard, so no other node can commit
    #: a final state; and no commit of the record by this node is in flight or uncertain
    MANAGER = enum.auto()
    #: a read of the store that was sent after the request arrived
    READ = enum.auto()
    #: another node, asked after the request arrived, had a proof of the status
    PEER = enum.auto()


class ProvenStatus(msgspec.Struct, frozen=True):
    """A status that is not final, and the proof that it is not stale."""

    status: JobStatus
    proof: Proof
