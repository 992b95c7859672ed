"""Pipelines under failures drawn at random."""

from __future__ import annotations

import random

import pytest

from marblestair.core.domain.jobs import JobSpec
from tests.core.jobs.pipelines import ask_cancel, submit_pipeline
from tests.helpers import warm


@pytest.mark.parametrize("seed", range(12))
def test_pipelines_keep_the_rules_under_drawn_troubles(seed: int) -> None:
    rng = random.Random(seed)
    world = warm(seed, nodes=rng.choice([3, 5]))
    world.lose_answers = rng.choice([0.0, 0.1])
    world.late_commits = rng.choice([0.0, 0.05])
    world.copies = rng.choice([0.0, 0.1])
    world.state_slow = rng.choice([0.0, 0.1])
    jobs: list[JobSpec] = []
    for n in range(3):
        jobs += submit_pipeline(world, 1 + 10 * n)
        if rng.random() < 0.5:
            world.kill(rng.choice(world.node_names), rng.choice([0.2, 4.0, 12.0]))
        if rng.random() < 0.3:
            world.state.outage(True, world.now)
            world.at(rng.uniform(2.0, 20.0), lambda: world.state.outage(False, world.now))
        if rng.random() < 0.5:
            world.at(rng.uniform(0.0, 10.0), lambda j=rng.choice(jobs).id: ask_cancel(world, j))
        world.run(rng.uniform(0.0, 8.0))
    world.run(10.0)
    world.calm()
    cancelled = {job.id for job in jobs if world._cancel_asked_before(job.id)}
    for job in jobs:
        if job.id in cancelled:
            assert world.until(lambda j=job.id: world.state_of(j) in ("cancelled", "done"), 60.0), (
                job.id
            )
        else:
            assert world.finish(job.id, 120.0), job.id
    assert world.broken == []
