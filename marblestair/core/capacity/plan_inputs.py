"""What the plan of the fleet is made from: work and machines, as records and owners tell them."""

from __future__ import annotations

from marblestair.core.capacity.provisioning import AvailableMachine, JobLoad
from marblestair.core.domain.jobs import JobKind
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ReceivedSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.inherited_urgency import InheritedUrgency
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.records import JobRecord
from marblestair.core.state.store_view import StoreView
from marblestair.settings.model import Team

#: boots of the fastest type that the jobs may still run whose successors are rented for
SOON_BOOTS = 2.0
#: a part that was not heard for this many of the workers' leases is left out
HEARD_LEASES = 1.5


class ReportedState:
    """What the owners of all parts told last.

    Through a takeover what was last told of a part still tells most; only of one that has not
    been heard for longer are neither the work nor the machines counted.
    """

    def __init__(self, context: NodeContext, summaries: ReceivedSummaries) -> None:
        #: job -> tasks waiting, tasks on machines
        self.tasks: dict[str, tuple[int, int]] = {}
        #: job -> a part that holds some of it
        self.shard_of_job: dict[str, int] = {}
        self.idle_machines: dict[str, float] = {}
        self.leaving_machines: set[str] = set()
        self.absent_machines: set[str] = set()
        self.gang_machines: set[str] = set()
        self.used_cpus: dict[str, int] = {}
        limit = HEARD_LEASES * context.settings.cluster.workers.lease_s
        self.recent_shards = {
            shard_id
            for shard_id, (told_at, _) in summaries.items()
            if context.now - told_at <= limit
        }
        for shard_id in sorted(self.recent_shards):
            self._take_in(shard_id, summaries[shard_id], context.now)

    def _take_in(self, shard_id: int, received: ReceivedSummary, now: float) -> None:
        received_at, summary = received
        for job, waiting, running in summary.pending_jobs:
            before = self.tasks.get(job, (0, 0))
            self.tasks[job] = (before[0] + waiting, before[1] + running)
            self.shard_of_job[job] = shard_id
        self.gang_machines.update(summary.gang_machines)
        self.used_cpus.update(summary.busy_machines)
        for name, since in summary.idle_machines:
            self.idle_machines[name] = since + (now - received_at)
        self.leaving_machines.update(summary.leaving_machines)
        self.absent_machines.update(summary.absent_machines)


