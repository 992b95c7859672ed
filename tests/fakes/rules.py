"""Checks of the invariants that users rely on, from replies to users and from running tasks."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from marblestair.core.domain.agents import CommandVerb, TaskCommand
from marblestair.core.domain.jobs import FINAL_STATES, JobSpec, JobState
from marblestair.core.runtime.outbox import UserReply
from tests.fakes.agent import FakeAgent
from tests.fakes.agent_tasks import FakeTask
from tests.fakes.waiting_rule import WaitingRule

if TYPE_CHECKING:
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: interval between two checks of the running tasks
CHECK_INTERVAL_S = 0.25
#: tolerance for rounding when fractional cpus are summed
MAX_ROUNDING_ERROR_CPUS = 1e-9
#: bound of the time from the moment a job can start to its first task start
MAX_START_DELAY_S = 240.0


class FinalAnswer(NamedTuple):
    """The first final state in a reply to a user, and its number among requests and replies."""

    state: str
    number: int


class RuleChecker:
    """Checks the invariants of a simulated deployment; ``violations`` lists each breach."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self.violations: list[str] = []
        #: job -> time of the first reply that accepted it
        self.accepted_at: dict[str, float] = {}
        #: jobs for which users requested a cancel
        self.cancel_requested: set[str] = set()
        #: job -> state in the latest reply
        self.last_state: dict[str, str] = {}
        #: job -> first final state in a reply
        self.final_answers: dict[str, FinalAnswer] = {}
        #: job -> time of the first reply that it is cancelled
        self.cancel_confirmed_at: dict[str, float] = {}
        #: job -> time of the first reply that it is done or cancelled
        self.final_since: dict[str, float] = {}
        self._waiting_rule = WaitingRule(deployment, self)

    @property
    def failures_ended_at(self) -> float | None:
        """Time at which the test ended all failures; the waiting rule is checked from then on."""
        return self._waiting_rule.failures_ended_at

    @failures_ended_at.setter
    def failures_ended_at(self, at: float) -> None:
        self._waiting_rule.failures_ended_at = at

    def check_reply(
        self, kind: str, argument: JobSpec | str, reply: UserReply, number: int | None = None
    ) -> None:
        """Check a reply to a user's request; ``number`` gives the order among all requests."""
        if number is None:
            number = next(self._deployment.request_numbers)
        job = argument.id if isinstance(argument, JobSpec) else argument
        if kind == "submit":
            self._check_submission(job, reply.status)
        if reply.status == 404 and job in self.accepted_at:
            self.violations.append(f"forgotten: accepted {job} was answered with 404")
        if reply.status in (200, 201):
            self._check_state(job, reply.state, number)

    def _check_submission(self, job: str, status: int) -> None:
        if status in (200, 201):
            self.accepted_at.setdefault(job, self._deployment.now)
        elif status in (400, 422) and job in self.accepted_at:
            self.violations.append(f"forgotten: accepted {job} was rejected with {status}")

    def _check_state(self, job: str, state: str, number: int) -> None:
        if job not in self._deployment.tasks.specs:
            self.violations.append(f"invented: state {state} of {job}, which nobody submitted")
            return
        self._check_state_order(job, state, number)
        if state == JobState.CANCELLED and not self.is_cancel_requested(job):
            self.violations.append(f"went_back: {job} is cancelled without a request")
        self._check_orphan(job, state)
        if state == JobState.DONE:
            undone = self._deployment.tasks.unfinished_tasks(job)
            if undone:
                self.violations.append(f"not_done: {job} is reported done, tasks {undone} are not")
        self._record_state(job, state)

    def _record_state(self, job: str, state: str) -> None:
        now = self._deployment.now
        if state in FINAL_STATES:
            self.final_since.setdefault(job, now)
        if state == JobState.CANCELLED:
            self.cancel_confirmed_at.setdefault(job, now)
        self.last_state[job] = state

    def _check_state_order(self, job: str, state: str, number: int) -> None:
        """Check that a job does not leave a final state.

        A request made before the first reply with a final state may still get an earlier state,
        which was true when it was made. Two final states must never differ.
        """
        final = self.final_answers.get(job)
        is_final = state in FINAL_STATES
        if final is not None:
            if state != final.state and (number > final.number or is_final):
                self.violations.append(f"went_back: {job} from {final.state} to {state}")
        elif is_final:
            self.final_answers[job] = FinalAnswer(state, next(self._deployment.request_numbers))

    def ancestors(self, job: str) -> set[str]:
        """Return the jobs that a job depends on, directly or transitively."""
        specs = self._deployment.tasks.specs
        found: set[str] = set()
        stack = [job]
        while stack:
            for parent in specs[stack.pop()].depends_on:
                if parent not in found and parent in specs:
                    found.add(parent)
                    stack.append(parent)
        return found

    def is_cancel_requested(self, job: str) -> bool:
        """Return whether users requested a cancel of a job or of one of its ancestors."""
        return bool(({job} | self.ancestors(job)) & self.cancel_requested)

    def _is_overdue(self, since: float | None) -> bool:
        """Return whether more time than a cancel may take has passed since ``since``."""
        return since is not None and self._deployment.now > since + self._deployment.cancel_s

    def _check_orphan(self, job: str, state: str) -> None:
        """Check that dependents of a cancelled job are not reported live after the cancel time."""
        if state not in (JobState.QUEUED, JobState.RUNNING):
            return
        for ancestor in self.ancestors(job):
            if self._is_overdue(self.cancel_confirmed_at.get(ancestor)):
                self.violations.append(f"orphaned: {job} is {state}, {ancestor} is cancelled")

    def unfinished_dependencies(self, job: str) -> list[str]:
        """Return the direct dependencies of a job that have tasks which are not done."""
        tasks = self._deployment.tasks
        return [parent for parent in tasks.specs[job].depends_on if not tasks.is_done(parent)]

    def _startable_since(self, job: str) -> float:
        """Return the time since which a job is accepted and its dependencies are done.

        It is the present time while a dependency is not done.
        """
        if self.unfinished_dependencies(job):
            return self._deployment.now
        tasks = self._deployment.tasks
        done_at = [tasks.done_at.get(parent, 0.0) for parent in tasks.specs[job].depends_on]
        return max([self.accepted_at[job], *done_at])

    def check_commands(self, node: str, commands: Sequence[TaskCommand]) -> None:
        """Check that a heartbeat response does not start tasks of cancelled jobs."""
        for command in commands:
            if command.verb == CommandVerb.START and command.job in self.cancel_confirmed_at:
                self.violations.append(f"started_cancelled: {command.job} started by {node}")

    def check_start(self, agent: FakeAgent, task: FakeTask) -> None:
        """Record the start of a task and check that it is allowed."""
        self._deployment.tasks.record_start(task, agent.name)
        undone = self.unfinished_dependencies(task.job)
        if undone:
            self.violations.append(f"too_early: {task.job} starts before {undone} are done")
        self._check_runs_once(agent, task)
        self._check_place(agent, task)
        if self._is_overdue(self.cancel_confirmed_at.get(task.job)):
            self.violations.append(f"ran_cancelled: {task.job} starts")

    def _check_runs_once(self, agent: FakeAgent, task: FakeTask) -> None:
        """Check that no other attempt of the task is live."""
        for other in self._deployment.tasks.agents_of(task.job):
            previous = other.tasks.get((task.job, task.index))
            if previous is None or previous is task or other.is_released:
                continue
            if previous.is_live:
                self.violations.append(
                    f"ran_twice: {task.job}/{task.index} on {agent.name} and {other.name}"
                )

    def _check_place(self, agent: FakeAgent, task: FakeTask) -> None:
        """Check that the job allows the machine's type and zone, and spot machines."""
        spec = self._deployment.tasks.specs[task.job]
        is_wrong_type = (
            spec.machine_types is not None and agent.machine_type.name not in spec.machine_types
        )
        if is_wrong_type or (spec.zone is not None and agent.zone != spec.zone):
            self.violations.append(f"wrong_place: {task.job} on {agent.name}")
        if agent.spot and not spec.allows_spot:
            self.violations.append(f"wrong_place: {task.job} on spot {agent.name}")
        zones = self.zones_of(task.job)
        if spec.single_zone and len(set(zones)) > 1:
            self.violations.append(f"wrong_place: {task.job} in {set(zones)}")
        if spec.spread_zones and zones.count(agent.zone) > (spec.task_count + 1) // 2:
            self.violations.append(f"wrong_place: {task.job} has too many tasks in {agent.zone}")

    def zones_of(self, job: str) -> list[str]:
        """Return the zone of each live task of a job."""
        return [
            agent.zone
            for agent in self._deployment.tasks.agents_of(job)
            if not agent.is_released
            for _ in agent.tasks_of(job)
        ]

    def check(self) -> None:
        """Check the running tasks and the store's changes, now and at each interval."""
        deployment = self._deployment
        deployment.schedule(CHECK_INTERVAL_S, self.check)
        self._waiting_rule.check()
        self.violations += deployment.store.unsafe_changes
        deployment.store.unsafe_changes.clear()
        used_cpus: dict[str, float] = {}
        for agent in deployment.agents.values():
            if agent.is_released:
                continue
            for task in agent.live_tasks.values():
                spec = deployment.tasks.specs[task.job]
                used_cpus[spec.team] = used_cpus.get(spec.team, 0.0) + spec.cpus
                if self._is_overdue(self.cancel_confirmed_at.get(task.job)):
                    self.violations.append(f"ran_cancelled: {task.job} on {agent.name}")
                self._check_orphaned_task(agent, task)
        for team in deployment.cluster.teams:
            if used_cpus.get(team.name, 0.0) > team.cpu_limit + MAX_ROUNDING_ERROR_CPUS:
                self.violations.append(
                    f"quota: {team.name} uses {used_cpus[team.name]} cpus of {team.cpu_limit}"
                )

    def _check_orphaned_task(self, agent: FakeAgent, task: FakeTask) -> None:
        """Check that no task runs long after its job ended.

        The job has ended when a user was told that it is done or cancelled, or that one of its
        ancestors is cancelled.
        """
        ended_at = {job: self.cancel_confirmed_at.get(job) for job in self.ancestors(task.job)}
        ended_at[task.job] = self.final_since.get(task.job)
        for job, since in ended_at.items():
            if self._is_overdue(since):
                self.violations.append(
                    f"orphaned: {task.job}/{task.index} on {agent.name}, {job} has ended"
                )

    def unstarted_and_starved(self) -> list[str]:
        """Return the jobs that started too late, and the job classes and teams that starve.

        A class or team starves if less than half of its accepted jobs that are not cancelled are
        done.
        """
        tasks = self._deployment.tasks
        first_starts: dict[str, float] = {}
        for start in tasks.starts:
            first_starts.setdefault(start.job, start.at)
        late: list[str] = []
        completed: dict[str, list[bool]] = {}
        for job in self.accepted_at:
            if self.is_cancel_requested(job):
                continue
            spec = tasks.specs[job]
            for group in (f"class {spec.job_class}", f"team {spec.team}"):
                completed.setdefault(group, []).append(tasks.is_done(job))
            if (
                first_starts.get(job, self._deployment.now) - self._startable_since(job)
                > MAX_START_DELAY_S
            ):
                late.append(f"late: {job}")
        return late + [
            f"unserved: {group}" for group, done in completed.items() if 2 * sum(done) < len(done)
        ]
