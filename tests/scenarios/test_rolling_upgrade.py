"""The version in production and the present one side by side, on each other's data."""

from __future__ import annotations

import itertools
import random
from typing import Any

import msgspec
import pytest

from marblestair.core.controller import Controller
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.state import keys
from tests.core.jobs.pipelines import all_cancelled, all_done, submit_pipeline
from tests.fakes import production
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import manager, owner

#: the state service's limits in the tests here, and those that it will have
LIMITS: dict[str, Any] = dict(rps=100.0, write_rps=40.0, value_kb=4.0, txn_ops=12)


LATER: dict[str, Any] = dict(value_kb=2.0, txn_ops=4, write_rps=30.0)


def old_world(seed: int = 1, nodes: int = 3) -> World:
    """A deployment of the version in production that has begun."""
    world = World(seed, nodes, in_production=True, state={**LIMITS, "next": LATER})
    world.run(4.0)
    return world


def upgrade_all(world: World, order: list[str], pause_s: float = 6.0, back_s: float = 1.0) -> None:
    for name in order:
        world.upgrade(name, back_s)
        world.run(pause_s)


def submit_mixed(world: World, first: int) -> list[JobSpec]:
    """An array over all parts, a gang, and some small jobs."""
    jobs = [
        spec(first, task_count=30, estimated_run_s=4.0),
        spec(first + 1, kind="gang", task_count=3, estimated_run_s=8.0, team="blue"),
        spec(
            first + 2,
            task_count=2,
            estimated_run_s=25.0,
            checkpoint_interval_s=5.0,
            checkpoint_save_s=1.0,
        ),
        spec(first + 3, task_count=1, estimated_run_s=1.0),
    ]
    for job in jobs:
        world.submit(job)
    return jobs


def test_new_messages_are_nothing_to_production() -> None:
    world = old_world()
    world.run(1.0)
    controller = world.cores["n0"]
    assert controller is not None
    before = dict(controller.view.jobs)
    controller.receive_message("n1", "ended", ["job-000001", "done"])
    controller.receive_message("n1", "record", ["job-000001", [], 5])
    assert controller.view.jobs == before
    assert not [line.text for line in controller.context.outbox.log_lines if line.level == "error"]


def test_the_version_in_production_is_another_than_the_present_one() -> None:
    world = old_world()
    controller = world.cores["n0"]
    assert isinstance(controller, production.ProductionController)
    assert type(controller.core) is not Controller
    assert not hasattr(controller.core, "dependencies")


def test_a_history_without_the_version_in_production_is_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(production, "commit", lambda: "0" * 40)
    with pytest.raises(production.HistoryError):
        production.Production()


@pytest.mark.parametrize("order", list(itertools.permutations(["n0", "n1", "n2"])))
def test_nodes_are_replaced_one_after_the_other_in_each_order(order: tuple[str, ...]) -> None:
    world = old_world(sum(k * 10**i for i, k in enumerate(map(int, (n[1] for n in order)))))
    jobs = submit_mixed(world, 1)
    for k, name in enumerate(order):
        world.upgrade(name, 1.0)
        world.run(2.0)
        jobs += submit_mixed(world, 10 * (k + 1))
        world.run(6.0)
    # All are new: only now are pipelines submitted, and the state service lowers its limits.
    pipeline = submit_pipeline(world, 100)
    world.limit_state(LATER)
    assert all_done(world, jobs + pipeline, 150.0)
    assert world.state.refused == []
    assert world.broken == []


@pytest.mark.parametrize("seed", range(8))
def test_replacement_amid_drawn_troubles(seed: int) -> None:
    """A few at a time; what dies before its turn is production again."""
    rng = random.Random(seed)
    world = old_world(seed, rng.choice([3, 5]))
    world.lose_answers = rng.choice([0.0, 0.05])
    world.late_commits = rng.choice([0.0, 0.03])
    world.copies = rng.choice([0.0, 0.1])
    jobs = submit_mixed(world, 1)
    order = list(world.node_names)
    rng.shuffle(order)
    first = 10
    while order:
        if len(order) > 1 and rng.random() < 0.4:
            # It comes back as what it was.
            world.kill(order[-1], rng.choice([0.2, 4.0]))
        if rng.random() < 0.3:
            world.state.outage(True, world.now)
            world.at(rng.uniform(2.0, 15.0), lambda: world.state.outage(False, world.now))
        for name in [order.pop(0) for _ in range(min(len(order), rng.choice([1, 2])))]:
            world.upgrade(name, rng.choice([0.3, 3.0]))
        jobs += submit_mixed(world, first)
        first += 10
        if rng.random() < 0.5:
            world.at(rng.uniform(0.0, 5.0), lambda j=rng.choice(jobs).id: cancel_once(world, j))
        world.run(rng.uniform(3.0, 15.0))
    world.run(8.0)
    world.limit_state(LATER)
    jobs += submit_pipeline(world, 200)
    world.calm()
    for job in jobs:
        ends = ("done", "cancelled") if job.id in world.cancel_asked else ("done",)
        assert world.until(lambda j=job.id, e=ends: world.state_of(j) in e, 150.0), job.id
    assert world.state.refused == []
    assert world.broken == []


