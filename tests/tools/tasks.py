"""Simulated tasks on an agent's machine, and the gangs that they form."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tests.tools.workload import Job

#: simulated time between two steps of all tasks
STEP_S = 0.25
#: run time of a new attempt of a task that completed before
COMPLETED_RERUN_S = 0.2


class State:
    """States of a task, as agents report them."""

    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class Cause:
    """Why a task ended, as agents report it."""

    DONE = "done"
    STOPPED = "halted"
    GANG_BROKEN = "mates_gone"
    GANG_INCOMPLETE = "alone"
    ERROR = "error"
    NO_ROOM = "no_room"
    IN_USE = "in_use"
    UNKNOWN = "unknown"


@dataclass
class Task:
    """One attempt of a task on one machine."""

    task_id: str
    attempt: int
    #: the task's job; None if it is unknown
    job: Job | None
    index: int
    state: str = State.FETCHING
    cause: str | None = None
    is_stored: bool | None = None
    fetch_left_s: float = 0.0
    waited_s: float = 0.0
    gang_broken_s: float = 0.0
    progress_s: float = 0.0
    save_left_s: float = 0.0

    @property
    def is_live(self) -> bool:
        """Whether the task has not ended."""
        return self.state != State.EXITED

    @property
    def has_image(self) -> bool:
        """Whether the task has its image and has not ended."""
        return self.state in (State.WAITING, State.RUNNING, State.SAVING)

    @property
    def gang_key(self) -> tuple[str, int]:
        """Job id and attempt, which identify the gang to which the task belongs."""
        return self.task_id.rpartition("/")[0], self.attempt

    def end(self, cause: str) -> None:
        """End the task with a cause."""
        self.state, self.cause = State.EXITED, cause

    def report(self) -> dict[str, Any]:
        """Return the task's entry of a heartbeat."""
        entry: dict[str, Any] = {"piece": self.task_id, "try": self.attempt, "status": self.state}
        if self.cause is not None:
            entry["cause"] = self.cause
        if self.is_stored is not None:
            entry["stored"] = self.is_stored
        return entry

    # progress

    def start(self) -> None:
        """Run from the last checkpoint."""
        assert self.job is not None
        self.state = State.RUNNING
        self.progress_s = self.job.saved_s.get(self.job.progress_key(self.index), 0.0)

    def run(self, passed_s: float) -> bool:
        """Advance the task by ``passed_s`` seconds; return whether it is complete."""
        job = self.job
        assert job is not None
        self.progress_s += passed_s
        if job.checkpoint_s > 0:
            steps = int(self.progress_s / job.checkpoint_s)
            self._save(steps * job.checkpoint_s)
        if job.is_service:
            return False
        needed_s = COMPLETED_RERUN_S if self.index in job.completed else job.run_s[self.index]
        return self.progress_s >= needed_s

    def complete(self) -> None:
        """End the task as done, and record that it completed."""
        assert self.job is not None
        self.job.completed[self.index] = True
        self.end(Cause.DONE)

    def stop(self, grace_s: float) -> None:
        """Stop the task; save a checkpoint first if the grace period is long enough."""
        job = self.job
        if self.state == State.RUNNING and job is not None and job.checkpoint_s > 0:
            cost_s = job.description["bookmark_cost_s"]
            if grace_s >= cost_s:
                self.state, self.save_left_s = State.SAVING, cost_s
                return
        if self.state != State.SAVING or grace_s == 0:
            self.end(Cause.STOPPED)

    def save(self, passed_s: float) -> None:
        """Continue to save the checkpoint; end the task when the checkpoint is complete."""
        self.save_left_s -= passed_s
        if self.save_left_s <= 0:
            self._save(self.progress_s)
            self.is_stored = True
            self.end(Cause.STOPPED)

    def _save(self, progress_s: float) -> None:
        assert self.job is not None
        gang_key = self.job.progress_key(self.index)
        self.job.saved_s[gang_key] = max(progress_s, self.job.saved_s.get(gang_key, 0.0))


class Gangs:
    """Tracks the members of all gangs across machines."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, int], list[tuple[Task, Callable[[], bool]]]] = {}

    def join(self, task: Task, is_reachable: Callable[[], bool]) -> None:
        """Add a task to its gang."""
        self._members.setdefault(task.gang_key, []).append((task, is_reachable))

    def members(self, task: Task) -> list[Task]:
        """Return the members of a task's gang that have their images and reachable machines."""
        members = self._members.get(task.gang_key, [])
        members = [(x, is_reachable) for x, is_reachable in members if x.has_image]
        self._members[task.gang_key] = members
        return [x for x, is_reachable in members if is_reachable()]

    def is_complete(self, task: Task) -> bool:
        """Return whether all members of a task's gang have their images and are reachable."""
        assert task.job is not None
        return len(self.members(task)) >= int(task.job.description["pieces"])
