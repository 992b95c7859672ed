"""Requests to the cloud, and its responses. A status of 0 means that no response came."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from marblestair.core.domain.machines import MachineType


class ListMachineTypes(msgspec.Struct, frozen=True):
    """Ask for the machine types."""


class RentMachines(msgspec.Struct, frozen=True):
    """Rent machines under a name that is never reused."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class ReleaseMachines(msgspec.Struct, frozen=True):
    """Give machines back to the cloud."""

    machines: list[str]


class ListMachines(msgspec.Struct, frozen=True):
    """List machines by name."""

    after_name: str = ""
    limit: int = 500


CloudRequest: TypeAlias = ListMachineTypes | RentMachines | ReleaseMachines | ListMachines


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class CloudResponse(msgspec.Struct, frozen=True):
    """A response of the cloud."""

    #: HTTP status; 0 when no response came
    status: int
    #: a rental was refused because there is no machine of the kind
    no_capacity: bool = False
    machine_types: list[MachineType] = []
    machines: list[str] = []
    listed: list[ListedMachine] = []
    has_more: bool = False
