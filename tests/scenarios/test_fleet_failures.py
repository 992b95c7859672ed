"""Fleets of hundreds of machines on which many fail at once."""

from __future__ import annotations

import pytest

from tests.fakes.deployment import spec
from tests.scenarios.fleets import WORKERS, fill, fleet, running, serving, settled, starts_again


@pytest.mark.parametrize("back_after", [0.2, 1.0, 8.0])
def test_all_nodes_fall_at_once_and_every_worker_comes_back(back_after: float) -> None:
    world = fleet(20, 150)
    jobs = fill(world, 1, 24, 60, estimated_run_s=40.0, deadline_s=60.0)
    world.run(20.0)
    before = running(world)
    assert len(before) > 600
    for x in world.node_names:
        world.kill(x, back_after=back_after * world.rng.uniform(0.8, 1.0))
    asked = world.now
    world.run(back_after + 6.0)
    # What ran goes on: nothing lost its lease, and the first answers came well inside it.
    late = [
        worker.name
        for worker in serving(world)
        if worker.live and world.now - worker.renewed > 0.9 * world.lease_s
    ]
    assert not late and all(worker.session == 1 for worker in serving(world))
    after = running(world)
    assert sum(after.get(k) == m for k, m in before.items()) > 0.7 * len(before)
    starts_again(world, 10.0)
    assert world.now - asked < back_after + 20.0
    settled(world, jobs, 300.0)


@pytest.mark.parametrize("how", ["die", "hang", "cut"])
def test_a_fifth_of_the_machines_falls_and_the_rest_goes_on(how: str) -> None:
    world = fleet(21, 150)
    jobs = fill(world, 1, 24, 60, estimated_run_s=40.0, deadline_s=60.0)
    world.run(20.0)
    up = serving(world)
    fallen = world.rng.sample(up, len(up) // 5)
    names = {worker.name for worker in fallen}
    before = {k: m for k, m in running(world).items() if m not in names}
    for worker in fallen:
        if how == "cut":
            world.isolate(worker.name, hold=True)
        else:
            worker.hung = True
    rented = len(world.workers)
    # Longer than a lease: what they held starts elsewhere, and late packets follow.
    world.run(1.2 * world.lease_s)
    left = running(world)
    ended = [k for k, m in before.items() if k not in left and k not in world.results]
    assert not ended, "work on other machines was touched"
    world.run(0.8 * world.lease_s)
    if how == "die":
        # Not waited for beyond a bound.
        assert world.until(lambda: all(worker.deleted for worker in fallen), 2.5 * world.lease_s)
    else:
        for worker in fallen:
            worker.hung = False
        world.heal()
    world.run(3.0)
    if how != "die":
        # They are back: no second fleet was rented, and they serve.
        assert sum(worker.deleted for worker in fallen) <= len(fallen) // 4
        assert len(world.workers) - rented <= len(fallen) // 4
    starts_again(world, 10.0)
    settled(world, jobs, 300.0)


def test_a_wave_of_notices_and_a_zone_cut_off_from_everything() -> None:
    world = fleet(22, 150)
    jobs = fill(world, 1, 20, 60, estimated_run_s=40.0, deadline_s=60.0)
    gangs = fill(
        world,
        50,
        6,
        2,
        kind="gang",
        cpus=30.0,
        mem_gb=20.0,
        checkpoint_interval_s=20.0,
        checkpoint_save_s=2.0,
        estimated_run_s=60.0,
        deadline_s=None,
    )
    world.run(20.0)
    for worker in serving(world):
        if world.rng.random() < 0.25:
            worker.notice = world.now + 20.0
            world.at(20.0, lambda m=worker: (m.tasks.clear(), setattr(m, "deleted", True)))
    world.run(22.0)
    zone = [worker for worker in serving(world) if worker.zone == serving(world)[0].zone]
    for worker in zone:
        world.isolate(worker.name, hold=True)
    starts = len(world.starts)
    world.run(2.0 * world.lease_s)
    assert len(world.starts) > starts or not any(world.state_of(j) != "done" for j in jobs)
    world.heal()
    starts_again(world, 20.0)
    settled(world, [*jobs, *gangs], 400.0)


def test_a_burst_of_jobs_during_a_rolling_restart() -> None:
    world = fleet(23, 150)
    jobs = fill(world, 1, 10, 40, estimated_run_s=20.0, deadline_s=60.0)
    world.run(15.0)
    for i, x in enumerate(world.node_names):
        world.at(12.0 * i, lambda x=x: world.kill(x, back_after=3.0))
    more = []
    for n in range(100, 130):
        s = spec(
            n,
            task_count=40,
            team=("red", "blue")[n % 2],
            mem_gb=0.5,
            allows_spot=True,
            estimated_run_s=15.0,
        )
        more.append(world.submit(s))
        world.run(0.6)
    assert all(worker.session == 1 for worker in serving(world))
    settled(world, jobs + more, 300.0)


def test_the_largest_array_is_cancelled_while_its_machines_are_cut() -> None:
    world = fleet(24, 150)
    largest = fill(world, 1, 1, 700, estimated_run_s=300.0, deadline_s=None)[0]
    others = fill(world, 2, 6, 40, estimated_run_s=20.0, deadline_s=60.0)
    world.run(25.0)
    holders = [
        worker
        for worker in serving(world)
        if any(task.job == largest for task in worker.live.values())
    ]
    assert len(holders) > 20
    for worker in holders[::2]:
        world.isolate(worker.name, hold=True)
    assert world.cancel(largest) == "cancelled"
    told = world.now
    world.run(world.cancel_s * 0.6)
    world.heal()
    assert world.until(
        lambda: (
            not any(
                task.job == largest for worker in serving(world) for task in worker.live.values()
            )
        ),
        world.cancel_s - (world.now - told),
    )
    settled(world, others, 200.0)
    assert world.state_of(largest) == "cancelled"


@pytest.mark.parametrize(
    ("nodes", "machines", "report_s", "lease_s"),
    [(1, 1, 1.0, 4.0), (2, 5, 5.0, 12.0), (5, 40, 0.5, 20.0), (7, 120, 2.5, 15.25)],
)
def test_deployments_of_any_sane_size_and_pace(
    nodes: int, machines: int, report_s: float, lease_s: float
) -> None:
    pace = dict(WORKERS, report_s=report_s, lease_s=lease_s)
    world = fleet(
        29, machines, nodes, workers=pace, teams=[{"name": "red", "cpus": 8, "cpus_max": 999}]
    )
    jobs = [
        world.submit(spec(n, task_count=machines + 3, estimated_run_s=3.0, mem_gb=0.5))
        for n in range(1, 5)
    ]
    world.run(10.0)
    world.kill("n0", back_after=2.0)
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken and not world.state.refused
