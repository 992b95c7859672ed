"""Room for guaranteed work on machines that guests use.

Guests are teams without a guarantee: their work takes what the others leave free. It is stopped,
at the least lost work first, when a job within its team's guarantee finds no room. A small part of
the fleet is left to guests in any case, so that none of their jobs is given up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.scheduling.placement import allowed
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
        guests = {name for name, team in controller.teams.items() if team.is_guest}
        if not guests:
            return
        capacity = 0
        for m in part.machines.values():
            if not m.usable(controller.now) or m.type is None:
                continue
            capacity += m.type.size[0]
            for p in m.placed.values():
                if p.team in guests:
                    self._add(p, m, controller.now)
        self._spare = sum(p.need[0] for _, p, _ in self._running) - int(GUEST_FLOOR * capacity)
        self._running.sort(key=lambda found: found[0])

    def _add(self, p: PlacedTask, m: Machine, now: float) -> None:
        if p.grace is not None:
            self._coming += p.need[0]
            return
        s = self._part.slices.get(p.job)
        saves = s is not None and s.spec.checkpoint_s > 0
        lost_s = 0.0 if saves or p.run_since is None else now - p.run_since
        self._running.append((lost_s, p, m))

    def stop_for(self, s: JobSlice, lack: int) -> None:
        """Stop tasks of guests so that as many cpus come free for a slice's waiting tasks."""
        counted = min(lack, self._coming)
        self._coming -= counted
        lack = min(lack - counted, self._spare)
        chosen = []
        left = []
        for found in self._running:
            _, p, m = found
            if lack > 0 and allowed(s.spec, m):
                chosen.append(p)
                lack -= p.need[0]
                self._spare -= p.need[0]
            else:
                left.append(found)
        if chosen:
            self._running = left
            self._part.stop(chosen, "preempted")
