"""Kinds of machines that can be rented: a type, a zone, and whether it is a spot machine."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType

#: tasks that a machine holds which take nothing of it: more than any job has
UNBOUNDED_TASKS = 1 << 20


class MachineKind(msgspec.Struct, frozen=True):
    """A kind of machine that can be rented."""

    machine_type: MachineType
    zone: str
    spot: bool

    @property
    def key(self) -> tuple[str, str, bool]:
        """Type, zone and whether spot."""
        return self.machine_type.name, self.zone, self.spot

    @property
    def price(self) -> float:
        """Per hour."""
        return self.machine_type.spot_price if self.spot else self.machine_type.price


def tasks_per_machine(machine_type: MachineType, resources: Resources) -> int:
    """How many such tasks an empty machine holds."""
    return max(
        0,
        min(
            (s // n for s, n in zip(machine_type.capacity, resources, strict=True) if n > 0),
            default=UNBOUNDED_TASKS,
        ),
    )


def kinds_for_job(spec: JobSpec, types: dict[str, MachineType]) -> list[MachineKind]:
    """Every kind of machine a job may run on."""
    out = []
    for machine_type in types.values():
        if tasks_per_machine(machine_type, spec.resources) < 1:
            continue
        for z in machine_type.zones:
            for spot in (True, False):
                if spec.may_run_on(machine_type.name, z, spot):
                    out.append(MachineKind(machine_type, z, spot))
    return out
