"""Room for guaranteed work on machines that guests use.

Guests are teams without a guarantee: their work takes what the others leave free. It is stopped,
at the least lost work first, when a job within its team's guarantee finds no room. A small part of
the fleet is left to guests in any case, so that none of their jobs is given up.
"""

from __future__ import annotations

from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.placement import may_run_on_machine
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask, StopReason
from marblestair.core.shard.shard import Shard

#: share of a part's capacity below which the work of guests is not stopped
GUEST_FLOOR = 0.1


class BestEffortTasks:
    """The guests' tasks in a part, as one look through all that waits finds them."""

    def __init__(self, context: NodeContext, shard: Shard) -> None:
        self._part = shard
        self._running: list[tuple[float, PlacedTask, Machine]] = []
        #: room that comes up by stops under way and that nobody counts on yet
        self._coming = 0
        self._spare = 0
        guests = {name for name, team in context.teams.items() if team.is_best_effort}
        if not guests:
            return
        capacity = 0
        for machine in shard.machines.values():
            if not machine.is_usable(context.now) or machine.machine_type is None:
                continue
            capacity += machine.machine_type.capacity[0]
            for task in machine.tasks.values():
                if task.team in guests:
                    self._add(task, machine, context.now)
        self._spare = sum(task.resources[0] for _, task, _ in self._running) - int(
            GUEST_FLOOR * capacity
        )
        self._running.sort(key=lambda found: found[0])

    def _add(self, task: PlacedTask, machine: Machine, now: float) -> None:
        if task.stop_grace_s is not None:
            self._coming += task.resources[0]
            return
        job_slice = self._part.slices.get(task.job)
        saves = job_slice is not None and job_slice.spec.checkpoint_interval_s > 0
        lost_s = 0.0 if saves or task.running_since is None else now - task.running_since
        self._running.append((lost_s, task, machine))

    def preempt_for(self, job_slice: JobSlice, lack: int) -> None:
        """Stop tasks of guests so that as many cpus come free for a slice's waiting tasks."""
        counted = min(lack, self._coming)
        self._coming -= counted
        lack = min(lack - counted, self._spare)
        chosen = []
        left = []
        for found in self._running:
            _, task, machine = found
            if lack > 0 and may_run_on_machine(job_slice.spec, machine):
                chosen.append(task)
                lack -= task.resources[0]
                self._spare -= task.resources[0]
            else:
                left.append(found)
        if chosen:
            self._running = left
            self._part.stop_tasks(chosen, StopReason.PREEMPTED)
