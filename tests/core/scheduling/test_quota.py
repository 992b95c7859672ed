"""Limits of teams hold whoever leads the shards."""

from __future__ import annotations

from tests.fakes.deployment import spec
from tests.helpers import warm


def test_quota_holds_across_handovers() -> None:
    world = warm(8)
    jobs = [
        world.submit(spec(i, team="blue", task_count=20, estimated_run_s=8.0)) for i in range(1, 3)
    ]
    for n in range(6):
        world.run(7.0)
        world.kill(world.node_names[n % 3], back_after=2.0)
    assert all(world.finish(j, 400.0) for j in jobs)
    assert not world.broken
