"""Controllers that lose their peers, their agents or the store."""

from __future__ import annotations

import pytest

from marblestair.core.runtime.outbox import UserReply
from marblestair.core.state import keys
from tests.fakes.network import STORE, USERS
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import isolate_controllers, leader_of, leaders, start_deployment

#: one team that may use a whole fleet
ONE_TEAM = [{"name": "red", "cpus": 40.0, "cpus_max": 80.0}]


def test_a_leader_cut_from_all_but_the_store_transfers_its_shard() -> None:
    deployment = start_deployment(36)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(12.0)
    deployment.network.isolate("n0", "n1", "n2", USERS, *deployment.agents)
    deployment.run(9.0)
    assert leader_of(deployment, 0) != "n0"
    assert not deployment.nodes.controller("n0").leadership.led_shards()
    deployment.network.heal()
    assert deployment.users.wait_until_done(job, 300.0)
    # No agent's lease ran out: nothing was started twice, not even one after the other.
    assert len(deployment.tasks.starts) == 12
    assert leader_of(deployment, 0) == "n0"
    assert not deployment.rules.violations


def test_shards_stay_with_their_leaders_when_no_agent_responds() -> None:
    """Found in an incident: with all agents unresponsive, nodes passed shards around in vain."""
    deployment = start_deployment(37)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(12.0)
    for agent in deployment.agents.values():
        agent.is_unresponsive = True
    deployment.run(8.0)
    assert leaders(deployment) == ["n0", "n1", "n2"]
    assert deployment.store.value(keys.SHARD_MAP)[0] == 3
    for agent in deployment.agents.values():
        agent.is_unresponsive = False
    assert deployment.users.wait_until_done(job, 300.0)
    assert not deployment.rules.violations


def cancel_at(deployment: SimulatedDeployment, node: str, job: str) -> UserReply:
    """Cancel a job at one node, with retries for 30 s; the reply that has a state."""
    replies: list[UserReply] = []
    begun = deployment.now
    while not (replies and replies[0].status == 200):
        replies = deployment.users.request(node, "cancel", job)
        deployment.run_until(lambda replies=replies: bool(replies), 5.0)
        deployment.run(1.0)
        assert deployment.now - begun < 30.0
    return replies[0]


def test_controllers_that_cannot_reach_each_other_serve_by_the_store() -> None:
    deployment = start_deployment(70)
    nodes, users = deployment.nodes, deployment.users
    before = users.submit_many(range(1, 4), task_count=9, estimated_run_s=8.0)
    deployment.run(10.0)
    isolate_controllers(deployment)
    deployment.run(4.0)
    after = [
        users.submit(job_spec(10 + index, task_count=6, estimated_run_s=5.0), name)
        for index, name in enumerate(nodes.names)
    ]
    # Every node answers for every job, and a job whose slices are in several shards is done.
    for job in before + after:
        assert all(users.state_of(job, name) for name in nodes.names)
    assert all(users.wait_until_done(job, 60.0) for job in before + after)
    long_jobs = [
        users.submit(job_spec(20 + index, task_count=6, estimated_run_s=300.0), "n0")
        for index in range(3)
    ]
    deployment.run(8.0)
    for job, name in zip(long_jobs, nodes.names, strict=True):
        assert cancel_at(deployment, name, job).state == "cancelled"
    deployment.run(deployment.cancel_s + 2.0)
    assert not deployment.rules.violations
    deployment.network.heal()
    assert not users.unanswered_jobs()
    assert not deployment.rules.violations


def test_a_controller_that_reaches_only_its_agents_fails_over() -> None:
    deployment = start_deployment(71)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=40.0))
    deployment.run(12.0)
    controller = deployment.nodes.controller("n1")
    assert controller.is_healthy()
    deployment.network.isolate("n1", STORE, "n0", "n2")
    deployment.run(8.0)
    assert leader_of(deployment, 1) != "n1"
    assert not controller.leadership.led_shards()
    assert not controller.is_healthy()
    # Agents and users are refused at once: no 200, no leader named, nothing delayed.
    agent = deployment.busy_agents[0]
    deployment.nodes.set_time(controller)
    response = controller.receive_heartbeat(agent.next_heartbeat())
    assert response.status in (421, 503)
    assert not response.commands
    begun = deployment.now
    for kind, argument in (("submit", job_spec(2)), ("query", job), ("cancel", job)):
        [reply] = deployment.users.request("n1", kind, argument)
        assert reply.status == 503
        assert reply.retry_after_s
        assert deployment.now == begun
    deployment.network.heal()
    assert deployment.users.wait_until_done(job, 200.0)
    deployment.run(15.0)
    assert controller.is_healthy()
    assert controller.leadership.led_shards()
    assert deployment.users.state_of(job, "n1") == "done"
    assert not deployment.rules.violations


def shards_led_by(deployment: SimulatedDeployment, node: str) -> list[int]:
    """The shards that the latest shard map known to any controller gives to a node."""
    views = [controller.view.shard_map for controller in deployment.nodes.running]
    latest = max((view for view in views if view is not None), key=lambda view: view.last_term)
    return [index for index, shard in enumerate(latest.shards) if shard.leader == node]


def a_leader(deployment: SimulatedDeployment) -> str:
    """The first node that leads a shard."""
    return next(name for name in deployment.nodes.names if shards_led_by(deployment, name))


@pytest.mark.parametrize("seed", [440, 441, 442])
def test_no_shard_goes_to_a_controller_that_has_lost_its_agents(seed: int) -> None:
    """Found on a simulated day: the shard was transferred, and another came back at once.

    Its agents' leases ran out, since a new leader that receives no heartbeat did not notice.
    """
    deployment = start_deployment(seed, teams=ONE_TEAM)
    jobs = deployment.users.submit_many((1, 2), task_count=10, cpus=4.0, estimated_run_s=120.0)
    deployment.run(15.0)
    before = {
        name: agent.incarnation
        for name, agent in deployment.agents.items()
        if agent.live_tasks and not agent.is_released
    }
    assert before
    node = a_leader(deployment)
    deployment.network.isolate(node, *deployment.agents)
    deployment.run(8.0)
    assert shards_led_by(deployment, node) == []
    for _ in range(27):
        deployment.run(1.0)
        assert shards_led_by(deployment, node) == []
    # No agent lost its lease.
    assert {name: deployment.agents[name].incarnation for name in before} == before
    deployment.network.heal()
    deployment.run(60.0)
    assert shards_led_by(deployment, node) != []
    assert all(deployment.users.wait_until_done(job, 200.0) for job in jobs)
    assert not deployment.rules.violations


def test_a_controller_that_leads_no_shard_accepts_jobs_for_the_others() -> None:
    """Found on the same day: it refused every submission for as long as it led no shard."""
    deployment = start_deployment(443, teams=ONE_TEAM)
    long_job = deployment.users.submit(job_spec(1, task_count=10, cpus=4.0, estimated_run_s=60.0))
    deployment.run(15.0)
    node = a_leader(deployment)
    deployment.network.isolate(node, *deployment.agents)
    assert deployment.run_until(lambda: shards_led_by(deployment, node) == [], 10.0)
    specs = [job_spec(number, task_count=2, estimated_run_s=3.0) for number in range(2, 8)]
    for spec in specs:
        replies = deployment.users.request(node, "submit", spec)
        deployment.run(0.3)
        assert replies
        assert replies[0].status == 201
        assert deployment.users.state_of(spec.id, node) in ("queued", "running")
    assert all(deployment.users.wait_until_done(spec.id, 60.0) for spec in specs)
    assert deployment.users.wait_until_done(long_job, 200.0)
    assert not deployment.rules.violations
