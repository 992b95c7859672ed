"""Scenario tests of a controller that loses its workers, and nothing else."""

from __future__ import annotations

import pytest

from tests.fakes.deployment import spec
from tests.fakes.world import World


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
