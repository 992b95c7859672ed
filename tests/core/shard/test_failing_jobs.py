"""Bounded cost of jobs that always fail, and machines that fail every task."""

from __future__ import annotations

import pytest

from marblestair.core.domain.agents import TaskCommand
from tests.fakes.agent import FakeAgent
from tests.fakes.agent_tasks import FakeTask
from tests.fakes.samples import job_spec
from tests.helpers import leader_of, start_deployment


class AttemptRecorder:
    """Records the times at which agents receive a command to start a task of one job."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, job: str) -> None:
        self.times: list[float] = []
        start_task = FakeAgent.start_task

        def record(agent: FakeAgent, command: TaskCommand, previous: FakeTask | None) -> None:
            if command.job == job:
                self.times.append(agent.deployment.now)
            start_task(agent, command, previous)

        monkeypatch.setattr(FakeAgent, "start_task", record)

    def count_since(self, moment: float) -> int:
        """Return the number of attempts after a given time."""
        return sum(at > moment for at in self.times)


@pytest.mark.parametrize(("kind", "tasks", "max_attempts"), [("array", 20, 9), ("gang", 3, 15)])
def test_a_job_that_always_fails_costs_little_until_it_is_cancelled(
    monkeypatch: pytest.MonkeyPatch, kind: str, tasks: int, max_attempts: int
) -> None:
    """The failures of a job that fails on every machine must not count against the machines.

    Otherwise a healthy fleet is released and rented again.
    """
    deployment = start_deployment(430)
    users, agents = deployment.users, deployment.agents
    healthy = users.submit(job_spec(1, team="blue", task_count=8, estimated_run_s=200.0))
    deployment.run(15.0)
    rented_before = set(agents)
    attempts = AttemptRecorder(monkeypatch, "job-000002")
    failing = users.submit(
        job_spec(2, job_class="bad", kind=kind, task_count=tasks, estimated_run_s=10.0)
    )
    deployment.run(40.0)
    quarantined_at, rented_count = deployment.now, len(agents)
    deployment.run(60.0)
    # Each shard with a slice of the job makes a few attempts a minute, each of one task or of the
    # whole gang.
    assert 1 <= attempts.count_since(quarantined_at) <= max_attempts
    # No machines are rented for the job's pending tasks.
    assert len(agents) == rented_count
    assert not any(agents[name].is_released for name in rented_before)
    others = users.submit_many((3, 4), task_count=6, estimated_run_s=3.0)
    assert all(users.wait_until_done(job, 25.0) for job in others)
    assert users.state_of(failing) in ("queued", "running")
    assert users.cancel(failing) == "cancelled"
    cancelled_at = deployment.now
    deployment.run(30.0)
    assert attempts.count_since(cancelled_at) == 0
    assert users.state_of(healthy) == "running"
    assert not deployment.rules.violations


def test_a_new_leader_does_not_begin_a_failing_job_at_full_width(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    deployment = start_deployment(431)
    users = deployment.users
    healthy = users.submit(job_spec(1, team="blue", task_count=6, estimated_run_s=300.0))
    attempts = AttemptRecorder(monkeypatch, "job-000002")
    failing = users.submit(job_spec(2, job_class="bad", task_count=20, estimated_run_s=10.0))
    deployment.run(50.0)
    manager_shard = deployment.nodes.controller("n0").view.jobs[failing].manager_shard
    killed_at = deployment.now
    deployment.nodes.kill(leader_of(deployment, manager_shard), restart_after_s=40.0)
    deployment.run(30.0)
    assert attempts.count_since(killed_at) <= 12
    assert users.state_of(healthy) == "running"
    assert not deployment.rules.violations


def test_a_job_that_fails_everywhere_does_not_block_others() -> None:
    deployment = start_deployment(18)
    users = deployment.users
    failing = users.submit(job_spec(1, job_class="bad", task_count=4))
    healthy = users.submit(job_spec(2, task_count=4))
    assert users.wait_until_done(healthy, 120.0)
    assert users.cancel(failing) == "cancelled"
    assert not deployment.rules.violations


def test_a_faulty_machine_delays_no_healthy_job_and_none_is_quarantined() -> None:
    deployment = start_deployment(432)
    users = deployment.users
    first = users.submit(job_spec(1, task_count=12, estimated_run_s=4.0))
    assert users.wait_until_done(first, 60.0)
    # A long job occupies the fleet.
    users.submit(job_spec(2, team="blue", task_count=8, estimated_run_s=300.0))
    deployment.run(15.0)
    deployment.serving_agents[0].fails_tasks = True
    jobs = users.submit_many((3, 4, 5, 6), task_count=12, estimated_run_s=4.0)
    assert all(users.wait_until_done(job, 60.0) for job in jobs)
    assert not any(
        item.scheduling_services.failures.quarantined_jobs() for item in deployment.nodes.running
    )
    assert len(deployment.nodes.running) == 3
    assert not deployment.rules.violations


def test_no_machines_are_rented_on_for_a_job_that_always_fails() -> None:
    deployment = start_deployment(434, teams=[{"name": "red", "cpus": 8.0, "cpus_max": 0.0}])
    deployment.users.submit(job_spec(1, job_class="bad", task_count=400, estimated_run_s=20.0))
    deployment.run(40.0)
    assert len(deployment.agents) > 8
    deployment.run(140.0)
    assert sum(not agent.is_released for agent in deployment.agents.values()) <= 6
    assert not deployment.rules.violations
