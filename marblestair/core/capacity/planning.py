"""Computation of the fleet plan: the machines to rent, to reserve and to release.

Every leader computes the plan from the records and the summaries of all shards, so that all arrive
at nearly the same plan. Each leader carries out a portion of the plan. Machines for a pending gang
are rented by the gang's shard. Any shard may rent the other machines, since pending tasks migrate
to shards with free capacity.

For arrays, the plan provides a number of cpus, enough to complete the tasks by the time they are
due if that is possible. For gangs, the plan provides whole machines.
"""

from __future__ import annotations

from collections.abc import Callable

from marblestair.core.capacity.array_capacity import ArrayCapacity
from marblestair.core.capacity.gang_reservations import GangReservations
from marblestair.core.capacity.machine_kinds_by_price import KindsByPrice, scarce_types
from marblestair.core.capacity.plan_draft import PlanDraft
from marblestair.core.capacity.provisioning import (
    SLOW_BOOT_RATIO,
    UNKNOWN_BOOT_S,
    AvailableMachine,
    JobLoad,
    Plan,
    Tuning,
)
from marblestair.core.capacity.scale_in import drain_surplus, release_idle
from marblestair.core.domain.jobs import JobKind
from marblestair.core.domain.machine_kinds import MachineKind
from marblestair.core.domain.machines import MachineType
from marblestair.core.scheduling.arrivals import ExpectedGangs


def plan(  # noqa: PLR0913 - separate inputs of one computation
    loads: list[JobLoad],
    machines: list[AvailableMachine],
    types: dict[str, MachineType],
    is_refused: Callable[[MachineKind], bool],
    average_array_cpus: float,
    expected_gangs: dict[str, ExpectedGangs],
    tuning: Tuning,
    smooth: Callable[[float], float] = lambda target_cpus: target_cpus,
    *,
    is_doubtful: Callable[[MachineKind], bool] = lambda kind: False,
    is_reserving_suspended: bool = False,
) -> Plan:
    """Return the fleet plan, which depends only on the arguments.

    Parameters
    ----------
    loads
        The unfinished work of all jobs; machines are reserved for pending gangs in this order.
    machines
        The machines that are up or booting.
    types
        The machine types of the cloud, by name.
    is_refused
        Tells whether a kind must not be requested, because the cloud refused it recently.
    average_array_cpus
        Average size of an array in cpus; 0 if none is expected.
    expected_gangs
        The gangs that are expected to arrive, by job class.
    tuning
        The parameters of the plan.
    smooth
        Averages the arrays' target in cpus over time, so that no machines are rented for a burst
        that ends before they have booted. By default, the target is not averaged.
    is_doubtful
        Tells whether the cloud refused a kind until recently. Such a kind is requested, but no
        machine is reserved for a gang that needs it.
    is_reserving_suspended
        Whether no machine is to be reserved for gangs at present.
    """
    gangs = [load for load in loads if load.spec.kind == JobKind.GANG]
    arrays = [load for load in loads if load.spec.kind != JobKind.GANG]
    boot_s = SLOW_BOOT_RATIO * min(
        (machine_type.boot_s for machine_type in types.values()), default=UNKNOWN_BOOT_S
    )
    draft = PlanDraft(machines)
    kinds = KindsByPrice(
        types, is_refused, tuning, scarce_types(expected_gangs, types), is_doubtful
    )
    reservations = GangReservations(draft, kinds, boot_s, is_reserving_suspended)
    reservations.reserve_for_pending(gangs)
    reservations.reserve_for_expected(expected_gangs, arrays, tuning.standby_gangs)
    capacity = ArrayCapacity(draft, kinds, arrays, tuning, boot_s)
    capacity.set_target(average_array_cpus, smooth)
    capacity.request_shortfall()
    capacity.request_in_required_zones()
    capacity.request_for_unserved()
    drain_surplus(draft)
    release_idle(draft, bool(arrays), tuning)
    return draft.finish()
