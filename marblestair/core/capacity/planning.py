"""The plan for the fleet: what to rent, what to set aside and what to give back.

Every owner computes the same plan from the records and from what the owners tell one another,
and carries out its own share of it; machines rented anywhere serve all, since unstarted slices
migrate to where there is room.

For arrays the plan asks how much capacity the work needs to be done when it is due. What is due
before a machine rented now could have done it cannot be helped by renting, so it counts as due
when such a machine would have done it. For gangs it asks for whole machines.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from marblestair.core.capacity.provisioning import (
    LEAST_AGE_S,
    AvailableMachine,
    JobLoad,
    Plan,
    RentalRequest,
    Tuning,
    price_per_task,
    spare_gang_count,
)
from marblestair.core.domain.jobs import PRIORITY_RANKS, JobKind, JobSpec
from marblestair.core.domain.machine_kinds import MachineKind, kinds_for_job, tasks_per_machine
from marblestair.core.domain.machines import MachineType
from marblestair.core.scheduling.arrivals import ExpectedGangs

#: run times ahead of its due time from which on work is worth ordinary machines, though it may run
#: on spot ones
DEAR_LEAD = 1.5
#: share of the capacity that must lack before ordinary machines are rented for work that may run on
#: spot ones
DEAR_LACK = 0.03
#: boots take up to this many times the usual time, as a rule
SLOW_BOOTS = 1.2
#: price of spot work against an ordinary machine's below which the latter is to be replaced
CHEAPER = 0.7
#: more than any price, where no spot machine is to be had
NO_PRICE = 1e18
#: part of a rental that any part may make
ANY_SHARD = -1
#: number of a part, or ANY_PART, with the type, zone and spot of a machine
RankedKind = tuple[tuple[str, str, bool], int]


def plan(
    loads: list[JobLoad],
    machines: list[AvailableMachine],
    types: dict[str, MachineType],
    refused: Callable[[MachineKind], bool],
    usual: float,
    expected: dict[str, ExpectedGangs],
    tuning: Tuning,
    smooth: Callable[[float], float] = lambda x: x,
) -> Plan:
    """Return the plan for the whole fleet; the same from the same inputs.

    ``usual`` is the size of a usual array job, ``expected`` the classes of gangs that come.
    ``smooth`` follows the target over time: a machine that is rented for a short burst is up only
    when the burst is over.
    """
    planner = _Planner(loads, machines, types, refused, tuning)
    planner.find_scarce_types(expected)
    planner.set_aside_for_waiting_gangs()
    planner.set_aside_for_expected_gangs(expected)
    planner.set_target(usual, smooth)
    planner.rent_for_arrays()
    planner.rent_in_bound_zones()
    planner.rent_for_unserved_arrays()
    planner.drain_surplus()
    planner.release_idle()
    return planner.finish()


class _Planner:
    """One plan in the making."""

    def __init__(
        self,
        loads: list[JobLoad],
        machines: list[AvailableMachine],
        types: dict[str, MachineType],
        refused: Callable[[MachineKind], bool],
        tuning: Tuning,
    ) -> None:
        self._machines = machines
        self._types = types
        self._refused = refused
        self._tuning = tuning
        self._gangs = [load for load in loads if load.spec.kind == JobKind.GANG]
        self._arrays = [load for load in loads if load.spec.kind != JobKind.GANG]
        self._boot_s = SLOW_BOOTS * min(
            (machine_type.boot_s for machine_type in types.values()), default=30.0
        )
        self._plan = Plan([], [])
        #: machines that run gangs or are set aside for them
        self._taken = {machine.name for machine in machines if machine.runs_gang}
        self._wanted: dict[RankedKind, int] = {}
        #: types that only some classes' large tasks need: left to them where possible
        self._scarce: set[str] = set()
        #: share of the target that is worth ordinary machines where work may run on spot ones
        self._dear_share = 1.0
        self._kinds: dict[tuple[object, ...], list[MachineKind]] = {}
        self._by_part: dict[int, list[AvailableMachine]] = {}

    def find_scarce_types(self, expected: dict[str, ExpectedGangs]) -> None:
        """Note the types that not every class can do without."""
        for coming in expected.values():
            fitting = {kind.machine_type.name for kind in kinds_for_job(coming.spec, self._types)}
            if len(fitting) < len(self._types):
                self._scarce |= fitting

    # --- gangs -----------------------------------------------------------------------------

    def set_aside_for_waiting_gangs(self) -> None:
        """Set whole machines aside for gangs that wait, and rent what is missing."""
        for load in self._gangs:
            if load.pending:
                aside = partial(self._reserve, job=load.spec.id)
                self._set_aside(load.spec, load.pending, load.shard_id, aside)

    def set_aside_for_expected_gangs(self, expected: dict[str, ExpectedGangs]) -> None:
        """Keep machines ready for classes whose starts are wanted sooner than a machine boots."""
        if not self._tuning.spare_gangs:
            return
        for _, coming in sorted(expected.items()):
            if not coming.is_latency_sensitive:
                continue
            spec = coming.spec
            # Where a gang may stop what runs there, arrays may use its machine meanwhile.
            level = PRIORITY_RANKS[spec.priority]
            shared = all(PRIORITY_RANKS[load.spec.priority] < level for load in self._arrays)
            count = self._tuning.spare_gangs
            aside: Callable[[str], None] = partial(self._reserve, job="")
            if shared:
                count = spare_gang_count(coming, self._types, count)
                aside = self._plan.draining_machines.add
            self._set_aside(spec, count * spec.task_count, ANY_SHARD, aside)

    def _reserve(self, machine: str, job: str) -> None:
        self._plan.reserved_machines[machine] = job

    def _set_aside(
        self, spec: JobSpec, tasks: int, shard_id: int, aside: Callable[[str], None]
    ) -> None:
        """Set machines aside for tasks of a gang's kind, and rent what is missing.

        Those that are soonest empty go first, and of these the ones in the gang's own part.
        """
        options = [kind for kind in kinds_for_job(spec, self._types) if not self._refused(kind)]
        fitting, room = self._fitting(spec, shard_id)
        most_in_zone = tasks
        if spec.single_zone:
            zones = {kind.zone for kind in options} | set(room)
            if not zones:
                return
            zone = min(zones, key=lambda z: (-room.get(z, 0), z))
            fitting = [machine for machine in fitting if machine.zone == zone]
            options = [kind for kind in options if kind.zone == zone]
        elif spec.spread_zones:
            most_in_zone = (tasks + 1) // 2
        in_zone: dict[str, int] = {}
        for machine in fitting:
            if tasks <= 0:
                return
            count = min(
                tasks,
                tasks_per_machine(machine.machine_type, spec.resources),
                most_in_zone - in_zone.get(machine.zone, 0),
            )
            if count > 0:
                self._taken.add(machine.name)
                aside(machine.name)
                in_zone[machine.zone] = in_zone.get(machine.zone, 0) + count
                tasks -= count
        self._rent_for_gang(spec, tasks, shard_id, options, in_zone, most_in_zone)

    def _fitting(
        self, spec: JobSpec, shard_id: int
    ) -> tuple[list[AvailableMachine], dict[str, int]]:
        """Return machines that may be set aside for a gang's tasks, and their room by zone."""
        #: tasks that a machine of a kind holds, counted once per kind
        holds: dict[tuple[str, str, bool], int] = {}
        fitting: list[AvailableMachine] = []
        room: dict[str, int] = {}
        for machine in self._soonest_empty(shard_id):
            if machine.name in self._taken or machine.is_absent:
                continue
            kind = (machine.machine_type.name, machine.zone, machine.spot)
            if kind not in holds:
                fits = spec.may_run_on(*kind)
                holds[kind] = tasks_per_machine(machine.machine_type, spec.resources) if fits else 0
            if holds[kind]:
                fitting.append(machine)
                room[machine.zone] = room.get(machine.zone, 0) + holds[kind]
        return fitting, room

    def _soonest_empty(self, shard_id: int) -> list[AvailableMachine]:
        """Return the machines in the order in which they fall empty, put in order once per part."""
        if shard_id not in self._by_part:
            self._by_part[shard_id] = sorted(
                self._machines,
                key=lambda machine: (
                    machine.ready_s(self._boot_s),
                    machine.shard_id != shard_id,
                    machine.spot,
                    machine.name,
                ),
            )
        return self._by_part[shard_id]

    def _rent_for_gang(
        self,
        spec: JobSpec,
        tasks: int,
        shard_id: int,
        options: list[MachineKind],
        in_zone: dict[str, int],
        most_in_zone: int,
    ) -> None:
        while tasks > 0:
            open_kinds = [kind for kind in options if in_zone.get(kind.zone, 0) < most_in_zone]
            if not open_kinds:
                return
            best = self._cheapest_first(open_kinds, spec, set())[0]
            count = min(
                tasks,
                tasks_per_machine(best.machine_type, spec.resources),
                most_in_zone - in_zone.get(best.zone, 0),
            )
            self._want(best, 1, shard_id)
            in_zone[best.zone] = in_zone.get(best.zone, 0) + count
            tasks -= count

    # --- arrays ----------------------------------------------------------------------------

    def set_target(self, usual: float, smooth: Callable[[float], float]) -> None:
        """Decide how many cpus the arrays should have, and count those that they have."""
        target = _array_target(self._arrays, self._boot_s, self._tuning)
        if target > 0:
            dear = _array_target(self._arrays, self._boot_s, self._tuning, DEAR_LEAD)
            self._dear_share = dear / target
        if self._arrays or usual:
            target += self._tuning.reserve * usual
        self._plan.target_cpus = smooth(target)
        self._plan.capacity_cpus = sum(machine.machine_type.cpus for machine in self._for_arrays())

    def rent_for_arrays(self) -> None:
        """Rent the cheapest kind for what lacks, beyond machines that spot ones would replace."""
        dearest = self._cheapest_spot_cpu() / CHEAPER
        capacity = sum(
            machine.machine_type.cpus
            for machine in self._for_arrays()
            if not self._is_dearer(machine, dearest)
        )
        target = self._plan.target_cpus
        if not self._arrays or target <= capacity:
            return
        widest = _widest(self._arrays)
        lack = target - capacity
        options = self._open_kinds(widest.spec)
        for kind in options:
            # A machine much larger than what lacks would stand half empty.
            if kind.machine_type.cpus > 2 * lack and kind is not options[-1] and not kind.spot:
                continue
            if not kind.spot and widest.spec.allows_spot and self._plan.capacity_cpus > 0:
                lack = self._dear_share * target - capacity
                if lack < DEAR_LACK * self._plan.capacity_cpus:
                    # Neither work that has time left nor noise in the need of a large fleet is
                    # worth a dear machine.
                    return
            # Less than half a machine is not worth one, unless there is none at all.
            count = round(lack / kind.machine_type.cpus)
            if self._plan.capacity_cpus <= 0:
                count = max(1, count)
            self._want(kind, count, ANY_SHARD)
            return

    def rent_in_bound_zones(self) -> None:
        """Rent for work that is bound to a zone: it is not served by what stands in another."""
        bound: dict[str, list[JobLoad]] = {}
        for load in self._arrays:
            if load.spec.zone is not None and load.pending:
                bound.setdefault(load.spec.zone, []).append(load)
        for zone, loads in sorted(bound.items()):
            options = self._open_kinds(_widest(loads).spec)
            if not options:
                continue
            here = sum(
                machine.machine_type.cpus
                for machine in self._for_arrays()
                if machine.zone == zone and not machine.is_absent
            )
            asked = sum(
                count * self._types[kind[0]].cpus
                for (kind, _), count in self._wanted.items()
                if kind[1] == zone
            )
            target = _array_target(loads, self._boot_s, self._tuning)
            count = round((target - here - asked) / options[0].machine_type.cpus)
            self._want(options[0], count, ANY_SHARD)

    def rent_for_unserved_arrays(self) -> None:
        """Rent a machine for work that no machine at hand may run, whatever the capacity."""
        for load in self._arrays:
            if not load.pending or self._is_served(load.spec):
                continue
            options = self._open_kinds(load.spec)
            wanted = {kind for kind, _ in self._wanted}
            if options and not any(kind.key in wanted for kind in options):
                self._want(options[0], 1, ANY_SHARD)

    def _is_served(self, spec: JobSpec) -> bool:
        return any(
            spec.may_run_on(machine.machine_type.name, machine.zone, machine.spot)
            and tasks_per_machine(machine.machine_type, spec.resources)
            for machine in self._machines
            if machine.name not in self._plan.reserved_machines
        )

    def _cheapest_spot_cpu(self) -> float:
        """Return the lowest price of a cpu for the arrays' work on spot machines to be had."""
        risk = 1 + self._tuning.spot_risk
        # One list of kinds for each shape of task: many jobs have the same.
        shapes = [self._kinds_of(load.spec) for load in self._arrays]
        prices = [
            kind.price * risk / max(kind.machine_type.cpus, 1.0)
            for found in {id(found): found for found in shapes}.values()
            for kind in found
            if kind.spot and not self._refused(kind)
        ]
        return min(prices, default=NO_PRICE)

    def _is_dearer(self, machine: AvailableMachine, price_per_cpu: float) -> bool:
        """Whether an ordinary machine costs more than a price for a cpu."""
        if machine.spot or not self._arrays:
            return False
        return machine.machine_type.price / max(machine.machine_type.cpus, 1.0) > price_per_cpu

    # --- surplus ---------------------------------------------------------------------------

    def drain_surplus(self) -> None:
        """Let whole machines beyond the target fall idle: dear ones first, then the emptiest."""
        surplus = self._plan.capacity_cpus - self._plan.target_cpus
        for machine in sorted(
            self._machines,
            key=lambda machine: (
                machine.spot,
                machine.used_cpus / max(1, machine.machine_type.capacity[0]),
                machine.name,
            ),
        ):
            if (
                machine.name not in self._taken
                and not machine.is_absent
                and surplus >= machine.machine_type.cpus
            ):
                surplus -= machine.machine_type.cpus
                self._plan.draining_machines.add(machine.name)
                self._plan.surplus_machines.add(machine.name)

    def release_idle(self) -> None:
        """Give back idle machines that neither arrays nor a waiting gang need, dearest first."""
        surplus = self._plan.capacity_cpus - self._plan.target_cpus
        idle = [machine for machine in self._for_arrays() if machine.idle_s >= 0]
        idle.sort(
            key=lambda machine: (
                machine.spot,
                -(machine.machine_type.price / max(machine.machine_type.cpus, 1.0)),
                machine.name,
            )
        )
        for machine in idle:
            if (
                machine.age_s < LEAST_AGE_S
                or machine.idle_s < self._tuning.idle_boots * machine.machine_type.boot_s
            ):
                continue
            if surplus >= machine.machine_type.cpus * self._tuning.keep or not self._arrays:
                surplus -= machine.machine_type.cpus
                self._plan.releases.append(machine.name)

    def finish(self) -> Plan:
        """Return the plan with its rentals."""
        self._plan.rentals = [
            RentalRequest(*kind, count, shard_id)
            for (kind, shard_id), count in self._wanted.items()
        ]
        return self._plan

    # --- common ----------------------------------------------------------------------------

    def _for_arrays(self) -> list[AvailableMachine]:
        """Return the machines that no gang runs on or waits for."""
        return [machine for machine in self._machines if machine.name not in self._taken]

    def _want(self, kind: MachineKind, count: int, shard_id: int) -> None:
        if count > 0:
            wanted = (kind.key, shard_id)
            self._wanted[wanted] = self._wanted.get(wanted, 0) + count

    def _kinds_of(self, spec: JobSpec) -> list[MachineKind]:
        """Return the kinds a job may run on, found once per shape: many jobs have the same."""
        types = None if spec.machine_types is None else tuple(spec.machine_types)
        shape = (types, spec.zone, spec.allows_spot, spec.resources)
        if shape not in self._kinds:
            self._kinds[shape] = kinds_for_job(spec, self._types)
        return self._kinds[shape]

    def _open_kinds(self, spec: JobSpec) -> list[MachineKind]:
        """Return the kinds a job may run on that are not refused now, cheapest first."""
        options = [kind for kind in self._kinds_of(spec) if not self._refused(kind)]
        return self._cheapest_first(options, spec, self._scarce)

    def _cheapest_first(
        self, options: list[MachineKind], spec: JobSpec, scarce: set[str]
    ) -> list[MachineKind]:
        return sorted(
            options, key=lambda kind: (price_per_task(kind, spec, self._tuning, scarce), kind.zone)
        )


def _widest(loads: list[JobLoad]) -> JobLoad:
    return max(loads, key=lambda load: (load.pending * load.spec.cpus, load.spec.id))


def _array_target(loads: list[JobLoad], boot_s: float, tuning: Tuning, lead: float = 1e9) -> float:
    """Return the cpus with which the waiting arrays are done well before they are due.

    They need not be done earlier than ``lead`` run times ahead of that.
    """
    target = 0.0
    for load in loads:
        c = load.spec.cpus
        target += load.running * c
        if load.pending:
            # What can no longer be done in time is served last; it need not be hurried.
            lost = load.due_in_s < 0.3 * load.run_s
            time = (
                3.0 * (boot_s + load.run_s)
                if lost
                else max(tuning.haste * load.due_in_s, load.run_s)
            )
            if not lost:
                time = max(time, load.due_in_s - lead * load.run_s)
            target += min(load.pending * load.run_s / time, load.allowed_tasks) * c
    return target * (1 + tuning.margin)
