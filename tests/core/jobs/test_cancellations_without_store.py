"""Cancels that are confirmed while the store refuses the leader of the job's tasks."""

from __future__ import annotations

import random
from typing import Any

import pytest

from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.worker import Worker
from tests.fakes.world import World
from tests.helpers import (
    busy,
    holders,
    keep_asking,
    leader,
    manager,
    part_owners,
    warm,
)


def hang(world: World, worker: Worker) -> None:
    worker.hung = True
    world.at(0.6 * world.lease_s, lambda: setattr(worker, "hung", False))


MACHINE_TROUBLES: dict[str, Any] = {
    "": lambda w, m: None,
    "hung": hang,
    "deaf": lambda w, m: setattr(m, "deaf", True),
    "mute": lambda w, m: setattr(m, "mute", True),
}


@pytest.mark.parametrize("trouble", sorted(MACHINE_TROUBLES))
@pytest.mark.parametrize("after", ["", "restart", "cut", "cloud"])
@pytest.mark.parametrize("managed", ["refused", "elsewhere"])
def test_a_cancel_confirmed_while_the_leader_is_refused_alone_reaches_it(
    managed: str, after: str, trouble: str
) -> None:
    for seed in range(2):
        world = warm(4000 + seed)
        rng = random.Random(f"{managed} {after} {trouble} {seed}")
        kept = world.submit(spec(1, team="blue", task_count=6, estimated_run_s=70.0))
        job = world.submit(spec(2, task_count=9, estimated_run_s=300.0))
        world.run(16.0)
        # The refused controller has machines with the job, and manages it or does not.
        home = manager(world, job)
        owners = sorted(part_owners(world, job))
        assert home in owners and len(owners) >= 2
        name = home if managed == "refused" else rng.choice([x for x in owners if x != home])
        others = [x for x in world.node_names if x != name]
        world.state.refused_nodes.add(name)
        world.run(rng.uniform(0.1, 0.5))
        world.cancel_asked.add(job)
        # Long enough for the entry to be committed, and less than the refused one's lease.
        for _ in range(rng.randint(5, 12)):
            for x in others:
                world.ask(x, "cancel", job)
                world.ask(x, "query", job)
            world.run(0.25)
        if trouble:
            mine = [worker for worker in holders(world, job) or busy(world)]
            MACHINE_TROUBLES[trouble](world, mine[0])
        world.state.outage(True, world.now)
        if after == "restart":
            world.kill(others[0], back_after=rng.choice([0.2, 6.0]))
        elif after == "cut":
            world.isolate(others[0], "state", *(x for x in world.node_names if x != others[0]))
        elif after == "cloud":
            world.cloud_down = True
        keep_asking(world, [job], 1.4 * world.cancel_s)
        assert not world.broken, (seed, world.broken[:3])
        world.state.refused_nodes.clear()
        world.state.outage(False, world.now)
        world.cloud_down = False
        world.heal()
        for worker in world.workers.values():
            worker.deaf = worker.mute = False
        assert world.cancel(job) == "cancelled"
        assert world.finish(kept, 200.0)
        world.run(world.cancel_s)
        assert not world.unanswered()
        assert not world.broken, (seed, world.broken[:3])


def test_the_gap_leaves_other_running_work_where_it_is() -> None:
    world = warm(4010)
    kept = world.submit(spec(1, team="blue", task_count=9, estimated_run_s=60.0))
    gone = world.submit(spec(2, task_count=9, estimated_run_s=300.0))
    world.run(16.0)
    name = leader(world, gone)
    running = {(j, i): (m, a) for _, j, i, m, a in world.starts if j == kept}
    assert len(running) == 9
    world.state.refused_nodes.add(name)
    world.run(0.3)
    told = False
    world.cancel_asked.add(gone)
    for _ in range(6):
        outs = [world.ask(x, "cancel", gone) for x in world.node_names if x != name]
        world.run(0.25)
        told = told or any(o and o[0].status == 200 for o in outs)
    # The refused owner is reached by its peers, so nobody has to wait.
    assert told
    world.state.outage(True, world.now)
    world.run(3.0)
    assert not holders(world, gone)
    keep_asking(world, [gone], 1.2 * world.cancel_s, cancel=False)
    world.state.outage(False, world.now)
    world.state.refused_nodes.clear()
    assert world.finish(kept, 100.0)
    # Nothing of it was lost: each task started once.
    assert {(j, i): (m, a) for _, j, i, m, a in world.starts if j == kept} == running
    assert sum(j == kept for _, j, *_ in world.starts) == 9
    assert not world.broken


def test_a_cancel_that_only_its_giver_knows_comes_with_the_promise() -> None:
    """The owner is refused by the state service and not reached by the one that commits; what it
    then acts on, promises, brings the entry.
    """
    world = warm(4021)
    job = world.submit(spec(1, task_count=12, estimated_run_s=300.0))
    world.run(16.0)
    name = min(part_owners(world, job) - {manager(world, job)})
    others = [x for x in world.node_names if x != name]
    world.state.refused_nodes.add(name)
    for x in others:
        world.isolate(name, x)
    world.cancel_asked.add(job)
    for _ in range(5):
        outs = [world.ask(x, what, job) for x in others for what in ("cancel", "query")]
        committed = bool(world.state.data[keys.JOBS + job][0][3])
        world.run(0.3)
        # The owner may act, and nobody could tell it: nothing is told, and from the entry on
        # not "running" either.
        assert all(not o or o[0].state != "cancelled" for o in outs)
        assert not committed or all(not o or o[0].status == 503 for o in outs)
    assert committed
    world.state.outage(True, world.now)
    world.heal()
    controller = world.cores[name]
    assert controller is not None
    # While it acts on, it does so with the entry, though nobody asks it to apply it.
    world.lost = {"apply", "confirmed", "entries"}
    world.run(1.2 * world.cancel_s)
    assert controller.leadership.led_shards() and not holders(world, job)
    assert not world.broken
    world.state.outage(False, world.now)
    world.state.refused_nodes.clear()
    assert world.cancel(job) == "cancelled"
    assert not world.broken


def test_a_manager_without_a_slice_is_waited_for_too() -> None:
    """It is left with its users and workers, and would go on telling that the job runs."""
    world = warm(4030)
    n = 0
    while True:
        n += 1
        job = world.submit(spec(n, kind="gang", task_count=2, estimated_run_s=300.0))
        assert world.until(lambda j=job: bool(holders(world, j)), 40.0)
        name = manager(world, job)
        if name not in part_owners(world, job):
            break
    assert n < 12
    others = [x for x in world.node_names if x != name]
    world.isolate(name, "state", *others)
    world.cancel_asked.add(job)
    asked = world.now
    told: list[Any] = []
    while world.now < asked + world.cancel_s and not any(r.status == 200 for o in told for r in o):
        told += [world.ask(x, "cancel", job) for x in others]
        running = world.ask(name, "query", job)
        world.run(0.5)
        assert not world.broken
    assert any(r.state == "cancelled" for o in told for r in o)
    assert not running or running[0].status == 503
    keep_asking(world, [job], world.lease_s)
    assert not world.broken
