"""Many machines or controllers of a large fleet fail at once."""

from __future__ import annotations

import pytest

from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import agent_incarnations, agents_running
from tests.scenarios.fleets import (
    FLEET_AGENTS,
    TEAM_NAMES,
    assert_all_done,
    assert_new_jobs_start,
    large_fleet,
    running_tasks,
    submit_arrays,
)


def fleet_with_arrays(seed: int, jobs: int = 24) -> tuple[SimulatedDeployment, list[str]]:
    """Start a fleet of 150 machines, busy with arrays of both teams; return the arrays' ids too."""
    deployment = large_fleet(seed, 150)
    arrays = submit_arrays(deployment, 1, jobs, 60, estimated_run_s=40.0, deadline_s=60.0)
    return deployment, arrays


@pytest.mark.parametrize("restart_after_s", [0.2, 1.0, 8.0])
def test_all_controllers_crash_at_once_and_no_agent_loses_its_lease(
    restart_after_s: float,
) -> None:
    deployment, jobs = fleet_with_arrays(20)
    deployment.run(20.0)
    before = running_tasks(deployment)
    assert len(before) > 600
    for name in deployment.nodes.names:
        deployment.nodes.kill(name, restart_after_s * deployment.rng.uniform(0.8, 1.0))
    crashed_at = deployment.now
    deployment.run(restart_after_s + 6.0)
    # Tasks keep running: each agent's lease was renewed well before it expired.
    max_age_s = 0.9 * deployment.lease_s
    assert not [
        agent.name
        for agent in deployment.busy_agents
        if deployment.now - agent.lease_renewed_at > max_age_s
    ]
    assert agent_incarnations(deployment) == {1}
    after = running_tasks(deployment)
    unmoved = sum(after.get(task) == machine for task, machine in before.items())
    assert unmoved > 0.7 * len(before)
    assert_new_jobs_start(deployment, 10.0)
    assert deployment.now - crashed_at < restart_after_s + 20.0
    assert_all_done(deployment, jobs, 300.0)


