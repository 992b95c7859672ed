"""Requests to the cloud and its responses."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from marblestair.core.domain.machines import MachineType


class ListMachineTypes(msgspec.Struct, frozen=True):
    """List the machine types that the cloud offers."""


class RentMachines(msgspec.Struct, frozen=True):
    """Rent machines, under a name that is never reused."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class ReleaseMachines(msgspec.Struct, frozen=True):
    """Release rented machines."""

    machines: list[str]


class ListMachines(msgspec.Struct, frozen=True):
    """List the rented machines whose names sort after ``after_name``, in pages."""

    after_name: str = ""
    limit: int = 500


CloudRequest: TypeAlias = ListMachineTypes | RentMachines | ReleaseMachines | ListMachines


class ListedMachine(msgspec.Struct, frozen=True):
    """A rented machine, as listed by the cloud."""

    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class CloudResponse(msgspec.Struct, frozen=True):
    """A response of the cloud."""

    #: HTTP status; 0 if no response was received, NOT_SENT if the request was not sent
    status: int
    #: whether a rental was refused because the cloud has no capacity for the kind of machine
    no_capacity: bool = False
    machine_types: list[MachineType] = []
    machines: list[str] = []
    listed: list[ListedMachine] = []
    has_more: bool = False
