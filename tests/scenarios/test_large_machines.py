"""Cost of an event and failures on fleets of larger machines and of other sizes."""

from __future__ import annotations

from tests.fakes.samples import STORE_LIMITS_NOW, wait_objective
from tests.helpers import agent_incarnations
from tests.measurements import measure_event_costs
from tests.scenarios.fleets import medium_fleet, submit_mixed_load


def test_the_cost_of_an_event_does_not_grow_with_the_fleet_and_no_rule_is_broken() -> None:
    objectives = [wait_objective(8.0)]
    small = medium_fleet(7, 5, 40, 300.0, objectives=objectives)
    submit_mixed_load(small, 20, (20, 60), 1.0)
    small_cost = measure_event_costs(small, 6.0)

    deployment = medium_fleet(7, 5, 170, 1300.0, objectives=objectives, state=STORE_LIMITS_NOW)
    users, store = deployment.users, deployment.store
    jobs = submit_mixed_load(deployment, 40, (100, 250), 0.8)
    agents = deployment.serving_agents
    assert len(agents) >= 120
    assert sum(len(agent.live_tasks) for agent in agents) >= 1500
    changes_before, started_at = store.change_count, deployment.now
    large_cost = measure_event_costs(deployment, 6.0)
    # The fleet has four times the machines and five times the tasks. A heartbeat's cost follows the
    # tasks it lists, a tick's cost follows its shard; neither follows the whole fleet or all jobs.
    assert large_cost.heartbeat < 2.5 * small_cost.heartbeat
    assert large_cost.tick < 3.0 * small_cost.tick
    assert large_cost.message < 3.0 * small_cost.message
    # Changes in the store stay within its write rate under any load.
    changes = store.change_count - changes_before
    assert changes / (deployment.now - started_at) < STORE_LIMITS_NOW["write_rps"]
    # One controller is killed and restarts at once, another is down for longer.
    deployment.nodes.kill("n1", restart_after_s=0.2)
    deployment.nodes.kill("n3", restart_after_s=12.0)
    deployment.run(20.0)
    assert not deployment.rules.violations
    assert all(users.wait_until_done(job, 300.0) for job in jobs)
    assert not deployment.rules.violations
    assert not store.oversized_commits
    assert store.largest_value_bytes <= 4096
    # No agent lost its lease: heartbeats got their responses in time throughout.
    assert agent_incarnations(deployment) <= {1}


def test_deployments_of_other_sizes_work() -> None:
    for nodes, machines in ((1, 6), (7, 60)):
        deployment = medium_fleet(9, nodes, machines, 200.0)
        jobs = submit_mixed_load(deployment, 8, (5, 30), 1.0)
        deployment.nodes.kill("n0", restart_after_s=2.0)
        assert all(deployment.users.wait_until_done(job, 200.0) for job in jobs), nodes
        assert not deployment.rules.violations
        assert not deployment.store.oversized_commits
