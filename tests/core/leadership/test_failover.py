"""Failover: leaders that end, restart or are cut off, and what arrives late from them."""

from __future__ import annotations

import pytest

from tests.fakes.network import STORE
from tests.helpers import agent_incarnations, leader_of, leaders, start_deployment


def test_failover_of_a_killed_leader_runs_no_task_twice() -> None:
    deployment = start_deployment(2)
    jobs = deployment.users.submit_many(range(1, 4), task_count=9, estimated_run_s=12.0)
    deployment.run(12.0)
    assert deployment.tasks.starts
    deployment.nodes.kill("n1", restart_after_s=8.0)
    assert all(deployment.users.wait_until_done(job, 200.0) for job in jobs)
    assert not deployment.rules.violations
    deployment.run(30.0)
    # Shards went back to the node that returned.
    assert sorted(leaders(deployment)) == ["n0", "n1", "n2"]


def test_no_job_is_forgotten_when_all_controllers_are_killed() -> None:
    deployment = start_deployment(3)
    jobs = deployment.users.submit_many(range(1, 5), task_count=5, estimated_run_s=10.0)
    deployment.run(9.0)
    deployment.nodes.kill_all(restart_after_s=5.0)
    deployment.run(6.0)
    assert all(deployment.users.wait_until_done(job, 200.0) for job in jobs)
    assert all(deployment.users.state_of(job) == "done" for job in jobs)
    assert not deployment.rules.violations


def test_controllers_restart_within_a_fraction_of_a_second() -> None:
    deployment = start_deployment(4)
    jobs = deployment.users.submit_many(range(1, 4), task_count=8, estimated_run_s=10.0)
    deployment.run(9.0)
    assert deployment.tasks.starts
    for name in deployment.nodes.names:
        deployment.nodes.kill(name, restart_after_s=0.2)
        deployment.run(1.5)
    assert all(deployment.users.wait_until_done(job, 200.0) for job in jobs)
    assert not deployment.rules.violations
    # Running tasks went on: no agent lost its lease.
    assert agent_incarnations(deployment) == {1}


def test_late_heartbeats_and_commands_of_an_earlier_leader_change_nothing() -> None:
    deployment = start_deployment(5)
    jobs = deployment.users.submit_many(range(1, 4), task_count=9, estimated_run_s=15.0)
    deployment.run(10.0)
    # All that goes to and from n0 is delayed, while another node takes its shard.
    deployment.network.isolate("n0", delay=True)
    deployment.run(20.0)
    deployment.network.heal()
    assert all(deployment.users.wait_until_done(job, 300.0) for job in jobs)
    assert not deployment.rules.violations


def test_a_leader_cut_from_store_and_peers_stops_leading() -> None:
    deployment = start_deployment(6)
    jobs = deployment.users.submit_many(range(1, 4), task_count=9, estimated_run_s=15.0)
    deployment.run(8.0)
    # n2 still reaches its agents, but its authority must end.
    deployment.network.isolate("n2", STORE, "n0", "n1")
    deployment.run(9.0)
    assert deployment.nodes.controller("n2").leadership.led_shards() == []
    assert leader_of(deployment, 2) != "n2"
    deployment.network.heal()
    assert all(deployment.users.wait_until_done(job, 300.0) for job in jobs)
    assert not deployment.rules.violations


@pytest.mark.parametrize("seed", range(80, 83))
def test_controllers_restart_at_once_amid_failovers_with_late_messages(seed: int) -> None:
    deployment = start_deployment(seed)
    rng = deployment.rng
    deployment.store_link.late_commit_ratio = 0.1
    deployment.store_link.lost_response_ratio = 0.05
    deployment.agent_link.duplicate_ratio = 0.2
    jobs = deployment.users.submit_many(range(1, 5), task_count=9, estimated_run_s=10.0)
    for round_number in range(10):
        deployment.network.heal()
        deployment.network.isolate(deployment.nodes.names[round_number % 3], delay=True)
        deployment.run(rng.uniform(0.5, 5.0))
        # The one that would take over ends in the middle of it, and so does the isolated one.
        for name in deployment.nodes.names:
            if rng.random() < 0.6:
                deployment.nodes.kill(name, restart_after_s=rng.uniform(0.05, 0.4))
        deployment.run(rng.uniform(0.1, 1.5))
        assert not deployment.rules.violations
    deployment.network.heal()
    deployment.store_link.end_failures()
    deployment.agent_link.duplicate_ratio = 0.0
    assert not deployment.users.unanswered_jobs()
    assert all(deployment.users.wait_until_done(job, 300.0) for job in jobs)
    assert not deployment.rules.violations
