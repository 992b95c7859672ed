"""Scenario tests of two failures at once; docs/overlapping_troubles.md lists them."""

from __future__ import annotations

import pytest

from tests.fakes.deployment import spec
from tests.helpers import busy, warm
from tests.scenarios.overlapping_failures import MEETINGS, Play


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("meeting", sorted(MEETINGS))
def test_overlapping_troubles_break_no_rule(meeting: str, seed: int) -> None:
    p = Play(5000 + 100 * sorted(MEETINGS).index(meeting) + seed)
    world = p.w
    if meeting != "odd_requests":
        p.submit(5)
        p.wait(6.0, 14.0)
    MEETINGS[meeting](p)
    assert not world.broken, world.broken[:3]
    world.calm()
    world.run(20.0)
    assert not world.unanswered(), "forgotten"
    for job in p.jobs:
        if job in world.cancel_asked:
            assert world.cancel(job) in ("cancelled", "done")
        else:
            assert world.finish(job, 400.0), job
    world.run(world.cancel_s)
    assert not world.unserved()
    assert not world.broken, world.broken[:3]
    held = [
        task
        for worker in world.workers.values()
        if not worker.deleted
        for task in worker.live.values()
    ]
    assert not held


def test_a_zone_cut_off_a_slow_state_service_and_all_nodes_crashing_in_the_middle() -> None:
    world = warm(91)
    jobs = [world.submit(spec(n, task_count=9, estimated_run_s=15.0)) for n in range(1, 5)]
    world.run(10.0)
    # Half of the machines cannot reach any controller, and the state service takes 0.3 s.
    for worker in busy(world)[::2]:
        world.isolate(worker.name, *world.node_names)
    world.state_slow = 0.3
    world.run(8.0)
    jobs.append(world.submit(spec(5, task_count=6, estimated_run_s=5.0)))
    for x in world.node_names:
        world.kill(x, back_after=world.rng.uniform(0.1, 3.0))
    world.run(12.0)
    # Slow as it is, parts have owners, and users are served.
    assert all(
        controller is not None and controller.leadership.led_shards()
        for controller in world.cores.values()
    )
    jobs.append(world.submit(spec(6, task_count=6, estimated_run_s=5.0)))
    assert not world.broken
    world.heal()
    world.state_slow = 0.0
    assert not world.unanswered()
    assert all(world.finish(j, 200.0) for j in jobs)
    assert not world.broken
