"""Preemption for latency-sensitive gangs, and eviction from reclaimed spot machines."""

from __future__ import annotations

from typing import Any

import msgspec

from tests.fakes.deployment import spec
from tests.helpers import warm
from tests.scenarios.fleets import WORKERS, fill, fleet


def test_a_hurried_gang_of_higher_priority_stops_arrays_on_its_machine() -> None:
    aims = [{"kind": "wait", "class": "g", "within_s": 4.0, "share": 0.9}]
    world = warm(38, objectives=aims)
    world.capacity = 1
    low = world.submit(spec(1, task_count=16, estimated_run_s=60.0, machine_types=["t8"]))
    assert world.until(lambda: len(world.starts) >= 8, 30.0)
    world.run(3.0)
    asked = world.now
    gang = world.submit(
        spec(2, kind="gang", task_count=2, cpus=4.0, job_class="g", priority="high")
    )
    assert world.finish(gang, 60.0)
    at = [t for t, job, *_ in world.starts if job == gang]
    assert len(at) == 2 and max(at) - asked < 8.0
    assert world.finish(low, 400.0)
    # Work of the same priority is not stopped.
    n = len(world.starts)
    low = world.submit(
        spec(3, task_count=8, estimated_run_s=40.0, machine_types=["t8"], priority="high")
    )
    assert world.until(lambda: len(world.starts) >= n + 8, 30.0)
    asked = world.now
    gang = world.submit(
        spec(4, kind="gang", task_count=2, cpus=4.0, job_class="g", priority="high")
    )
    assert world.finish(gang, 200.0)
    assert min(t for t, job, *_ in world.starts if job == gang) - asked > 15.0
    assert sum(job == low for _, job, *_ in world.starts) == 8
    assert not world.broken


def test_a_spot_notice_saves_what_can_be_saved_and_settles_the_rest_early() -> None:
    world = warm(39)
    saves = world.submit(
        spec(
            1,
            kind="gang",
            task_count=2,
            cpus=4.0,
            estimated_run_s=90.0,
            checkpoint_interval_s=20.0,
            checkpoint_save_s=2.0,
        )
    )
    plain = world.submit(spec(2, task_count=4, estimated_run_s=90.0))
    world.run(20.0)
    assert {j for _, j, *_ in world.starts} == {saves, plain}
    began = len(world.starts)
    orders: list[Any] = []
    for worker in world.workers.values():
        worker.notice = world.now + 10.0
        obey = worker.obey
        worker.obey = lambda o, obey=obey: (orders.extend(o), obey(o))[1]  # type: ignore[method-assign]
        world.at(10.0, lambda m=worker: (setattr(m, "deleted", True), m.tasks.clear()))
    world.run(9.9)
    stops = [o for o in orders if o.verb == "stop"]
    assert {(o.job, o.grace_s) for o in stops} == {(saves, 2.0)}
    assert len({o.index for o in stops}) == 2
    gone = world.now
    assert world.until(lambda: len(world.starts) >= began + 6, 30.0)
    # The arrays' tasks did not have to wait for their machines' leases to run out.
    again = [t for t, j, *_ in world.starts[began:] if j == plain]
    assert min(again) - gone < world.lease_s + 3.0
    assert world.finish(saves, 300.0) and world.finish(plain, 300.0)
    assert not world.broken


def test_a_hurried_gang_gets_its_teams_share_from_the_teams_own_arrays() -> None:
    """Found on a simulated steady day: a team's arrays held its whole limit, and its urgent gangs
    waited for minutes. The class had two aims, too, and only the longer one was looked at.
    """
    aims = [
        {"kind": "wait", "class": "g", "within_s": 4.0, "share": 0.9},
        {"kind": "wait", "class": "g", "within_s": 60.0, "share": 0.97},
    ]
    world = warm(42, objectives=aims)
    low = world.submit(spec(1, team="blue", task_count=40, estimated_run_s=60.0))
    assert world.until(lambda: len(world.starts) >= 12, 40.0)
    world.run(3.0)
    asked = world.now
    gang = world.submit(
        spec(2, kind="gang", team="blue", task_count=1, cpus=4.0, job_class="g", priority="high")
    )
    assert world.until(lambda: any(j == gang for _, j, *_ in world.starts), 12.0)
    assert world.now - asked < 12.0
    assert world.finish(gang, 60.0) and world.finish(low, 500.0)
    assert not world.broken


def test_a_cleared_machine_takes_its_gang_with_the_report_that_shows_it() -> None:
    """Found on simulated days: once reports filled their own machine, one that was being cleared
    for an urgent gang was passed over, and the gang waited for a tick and one more report.
    """
    aims = [{"kind": "wait", "class": "g", "within_s": 6.0, "share": 0.9}]
    teams = [{"name": n, "cpus": 90.0, "cpus_max": 200.0} for n in ("red", "blue")]
    world = fleet(26, 6, 1, objectives=aims, teams=teams)
    arrays = fill(world, 1, 6, 200, estimated_run_s=30.0, deadline_s=None, allows_spot=False)
    world.run(40.0)
    waits = []
    for n in range(50, 56):
        s = spec(
            n,
            kind="gang",
            job_class="g",
            task_count=1,
            cpus=15.0,
            mem_gb=20.0,
            estimated_run_s=15.0,
        )
        s = msgspec.structs.replace(s, priority="high", team=("red", "blue")[n % 2])
        gang, asked = world.submit(s), world.now
        world.run(20.0)
        waits += [t - asked for t, j, *_ in world.starts if j == gang]
    assert len(waits) == 6, "each found room by stopping arrays"
    # The stop goes out at once, the worker reports the change half a second later.
    assert sorted(waits)[3] < 0.4 * WORKERS["report_s"], waits
    assert all(world.finish(j, 600.0) for j in arrays) and not world.broken
