"""Types of machines that the cloud rents."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.amounts import Resources, fixed_point_down


class MachineType(msgspec.Struct, array_like=True, frozen=True):
    """A type of machine the cloud rents."""

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
        """Capacity in fixed point."""
        return (
            fixed_point_down(self.cpus),
            fixed_point_down(self.gpus),
            fixed_point_down(self.mem_gb),
        )

    def can_hold(self, need: Resources) -> bool:
        """Whether an empty machine of this type can hold one such task."""
        return all(n <= s for n, s in zip(need, self.capacity, strict=True))
