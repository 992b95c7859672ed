"""Pipelines under random failures."""

from __future__ import annotations

import functools
import random

import pytest

from marblestair.core.domain.jobs import JobSpec
from tests.core.jobs.pipelines import submit_pipeline
from tests.helpers import start_deployment


@pytest.mark.parametrize("seed", range(12))
def test_pipelines_under_failures_drawn_at_random_break_no_rule(seed: int) -> None:
    rng = random.Random(seed)
    deployment = start_deployment(seed, nodes=rng.choice([3, 5]))
    users, store, names = deployment.users, deployment.store, deployment.nodes.names
    deployment.store_link.lost_response_ratio = rng.choice([0.0, 0.1])
    deployment.store_link.late_commit_ratio = rng.choice([0.0, 0.05])
    deployment.agent_link.duplicate_ratio = rng.choice([0.0, 0.1])
    deployment.store_link.latency_s = rng.choice([0.0, 0.1])
    specs: list[JobSpec] = []
    for number in range(3):
        specs += submit_pipeline(deployment, 1 + 10 * number)
        if rng.random() < 0.5:
            deployment.nodes.kill(rng.choice(names), rng.choice([0.2, 4.0, 12.0]))
        if rng.random() < 0.3:
            store.start_outage()
            deployment.schedule(rng.uniform(2.0, 20.0), store.end_outage)
        if rng.random() < 0.5:
            delay_s = rng.uniform(0.0, 10.0)
            cancel = functools.partial(users.cancel_once, rng.choice(specs).id)
            deployment.schedule(delay_s, cancel)
        deployment.run(rng.uniform(0.0, 8.0))
    deployment.run(10.0)
    deployment.end_failures()
    jobs = [spec.id for spec in specs]
    cancelled = {job for job in jobs if deployment.rules.is_cancel_requested(job)}
    for job in jobs:
        if job in cancelled:
            assert deployment.run_until(
                lambda job=job: users.state_of(job) in ("cancelled", "done"), 60.0
            ), job
        else:
            assert users.wait_until_done(job, 120.0), job
    assert not deployment.rules.violations
