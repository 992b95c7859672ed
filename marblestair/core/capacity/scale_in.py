"""Scale-in: selection of surplus machines to drain and of idle machines to release."""

from __future__ import annotations

from marblestair.core.capacity.machine_kinds_by_price import MIN_DIVISOR_CPUS
from marblestair.core.capacity.plan_draft import PlanDraft
from marblestair.core.capacity.provisioning import MIN_RENTAL_S, Tuning


def drain_surplus(draft: PlanDraft) -> None:
    """Mark surplus machines as draining: on-demand before spot machines, the least used first.

    A machine is surplus if the target is still met without this machine and without the surplus
    machines chosen before it. Machines for gangs and partitioned machines are never chosen.
    """
    plan = draft.plan
    surplus_cpus = plan.capacity_cpus - plan.target_cpus
    for machine in sorted(
        draft.machines,
        key=lambda machine: (
            machine.spot,
            machine.used_cpus / max(1, machine.machine_type.capacity[0]),
            machine.name,
        ),
    ):
        if machine.name in draft.gang_machines or machine.is_partitioned:
            continue
        if surplus_cpus >= machine.machine_type.cpus:
            surplus_cpus -= machine.machine_type.cpus
            plan.draining_machines.add(machine.name)
            plan.surplus_machines.add(machine.name)


def release_idle(draft: PlanDraft, has_arrays: bool, tuning: Tuning) -> None:
    """Add to the plan's releases the idle machines that are not needed for arrays.

    A machine is added if the surplus is large enough for its size, or if there are no arrays. It
    must have been rented and idle for a minimum time. On-demand machines come before spot ones, and
    within each group the machines with the highest price per cpu come first.
    """
    plan = draft.plan
    surplus_cpus = plan.capacity_cpus - plan.target_cpus
    idle = [machine for machine in draft.array_machines() if machine.idle_s is not None]
    idle.sort(
        key=lambda machine: (
            machine.spot,
            -(machine.machine_type.price / max(machine.machine_type.cpus, MIN_DIVISOR_CPUS)),
            machine.name,
        )
    )
    for machine in idle:
        idle_s, cpus = machine.idle_s, machine.machine_type.cpus
        if idle_s is None or machine.age_s < MIN_RENTAL_S:
            continue
        if idle_s < tuning.min_idle_boot_times * machine.machine_type.boot_s:
            continue
        if surplus_cpus >= cpus * tuning.release_surplus or not has_arrays:
            surplus_cpus -= cpus
            plan.releases.append(machine.name)
