"""Late duplicates of heartbeats change nothing."""

from __future__ import annotations

import msgspec
import pytest

from marblestair.core.domain.agents import ExitReason, TaskState, TaskStatus
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.helpers import shard_with_machine, start_deployment


@pytest.mark.parametrize("seed", range(60, 64))
def test_late_duplicates_of_heartbeats_change_nothing(seed: int) -> None:
    deployment = start_deployment(seed)
    rng, nodes = deployment.rng, deployment.nodes
    deployment.agent_link.duplicate_ratio = 0.6
    jobs = []
    for number in range(1, 7):
        spec = job_spec(number, task_count=9, estimated_run_s=rng.uniform(3.0, 20.0))
        jobs.append(deployment.users.submit(spec))
        deployment.run(rng.uniform(2.0, 8.0))
        if number in (2, 4):
            nodes.kill(rng.choice(nodes.names), restart_after_s=rng.choice([0.1, 6.0]))
        if number == 3:
            # An agent that goes on as a new incarnation.
            for agent in deployment.busy_agents[:1]:
                agent.hang(1.4 * deployment.lease_s)
    assert all(deployment.users.wait_until_done(job, 300.0) for job in jobs)
    assert not deployment.rules.violations


def test_a_late_duplicate_of_a_released_machine_revives_nothing() -> None:
    deployment = start_deployment(65)
    job = deployment.users.submit(job_spec(1, task_count=6, estimated_run_s=3.0))
    assert deployment.users.wait_until_done(job, 60.0)
    agents = deployment.agents
    heartbeats = [agent.next_heartbeat() for agent in agents.values() if agent.is_up]
    assert deployment.run_until(lambda: all(agent.is_released for agent in agents.values()), 200.0)
    # The duplicates come at processes that know nothing of what was before.
    deployment.nodes.kill_all(restart_after_s=0.2)
    deployment.run(6.0)
    for name in deployment.nodes.names:
        for heartbeat in heartbeats:
            deployment.agent_link.deliver_duplicate(name, heartbeat)
            deployment.run(0.3)
    deployment.run(5.0)
    assert not deployment.store.keys_with_prefix(keys.MACHINES)
    assert not deployment.rules.violations


def test_a_late_duplicate_reconciles_no_task_after_a_failover() -> None:
    deployment = start_deployment(66)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(15.0)
    # Heartbeats from before the launches: they list nothing.
    heartbeats = [
        msgspec.structs.replace(agent.next_heartbeat(), sequence=1, fencing_token=0, tasks=[])
        for agent in deployment.busy_agents
    ]
    assert heartbeats
    deployment.network.isolate("n0")
    for _ in range(240):
        # Again and again, so that some come right after the failover, ahead of real heartbeats.
        for heartbeat in heartbeats:
            for name in deployment.nodes.names:
                deployment.agent_link.deliver_duplicate(name, heartbeat)
        deployment.run(0.05)
    deployment.network.heal()
    assert deployment.users.wait_until_done(job, 300.0)
    assert not deployment.rules.violations


def test_an_old_duplicate_neither_withdraws_nor_brings_a_reclaim_notice() -> None:
    deployment = start_deployment(67)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(14.0)
    agent = deployment.busy_agents[0]
    old = agent.next_heartbeat()
    deployment.run(1.0)
    controller, shard = shard_with_machine(deployment, agent.name)
    node, machine = controller.context.node, shard.machines[agent.name]
    last_heartbeat_at = machine.last_heartbeat_at
    deployment.agent_link.deliver_duplicate(node, old)
    deployment.nodes.set_time(controller)
    done = TaskStatus(job, 0, 1, TaskState.EXITED, ExitReason.DONE)
    with_notice = msgspec.structs.replace(old, reclaim_in_s=1.0, tasks=[done])
    deployment.agent_link.deliver_duplicate(node, with_notice)
    assert machine.reclaim_at is None
    assert machine.last_heartbeat_at >= last_heartbeat_at
    assert len(machine.tasks) == len(agent.live_tasks)
    assert not shard.slices[job].done_bits
    assert not deployment.rules.violations


def test_a_duplicate_from_an_earlier_incarnation_brings_no_task_back() -> None:
    deployment = start_deployment(68)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=90.0))
    deployment.run(14.0)
    agent = deployment.busy_agents[0]
    controller, shard = shard_with_machine(deployment, agent.name)
    agent.is_unresponsive = True
    # Its last heartbeat was lost on the way; a duplicate comes when its lease is long over.
    lost = agent.next_heartbeat()
    assert lost.tasks
    deployment.cloud.capacity = 0
    machine = shard.machines[agent.name]
    assert deployment.run_until(lambda: machine.is_lease_expired, 2 * deployment.lease_s)
    placed_on = dict(shard.slices[job].placed_on)
    deployment.agent_link.deliver_duplicate(controller.context.node, lost)
    machine = shard.machines[agent.name]
    assert not machine.tasks
    assert machine.is_lease_expired
    assert shard.slices[job].placed_on == placed_on
    assert not deployment.rules.violations
