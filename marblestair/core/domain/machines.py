"""Machine types that the cloud rents out."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.amounts import Resources, available_resources


class MachineType(msgspec.Struct, array_like=True, frozen=True):
    """A machine type that the cloud rents out; prices are per hour."""

    name: str
    cpus: float
    gpus: float
    mem_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]

    @property
    def capacity(self) -> Resources:
        """Resources of an empty machine that are available to tasks."""
        return available_resources(self.cpus, self.gpus, self.mem_gb)

    def can_hold(self, resources: Resources) -> bool:
        """Return whether a task with the given resources fits on an empty machine."""
        return all(
            used <= available for used, available in zip(resources, self.capacity, strict=True)
        )
