"""Preemption of best-effort tasks for guaranteed jobs.

Best-effort teams have no guaranteed quota: their tasks use capacity that other teams leave free.
When an array within its team's guaranteed quota finds too little free capacity, best-effort tasks
are stopped for it, those that lose the least run time first. Best-effort tasks on a small share of
each shard's cpus are not stopped, so that no best-effort job starves.
"""

from __future__ import annotations

from operator import attrgetter

import msgspec

from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.placement import may_run_on_machine
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask, StopReason
from marblestair.core.shard.shard import Shard

#: minimum share of the cpus of a shard's usable machines that placed best-effort tasks keep, even
#: if guaranteed jobs need the cpus; the last task that is stopped may take them below this share
MIN_BEST_EFFORT_SHARE = 0.1


class _PreemptionCandidate(msgspec.Struct):
    """A placed best-effort task of which no stop has been requested."""

    #: run time in seconds that would be lost by a stop; 0 if the task is not running yet or if the
    #: job saves checkpoints
    lost_s: float
    task: PlacedTask
    machine: Machine


class BestEffortTasks:
    """The best-effort tasks of a shard during one placement pass."""

    def __init__(self, context: NodeContext, shard: Shard) -> None:
        self._shard = shard
        self._candidates: list[_PreemptionCandidate] = []
        #: cpus of best-effort tasks that are being stopped, less the cpus that ``preempt_for`` has
        #: already counted for a slice
        self._stopping_cpus = 0
        #: cpus of best-effort tasks that may still be stopped, in fixed point; the other
        #: best-effort tasks keep ``MIN_BEST_EFFORT_SHARE`` of the cpus
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
        running_cpus = sum(candidate.task.resources[0] for candidate in self._candidates)
        self._preemptible_cpus = running_cpus - int(MIN_BEST_EFFORT_SHARE * capacity_cpus)
        self._candidates.sort(key=attrgetter("lost_s"))

    def _add(self, task: PlacedTask, machine: Machine, now: float) -> None:
        if task.stop_grace_s is not None:
            self._stopping_cpus += task.resources[0]
            return
        lost_s = 0.0
        if task.running_since is not None:
            job_slice = self._shard.slices.get(task.job)
            has_checkpoints = job_slice is not None and job_slice.spec.checkpoint_interval_s > 0
            lost_s = 0.0 if has_checkpoints else now - task.running_since
        self._candidates.append(_PreemptionCandidate(lost_s, task, machine))

    def preempt_for(self, job_slice: JobSlice, cpus: int) -> None:
        """Stop best-effort tasks to free cpus for a slice.

        Best-effort tasks that are already being stopped, on any machine, count towards ``cpus``
        first. Further tasks are stopped only on machines that the slice's job may run on. Fewer
        cpus are freed if too few tasks may be stopped.

        Parameters
        ----------
        job_slice
            The slice that needs the cpus.
        cpus
            Cpus to free, in fixed point.
        """
        expected_cpus = min(cpus, self._stopping_cpus)
        self._stopping_cpus -= expected_cpus
        lacking_cpus = min(cpus - expected_cpus, self._preemptible_cpus)
        victims = []
        remaining = []
        for candidate in self._candidates:
            if lacking_cpus > 0 and may_run_on_machine(job_slice.spec, candidate.machine):
                victims.append(candidate.task)
                lacking_cpus -= candidate.task.resources[0]
                self._preemptible_cpus -= candidate.task.resources[0]
            else:
                remaining.append(candidate)
        if victims:
            self._candidates = remaining
            self._shard.stop_tasks(victims, StopReason.PREEMPTED)
