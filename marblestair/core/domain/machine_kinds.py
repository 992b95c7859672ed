"""Kinds of machines that can be rented: a machine type, a zone, and spot or on-demand."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType

#: number of tasks without resource requests that count as fitting on one machine; larger than any
#: job's task count
UNBOUNDED_TASKS = 1 << 20


class MachineKind(msgspec.Struct, frozen=True):
    """A machine type in one zone, as a spot or an on-demand instance."""

    machine_type: MachineType
    zone: str
    spot: bool

    @property
    def key(self) -> tuple[str, str, bool]:
        """Key of the kind: name of the type, zone, and whether it is a spot instance.

        A plain tuple, which is cheap to create: the planner creates one for each kind it compares.
        """
        return self.machine_type.name, self.zone, self.spot

    @property
    def price(self) -> float:
        """Price per hour."""
        return self.machine_type.spot_price if self.spot else self.machine_type.price


def tasks_per_machine(machine_type: MachineType, resources: Resources) -> int:
    """Return how many tasks with the given resources fit on an empty machine."""
    return max(
        0,
        min(
            (
                available // used
                for available, used in zip(machine_type.capacity, resources, strict=True)
                if used > 0
            ),
            default=UNBOUNDED_TASKS,
        ),
    )


def kinds_for_job(spec: JobSpec, types: dict[str, MachineType]) -> list[MachineKind]:
    """Return the kinds of machines that a job may run on and that can hold one of its tasks."""
    kinds = []
    for machine_type in types.values():
        if tasks_per_machine(machine_type, spec.resources) < 1:
            continue
        for zone in machine_type.zones:
            for spot in (True, False):
                if spec.may_run_on(machine_type.name, zone, spot):
                    kinds.append(MachineKind(machine_type, zone, spot))
    return kinds
