"""Bounds the time for which reservations keep pending work from free capacity.

Reservations of machines and of quota let a large gang collect what it needs while smaller work
keeps coming. Meanwhile, a pending job that would fit into free capacity, and into its team's
limit, is *withheld*. Once any job has been withheld for ``MAX_WITHHELD_S``, all reservations are
suspended for ``SUSPENSION_S``: the free capacity is offered to all work at the same time, so that
the machines are also released together and can be collected together afterwards.
"""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.capacity.provisioning import AvailableMachine, JobLoad
from marblestair.core.domain.jobs import JobKind
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.placement import FreeCapacity, capacity_by_zone, gang_fits

#: maximum time for which a job may wait while a machine that fits has room and its team is below
#: its limit, as the users require
MAX_WAIT_BESIDE_CAPACITY_S = 90.0
#: time after which reservations are suspended for a withheld job; the rest of the maximum wait is
#: for the job's migration and launch
MAX_WITHHELD_S = 0.75 * MAX_WAIT_BESIDE_CAPACITY_S
#: duration of a suspension; a job may need several summaries of other shards, a transfer of quota
#: and a migration before it can start there
SUSPENSION_S = MAX_WAIT_BESIDE_CAPACITY_S / 6


class _Wait(NamedTuple):
    """Since when a job has been withheld, and the number of its waiting tasks."""

    since: float
    waiting: int
    #: when fewer tasks were first seen to wait, at the latest plan; None if not
    progress_at: float | None = None

    def updated(self, waiting: int, now: float) -> _Wait:
        """Return the wait after a plan at which ``waiting`` tasks wait.

        Fewer waiting tasks mean that some have started, unless only one plan shows it: tasks that
        migrate may be missing from the summaries for a moment.
        """
        if waiting >= self.waiting:
            return self._replace(progress_at=None)
        if self.progress_at is None:
            return self._replace(progress_at=now)
        return _Wait(self.progress_at, waiting)


class WithheldCapacity:
    """Detects withheld jobs from one plan to the next, and decides when to suspend reservations."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        #: job -> its wait
        self._waits: dict[str, _Wait] = {}
        self._suspended_until: float | None = None

    @property
    def is_suspended(self) -> bool:
        """Whether reservations are suspended now."""
        return self._suspended_until is not None and self._context.now < self._suspended_until

    @property
    def withheld_count(self) -> int:
        """The number of jobs that were withheld at the latest plan."""
        return len(self._waits)

    @property
    def longest_wait_s(self) -> float:
        """The longest time for which any job has been withheld, in seconds; 0 if none is."""
        return max((self._context.now - wait.since for wait in self._waits.values()), default=0.0)

    def observe(
        self, loads: list[JobLoad], machines: list[AvailableMachine], reserved: dict[str, str]
    ) -> None:
        """Update the withheld jobs from a plan, and suspend reservations if one waits too long.

        A job that started a task since the last plan counts as withheld from now on only.
        """
        now = self._context.now
        if self.is_suspended:
            return
        waits = {}
        limits = {name: team.cpu_limit for name, team in self._context.teams.items()}
        for load in withheld_loads(loads, machines, reserved, limits):
            wait = self._waits.get(load.spec.id, _Wait(now, load.waiting))
            waits[load.spec.id] = wait.updated(load.waiting, now)
        self._waits = waits
        job = min(waits, key=lambda job: (waits[job].since, job), default=None)
        if job is not None and now - waits[job].since > MAX_WITHHELD_S:
            self._suspend(job, reserved)

    def _suspend(self, job: str, reserved: dict[str, str]) -> None:
        self._context.log(
            "info",
            f"reservations suspended for {SUSPENSION_S:.0f} s: job {job} was withheld for"
            f" {self.longest_wait_s:.0f} s, withheld_jobs={len(self._waits)}"
            f" reserved_machines={len(reserved)}"
            f" reserved_for={sorted(set(reserved.values()))[:3]}",
        )
        self._suspended_until = self._context.now + SUSPENSION_S
        self._waits = {}


def withheld_loads(
    loads: list[JobLoad],
    machines: list[AvailableMachine],
    reserved: dict[str, str],
    cpu_limits: dict[str, float],
) -> list[JobLoad]:
    """Return the loads that would fit into free capacity if nothing were reserved.

    The loads of teams that cannot run one more task or gang within ``cpu_limits`` are left out. No
    load is returned if no machine is reserved and no gang waits, for which quota may be. Of
    machines that are not idle, only the cpus in use are known, so a load may be returned although
    memory is lacking.
    """
    if not reserved and not any(_is_waiting_gang(load) for load in loads):
        return []
    capacities = [free for machine in machines if (free := _free_capacity(machine)) is not None]
    free_quota = dict(cpu_limits)
    for load in loads:
        free_quota[load.spec.team] -= load.running * load.spec.cpus
    #: constraints of a load -> whether it fits
    fits_by_constraints: dict[tuple[object, ...], bool] = {}
    withheld = []
    for load in loads:
        unit = load.waiting if load.spec.kind == JobKind.GANG else 1
        if not load.waiting or unit * load.spec.cpus > free_quota[load.spec.team]:
            continue
        constraints = _constraints(load)
        if constraints not in fits_by_constraints:
            fits_by_constraints[constraints] = _fits(load, capacities)
        if fits_by_constraints[constraints]:
            withheld.append(load)
    return withheld


def _free_capacity(machine: AvailableMachine) -> FreeCapacity | None:
    """Return the free capacity of a machine; None if it is booting, partitioned or not known."""
    is_known = machine.idle_s is not None or machine.used_cpus > 0
    if not is_known or machine.is_partitioned:
        return None
    cpus, gpus, memory = machine.machine_type.capacity
    free_cpus = cpus if machine.idle_s is not None else cpus - machine.used_cpus
    if free_cpus <= 0:
        return None
    return machine.machine_type.name, machine.zone, machine.spot, free_cpus, gpus, memory


def _constraints(load: JobLoad) -> tuple[object, ...]:
    """Return the values on which the result of ``_fits`` depends."""
    spec = load.spec
    types = None if spec.machine_types is None else tuple(spec.machine_types)
    constraints = (types, spec.zone, spec.allows_spot, spec.resources)
    if spec.kind != JobKind.GANG:
        return constraints
    return (*constraints, load.waiting, spec.task_count, spec.single_zone, spec.spread_zones)


def _is_waiting_gang(load: JobLoad) -> bool:
    return load.spec.kind == JobKind.GANG and load.waiting > 0


def _fits(load: JobLoad, capacities: list[FreeCapacity]) -> bool:
    """Whether a task of an array, or all of a gang's, fit into free capacity."""
    spec = load.spec
    if spec.kind == JobKind.GANG:
        return gang_fits(spec, spec.resources, capacities, load.waiting)
    return any(capacity_by_zone(spec, spec.resources, capacities).values())
