"""Cancels that race failovers and launches."""

from __future__ import annotations

from typing import Any

from tests.fakes.deployment import spec
from tests.helpers import warm


def test_cancel_racing_launches_and_a_takeover() -> None:
    world = warm(7)
    jobs = [world.submit(spec(i, task_count=12, estimated_run_s=20.0)) for i in range(1, 4)]
    world.run(6.0)
    world.kill("n0", back_after=6.0)
    states = [world.cancel(j) for j in jobs[:2]]
    assert states == ["cancelled", "cancelled"]
    world.run(60.0)
    assert [world.state_of(j) for j in jobs[:2]] == ["cancelled", "cancelled"]
    left = [
        task
        for worker in world.workers.values()
        if not worker.deleted
        for task in worker.live.values()
    ]
    assert not [task for task in left if task.job in jobs[:2]]
    assert world.finish(jobs[2], 200.0)
    assert not world.broken


def test_a_cancel_by_the_record_waits_for_an_owner_that_may_still_act() -> None:
    world = warm(72)
    controller = world.cores["n0"]
    assert controller is not None
    job = world.submit(spec(1, task_count=12, estimated_run_s=120.0), "n0")
    world.run(14.0)
    # n0 still answers its workers while its lease lasts, and cannot see the entry.
    world.isolate("n0", "state", "n1", "n2")
    world.cancel_asked.add(job)
    outs: list[list[Any]] = []
    while not any(o and o[0].status == 200 for o in outs):
        assert len(outs) < 200
        outs.append(world.ask("n1", "cancel", job))
        world.run(0.25)
        if any(o and o[0].status == 200 for o in outs):
            assert not controller.leadership.led_shards()
    world.heal()
    world.run(world.cancel_s + 2.0)
    assert not world.broken
