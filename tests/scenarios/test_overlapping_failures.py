"""Overlapping failures cause no violation; docs/overlapping_troubles.md lists them."""

from __future__ import annotations

import pytest

from tests.fakes.samples import job_spec
from tests.helpers import all_controllers_lead, start_deployment
from tests.scenarios.overlapping_failures import SCENARIOS
from tests.scenarios.scenario_driver import ScenarioDriver


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_overlapping_failures_break_no_rule(name: str, seed: int) -> None:
    scenario = SCENARIOS[name]
    driver = ScenarioDriver(scenario.first_seed + seed)
    deployment, rules, users = driver.deployment, driver.deployment.rules, driver.deployment.users
    if name != "odd_requests":
        driver.submit(5)
        driver.wait(6.0, 14.0)
    scenario.run(driver)
    assert not rules.violations
    deployment.end_failures()
    deployment.run(20.0)
    assert not users.unanswered_jobs(), "accepted jobs whose state no node reports"
    for job in driver.jobs:
        if job in rules.cancel_requested:
            assert users.cancel(job) in ("cancelled", "done")
        else:
            assert users.wait_until_done(job, 400.0), job
    deployment.run(deployment.cancel_s)
    assert not rules.unstarted_and_starved()
    assert not rules.violations
    assert not any(
        agent.live_tasks for agent in deployment.agents.values() if not agent.is_released
    )


def test_a_zone_is_isolated_the_store_slow_and_all_controllers_crash() -> None:
    deployment = start_deployment(91)
    users = deployment.users
    jobs = users.submit_many(range(1, 5), task_count=9, estimated_run_s=15.0)
    deployment.run(10.0)
    # Half of the busy agents reach no controller, and the store's latency is 0.3 s.
    for agent in deployment.busy_agents[::2]:
        deployment.network.isolate(agent.name, *deployment.nodes.names)
    deployment.store_link.latency_s = 0.3
    deployment.run(8.0)
    jobs.append(users.submit(job_spec(5, task_count=6, estimated_run_s=5.0)))
    for name in deployment.nodes.names:
        deployment.nodes.kill(name, restart_after_s=deployment.rng.uniform(0.1, 3.0))
    deployment.run(12.0)
    # Despite the latency every controller leads a shard, and a new job is accepted.
    assert all_controllers_lead(deployment)
    jobs.append(users.submit(job_spec(6, task_count=6, estimated_run_s=5.0)))
    assert not deployment.rules.violations
    deployment.network.heal()
    deployment.store_link.latency_s = 0.0
    assert not users.unanswered_jobs()
    assert all(users.wait_until_done(job, 200.0) for job in jobs)
    assert not deployment.rules.violations