class TeamCapacity:
    """What the teams' limits leave free, as work is counted against them."""

    def __init__(self, teams: dict[str, Team], told: ReportedState, live: list[JobRecord]) -> None:
        self._room = {name: team.cpu_limit for name, team in teams.items()}
        # What arrays hold of a limit comes free for a gang before long.
        self._gang_room = dict(self._room)
        for record in live:
            spec = record.spec
            _, running = told.tasks.get(spec.id, (0, 0))
            self._take(spec.team, running * spec.cpus, spec.kind == JobKind.GANG)

    def _take(self, team: str, cpus: float, is_gang: bool) -> None:
        self._room[team] = self._room.get(team, 0.0) - cpus
        if is_gang:
            self._gang_room[team] = self._gang_room.get(team, 0.0) - cpus

    def take(self, record: JobRecord, waiting: int) -> int:
        """Count a job's waiting tasks; how many of them the limit lets run."""
        spec = record.spec
        is_gang = spec.kind == JobKind.GANG
        left = self._gang_room if is_gang else self._room
        fitting = int(left[spec.team] // spec.cpus) if spec.cpus else waiting
        allowed = max(0, min(waiting, fitting))
        self._take(spec.team, allowed * spec.cpus, is_gang)
        return allowed


class PlanInputs:
    """Collects the work and the machines of the whole fleet, as one node knows them."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        catalog: MachineCatalog,
        summaries: ReceivedSummaries,
        run_times: RunTimes,
        dependencies: DependencyGraph,
        urgency: InheritedUrgency,
    ) -> None:
        self._context = context
        self._view = view
        self._catalog = catalog
        self._summaries = summaries
        self._run_times = run_times
        self._dependencies = dependencies
        self._urgency = urgency

    def reported_state(self) -> ReportedState:
        """What the leaders of all shards reported last."""
        return ReportedState(self._context, self._summaries)

    def loads(self, told: ReportedState, live: list[JobRecord], patience: float) -> list[JobLoad]:
        """The work at hand; what has no deadline is due after ``patience`` run times."""
        room = TeamCapacity(self._context.teams, told, live)
        found = []
        for record in live:
            spec = self._urgency.scheduling_spec(record)
            waiting, running = told.tasks.get(spec.id, (0, 0))
            if record.is_cancelled or not waiting + running:
                continue
            # More than the team's limit cannot run at once, whatever is rented.
            allowed = room.take(record, waiting)
            if spec.kind == JobKind.GANG:
                waiting = 0 if allowed < spec.task_count and not running else allowed
            run_s = max(1.0, spec.estimated_run_s * self._run_times.ratio(spec.job_class))
            due_at = record.startable_since + patience * run_s
            if spec.deadline_s is not None:
                due_at = spec.accepted_at + spec.deadline_s
            due = due_at - self._context.wall_time
            shard_id = told.shard_of_job.get(spec.id, -1)
            found.append(JobLoad(spec, waiting, running, due, run_s, allowed, shard_id))
        return found + self._coming_loads(told, live, room, patience)

    def _coming_loads(
        self,
        told: ReportedState,
        live: list[JobRecord],
        room: TeamCapacity,
        patience: float,
    ) -> list[JobLoad]:
        """The arrays whose awaited jobs all run: they start about when a machine rented now is up.

        A gang would have machines set aside for it, which stand idle until it starts.
        """
        found = []
        for record in live:
            if not record.is_blocked or not self._ends_soon(told, record):
                continue
            spec = self._urgency.scheduling_spec(record)
            if spec.kind == JobKind.GANG:
                continue
            allowed = room.take(record, spec.task_count)
            run_s = max(1.0, spec.estimated_run_s * self._run_times.ratio(spec.job_class))
            found.append(JobLoad(spec, spec.task_count, 0, patience * run_s, run_s, allowed, -1))
        return found

    def _ends_soon(self, told: ReportedState, child: JobRecord) -> bool:
        """Whether all that a job awaits runs, with all its tasks, and not for long any more."""
        boot_s = min(
            (machine_type.boot_s for machine_type in self._catalog.types.values()), default=0.0
        )
        for parent in self._dependencies.unfinished_parents(child.spec.id):
            record = self._view.jobs.get(parent)
            if record is None or record.is_blocked or record.is_cancelled:
                return False
            waiting, running = told.tasks.get(parent, (0, 0))
            run_s = record.spec.estimated_run_s * self._run_times.ratio(record.spec.job_class)
            if waiting or not running or run_s > SOON_BOOTS * boot_s:
                return False
        return True

    def machines(self, told: ReportedState) -> list[AvailableMachine]:
        """The machines at hand, up or booting, of parts that were heard."""
        found = []
        for name, known in self._view.machines.items():
            machine_type = self._catalog.types.get(known.machine_type)
            if (
                machine_type is None
                or name in told.leaving_machines
                or known.shard_id not in told.recent_shards
            ):
                continue
            found.append(
                AvailableMachine(
                    name=name,
                    machine_type=machine_type,
                    zone=known.zone,
                    spot=known.spot,
                    runs_gang=name in told.gang_machines,
                    idle_s=told.idle_machines.get(name, -1.0),
                    age_s=self._context.wall_time - known.added_at,
                    used_cpus=told.used_cpus.get(name, 0),
                    shard_id=known.shard_id,
                    is_absent=name in told.absent_machines,
                )
            )
        return found
