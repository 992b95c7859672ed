"""Types of machines that the cloud rents."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.amounts import Resources, available_resources


class MachineType(msgspec.Struct, array_like=True, frozen=True):
    """A type of machine that the cloud rents; prices are per hour."""

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
        """What tasks may use of an empty machine."""
        return available_resources(self.cpus, self.gpus, self.mem_gb)

    def can_hold(self, resources: Resources) -> bool:
        """Whether an empty machine of this type has room for a task that uses so much."""
        return all(
            used <= available for used, available in zip(resources, self.capacity, strict=True)
        )
