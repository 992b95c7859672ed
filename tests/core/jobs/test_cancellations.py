"""Cancels that race failovers and launches."""

from __future__ import annotations

from tests.fakes.network import STORE
from tests.fakes.samples import job_spec
from tests.helpers import start_deployment


def test_cancels_that_race_launches_and_a_failover() -> None:
    deployment = start_deployment(7)
    users = deployment.users
    *cancelled, other = users.submit_many(range(1, 4), task_count=12, estimated_run_s=20.0)
    deployment.run(6.0)
    deployment.nodes.kill("n0", restart_after_s=6.0)
    assert [users.cancel(job) for job in cancelled] == ["cancelled", "cancelled"]
    deployment.run(60.0)
    assert [users.state_of(job) for job in cancelled] == ["cancelled", "cancelled"]
    assert not [
        task
        for agent in deployment.agents.values()
        if not agent.is_released
        for job in cancelled
        for task in agent.tasks_of(job)
    ]
    assert users.wait_until_done(other, 200.0)
    assert not deployment.rules.violations


def test_a_cancel_by_the_record_waits_for_a_leader_that_may_still_lead() -> None:
    deployment = start_deployment(72)
    controller = deployment.nodes.controller("n0")
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=120.0), "n0")
    deployment.run(14.0)
    # n0 still responds to its agents while its lease lasts, and cannot see the entry.
    deployment.network.isolate("n0", STORE, "n1", "n2")
    is_confirmed = False
    cancels = []
    while not is_confirmed:
        assert len(cancels) < 200
        cancels.append(deployment.users.request("n1", "cancel", job))
        deployment.run(0.25)
        is_confirmed = any(replies and replies[0].status == 200 for replies in cancels)
    assert not controller.leadership.led_shards()
    deployment.network.heal()
    deployment.run(deployment.cancel_s + 2.0)
    assert not deployment.rules.violations
