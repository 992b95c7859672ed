"""Gangs: quota and machines from all shards, reserved machines, and members that fail."""

from __future__ import annotations

import random

import pytest

from marblestair.core.shard.machine import CordonReason
from marblestair.core.state import keys
from tests.fakes.agent import FakeAgent
from tests.fakes.samples import job_spec, wait_objective
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import led_shards, start_deployment
from tests.scenarios.fleets import medium_fleet, whole_machine_gang


def test_a_gang_larger_than_a_shards_quota_gets_that_of_the_others() -> None:
    deployment = start_deployment(9)
    # The gang needs the team's whole limit of 12 CPUs, of which each shard has a third.
    gang = deployment.users.submit(
        job_spec(1, kind="gang", team="blue", task_count=12, estimated_run_s=5.0)
    )
    assert deployment.users.wait_until_done(gang, 120.0)
    started_at = [start.at for start in deployment.tasks.starts]
    assert len(started_at) == 12
    assert max(started_at) - min(started_at) < 3.0
    assert not deployment.rules.violations


def test_whole_machine_gangs_collect_machines_from_all_shards_of_a_full_fleet() -> None:
    deployment = medium_fleet(8, 3, 9, 300.0)
    users, tasks = deployment.users, deployment.tasks
    arrays = users.submit_many(
        range(1, 7), task_count=60, estimated_run_s=12.0, mem_gb=0.5, team="red"
    )
    deployment.run(15.0)
    submitted_at = deployment.now
    gangs = [
        users.submit(whole_machine_gang(number, team="blue", task_count=3, estimated_run_s=10.0))
        for number in (20, 21)
    ]
    assert deployment.run_until(
        lambda: sum(len(tasks.starts_of(gang)) for gang in gangs) == 6, 120.0
    )
    first_starts = []
    for gang in gangs:
        started_at = [start.at for start in tasks.starts_of(gang)]
        assert len(started_at) == 3
        assert max(started_at) - min(started_at) < 3.0
        assert max(started_at) - submitted_at < 120.0
        first_starts.append(min(started_at))
    # The older gang starts first: the gangs do not each reserve half of the machines they need.
    assert first_starts[0] <= first_starts[1]
    assert all(users.wait_until_done(job, 300.0) for job in arrays + gangs)
    assert not deployment.rules.violations


def test_machines_on_their_way_to_a_gang_are_not_rented_once_more() -> None:
    """Machines that are being transferred to a gang's shard still count as capacity.

    Otherwise the fleet plan rents a second set of machines for the gang.
    """
    deployment = medium_fleet(12, 3, 40, 300.0)
    gang = deployment.users.submit(whole_machine_gang(1, task_count=4, estimated_run_s=30.0))
    deployment.run(12.0)
    controller, shard = next(pair for pair in led_shards(deployment) if pair[1].machines)
    summarize = controller.scheduling_services.summarizer.summarize
    machine = next(iter(shard.machines.values()))
    machine.cordon = CordonReason.TRANSFER
    summary = summarize(shard)
    assert machine.name not in summary.unavailable_machines
    assert machine.name not in [name for name, _ in summary.idle_machines]
    machine.cordon = CordonReason.RELEASE
    assert machine.name in summarize(shard).unavailable_machines
    machine.cordon = None
    assert deployment.users.wait_until_done(gang, 90.0)
    rented_types = [agent.machine_type.name for agent in deployment.agents.values()]
    assert rented_types.count("m32") == 4
    assert not deployment.rules.violations


def test_a_gang_of_a_team_at_its_limit_gets_quota_and_a_machine() -> None:
    """A gang larger than its shard's quota starts although arrays use its team's whole limit.

    Such a gang waited for 450 s: no machine was planned for it since the team was at its limit, and
    quota that became free in its shard was transferred to shards where arrays had free capacity.
    """
    deployment = start_deployment(13)
    users, tasks = deployment.users, deployment.tasks
    arrays = users.submit_many((1, 2), team="blue", task_count=150, estimated_run_s=4.0)
    assert deployment.run_until(lambda: len(tasks.starts) >= 30, 60.0)
    gang = users.submit(
        job_spec(
            3,
            kind="gang",
            team="blue",
            task_count=1,
            cpus=6.0,
            estimated_run_s=5.0,
            priority="high",
        )
    )
    assert deployment.run_until(lambda: tasks.has_started(gang), 40.0)
    assert all(users.wait_until_done(job, 500.0) for job in (*arrays, gang))
    shards = deployment.store.value(keys.SHARD_MAP)[1]
    assert sum(quotas["blue"][0] for _, _, _, quotas, *_ in shards) == 12_000_000
    assert not deployment.rules.violations


