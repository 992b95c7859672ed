"""Migration of slices between shards."""

from __future__ import annotations

import pytest

from tests.fakes.deployment import spec
from tests.helpers import warm


def test_an_earlier_migration_does_not_restore_what_a_later_one_dropped() -> None:
    """Found on a simulated rough day: a task ran twice, because the end of one migration put the
    task numbers of the next one back while that was being committed.
    """
    world = warm(20)
    world.capacity = 1
    job = world.submit(spec(1, task_count=30, team="red", estimated_run_s=30.0))
    world.run(3.0)
    core, part, job_slice = next(
        (c, p, p.slices[job])
        for c in world.cores.values()
        if c is not None
        for p in c.leadership.led_shards()
        if len(p.slices[job].pending) > 4
    )
    target = next(i for i in range(3) if i != part.shard_id)
    assert core.slice_migrations.start(part, job_slice, job_slice.pending.tail(2), target)
    world.set_time(core)
    first = job_slice.migration_holder
    world.flush(core.context.node)
    assert world.until(lambda: not job_slice.migrating_ranges, 5.0)
    second = job_slice.pending.tail(2)
    assert core.slice_migrations.start(part, job_slice, second, target)
    core.slice_migrations._restore(part, job_slice, first)
    assert job_slice.migrating_ranges == second and not any(
        i in job_slice.pending for a, b in second for i in range(a, b)
    )
    world.flush(core.context.node)
    world.capacity = 12
    assert world.finish(job, 300.0)
    assert not world.broken


@pytest.mark.parametrize("seed", range(200, 204))
def test_crowded_fleet_with_many_migrations_breaks_no_rule(seed: int) -> None:
    world = warm(seed)
    rng = world.rng
    world.capacity = 3
    world.lose_answers, world.late_commits = 0.03, 0.03
    jobs = []
    for n in range(1, 9):
        team = rng.choice(["red", "blue"])
        jobs.append(
            world.submit(spec(n, team=team, task_count=rng.randint(8, 40), estimated_run_s=4.0))
        )
        fault = rng.randrange(4)
        if fault == 0:
            world.kill(rng.choice(world.node_names), back_after=rng.choice([0.2, 4.0]))
        elif fault == 1:
            a, b = rng.sample(world.node_names, 2)
            world.isolate(a, b, hold=True)
        elif fault == 2:
            world.heal()
        world.run(rng.uniform(1.0, 8.0))
    world.heal()
    world.lose_answers = world.late_commits = 0.0
    world.capacity = 12
    assert all(world.finish(j, 900.0) for j in jobs)
    assert not world.broken
