"""Collection of the work and the machines that the fleet plan is computed from."""

from __future__ import annotations

from marblestair.core.capacity.provisioning import AvailableMachine, JobLoad
from marblestair.core.capacity.reported_state import ReportedState
from marblestair.core.capacity.team_headroom import TeamHeadroom
from marblestair.core.domain.jobs import JobKind
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.inherited_urgency import InheritedUrgency
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.records import JobRecord
from marblestair.core.state.store_view import StoreView

#: maximum estimated run time of a blocked array's unfinished parents, in boot times of the type
#: that boots fastest; the plan leaves the array out if a parent is estimated to run longer
MAX_PARENT_RUN_BOOT_TIMES = 2.0
#: lower bound of a task's estimated run time in the plan, in seconds
MIN_RUN_S = 1.0


class PlanInputs:
    """Collects the work and the machines of the whole fleet from one node's view."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        catalog: MachineCatalog,
        summaries: ReceivedSummaries,
        run_times: RunTimes,
        dependencies: DependencyGraph,
        urgency: InheritedUrgency,
        fleet_plan: FleetPlan,
    ) -> None:
        self._context = context
        self._view = view
        self._catalog = catalog
        self._summaries = summaries
        self._run_times = run_times
        self._dependencies = dependencies
        self._urgency = urgency
        self._fleet_plan = fleet_plan

    def reported_state(self) -> ReportedState:
        """Merge the latest summaries of all shards."""
        return ReportedState(self._context, self._summaries)

    def loads(
        self, reported: ReportedState, live: list[JobRecord], default_deadline_run_times: float
    ) -> list[JobLoad]:
        """Return the loads of jobs with pending or placed tasks, and of arrays that start soon.

        Cancelled jobs are left out. A job without a deadline is due ``default_deadline_run_times``
        run times after it became startable.
        """
        headroom = TeamHeadroom(self._context.teams, reported, live)
        loads = []
        for record in live:
            spec = self._urgency.scheduling_spec(record)
            pending, placed = reported.tasks.get(spec.id, (0, 0))
            waiting = pending
            if record.is_cancelled or not pending + placed:
                continue
            # Tasks beyond the team's cpu limit cannot run, so no machines are planned for them. A
            # gang starts only as a whole, so none are planned if the limit allows only a part.
            allowed = headroom.allowed(record, pending)
            is_gang = spec.kind == JobKind.GANG
            is_over_limit = is_gang and allowed < spec.task_count and not placed
            if is_gang:
                pending = 0 if is_over_limit else allowed
            # What cannot start anyway must not keep machines from being planned for other work.
            if not is_over_limit and spec.id not in self._fleet_plan.gangs_lacking_machines:
                headroom.reserve(record, allowed)
            run_s = max(MIN_RUN_S, spec.estimated_run_s * self._run_times.ratio(spec.job_class))
            due_at = record.startable_since + default_deadline_run_times * run_s
            if spec.deadline_s is not None:
                due_at = spec.accepted_at + spec.deadline_s
            due_in_s = due_at - self._context.wall_time
            shard_id = reported.shard_of_job.get(spec.id)
            waited_s = self._context.wall_time - record.startable_since
            loads.append(
                JobLoad(
                    spec, pending, placed, due_in_s, run_s, allowed, shard_id, waited_s, waiting
                )
            )
        return loads + self._upcoming_loads(reported, live, headroom, default_deadline_run_times)

    def _upcoming_loads(
        self,
        reported: ReportedState,
        live: list[JobRecord],
        headroom: TeamHeadroom,
        default_deadline_run_times: float,
    ) -> list[JobLoad]:
        """Return the loads of blocked arrays that may start by the time a rented machine boots.

        ``_starts_soon`` decides which arrays these are. Gangs are left out, because machines
        reserved for a gang would be idle until the gang starts.
        """
        loads = []
        for record in live:
            if not record.is_blocked or not self._starts_soon(reported, record):
                continue
            spec = self._urgency.scheduling_spec(record)
            if spec.kind == JobKind.GANG:
                continue
            allowed = headroom.allowed(record, spec.task_count)
            headroom.reserve(record, allowed)
            run_s = max(MIN_RUN_S, spec.estimated_run_s * self._run_times.ratio(spec.job_class))
            due_in_s = default_deadline_run_times * run_s
            loads.append(JobLoad(spec, spec.task_count, 0, due_in_s, run_s, allowed))
        return loads

    def _starts_soon(self, reported: ReportedState, blocked: JobRecord) -> bool:
        """Whether all tasks of a job's unfinished parents are placed and have a short run time."""
        boot_s = min(
            (machine_type.boot_s for machine_type in self._catalog.types.values()), default=0.0
        )
        for parent in self._dependencies.unfinished_parents(blocked.spec.id):
            record = self._view.jobs.get(parent)
            if record is None or record.is_blocked or record.is_cancelled:
                return False
            pending, placed = reported.tasks.get(parent, (0, 0))
            run_s = record.spec.estimated_run_s * self._run_times.ratio(record.spec.job_class)
            if pending or not placed or run_s > MAX_PARENT_RUN_BOOT_TIMES * boot_s:
                return False
        return True

    def machines(self, reported: ReportedState) -> list[AvailableMachine]:
        """Return the available machines of known type in the shards with a recent summary."""
        machines = []
        for name, record in self._view.machines.items():
            machine_type = self._catalog.types.get(record.machine_type)
            if (
                machine_type is None
                or name in reported.unavailable_machines
                or record.shard_id not in reported.recent_shards
            ):
                continue
            machines.append(
                AvailableMachine(
                    name=name,
                    machine_type=machine_type,
                    zone=record.zone,
                    spot=record.spot,
                    runs_gang=name in reported.gang_machines,
                    idle_s=reported.idle_machines.get(name),
                    age_s=self._context.wall_time - record.added_at,
                    shard_id=record.shard_id,
                    used_cpus=reported.used_cpus.get(name, 0),
                    is_partitioned=name in reported.partitioned_machines,
                )
            )
        return machines
