"""A survey of a shard's preemptible tasks, by the priority rank of the preempting gang."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import PRIORITY_RANKS
from marblestair.core.shard.machine import Machine, PlacedTask
from marblestair.core.shard.shard import Shard


class SurveyedMachine(msgspec.Struct):
    """A usable machine, and the effect of preempting all its preemptible tasks."""

    machine: Machine
    #: work that would be lost: cpu seconds, in fixed point
    lost_work: float
    #: cpus, gpus and memory that would be free after the preemption, in fixed point
    free_after: list[int]


def preemptible_tasks(shard: Shard, machine: Machine, rank: int) -> list[PlacedTask]:
    """Return the tasks on a machine that a gang of a priority rank may preempt.

    These are the tasks of lower rank, and those whose slice is not in the shard.
    """
    tasks = []
    for task in machine.tasks.values():
        job_slice = shard.slices.get(task.job)
        if job_slice is None or PRIORITY_RANKS[job_slice.spec.priority] < rank:
            tasks.append(task)
    return tasks


def free_after_removal(machine: Machine, tasks: list[PlacedTask]) -> list[int]:
    """Return a machine's free capacity after some of its tasks have ended, in fixed point."""
    free = list(machine.free)
    for task in tasks:
        for i in (0, 1, 2):
            free[i] += task.resources[i]
    return free


def count_fitting_tasks(free: list[int], resources: Resources) -> int:
    """Return how many tasks fit into free capacity; 0 if a task uses no resources."""
    fits = (amount // x for amount, x in zip(free, resources, strict=True) if x > 0)
    return max(0, min(fits, default=0))


class PreemptionSurvey:
    """Determines a shard's preemptible tasks, and caches them for all gangs in one pass.

    The argument ``rank`` of the methods is the rank of the preempting gang's priority.
    """

    def __init__(self, shard: Shard, now: float) -> None:
        self._shard = shard
        self._now = now
        self._machines: dict[int, list[SurveyedMachine]] = {}
        #: team and rank -> the team's placed tasks of lower rank, in the order of preemption
        self._tasks: dict[tuple[str, int], list[PlacedTask]] = {}
        #: team and rank -> cpus of the tasks in ``_tasks``, in fixed point
        self._cpus: dict[tuple[str, int], int] = {}

    def machines(self, rank: int) -> list[SurveyedMachine]:
        """Return the usable machines of the shard, with the effect of preemption for a rank."""
        surveyed = self._machines.get(rank)
        if surveyed is None:
            surveyed = self._machines[rank] = self._survey_machines(rank)
        return surveyed

    def _survey_machines(self, rank: int) -> list[SurveyedMachine]:
        surveyed = []
        now = self._now
        for machine in self._shard.machines.values():
            if not machine.is_usable(now):
                continue
            free, lost_work = list(machine.free), 0.0
            for task in preemptible_tasks(self._shard, machine, rank):
                for i in (0, 1, 2):
                    free[i] += task.resources[i]
                if task.running_since is not None:
                    lost_work += task.resources[0] * (now - task.running_since)
            surveyed.append(SurveyedMachine(machine, lost_work, free))
        return surveyed

    def preemptible_cpus(self, team: str, rank: int) -> int:
        """Return the cpus of a team's tasks that may be preempted for a rank, in fixed point."""
        self._tasks_of(team, rank)
        return self._cpus[(team, rank)]

    def choose_tasks_to_stop(
        self, team: str, rank: int, cpus: int, excluded: list[PlacedTask]
    ) -> list[PlacedTask] | None:
        """Choose tasks of a team to stop, in order to free ``cpus`` of the team's quota.

        Tasks that are already being stopped are chosen first, then those with the shortest run
        time. Tasks in ``excluded``, which the caller stops anyway, are not chosen. Returns None if
        the team's preemptible tasks in the shard free too few cpus.
        """
        chosen: list[PlacedTask] = []
        if cpus <= 0:
            return chosen
        excluded_ids = {id(task) for task in excluded}
        for task in self._tasks_of(team, rank):
            if cpus <= 0:
                break
            if id(task) not in excluded_ids:
                chosen.append(task)
                cpus -= task.resources[0]
        return None if cpus > 0 else chosen

    def _tasks_of(self, team: str, rank: int) -> list[PlacedTask]:
        """Return a team's tasks that may be preempted for a rank, in the order of preemption."""
        tasks = self._tasks.get((team, rank))
        if tasks is None:
            tasks = []
            for job_slice in self._shard.slices.values():
                spec = job_slice.spec
                if spec.team != team or PRIORITY_RANKS[spec.priority] >= rank:
                    continue
                for index, machine in job_slice.placed_on.items():
                    task = machine.tasks.get((spec.id, index))
                    if task is not None:
                        tasks.append(task)
            tasks.sort(key=self._preemption_order)
            self._tasks[(team, rank)] = tasks
            self._cpus[(team, rank)] = sum(task.resources[0] for task in tasks)
        return tasks

    def _preemption_order(self, task: PlacedTask) -> tuple[bool, float]:
        """Return a sort key: tasks being stopped first, then those with the shortest run time."""
        if task.stop_grace_s is not None:
            return False, 0.0
        return True, 0.0 if task.running_since is None else self._now - task.running_since

    def invalidate_team(self, team: str) -> None:
        """Discard the cached order of a team's tasks; needed after tasks were stopped."""
        for key in [key for key in self._tasks if key[0] == team]:
            del self._tasks[key]
