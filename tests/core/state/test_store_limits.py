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
from tests.core.jobs.pipelines import submit_all, submit_once, wait_until_all_done
from tests.fakes.samples import (
    STORE_LIMITS_LATER,
    STORE_LIMITS_NOW,
    job_spec,
    node_settings,
    raw_node_settings,
)
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import START_UP_S, led_shards, manager_of, start_deployment


@pytest.mark.parametrize(
    ("later", "expected"),
    [
        pytest.param({}, STORE_LIMITS_NOW, id="empty"),
        pytest.param(STORE_LIMITS_NOW, STORE_LIMITS_NOW, id="equal"),
        pytest.param(STORE_LIMITS_LATER, {**STORE_LIMITS_NOW, **STORE_LIMITS_LATER}, id="smaller"),
        pytest.param(dict(txn_ops=4), {**STORE_LIMITS_NOW, "txn_ops": 4}, id="partial"),
        pytest.param(
            dict(rps=50.0, value_kb=64.0, other=1), {**STORE_LIMITS_NOW, "rps": 50.0}, id="mixed"
        ),
        pytest.param(
            dict(rps=900.0, write_rps=900.0, value_kb=64.0, txn_ops=99),
            STORE_LIMITS_NOW,
            id="larger",
        ),
    ],
)
def test_the_smaller_of_each_two_limits_holds_from_the_start(
    later: dict[str, Any], expected: dict[str, Any]
) -> None:
    limits = node_settings(0, state={**STORE_LIMITS_NOW, "next": later}).cluster.state
    assert limits == st.StateLimits(**expected)


def test_settings_without_later_limits_have_the_present_ones() -> None:
    assert node_settings(0, state=STORE_LIMITS_NOW).cluster.state == st.StateLimits(
        **STORE_LIMITS_NOW
    )


@pytest.mark.parametrize(
    ("later", "name"),
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
    raw_settings = raw_node_settings(0, state={**STORE_LIMITS_NOW, "next": later})
    with pytest.raises(st.SettingsError, match=name.replace(".", r"\.")):
        st.parse(raw_settings)


def test_the_budget_of_a_node_obeys_the_smaller_rates() -> None:
    later = dict(rps=60.0, write_rps=30.0)
    node = Node(node_settings(0, state={**STORE_LIMITS_NOW, "next": later}), Policy())
    assert node.request_executor.store_rate_limiter.write_rps <= 30.0 / 3
    assert node.request_executor.store_rate_limiter.rps <= 60.0 / 3


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_refused_when_the_limits_come_at_a_drawn_moment(seed: int) -> None:
    """Many jobs, wide jobs, large descriptions, and long lists of dependencies."""
    rng = random.Random(seed)
    deployment = SimulatedDeployment(
        seed, 3, state={**STORE_LIMITS_NOW, "next": STORE_LIMITS_LATER}
    )
    deployment.cloud.capacity = 24
    deployment.run(START_UP_S)
    deployment.schedule(
        rng.uniform(0.0, 30.0), lambda: deployment.store.set_limits(STORE_LIMITS_LATER)
    )
    types = ["t4", "t8", *(f"type-{number}-{'x' * 20}" for number in range(25))]
    specs = [
        *(job_spec(number, task_count=1, estimated_run_s=1.0) for number in range(100, 130)),
        job_spec(1, task_count=400, estimated_run_s=1.5),
        job_spec(2, task_count=300, estimated_run_s=1.0, machine_types=types),
    ]
    specs.append(job_spec(3, task_count=1, depends_on=[spec.id for spec in specs]))
    submit_all(deployment, *specs)
    assert wait_until_all_done(deployment, specs, 400.0)
    deployment.run(10.0)
    assert not deployment.store.keys_with_prefix(keys.JOBS)
    assert not deployment.store.oversized_commits
    assert not deployment.rules.violations


def test_a_commit_that_is_refused_is_counted_and_logged_as_a_defect() -> None:
    controller = start_deployment(1).nodes.controller("n0")
    rejected_writes, log_lines = controller.rejected_writes, controller.context.outbox.log_lines
    rejected_writes.record(CompareAndSwap([], [Put("main/w/node/n0", 1, lease_id=5)]))
    assert controller.status_report.collect()["refused_commits"] == 0
    rejected_writes.record(CompareAndSwap([], [Put("main/w/job/job-1", "x" * 100)]))
    assert controller.status_report.collect()["refused_commits"] == 1
    levels = [line.level for line in log_lines if "main/w/job/job-1" in line.text]
    assert levels == ["error"]


def test_a_refused_change_of_a_record_is_not_repeated_at_once() -> None:
    deployment = start_deployment(1)
    job = deployment.users.submit(job_spec(1, task_count=1, estimated_run_s=60.0))
    deployment.store.set_limits(dict(value_kb=0.1))
    deployment.users.request(manager_of(deployment, job), "cancel", job)
    deployment.run(10.0)
    assert 1 <= len(deployment.store.oversized_commits) <= 4


def migrate_small_ranges(deployment: SimulatedDeployment, job: str) -> None:
    """Migrate single tasks out of the middle of a slice, as long as the leader does it."""
    controller, shard = next(pair for pair in led_shards(deployment) if job in pair[1].slices)
    migrations = controller.scheduling_services.slice_migrations
    target = next(shard_id for shard_id in range(3) if shard_id != shard.shard_id)
    for _ in range(150):
        job_slice = shard.slices.get(job)
        if job_slice is None or len(job_slice.pending) < 10:
            break
        if job_slice.migrating_ranges:
            deployment.run(0.5)
            continue
        start, end = max(job_slice.pending.items, key=lambda item: item[1] - item[0])
        deployment.nodes.set_time(controller)
        if end - start > 1 and migrations.active_count < 4:
            migrations.start(shard, job_slice, [[start + 1, start + 2]], target)
        deployment.nodes.flush(controller.context.node)
        deployment.run(0.6)


def test_no_record_outgrows_a_value() -> None:
    deployment = start_deployment(
        10, state=dict(rps=100.0, write_rps=40.0, value_kb=0.5, txn_ops=8)
    )
    # A description that leaves no space for the slices is refused for good, at every node.
    types = [f"type-{number:04d}-{'x' * 20}" for number in range(40)]
    spec = job_spec(1, machine_types=[*types, "t8"])
    for name in deployment.nodes.names:
        reply = submit_once(deployment, name, spec)
        assert reply.status == 422
        assert "larger" in reply.error
    # Slices that go to and fro in small ranges stop before the record is too large.
    deployment.cloud.capacity = 1
    job = deployment.users.submit(job_spec(2, task_count=400, estimated_run_s=30.0))
    migrate_small_ranges(deployment, job)
    assert not deployment.store.oversized_commits
    assert deployment.store.largest_value_bytes <= 512
    deployment.cloud.capacity = 12
    assert deployment.users.wait_until_done(job, 1500.0)
    assert not deployment.rules.violations
