"""Computation of the fleet plan on each node from its view of the store and shard summaries."""

from __future__ import annotations

import math

from marblestair.core.capacity.capacity_refusals import CapacityRefusals
from marblestair.core.capacity.plan_inputs import PlanInputs
from marblestair.core.capacity.planning import plan
from marblestair.core.capacity.provisioning import UNKNOWN_BOOT_S, JobLoad, Plan, Tuning
from marblestair.core.capacity.withheld_capacity import WithheldCapacity
from marblestair.core.domain.jobs import JobKind
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.due_work import DueWork, infeasible_jobs
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.store_view import StoreView

#: minimum interval between two log lines of the plan, in seconds
PLAN_LOG_INTERVAL_S = 10.0
#: share of a team's remaining cpu limit that ``infeasible_jobs`` assumes to be usable for arrays
#: with a deadline; the remaining limit is the team's limit minus the cpus of running gangs and of
#: running jobs without a deadline
DEADLINE_LIMIT_SHARE = 0.9
#: share of a running task's work that is assumed to remain
RUNNING_REMAINING_SHARE = 0.5
#: minimum time constant of the smoothing, in seconds; avoids a division by zero
MIN_SMOOTHING_S = 1e-6


class FleetPlanner:
    """Computes the fleet plan on one node, and passes to placement the parts that it uses."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        catalog: MachineCatalog,
        inputs: PlanInputs,
        arrivals: Arrivals,
        refusals: CapacityRefusals,
        fleet_plan: FleetPlan,
        tuning: Tuning,
    ) -> None:
        self._context = context
        self._view = view
        self._catalog = catalog
        self._inputs = inputs
        self._arrivals = arrivals
        self._refusals = refusals
        self._fleet_plan = fleet_plan
        self._tuning = tuning
        #: monotonic time of the last smoothing of the arrays' target
        self._averaged_at = 0.0
        #: smoothed target in cpus; None before the first smoothing
        self._average_cpus: float | None = None
        self._logged_at: float | None = None
        self.withheld = WithheldCapacity(context)
        #: monotonic time of the latest plan; None before the first
        self.computed_at: float | None = None

    def compute(self) -> Plan:
        """Compute the plan, and update the part of it that placement uses."""
        live = sorted(
            self._view.jobs.values(), key=lambda record: (record.startable_since, record.spec.id)
        )
        reported = self._inputs.reported_state()
        loads = self._inputs.loads(reported, live, self._tuning.default_deadline_run_times)
        machines = self._inputs.machines(reported)
        self._arrivals.count_arrivals(live)
        computed = plan(
            loads,
            machines,
            self._catalog.types,
            self._refusals.is_refused,
            self._arrivals.average_array_cpus,
            self._arrivals.expected_gangs,
            self._tuning,
            self._smooth_target,
            is_doubtful=self._refusals.is_doubtful,
            is_reserving_suspended=self.withheld.is_suspended,
        )
        self.computed_at = self._context.now
        self.withheld.observe(loads, machines, computed.reserved_machines)
        self._fleet_plan.reserved_machines = computed.reserved_machines
        self._fleet_plan.gangs_lacking_machines = computed.gangs_lacking_machines
        self._fleet_plan.is_reserving_suspended = self.withheld.is_suspended
        self._fleet_plan.draining_machines = computed.draining_machines
        self._fleet_plan.infeasible_jobs = self._find_infeasible(loads)
        self._log(computed, loads)
        return computed

    def _smooth_target(self, target: float) -> float:
        """Update the exponential moving average of the arrays' target; return the average."""
        now = self._context.now
        types = self._catalog.types.values()
        boot_s = min((machine_type.boot_s for machine_type in types), default=UNKNOWN_BOOT_S)
        if self._average_cpus is None:
            average = target
        else:
            smoothing_s = max(MIN_SMOOTHING_S, self._tuning.smoothing_boot_times * boot_s)
            weight = 1 - math.exp(-(now - self._averaged_at) / smoothing_s)
            average = self._average_cpus + weight * (target - self._average_cpus)
        self._averaged_at, self._average_cpus = now, average
        return average

    def _find_infeasible(self, loads: list[JobLoad]) -> set[str]:
        """Return the jobs to defer so that as many jobs as possible meet their deadlines."""
        #: team -> work of the team's arrays that have a deadline
        due_work: dict[str, list[DueWork]] = {}
        used_cpus: dict[str, float] = {}
        for load in loads:
            spec = load.spec
            if spec.deadline_s is None or spec.kind == JobKind.GANG:
                # Tasks of gangs and of jobs without a deadline use part of the team's limit.
                running_cpus = load.running * spec.cpus
                used_cpus[spec.team] = used_cpus.get(spec.team, 0.0) + running_cpus
            else:
                tasks_left = load.pending + RUNNING_REMAINING_SHARE * load.running
                cpu_s = tasks_left * spec.cpus * load.run_s
                due_work.setdefault(spec.team, []).append(DueWork(load.due_in_s, cpu_s, spec.id))
        infeasible: set[str] = set()
        for team, work in due_work.items():
            limit = max(1.0, self._context.teams[team].cpu_limit - used_cpus.get(team, 0.0))
            infeasible |= infeasible_jobs(work, DEADLINE_LIMIT_SHARE * limit)
        return infeasible

    def _log(self, computed: Plan, loads: list[JobLoad]) -> None:
        now = self._context.now
        if self._logged_at is not None and now - self._logged_at <= PLAN_LOG_INTERVAL_S:
            return
        self._logged_at = now
        running_cpus = sum(load.running * load.spec.cpus for load in loads)
        allowed_cpus = sum(load.allowed_tasks * load.spec.cpus for load in loads)
        pending_cpus = sum(load.pending * load.spec.cpus for load in loads)
        self._context.log(
            "info",
            f"plan: target_cpus={computed.target_cpus:.0f}"
            f" capacity_cpus={computed.capacity_cpus:.0f} running_cpus={running_cpus:.0f}"
            f" allowed_pending_cpus={allowed_cpus:.0f} pending_cpus={pending_cpus:.0f}"
            f" reserved_machines={len(computed.reserved_machines)}"
            f" withheld_jobs={self.withheld.withheld_count}"
            f" longest_withheld_s={self.withheld.longest_wait_s:.0f}"
            f" gangs_lacking_machines={len(computed.gangs_lacking_machines)}"
            f" rentals={computed.rentals}",
        )
