"""What the owner of a part tells the other owners about it, a few times a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core.capacity.decommissioning import absent
from marblestair.core.capacity.demand import measure_demand, wanted_tasks
from marblestair.core.domain.model import GANG
from marblestair.core.runtime.outbox import ShardSummary
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

if TYPE_CHECKING:
    from marblestair.core.controller import Controller


class MachineUse(msgspec.Struct):
    """The machines of a part by what they are good for."""

    #: with tasks, and how much of them is in use
    busy: list[tuple[str, int]] = []
    #: without tasks, and for how long
    idle: list[tuple[str, float]] = []
    #: with gangs
    gangs: list[str] = []
    #: not to be counted on
    leaving: list[str] = []


def summarise(controller: Controller, part: Shard) -> ShardSummary:
    """What the others should know about a part."""
    demand = measure_demand(controller, part)
    away = absent(part, controller.settings.cluster.workers.lease_s, controller.now)
    use = _machine_use(controller, part, away)
    ordered = controller.dispatch.ordered(part)
    return ShardSummary(
        part=part.number,
        term=part.term,
        rooms=_free_rooms(controller, part),
        held=controller.preemption.told(part),
        backlog=demand.backlog,
        shares=_shares_left(controller, part),
        wants=demand.wants,
        waiting=_waiting(controller, part),
        busy=use.busy,
        idle=use.idle,
        needs=[s.spec.id for s in ordered if controller.machine_moves.lacks_room(part, s)],
        gangs=use.gangs,
        leaving=use.leaving,
        absent=sorted(away),
        stuck=demand.stuck,
        failing=[x for x in controller.faults.failing() if x[0] in part.slices],
    )


def _free_rooms(controller: Controller, part: Shard) -> list[tuple[str, str, bool, int, int, int]]:
    return [
        (m.type_name, m.zone, m.spot, m.free[0], m.free[1], m.free[2])
        for m in part.machines.values()
        if m.free[0] > 0 and m.usable(controller.now) and not controller.preemption.claimed(m)
    ]


def _shares_left(controller: Controller, part: Shard) -> dict[str, list[int]]:
    left = {}
    for team in controller.teams:
        used, share = part.usage(team), controller.share(part, team)
        left[team] = [max(0, share[i] - used[i]) for i in range(2)]
    return left


def _waiting(controller: Controller, part: Shard) -> list[tuple[str, int, int]]:
    waiting = []
    for job, s in part.slices.items():
        if s.cancelled or not (len(s.pending) or s.placed or s.leaving):
            continue
        moving = sum(end - start for start, end in s.leaving)
        waiting.append((job, wanted_tasks(controller, s) + moving, len(s.placed)))
    return waiting


def _machine_use(controller: Controller, part: Shard, away: set[str]) -> MachineUse:
    """Sort a part's machines; those that fell silent together with many are left out."""
    use = MachineUse()
    with_gangs = {
        m.name for s in part.slices.values() if s.spec.kind == GANG for m in s.placed.values()
    }
    for m in part.machines.values():
        is_given_up = m.releasing or m.given_up or m.returning
        if m.name in away and not is_given_up:
            continue
        if is_given_up or _is_leaving(controller, m):
            use.leaving.append(m.name)
        elif m.draining:
            # On its way to a gang's part: neither idle nor lost to the plan, which would rent
            # once more what is there already.
            continue
        elif m.settled and m.idle_since is not None and not m.placed and not m.unknown_tasks:
            use.idle.append((m.name, round(controller.now - m.idle_since, 2)))
        elif m.name in with_gangs:
            use.gangs.append(m.name)
        elif m.type is not None and m.placed:
            use.busy.append((m.name, m.type.size[0] - m.free[0]))
    return use


def _is_leaving(controller: Controller, m: Machine) -> bool:
    """Whether a machine is not to be counted on."""
    if m.silent or m.deaf or m.notice_at is not None:
        return True
    return _is_overdue(controller, m)


def _is_overdue(controller: Controller, m: Machine) -> bool:
    """Whether a machine that was rented should have reported by now.

    The time counts from its arrival in the part: after a takeover, or a move from another part,
    it may have reported elsewhere. Were it left out until it reports here, the others would rent
    machines in place of the whole part.
    """
    if m.session or m.type is None:
        return False
    return controller.boots.is_overdue(m.type, controller.now - m.added, controller.now)
