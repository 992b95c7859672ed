"""The jobs of a simulated deployment, and the starts and completions of their tasks."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from marblestair.core.domain.agents import TaskState
from marblestair.core.domain.jobs import JobKind, JobSpec
from tests.fakes.event_queue import EventQueue

if TYPE_CHECKING:
    from tests.fakes.agent import FakeAgent
    from tests.fakes.agent_tasks import FakeTask

#: run time of a task that has been completed before
REPEATED_RUN_S = 0.2
#: bounds of the random ratio between an array task's run time and its job's estimate
MIN_RUN_RATIO, MAX_RUN_RATIO = 0.5, 1.5


class TaskStart(NamedTuple):
    """A start of a task on its agent."""

    at: float
    job: str
    task_index: int
    machine: str
    attempt: int


class GangMember(NamedTuple):
    """A task of a gang, and the agent that runs it."""

    agent: FakeAgent
    task: FakeTask


class TaskHistory:
    """Records the spec of each job, the starts of its tasks and their completions."""

    def __init__(self, rng: random.Random, events: EventQueue) -> None:
        self._rng = rng
        self._events = events
        self.specs: dict[str, JobSpec] = {}
        self.starts: list[TaskStart] = []
        #: (job, task index) of completed tasks
        self.done: set[tuple[str, int]] = set()
        #: job -> time of the latest completion of a task
        self.done_at: dict[str, float] = {}
        #: (job, task index) -> run time set by a test
        self.run_times_s: dict[tuple[str, int], float] = {}
        #: time that an agent takes to fetch an image
        self.fetch_s = 0.0
        #: job -> agents, by name, that received a start command for one of its tasks
        self._agents_by_job: dict[str, dict[str, FakeAgent]] = {}

    def record_agent(self, job: str, agent: FakeAgent) -> None:
        """Record that an agent received a start command for a task of a job."""
        self._agents_by_job.setdefault(job, {})[agent.name] = agent

    def record_start(self, task: FakeTask, machine: str) -> None:
        """Record the start of a task on a machine."""
        self.starts.append(TaskStart(self._events.now, task.job, task.index, machine, task.attempt))

    def record_done(self, task: FakeTask) -> None:
        """Record the completion of a task."""
        self.done.add((task.job, task.index))
        self.done_at[task.job] = self._events.now

    def agents_of(self, job: str) -> list[FakeAgent]:
        """Return the agents that received a start command for a task of a job."""
        return list(self._agents_by_job.get(job, {}).values())

    def starts_of(self, job: str) -> list[TaskStart]:
        """Return the starts of a job's tasks."""
        return [start for start in self.starts if start.job == job]

    def has_started(self, job: str) -> bool:
        """Return whether any task of a job has started."""
        return any(start.job == job for start in self.starts)

    def machines_of(self, job: str) -> set[str]:
        """Return the machines on which tasks of a job started."""
        return {start.machine for start in self.starts if start.job == job}

    def is_done(self, job: str) -> bool:
        """Return whether all tasks of a job are done."""
        return all((job, index) in self.done for index in range(self.specs[job].task_count))

    def unfinished_tasks(self, job: str) -> list[int]:
        """Return the indices of a job's tasks that are not done."""
        return [
            index for index in range(self.specs[job].task_count) if (job, index) not in self.done
        ]

    def run_time_s(self, job: str, index: int) -> float:
        """Return the run time of a task."""
        if (job, index) in self.done:
            return REPEATED_RUN_S
        return self.run_times_s.get((job, index)) or self._random_run_time_s(self.specs[job])

    def _random_run_time_s(self, spec: JobSpec) -> float:
        if spec.kind == JobKind.GANG:
            return spec.estimated_run_s
        return spec.estimated_run_s * self._rng.uniform(MIN_RUN_RATIO, MAX_RUN_RATIO)

    def gang(self, task: FakeTask) -> list[GangMember]:
        """Return the waiting or running members of a task's gang, of the same attempt."""
        return [
            GangMember(agent, other)
            for agent in self.agents_of(task.job)
            if not agent.is_released
            for other in agent.tasks.values()
            if other.job == task.job
            and other.attempt == task.attempt
            and other.state in (TaskState.WAITING, TaskState.RUNNING)
        ]
