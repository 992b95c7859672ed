"""Planning of the capacity for arrays: the target in cpus, and the rentals that reach the target.

Pending tasks that are due too soon to meet their deadline (see ``INFEASIBLE_RUN_SHARE``) are
planned with a later completion time, because more machines could not complete them in time.
"""

from __future__ import annotations

from collections.abc import Callable

from marblestair.core.capacity.machine_kinds_by_price import MIN_DIVISOR_CPUS, KindsByPrice
from marblestair.core.capacity.plan_draft import PlanDraft
from marblestair.core.capacity.provisioning import JobLoad, Tuning
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machine_kinds import MachineKind, tasks_per_machine

#: time before a job's due time by which its pending tasks must be completed even if that takes
#: on-demand machines, in run times of a task; the cpus needed for this are called urgent
URGENT_RUN_TIMES = 1.5
#: minimum shortfall of urgent cpus for which on-demand machines are rented for a job that may run
#: on spot machines, as a share of the current capacity
MIN_ON_DEMAND_SHORTFALL_SHARE = 0.03
#: minimum ratio of the spot price per cpu to an on-demand machine's price per cpu at which the
#: on-demand machine counts as capacity; below this ratio, spot machines should replace the machine
REPLACEMENT_PRICE_RATIO = 0.7
#: maximum ratio of an on-demand machine's cpus to the shortfall; a larger machine would be mostly
#: empty
MAX_MACHINE_SIZE_RATIO = 2
#: minimum time until a job is due, as a share of a task's run time; with less time left, the job's
#: pending tasks are considered infeasible
INFEASIBLE_RUN_SHARE = 0.3
#: planned time to completion of infeasible tasks, as a multiple of the sum of boot and run time
INFEASIBLE_TIME_RATIO = 3.0


def demanded_cpus(
    arrays: list[JobLoad], boot_s: float, tuning: Tuning, lead_run_times: float | None = None
) -> float:
    """Return the cpus that run the placed tasks and complete the pending ones in the planned time.

    The planned time of feasible tasks is a share of the time until they are due, but at least one
    run time; with ``lead_run_times``, it extends at least to this many run times before the tasks
    are due. Infeasible tasks are planned with ``INFEASIBLE_TIME_RATIO``. No job's pending tasks
    count for more cpus than its ``allowed_tasks`` need. The capacity margin is added to the total.
    """
    total = 0.0
    for load in arrays:
        cpus = load.spec.cpus
        total += load.running * cpus
        if not load.pending:
            continue
        if load.due_in_s < INFEASIBLE_RUN_SHARE * load.run_s:
            # These tasks cannot meet the deadline, so capacity for them is not urgent.
            time_s = INFEASIBLE_TIME_RATIO * (boot_s + load.run_s)
        else:
            time_s = max(tuning.deadline_share * load.due_in_s, load.run_s)
            if lead_run_times is not None:
                time_s = max(time_s, load.due_in_s - lead_run_times * load.run_s)
        total += min(load.pending * load.run_s / time_s, load.allowed_tasks) * cpus
    return total * (1 + tuning.capacity_margin)


def _largest_backlog(loads: list[JobLoad]) -> JobLoad:
    """Return the job whose pending tasks need the most cpus in total."""
    return max(loads, key=lambda load: (load.pending * load.spec.cpus, load.spec.id))


