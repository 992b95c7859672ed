"""Checks that, without failures, no job waits long while a machine could run it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marblestair.core.domain.jobs import FINAL_STATES, JobKind, JobSpec
from tests.fakes.agent import FakeAgent

if TYPE_CHECKING:
    from tests.fakes.rules import RuleChecker
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: bound of the time that a job may wait while free capacity fits it
MAX_WAIT_S = 90.0
#: number of the latest task starts among which those of a job are searched
MAX_RECENT_STARTS = 200


class FreeMachine(NamedTuple):
    """A serving machine and its free capacity."""

    agent: FakeAgent
    capacity: list[int]

    def fitting_tasks(self, spec: JobSpec) -> int:
        """Return the number of a job's tasks that fit the free capacity."""
        return min(
            (
                free // need
                for free, need in zip(self.capacity, spec.resources, strict=True)
                if need
            ),
            default=0,
        )


class WaitingRule:
    """Checks that no job waits too long while its team has quota and a machine fits."""

    def __init__(self, deployment: SimulatedDeployment, rules: RuleChecker) -> None:
        self._deployment = deployment
        self._rules = rules
        #: time at which the test ended all failures; None: failures are possible
        self.failures_ended_at: float | None = None
        #: job -> time since which it could start
        self._waiting_since: dict[str, float] = {}

    def check(self) -> None:
        """Check the waiting times of all accepted jobs."""
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
        """Return each team's limit less the cpus of its live tasks on the machines."""
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
        """Return whether a job waits, its team has quota for a task and machines fit it."""
        tasks, rules = self._deployment.tasks, self._rules
        spec = tasks.specs[job]
        placed = {
            task.index
            for agent in tasks.agents_of(job)
            if not agent.is_released
            for task in agent.tasks_of(job)
        }
        done = {index for done_job, index in tasks.done if done_job == job}
        has_ended = rules.last_state.get(job) in FINAL_STATES
        if rules.is_cancel_requested(job) or spec.task_count <= len(placed | done) or has_ended:
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
        """Check the waiting time of a startable job, counted from its latest task start."""
        now = self._deployment.now
        since = self._waiting_since.setdefault(job, now)
        recent = self._deployment.tasks.starts[-MAX_RECENT_STARTS:]
        last = max((start.at for start in recent if start.job == job), default=0.0)
        if now - max(since, last) > MAX_WAIT_S:
            self._rules.violations.append(
                f"waits: {job} does not start although a machine and quota are free"
            )
            self._waiting_since[job] = now
