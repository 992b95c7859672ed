"""Kinds of machines that can be rented: a type, a zone, and whether it is a spot instance."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType

#: tasks that fit on a machine where a task uses none of its resources: more than any job has
UNBOUNDED_TASKS = 1 << 20


class MachineKind(msgspec.Struct, frozen=True):
    """A kind of machine that can be rented."""

    machine_type: MachineType
    zone: str
    spot: bool

    @property
    def key(self) -> tuple[str, str, bool]:
        """The name of the type, the zone, and whether it is a spot instance.

        A plain tuple, because plans build one for each kind that they compare.
        """
        return self.machine_type.name, self.zone, self.spot

    @property
    def price(self) -> float:
        """The price per hour."""
        return self.machine_type.spot_price if self.spot else self.machine_type.price


def tasks_per_machine(machine_type: MachineType, resources: Resources) -> int:
    """How many tasks that use so much fit on an empty machine."""
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
    """List every kind of machine that a job may run on and that one of its tasks fits on."""
    kinds = []
    for machine_type in types.values():
        if tasks_per_machine(machine_type, spec.resources) < 1:
            continue
        for zone in machine_type.zones:
            for spot in (True, False):
                if spec.may_run_on(machine_type.name, zone, spot):
                    kinds.append(MachineKind(machine_type, zone, spot))
    return kinds
