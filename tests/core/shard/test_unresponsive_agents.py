"""Agents that hang, fail every task, or are cut off in one direction."""

from __future__ import annotations

from typing import Any

from marblestair.core.domain.agents import CommandVerb, TaskCommand
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from tests.fakes.samples import job_spec
from tests.helpers import leader_of_machine, start_deployment


def test_work_goes_around_machines_that_hang_or_fail_tasks() -> None:
    deployment = start_deployment(17)
    users = deployment.users
    jobs = users.submit_many(range(1, 4), task_count=8, estimated_run_s=6.0)
    deployment.run(10.0)
    hung, failing = deployment.serving_agents[:2]
    hung.is_unresponsive = True
    failing.fails_tasks = True
    assert all(users.wait_until_done(job, 300.0) for job in jobs)
    deployment.run(20.0)
    assert hung.is_released
    assert not deployment.rules.violations


def test_an_inbound_partitioned_machine_loses_its_work_and_gets_no_more() -> None:
    deployment = start_deployment(50)
    users, tasks = deployment.users, deployment.tasks
    first = users.submit(job_spec(1, task_count=12, estimated_run_s=30.0))
    deployment.run(14.0)
    agent = deployment.busy_agents[0]
    lost = set(agent.live_tasks)
    agent.inbound_partitioned, since = True, deployment.now
    deployment.run(2.5 * deployment.lease_s)
    # Its lease expired, and what it ran has begun elsewhere.
    restarted = {
        (start.job, start.task_index)
        for start in tasks.starts
        if start.at > since and start.machine != agent.name
    }
    assert lost <= restarted
    jobs = users.submit_many(range(2, 6), task_count=8, estimated_run_s=4.0)
    assert all(users.wait_until_done(job, 60.0) for job in [first, *jobs])
    # It was returned rather than paid for.
    deployment.run(3 * deployment.lease_s)
    assert agent.is_released
    assert not deployment.rules.violations


def test_a_new_machine_that_never_receives_a_response_delays_nothing() -> None:
    deployment = start_deployment(51, teams=[{"name": "red", "cpus": 24.0, "cpus_max": 24.0}])
    job = deployment.users.submit(job_spec(1, task_count=16, estimated_run_s=6.0))
    deployment.run(1.0)
    assert deployment.run_until(lambda: len(deployment.agents) >= 2, 10.0)
    agent = next(iter(deployment.agents.values()))
    agent.inbound_partitioned = True
    assert deployment.users.wait_until_done(job, 70.0)
    assert agent.name not in deployment.tasks.machines_of(job)
    assert not deployment.rules.violations


def test_a_cancel_reaches_inbound_partitioned_machines_in_time() -> None:
    deployment = start_deployment(52)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=200.0))
    deployment.run(14.0)
    for agent in deployment.busy_agents:
        agent.inbound_partitioned = True
    assert deployment.users.cancel(job) == "cancelled"
    deployment.run(deployment.cancel_s + 2.0)
    assert not any(
        agent.live_tasks for agent in deployment.agents.values() if not agent.is_released
    )
    assert not deployment.rules.violations


def test_a_failover_waits_for_an_inbound_partitioned_machines_lease_and_no_longer() -> None:
    deployment = start_deployment(53, 2)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=4.0))
    assert deployment.run_until(lambda: len(deployment.tasks.starts) >= 4, 20.0)
    agent = deployment.busy_agents[0]
    agent.inbound_partitioned = True
    deployment.nodes.kill(leader_of_machine(deployment, agent.name), restart_after_s=90.0)
    # What it ran until then is not started elsewhere before its lease must have expired, and the
    # shard goes on after that, though the agent goes on sending heartbeats.
    assert deployment.users.wait_until_done(job, 45.0)
    assert not deployment.rules.violations


def test_an_inbound_partitioned_machine_is_not_sent_launches_on_and_on() -> None:
    deployment = start_deployment(54, 1)
    users = deployment.users
    jobs = users.submit_many((1, 2), task_count=8, estimated_run_s=10.0)
    assert deployment.run_until(lambda: len(deployment.busy_agents) >= 2, 30.0)
    agent = deployment.busy_agents[0]
    agent.inbound_partitioned = True
    deployment.run(deployment.lease_s + 8.0)
    controller = deployment.nodes.controller("n0")
    launches: list[TaskCommand] = []
    receive_heartbeat = controller.receive_heartbeat

    def record_launches(heartbeat: Any) -> HeartbeatResponse:
        response = receive_heartbeat(heartbeat)
        if heartbeat.machine == agent.name:
            launches.extend(
                command for command in response.commands if command.verb == CommandVerb.START
            )
        return response

    controller.receive_heartbeat = record_launches  # type: ignore[method-assign]
    deployment.cloud.capacity = sum(not item.is_released for item in deployment.agents.values())
    jobs += users.submit_many((3, 4), task_count=30, estimated_run_s=5.0)
    deployment.run(2 * deployment.lease_s)
    assert not launches
    # It was returned, though its heartbeats arrived all the while and work waits.
    assert agent.is_released
    assert all(users.wait_until_done(job, 200.0) for job in jobs)
    assert not deployment.rules.violations


def test_machines_that_were_all_partitioned_serve_again_once_responses_arrive() -> None:
    deployment = start_deployment(4200, 1)
    users = deployment.users
    deployment.cloud.capacity = 3
    users.submit(job_spec(1, task_count=36, estimated_run_s=8.0))
    assert deployment.run_until(lambda: len(deployment.busy_agents) == 3, 60.0)
    agents = deployment.busy_agents
    for agent in agents:
        agent.inbound_partitioned = True
    # What is launched now is not received, and shows in no heartbeat.
    job = users.submit(job_spec(2, task_count=24, estimated_run_s=4.0))
    machines = deployment.nodes.current("n0").leadership.shards[0].machines
    assert deployment.run_until(
        lambda: all(machine.responsiveness.ignored_commands >= 2 for machine in machines.values()),
        60.0,
    )
    for agent in agents:
        agent.inbound_partitioned = False
    deployment.rules.failures_ended_at = deployment.now
    assert users.wait_until_done(job, 80.0)
    assert not deployment.rules.violations
