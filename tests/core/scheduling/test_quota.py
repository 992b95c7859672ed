"""Limits of teams are obeyed whoever leads the shards."""

from __future__ import annotations

from tests.helpers import start_deployment


def test_the_limit_of_a_team_holds_across_failovers() -> None:
    deployment = start_deployment(8)
    jobs = deployment.users.submit_many((1, 2), team="blue", task_count=20, estimated_run_s=8.0)
    for number in range(6):
        deployment.run(7.0)
        deployment.nodes.kill(deployment.nodes.names[number % 3], restart_after_s=2.0)
    assert all(deployment.users.wait_until_done(job, 400.0) for job in jobs)
    assert not deployment.rules.violations
