"""Failover: leaders that end, restart or are cut off, and what arrives late from them."""

from __future__ import annotations

import pytest

from tests.fakes.deployment import spec
from tests.helpers import owner, warm


def test_killed_owner_runs_no_task_twice() -> None:
    world = warm(2)
    jobs = [world.submit(spec(i, task_count=9, estimated_run_s=12.0)) for i in range(1, 4)]
    world.run(12.0)
    assert world.starts
    world.kill("n1", back_after=8.0)
    assert all(world.finish(j, 200.0) for j in jobs)
    assert not world.broken
    world.run(30.0)
    # Parts went back to the node that returned.
    assert sorted(owner(world, i) for i in range(3)) == ["n0", "n1", "n2"]


def test_all_nodes_killed_nothing_forgotten() -> None:
    world = warm(3)
    jobs = [world.submit(spec(i, task_count=5, estimated_run_s=10.0)) for i in range(1, 5)]
    world.run(9.0)
    for x in world.node_names:
        world.kill(x, back_after=5.0)
    world.run(6.0)
    assert all(world.finish(j, 200.0) for j in jobs)
    assert all(world.state_of(j) == "done" for j in jobs)
    assert not world.broken


def test_restart_within_a_fraction_of_a_second() -> None:
    world = warm(4)
    jobs = [world.submit(spec(i, task_count=8, estimated_run_s=10.0)) for i in range(1, 4)]
    world.run(9.0)
    running = len(world.starts)
    for x in world.node_names:
        world.kill(x, back_after=0.2)
        world.run(1.5)
    assert all(world.finish(j, 200.0) for j in jobs)
    assert not world.broken
    # Running tasks went on: their machines kept their leases.
    assert all(
        worker.session == 1 for worker in world.workers.values() if worker.up and not worker.deleted
    )
    assert running


def test_late_report_and_late_command_of_an_earlier_owner() -> None:
    world = warm(5)
    jobs = [world.submit(spec(i, task_count=9, estimated_run_s=15.0)) for i in range(1, 4)]
    world.run(10.0)
    # Everything to and from n0 is held back, while another node takes its part.
    world.isolate("n0", hold=True)
    world.run(20.0)
    world.heal()
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken


def test_cut_node_with_an_old_token_does_not_act() -> None:
    world = warm(6)
    jobs = [world.submit(spec(i, task_count=9, estimated_run_s=15.0)) for i in range(1, 4)]
    world.run(8.0)
    # n2 still reaches its workers, but not the state service: its authority must end.
    world.isolate("n2", "state", "n0", "n1")
    world.run(9.0)
    controller = world.cores["n2"]
    assert controller is not None
    assert controller.leadership.led_shards() == []
    assert owner(world, 2) != "n2"
    world.heal()
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken


@pytest.mark.parametrize("seed", range(80, 83))
def test_processes_back_at_once_amid_takeovers_with_late_messages(seed: int) -> None:
    world = warm(seed)
    world.late_commits, world.lose_answers, world.copies = 0.1, 0.05, 0.2
    jobs = [world.submit(spec(n, task_count=9, estimated_run_s=10.0)) for n in range(1, 5)]
    for n in range(10):
        world.heal()
        x = world.node_names[n % 3]
        world.isolate(x, hold=True)
        world.run(world.rng.uniform(0.5, 5.0))
        # The one that would take over dies in the middle of it, and so does the cut one.
        for y in world.node_names:
            if world.rng.random() < 0.6:
                world.kill(y, back_after=world.rng.uniform(0.05, 0.4))
        world.run(world.rng.uniform(0.1, 1.5))
        assert not world.broken
    world.heal()
    world.late_commits = world.lose_answers = world.copies = 0.0
    assert not world.unanswered()
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken
