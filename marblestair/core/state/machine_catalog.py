"""The types of machines that the cloud offers, as far as this node knows them."""

from __future__ import annotations

from marblestair.core.domain.machines import MachineType


class MachineCatalog:
    """Machine types by their names; empty until they are known."""

    def __init__(self) -> None:
        self.types: dict[str, MachineType] = {}

    def update(self, machine_types: list[MachineType]) -> None:
        """Replace the types by those that the cloud or the store has sent."""
        self.types = {machine_type.name: machine_type for machine_type in machine_types}
