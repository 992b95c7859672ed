"""Catalog of the machine types that the cloud offers, as known to this node."""

from __future__ import annotations

from marblestair.core.domain.machines import MachineType


class MachineCatalog:
    """Machine types by name; empty until types from the cloud or the store have been set."""

    def __init__(self) -> None:
        self.types: dict[str, MachineType] = {}

    def update(self, machine_types: list[MachineType]) -> None:
        """Replace all types by those received from the cloud or from the store."""
        self.types = {machine_type.name: machine_type for machine_type in machine_types}
