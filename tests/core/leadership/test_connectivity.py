"""Controllers that lose their peers, their agents or the store."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import apart, busy, owner, warm


def test_a_node_cut_from_all_but_the_state_service_gives_its_part_away() -> None:
    world = warm(36)
    world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(12.0)
    world.isolate("n0", "n1", "n2", "users", *world.workers)
    world.run(9.0)
    assert owner(world, 0) != "n0"
    controller = world.cores["n0"]
    assert controller is not None and not controller.leadership.led_shards()
    world.heal()
    assert world.finish("job-000001", 300.0)
    # The machines' leases were kept: nothing was started twice, not even one after the other.
    assert len(world.starts) == 12
    assert owner(world, 0) == "n0"
    assert not world.broken


def test_parts_stay_where_they_are_when_all_machines_fall_silent() -> None:
    """Found in an incident: with all machines hanging, nodes passed parts around in vain."""
    world = warm(37)
    world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(12.0)
    for worker in world.workers.values():
        worker.hung = True
    world.run(8.0)
    assert [owner(world, i) for i in range(3)] == ["n0", "n1", "n2"]
    assert world.state.data[keys.SHARD_MAP][0][0] == 3
    for worker in world.workers.values():
        worker.hung = False
    assert world.finish("job-000001", 300.0)
    assert not world.broken


def test_controllers_that_cannot_reach_each_other_serve_by_the_state_service() -> None:
    world = warm(70)
    old = [world.submit(spec(n, task_count=9, estimated_run_s=8.0)) for n in range(1, 4)]
    world.run(10.0)
    apart(world)
    world.run(4.0)
    new = [
        world.submit(spec(10 + i, task_count=6, estimated_run_s=5.0), x)
        for i, x in enumerate(world.node_names)
    ]
    # Every node tells of every job, and a job whose slices lie in several parts is done.
    for job in old + new:
        assert all(world.state_of(job, x) for x in world.node_names)
    assert all(world.finish(j, 60.0) for j in old + new)
    long = [world.submit(spec(20 + i, task_count=6, estimated_run_s=300.0), "n0") for i in range(3)]
    world.run(8.0)
    for job, x in zip(long, world.node_names, strict=True):
        world.cancel_asked.add(job)
        told: list[Any] = []
        asked = world.now
        while not (told and told[0].status == 200):
            told = world.ask(x, "cancel", job)
            world.until(lambda o=told: bool(o), 5.0)
            world.run(1.0)
            assert world.now - asked < 30.0
        assert told[0].state == "cancelled"
    world.run(world.cancel_s + 2.0)
    assert not world.broken
    world.heal()
    assert not world.unanswered()
    assert not world.broken


def test_a_controller_left_with_its_workers_only_is_relieved() -> None:
    world = warm(71)
    job = world.submit(spec(1, task_count=12, estimated_run_s=40.0))
    world.run(12.0)
    controller = world.cores["n1"]
    assert controller is not None and controller.is_healthy()
    world.isolate("n1", "state", "n0", "n2")
    world.run(8.0)
    assert (
        owner(world, 1) != "n1"
        and not controller.leadership.led_shards()
        and not controller.is_healthy()
    )
    # Workers and users are refused at once: no 200, no name, nothing held back.
    worker = busy(world)[0]
    world.set_time(controller)
    status, _, commands, _ = controller.receive_heartbeat(worker.body())
    assert status in (421, 503) and not commands
    for what, arg in (("submit", spec(2)), ("query", job), ("cancel", job)):
        world.specs["job-000002"] = spec(2)
        asked = world.now
        out = world.ask("n1", what, arg)
        assert out and out[0].status == 503 and world.now == asked and out[0].retry_after_s
    world.heal()
    assert world.finish(job, 200.0)
    world.run(15.0)
    assert controller.is_healthy() and controller.leadership.led_shards()
    assert world.state_of(job, "n1") == "done"
    assert not world.broken


def parts_of(world: World, node: str) -> list[int]:
    """Parts that the latest split record gives to a node."""
    views = [
        controller.view.shard_map for controller in world.cores.values() if controller is not None
    ]
    newest = max((view for view in views if view is not None), key=lambda view: view.last_term)
    return [number for number, shard in enumerate(newest.shards) if shard.leader == node]


@pytest.mark.parametrize("seed", [440, 441, 442])
def test_no_part_goes_to_a_controller_that_has_lost_its_workers(seed: int) -> None:
    """Found on a simulated day: the part was given away, another came back at once, and its
    workers' leases ran out because a new owner that hears nobody did not notice.
    """
    world = World(seed, 3, teams=[{"name": "red", "cpus": 40.0, "cpus_max": 80.0}])
    world.run(4.0)
    jobs = [world.submit(spec(n, task_count=10, cpus=4.0, estimated_run_s=120.0)) for n in (1, 2)]
    world.run(15.0)
    running = {
        name: worker.session
        for name, worker in world.workers.items()
        if worker.live and not worker.deleted
    }
    assert running
    node = next(n for n in world.node_names if parts_of(world, n))
    world.isolate(node, *world.workers)
    world.run(8.0)
    assert parts_of(world, node) == []
    for _ in range(27):
        world.run(1.0)
        assert parts_of(world, node) == []
    # No lease of a worker ran out.
    assert {name: world.workers[name].session for name in running} == running
    world.heal()
    world.run(60.0)
    assert parts_of(world, node) != []
    assert all(world.finish(job, 200.0) for job in jobs)
    assert not world.broken


def test_a_controller_without_a_part_accepts_jobs_for_the_others() -> None:
    """Found on the same day: it turned every submission away for as long as it had no part."""
    world = World(443, 3, teams=[{"name": "red", "cpus": 40.0, "cpus_max": 80.0}])
    world.run(4.0)
    keeping = world.submit(spec(1, task_count=10, cpus=4.0, estimated_run_s=60.0))
    world.run(15.0)
    node = next(n for n in world.node_names if parts_of(world, n))
    world.isolate(node, *world.workers)
    assert world.until(lambda: parts_of(world, node) == [], 10.0)
    for number in range(2, 8):
        job = spec(number, task_count=2, estimated_run_s=3.0)
        world.specs[job.id] = job
        answer = world.ask(node, "submit", job)
        world.run(0.3)
        assert answer and answer[0].status == 201
        assert world.state_of(job.id, node) in ("queued", "running")
    assert all(world.finish(f"job-{number:06d}", 60.0) for number in range(2, 8))
    assert world.finish(keeping, 200.0)
    assert not world.broken
