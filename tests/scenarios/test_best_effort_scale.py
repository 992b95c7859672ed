"""The cost of a huge array follows its running tasks; many one-task jobs cost few changes."""

from __future__ import annotations

import functools
from typing import Any

import msgspec
import pytest

from marblestair.core.runtime.store_requests import StoreResponse
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import start_deployment
from tests.measurements import count_calls

TEAMS = [
    {"name": "red", "cpus": 8.0, "cpus_max": 24.0},
    {"name": "guest", "cpus": 0.0, "cpus_max": 0.0},
]
ARRAY = "job-000001"


def start_with_best_effort_array(tasks: int) -> SimulatedDeployment:
    """Start three controllers with a best-effort array that fills the fleet."""
    deployment = start_deployment(470, teams=TEAMS)
    deployment.users.submit(
        job_spec(1, team="guest", priority="low", task_count=tasks, estimated_run_s=8.0)
    )
    deployment.run(40.0)
    return deployment


def calls_per_start(tasks: int) -> float:
    """Return the function calls per started task of an array with a number of tasks."""
    deployment = start_with_best_effort_array(tasks)
    assert len(deployment.agents) == deployment.cloud.capacity
    starts_before = len(deployment.tasks.starts)
    calls = count_calls(functools.partial(deployment.run, 20.0))
    starts = len(deployment.tasks.starts) - starts_before
    assert starts > 100
    values = [stored.value for stored in deployment.store.data.values()]
    assert max(len(msgspec.msgpack.encode(value)) for value in values) < 16 * 1024
    assert not deployment.rules.violations
    return calls / starts


def test_a_huge_array_costs_what_runs_of_it_and_not_what_waits() -> None:
    assert calls_per_start(100_000) < 1.25 * calls_per_start(2_000)


def test_a_huge_array_is_cancelled_like_any_other() -> None:
    deployment = start_with_best_effort_array(100_000)
    assert deployment.users.cancel(ARRAY) == "cancelled"
    deployment.run(deployment.cancel_s)
    assert not any(
        agent.live_tasks for agent in deployment.agents.values() if not agent.is_released
    )
    assert not deployment.rules.violations


@pytest.mark.parametrize("jobs_per_s", [2, 5])
def test_many_one_task_jobs_are_done_at_a_bounded_number_of_changes(jobs_per_s: int) -> None:
    deployment = start_deployment(471, teams=TEAMS)
    users, names, store = deployment.users, deployment.nodes.names, deployment.store
    long_job = users.submit(job_spec(1, task_count=4, estimated_run_s=120.0))
    deployment.run(20.0)
    changes = 0
    execute = store.execute

    def count_changes(request: Any, *arguments: Any) -> StoreResponse:
        nonlocal changes
        response = execute(request, *arguments)
        if response.status == 200:
            changes += getattr(request, "change_count", 0)
        return response

    store.execute = count_changes  # type: ignore[method-assign]
    specs = [
        job_spec(100 + number, team="guest", task_count=1, estimated_run_s=3.0)
        for number in range(20 * jobs_per_s)
    ]
    replies_per_job = []
    for position, spec in enumerate(specs):
        replies_per_job.append(users.request(names[position % 3], "submit", spec))
        deployment.run(1.0 / jobs_per_s)
    assert all(replies and replies[0].status == 201 for replies in replies_per_job)
    assert all(users.wait_until_done(spec.id, 60.0) for spec in specs)
    # Per job: the record, its final state with the record's deletion, and at most one progress
    # page with its deletion.
    assert changes <= 5.5 * len(specs) + 60
    assert len(store.keys_with_prefix(keys.FINAL_STATES)) == len(specs)
    assert users.state_of(long_job) in ("running", "done")
    assert not deployment.rules.violations