class ArrayCapacity:
    """Plans the capacity for arrays, excluding machines that run gangs or are allocated to them."""

    def __init__(
        self,
        draft: PlanDraft,
        kinds: KindsByPrice,
        arrays: list[JobLoad],
        tuning: Tuning,
        boot_s: float,
    ) -> None:
        self._draft = draft
        self._plan = draft.plan
        self._kinds = kinds
        self._arrays = arrays
        self._tuning = tuning
        self._boot_s = boot_s
        self._machines = draft.array_machines()
        #: urgent share of the target (see ``URGENT_RUN_TIMES``), for which ``request_shortfall``
        #: rents on-demand machines even if the job may run on spot machines
        self._urgent_share = 1.0

    def set_target(self, average_array_cpus: float, smooth: Callable[[float], float]) -> None:
        """Set the plan's target and current capacity for arrays, in cpus.

        The target includes headroom for arrays that have not arrived yet, and is smoothed.
        """
        target = demanded_cpus(self._arrays, self._boot_s, self._tuning)
        if target > 0:
            urgent = demanded_cpus(self._arrays, self._boot_s, self._tuning, URGENT_RUN_TIMES)
            self._urgent_share = urgent / target
        if self._arrays or average_array_cpus:
            target += self._tuning.headroom_jobs * average_array_cpus
        self._plan.target_cpus = smooth(target)
        self._plan.capacity_cpus = sum(machine.machine_type.cpus for machine in self._machines)

    def request_shortfall(self) -> None:
        """Request machines to raise the capacity to the target.

        The machines are of the kind that ``_first_of_fitting_size`` chooses for the job with the
        largest backlog. On-demand machines that spot machines should replace do not count as
        capacity.
        """
        if not self._arrays:
            return
        target, capacity = self._plan.target_cpus, self._cost_effective_cpus()
        if target <= capacity:
            return
        spec = _largest_backlog(self._arrays).spec
        shortfall = target - capacity
        kind = _first_of_fitting_size(self._kinds.cheapest_first(spec), shortfall)
        if kind is None:
            return
        if not kind.spot and spec.allows_spot and self._plan.capacity_cpus > 0:
            # For a job that may run on spot machines, on-demand machines cover only the urgent
            # share of the target. A shortfall that is small compared with the capacity is ignored.
            shortfall = self._urgent_share * target - capacity
            if shortfall < MIN_ON_DEMAND_SHORTFALL_SHARE * self._plan.capacity_cpus:
                return
        # A shortfall of less than half a machine is ignored, unless there is no capacity at all.
        count = round(shortfall / kind.machine_type.cpus)
        if self._plan.capacity_cpus <= 0:
            count = max(1, count)
        self._draft.request(kind, count)

    def _cost_effective_cpus(self) -> float:
        """Return the cpus of the machines for arrays that spot machines should not replace."""
        spot_price = self._kinds.spot_price_per_cpu(self._arrays)
        if spot_price is None:
            return sum(machine.machine_type.cpus for machine in self._machines)
        max_price = spot_price / REPLACEMENT_PRICE_RATIO
        return sum(
            machine.machine_type.cpus
            for machine in self._machines
            if machine.spot
            or machine.machine_type.price / max(machine.machine_type.cpus, MIN_DIVISOR_CPUS)
            <= max_price
        )

    def request_in_required_zones(self) -> None:
        """Request machines for arrays that must run in one zone, up to their demand there."""
        by_zone: dict[str, list[JobLoad]] = {}
        for load in self._arrays:
            if load.spec.zone is not None and load.pending:
                by_zone.setdefault(load.spec.zone, []).append(load)
        for zone, loads in sorted(by_zone.items()):
            kinds = self._kinds.cheapest_first(_largest_backlog(loads).spec)
            if not kinds:
                continue
            cpus = sum(
                machine.machine_type.cpus
                for machine in self._machines
                if machine.zone == zone and not machine.is_partitioned
            )
            requested = self._draft.requested_cpus(zone, self._kinds.types)
            target = demanded_cpus(loads, self._boot_s, self._tuning)
            count = round((target - cpus - requested) / kinds[0].machine_type.cpus)
            self._draft.request(kinds[0], count)

    def request_for_unserved(self) -> None:
        """Request one machine for each pending array that no machine of the fleet can run.

        Machines reserved for gangs are not considered. No machine is requested for an array that
        can run on a machine already requested.
        """
        for load in self._arrays:
            if not load.pending or self._is_served(load.spec):
                continue
            kinds = self._kinds.cheapest_first(load.spec)
            if kinds and not self._draft.requests_any(kinds):
                self._draft.request(kinds[0], 1)

    def _is_served(self, spec: JobSpec) -> bool:
        """Whether a job may run on a machine of the fleet that is not reserved for a gang."""
        return any(
            spec.may_run_on(machine.machine_type.name, machine.zone, machine.spot)
            and tasks_per_machine(machine.machine_type, spec.resources)
            for machine in self._draft.machines
            if machine.name not in self._plan.reserved_machines
        )


def _first_of_fitting_size(kinds: list[MachineKind], shortfall: float) -> MachineKind | None:
    """Return the first kind that is spot or not too large for the shortfall, else the last."""
    for kind in kinds:
        if kind.spot or kind.machine_type.cpus <= MAX_MACHINE_SIZE_RATIO * shortfall:
            return kind
    return kinds[-1] if kinds else None
