"""Capacity for arrays: how many cpus they should have, and what to rent for that.

What is due before a machine rented now could have done it cannot be helped by renting, so it
counts as due when such a machine would have done it.
"""

from __future__ import annotations

from collections.abc import Callable

from marblestair.core.capacity.machine_kinds_by_price import MIN_CPUS, KindsByPrice
from marblestair.core.capacity.plan_draft import PlanDraft
from marblestair.core.capacity.provisioning import JobLoad, Tuning
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machine_kinds import MachineKind, tasks_per_machine

#: run times ahead of its due time from which on work is worth ordinary machines, though it may run
#: on spot ones
URGENT_RUN_TIMES = 1.5
#: share of the capacity that must lack before ordinary machines are rented for work that may run on
#: spot ones
MIN_ORDINARY_LACK = 0.03
#: price of spot work against an ordinary machine's below which the latter is to be replaced
REPLACEMENT_PRICE_RATIO = 0.7
#: an ordinary machine with more than this many times the cpus that lack would be half empty
MAX_SIZE_RATIO = 2
#: work that has less than this share of its run time left is not done by its deadline
INFEASIBLE_RUN_SHARE = 0.3
#: time in which such work should be done, in times of a boot and a run
INFEASIBLE_TIME_RATIO = 3.0


def demanded_cpus(
    arrays: list[JobLoad], boot_s: float, tuning: Tuning, lead_run_times: float | None = None
) -> float:
    """Return the cpus with which the pending arrays are done well before they are due.

    With ``lead_run_times``, they need not be done earlier than so many run times ahead of that.
    """
    total = 0.0
    for load in arrays:
        cpus = load.spec.cpus
        total += load.running * cpus
        if not load.pending:
            continue
        if load.due_in_s < INFEASIBLE_RUN_SHARE * load.run_s:
            # What can no longer be done in time is served last, at leisure.
            time_s = INFEASIBLE_TIME_RATIO * (boot_s + load.run_s)
        else:
            time_s = max(tuning.deadline_share * load.due_in_s, load.run_s)
            if lead_run_times is not None:
                time_s = max(time_s, load.due_in_s - lead_run_times * load.run_s)
        total += min(load.pending * load.run_s / time_s, load.allowed_tasks) * cpus
    return total * (1 + tuning.capacity_margin)


def _largest_backlog(loads: list[JobLoad]) -> JobLoad:
    """The job with most pending cpus."""
    return max(loads, key=lambda load: (load.pending * load.spec.cpus, load.spec.id))


class ArrayCapacity:
    """Plans the capacity for arrays, beside the machines that gangs were allocated."""

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
        #: share of the target that is worth ordinary machines where work may run on spot ones
        self._urgent_share = 1.0

    def set_target(self, average_array_cpus: float, smooth: Callable[[float], float]) -> None:
        """Decide how many cpus the arrays should have, and count those that they have."""
        target = demanded_cpus(self._arrays, self._boot_s, self._tuning)
        if target > 0:
            urgent = demanded_cpus(self._arrays, self._boot_s, self._tuning, URGENT_RUN_TIMES)
            self._urgent_share = urgent / target
        if self._arrays or average_array_cpus:
            target += self._tuning.headroom_jobs * average_array_cpus
        self._plan.target_cpus = smooth(target)
        self._plan.capacity_cpus = sum(machine.machine_type.cpus for machine in self._machines)

    def rent(self) -> None:
        """Request the cheapest kind for what lacks, beyond machines that spot ones replace."""
        if not self._arrays:
            return
        target, capacity = self._plan.target_cpus, self._competitive_cpus()
        if target <= capacity:
            return
        spec = _largest_backlog(self._arrays).spec
        lack = target - capacity
        kind = _first_of_fitting_size(self._kinds.cheapest_first(spec), lack)
        if kind is None:
            return
        if not kind.spot and spec.allows_spot and self._plan.capacity_cpus > 0:
            # Neither work that has time left nor noise in the demand of a large fleet is worth an
            # ordinary machine.
            lack = self._urgent_share * target - capacity
            if lack < MIN_ORDINARY_LACK * self._plan.capacity_cpus:
                return
        # Less than half a machine is not worth one, unless there is none at all.
        count = round(lack / kind.machine_type.cpus)
        if self._plan.capacity_cpus <= 0:
            count = max(1, count)
        self._draft.request(kind, count)

    def _competitive_cpus(self) -> float:
        """Cpus of the machines, without the ordinary ones that spot ones would replace."""
        spot_price = self._kinds.spot_price_per_cpu(self._arrays)
        if spot_price is None:
            return sum(machine.machine_type.cpus for machine in self._machines)
        max_price = spot_price / REPLACEMENT_PRICE_RATIO
        return sum(
            machine.machine_type.cpus
            for machine in self._machines
            if machine.spot
            or machine.machine_type.price / max(machine.machine_type.cpus, MIN_CPUS) <= max_price
        )

    def rent_in_required_zones(self) -> None:
        """Request machines for work that must run in a zone, whatever there is in others."""
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
                if machine.zone == zone and not machine.is_absent
            )
            requested = self._draft.requested_cpus(zone, self._kinds.types)
            target = demanded_cpus(loads, self._boot_s, self._tuning)
            count = round((target - cpus - requested) / kinds[0].machine_type.cpus)
            self._draft.request(kinds[0], count)

    def rent_for_unserved(self) -> None:
        """Request a machine for work that may run on none at hand, whatever the capacity."""
        for load in self._arrays:
            if not load.pending or self._is_served(load.spec):
                continue
            kinds = self._kinds.cheapest_first(load.spec)
            if kinds and not self._draft.requests_any(kinds):
                self._draft.request(kinds[0], 1)

    def _is_served(self, spec: JobSpec) -> bool:
        """Whether a job may run on a machine at hand that is not reserved."""
        return any(
            spec.may_run_on(machine.machine_type.name, machine.zone, machine.spot)
            and tasks_per_machine(machine.machine_type, spec.resources)
            for machine in self._draft.machines
            if machine.name not in self._plan.reserved_machines
        )


def _first_of_fitting_size(kinds: list[MachineKind], lack: float) -> MachineKind | None:
    """The first kind that is not much larger than what lacks; any spot kind, or else the last."""
    for kind in kinds:
        if kind.spot or kind.machine_type.cpus <= MAX_SIZE_RATIO * lack:
            return kind
    return kinds[-1] if kinds else None
