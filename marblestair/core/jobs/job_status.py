"""What users are answered about a job, and the proofs that no earlier answer was newer."""

from __future__ import annotations

import enum

import msgspec

from marblestair.core.domain.jobs import FINAL_STATES, JobState


class JobStatus(msgspec.Struct, frozen=True, array_like=True):
    """The answer about a job: its state, and for display its tasks done and running."""

    state: JobState
    done: int | None = None
    running: int | None = None

    @property
    def is_final(self) -> bool:
        """Whether the job is over for good."""
        return self.state in FINAL_STATES


#: of a job that nobody submitted
UNKNOWN = JobStatus(JobState.UNKNOWN)


class Proof(enum.Enum):
    """Why a status is not older than anything that was answered before the request came in."""

    #: the leader of the job's manager shard may act, and no change of the record that it sent is
    #: on its way or uncertain: it alone can commit a final state
    MANAGER = enum.auto()
    #: a read of the store, sent after the request came in
    READ = enum.auto()
    #: another node had such a proof when it was asked, after the request came in
    PEER = enum.auto()


class ProvenStatus(msgspec.Struct, frozen=True):
    """A status that is not final, with its proof."""

    status: JobStatus
    proof: Proof
