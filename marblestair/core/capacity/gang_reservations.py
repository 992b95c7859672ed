"""Planning of whole machines for gangs: reserves existing machines and requests missing ones.

Reserved machines are kept from other work, so a gang reserves machines only if it can get all that
it needs: from the fleet, from the cloud, or from other gangs when these end.
"""

from __future__ import annotations

import math

from marblestair.core.capacity.gang_allocation import GangAllocation
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


class _Candidates:
    """Machines on which tasks of a gang fit when they are empty, in order of preference."""

    def __init__(self) -> None:
        #: machines that run no gang, and those that do, each with the number of tasks that fit
        self.without_gang: list[tuple[AvailableMachine, int]] = []
        self.running_gangs: list[tuple[AvailableMachine, int]] = []

    def tasks_by_zone(self) -> dict[str, int]:
        """Return the number of tasks that fit on the machines without a gang, by zone."""
        tasks: dict[str, int] = {}
        for machine, fitting in self.without_gang:
            tasks[machine.zone] = tasks.get(machine.zone, 0) + fitting
        return tasks


class GangReservations:
    """Plans whole machines for pending gangs and for expected ones."""

    def __init__(
        self, draft: PlanDraft, kinds: KindsByPrice, boot_s: float, is_suspended: bool
    ) -> None:
        self._draft = draft
        self._plan = draft.plan
        self._kinds = kinds
        self._boot_s = boot_s
        #: names of the machines that run gangs
        self._running_gangs = set(draft.gang_machines)
        #: whether no machine is reserved at present; machines are still allocated and requested
        self._is_suspended = is_suspended
        #: shard of the gang (None for any) -> all machines, in the order in which ``_allocate``
        #: uses them
        self._soonest_empty: dict[int | None, list[AvailableMachine]] = {}

    def reserve_for_pending(self, gangs: list[JobLoad]) -> None:
        """Reserve whole machines for pending gangs, and request the missing ones.

        A gang that cannot get all machines that it needs reserves none, since they would be idle
        without a bound in time. The machines that it could use are left for the other gangs first;
        the rest of them stays rented for it.
        """
        incomplete = []
        for load in gangs:
            if not load.pending:
                self._check_gang_over_limit(load)
                continue
            allocation = self._allocate_for(load)
            if allocation is None:
                incomplete.append(load)
                continue
            self._add(allocation, load.shard_id)
            if not self._waits_for_one_gang(allocation):
                self._reserve(allocation, load.spec.id)
        for load in incomplete:
            self._plan.gangs_lacking_machines.add(load.spec.id)
            allocation = self._allocate(load.spec, load.pending, load.shard_id)
            self._add(allocation, load.shard_id)

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
            can_preempt = all(PRIORITY_RANKS[load.spec.priority] < rank for load in arrays)
            count = min_gangs
            if can_preempt:
                # A gang of the class can preempt every array, so arrays may use the standby
                # machines while there is no other free capacity.
                count = standby_gang_count(gangs, self._kinds.types, min_gangs)
            allocation = self._allocate(spec, count * spec.task_count, None)
            self._add(allocation, None)
            if can_preempt:
                self._plan.draining_machines.update(allocation.machines)
            else:
                self._reserve(allocation, EXPECTED_GANG)

    def _check_gang_over_limit(self, load: JobLoad) -> None:
        """Note a waiting gang over its team's limit that lacks machines too.

        No machines are planned for it as long as the limit does not allow it, but quota is kept for
        it, so that it gets below the limit while smaller work keeps coming. That would be in vain
        if the whole fleet, with what the cloud has, did not suffice.
        """
        if not load.waiting:
            return
        allocation = self._allocate(
            load.spec,
            load.waiting,
            load.shard_id,
            uses_all_machines=True,
            uses_doubtful_kinds=False,
        )
        if not allocation.is_complete:
            self._plan.gangs_lacking_machines.add(load.spec.id)

    def _waits_for_one_gang(self, allocation: GangAllocation) -> bool:
        """Whether a single machine, which runs another gang, is all that a gang needs.

        Such a gang has nothing to collect, so it needs no reservation: it can start on the first
        machine that any gang leaves.
        """
        if len(allocation.machines) != 1 or allocation.requested:
            return False
        return allocation.machines[0] in self._running_gangs

    def _reserve(self, allocation: GangAllocation, job: str) -> None:
        if self._is_suspended:
            return
        for name in allocation.machines:
            self._plan.reserved_machines[name] = job

    def _add(self, allocation: GangAllocation, shard_id: int | None) -> None:
        """Add an allocation to the plan: its machines are taken, its kinds are requested."""
        self._draft.gang_machines.update(allocation.machines)
        self._draft.allocated_machines.update(allocation.machines)
        for kind in allocation.requested:
            self._draft.request(kind, 1, shard_id)

    def _allocate_for(self, load: JobLoad) -> GangAllocation | None:
        """Allocate all machines that a pending gang needs; return None if it cannot get them.

        Machines that run other gangs are the last resort. They are allocated if the cloud refuses
        what is missing, and in addition to the requested ones if the gang has waited for longer
        than a machine takes to boot. The gang would otherwise never find its machines empty at one
        time while small gangs keep coming.
        """
        spec, shard_id = load.spec, load.shard_id
        allocation = self._allocate(spec, load.pending, shard_id)
        is_certain = allocation.is_complete
        if any(self._kinds.is_doubtful(kind) for kind in allocation.requested):
            is_certain = self._allocate(
                spec, load.pending, shard_id, uses_doubtful_kinds=False
            ).is_complete
        if is_certain and (not allocation.requested or load.waited_s <= self._boot_s):
            return allocation
        with_running = self._allocate(
            spec, load.pending, shard_id, uses_running_gangs=True, uses_doubtful_kinds=False
        )
        if with_running.is_complete:
            with_running.requested = allocation.requested
            return with_running
        return allocation if is_certain else None

    def _allocate(
        self,
        spec: JobSpec,
        task_count: int,
        shard_id: int | None,
        *,
        uses_running_gangs: bool = False,
        uses_all_machines: bool = False,
        uses_doubtful_kinds: bool = True,
    ) -> GangAllocation:
        """Allocate machines to a gang's tasks; what is missing is requested or left open.

        The machines that will be empty soonest are allocated first; if several are empty at the
        same time, those of the gang's shard come first. With ``uses_running_gangs``, machines that
        run other gangs come next; with ``uses_all_machines``, also those that are allocated
        already. What is then missing is requested from the cloud. A gang that needs a single zone
        gets the zone with the most machines among those where it can get all, or else among all
        zones.
        """
        kinds = self._kinds.available(spec)
        if not uses_doubtful_kinds:
            kinds = [kind for kind in kinds if not self._kinds.is_doubtful(kind)]
        taken = set() if uses_all_machines else self._draft.allocated_machines
        candidates = self._candidates(spec, shard_id, taken)
        uses_running_gangs = uses_running_gangs or uses_all_machines
        if not spec.single_zone:
            return self._fill(spec, task_count, candidates, kinds, uses_running_gangs)
        tasks_by_zone = candidates.tasks_by_zone()
        zones = {kind.zone for kind in kinds} | set(tasks_by_zone)
        zones |= {machine.zone for machine, _ in candidates.running_gangs}
        best: GangAllocation | None = None
        for zone in sorted(zones, key=lambda zone: (-tasks_by_zone.get(zone, 0), zone)):
            allocation = self._fill(spec, task_count, candidates, kinds, uses_running_gangs, zone)
            if allocation.is_complete:
                return allocation
            best = best or allocation
        return best or GangAllocation(spec, task_count)

    def _fill(  # noqa: PLR0913 - the parts of one search
        self,
        spec: JobSpec,
        task_count: int,
        candidates: _Candidates,
        kinds: list[MachineKind],
        uses_running_gangs: bool,
        only_zone: str | None = None,
    ) -> GangAllocation:
        """Allocate machines, in one zone if ``only_zone`` is given."""
        allocation = GangAllocation(spec, task_count)
        allocation.add_machines(candidates.without_gang, only_zone)
        if uses_running_gangs:
            allocation.add_machines(candidates.running_gangs, only_zone)
        self._request_missing(allocation, kinds, only_zone)
        return allocation

    def _candidates(self, spec: JobSpec, shard_id: int | None, taken: set[str]) -> _Candidates:
        """Return the machines that are not taken and that the gang may use when empty."""
        #: type, zone and whether spot -> number of tasks that fit on such a machine
        fitting_by_kind: dict[tuple[str, str, bool], int] = {}
        candidates = _Candidates()
        for machine in self._soonest_empty_first(shard_id):
            if machine.name in taken or machine.is_partitioned:
                continue
            kind = (machine.machine_type.name, machine.zone, machine.spot)
            fitting = fitting_by_kind.get(kind)
            if fitting is None:
                fitting = 0
                if spec.may_run_on(*kind):
                    fitting = tasks_per_machine(machine.machine_type, spec.resources)
                fitting_by_kind[kind] = fitting
            if fitting and machine.runs_gang:
                candidates.running_gangs.append((machine, fitting))
            elif fitting:
                candidates.without_gang.append((machine, fitting))
        return candidates

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
        self, allocation: GangAllocation, kinds: list[MachineKind], only_zone: str | None
    ) -> None:
        """Request the cheapest machines for the tasks that are not allocated to a machine yet."""
        spec = allocation.spec
        while not allocation.is_complete:
            open_kinds = [
                kind
                for kind in kinds
                if allocation.has_room(kind.zone) and only_zone in (None, kind.zone)
            ]
            if not open_kinds:
                return
            cheapest = self._kinds.cheapest(open_kinds, spec)
            fitting = tasks_per_machine(cheapest.machine_type, spec.resources)
            allocation.add_request(cheapest, fitting)
