"""Agents that hang, fail or receive nothing."""

from __future__ import annotations

from typing import Any

from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import busy, owner, running, warm


def test_hanging_and_failing_machines_are_routed_around() -> None:
    world = warm(17)
    jobs = [world.submit(spec(i, task_count=8, estimated_run_s=6.0)) for i in range(1, 4)]
    world.run(10.0)
    up = [worker for worker in world.workers.values() if worker.up and not worker.deleted]
    up[0].hung = True
    up[1].fails = True
    assert all(world.finish(j, 300.0) for j in jobs)
    world.run(20.0)
    assert up[0].deleted
    assert not world.broken


def test_machines_that_were_all_deaf_serve_again_once_they_hear() -> None:
    world = World(4200, 1)
    world.run(4.0)
    world.capacity = 3
    world.submit(spec(1, task_count=36, estimated_run_s=8.0))
    assert world.until(lambda: len(busy(world)) == 3, 60.0)
    machines = busy(world)
    for worker in machines:
        worker.deaf = True
    # What is launched now is not heard, and shows in no report.
    job = world.submit(spec(2, task_count=24, estimated_run_s=4.0))
    shard = running(world, "n0").leadership.shards[0]
    assert world.until(
        lambda: all(
            machine.responsiveness.ignored_commands >= 2 for machine in shard.machines.values()
        ),
        60.0,
    )
    for worker in machines:
        worker.deaf = False
    world.quiet_since = world.now
    assert world.finish(job, 80.0)
    assert not world.broken


def test_a_deaf_machine_loses_its_work_to_others_and_gets_no_more() -> None:
    world = warm(50)
    first = world.submit(spec(1, task_count=12, estimated_run_s=30.0))
    world.run(14.0)
    worker = busy(world)[0]
    mine = {(task.job, task.index) for task in worker.live.values()}
    worker.deaf, since = True, world.now
    world.run(2.5 * world.lease_s)
    # Its lease ran out, and what it held has begun elsewhere.
    again = {(j, i) for t, j, i, name, _ in world.starts if t > since and name != worker.name}
    assert mine <= again
    jobs = [world.submit(spec(n, task_count=8, estimated_run_s=4.0)) for n in range(2, 6)]
    assert all(world.finish(j, 60.0) for j in [first, *jobs])
    # It was given back rather than kept and paid for.
    world.run(3 * world.lease_s)
    assert worker.deleted
    assert not world.broken


def test_a_new_machine_that_never_hears_holds_nothing_up() -> None:
    world = warm(51, teams=[{"name": "red", "cpus": 24.0, "cpus_max": 24.0}])
    job = world.submit(spec(1, task_count=16, estimated_run_s=6.0))
    world.run(1.0)
    assert world.until(lambda: len(world.workers) >= 2, 10.0)
    worker = next(iter(world.workers.values()))
    worker.deaf = True
    assert world.finish(job, 70.0)
    assert not [1 for *_, name, _ in world.starts if name == worker.name]
    assert not world.broken


def test_a_cancel_on_a_deaf_machine_is_settled_in_time() -> None:
    world = warm(52)
    job = world.submit(spec(1, task_count=12, estimated_run_s=200.0))
    world.run(14.0)
    for worker in busy(world):
        worker.deaf = True
    assert world.cancel(job) == "cancelled"
    world.run(world.cancel_s + 2.0)
    assert not [
        task
        for worker in world.workers.values()
        if not worker.deleted
        for task in worker.live.values()
    ]
    assert not world.broken


def test_a_takeover_of_a_deaf_machine_waits_for_its_lease_and_no_longer() -> None:
    world = World(53, 2)
    world.run(4.0)
    job = world.submit(spec(1, task_count=12, estimated_run_s=4.0))
    assert world.until(lambda: len(world.starts) >= 4, 20.0)
    worker = busy(world)[0]
    worker.deaf = True
    home = owner(world, world.state.data[keys.MACHINES + worker.name][0][0])
    world.kill(home, back_after=90.0)
    # What it ran until then is not started elsewhere before its lease must have run out, and the
    # part is not stuck after that, though the machine goes on reporting.
    assert world.finish(job, 45.0)
    assert not world.broken


def test_a_deaf_machine_is_sent_no_launches_for_ever() -> None:
    world = World(54, 1)
    world.run(4.0)
    jobs = [world.submit(spec(n, task_count=8, estimated_run_s=10.0)) for n in (1, 2)]
    assert world.until(lambda: len(busy(world)) >= 2, 30.0)
    worker = busy(world)[0]
    worker.deaf = True
    world.run(world.lease_s + 8.0)
    controller = world.cores["n0"]
    assert controller is not None
    launches: list[Any] = []
    plain = controller.receive_heartbeat

    def report(rep: Any) -> Any:
        out = plain(rep)
        if rep.machine == worker.name:
            launches.extend(command for command in out[2] if command.verb == "start")
        return out

    controller.receive_heartbeat = report  # type: ignore[method-assign]
    world.capacity = len([x for x in world.workers.values() if not x.deleted])
    jobs += [world.submit(spec(n, task_count=30, estimated_run_s=5.0)) for n in (3, 4)]
    world.run(2 * world.lease_s)
    assert not launches
    # It was given back, though it reported all the while and work waits.
    assert worker.deleted
    assert all(world.finish(j, 200.0) for j in jobs)
    assert not world.broken
