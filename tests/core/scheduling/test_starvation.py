"""Large and old jobs begin in bounded time, whatever else is submitted."""

from __future__ import annotations

from marblestair.core.domain.machines import MachineType
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import warm


def test_in_a_flood_the_largest_jobs_begin_and_every_job_stays_known() -> None:
    world = warm(90)
    world.capacity = 3
    sizes = [4, 4, 4, 4, 30]
    jobs: dict[str, int] = {}
    # Several times what the fleet can do, all of it dated, the large ones hopeless from the start.
    for n in range(1, 61):
        size = sizes[n % 5]
        s = spec(
            n, task_count=size, estimated_run_s=12.0, deadline_s=30.0, team=["red", "blue"][n % 2]
        )
        jobs[world.submit(s)] = size
        world.run(2.0)
    world.run(200.0)
    began: dict[str, float] = {}
    for t, job, *_ in world.starts:
        began.setdefault(job, t)
    large = [j for j, n in jobs.items() if n == 30 and world.now - world.accepted[j] > 240.0]
    assert len(large) >= 8
    assert all(began.get(j, 1e9) - world.accepted[j] < 240.0 for j in large)
    assert not world.unanswered()
    assert not world.broken


def test_what_has_waited_long_shares_its_quarter_of_the_room() -> None:
    """Found on simulated days of a team at its limit: each old slice could take the whole quarter
    from a machine that reported, and so large old jobs kept the rest from ending in time.
    """
    world = World(25, 1, teams=[{"name": "red", "cpus": 0.0, "cpus_max": 64.0}])
    world.run(3.0)
    controller = world.cores["n0"]
    assert controller is not None
    world.set_time(controller)
    shard = controller.leadership.led_shards()[0]
    machine = Machine("host-1", "t64", "a", False, controller.context.now)
    machine.set_machine_type(MachineType("t64", 64.0, 0.0, 256.0, 50.0, 1.0, 1.0, 0.3, 5.0, ["a"]))
    shard.add_machine(machine)
    machine.is_reconciled, machine.last_heartbeat_at = True, controller.context.now
    for n in range(1, 9):
        job_slice = JobSlice(
            spec(n, task_count=160, accepted_at=controller.context.wall_time - 200.0)
        )
        job_slice.ranges, job_slice.size = [[0, 160]], 160
        job_slice.pending.add(0, 160)
        shard.slices[job_slice.spec.id] = job_slice
    machine.free[0] = 0
    controller.dispatcher.place_all(shard)
    assert not machine.tasks
    machine.free[0] = 30_000_000
    controller.dispatcher.fill_machine(shard, machine)
    # A quarter of 64 for the first helpings, a task for each that got none; then the usual order.
    assert [len(job_slice.placed_on) for job_slice in shard.slices.values()] == [
        18,
        6,
        1,
        1,
        1,
        1,
        1,
        1,
    ]
