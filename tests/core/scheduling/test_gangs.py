"""Gangs: quota and machines from all shards, reservations, and members that fail."""

from __future__ import annotations

import random

import pytest

from marblestair.core.shard.machine import CordonReason
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import warm
from tests.scenarios.large_machines import fleet


def test_a_gang_larger_than_a_parts_share_gets_the_room_of_the_others() -> None:
    world = warm(9)
    # 12 CPUs is the whole limit of the team, of which each part has a third.
    job = world.submit(spec(1, kind="gang", team="blue", task_count=12, estimated_run_s=5.0))
    assert world.finish(job, 120.0)
    at = [t for t, *_ in world.starts]
    assert len(at) == 12 and max(at) - min(at) < 3.0
    assert not world.broken


def test_work_does_not_wait_beside_a_machine_that_is_kept_for_gangs() -> None:
    aims = [{"kind": "wait", "class": "g", "within_s": 6.0, "share": 0.9}]
    world = warm(4210, objectives=aims)
    world.capacity = 1
    gang = world.submit(
        spec(1, kind="gang", job_class="g", task_count=1, cpus=4.0, estimated_run_s=3.0)
    )
    assert world.finish(gang, 60.0)
    world.quiet_since = world.now
    # The class may come again, and once the first array is done the only machine is kept for it.
    world.submit(spec(2, task_count=4, estimated_run_s=8.0, deadline_s=1000.0))
    job = world.submit(spec(3, task_count=4, estimated_run_s=3.0, deadline_s=1000.0))
    assert world.finish("job-000002", 30.0)
    assert all(
        "" in controller.fleet_plan.reserved_machines.values()
        for controller in world.cores.values()
        if controller is not None
    )
    # It goes on a task at a time, so that most of the machine stays the gang's.
    assert world.until(lambda: any(j == job for _, j, *_ in world.starts), 75.0)
    world.run(60.0)
    assert sum(j == job for _, j, *_ in world.starts) >= 2
    assert world.finish(job, 150.0)
    assert not world.broken


def test_gangs_of_whole_machines_collect_them_from_all_parts_while_arrays_fill_the_fleet() -> None:
    world = fleet(8, 3, 9, 300.0)
    arrays = [
        world.submit(spec(n, task_count=60, estimated_run_s=12.0, mem_gb=0.5, team="red"))
        for n in range(1, 7)
    ]
    world.run(15.0)
    asked = world.now
    gangs = [
        world.submit(
            spec(
                n,
                kind="gang",
                team="blue",
                task_count=3,
                cpus=30.0,
                mem_gb=20.0,
                estimated_run_s=10.0,
            )
        )
        for n in (20, 21)
    ]
    assert world.until(lambda: sum(j in gangs for _, j, *_ in world.starts) == 6, 120.0)
    for g in gangs:
        at = [t for t, j, *_ in world.starts if j == g]
        assert len(at) == 3 and max(at) - min(at) < 3.0 and max(at) - asked < 120.0
    # The older one came first: they did not each hold half of what both need.
    first = {g: min(t for t, j, *_ in world.starts if j == g) for g in gangs}
    assert first[gangs[0]] <= first[gangs[1]]
    assert all(world.finish(j, 300.0) for j in arrays + gangs)
    assert not world.broken


def test_machines_on_their_way_to_a_gang_are_not_rented_once_more() -> None:
    """Found on simulated rough days: while machines moved to a gang's part the plan missed them."""
    world = fleet(12, 3, 40, 300.0)
    job = world.submit(
        spec(1, kind="gang", task_count=4, cpus=30.0, mem_gb=20.0, estimated_run_s=30.0)
    )
    world.run(12.0)
    core, part = next(
        (c, p) for c in world.cores.values() if c for p in c.leadership.led_shards() if p.machines
    )
    machine = next(iter(part.machines.values()))
    machine.cordon = CordonReason.TRANSFER
    told = core.summarizer.summarize(part)
    assert machine.name not in told.leaving_machines and machine.name not in [
        n for n, _ in told.idle_machines
    ]
    machine.cordon = CordonReason.RETURN
    assert machine.name in core.summarizer.summarize(part).leaving_machines
    machine.cordon = None
    assert world.finish(job, 90.0)
    assert sum(x.type.name == "m32" for x in world.workers.values()) == 4
    assert not world.broken


