"""The tasks on a simulated agent's machine, and their progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.domain.agents import ExitReason, TaskState
from marblestair.core.domain.jobs import JobKind

if TYPE_CHECKING:
    from tests.fakes.simulated_deployment import SimulatedDeployment


class FakeTask:
    """One attempt of a task on an agent's machine."""

    def __init__(self, job: str, index: int, attempt: int) -> None:
        self.job, self.index, self.attempt = job, index, attempt
        self.state = TaskState.FETCHING
        self.exit_reason = ExitReason.NONE
        self.remaining_s = 0.0
        self.fetch_remaining_s = 0.0
        #: time that the task has waited for the other tasks of its gang
        self.gang_wait_s = 0.0

    def exit(self, reason: ExitReason) -> None:
        """End the task with an exit reason."""
        self.state, self.exit_reason = TaskState.EXITED, reason

    @property
    def is_live(self) -> bool:
        """Whether the task has not exited."""
        return self.state != TaskState.EXITED


def advance_task(deployment: SimulatedDeployment, task: FakeTask, step_s: float) -> None:
    """Advance the fetch of a task's image, its wait for its gang, or its run."""
    if task.state == TaskState.FETCHING:
        _fetch(deployment, task, step_s)
    elif task.state == TaskState.WAITING:
        _wait_for_gang(deployment, task, step_s)
    elif task.state == TaskState.RUNNING:
        _run(deployment, task, step_s)


def _is_in_gang(deployment: SimulatedDeployment, task: FakeTask) -> bool:
    return deployment.tasks.specs[task.job].kind == JobKind.GANG


def _fetch(deployment: SimulatedDeployment, task: FakeTask, step_s: float) -> None:
    """Advance the fetch of a task's image; afterwards the task waits for its gang or runs."""
    if task.fetch_remaining_s > 0.0:
        task.fetch_remaining_s -= step_s
    else:
        task.state = TaskState.WAITING if _is_in_gang(deployment, task) else TaskState.RUNNING


def _wait_for_gang(deployment: SimulatedDeployment, task: FakeTask, step_s: float) -> None:
    """Run a gang once all its tasks wait; end the task when its gang stays incomplete."""
    task.gang_wait_s += step_s
    gang = deployment.tasks.gang(task)
    is_complete = len(gang) == deployment.tasks.specs[task.job].task_count
    if is_complete and all(member.task.state == TaskState.WAITING for member in gang):
        for member in gang:
            member.task.state = TaskState.RUNNING
    elif task.gang_wait_s > deployment.agent_settings.gang_wait_s:
        task.exit(ExitReason.GANG_INCOMPLETE)


def _run(deployment: SimulatedDeployment, task: FakeTask, step_s: float) -> None:
    """Advance a running task; a gang makes progress only while all its members respond."""
    task_history = deployment.tasks
    is_in_gang = _is_in_gang(deployment, task)
    gang = task_history.gang(task) if is_in_gang else []
    if is_in_gang and (
        len(gang) < task_history.specs[task.job].task_count
        or any(member.agent.is_unresponsive for member in gang)
    ):
        task.gang_wait_s += step_s
        if task.gang_wait_s > deployment.agent_settings.gang_peer_s:
            task.exit(ExitReason.PEER_LOST)
        return
    task.gang_wait_s = 0.0
    task.remaining_s -= step_s
    if task.remaining_s <= 0:
        for done in [member.task for member in gang] or [task]:
            done.exit(ExitReason.DONE)
            task_history.record_done(done)
