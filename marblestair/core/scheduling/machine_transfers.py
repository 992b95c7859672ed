"""Moves of idle machines into the part of a gang that fits into no part as it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core.domain.model import GANG, JobSpec
from marblestair.core.leadership.shard_map import raise_term
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import SPLIT, CompareAndSwap, Put, Sleep, StoreResponse
from marblestair.core.scheduling.placement import (
    capacity_by_zone,
    gang_fits,
    may_run_on_machine,
    tasks_that_fit,
)
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller
    from marblestair.core.runtime.outbox import ShardSummary


class MachineTransfers:
    """The machines that one node's parts give to others."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        self._is_moving = False

    def lacks_capacity(self, part: Shard, s: JobSlice) -> bool:
        """Whether tasks that must start together have waited here for room in vain."""
        whole = s.spec.kind == GANG or s.spec.single_zone or s.spec.spread_zones
        waited = (
            self._controller.now - s.pending_since
            > 1.5 * self._controller.settings.cluster.workers.report_s
        )
        if self._controller.failures.is_quarantined(s.spec.id):
            return False
        return (
            whole
            and waited
            and not (s.placed_on or s.migrating_ranges or s.is_unreconciled or s.is_cancelled)
        )

    def transfer_idle_machines(self, part: Shard) -> None:
        """Move an idle machine into the part of a gang that fits into no part as it is."""
        controller = self._controller
        split = controller.view.shard_map
        if self._is_moving or split is None or part.unreconciled_machines:
            return
        empty = [m for m in part.machines.values() if not m.tasks and m.is_usable(controller.now)]
        if not empty:
            return
        own = [
            s for s in controller.dispatcher.pending_in_order(part) if self.lacks_capacity(part, s)
        ]
        first = min(((s.startable_since, s.spec.id) for s in own), default=(float("inf"), ""))
        for i, (t, g) in sorted(controller.shard_summaries.items()):
            if i == part.shard_id or controller.now - t > 2.0 or g.term != split.shards[i].term:
                continue
            for job in g.jobs_lacking_capacity:
                record = controller.view.jobs.get(job)
                if record is None or record.is_cancelled or (record.startable_since, job) > first:
                    continue
                move = self._idle_for(empty, record.spec, g)
                if move:
                    self._is_moving = True
                    for m in move:
                        m.is_draining = True
                    controller.spawn(self._move(part, move, i))
                    return

    def _idle_for(self, empty: list[Machine], spec: JobSpec, g: ShardSummary) -> list[Machine]:
        """Choose idle machines here that help a job in another part, if that is what it lacks.

        Those that the plan sets aside for it, else one that is set aside for nobody.
        """
        controller, need = self._controller, spec.resources
        idle = [m for m in empty if may_run_on_machine(spec, m) and tasks_that_fit(m, need)]
        aside = [m for m in idle if controller.fleet.reserved_machines.get(m.name) == spec.id]
        if aside:
            return aside[: max(1, controller.settings.cluster.state.txn_ops - 1)]
        idle = [m for m in idle if not controller.preemption.is_claimed(m, spec.id)]
        if spec.single_zone and idle:
            # All in the zone where most room can be brought together.
            zones = capacity_by_zone(spec, need, g.free_capacity)
            for _, other in controller.shard_summaries.values():
                if other.shard_id != g.shard_id:
                    zones += capacity_by_zone(spec, need, other.free_capacity)
            best = min(zones, key=lambda z: (-zones[z], z), default="")
            idle = [m for m in idle if m.zone == best]
        if not idle or gang_fits(spec, need, g.free_capacity, spec.task_count):
            return []
        return [min(idle, key=lambda m: (m.machine_type.price if m.machine_type else 0.0, m.name))]

    def _move(self, part: Shard, machines: list[Machine], target: int) -> Coroutine:
        """Move idle and settled machines to another part.

        The source drops them first, and the target's term rises in the same commit, so that
        the tokens a machine sees only grow.
        """
        controller = self._controller
        doubt, tries = -1, 0
        try:
            while controller.shards.get(part.shard_id) is part:
                split = controller.view.shard_map
                here = [
                    m
                    for m in machines
                    if part.machines.get(m.name) is m
                    and not m.tasks
                    and m.name in controller.view.machines
                ]
                if split is None or not here:
                    return
                version = controller.view.version(keys.SHARD_MAP)
                if doubt >= 0 and doubt != version:
                    # Whatever was sent is applied, or cannot be any more.
                    for m in machines:
                        yield from controller.leadership.refresh_machine(keys.MACHINES + m.name)
                    return
                tries += 1
                if doubt < 0 and (tries > 4 or not controller.is_leader(part.shard_id)):
                    return
                puts = [Put(keys.SHARD_MAP, raise_term(split, target))]
                guards = [(keys.SHARD_MAP, version), controller.fence_precondition(part.shard_id)]
                for m in here:
                    key = keys.MACHINES + m.name
                    record = controller.view.machines[m.name]
                    puts.append(Put(key, msgspec.structs.replace(record, shard_id=target)))
                    guards.append((key, controller.view.version(key)))
                commit = CompareAndSwap(guards, puts, [], SPLIT)
                r: StoreResponse = yield commit
                if r.status == 200:
                    controller.view.record_commit(commit, r.revision)
                    controller.sync()
                    return
                if r.status == 0:
                    doubt = version
                if r.status in (0, 409):
                    yield from controller.leadership.refresh_shard_map()
                yield Sleep(0.1 + 0.2 * controller.rng.random())
        finally:
            for m in machines:
                m.is_draining = False
            self._is_moving = False