def cancel_once(world: World, job: str) -> None:
    world.cancel_asked.add(job)
    up = [name for name in world.node_names if world.cores[name] is not None]
    if up:
        world.ask(up[0], "cancel", job)


def mixed_world(seed: int = 1) -> World:
    """One node of three is new."""
    world = old_world(seed)
    world.upgrade("n1", 0.5)
    world.run(12.0)
    assert {owner(world, shard_id) for shard_id in range(3)} == {"n0", "n1", "n2"}
    return world


@pytest.mark.parametrize("victim", ["n0", "n1"])
def test_a_takeover_by_the_other_version(victim: str) -> None:
    world = mixed_world()
    jobs = submit_mixed(world, 1)
    world.run(4.0)
    others = [
        name for name in world.node_names if name not in (victim, "n1" if victim == "n0" else "")
    ]
    # The only node left in reach is of the other version.
    gone = others[-1] if victim == "n1" else "n2"
    world.kill(victim)
    world.kill(gone)
    world.run(20.0)
    left = next(name for name in world.node_names if name not in (victim, gone))
    assert (left in world.old_nodes) != (victim in world.old_nodes)
    assert {owner(world, shard_id) for shard_id in range(3)} == {left}
    for name in (victim, gone):
        world.start_node(name)
    assert all_done(world, jobs, 150.0)
    assert world.broken == []


@pytest.mark.parametrize("asked", ["n0", "n1"])
def test_a_cancel_confirmed_by_one_version_for_tasks_that_the_other_runs(asked: str) -> None:
    world = mixed_world()
    job = world.submit(spec(1, task_count=24, estimated_run_s=60.0))
    world.run(12.0)
    slices = world.state.data[keys.JOBS + job][0][2]
    assert {owner(world, int(part)) for part in slices} == {"n0", "n1", "n2"}
    world.cancel_asked.add(job)
    world.until(lambda: any(r.status == 200 for r in world.ask(asked, "cancel", job)), 20.0)
    assert world.until(lambda: world.state_of(job) == "cancelled", world.cancel_s)
    world.run(world.cancel_s + 2.0)
    assert not [worker for worker in world.workers.values() if worker.live]
    assert world.broken == []


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_between_versions_carry_tasks_through_an_outage(seed: int) -> None:
    world = mixed_world(seed)
    jobs = [spec(n, task_count=6, estimated_run_s=40.0) for n in (1, 2)]
    for job in jobs:
        world.submit(job)
    world.run(12.0)
    starts = len(world.starts)
    world.state.outage(True, world.now)
    world.run(1.5 * world.lease_s)
    # The lease of a worker is over by now, had nobody acted on promises.
    acting = [name for name in world.node_names if world.cores[name].leadership.led_shards()]  # type: ignore[union-attr]
    assert acting == world.node_names
    world.state.outage(False, world.now)
    assert all_done(world, jobs, 150.0)
    again = [start[1:3] for start in world.starts[:starts]]
    assert len(set(again)) == len(again)
    assert world.broken == []


def test_slices_migrate_between_versions() -> None:
    world = mixed_world()
    job = world.submit(spec(1, task_count=60, estimated_run_s=6.0))
    done = 0
    world.until(
        lambda: (
            sum(controller.slice_migrations.completed_count for controller in world.cores.values())
            > 2
        ),
        60.0,
    )  # type: ignore[union-attr]
    done = sum(controller.slice_migrations.completed_count for controller in world.cores.values())  # type: ignore[union-attr]
    assert done > 0
    assert world.finish(job, 200.0)
    assert world.broken == []


def test_cancels_of_pipelines_on_records_that_production_wrote() -> None:
    """Parents accepted by production, children by the present version."""
    world = old_world()
    parent = spec(1, task_count=2, estimated_run_s=120.0)
    world.submit(parent)
    upgrade_all(world, world.node_names)
    child = spec(2, depends_on=[parent.id])
    world.submit(child)
    assert manager(world, child.id)
    assert world.cancel(parent.id) == "cancelled"
    assert all_cancelled(world, [child], world.cancel_s)
    assert world.broken == []


def test_what_was_kept_under_larger_limits_is_read_and_rewritten_smaller() -> None:
    world = old_world()
    types = ["t4", "t8", *(f"type-{n}-{'x' * 30}" for n in range(52))]
    jobs = [spec(n, task_count=3, estimated_run_s=25.0, machine_types=types) for n in (1, 2)]
    for job in jobs:
        world.submit(job)
    upgrade_all(world, world.node_names)
    world.limit_state(LATER)
    kept = world.state.data[keys.JOBS + jobs[0].id][0]
    assert len(msgspec.msgpack.encode(kept)) > world.state.value_limit
    assert world.cancel(jobs[0].id) == "cancelled"
    assert world.finish(jobs[1].id, 90.0)
    assert all_cancelled(world, jobs[:1], world.cancel_s)
    assert world.state.refused == []
    assert world.broken == []
