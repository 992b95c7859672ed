"""Planning of whole machines for gangs: reserves existing machines and requests missing ones."""

from __future__ import annotations

import math

from marblestair.core.capacity.machine_kinds_by_price import KindsByPrice
from marblestair.core.capacity.plan_draft import PlanDraft
from marblestair.core.capacity.provisioning import (
    EXPECTED_GANG,
    SLOW_BOOT_RATIO,
    AvailableMachine,
    JobLoad,
)
from marblestair.core.domain.jobs import PRIORITY_RANKS, JobSpec
from marblestair.core.domain.machine_kinds import MachineKind, tasks_per_machine
from marblestair.core.domain.machines import MachineType
from marblestair.core.scheduling.arrivals import ExpectedGangs

#: lower bound of the fetch rate in estimates of the time to fetch an image; avoids a division by
#: zero
MIN_FETCH_GB_PER_S = 1e-6


def standby_gang_count(gangs: ExpectedGangs, types: dict[str, MachineType], min_gangs: int) -> int:
    """Return the number of gangs of a class for which machines are kept on standby.

    The number is that of the gangs expected to arrive within the time to boot a machine and fetch
    the image (on the fastest type that fits a task), plus one standard deviation (for Poisson
    arrivals), but at least ``min_gangs``.
    """
    lead_times_s = [
        SLOW_BOOT_RATIO * machine_type.boot_s
        + gangs.spec.image_gb / max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
        for machine_type in types.values()
        if tasks_per_machine(machine_type, gangs.spec.resources)
    ]
    mean = gangs.arrivals_per_s * min(lead_times_s, default=0.0)
    return max(min_gangs, math.ceil(mean + math.sqrt(mean)))


class _Allocation:
    """Allocates a gang's tasks to machines, within the job's constraints on zones."""

    def __init__(self, spec: JobSpec, task_count: int) -> None:
        self.spec = spec
        #: number of tasks that are not allocated to a machine yet
        self.remaining = task_count
        self.max_per_zone = task_count
        if spec.spread_zones and not spec.single_zone:
            self.max_per_zone = (task_count + 1) // 2
        #: zone -> number of tasks allocated there
        self._by_zone: dict[str, int] = {}

    def has_room(self, zone: str) -> bool:
        """Whether more tasks may be allocated in a zone."""
        return self._by_zone.get(zone, 0) < self.max_per_zone

    def allocate(self, zone: str, fitting: int) -> int:
        """Allocate tasks to a machine on which ``fitting`` tasks fit; return how many."""
        in_zone = self._by_zone.get(zone, 0)
        count = min(self.remaining, fitting, self.max_per_zone - in_zone)
        if count > 0:
            self._by_zone[zone] = in_zone + count
            self.remaining -= count
        return count


