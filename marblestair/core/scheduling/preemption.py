"""Making room: which work is stopped so that a hurried gang can start.

A gang claims the machines that are cleared for it, so that arrays do not fill them again bit by
bit while the rest is still being stopped, and so that two gangs never wait for the same machine.
"""

from __future__ import annotations

from marblestair.core.domain.jobs import PRIORITY_RANKS, JobSpec
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.placement import FreeCapacity, may_run_on_machine, tasks_that_fit
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask, StopReason
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: a claim lapses after this many report intervals: what was to be stopped has not gone
CLAIM_REPORTS = 6.0


def _holds(free: list[int], need: tuple[int, int, int]) -> int:
    return max(0, min((f // x for f, x in zip(free, need, strict=True) if x > 0), default=0))


class PreemptionSurvey:
    """What work of a part could be stopped for a priority, counted once for all that ask."""

    def __init__(self, shard: Shard, preemption: Preemption, now: float) -> None:
        self.part = shard
        self.preemption = preemption
        self._now = now
        self._machines: dict[int, list[tuple[Machine, float, list[int]]]] = {}
        self._teams: dict[tuple[str, int], list[tuple[float, PlacedTask]]] = {}
        self._sums: dict[tuple[str, int], int] = {}

    def machines(self, level: int) -> list[tuple[Machine, float, list[int]]]:
        """Usable machines, the work lost by clearing each, and its free room afterwards."""
        out = self._machines.get(level)
        if out is None:
            out = self._machines[level] = []
            now = self._now
            for machine in self.part.machines.values():
                if not machine.is_usable(now):
                    continue
                free, lost = list(machine.free), 0.0
                for task in self.preemption._victims(self.part, machine, level):
                    for i in (0, 1, 2):
                        free[i] += task.resources[i]
                    if task.running_since is not None:
                        lost += task.resources[0] * (now - task.running_since)
                out.append((machine, lost, free))
        return out

    def _tasks(self, team: str, level: int) -> list[tuple[float, PlacedTask]]:
        found = self._teams.get((team, level))
        if found is None:
            now = self._now
            found = []
            for other in self.part.slices.values():
                if other.spec.team != team or PRIORITY_RANKS[other.spec.priority] >= level:
                    continue
                for i, machine in other.placed_on.items():
                    task = machine.tasks.get((other.spec.id, i))
                    if task is not None:
                        ran = now - task.running_since if task.running_since is not None else 0.0
                        found.append((ran if task.stop_grace_s is None else -1.0, task))
            found.sort(key=lambda x: x[0])
            self._teams[(team, level)] = found
            self._sums[(team, level)] = sum(task.resources[0] for _, task in found)
        return found

    def stoppable(self, team: str, level: int) -> int:
        """Cpus of a team's tasks here that are of lower priority."""
        self._tasks(team, level)
        return self._sums[(team, level)]

    def of_team(
        self, team: str, level: int, lack: int, besides: list[PlacedTask]
    ) -> list[PlacedTask] | None:
        """Choose tasks of a team whose end frees that much of its share here.

        The latest started come first, and ahead of them those that are being stopped
        already. None when there are not enough.
        """
        out: list[PlacedTask] = []
        if lack <= 0:
            return out
        left = set(map(id, besides))
        for _, task in self._tasks(team, level):
            if lack <= 0:
                break
            if id(task) not in left:
                out.append(task)
                lack -= task.resources[0]
        return None if lack > 0 else out

    def stopped(self, team: str) -> None:
        """Something of a team was stopped: its tasks are put in order anew."""
        for key in [k for k in self._teams if k[0] == team]:
            del self._teams[key]


class Preemption:
    """Claims of machines on one node, and the choice of what is stopped."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        arrivals: Arrivals,
        fleet_plan: FleetPlan,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._arrivals = arrivals
        self._fleet_plan = fleet_plan
        #: machine -> job that it is cleared for, and until when
        self.claims: dict[str, tuple[str, float]] = {}

    def is_claimed(self, machine: Machine, job: str = "") -> bool:
        """Whether a machine is being cleared, or set aside by the plan, for another job."""
        claim = self.claims.get(machine.name)
        if claim is not None:
            return claim[0] != job
        kept = self._fleet_plan.reserved_machines.get(machine.name, "")
        return kept not in ("", job) and kept in self._view.jobs

    def tick(self) -> None:
        """Drop claims of jobs that have started or gone, and those that have lapsed."""
        for name, (job, until) in list(self.claims.items()):
            waits = any(
                name in shard.machines
                and (job_slice := shard.slices.get(job)) is not None
                and not job_slice.placed_on
                for shard in self._leadership.shards.values()
            )
            if not waits or self._context.now > until:
                del self.claims[name]

    def _victims(self, shard: Shard, machine: Machine, level: int) -> list[PlacedTask]:
        """What may be stopped on a machine for work of a priority."""
        out = []
        for task in machine.tasks.values():
            job_slice = shard.slices.get(task.job)
            if job_slice is None or PRIORITY_RANKS[job_slice.spec.priority] < level:
                out.append(task)
        return out

    def _without(
        self, machine: Machine, victims: list[PlacedTask], need: tuple[int, int, int]
    ) -> int:
        """How many tasks fit once the victims are gone."""
        free = list(machine.free)
        for task in victims:
            for i in (0, 1, 2):
                free[i] += task.resources[i]
        return _holds(free, need)

    def survey(self, shard: Shard) -> PreemptionSurvey:
        """What could be stopped in a part; to be kept for one look through all that waits."""
        return PreemptionSurvey(shard, self, self._context.now)

    def machines_claimed_for(self, shard: Shard, job: str) -> list[Machine]:
        """Machines of a part that are being cleared for a job."""
        names = [name for name, (claimer, _) in self.claims.items() if claimer == job]
        return [shard.machines[n] for n in names if n in shard.machines]

    def make_room(
        self,
        shard: Shard,
        job_slice: JobSlice,
        share: tuple[int, int],
        act: bool,
        survey: PreemptionSurvey,
    ) -> bool:
        """Whether a gang can have its machines here by stopping work of lower priority.

        The least lost work is stopped first, and work of the gang's own team where the
        team's share is what it lacks. With ``act`` the machines are claimed and the work is
        stopped.
        """
        job, spec = job_slice.spec.id, job_slice.spec
        if any(claim[0] == job for claim in self.claims.values()):
            return True
        level = PRIORITY_RANKS[spec.priority]
        used, wanted = shard.usage(spec.team)[0], len(job_slice.pending) * job_slice.resources[0]
        # What the share lacks at least, whatever is stopped for its room.
        if share[0] + survey.stoppable(spec.team, level) < used + wanted:
            return False
        chosen = self._cheapest(shard, job_slice, level, survey)
        if chosen is None:
            return False
        stopped = [task for _, victims in chosen for task in victims]
        # What the share lacks, less what the victims free of it.
        lack = wanted - (share[0] - used)
        lack -= sum(task.resources[0] for task in stopped if task.team == spec.team)
        own = survey.of_team(spec.team, level, lack, stopped)
        if own is None:
            return False
        if act:
            shard.stop_tasks(own, StopReason.PREEMPTED)
            self._claim(shard, job, chosen)
            survey.stopped(spec.team)
        return True

    def _cheapest(
        self, shard: Shard, job_slice: JobSlice, level: int, survey: PreemptionSurvey
    ) -> list[tuple[str, list[PlacedTask]]] | None:
        """Choose machines for a gang, with what is to be stopped there; None if too few."""
        lacking = len(job_slice.pending)
        chosen: list[tuple[str, list[PlacedTask]]] = []
        for _, name, machine in sorted(
            self._options(job_slice, level, survey), key=lambda x: x[:2]
        ):
            if lacking <= 0:
                break
            # Counted afresh: something may have been placed or stopped since the survey.
            victims: list[PlacedTask] = []
            fits = tasks_that_fit(machine, job_slice.resources)
            if not fits:
                if any(task.stop_grace_s is not None for task in machine.tasks.values()):
                    continue
                victims = self._victims(shard, machine, level)
                fits = self._without(machine, victims, job_slice.resources)
            if fits:
                chosen.append((name, victims))
                lacking -= fits
        return chosen if lacking <= 0 else None

    def _options(
        self, job_slice: JobSlice, level: int, survey: PreemptionSurvey
    ) -> list[tuple[float, str, Machine]]:
        """Machines that a gang could have, with the work lost for each of its tasks there."""
        options: list[tuple[float, str, Machine]] = []
        for machine, lost, after in survey.machines(level):
            if (
                after[0] < job_slice.resources[0]
                or self.is_claimed(machine, job_slice.spec.id)
                or not may_run_on_machine(job_slice.spec, machine)
            ):
                continue
            if tasks_that_fit(machine, job_slice.resources):
                options.append((0.0, machine.name, machine))
            elif fits := _holds(after, job_slice.resources):
                options.append((lost / fits, machine.name, machine))
        return options

    def _claim(self, shard: Shard, job: str, chosen: list[tuple[str, list[PlacedTask]]]) -> None:
        """Clear machines for a job."""
        report_s = self._context.settings.cluster.workers.report_s
        until = self._context.now + CLAIM_REPORTS * report_s
        for name, victims in chosen:
            self.claims[name] = (job, until)
            shard.stop_tasks(victims, StopReason.PREEMPTED)

    def preemptible_capacity(self, shard: Shard) -> list[FreeCapacity]:
        """Room that a hurried class could have here by stopping lower-priority work."""
        coming: list[JobSpec] = [
            gangs.spec
            for gangs in self._arrivals.expected_gangs.values()
            if gangs.is_latency_sensitive
        ]
        if not coming:
            return []
        level = max(PRIORITY_RANKS[x.priority] for x in coming)
        out: list[FreeCapacity] = []
        for machine in shard.machines.values():
            if (
                not machine.tasks
                or not machine.is_usable(self._context.now)
                or self.is_claimed(machine)
            ):
                continue
            if not any(may_run_on_machine(x, machine) for x in coming):
                continue
            victims = self._victims(shard, machine, level)
            if not victims or any(task.stop_grace_s is not None for task in machine.tasks.values()):
                continue
            free = [machine.free[i] + sum(task.resources[i] for task in victims) for i in range(3)]
            if any(all(f >= x for f, x in zip(free, k.resources, strict=True)) for k in coming):
                out.append(
                    (machine.type_name, machine.zone, machine.spot, free[0], free[1], free[2])
                )
        return out
