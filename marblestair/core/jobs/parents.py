"""The jobs that a submission awaits, as they are found when it comes in.

Users name only jobs that were accepted, by any node: one that nobody accepted is refused, but only
after a read of the state service that was sent after the request came in.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.answers import UNKNOWN, JobStatus
from marblestair.core.runtime.coroutines import Step

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: time for the reads of one submission, of the 5 s that its user waits
LOOK_S = 2.5


class ParentsState(enum.Enum):
    """What is to become of a submission by the jobs that it awaits."""

    #: all were accepted, and none is cancelled
    ACCEPTED = enum.auto()
    #: one of them, or a job before it, is cancelled
    CANCELLED = enum.auto()
    #: one of them was never accepted
    UNKNOWN = enum.auto()
    #: it could not be told now
    UNDECIDED = enum.auto()


class Parents(msgspec.Struct, frozen=True):
    """What was found of the awaited jobs."""

    state: ParentsState
    #: those that are not done
    unfinished: list[str] = []
    #: the one that decided
    deciding: str = ""


def look_up_parents(controller: Controller, awaits: list[str]) -> Step:
    """Look for each awaited job: in what is remembered, in the view, and else by a read.

    What was read is remembered, so that a repeated submission goes on where this one ended.
    """
    until = controller.now + LOOK_S
    unfinished = []
    cancelled = ""
    for job in awaits:
        if controller.now > until:
            return Parents(ParentsState.UNDECIDED, [], job)
        status: JobStatus | None = yield from _status(controller, job)
        if status is None:
            return Parents(ParentsState.UNDECIDED, [], job)
        if status == UNKNOWN:
            return Parents(ParentsState.UNKNOWN, [], job)
        if status.state is JobState.CANCELLED:
            cancelled = job
        elif status.state is not JobState.DONE:
            unfinished.append(job)
    if cancelled:
        return Parents(ParentsState.CANCELLED, unfinished, cancelled)
    return Parents(ParentsState.ACCEPTED, unfinished)


def _status(controller: Controller, job: str) -> Step:
    """One job's status as far as it matters here; None when it cannot be told now."""
    answers = controller.answers
    if job not in answers.final_states and job not in controller.view.jobs:
        status: JobStatus | None = yield from answers.lookups.find_final(job)
        if status is None or status == UNKNOWN:
            return status
    if job in answers.final_states:
        return JobStatus(answers.final_states[job])
    is_cancelled = controller.dependencies.is_cancelled(job)
    return JobStatus(JobState.CANCELLED if is_cancelled else JobState.QUEUED)