class GangReservations:
    """Plans whole machines for pending gangs and for expected ones."""

    def __init__(self, draft: PlanDraft, kinds: KindsByPrice, boot_s: float) -> None:
        self._draft = draft
        self._kinds = kinds
        self._boot_s = boot_s
        #: shard of the gang (None for any) -> all machines, in the order in which ``_allocate``
        #: uses them
        self._soonest_empty: dict[int | None, list[AvailableMachine]] = {}

    def reserve_for_pending(self, gangs: list[JobLoad]) -> None:
        """Reserve whole machines for pending gangs, and request the missing ones."""
        for load in gangs:
            if load.pending:
                for name in self._allocate(load.spec, load.pending, load.shard_id):
                    self._draft.plan.reserved_machines[name] = load.spec.id

    def reserve_for_expected(
        self, expected_gangs: dict[str, ExpectedGangs], arrays: list[JobLoad], min_gangs: int
    ) -> None:
        """Keep machines on standby for classes whose gangs cannot wait for a machine to boot.

        If gangs of a class can preempt every array, machines for ``standby_gang_count`` gangs are
        marked as draining; otherwise, machines for ``min_gangs`` gangs are reserved. If
        ``min_gangs`` is 0, no machines are kept on standby.
        """
        if not min_gangs:
            return
        for _, gangs in sorted(expected_gangs.items()):
            if not gangs.is_latency_sensitive:
                continue
            spec = gangs.spec
            rank = PRIORITY_RANKS[spec.priority]
            if all(PRIORITY_RANKS[load.spec.priority] < rank for load in arrays):
                # A gang of the class can preempt every array, so arrays may use the standby
                # machines while there is no other free capacity.
                count = standby_gang_count(gangs, self._kinds.types, min_gangs)
                machines = self._allocate(spec, count * spec.task_count, None)
                self._draft.plan.draining_machines.update(machines)
            else:
                for name in self._allocate(spec, min_gangs * spec.task_count, None):
                    self._draft.plan.reserved_machines[name] = EXPECTED_GANG

    def _allocate(self, spec: JobSpec, task_count: int, shard_id: int | None) -> list[str]:
        """Allocate machines to a gang's tasks, and request the missing ones.

        The machines that will be empty soonest are allocated first; if several are empty at the
        same time, those of the gang's shard come first. Returns the names of the allocated
        machines.
        """
        kinds = self._kinds.available(spec)
        candidates, tasks_by_zone = self._candidates(spec, shard_id)
        if spec.single_zone:
            zones = {kind.zone for kind in kinds} | set(tasks_by_zone)
            if not zones:
                return []
            best = min(zones, key=lambda zone: (-tasks_by_zone.get(zone, 0), zone))
            candidates = [pair for pair in candidates if pair[0].zone == best]
            kinds = [kind for kind in kinds if kind.zone == best]
        allocation = _Allocation(spec, task_count)
        allocated = []
        for machine, fitting in candidates:
            if allocation.remaining <= 0:
                break
            if allocation.allocate(machine.zone, fitting) > 0:
                allocated.append(machine.name)
        self._draft.gang_machines.update(allocated)
        self._request_missing(allocation, kinds, shard_id)
        return allocated

    def _candidates(
        self, spec: JobSpec, shard_id: int | None
    ) -> tuple[list[tuple[AvailableMachine, int]], dict[str, int]]:
        """Return machines with the number of the gang's tasks that fit, and the sums by zone."""
        #: type, zone and whether spot -> number of tasks that fit on such a machine
        fitting_by_kind: dict[tuple[str, str, bool], int] = {}
        candidates: list[tuple[AvailableMachine, int]] = []
        tasks_by_zone: dict[str, int] = {}
        for machine in self._soonest_empty_first(shard_id):
            if machine.name in self._draft.gang_machines or machine.is_partitioned:
                continue
            kind = (machine.machine_type.name, machine.zone, machine.spot)
            fitting = fitting_by_kind.get(kind)
            if fitting is None:
                fitting = 0
                if spec.may_run_on(*kind):
                    fitting = tasks_per_machine(machine.machine_type, spec.resources)
                fitting_by_kind[kind] = fitting
            if fitting:
                candidates.append((machine, fitting))
                tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + fitting
        return candidates, tasks_by_zone

    def _soonest_empty_first(self, shard_id: int | None) -> list[AvailableMachine]:
        """Return all machines, those that are empty soonest first; the order is cached by shard."""
        ordered = self._soonest_empty.get(shard_id)
        if ordered is None:
            ordered = self._soonest_empty[shard_id] = sorted(
                self._draft.machines,
                key=lambda machine: (
                    machine.empty_in_s(self._boot_s),
                    machine.shard_id != shard_id,
                    machine.spot,
                    machine.name,
                ),
            )
        return ordered

    def _request_missing(
        self, allocation: _Allocation, kinds: list[MachineKind], shard_id: int | None
    ) -> None:
        """Request the cheapest machines for the tasks that are not allocated to a machine yet."""
        spec = allocation.spec
        while allocation.remaining > 0:
            open_kinds = [kind for kind in kinds if allocation.has_room(kind.zone)]
            if not open_kinds:
                return
            cheapest = self._kinds.cheapest(open_kinds, spec)
            fitting = tasks_per_machine(cheapest.machine_type, spec.resources)
            self._draft.request(cheapest, 1, shard_id)
            allocation.allocate(cheapest.zone, fitting)
