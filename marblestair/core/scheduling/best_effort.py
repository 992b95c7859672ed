"""Room for guaranteed work on machines that guests use.

Guests are teams without a guarantee: their work takes what the others leave free. It is stopped,
at the least lost work first, when a job within its team's guarantee finds no room. A small part of
the fleet is left to guests in any case, so that none of their jobs is given up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.scheduling.placement import may_run_on_machine
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask
from marblestair.core.shard.shard import Shard

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: share of a part's capacity below which the work of guests is not stopped
GUEST_FLOOR = 0.1


class BestEffortTasks:
    """The guests' tasks in a part, as one look through all that waits finds them."""

    def __init__(self, controller: Controller, part: Shard) -> None:
        self._part = part
        self._running: list[tuple[float, PlacedTask, Machine]] = []
        #: room that comes up by stops under way and that nobody counts on yet
        self._coming = 0
        self._spare = 0
        guests = {name for name, team in controller.teams.items() if team.is_best_effort}
        if not guests:
            return
        capacity = 0
        for m in part.machines.values():
            if not m.is_usable(controller.now) or m.machine_type is None:
                continue
            capacity += m.machine_type.capacity[0]
            for p in m.tasks.values():
                if p.team in guests:
                    self._add(p, m, controller.now)
        self._spare = sum(p.resources[0] for _, p, _ in self._running) - int(GUEST_FLOOR * capacity)
        self._running.sort(key=lambda found: found[0])

    def _add(self, p: PlacedTask, m: Machine, now: float) -> None:
        if p.stop_grace_s is not None:
            self._coming += p.resources[0]
            return
        s = self._part.slices.get(p.job)
        saves = s is not None and s.spec.checkpoint_interval_s > 0
        lost_s = 0.0 if saves or p.running_since is None else now - p.running_since
        self._running.append((lost_s, p, m))

    def preempt_for(self, s: JobSlice, lack: int) -> None:
        """Stop tasks of guests so that as many cpus come free for a slice's waiting tasks."""
        counted = min(lack, self._coming)
        self._coming -= counted
        lack = min(lack - counted, self._spare)
        chosen = []
        left = []
        for found in self._running:
            _, p, m = found
            if lack > 0 and may_run_on_machine(s.spec, m):
                chosen.append(p)
                lack -= p.resources[0]
                self._spare -= p.resources[0]
            else:
                left.append(found)
        if chosen:
            self._running = left
            self._part.stop_tasks(chosen, "preempted")
