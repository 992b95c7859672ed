"""Promises: leaders go on through an outage of the store while all controllers agree."""

from __future__ import annotations

from tests.fakes.deployment import spec
from tests.helpers import owner, sessions, warm


def test_an_outage_longer_than_a_lease_loses_no_task_while_all_talk() -> None:
    world = warm(30)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(14.0)
    world.state.outage(True, world.now)
    world.run(35.0)
    assert all(
        controller is not None and controller.leadership.led_shards()
        for controller in world.cores.values()
    )
    world.state.outage(False, world.now)
    assert world.finish(job, 200.0)
    assert set(sessions(world)) == {1}
    assert len(world.starts) == 12
    assert not world.broken


def test_a_node_refused_alone_gets_no_promise_and_is_relieved() -> None:
    world = warm(31)
    world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(10.0)
    world.state.refused_nodes.add("n1")
    world.run(8.0)
    controller = world.cores["n1"]
    assert controller is not None and not controller.leadership.led_shards()
    assert owner(world, 1) != "n1"
    world.state.refused_nodes.clear()
    assert world.finish("job-000001", 300.0)
    assert set(sessions(world)) == {1}
    assert not world.broken


def test_no_promises_when_a_peer_is_cut_or_restarted_in_the_outage() -> None:
    for cut in (True, False):
        world = warm(32)
        world.submit(spec(1, task_count=6, estimated_run_s=30.0))
        world.run(10.0)
        world.state.outage(True, world.now)
        if cut:
            world.isolate("n2", "n0", "n1")
        else:
            world.kill("n2", back_after=0.5)
        world.run(9.0)
        assert all(
            controller is not None and not controller.leadership.led_shards()
            for controller in world.cores.values()
        )
        world.heal()
        world.state.outage(False, world.now)
        assert world.finish("job-000001", 300.0)
        assert not world.broken


def test_a_promise_is_kept_after_the_outage_and_by_a_node_that_restarts() -> None:
    world = warm(33)
    world.submit(spec(1, task_count=12, estimated_run_s=40.0))
    world.run(10.0)
    world.state.outage(True, world.now)
    assert world.until(
        lambda: all(
            c is not None and c.promise_ledger.are_valid(c.context.now)
            for c in world.cores.values()
        ),
        10.0,
    )
    # n0 goes on acting on its promises; the others get the state service back, and one of them
    # restarts. Nobody may take n0's part while n0 may act.
    world.state.refused_nodes.add("n0")
    world.state.outage(False, world.now)
    world.kill("n1", back_after=0.2)
    for _ in range(60):
        world.run(0.2)
        core = world.cores["n0"]
        assert core is not None
        if owner(world, 0) != "n0":
            assert not core.leadership.is_leader(0)
    assert owner(world, 0) != "n0"
    world.state.refused_nodes.clear()
    assert world.finish("job-000001", 300.0)
    assert not world.broken
