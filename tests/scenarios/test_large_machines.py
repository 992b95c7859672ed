"""Fleets of larger machines and other sizes: cost of an event, failures."""

from __future__ import annotations

from tests.helpers import cost
from tests.scenarios.large_machines import fleet, load


def test_a_large_fleet_keeps_every_rule_at_a_cost_per_event_that_does_not_grow() -> None:
    aims = [{"kind": "wait", "class": "g", "within_s": 8.0, "share": 0.9}]
    small = fleet(7, 5, 40, 300.0, objectives=aims)
    load(small, 1, 20, (20, 60), 1.0)
    before = cost(small, 6.0)

    state = dict(rps=100.0, write_rps=40.0, value_kb=4.0, txn_ops=12)
    world = fleet(7, 5, 170, 1300.0, objectives=aims, state=state)
    jobs = load(world, 1, 40, (100, 250), 0.8)
    up = [worker for worker in world.workers.values() if worker.up and not worker.deleted]
    live = sum(len(worker.live) for worker in up)
    assert len(up) >= 120 and live >= 1500
    writes, then = world.state.writes, world.now
    after = cost(world, 6.0)
    # Four times the machines and five times the tasks. A report costs what it lists, a tick what
    # its part holds; neither what the whole fleet and all jobs together are.
    assert after["heartbeat"] < 2.5 * before["heartbeat"]
    assert after["tick"] < 3.0 * before["tick"]
    assert after["message"] < 3.0 * before["message"]
    # Changes of the state service stay within its rate, whatever runs.
    assert (world.state.writes - writes) / (world.now - then) < 40.0
    # A node falls and comes back at once, and another for longer.
    world.kill("n1", back_after=0.2)
    world.kill("n3", back_after=12.0)
    world.run(20.0)
    assert not world.broken
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken and not world.state.refused and world.state.largest <= 4096
    # Reports were answered in time all the while.
    assert all(
        worker.session == 1 for worker in world.workers.values() if worker.up and not worker.deleted
    )


def test_deployments_of_other_sizes_work() -> None:
    for nodes, machines in ((1, 6), (7, 60)):
        world = fleet(9, nodes, machines, 200.0)
        jobs = load(world, 1, 8, (5, 30), 1.0)
        world.kill("n0", back_after=2.0)
        assert all(world.finish(j, 200.0) for j in jobs), nodes
        assert not world.broken and not world.state.refused
