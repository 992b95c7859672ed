"""The version in production and the present one side by side, on each other's data."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from marblestair.core.controller import Controller
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.state import keys
from marblestair.core.state.records import JobRecord, MachineRecord, RentalIntent, ShardMap
from tests.fakes import production
from tests.fakes.deployment import TYPES, spec
from tests.fakes.world import World
from tests.helpers import manager, owner
from tests.test_pipelines import all_cancelled, all_done, submit_pipeline

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


# --- bytes ------------------------------------------------------------------------------------


def old(name: str, kind: str) -> Any:
    return getattr(production.load().module(name), kind)


def example_spec(kind: Any, **changes: Any) -> Any:
    job = spec(7, accepted_at=12.5, machine_types=["t4"], zone="a", deadline_s=30.0, **changes)
    values = [getattr(job, field) for field in job.__struct_fields__]
    return kind(*values[: len(kind.__struct_fields__)])


def example_record(spec_kind: Any, record_kind: Any) -> Any:
    job = example_spec(spec_kind)
    return record_kind(job, 2, {"0": [[0, 3]], "2": [[3, 6]]}, [["cancel", 1]], [0])


def example_summary(kind: Any) -> Any:
    room = ("t4", "a", False, 1, 0, 2)
    return kind(
        1,
        4,
        [room],
        [room],
        5,
        {"red": [1, 2]},
        {"red": [3, 4]},
        [("job-000001", 2, 3)],
        [("host-000001", 6)],
        [("host-000002", 1.5)],
        ["job-000002"],
        ["host-000003"],
        ["host-000004"],
        ["host-000005"],
        {"blue": [1, 0]},
        [("job-000003", 2)],
    )


def example_split(record_kind: Any, part_kind: Any) -> Any:
    return record_kind(9, [part_kind("n0", 77, 9, {"red": [5, 0]}, 8)])


#: name, module, and how the present and the production struct of each kept or sent form is made
FORMS: list[tuple[str, type, Callable[[Callable[[str, str], Any]], Any]]] = [
    (
        "job record",
        JobRecord,
        lambda find: example_record(find("core.model", "JobSpec"), find("core.model", "JobRecord")),
    ),
    (
        "split",
        ShardMap,
        lambda find: example_split(
            find("core.split", "SplitRecord"), find("core.split", "PartRecord")
        ),
    ),
    (
        "machine",
        MachineRecord,
        lambda find: find("core.split", "MachineRecord")(1, "t4", "a", True, 12.5),
    ),
    (
        "rental intent",
        RentalIntent,
        lambda find: find("core.fleet", "RentalIntent")("t4", "a", False, 3, 12.5),
    ),
    (
        "machine type",
        MachineType,
        lambda find: find("core.model", "MachineType")(
            *(getattr(TYPES[0], f) for f in TYPES[0].__struct_fields__)
        ),
    ),
    ("summary", ShardSummary, lambda find: example_summary(find("core.messages", "PartSummary"))),
]


def present(name: str, kind: str) -> Any:
    return production.present_struct(f"{name}.{kind}")


def readable(value: Any, kind: Any) -> dict[str, Any]:
    """What a decoder of plain values, as they come from outside, makes of an encoded struct."""
    decoded = msgspec.convert(msgspec.msgpack.decode(msgspec.msgpack.encode(value)), kind)
    return {f: msgspec.to_builtins(getattr(decoded, f)) for f in kind.__struct_fields__}


@pytest.mark.parametrize("name, kind, make", FORMS, ids=[form[0] for form in FORMS])
def test_each_form_is_read_by_the_other_version(name: str, kind: type, make: Any) -> None:
    written_old, written_now = make(old), make(present)
    old_kind = type(written_old)
    # Written by production, read here: nothing is lost.
    assert readable(written_old, kind) == readable(written_now, kind)
    # Written here, read by production's own decoder: the same as if it had written it.
    assert readable(written_now, old_kind) == readable(written_old, old_kind)


def test_what_production_rewrites_of_a_released_job_can_start() -> None:
    """It drops the awaited jobs, which no rule may depend on once the job is released."""
    record = JobRecord(
        spec(1, depends_on=["job-000009"]), 0, {"0": [[0, 6]]}, [["release", 1, 5.0]]
    )
    old_kind = old("core.model", "JobRecord")
    read = msgspec.convert(msgspec.to_builtins(record), old_kind)
    again = msgspec.convert(msgspec.to_builtins(read), JobRecord)
    assert not again.is_blocked and again.startable_since == 5.0
    assert not read.cancelled


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


# --- mixed deployments --------------------------------------------------------------------------


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
