"""Late duplicates of heartbeats change nothing."""

from __future__ import annotations

import msgspec
import pytest

from marblestair.core.domain.agents import TaskStatus
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.helpers import busy, warm


@pytest.mark.parametrize("seed", range(60, 64))
def test_late_copies_of_reports_change_nothing(seed: int) -> None:
    world = warm(seed)
    world.copies = 0.6
    jobs = []
    for n in range(1, 7):
        jobs.append(
            world.submit(spec(n, task_count=9, estimated_run_s=world.rng.uniform(3.0, 20.0)))
        )
        world.run(world.rng.uniform(2.0, 8.0))
        if n in (2, 4):
            world.kill(world.rng.choice(world.node_names), back_after=world.rng.choice([0.1, 6.0]))
        if n == 3:
            # A machine whose session moves on.
            for worker in busy(world)[:1]:
                worker.hung = True
                world.at(1.4 * world.lease_s, lambda m=worker: setattr(m, "hung", False))
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken


def test_a_late_copy_of_a_released_machine_revives_nothing() -> None:
    world = warm(65)
    world.submit(spec(1, task_count=6, estimated_run_s=3.0))
    assert world.finish("job-000001", 60.0)
    reports = {worker.name: worker.body() for worker in world.workers.values() if worker.up}
    assert world.until(lambda: all(worker.deleted for worker in world.workers.values()), 200.0)
    # The copies come at processes that know nothing of what was before.
    for x in world.node_names:
        world.kill(x, back_after=0.2)
    world.run(6.0)
    for x in world.node_names:
        for heartbeat in reports.values():
            world._copy(x, heartbeat)
            world.run(0.3)
    world.run(5.0)
    assert not [k for k in world.state.data if k.startswith(keys.MACHINES)]
    assert not world.broken


def test_a_late_copy_settles_no_task_after_a_takeover() -> None:
    world = warm(66)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(15.0)
    # Reports from before the launches: they list nothing.
    old = {
        worker.name: msgspec.structs.replace(worker.body(), sequence=1, fencing_token=0, tasks=[])
        for worker in busy(world)
    }
    held = {worker.name: dict(worker.live) for worker in busy(world)}
    assert held
    world.isolate("n0")
    for _ in range(240):
        # Again and again, so that some come right after the takeover, ahead of real reports.
        for heartbeat in old.values():
            for x in world.node_names:
                world._copy(x, heartbeat)
        world.run(0.05)
    world.heal()
    assert world.finish(job, 300.0)
    assert not world.broken


def test_an_old_copy_takes_no_notice_back_and_brings_none() -> None:
    world = warm(67)
    world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(14.0)
    worker = busy(world)[0]
    before = worker.body()
    world.run(1.0)
    core, part = next(
        (c, p)
        for c in world.cores.values()
        if c is not None
        for p in c.leadership.led_shards()
        if worker.name in p.machines
    )
    seen = part.machines[worker.name].last_heartbeat_at
    world._copy(core.context.node, before)
    world.set_time(core)
    done = [TaskStatus("job-000001", 0, 1, "exited", "done")]
    late = msgspec.structs.replace(before, reclaim_in_s=1.0, tasks=done)
    world._copy(core.context.node, late)
    k = part.machines[worker.name]
    assert k.reclaim_at is None and k.last_heartbeat_at >= seen and len(k.tasks) == len(worker.live)
    assert not part.slices["job-000001"].done_bits
    assert not world.broken


def test_a_copy_from_a_session_that_is_over_brings_no_task_back() -> None:
    world = warm(68)
    world.submit(spec(1, task_count=12, estimated_run_s=90.0))
    world.run(14.0)
    worker = busy(world)[0]
    core, part = next(
        (c, p)
        for c in world.cores.values()
        if c is not None
        for p in c.leadership.led_shards()
        if worker.name in p.machines
    )
    worker.hung = True
    # Its last report was lost on the way; a copy of it comes when its lease is long over.
    lost = worker.body()
    assert lost.tasks
    world.capacity = 0
    assert world.until(lambda: part.machines[worker.name].is_silent, 2 * world.lease_s)
    held = dict(part.slices["job-000001"].placed_on)
    world._copy(core.context.node, lost)
    assert not part.machines[worker.name].tasks and part.machines[worker.name].is_silent
    assert part.slices["job-000001"].placed_on == held
    assert not world.broken
