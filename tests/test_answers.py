"""An answer never goes back: what users are told while commits, reads and watches are late."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.jobs.answers import JobState, JobStatus
from marblestair.core.runtime.coroutines import Step
from marblestair.core.runtime.requests import CompareAndSwap, Get, KeyChange, StoreResponse
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import manager, owner, running, warm


def ask_everywhere(w: World, job: str, seconds: float, every: float = 0.05) -> None:
    """Users ask for a job's state at every node, again and again."""
    end = w.now + seconds
    while w.now < end:
        for name in w.node_names:
            if w.cores[name] is not None:
                w.ask(name, "query", job)
        w.run(every)


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
    w = warm(11)
    job = w.submit(spec(1, task_count=3, estimated_run_s=3.0))
    w.watch_lag[manager(w, job)] = 1.0
    w.answer_late = lambda node, call: delay if ends(call, job) else None
    if cancelled:
        w.run(12.0)
        w.cancel_asked.add(job)
        w.ask(manager(w, job), "cancel", job)
    ask_everywhere(w, job, 30.0)
    assert not w.broken, w.broken[:3]
    assert job in w.final_told


def only_node_left(w: World, name: str, part: int) -> None:
    """All the other nodes end for good, and this one takes their parts."""
    for other in w.node_names:
        if other != name:
            w.kill(other)
    assert w.until(lambda: owner(w, part) == name, 60.0)


@pytest.mark.parametrize("cancelled", [False, True])
def test_a_late_read_does_not_bring_a_job_back_that_is_over(cancelled: bool) -> None:
    # Reads that are carried out just before the job ends, as migrations and cancels make them,
    # are answered only after the reader's watch has shown the deletion of the record.
    w = warm(12)
    job = w.submit(spec(1, task_count=3, estimated_run_s=4.0))
    w.run(6.0)
    home = manager(w, job)
    part = w.state.data[keys.JOBS + job][0][1]
    reader = next(x for x in w.node_names if x != home)
    w.answer_late = lambda node, call: 1.0 if node == reader and reads(call, job) else None
    if cancelled:
        w.cancel_asked.add(job)
        w.ask(home, "cancel", job)
    while keys.FINALS + job not in w.state.data:
        core = running(w, reader)
        core.spawn(core.answers.refresh_record(job))
        w.flush(reader)
        w.run(0.1)
    assert w.until(lambda: bool(w.state_of(job, home)), 5.0)
    w.run(3.0)
    assert job not in running(w, reader).view.jobs
    # Whoever takes the manager part over answers for its jobs.
    only_node_left(w, reader, part)
    ask_everywhere(w, job, 8.0)
    assert w.state_of(job, reader) == w.final_told[job][0]
    assert not w.broken, w.broken[:3]


def test_a_late_answer_to_its_acceptance_does_not_bring_a_job_back() -> None:
    # The record is accepted, found by the watch, cancelled and buried before the node that
    # accepted it is answered. Were it taken in again, its tasks would start.
    w = warm(13)
    job = "job-000001"
    w.specs[job] = spec(1, task_count=3)
    key = keys.JOBS + job

    def accepts(call: Any) -> bool:
        return isinstance(call, CompareAndSwap) and (key, 0) in call.preconditions

    w.answer_late = lambda node, call: 1.15 if accepts(call) else None
    w.ask("n0", "submit", w.specs[job])
    assert w.until(lambda: key in w.state.data, 1.0)
    w.accepted[job] = w.now
    w.cancel_asked.add(job)
    while keys.FINALS + job not in w.state.data and w.now < 5.0:
        for name in w.node_names:
            w.ask(name, "cancel", job)
        w.run(0.02)
    assert keys.FINALS + job in w.state.data
    ask_everywhere(w, job, 6.0)
    assert all(job not in running(w, name).view.jobs for name in w.node_names)
    assert not [start for start in w.starts if start[1] == job]
    assert not w.broken, w.broken[:3]


def step_with(step: Step, result: StoreResponse) -> Any:
    """Answer the one call that a step makes; what the step returns."""
    next(step)
    with pytest.raises(StopIteration) as end:
        step.send(result)
    return end.value.value


def test_a_cancelled_record_that_was_read_late_is_not_told_as_waiting() -> None:
    # Read while the cancel was confirmed already, answered after the view has passed the burial:
    # the view knows neither the record nor the entry any more.
    w = warm(14)
    job = w.submit(spec(1, task_count=3, estimated_run_s=200.0))
    core = running(w, next(x for x in w.node_names if x != manager(w, job)))
    record, version, _ = w.state.data[keys.JOBS + job]
    cancelled = [*record[:3], [["cancel", 1]]]
    rev = w.state.rev + 2
    core.view.apply_changes([KeyChange(keys.JOBS + job, None, rev)], rev)
    core.sync()
    late = StoreResponse(200, value=cancelled, version=version + 1)
    assert step_with(core.answers.read_status(job), late) is None


def test_a_read_that_finds_no_record_is_ahead_of_the_watch() -> None:
    w = warm(17)
    job = w.submit(spec(1, task_count=3, estimated_run_s=200.0))
    core = running(w, manager(w, job))
    record, version, _ = w.state.data[keys.JOBS + job]
    reading = core.answers.read_record(job)
    next(reading)
    reading.send(StoreResponse(404, revision=version + 5))
    assert job not in core.view.jobs
    # What was read or committed before that comes too late.
    core.view.record_read(keys.JOBS + job, record, version + 4)
    core.view.apply_changes([KeyChange(keys.JOBS + job, record, version + 3)], version + 3)
    assert job not in core.view.jobs
    # A read that was carried out before the acceptance removes nothing either.
    core.view.record_read(keys.JOBS + job, record, version + 6)
    step_with(core.answers.read_record(job), StoreResponse(0))
    late = core.answers.read_record(job)
    next(late)
    late.send(StoreResponse(404, revision=version + 5))
    assert job in core.view.jobs


@pytest.mark.parametrize("answer", [None, 7, ["done"], ["lost", 1, 1], ["unknown", None, None]])
def test_a_malformed_answer_of_another_node_is_no_answer(answer: Any) -> None:
    w = warm(15)
    job = w.submit(spec(1, task_count=3, estimated_run_s=200.0))
    w.run(5.0)
    home = manager(w, job)
    reader = next(x for x in w.node_names if x != home)
    running(w, home).answers.status_from_memory = lambda job: answer  # type: ignore[method-assign]
    state = w.state_of(job, reader)
    # A status without its counts is one; everything else is left to a fresh read.
    assert state == ("done" if answer == ["done"] else "queued")


def test_the_owner_answers_from_memory_without_a_read() -> None:
    w = warm(16)
    job = w.submit(spec(1, task_count=3, estimated_run_s=200.0))
    w.run(12.0)
    core = running(w, manager(w, job))
    assert core.answers.status_from_memory(job) == JobStatus(JobState.RUNNING, 0, 3)
    assert core.job_managers.managed[job].is_record_known
