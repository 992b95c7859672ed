"""What users are told about jobs that depend on a cancelled one."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.job_status import JobStatus, Proof, ProvenStatus
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, Lane
from marblestair.core.state import keys
from tests.core.jobs.pipelines import (
    all_cancelled,
    cancelled_with_ends_held_back,
    hold_ends_back,
    list_of,
    poll_all,
    submit_chain_managed_apart,
)
from tests.fakes.deployment import spec
from tests.helpers import manager, running, warm


@pytest.mark.parametrize("falls", ["", "n0", "n1"])
def test_a_far_descendant_is_not_called_queued_once_the_job_between_is_over(falls: str) -> None:
    """The manager of a grandchild loses its peers and the state service during a cancel.

    It acts on promises afterwards. The job between ends first, and its record with it; the cancel
    may still not be told before the grandchild's manager has it or can act no more.
    """
    world = warm()
    chain = submit_chain_managed_apart(world)
    world.run(2.0)
    world.isolate("n2", "n0", "n1")
    world.state.refused_nodes.add("n2")
    world.cancel_asked.add(chain[0].id)
    world.ask("n0", "cancel", chain[0].id)
    world.run(0.25)
    if falls:
        world.kill(falls, 0.1)
    for _ in range(5):
        world.run(0.4)
        world.ask("n0", "cancel", chain[0].id)
    world.state.outage(True, world.now)
    world.heal()
    poll_all(world, chain[2:], 2.0 * world.cancel_s)
    world.state.refused_nodes.clear()
    world.calm()
    assert world.cancel(chain[0].id) == "cancelled"
    assert all_cancelled(world, chain, world.cancel_s)
    assert world.broken == []


def test_a_read_that_the_end_of_a_waiting_job_overtakes_does_not_call_it_queued() -> None:
    """What the read found is older than the view by the time at which it arrives."""
    world = warm()
    child, other = cancelled_with_ends_held_back(world)
    world.lost |= {"query", "ended"}
    world.answer_late = lambda node, call: (
        0.9
        if node == other and isinstance(call, Get) and call.key == keys.JOBS + child.id
        else None
    )
    world.late = lambda _node, _commit: None
    for _ in range(20):
        world.ask(other, "query", child.id)
        world.run(0.1)
    world.run(2.0)
    assert keys.JOBS + child.id not in world.state.data
    world.answer_late = lambda _node, _call: None
    assert world.state_of(child.id, other) == "cancelled"
    assert world.broken == []


def test_what_waits_for_a_cancelled_job_is_told_so_before_its_end_is_written() -> None:
    world = warm()
    child, _ = cancelled_with_ends_held_back(world)
    for name in world.node_names:
        assert world.state_of(child.id, name) == "cancelled"
    assert world.cancel(child.id) == "cancelled"
    for name in world.node_names:
        world.kill(name, 0.5)
    world.run(12.0)
    assert world.until(lambda: world.state_of(child.id) == "cancelled", 20.0)
    assert world.broken == []


def test_it_is_not_told_so_while_another_node_may_still_call_it_queued() -> None:
    """By a fresh read, with a view that is younger than a worker's lease."""
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=100.0)
    child = spec(2, depends_on=[parent.id])
    world.submit(parent)
    world.submit(child)
    world.run(1.0)
    hold_ends_back(world)
    late = next(name for name in world.node_names if name != manager(world, child.id))
    world.watch_lag[late] = 0.7 * world.lease_s
    world.lost |= {"query", "confirmed"}
    assert world.cancel(parent.id) == "cancelled"
    until = world.now + 2.0 * world.lease_s
    while world.now < until:
        for name in world.node_names:
            world.ask(name, "query", child.id)
        world.run(0.2)
    assert world.told[child.id] == "cancelled"
    assert world.broken == []


def test_the_end_of_a_descendant_goes_ahead_of_progress_once_it_is_due() -> None:
    """However much else there is to write, users are told of it within cancel_s."""
    world = warm()
    lanes: list[tuple[float, int]] = []

    def note(what: str, _node: str, call: Any) -> None:
        if what == "call" and isinstance(call, CompareAndSwap):
            if any(put.key == keys.FINALS + "job-000002" for put in call.puts):
                lanes.append((world.now, call.lane))

    world.on_point = note
    cancelled_with_ends_held_back(world)
    told = world.cancel_told["job-000001"]
    assert lanes[0][1] == Lane.PROGRESS
    due = [at - told for at, lane in lanes if lane == Lane.FINAL_STATE]
    assert 0.1 * world.cancel_s < due[0] < 0.3 * world.cancel_s
    assert all(lane == Lane.FINAL_STATE for at, lane in lanes if at > told + due[0])
    assert world.broken == []


def test_no_node_calls_a_job_queued_that_it_knows_to_wait_for_a_cancelled_one() -> None:
    """Also when another node still does, by an older view."""
    world = warm()
    child, other = cancelled_with_ends_held_back(world, 0.1)
    controller = running(world, other)
    queued = ProvenStatus(JobStatus(JobState.QUEUED, 0, 0), Proof.PEER)
    assert controller.answers.answerable_status(child.id, queued) is None


def test_who_reads_a_waiting_job_looks_for_the_ends_of_all_its_ancestors() -> None:
    """The parent is found alive by a read, and its own parent is over and was cancelled."""
    world = warm()
    first, second, third = (spec(n, depends_on=[f"job-{n - 1:06d}"][: n - 1]) for n in (1, 2, 3))
    version = world.state.rev + 1000
    world.state.data[keys.FINALS + first.id] = ("cancelled", version, None)
    for job in (second, third):
        record = [list_of(job), 0, {"0": [[0, 6]]}, []]
        world.state.data[keys.JOBS + job.id] = (record, version, None)
    world.specs |= {job.id: job for job in (first, second, third)}
    world.lost.add("query")
    for name in world.node_names:
        assert world.state_of(third.id, name) != "queued"
