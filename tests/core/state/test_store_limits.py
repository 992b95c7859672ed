"""The limits of the store, now and later: nothing is written beyond the smaller ones."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest

from marblestair import settings as st
from marblestair.core.runtime.store_requests import CompareAndSwap, Put
from marblestair.core.state import keys
from marblestair.node import Node
from marblestair.policy import Policy
from tests.fakes.deployment import raw_settings, settings, spec
from tests.fakes.world import World
from tests.helpers import manager


def test_no_record_outgrows_a_value() -> None:
    state = dict(rps=100.0, write_rps=40.0, value_kb=0.5, txn_ops=8)
    world = World(10, state=state)
    world.run(4.0)
    # A description that leaves no room for the slices is refused for good, on every node.
    long = spec(1, machine_types=[f"type-{i:04d}-{'x' * 20}" for i in range(40)] + ["t8"])
    world.specs[long.id] = long
    for x in world.node_names:
        out = world.ask(x, "submit", long)
        assert world.until(lambda o=out: bool(o), 5.0)
        assert out[0].status == 422 and "larger" in out[0].error
    # Slices that go to and fro in small ranges stop before the record is too large.
    world.capacity = 1
    job = world.submit(spec(2, task_count=400, estimated_run_s=30.0))
    core, part = next(
        (c, p)
        for c in world.cores.values()
        if c
        for p in c.leadership.led_shards()
        if job in p.slices
    )
    target = next(i for i in range(3) if i != part.shard_id)
    for _ in range(150):
        job_slice = part.slices.get(job)
        if job_slice is None or len(job_slice.pending) < 10:
            break
        if job_slice.migrating_ranges:
            world.run(0.5)
            continue
        a, b = max(job_slice.pending.items, key=lambda r: r[1] - r[0])
        world.set_time(core)
        if b - a > 1 and core.slice_migrations.active_count < 4:
            core.slice_migrations.start(part, job_slice, [[a + 1, a + 2]], target)
        world.flush(core.context.node)
        world.run(0.6)
    assert not world.state.refused and world.state.largest <= 512
    world.capacity = 12
    assert world.finish(job, 1500.0)
    assert not world.broken


NOW: dict[str, Any] = dict(rps=100.0, write_rps=40.0, value_kb=4.0, txn_ops=12)


LATER: dict[str, Any] = dict(value_kb=2.0, txn_ops=4, write_rps=30.0)


def limits(later: Any) -> st.StateLimits:
    return settings(0, state={**NOW, "next": later}).cluster.state


@pytest.mark.parametrize(
    "later, expected",
    [
        ({}, NOW),
        (NOW, NOW),
        (LATER, {**NOW, **LATER}),
        (dict(txn_ops=4), {**NOW, "txn_ops": 4}),
        (dict(rps=50.0, value_kb=64.0, other=1), {**NOW, "rps": 50.0}),
        (dict(rps=900.0, write_rps=900.0, value_kb=64.0, txn_ops=99), NOW),
    ],
    ids=["empty", "equal", "smaller", "partial", "mixed", "larger"],
)
def test_the_smaller_of_each_pair_holds_from_the_start(
    later: dict[str, Any], expected: dict[str, Any]
) -> None:
    assert limits(later) == st.StateLimits(**expected)


def test_settings_without_next_are_as_before() -> None:
    assert settings(0, state=NOW).cluster.state == st.StateLimits(**NOW)


@pytest.mark.parametrize(
    "later, name",
    [
        (5, "cluster.state.next"),
        (dict(value_kb="2"), "cluster.state.next.value_kb"),
        (dict(value_kb=0.0), "cluster.state.next.value_kb"),
        (dict(write_rps=-1.0), "cluster.state.next.write_rps"),
        (dict(rps=math.nan), "cluster.state.next.rps"),
        (dict(txn_ops=2), "cluster.state.next.txn_ops"),
        (dict(txn_ops=1.5), "cluster.state.next.txn_ops"),
        (dict(value_kb=0.1), "cluster.state.next.value_kb"),
    ],
)
def test_limits_that_cannot_work_are_refused_by_name(later: Any, name: str) -> None:
    with pytest.raises(st.SettingsError, match=name.replace(".", r"\.")):
        st.parse(raw_settings(0, state={**NOW, "next": later}))


def test_the_budget_of_a_node_keeps_to_the_smaller_rates() -> None:
    node = Node(settings(0, state={**NOW, "next": dict(rps=60.0, write_rps=30.0)}), Policy())
    assert node.outside.store_budget.write_rps <= 30.0 / 3
    assert node.outside.store_budget.rps <= 60.0 / 3


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_refused_when_the_limits_come_at_a_drawn_moment(seed: int) -> None:
    """Many jobs, wide jobs, large descriptions, and long lists of awaited jobs."""
    rng = random.Random(seed)
    world = World(seed, 3, state={**NOW, "next": LATER})
    world.capacity = 24
    world.run(4.0)
    world.at(rng.uniform(0.0, 30.0), lambda: world.limit_state(LATER))
    types = ["t4", "t8", *(f"type-{n}-{'x' * 20}" for n in range(25))]
    many = [spec(n, task_count=1, estimated_run_s=1.0) for n in range(100, 130)]
    wide = [
        spec(1, task_count=400, estimated_run_s=1.5),
        spec(2, task_count=300, estimated_run_s=1.0, machine_types=types),
    ]
    jobs = many + wide
    for job in jobs:
        world.submit(job)
    jobs.append(spec(3, task_count=1, depends_on=[job.id for job in jobs]))
    world.submit(jobs[-1])
    for job in jobs:
        assert world.finish(job.id, 400.0), job.id
    world.run(10.0)
    assert not [k for k in world.state.data if k.startswith(keys.JOBS)]
    assert world.state.refused == []
    assert world.broken == []


def test_a_commit_that_is_refused_is_counted_and_logged_as_a_defect() -> None:
    world = World(1)
    world.run(4.0)
    controller = world.cores["n0"]
    assert controller is not None
    controller.rejected_writes.record(CompareAndSwap([], [Put("main/w/node/n0", 1, lease_id=5)]))
    assert controller.status_report.collect()["refused_commits"] == 0
    controller.rejected_writes.record(CompareAndSwap([], [Put("main/w/job/job-1", "x" * 100)]))
    assert controller.status_report.collect()["refused_commits"] == 1
    assert [
        line.level
        for line in controller.context.outbox.log_lines
        if "main/w/job/job-1" in line.text
    ] == ["error"]
    controller.context.outbox.log_lines.clear()


def test_a_refused_change_of_a_record_is_not_repeated_at_once() -> None:
    world = World(1)
    world.run(4.0)
    job = world.submit(spec(1, task_count=1, estimated_run_s=60.0))
    world.limit_state(dict(value_kb=0.1))
    world.cancel_asked.add(job)
    world.ask(manager(world, job), "cancel", job)
    world.run(10.0)
    assert 1 <= len(world.state.refused) <= 4
