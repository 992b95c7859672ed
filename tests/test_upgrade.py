"""The version in production and the present one side by side, on each other's data."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from marblestair.core.capacity.fleet import RentalIntent
from marblestair.core.controller import Controller
from marblestair.core.domain.model import JobRecord, JobSpec, MachineType
from marblestair.core.leadership.shard_map import MachineRecord, ShardMap
from marblestair.core.runtime.outbox import ShardSummary
from marblestair.core.state import keys
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
    w = World(seed, nodes, in_production=True, state={**LIMITS, "next": LATER})
    w.run(4.0)
    return w


def upgrade_all(w: World, order: list[str], pause_s: float = 6.0, back_s: float = 1.0) -> None:
    for name in order:
        w.upgrade(name, back_s)
        w.run(pause_s)


def submit_mixed(w: World, first: int) -> list[JobSpec]:
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
        w.submit(job)
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
    w = old_world()
    w.run(1.0)
    core = w.cores["n0"]
    assert core is not None
    before = dict(core.view.jobs)
    core.receive_message("n1", "ended", ["job-000001", "done"])
    core.receive_message("n1", "record", ["job-000001", [], 5])
    assert core.view.jobs == before
    assert not [text for level, text in core.log_lines if level == "error"]


def test_the_version_in_production_is_another_than_the_present_one() -> None:
    w = old_world()
    core = w.cores["n0"]
    assert isinstance(core, production.ProductionController)
    assert type(core.core) is not Controller
    assert not hasattr(core.core, "dependencies")


def test_a_history_without_the_version_in_production_is_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(production, "commit", lambda: "0" * 40)
    with pytest.raises(production.HistoryError):
        production.Production()


# --- mixed deployments --------------------------------------------------------------------------


@pytest.mark.parametrize("order", list(itertools.permutations(["n0", "n1", "n2"])))
def test_nodes_are_replaced_one_after_the_other_in_each_order(order: tuple[str, ...]) -> None:
    w = old_world(sum(k * 10**i for i, k in enumerate(map(int, (n[1] for n in order)))))
    jobs = submit_mixed(w, 1)
    for k, name in enumerate(order):
        w.upgrade(name, 1.0)
        w.run(2.0)
        jobs += submit_mixed(w, 10 * (k + 1))
        w.run(6.0)
    # All are new: only now are pipelines submitted, and the state service lowers its limits.
    pipeline = submit_pipeline(w, 100)
    w.limit_state(LATER)
    assert all_done(w, jobs + pipeline, 150.0)
    assert w.state.refused == []
    assert w.broken == []


@pytest.mark.parametrize("seed", range(8))
def test_replacement_amid_drawn_troubles(seed: int) -> None:
    """A few at a time; what dies before its turn is production again."""
    rng = random.Random(seed)
    w = old_world(seed, rng.choice([3, 5]))
    w.lose_answers = rng.choice([0.0, 0.05])
    w.late_commits = rng.choice([0.0, 0.03])
    w.copies = rng.choice([0.0, 0.1])
    jobs = submit_mixed(w, 1)
    order = list(w.node_names)
    rng.shuffle(order)
    first = 10
    while order:
        if len(order) > 1 and rng.random() < 0.4:
            # It comes back as what it was.
            w.kill(order[-1], rng.choice([0.2, 4.0]))
        if rng.random() < 0.3:
            w.state.outage(True, w.now)
            w.at(rng.uniform(2.0, 15.0), lambda: w.state.outage(False, w.now))
        for name in [order.pop(0) for _ in range(min(len(order), rng.choice([1, 2])))]:
            w.upgrade(name, rng.choice([0.3, 3.0]))
        jobs += submit_mixed(w, first)
        first += 10
        if rng.random() < 0.5:
            w.at(rng.uniform(0.0, 5.0), lambda j=rng.choice(jobs).id: cancel_once(w, j))
        w.run(rng.uniform(3.0, 15.0))
    w.run(8.0)
    w.limit_state(LATER)
    jobs += submit_pipeline(w, 200)
    w.calm()
    for job in jobs:
        ends = ("done", "cancelled") if job.id in w.cancel_asked else ("done",)
        assert w.until(lambda j=job.id, e=ends: w.state_of(j) in e, 150.0), job.id
    assert w.state.refused == []
    assert w.broken == []


def cancel_once(w: World, job: str) -> None:
    w.cancel_asked.add(job)
    up = [name for name in w.node_names if w.cores[name] is not None]
    if up:
        w.ask(up[0], "cancel", job)


def mixed_world(seed: int = 1) -> World:
    """One node of three is new."""
    w = old_world(seed)
    w.upgrade("n1", 0.5)
    w.run(12.0)
    assert {owner(w, part) for part in range(3)} == {"n0", "n1", "n2"}
    return w


@pytest.mark.parametrize("victim", ["n0", "n1"])
def test_a_takeover_by_the_other_version(victim: str) -> None:
    w = mixed_world()
    jobs = submit_mixed(w, 1)
    w.run(4.0)
    others = [name for name in w.node_names if name not in (victim, "n1" if victim == "n0" else "")]
    # The only node left in reach is of the other version.
    gone = others[-1] if victim == "n1" else "n2"
    w.kill(victim)
    w.kill(gone)
    w.run(20.0)
    left = next(name for name in w.node_names if name not in (victim, gone))
    assert (left in w.old_nodes) != (victim in w.old_nodes)
    assert {owner(w, part) for part in range(3)} == {left}
    for name in (victim, gone):
        w.start_node(name)
    assert all_done(w, jobs, 150.0)
    assert w.broken == []


@pytest.mark.parametrize("asked", ["n0", "n1"])
def test_a_cancel_confirmed_by_one_version_for_tasks_that_the_other_runs(asked: str) -> None:
    w = mixed_world()
    job = w.submit(spec(1, task_count=24, estimated_run_s=60.0))
    w.run(12.0)
    slices = w.state.data[keys.JOBS + job][0][2]
    assert {owner(w, int(part)) for part in slices} == {"n0", "n1", "n2"}
    w.cancel_asked.add(job)
    w.until(lambda: any(r.status == 200 for r in w.ask(asked, "cancel", job)), 20.0)
    assert w.until(lambda: w.state_of(job) == "cancelled", w.cancel_s)
    w.run(w.cancel_s + 2.0)
    assert not [m for m in w.workers.values() if m.live]
    assert w.broken == []


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_between_versions_carry_tasks_through_an_outage(seed: int) -> None:
    w = mixed_world(seed)
    jobs = [spec(n, task_count=6, estimated_run_s=40.0) for n in (1, 2)]
    for job in jobs:
        w.submit(job)
    w.run(12.0)
    starts = len(w.starts)
    w.state.outage(True, w.now)
    w.run(1.5 * w.lease_s)
    # The lease of a worker is over by now, had nobody acted on promises.
    acting = [name for name in w.node_names if w.cores[name].led_shards()]  # type: ignore[union-attr]
    assert acting == w.node_names
    w.state.outage(False, w.now)
    assert all_done(w, jobs, 150.0)
    again = [start[1:3] for start in w.starts[:starts]]
    assert len(set(again)) == len(again)
    assert w.broken == []


def test_slices_migrate_between_versions() -> None:
    w = mixed_world()
    job = w.submit(spec(1, task_count=60, estimated_run_s=6.0))
    done = 0
    w.until(lambda: sum(c.slice_migrations.completed_count for c in w.cores.values()) > 2, 60.0)  # type: ignore[union-attr]
    done = sum(c.slice_migrations.completed_count for c in w.cores.values())  # type: ignore[union-attr]
    assert done > 0
    assert w.finish(job, 200.0)
    assert w.broken == []


def test_cancels_of_pipelines_on_records_that_production_wrote() -> None:
    """Parents accepted by production, children by the present version."""
    w = old_world()
    parent = spec(1, task_count=2, estimated_run_s=120.0)
    w.submit(parent)
    upgrade_all(w, w.node_names)
    child = spec(2, depends_on=[parent.id])
    w.submit(child)
    assert manager(w, child.id)
    assert w.cancel(parent.id) == "cancelled"
    assert all_cancelled(w, [child], w.cancel_s)
    assert w.broken == []


def test_what_was_kept_under_larger_limits_is_read_and_rewritten_smaller() -> None:
    w = old_world()
    types = ["t4", "t8", *(f"type-{n}-{'x' * 30}" for n in range(52))]
    jobs = [spec(n, task_count=3, estimated_run_s=25.0, machine_types=types) for n in (1, 2)]
    for job in jobs:
        w.submit(job)
    upgrade_all(w, w.node_names)
    w.limit_state(LATER)
    kept = w.state.data[keys.JOBS + jobs[0].id][0]
    assert len(msgspec.msgpack.encode(kept)) > w.state.value_limit
    assert w.cancel(jobs[0].id) == "cancelled"
    assert w.finish(jobs[1].id, 90.0)
    assert all_cancelled(w, jobs[:1], w.cancel_s)
    assert w.state.refused == []
    assert w.broken == []