def test_a_gang_of_a_team_at_its_limit_gets_share_and_machine() -> None:
    """Found on a simulated steady day: a gang larger than its part's share waited for 450 s. Its
    team's arrays held the whole limit, so no machine was planned for it, and share that came free
    in its part was sent to where arrays had room.
    """
    world = World(13)
    world.run(4.0)
    arrays = [
        world.submit(spec(n, team="blue", task_count=150, estimated_run_s=4.0)) for n in (1, 2)
    ]
    assert world.until(lambda: len(world.starts) >= 30, 60.0)
    asked = world.now
    gang = world.submit(
        spec(
            3,
            kind="gang",
            team="blue",
            task_count=1,
            cpus=6.0,
            estimated_run_s=5.0,
            priority="high",
        )
    )
    assert world.until(lambda: any(j == gang for _, j, *_ in world.starts), 40.0), world.now - asked
    assert all(world.finish(j, 500.0) for j in (*arrays, gang))
    split = world.state.data[keys.SHARD_MAP][0]
    assert sum(p[3]["blue"][0] for p in split[1]) == 12_000_000
    assert not world.broken


def test_a_machine_set_aside_for_one_gang_is_no_room_for_another() -> None:
    world = fleet(14, 3, 9, 300.0)
    held = world.submit(
        spec(1, kind="gang", task_count=1, cpus=30.0, mem_gb=20.0, estimated_run_s=4.0)
    )
    assert world.finish(held, 60.0)
    older = world.submit(spec(2, task_count=8, estimated_run_s=60.0))
    world.run(12.0)
    core, part, machine = next(
        (c, p, machine)
        for c in world.cores.values()
        if c is not None
        for p in c.leadership.led_shards()
        for machine in p.machines.values()
        if machine.is_usable(c.context.now) and machine.free[0] > 0
    )
    world.set_time(core)
    core.fleet_plan.reserved_machines = {machine.name: older}
    free = machine.free[0]
    rooms = core.summarizer.summarize(part).free_capacity
    assert core.preemption.is_claimed(machine, "job-000003") and not core.preemption.is_claimed(
        machine, older
    )
    core.fleet_plan.reserved_machines = {}
    # Told to the others, too, only once it is nobody's.
    now = core.summarizer.summarize(part).free_capacity
    assert len(now) == len(rooms) + 1 and free in [r[3] for r in now]
    assert world.finish(older, 200.0)
    assert not world.broken


@pytest.mark.parametrize("seed", range(12))
def test_a_gang_is_never_left_half_started(seed: int) -> None:
    """Some of its machines fall at any moment between the first launch and the end: it is
    completed, started again whole, or stopped whole, and what it holds comes free.
    """
    rng = random.Random(seed)
    world = warm(3200 + seed)
    world.copies = 0.05
    gang = world.submit(
        spec(
            1, kind="gang", task_count=4, cpus=4.0, estimated_run_s=12.0, checkpoint_interval_s=4.0
        )
    )
    assert world.until(lambda: any(j == gang for _, j, *_ in world.starts), 60.0)
    world.run(rng.uniform(0.0, 14.0))
    for worker in [
        worker for worker in world.workers.values() if worker.live and not worker.deleted
    ]:
        if rng.random() < 0.4:
            how = rng.choice(["die", "hang", "cut", "back"])
            if how == "die":
                worker.hung = True
            elif how == "hang":
                worker.hung = True
                world.at(rng.uniform(2.0, 14.0), lambda m=worker: setattr(m, "hung", False))
            elif how == "cut":
                world.isolate(worker.name, hold=True)
                world.at(rng.uniform(2.0, 16.0), world.heal)
            else:
                worker.back_at_once()
    if rng.random() < 0.3:
        world.kill(rng.choice(world.node_names), back_after=rng.uniform(0.2, 8.0))
    half_since: float | None = None
    end = world.now + 240.0
    while world.now < end and world.state_of(gang) != "done":
        world.run(0.5)
        heard = [
            task
            for worker in world.workers.values()
            if not worker.deleted and not worker.hung
            for task in worker.live.values()
            if task.job == gang
        ]
        if 0 < len(heard) < 4:
            half_since = world.now if half_since is None else half_since
            # The wait for the rest is bounded: by a lease, and the time the others may take.
            assert world.now - half_since < 2.5 * world.lease_s + 30.0, [
                task.state for task in heard
            ]
        else:
            half_since = None
    assert world.state_of(gang) == "done"
    world.run(5.0)
    held = [
        task
        for worker in world.workers.values()
        if not worker.hung
        for task in worker.live.values()
        if task.job == gang
    ]
    assert not held and not world.broken
    # What it held serves others.
    assert world.finish(world.submit(spec(2, task_count=12, estimated_run_s=3.0)), 120.0)
