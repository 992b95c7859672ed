"""An answer never goes back: what users are told while commits, reads and watches are late."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.job_status import JobStatus
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, KeyChange, StoreResponse
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import manager, owner, running, warm


def ask_everywhere(world: World, job: str, seconds: float, every: float = 0.05) -> None:
    """Users ask for a job's state at every node, again and again."""
    end = world.now + seconds
    while world.now < end:
        for name in world.node_names:
            if world.cores[name] is not None:
                world.ask(name, "query", job)
        world.run(every)


def ends(call: Any, job: str) -> bool:
    """Whether a call of the state service commits a job's final state."""
    return isinstance(call, CompareAndSwap) and keys.JOBS + job in call.deletes


def reads(call: Any, job: str) -> bool:
    """Whether a call of the state service reads a job's record."""
    return isinstance(call, Get) and call.key == keys.JOBS + job


@pytest.mark.parametrize("delay", [0.3, 0.9, 60.0])
@pytest.mark.parametrize("cancelled", [False, True])
def test_a_final_state_on_its_way_is_not_told_to_be_otherwise(
    delay: float, cancelled: bool
) -> None:
    # The end is committed at once. The other nodes find it by their watch, while the answer to
    # the manager is still on its way or lost.
    world = warm(11)
    job = world.submit(spec(1, task_count=3, estimated_run_s=3.0))
    world.watch_lag[manager(world, job)] = 1.0
    world.answer_late = lambda node, call: delay if ends(call, job) else None
    if cancelled:
        world.run(12.0)
        world.cancel_asked.add(job)
        world.ask(manager(world, job), "cancel", job)
    ask_everywhere(world, job, 30.0)
    assert not world.broken, world.broken[:3]
    assert job in world.final_told


def only_node_left(world: World, name: str, shard_id: int) -> None:
    """All the other nodes end for good, and this one takes their parts."""
    for other in world.node_names:
        if other != name:
            world.kill(other)
    assert world.until(lambda: owner(world, shard_id) == name, 60.0)


@pytest.mark.parametrize("cancelled", [False, True])
def test_a_late_read_does_not_bring_a_job_back_that_is_over(cancelled: bool) -> None:
    # Reads that are carried out just before the job ends, as migrations and cancels make them,
    # are answered only after the reader's watch has shown the deletion of the record.
    world = warm(12)
    job = world.submit(spec(1, task_count=3, estimated_run_s=4.0))
    world.run(6.0)
    home = manager(world, job)
    part = world.state.data[keys.JOBS + job][0][1]
    reader = next(x for x in world.node_names if x != home)
    world.answer_late = lambda node, call: 1.0 if node == reader and reads(call, job) else None
    if cancelled:
        world.cancel_asked.add(job)
        world.ask(home, "cancel", job)
    while keys.FINALS + job not in world.state.data:
        controller = running(world, reader)
        controller.context.spawn(controller.reader.refresh(job))
        world.flush(reader)
        world.run(0.1)
    assert world.until(lambda: bool(world.state_of(job, home)), 5.0)
    world.run(3.0)
    assert job not in running(world, reader).view.jobs
    # Whoever takes the manager part over answers for its jobs.
    only_node_left(world, reader, part)
    ask_everywhere(world, job, 8.0)
    assert world.state_of(job, reader) == world.final_told[job][0]
    assert not world.broken, world.broken[:3]


def test_a_late_answer_to_its_acceptance_does_not_bring_a_job_back() -> None:
    # The record is accepted, found by the watch, cancelled and buried before the node that
    # accepted it is answered. Were it taken in again, its tasks would start.
    world = warm(13)
    job = "job-000001"
    world.specs[job] = spec(1, task_count=3)
    key = keys.JOBS + job

    def accepts(call: Any) -> bool:
        return isinstance(call, CompareAndSwap) and (key, 0) in call.preconditions

    world.answer_late = lambda node, call: 1.15 if accepts(call) else None
    world.ask("n0", "submit", world.specs[job])
    assert world.until(lambda: key in world.state.data, 1.0)
    world.accepted[job] = world.now
    world.cancel_asked.add(job)
    while keys.FINALS + job not in world.state.data and world.now < 5.0:
        for name in world.node_names:
            world.ask(name, "cancel", job)
        world.run(0.02)
    assert keys.FINALS + job in world.state.data
    ask_everywhere(world, job, 6.0)
    assert all(job not in running(world, name).view.jobs for name in world.node_names)
    assert not [start for start in world.starts if start[1] == job]
    assert not world.broken, world.broken[:3]


def step_with(step: Coroutine, response: StoreResponse) -> Any:
    """Answer the one call that a step makes; what the step returns."""
    next(step)
    with pytest.raises(StopIteration) as end:
        step.send(response)
    return end.value.value


def test_a_cancelled_record_that_was_read_late_is_not_told_as_waiting() -> None:
    # Read while the cancel was confirmed already, answered after the view has passed the burial:
    # the view knows neither the record nor the entry any more.
    world = warm(14)
    job = world.submit(spec(1, task_count=3, estimated_run_s=200.0))
    controller = running(world, next(x for x in world.node_names if x != manager(world, job)))
    record, version, _ = world.state.data[keys.JOBS + job]
    cancelled = [*record[:3], [["cancel", 1]]]
    rev = world.state.rev + 2
    controller.view.apply_changes([KeyChange(keys.JOBS + job, None, rev)], rev)
    controller.view.publish_changes()
    late = StoreResponse(200, value=cancelled, version=version + 1)
    assert step_with(controller.answers.read_status(job), late) is None


def test_a_read_that_finds_no_record_is_ahead_of_the_watch() -> None:
    world = warm(17)
    job = world.submit(spec(1, task_count=3, estimated_run_s=200.0))
    controller = running(world, manager(world, job))
    record, version, _ = world.state.data[keys.JOBS + job]
    reading = controller.reader.read_record(job)
    next(reading)
    reading.send(StoreResponse(404, revision=version + 5))
    assert job not in controller.view.jobs
    # What was read or committed before that comes too late.
    controller.view.record_read(keys.JOBS + job, record, version + 4)
    controller.view.apply_changes([KeyChange(keys.JOBS + job, record, version + 3)], version + 3)
    assert job not in controller.view.jobs
    # A read that was carried out before the acceptance removes nothing either.
    controller.view.record_read(keys.JOBS + job, record, version + 6)
    step_with(controller.reader.read_record(job), StoreResponse(0))
    late = controller.reader.read_record(job)
    next(late)
    late.send(StoreResponse(404, revision=version + 5))
    assert job in controller.view.jobs


@pytest.mark.parametrize("answer", [None, 7, ["done"], ["lost", 1, 1], ["unknown", None, None]])
def test_a_malformed_answer_of_another_node_is_no_answer(answer: Any) -> None:
    world = warm(15)
    job = world.submit(spec(1, task_count=3, estimated_run_s=200.0))
    world.run(5.0)
    home = manager(world, job)
    reader = next(x for x in world.node_names if x != home)
    running(world, home).answers.status_from_memory = lambda job: answer  # type: ignore[method-assign]
    state = world.state_of(job, reader)
    # A status without its counts is one; everything else is left to a fresh read.
    assert state == ("done" if answer == ["done"] else "queued")


def test_the_owner_answers_from_memory_without_a_read() -> None:
    world = warm(16)
    job = world.submit(spec(1, task_count=3, estimated_run_s=200.0))
    world.run(12.0)
    controller = running(world, manager(world, job))
    assert controller.answers.status_from_memory(job) == JobStatus(JobState.RUNNING, 0, 3)
    assert controller.managed_jobs[job].is_record_known
