"""What the owner of a part tells the other owners about it, a few times a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core.capacity.decommissioning import absent_machines
from marblestair.core.capacity.demand import demanded_tasks, measure_demand
from marblestair.core.domain.jobs import JobKind
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


def summarize_shard(controller: Controller, shard: Shard) -> ShardSummary:
    """What the others should know about a part."""
    demand = measure_demand(controller, shard)
    away = absent_machines(shard, controller.settings.cluster.workers.lease_s, controller.now)
    use = _machine_use(controller, shard, away)
    ordered = controller.dispatcher.pending_in_order(shard)
    return ShardSummary(
        shard_id=shard.shard_id,
        term=shard.term,
        free_capacity=_free_rooms(controller, shard),
        preemptible_capacity=controller.preemption.preemptible_capacity(shard),
        backlog_cpus=demand.backlog_cpus,
        free_quota=_shares_left(controller, shard),
        lacking_quota=demand.lacking_quota,
        pending_jobs=_waiting(controller, shard),
        busy_machines=use.busy_machines,
        idle_machines=use.idle_machines,
        jobs_lacking_capacity=[
            job_slice.spec.id
            for job_slice in ordered
            if controller.machine_transfers.lacks_capacity(shard, job_slice)
        ],
        gang_machines=use.gang_machines,
        leaving_machines=use.leaving_machines,
        absent_machines=sorted(away),
        starved_teams=demand.starved_teams,
        failing_jobs=[x for x in controller.failures.failing_jobs() if x[0] in shard.slices],
    )


def _free_rooms(controller: Controller, shard: Shard) -> list[tuple[str, str, bool, int, int, int]]:
    return [
        (
            machine.type_name,
            machine.zone,
            machine.spot,
            machine.free[0],
            machine.free[1],
            machine.free[2],
        )
        for machine in shard.machines.values()
        if machine.free[0] > 0
        and machine.is_usable(controller.now)
        and not controller.preemption.is_claimed(machine)
    ]


def _shares_left(controller: Controller, shard: Shard) -> dict[str, list[int]]:
    left = {}
    for team in controller.teams:
        used, share = shard.usage(team), controller.quota(shard, team)
        left[team] = [max(0, share[i] - used[i]) for i in range(2)]
    return left


def _waiting(controller: Controller, shard: Shard) -> list[tuple[str, int, int]]:
    waiting = []
    for job, job_slice in shard.slices.items():
        if job_slice.is_cancelled or not (
            len(job_slice.pending) or job_slice.placed_on or job_slice.migrating_ranges
        ):
            continue
        moving = sum(end - start for start, end in job_slice.migrating_ranges)
        waiting.append(
            (job, demanded_tasks(controller, job_slice) + moving, len(job_slice.placed_on))
        )
    return waiting


def _machine_use(controller: Controller, shard: Shard, away: set[str]) -> MachineUse:
    """Sort a part's machines; those that fell silent together with many are left out."""
    use = MachineUse()
    with_gangs = {
        machine.name
        for job_slice in shard.slices.values()
        if job_slice.spec.kind == JobKind.GANG
        for machine in job_slice.placed_on.values()
    }
    for machine in shard.machines.values():
        is_given_up = machine.is_releasing or machine.is_given_up or machine.is_returning
        if machine.name in away and not is_given_up:
            continue
        if is_given_up or _is_leaving(controller, machine):
            use.leaving_machines.append(machine.name)
        elif machine.is_draining:
            # On its way to a gang's part: neither idle nor lost to the plan, which would rent
            # once more what is there already.
            continue
        elif (
            machine.is_reconciled
            and machine.idle_since is not None
            and not machine.tasks
            and not machine.unknown_tasks
        ):
            use.idle_machines.append((machine.name, round(controller.now - machine.idle_since, 2)))
        elif machine.name in with_gangs:
            use.gang_machines.append(machine.name)
        elif machine.machine_type is not None and machine.tasks:
            use.busy_machines.append(
                (machine.name, machine.machine_type.capacity[0] - machine.free[0])
            )
    return use


def _is_leaving(controller: Controller, machine: Machine) -> bool:
    """Whether a machine is not to be counted on."""
    if machine.is_silent or machine.is_unresponsive or machine.reclaim_at is not None:
        return True
    return _is_overdue(controller, machine)


def _is_overdue(controller: Controller, machine: Machine) -> bool:
    """Whether a machine that was rented should have reported by now.

    The time counts from its arrival in the part: after a takeover, or a move from another part,
    it may have reported elsewhere. Were it left out until it reports here, the others would rent
    machines in place of the whole part.
    """
    if machine.agent_incarnation or machine.machine_type is None:
        return False
    return controller.boot_times.is_overdue(
        machine.machine_type, controller.now - machine.added_at, controller.now
    )