@pytest.mark.parametrize("failure", ["die", "hang", "cut"])
def test_a_fifth_of_the_machines_fails_and_the_rest_goes_on(failure: str) -> None:
    deployment, jobs = fleet_with_arrays(21)
    deployment.run(20.0)
    agents = deployment.serving_agents
    failed = deployment.rng.sample(agents, len(agents) // 5)
    failed_names = {agent.name for agent in failed}
    before = {
        task: machine
        for task, machine in running_tasks(deployment).items()
        if machine not in failed_names
    }
    for agent in failed:
        if failure == "cut":
            deployment.network.isolate(agent.name, delay=True)
        else:
            agent.is_unresponsive = True
    rented = len(deployment.agents)
    # Longer than a lease: the failed machines' tasks start elsewhere, and delayed packets follow.
    deployment.run(1.2 * deployment.lease_s)
    after = running_tasks(deployment)
    stopped = [task for task in before if task not in after and task not in deployment.tasks.done]
    assert not stopped, "tasks on machines that did not fail were stopped"
    deployment.run(0.8 * deployment.lease_s)
    if failure == "die":
        # Machines that stay unresponsive are released within a bounded time.
        assert deployment.run_until(
            lambda: all(agent.is_released for agent in failed), 2.5 * deployment.lease_s
        )
    else:
        for agent in failed:
            agent.is_unresponsive = False
        deployment.network.heal()
    deployment.run(3.0)
    if failure != "die":
        # The machines recovered: most were kept, and few replacements were rented.
        assert sum(agent.is_released for agent in failed) <= len(failed) // 4
        assert len(deployment.agents) - rented <= len(failed) // 4
    assert_new_jobs_start(deployment, 10.0)
    assert_all_done(deployment, jobs, 300.0)


def test_many_reclaim_notices_and_a_zone_isolated_from_everything() -> None:
    deployment, jobs = fleet_with_arrays(22, jobs=20)
    gangs = submit_arrays(
        deployment,
        50,
        6,
        2,
        kind="gang",
        cpus=30.0,
        mem_gb=20.0,
        checkpoint_interval_s=20.0,
        checkpoint_save_s=2.0,
        estimated_run_s=60.0,
        deadline_s=None,
    )
    deployment.run(20.0)
    for agent in deployment.serving_agents:
        if deployment.rng.random() < 0.25:
            agent.reclaim_at = deployment.now + 20.0
            deployment.schedule(20.0, agent.release)
    deployment.run(22.0)
    zone = deployment.serving_agents[0].zone
    for agent in deployment.serving_agents:
        if agent.zone == zone:
            deployment.network.isolate(agent.name, delay=True)
    starts = len(deployment.tasks.starts)
    deployment.run(2.0 * deployment.lease_s)
    assert len(deployment.tasks.starts) > starts or all(
        deployment.users.state_of(job) == "done" for job in jobs
    )
    deployment.network.heal()
    assert_new_jobs_start(deployment, 20.0)
    assert_all_done(deployment, [*jobs, *gangs], 400.0)


def test_a_burst_of_jobs_during_a_rolling_restart() -> None:
    deployment = large_fleet(23, 150)
    nodes = deployment.nodes
    jobs = submit_arrays(deployment, 1, 10, 40, estimated_run_s=20.0, deadline_s=60.0)
    deployment.run(15.0)
    for position, name in enumerate(nodes.names):
        deployment.schedule(12.0 * position, lambda name=name: nodes.kill(name, 3.0))
    for number in range(100, 130):
        spec = job_spec(
            number,
            task_count=40,
            team=TEAM_NAMES[number % 2],
            mem_gb=0.5,
            allows_spot=True,
            estimated_run_s=15.0,
        )
        jobs.append(deployment.users.submit(spec))
        deployment.run(0.6)
    assert agent_incarnations(deployment) == {1}
    assert_all_done(deployment, jobs, 300.0)


def test_the_largest_array_is_cancelled_while_half_its_machines_are_isolated() -> None:
    deployment = large_fleet(24, 150)
    users = deployment.users
    [largest] = submit_arrays(deployment, 1, 1, 700, estimated_run_s=300.0, deadline_s=None)
    others = submit_arrays(deployment, 2, 6, 40, estimated_run_s=20.0, deadline_s=60.0)
    deployment.run(25.0)
    agents = agents_running(deployment, largest)
    assert len(agents) > 20
    for agent in agents[::2]:
        deployment.network.isolate(agent.name, delay=True)
    assert users.cancel(largest) == "cancelled"
    cancelled_at = deployment.now
    deployment.run(deployment.cancel_s * 0.6)
    deployment.network.heal()
    assert deployment.run_until(
        lambda: not agents_running(deployment, largest),
        deployment.cancel_s - (deployment.now - cancelled_at),
    )
    assert_all_done(deployment, others, 200.0)
    assert users.state_of(largest) == "cancelled"


@pytest.mark.parametrize(
    ("nodes", "machines", "report_s", "lease_s"),
    [(1, 1, 1.0, 4.0), (2, 5, 5.0, 12.0), (5, 40, 0.5, 20.0), (7, 120, 2.5, 15.25)],
)
def test_deployments_of_any_sane_size_and_pace(
    nodes: int, machines: int, report_s: float, lease_s: float
) -> None:
    pace = dict(FLEET_AGENTS, report_s=report_s, lease_s=lease_s)
    teams = [{"name": "red", "cpus": 8, "cpus_max": 999}]
    deployment = large_fleet(29, machines, nodes, workers=pace, teams=teams)
    users = deployment.users
    jobs = users.submit_many(range(1, 5), task_count=machines + 3, estimated_run_s=3.0, mem_gb=0.5)
    deployment.run(10.0)
    deployment.nodes.kill("n0", restart_after_s=2.0)
    assert all(users.wait_until_done(job, 300.0) for job in jobs)
    assert not deployment.rules.violations
    assert not deployment.store.oversized_commits
