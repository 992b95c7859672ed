"""Making room: which work is stopped so that a hurried gang can start.

A gang claims the machines that are cleared for it, so that arrays do not fill them again bit by
bit while the rest is still being stopped, and so that two gangs never wait for the same machine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.domain.model import PRIORITIES, JobSpec
from marblestair.core.scheduling.placement import FreeCapacity, may_run_on_machine, tasks_that_fit
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask
from marblestair.core.shard.shard import Shard

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: a claim lapses after this many report intervals: what was to be stopped has not gone
CLAIM_REPORTS = 6.0


def _holds(free: list[int], need: tuple[int, int, int]) -> int:
    return max(0, min((f // x for f, x in zip(free, need, strict=True) if x > 0), default=0))


class PreemptionSurvey:
    """What work of a part could be stopped for a priority, counted once for all that ask."""

    def __init__(self, part: Shard, preemption: Preemption) -> None:
        self.part = part
        self.preemption = preemption
        self._machines: dict[int, list[tuple[Machine, float, list[int]]]] = {}
        self._teams: dict[tuple[str, int], list[tuple[float, PlacedTask]]] = {}
        self._sums: dict[tuple[str, int], int] = {}

    def machines(self, level: int) -> list[tuple[Machine, float, list[int]]]:
        """Usable machines, the work lost by clearing each, and its free room afterwards."""
        out = self._machines.get(level)
        if out is None:
            out = self._machines[level] = []
            now = self.preemption.controller.now
            for m in self.part.machines.values():
                if not m.is_usable(now):
                    continue
                free, lost = list(m.free), 0.0
                for p in self.preemption._victims(self.part, m, level):
                    for i in (0, 1, 2):
                        free[i] += p.resources[i]
                    if p.running_since is not None:
                        lost += p.resources[0] * (now - p.running_since)
                out.append((m, lost, free))
        return out

    def _tasks(self, team: str, level: int) -> list[tuple[float, PlacedTask]]:
        found = self._teams.get((team, level))
        if found is None:
            now = self.preemption.controller.now
            found = []
            for other in self.part.slices.values():
                if other.spec.team != team or PRIORITIES[other.spec.priority] >= level:
                    continue
                for i, m in other.placed_on.items():
                    p = m.tasks.get((other.spec.id, i))
                    if p is not None:
                        ran = now - p.running_since if p.running_since is not None else 0.0
                        found.append((ran if p.stop_grace_s is None else -1.0, p))
            found.sort(key=lambda x: x[0])
            self._teams[(team, level)] = found
            self._sums[(team, level)] = sum(p.resources[0] for _, p in found)
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
        for _, p in self._tasks(team, level):
            if lack <= 0:
                break
            if id(p) not in left:
                out.append(p)
                lack -= p.resources[0]
        return None if lack > 0 else out

    def stopped(self, team: str) -> None:
        """Something of a team was stopped: its tasks are put in order anew."""
        for key in [k for k in self._teams if k[0] == team]:
            del self._teams[key]


class Preemption:
    """Claims of machines on one node, and the choice of what is stopped."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        #: machine -> job that it is cleared for, and until when
        self.claims: dict[str, tuple[str, float]] = {}

    def is_claimed(self, m: Machine, job: str = "") -> bool:
        """Whether a machine is being cleared, or set aside by the plan, for another job."""
        claim = self.claims.get(m.name)
        if claim is not None:
            return claim[0] != job
        kept = self.controller.fleet.reserved_machines.get(m.name, "")
        return kept not in ("", job) and kept in self.controller.view.jobs

    def tick(self) -> None:
        """Drop claims of jobs that have started or gone, and those that have lapsed."""
        controller = self.controller
        for name, (job, until) in list(self.claims.items()):
            waits = any(
                name in p.machines and (s := p.slices.get(job)) is not None and not s.placed_on
                for p in controller.shards.values()
            )
            if not waits or controller.now > until:
                del self.claims[name]

    def _victims(self, part: Shard, m: Machine, level: int) -> list[PlacedTask]:
        """What may be stopped on a machine for work of a priority."""
        out = []
        for p in m.tasks.values():
            s = part.slices.get(p.job)
            if s is None or PRIORITIES[s.spec.priority] < level:
                out.append(p)
        return out

    def _without(self, m: Machine, victims: list[PlacedTask], need: tuple[int, int, int]) -> int:
        """How many tasks fit once the victims are gone."""
        free = list(m.free)
        for p in victims:
            for i in (0, 1, 2):
                free[i] += p.resources[i]
        return _holds(free, need)

    def survey(self, part: Shard) -> PreemptionSurvey:
        """What could be stopped in a part; to be kept for one look through all that waits."""
        return PreemptionSurvey(part, self)

    def machines_claimed_for(self, part: Shard, job: str) -> list[Machine]:
        """Machines of a part that are being cleared for a job."""
        names = [name for name, (claimer, _) in self.claims.items() if claimer == job]
        return [part.machines[n] for n in names if n in part.machines]

    def make_room(
        self, part: Shard, s: JobSlice, share: tuple[int, int], act: bool, survey: PreemptionSurvey
    ) -> bool:
        """Whether a gang can have its machines here by stopping work of lower priority.

        The least lost work is stopped first, and work of the gang's own team where the
        team's share is what it lacks. With ``act`` the machines are claimed and the work is
        stopped.
        """
        job, spec = s.spec.id, s.spec
        if any(claim[0] == job for claim in self.claims.values()):
            return True
        level = PRIORITIES[spec.priority]
        used, wanted = part.usage(spec.team)[0], len(s.pending) * s.resources[0]
        # What the share lacks at least, whatever is stopped for its room.
        if share[0] + survey.stoppable(spec.team, level) < used + wanted:
            return False
        chosen = self._cheapest(part, s, level, survey)
        if chosen is None:
            return False
        stopped = [p for _, victims in chosen for p in victims]
        # What the share lacks, less what the victims free of it.
        lack = wanted - (share[0] - used)
        lack -= sum(p.resources[0] for p in stopped if p.team == spec.team)
        own = survey.of_team(spec.team, level, lack, stopped)
        if own is None:
            return False
        if act:
            part.stop_tasks(own, "preempted")
            self._claim(part, job, chosen)
            survey.stopped(spec.team)
        return True

    def _cheapest(
        self, part: Shard, s: JobSlice, level: int, survey: PreemptionSurvey
    ) -> list[tuple[str, list[PlacedTask]]] | None:
        """Choose machines for a gang, with what is to be stopped there; None if too few."""
        lacking = len(s.pending)
        chosen: list[tuple[str, list[PlacedTask]]] = []
        for _, name, m in sorted(self._options(s, level, survey), key=lambda x: x[:2]):
            if lacking <= 0:
                break
            # Counted afresh: something may have been placed or stopped since the survey.
            victims: list[PlacedTask] = []
            fits = tasks_that_fit(m, s.resources)
            if not fits:
                if any(p.stop_grace_s is not None for p in m.tasks.values()):
                    continue
                victims = self._victims(part, m, level)
                fits = self._without(m, victims, s.resources)
            if fits:
                chosen.append((name, victims))
                lacking -= fits
        return chosen if lacking <= 0 else None

    def _options(
        self, s: JobSlice, level: int, survey: PreemptionSurvey
    ) -> list[tuple[float, str, Machine]]:
        """Machines that a gang could have, with the work lost for each of its tasks there."""
        options: list[tuple[float, str, Machine]] = []
        for m, lost, after in survey.machines(level):
            if (
                after[0] < s.resources[0]
                or self.is_claimed(m, s.spec.id)
                or not may_run_on_machine(s.spec, m)
            ):
                continue
            if tasks_that_fit(m, s.resources):
                options.append((0.0, m.name, m))
            elif fits := _holds(after, s.resources):
                options.append((lost / fits, m.name, m))
        return options

    def _claim(self, part: Shard, job: str, chosen: list[tuple[str, list[PlacedTask]]]) -> None:
        """Clear machines for a job."""
        controller = self.controller
        report_s = controller.settings.cluster.workers.report_s
        until = controller.now + CLAIM_REPORTS * report_s
        for name, victims in chosen:
            self.claims[name] = (job, until)
            part.stop_tasks(victims, "preempted")

    def preemptible_capacity(self, part: Shard) -> list[FreeCapacity]:
        """Room that a hurried class could have here by stopping lower-priority work."""
        controller = self.controller
        coming: list[JobSpec] = [
            k.spec
            for k in controller.fleet.arrivals.expected_gangs.values()
            if k.is_latency_sensitive
        ]
        if not coming:
            return []
        level = max(PRIORITIES[x.priority] for x in coming)
        out: list[FreeCapacity] = []
        for m in part.machines.values():
            if not m.tasks or not m.is_usable(controller.now) or self.is_claimed(m):
                continue
            if not any(may_run_on_machine(x, m) for x in coming):
                continue
            victims = self._victims(part, m, level)
            if not victims or any(p.stop_grace_s is not None for p in m.tasks.values()):
                continue
            free = [m.free[i] + sum(p.resources[i] for p in victims) for i in range(3)]
            if any(all(f >= x for f, x in zip(free, k.resources, strict=True)) for k in coming):
                out.append((m.type_name, m.zone, m.spot, free[0], free[1], free[2]))
        return out
