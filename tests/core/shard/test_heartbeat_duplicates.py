"""Late duplicates of heartbeats have no effect."""

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
            # The agent's lease expires, and it continues as a new incarnation.
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
    # The duplicates reach restarted controllers, which know of no earlier heartbeats.
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
    # Heartbeats as sent before the launches, with an old fencing token and no tasks.
    heartbeats = [
        msgspec.structs.replace(agent.next_heartbeat(), sequence=1, fencing_token=0, tasks=[])
        for agent in deployment.busy_agents
    ]
    assert heartbeats
    deployment.network.isolate("n0")
    for _ in range(240):
        # Repeated, so that some arrive right after the failover, before any current heartbeat.
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
    old_heartbeat = agent.next_heartbeat()
    deployment.run(1.0)
    controller, shard = shard_with_machine(deployment, agent.name)
    node, machine = controller.context.node, shard.machines[agent.name]
    last_heartbeat_at = machine.last_heartbeat_at
    deployment.agent_link.deliver_duplicate(node, old_heartbeat)
    deployment.nodes.set_time(controller)
    done = TaskStatus(job, 0, 1, TaskState.EXITED, ExitReason.DONE)
    with_notice = msgspec.structs.replace(old_heartbeat, reclaim_in_s=1.0, tasks=[done])
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
    # The agent's last heartbeat is lost; a duplicate of it arrives after the lease has expired.
    lost_heartbeat = agent.next_heartbeat()
    assert lost_heartbeat.tasks
    deployment.cloud.capacity = 0
    machine = shard.machines[agent.name]
    assert deployment.run_until(lambda: machine.is_lease_expired, 2 * deployment.lease_s)
    placed_on = dict(shard.slices[job].placed_on)
    deployment.agent_link.deliver_duplicate(controller.context.node, lost_heartbeat)
    machine = shard.machines[agent.name]
    assert not machine.tasks
    assert machine.is_lease_expired
    assert shard.slices[job].placed_on == placed_on
    assert not deployment.rules.violations


def test_a_duplicate_from_before_a_restart_of_its_machine_ends_no_task() -> None:
    """Guards against a task that runs twice after a machine and a controller returned at once.

    The restarted machine counts its heartbeats anew, and the new leader knows none of the earlier
    ones. A late duplicate from before the restart has the higher sequence number, and does not
    list what the machine runs now.
    """
    deployment = start_deployment(69)
    job = deployment.users.submit(job_spec(1, task_count=6, estimated_run_s=90.0))
    deployment.run(20.0)
    agent = deployment.busy_agents[0]
    old_heartbeat = msgspec.structs.replace(agent.next_heartbeat(), tasks=[])
    agent.reboot()
    deployment.nodes.kill_all(restart_after_s=0.5)
    assert deployment.run_until(lambda: bool(agent.live_tasks), 60.0)
    deployment.run(3.0)
    controller, shard = shard_with_machine(deployment, agent.name)
    machine = shard.machines[agent.name]
    assert machine.sequence < old_heartbeat.sequence
    placed = set(machine.tasks)
    deployment.agent_link.deliver_duplicate(controller.context.node, old_heartbeat)
    assert set(machine.tasks) == placed
    assert deployment.users.wait_until_done(job, 400.0)
    assert not deployment.rules.violations
