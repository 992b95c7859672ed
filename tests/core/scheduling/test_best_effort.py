"""Best-effort teams: no guarantee, and the capacity that the other teams leave free."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.jobs.eligibility import rejection_reason
from marblestair.core.leadership.shard_map import initial_shard_map
from marblestair.core.scheduling.scheduling_order import priority_key
from marblestair.settings import UNLIMITED, Team
from tests.fakes.samples import MACHINE_TYPES, job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import START_UP_S, start_deployment

GUARANTEED_TEAM = Team("red", 8.0, 24.0)
BEST_EFFORT_TEAM = Team("guest", 0.0, 0.0)
TEAMS = [
    {"name": team.name, "cpus": team.cpus, "cpus_max": team.cpus_max}
    for team in (GUARANTEED_TEAM, BEST_EFFORT_TEAM)
]


def submit_filling_array(deployment: SimulatedDeployment, **changes: Any) -> str:
    """An array of the best-effort team that fills the fleet for long; its id."""
    base = dict(task_count=200, estimated_run_s=400.0, priority="low")
    return deployment.users.submit(job_spec(1, team="guest", **{**base, **changes}))


def count_live(deployment: SimulatedDeployment, job: str) -> int:
    """How many tasks of a job are live."""
    return sum(len(agent.tasks_of(job)) for agent in deployment.agents.values())


@pytest.mark.parametrize(
    ("team", "changes", "accepted"),
    [
        ("guest", {"kind": "array", "task_count": 100_000, "cpus": 4.0}, True),
        ("guest", {"kind": "gang", "task_count": 40, "cpus": 4.0}, True),
        ("guest", {"cpus": 9.0}, False),
        ("red", {"kind": "gang", "task_count": 7, "cpus": 4.0}, False),
        ("red", {"kind": "gang", "task_count": 6, "cpus": 4.0}, True),
    ],
)
def test_a_limit_of_zero_is_no_limit(team: str, changes: dict[str, object], accepted: bool) -> None:
    """Found by the incidents inc-40fe and inc-0582: every job of such a team was refused."""
    teams = {item.name: item for item in (GUARANTEED_TEAM, BEST_EFFORT_TEAM)}
    reason = rejection_reason(job_spec(1, team=team, **changes), teams, MACHINE_TYPES)
    assert (reason is None) is accepted


def test_each_shard_has_a_quota_of_no_limit() -> None:
    shards = initial_shard_map(3, [GUARANTEED_TEAM, BEST_EFFORT_TEAM]).shards
    assert sum(shard.quotas["red"][0] for shard in shards) == 24_000_000
    assert all(shard.quotas["guest"][0] * 4 > UNLIMITED * 1_000_000 for shard in shards)


def test_best_effort_work_is_done_when_nobody_else_submits() -> None:
    deployment = start_deployment(401, teams=TEAMS)
    users = deployment.users
    array = job_spec(1, team="guest", priority="low", task_count=40, estimated_run_s=6.0)
    gang = job_spec(2, team="guest", kind="gang", task_count=2, cpus=3.0, estimated_run_s=6.0)
    jobs = [users.submit(array), users.submit(gang)]
    assert all(users.wait_until_done(job, 120.0) for job in jobs)
    assert not deployment.rules.violations


def test_best_effort_work_is_preempted_for_guaranteed_work_as_far_as_needed() -> None:
    deployment = start_deployment(402, teams=TEAMS)
    deployment.cloud.capacity = 6
    filling = submit_filling_array(deployment, checkpoint_interval_s=5.0)
    deployment.run(40.0)
    agents = deployment.serving_agents
    assert len(agents) == 6
    assert sum(len(agent.live_tasks) for agent in agents) >= 24
    urgent = deployment.users.submit(job_spec(2, task_count=8, estimated_run_s=30.0))
    submitted_at = deployment.now
    assert deployment.run_until(lambda: len(deployment.tasks.starts_of(urgent)) == 8, 12.0)
    assert deployment.now - submitted_at < 12.0
    # No more was stopped than was needed, and what was goes on afterwards.
    assert sum(len(agent.tasks_of(filling)) for agent in agents) >= 24 - 8 - 4
    assert not deployment.rules.violations


def test_work_beyond_a_guarantee_does_not_preempt_best_effort_work() -> None:
    deployment = start_deployment(403, teams=TEAMS)
    deployment.cloud.capacity = 6
    filling = submit_filling_array(deployment)
    deployment.run(40.0)
    starts_before = len(deployment.tasks.starts_of(filling))
    # Its team's guarantee is smaller than the job.
    deployment.users.submit(job_spec(2, task_count=20, estimated_run_s=30.0))
    deployment.run(10.0)
    assert count_live(deployment, filling) == starts_before
    assert not deployment.rules.violations


def test_best_effort_work_is_served_after_all_other_work_even_late_one() -> None:
    late = job_spec(1, deadline_s=10.0)
    low = job_spec(2, priority="low")
    best_effort = job_spec(3, team="guest", priority="high")
    order = [
        priority_key(
            spec, wall_time=1000.0, run_time_ratio=1.0, is_best_effort=spec.team == "guest"
        )
        for spec in (low, late, best_effort)
    ]
    assert order == sorted(order)


def test_a_little_is_left_to_best_effort_work_whatever_is_guaranteed() -> None:
    teams = [
        {"name": "red", "cpus": 64.0, "cpus_max": 64.0},
        {"name": "guest", "cpus": 0.0, "cpus_max": 0.0},
    ]
    deployment = SimulatedDeployment(404, 3, teams=teams)
    deployment.cloud.capacity = 6
    deployment.run(START_UP_S)
    filling = submit_filling_array(deployment)
    deployment.run(40.0)
    deployment.users.submit(job_spec(2, task_count=60, estimated_run_s=60.0))
    deployment.run(20.0)
    live = sum(len(agent.live_tasks) for agent in deployment.agents.values())
    assert 1 <= count_live(deployment, filling) <= live // 4
    assert not deployment.rules.violations
