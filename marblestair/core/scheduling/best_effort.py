"""Preemption of best-effort work for guaranteed work.

Best-effort teams have no guaranteed quota: their work uses what the others leave free. It is
stopped, the least lost work first, when a job within its team's guaranteed quota finds no free
capacity. A small share of each shard is left to best-effort work in any case, so that none of its
jobs starves.
"""

from __future__ import annotations

from operator import attrgetter

import msgspec

from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.placement import may_run_on_machine
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask, StopReason
from marblestair.core.shard.shard import Shard

#: share of a shard's capacity that is left to best-effort work
BEST_EFFORT_SHARE = 0.1


class _RunningTask(msgspec.Struct):
    """A best-effort task that is not being stopped."""

    #: run time that would be lost
    lost_s: float
    task: PlacedTask
    machine: Machine


class BestEffortTasks:
    """The best-effort tasks of a shard, as one placement pass finds them."""

    def __init__(self, context: NodeContext, shard: Shard) -> None:
        self._shard = shard
        self._running: list[_RunningTask] = []
        #: cpus that stops in progress will free, and that no slice counts on yet
        self._stopping_cpus = 0
        #: cpus of tasks that may be preempted without going below the share
        self._preemptible_cpus = 0
        teams = {name for name, team in context.teams.items() if team.is_best_effort}
        if not teams:
            return
        capacity_cpus = 0
        for machine in shard.machines.values():
            if not machine.is_usable(context.now) or machine.machine_type is None:
                continue
            capacity_cpus += machine.machine_type.capacity[0]
            for task in machine.tasks.values():
                if task.team in teams:
                    self._add(task, machine, context.now)
        running_cpus = sum(running.task.resources[0] for running in self._running)
        self._preemptible_cpus = running_cpus - int(BEST_EFFORT_SHARE * capacity_cpus)
        self._running.sort(key=attrgetter("lost_s"))

    def _add(self, task: PlacedTask, machine: Machine, now: float) -> None:
        if task.stop_grace_s is not None:
            self._stopping_cpus += task.resources[0]
            return
        lost_s = 0.0
        if task.running_since is not None:
            job_slice = self._shard.slices.get(task.job)
            has_checkpoints = job_slice is not None and job_slice.spec.checkpoint_interval_s > 0
            lost_s = 0.0 if has_checkpoints else now - task.running_since
        self._running.append(_RunningTask(lost_s, task, machine))

    def preempt_for(self, job_slice: JobSlice, cpus: int) -> None:
        """Stop tasks so that as many cpus, in fixed point, come free for a slice's tasks."""
        expected_cpus = min(cpus, self._stopping_cpus)
        self._stopping_cpus -= expected_cpus
        lacking_cpus = min(cpus - expected_cpus, self._preemptible_cpus)
        victims = []
        left = []
        for running in self._running:
            if lacking_cpus > 0 and may_run_on_machine(job_slice.spec, running.machine):
                victims.append(running.task)
                lacking_cpus -= running.task.resources[0]
                self._preemptible_cpus -= running.task.resources[0]
            else:
                left.append(running)
        if victims:
            self._running = left
            self._shard.stop_tasks(victims, StopReason.PREEMPTED)
