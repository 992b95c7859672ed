"""The machines that a plan allocates to the tasks of one gang."""

from __future__ import annotations

from collections.abc import Iterable

from marblestair.core.capacity.provisioning import AvailableMachine
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machine_kinds import MachineKind


class GangAllocation:
    """Allocates a gang's tasks to machines, within the job's constraints on zones."""

    def __init__(self, spec: JobSpec, task_count: int) -> None:
        self.spec = spec
        #: names of the allocated machines of the fleet
        self.machines: list[str] = []
        #: kinds of the machines to rent, one entry for each machine
        self.requested: list[MachineKind] = []
        #: number of tasks that are not allocated to a machine yet
        self._remaining = task_count
        self._max_per_zone = task_count
        if spec.spread_zones and not spec.single_zone:
            self._max_per_zone = (task_count + 1) // 2
        #: zone -> number of tasks allocated there
        self._by_zone: dict[str, int] = {}

    @property
    def is_complete(self) -> bool:
        """Whether each task is allocated to a machine of the fleet or to a requested one."""
        return self._remaining <= 0

    def has_room(self, zone: str) -> bool:
        """Whether more tasks may be allocated in a zone."""
        return self._by_zone.get(zone, 0) < self._max_per_zone

    def add_machines(
        self, candidates: Iterable[tuple[AvailableMachine, int]], only_zone: str | None
    ) -> None:
        """Allocate tasks to machines in their order, until none is left.

        Each machine comes with the number of tasks that fit on it. With ``only_zone``, machines in
        other zones are left out.
        """
        for machine, fitting in candidates:
            if self.is_complete:
                return
            if only_zone in (None, machine.zone) and self._allocate(machine.zone, fitting):
                self.machines.append(machine.name)

    def add_request(self, kind: MachineKind, fitting: int) -> None:
        """Allocate tasks to a machine to be rented, on which ``fitting`` tasks fit."""
        self._allocate(kind.zone, fitting)
        self.requested.append(kind)

    def _allocate(self, zone: str, fitting: int) -> int:
        """Allocate tasks to a machine on which ``fitting`` tasks fit; return how many."""
        in_zone = self._by_zone.get(zone, 0)
        count = max(0, min(self._remaining, fitting, self._max_per_zone - in_zone))
        self._by_zone[zone] = in_zone + count
        self._remaining -= count
        return count
