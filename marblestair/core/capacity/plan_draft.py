"""Draft of the fleet plan, to which each planning step adds its part."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from marblestair.core.capacity.provisioning import AvailableMachine, Plan, RentalRequest
from marblestair.core.domain.machine_kinds import MachineKind
from marblestair.core.domain.machines import MachineType


class RequestedKind(NamedTuple):
    """A requested kind of machine, and the shard that rents it; None for any shard."""

    machine_type: str
    zone: str
    spot: bool
    shard_id: int | None


class PlanDraft:
    """Holds an unfinished plan, the machines of the fleet, and the requested rentals."""

    def __init__(self, machines: list[AvailableMachine]) -> None:
        self.plan = Plan()
        self.machines = machines
        #: names of the machines that were allocated to gangs in this plan
        self.allocated_machines: set[str] = set()
        #: names of the machines that run gangs or were allocated to gangs in this plan
        self.gang_machines = {machine.name for machine in machines if machine.runs_gang}
        #: requested kind -> number of machines
        self._requested: dict[RequestedKind, int] = {}

    def array_machines(self) -> list[AvailableMachine]:
        """Return the machines that neither run a gang nor are allocated to one."""
        return [machine for machine in self.machines if machine.name not in self.gang_machines]

    def request(self, kind: MachineKind, count: int, shard_id: int | None = None) -> None:
        """Request ``count`` machines of a kind; do nothing if ``count`` is not positive.

        The machines are rented by the shard ``shard_id``; None divides them among the shards.
        """
        if count > 0:
            requested = RequestedKind(kind.machine_type.name, kind.zone, kind.spot, shard_id)
            self._requested[requested] = self._requested.get(requested, 0) + count

    def requests_any(self, kinds: Iterable[MachineKind]) -> bool:
        """Whether a machine of any of the kinds is requested."""
        requested = {(kind.machine_type, kind.zone, kind.spot) for kind in self._requested}
        return any(kind.key in requested for kind in kinds)

    def requested_cpus(self, zone: str, types: dict[str, MachineType]) -> float:
        """Return the cpus of the machines that are requested in a zone."""
        return sum(
            count * types[kind.machine_type].cpus
            for kind, count in self._requested.items()
            if kind.zone == zone
        )

    def finish(self) -> Plan:
        """Add the requested rentals to the plan, and return it."""
        self.plan.rentals = [
            RentalRequest(kind.machine_type, kind.zone, kind.spot, count, kind.shard_id)
            for kind, count in self._requested.items()
        ]
        return self.plan
