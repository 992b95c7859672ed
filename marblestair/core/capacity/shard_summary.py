"""What the owner of a part tells the other owners about it, a few times a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core.capacity.decommissioning import absent_machines
from marblestair.core.capacity.demand import demanded_tasks, measure_demand
from marblestair.core.domain.model import GANG
from marblestair.core.runtime.outbox import ShardSummary
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

if TYPE_CHECKING:
    from marblestair.core.controller import Controller


class MachineUse(msgspec.Struct):
    """The machines of a part by what they are good for."""

    #: with tasks, and how much of them is in use
    busy_machines: list[tuple[str, int]] = []
    #: without tasks, and for how long
    idle_machines: list[tuple[str, float]] = []
    #: with gangs
    gang_machines: list[str] = []
    #: not to be counted on
    leaving_machines: list[str] = []


def summarize_shard(controller: Controller, part: Shard) -> ShardSummary:
    """What the others should know about a part."""
    demand = measure_demand(controller, part)
    away = absent_machines(part, controller.settings.cluster.workers.lease_s, controller.now)
    use = _machine_use(controller, part, away)
    ordered = controller.dispatcher.pending_in_order(part)
    return ShardSummary(
        shard_id=part.shard_id,
        term=part.term,
        free_capacity=_free_rooms(controller, part),
        preemptible_capacity=controller.preemption.preemptible_capacity(part),
        backlog_cpus=demand.backlog_cpus,
        free_quota=_shares_left(controller, part),
        lacking_quota=demand.lacking_quota,
        pending_jobs=_waiting(controller, part),
        busy_machines=use.busy_machines,
        idle_machines=use.idle_machines,
        jobs_lacking_capacity=[
            s.spec.id for s in ordered if controller.machine_transfers.lacks_capacity(part, s)
        ],
        gang_machines=use.gang_machines,
        leaving_machines=use.leaving_machines,
        absent_machines=sorted(away),
        starved_teams=demand.starved_teams,
        failing_jobs=[x for x in controller.failures.failing_jobs() if x[0] in part.slices],
    )


def _free_rooms(controller: Controller, part: Shard) -> list[tuple[str, str, bool, int, int, int]]:
    return [
        (m.type_name, m.zone, m.spot, m.free[0], m.free[1], m.free[2])
        for m in part.machines.values()
        if m.free[0] > 0 and m.is_usable(controller.now) and not controller.preemption.is_claimed(m)
    ]


def _shares_left(controller: Controller, part: Shard) -> dict[str, list[int]]:
    left = {}
    for team in controller.teams:
        used, share = part.usage(team), controller.quota(part, team)
        left[team] = [max(0, share[i] - used[i]) for i in range(2)]
    return left


def _waiting(controller: Controller, part: Shard) -> list[tuple[str, int, int]]:
    waiting = []
    for job, s in part.slices.items():
        if s.is_cancelled or not (len(s.pending) or s.placed_on or s.migrating_ranges):
            continue
        moving = sum(end - start for start, end in s.migrating_ranges)
        waiting.append((job, demanded_tasks(controller, s) + moving, len(s.placed_on)))
    return waiting


def _machine_use(controller: Controller, part: Shard, away: set[str]) -> MachineUse:
    """Sort a part's machines; those that fell silent together with many are left out."""
    use = MachineUse()
    with_gangs = {
        m.name for s in part.slices.values() if s.spec.kind == GANG for m in s.placed_on.values()
    }
    for m in part.machines.values():
        is_given_up = m.is_releasing or m.is_given_up or m.is_returning
        if m.name in away and not is_given_up:
            continue
        if is_given_up or _is_leaving(controller, m):
            use.leaving_machines.append(m.name)
        elif m.is_draining:
            # On its way to a gang's part: neither idle nor lost to the plan, which would rent
            # once more what is there already.
            continue
        elif m.is_reconciled and m.idle_since is not None and not m.tasks and not m.unknown_tasks:
            use.idle_machines.append((m.name, round(controller.now - m.idle_since, 2)))
        elif m.name in with_gangs:
            use.gang_machines.append(m.name)
        elif m.machine_type is not None and m.tasks:
            use.busy_machines.append((m.name, m.machine_type.capacity[0] - m.free[0]))
    return use


def _is_leaving(controller: Controller, m: Machine) -> bool:
    """Whether a machine is not to be counted on."""
    if m.is_silent or m.is_unresponsive or m.reclaim_at is not None:
        return True
    return _is_overdue(controller, m)


def _is_overdue(controller: Controller, m: Machine) -> bool:
    """Whether a machine that was rented should have reported by now.

    The time counts from its arrival in the part: after a takeover, or a move from another part,
    it may have reported elsewhere. Were it left out until it reports here, the others would rent
    machines in place of the whole part.
    """
    if m.agent_incarnation or m.machine_type is None:
        return False
    return controller.boot_times.is_overdue(
        m.machine_type, controller.now - m.added_at, controller.now
    )
