"""Promises: leaders go on through an outage of the store while all controllers agree."""

from __future__ import annotations

from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import agent_incarnations, all_controllers_lead, leader_of, start_deployment


def test_an_outage_longer_than_a_lease_loses_no_task_while_controllers_reach_each_other() -> None:
    deployment = start_deployment(30)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(14.0)
    deployment.store.start_outage()
    deployment.run(35.0)
    assert all_controllers_lead(deployment)
    deployment.store.end_outage()
    assert deployment.users.wait_until_done(job, 200.0)
    assert agent_incarnations(deployment) == {1}
    assert len(deployment.tasks.starts) == 12
    assert not deployment.rules.violations


def test_a_leader_that_the_store_refuses_alone_gets_no_promise_and_fails_over() -> None:
    deployment = start_deployment(31)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(10.0)
    deployment.store.refused_nodes.add("n1")
    deployment.run(8.0)
    assert not deployment.nodes.controller("n1").leadership.led_shards()
    assert leader_of(deployment, 1) != "n1"
    deployment.store.refused_nodes.clear()
    assert deployment.users.wait_until_done(job, 300.0)
    assert agent_incarnations(deployment) == {1}
    assert not deployment.rules.violations


def run_into_an_outage_with_a_peer_missing(*, is_isolated: bool) -> None:
    """Isolate or restart one of three controllers in an outage: none gets all promises."""
    deployment = start_deployment(32)
    job = deployment.users.submit(job_spec(1, task_count=6, estimated_run_s=30.0))
    deployment.run(10.0)
    deployment.store.start_outage()
    if is_isolated:
        deployment.network.isolate("n2", "n0", "n1")
    else:
        deployment.nodes.kill("n2", restart_after_s=0.5)
    deployment.run(9.0)
    assert len(deployment.nodes.running) == 3
    assert not any(item.leadership.led_shards() for item in deployment.nodes.running)
    deployment.network.heal()
    deployment.store.end_outage()
    assert deployment.users.wait_until_done(job, 300.0)
    assert not deployment.rules.violations


def test_no_promises_when_a_peer_is_isolated_or_restarted_in_the_outage() -> None:
    run_into_an_outage_with_a_peer_missing(is_isolated=True)
    run_into_an_outage_with_a_peer_missing(is_isolated=False)


def have_all_promises(deployment: SimulatedDeployment) -> bool:
    """Whether every controller runs and has valid promises of all others."""
    controllers = deployment.nodes.controllers.values()
    return all(
        controller is not None
        and controller.leadership_services.promise_ledger.are_valid(controller.context.now)
        for controller in controllers
    )


def test_a_promise_holds_after_the_outage_and_for_a_controller_that_restarts() -> None:
    deployment = start_deployment(33)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=40.0))
    deployment.run(10.0)
    deployment.store.start_outage()
    assert deployment.run_until(lambda: have_all_promises(deployment), 10.0)
    # n0 goes on under its promises; the others reach the store again, and one of them restarts.
    # Nobody may take n0's shard while n0 may lead it.
    deployment.store.refused_nodes.add("n0")
    deployment.store.end_outage()
    deployment.nodes.kill("n1", restart_after_s=0.2)
    for _ in range(60):
        deployment.run(0.2)
        controller = deployment.nodes.controller("n0")
        if leader_of(deployment, 0) != "n0":
            assert not controller.leadership.is_leader(0)
    assert leader_of(deployment, 0) != "n0"
    deployment.store.refused_nodes.clear()
    assert deployment.users.wait_until_done(job, 300.0)
    assert not deployment.rules.violations
