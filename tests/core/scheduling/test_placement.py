"""Placement in one zone and across zones."""

from __future__ import annotations

from tests.fakes.deployment import spec
from tests.helpers import warm


def test_together_and_scatter() -> None:
    world = warm(10)
    a = world.submit(spec(1, task_count=8, single_zone=True))
    b = world.submit(spec(2, task_count=5, spread_zones=True, kind="gang", zone=None))
    c = world.submit(spec(3, task_count=3, zone="b"))
    assert world.finish(a, 120.0) and world.finish(c, 120.0) and world.finish(b, 200.0)
    assert not world.broken
    # Five tasks apart: three at most in one zone, so two zones were used.
    assert len({world.workers[m].zone for _, j, _, m, _ in world.starts if j == b}) == 2
