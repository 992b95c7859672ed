"""A plan in the making, as its steps add to it one after the other."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from marblestair.core.capacity.provisioning import AvailableMachine, Plan, RentalRequest
from marblestair.core.domain.machine_kinds import MachineKind
from marblestair.core.domain.machines import MachineType


class RequestedKind(NamedTuple):
    """A kind of machine that is requested, and the shard that is to rent it; None for any."""

    machine_type: str
    zone: str
    spot: bool
    shard_id: int | None


class PlanDraft:
    """A plan, the machines that it is made for, and the rentals requested so far."""

    def __init__(self, machines: list[AvailableMachine]) -> None:
        self.plan = Plan()
        self.machines = machines
        #: machines that run gangs, and those that were allocated to gangs since
        self.gang_machines = {machine.name for machine in machines if machine.runs_gang}
        self._requested: dict[RequestedKind, int] = {}

    def array_machines(self) -> list[AvailableMachine]:
        """The machines that no gang runs on or was allocated."""
        return [machine for machine in self.machines if machine.name not in self.gang_machines]

    def request(self, kind: MachineKind, count: int, shard_id: int | None = None) -> None:
        """Request a rental of some machines, by one shard or any; of none if not positive."""
        if count > 0:
            requested = RequestedKind(kind.machine_type.name, kind.zone, kind.spot, shard_id)
            self._requested[requested] = self._requested.get(requested, 0) + count

    def requests_any(self, kinds: Iterable[MachineKind]) -> bool:
        """Whether a machine of one of some kinds is requested."""
        requested = {(kind.machine_type, kind.zone, kind.spot) for kind in self._requested}
        return any(kind.key in requested for kind in kinds)

    def requested_cpus(self, zone: str, types: dict[str, MachineType]) -> float:
        """Cpus of the machines that are requested in a zone."""
        return sum(
            count * types[kind.machine_type].cpus
            for kind, count in self._requested.items()
            if kind.zone == zone
        )

    def finish(self) -> Plan:
        """Return the plan with its rentals."""
        self.plan.rentals = [
            RentalRequest(kind.machine_type, kind.zone, kind.spot, count, kind.shard_id)
            for kind, count in self._requested.items()
        ]
        return self.plan
