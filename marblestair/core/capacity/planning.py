"""The plan for the fleet: what to rent, what to reserve and what to release.

Every leader computes the same plan from the records and the summaries of all shards, and carries
out its own portion of it; machines rented anywhere serve all, since pending tasks migrate to where
there is free capacity.

For arrays the plan asks how much capacity the work demands to be done when it is due; for gangs it
asks for whole machines.
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


def plan(  # noqa: PLR0913 - all that it depends on, each by its name
    loads: list[JobLoad],
    machines: list[AvailableMachine],
    types: dict[str, MachineType],
    is_refused: Callable[[MachineKind], bool],
    average_array_cpus: float,
    expected_gangs: dict[str, ExpectedGangs],
    tuning: Tuning,
    smooth: Callable[[float], float] = lambda target_cpus: target_cpus,
) -> Plan:
    """Return the plan for the whole fleet; the same from the same inputs.

    Parameters
    ----------
    loads
        The unfinished work of all jobs, those first that are served first.
    machines
        The machines that are up or booting.
    types
        The machine types of the cloud, by name.
    is_refused
        Whether the cloud has no machines of a kind now.
    average_array_cpus
        Cpus of an array job of the usual size; 0 where none is expected.
    expected_gangs
        The classes of gangs that arrive, by name.
    tuning
        The weights of the plan.
    smooth
        Averages the target over time: a machine that is rented for a short burst is up only when
        the burst is over.
    """
    gangs = [load for load in loads if load.spec.kind == JobKind.GANG]
    arrays = [load for load in loads if load.spec.kind != JobKind.GANG]
    boot_s = SLOW_BOOT_RATIO * min(
        (machine_type.boot_s for machine_type in types.values()), default=UNKNOWN_BOOT_S
    )
    draft = PlanDraft(machines)
    kinds = KindsByPrice(types, is_refused, tuning, scarce_types(expected_gangs, types))
    reservations = GangReservations(draft, kinds, boot_s)
    reservations.reserve_for_pending(gangs)
    reservations.reserve_for_expected(expected_gangs, arrays, tuning.standby_gangs)
    capacity = ArrayCapacity(draft, kinds, arrays, tuning, boot_s)
    capacity.set_target(average_array_cpus, smooth)
    capacity.rent()
    capacity.rent_in_required_zones()
    capacity.rent_for_unserved()
    drain_surplus(draft)
    release_idle(draft, bool(arrays), tuning)
    return draft.finish()