def test_a_machine_reserved_for_one_gang_is_no_free_capacity_for_another() -> None:
    deployment = medium_fleet(14, 3, 9, 300.0)
    users = deployment.users
    first = users.submit(whole_machine_gang(1, task_count=1, estimated_run_s=4.0))
    assert users.wait_until_done(first, 60.0)
    older = users.submit(job_spec(2, task_count=8, estimated_run_s=60.0))
    deployment.run(12.0)
    controller, shard, machine = next(
        (controller, shard, machine)
        for controller, shard in led_shards(deployment)
        for machine in shard.machines.values()
        if machine.is_usable(controller.context.now) and machine.free[0] > 0
    )
    deployment.nodes.set_time(controller)
    controller.scheduling_services.fleet_plan.reserved_machines = {machine.name: older}
    free_cpus = machine.free[0]
    while_reserved = controller.scheduling_services.summarizer.summarize(shard).free_capacity
    assert controller.scheduling_services.claims.is_claimed(machine, "job-000003")
    assert not controller.scheduling_services.claims.is_claimed(machine, older)
    controller.scheduling_services.fleet_plan.reserved_machines = {}
    # The summary for the other shards lists the machine only while it is not reserved.
    published = controller.scheduling_services.summarizer.summarize(shard).free_capacity
    assert len(published) == len(while_reserved) + 1
    assert free_cpus in [capacity[3] for capacity in published]
    assert users.wait_until_done(older, 200.0)
    assert not deployment.rules.violations


def test_work_does_not_wait_beside_a_machine_that_is_reserved_for_gangs() -> None:
    deployment = start_deployment(4210, objectives=[wait_objective(6.0)])
    users, tasks = deployment.users, deployment.tasks
    deployment.cloud.capacity = 1
    gang = users.submit(
        job_spec(1, kind="gang", job_class="g", task_count=1, cpus=4.0, estimated_run_s=3.0)
    )
    assert users.wait_until_done(gang, 60.0)
    deployment.rules.failures_ended_at = deployment.now
    # Another gang of the class is expected, so the only machine is reserved for it once the first
    # array is done.
    first = users.submit(job_spec(2, task_count=4, estimated_run_s=8.0, deadline_s=1000.0))
    second = users.submit(job_spec(3, task_count=4, estimated_run_s=3.0, deadline_s=1000.0))
    assert users.wait_until_done(first, 30.0)
    for controller in deployment.nodes.running:
        assert "" in controller.scheduling_services.fleet_plan.reserved_machines.values()
    # The second array runs one task at a time, so that most of the machine stays free for the gang.
    assert deployment.run_until(lambda: tasks.has_started(second), 75.0)
    deployment.run(60.0)
    assert len(tasks.starts_of(second)) >= 2
    assert users.wait_until_done(second, 150.0)
    assert not deployment.rules.violations


def fail_at_random(deployment: SimulatedDeployment, agent: FakeAgent, rng: random.Random) -> None:
    """Make an agent hang for good or for a while, isolate it for a while, or restart it."""
    failure = rng.choice(["die", "hang", "cut", "back"])
    if failure == "die":
        agent.is_unresponsive = True
    elif failure == "hang":
        agent.hang(rng.uniform(2.0, 14.0))
    elif failure == "cut":
        deployment.network.isolate(agent.name, delay=True)
        deployment.schedule(rng.uniform(2.0, 16.0), deployment.network.heal)
    else:
        agent.restart()


@pytest.mark.parametrize("seed", range(12))
def test_a_gang_is_never_left_half_started(seed: int) -> None:
    """A gang whose agents fail is completed, restarted as a whole or stopped as a whole.

    Some of its agents fail at random times between the first launch and the end. The capacity that
    the gang uses becomes free afterwards.
    """
    rng = random.Random(seed)
    deployment = start_deployment(3200 + seed)
    users = deployment.users
    deployment.agent_link.duplicate_ratio = 0.05
    gang = users.submit(
        job_spec(
            1, kind="gang", task_count=4, cpus=4.0, estimated_run_s=12.0, checkpoint_interval_s=4.0
        )
    )
    assert deployment.run_until(lambda: deployment.tasks.has_started(gang), 60.0)
    deployment.run(rng.uniform(0.0, 14.0))
    for agent in deployment.busy_agents:
        if rng.random() < 0.4:
            fail_at_random(deployment, agent, rng)
    if rng.random() < 0.3:
        name = rng.choice(deployment.nodes.names)
        deployment.nodes.kill(name, restart_after_s=rng.uniform(0.2, 8.0))
    incomplete_since: float | None = None
    end = deployment.now + 240.0
    while deployment.now < end and users.state_of(gang) != "done":
        deployment.run(0.5)
        responsive = [
            task
            for agent in deployment.agents.values()
            if not agent.is_released and not agent.is_unresponsive
            for task in agent.tasks_of(gang)
        ]
        if 0 < len(responsive) < 4:
            incomplete_since = deployment.now if incomplete_since is None else incomplete_since
            # Tasks may run without the rest of their gang for a bounded time only: a few leases,
            # and the time that the other tasks may take to be ready.
            assert deployment.now - incomplete_since < 2.5 * deployment.lease_s + 30.0
        else:
            incomplete_since = None
    assert users.state_of(gang) == "done"
    deployment.run(5.0)
    assert not [
        agent.name
        for agent in deployment.agents.values()
        if not agent.is_unresponsive and agent.tasks_of(gang)
    ]
    assert not deployment.rules.violations
    # The capacity that the gang used is available to other jobs.
    other = users.submit(job_spec(2, task_count=12, estimated_run_s=3.0))
    assert users.wait_until_done(other, 120.0)
