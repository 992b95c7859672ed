"""Jobs run to their end on a healthy deployment."""

from __future__ import annotations

from tests.fakes.deployment import spec
from tests.helpers import owner, warm


def test_quiet_run_of_arrays_and_gangs() -> None:
    world = warm()
    jobs = [world.submit(spec(i, kind="gang" if i % 3 == 0 else "array")) for i in range(1, 7)]
    assert all(world.finish(j, 120.0) for j in jobs)
    assert not world.broken
    # Every part had an owner of its own.
    assert sorted(owner(world, i) for i in range(3)) == ["n0", "n1", "n2"]


def test_done_only_after_the_last_task() -> None:
    world = warm(11)
    job = world.submit(spec(1, task_count=7, estimated_run_s=10.0))
    seen = set()
    for _ in range(300):
        seen.add(world.state_of(job))
        if "done" in seen:
            break
        world.run(0.1)
    assert "done" in seen
    assert not world.broken
