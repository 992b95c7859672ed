"""The rule that no job waits beside a machine that could run it, once there are no failures."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marblestair.core.domain.jobs import FINAL_STATES, JobKind, JobSpec
from tests.fakes.agent import FakeAgent

if TYPE_CHECKING:
    from tests.fakes.rules import RuleChecker
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: time for which a job may wait beside free capacity
MAX_WAIT_S = 90.0
#: latest starts among which a job's own are looked for
MAX_RECENT_STARTS = 200


class FreeMachine(NamedTuple):
    """A machine that serves, and what of it is free."""

    agent: FakeAgent
    capacity: list[int]

    def fitting_tasks(self, spec: JobSpec) -> int:
        """How many tasks of a job fit the free capacity."""
        return min(
            (
                free // need
                for free, need in zip(self.capacity, spec.resources, strict=True)
                if need
            ),
            default=0,
        )


class WaitingRule:
    """Judges that no job waits too long while its team is under its limit and a machine fits."""

    def __init__(self, deployment: SimulatedDeployment, rules: RuleChecker) -> None:
        self._deployment = deployment
        self._rules = rules
        #: since when there are no failures, as the test says; None: there may be some
        self.failures_ended_at: float | None = None
        #: job -> since when it has waited beside free capacity
        self._waiting_since: dict[str, float] = {}

    def check(self) -> None:
        """Judge the waits of all accepted jobs."""
        if self.failures_ended_at is None:
            self._waiting_since.clear()
            return
        machines = self._free_machines()
        free_quota = self._free_quota(machines)
        for job in self._rules.accepted_at:
            if self._could_start(job, machines, free_quota):
                self._check_wait(job)
            else:
                self._waiting_since.pop(job, None)

    def _free_machines(self) -> list[FreeMachine]:
        return [
            FreeMachine(agent, agent.free_capacity())
            for agent in self._deployment.agents.values()
            if agent.is_serving and not agent.is_unresponsive and agent.reclaim_at is None
        ]

    def _free_quota(self, machines: list[FreeMachine]) -> dict[str, float]:
        """Cpus that each team may still take, by what runs on the machines."""
        specs = self._deployment.tasks.specs
        free = {team.name: team.cpu_limit for team in self._deployment.cluster.teams}
        for machine in machines:
            for task in machine.agent.live_tasks.values():
                spec = specs[task.job]
                free[spec.team] -= spec.cpus
        return free

    def _could_start(
        self, job: str, machines: list[FreeMachine], free_quota: dict[str, float]
    ) -> bool:
        """Whether a job waits, its team may start a task of it, and there is a machine for it."""
        tasks, rules = self._deployment.tasks, self._rules
        spec = tasks.specs[job]
        placed = {
            task.index
            for agent in tasks.agents_of(job)
            if not agent.is_released
            for task in agent.tasks_of(job)
        }
        done = {index for done_job, index in tasks.done if done_job == job}
        is_over = rules.last_state.get(job) in FINAL_STATES
        if rules.is_cancel_requested(job) or spec.task_count <= len(placed | done) or is_over:
            return False
        if rules.unfinished_dependencies(job):
            return False
        is_gang = spec.kind == JobKind.GANG
        if is_gang and placed:
            return False
        zones = rules.zones_of(job) if spec.single_zone and placed else None
        fitting = sum(
            machine.fitting_tasks(spec)
            for machine in machines
            if spec.may_run_on(
                machine.agent.machine_type.name, machine.agent.zone, machine.agent.spot
            )
            and (zones is None or machine.agent.zone in zones)
        )
        count = spec.task_count if is_gang else 1
        return fitting >= count and free_quota[spec.team] >= spec.cpus * count

    def _check_wait(self, job: str) -> None:
        """Judge the wait of a job that could start; each start of a task begins it anew."""
        now = self._deployment.now
        since = self._waiting_since.setdefault(job, now)
        recent = self._deployment.tasks.starts[-MAX_RECENT_STARTS:]
        last = max((start.at for start in recent if start.job == job), default=0.0)
        if now - max(since, last) > MAX_WAIT_S:
            self._rules.violations.append(f"waits: {job} beside room")
            self._waiting_since[job] = now
