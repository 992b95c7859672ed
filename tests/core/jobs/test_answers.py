"""An answer never goes back: what users are answered while commits, reads and watches are late."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.job_status import JobStatus
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, KeyChange, StoreResponse
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import leader_of, manager_of, start_deployment


def ask_everywhere(deployment: SimulatedDeployment, job: str, seconds: float) -> None:
    """Users ask for a job's state at every node, again and again."""
    end = deployment.now + seconds
    while deployment.now < end:
        for name in deployment.nodes.running_names:
            deployment.users.request(name, "query", job)
        deployment.run(0.05)


def commits_final_state(request: object, job: str) -> bool:
    """Whether a request commits a job's final state."""
    return isinstance(request, CompareAndSwap) and keys.JOBS + job in request.deletes


def reads_record(request: object, job: str) -> bool:
    """Whether a request reads a job's record."""
    return isinstance(request, Get) and request.key == keys.JOBS + job


@pytest.mark.parametrize("delay_s", [0.3, 0.9, 60.0])
@pytest.mark.parametrize("is_cancelled", [False, True])
def test_while_a_final_state_is_on_its_way_no_other_state_is_answered(
    delay_s: float, is_cancelled: bool
) -> None:
    # The end is committed at once. The other nodes find it by their watch, while the response to
    # the manager is still on its way or lost.
    deployment = start_deployment(11)
    job = deployment.users.submit(job_spec(1, task_count=3, estimated_run_s=3.0))
    manager = manager_of(deployment, job)
    deployment.store_link.watch_lag_s[manager] = 1.0
    deployment.store_link.response_delay_s = lambda _node, request: (
        delay_s if commits_final_state(request, job) else None
    )
    if is_cancelled:
        deployment.run(12.0)
        deployment.users.request(manager_of(deployment, job), "cancel", job)
    ask_everywhere(deployment, job, 30.0)
    assert not deployment.rules.violations
    assert job in deployment.rules.final_answers


def leave_only(deployment: SimulatedDeployment, name: str, shard_id: int) -> None:
    """End all other controllers for good, so that one takes their shards."""
    for other in deployment.nodes.names:
        if other != name:
            deployment.nodes.kill(other)
    assert deployment.run_until(lambda: leader_of(deployment, shard_id) == name, 60.0)


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_a_late_read_does_not_bring_a_job_back_that_is_over(is_cancelled: bool) -> None:
    # Reads that are carried out just before the job ends, as migrations and cancels make them,
    # are answered only after the reader's watch has shown the deletion of the record.
    deployment = start_deployment(12)
    users, store = deployment.users, deployment.store
    job = users.submit(job_spec(1, task_count=3, estimated_run_s=4.0))
    deployment.run(6.0)
    manager = manager_of(deployment, job)
    shard_id = store.value(keys.JOBS + job)[1]
    reader = next(name for name in deployment.nodes.names if name != manager)
    deployment.store_link.response_delay_s = lambda node, request: (
        1.0 if node == reader and reads_record(request, job) else None
    )
    if is_cancelled:
        users.request(manager, "cancel", job)
    while keys.FINAL_STATES + job not in store.data:
        controller = deployment.nodes.current(reader)
        controller.context.spawn(controller.job_services.reader.refresh(job))
        deployment.nodes.flush(reader)
        deployment.run(0.1)
    assert deployment.run_until(lambda: bool(users.state_of(job, manager)), 5.0)
    deployment.run(3.0)
    assert job not in deployment.nodes.current(reader).view.jobs
    # Whoever takes the manager's shard over answers for its jobs.
    leave_only(deployment, reader, shard_id)
    ask_everywhere(deployment, job, 8.0)
    assert users.state_of(job, reader) == deployment.rules.final_answers[job].state
    assert not deployment.rules.violations


def test_a_late_response_to_its_acceptance_does_not_bring_a_job_back() -> None:
    # The record is accepted, found by the watch, cancelled and deleted before the node that
    # accepted it gets the response. Were it recorded again, its tasks would start.
    deployment = start_deployment(13)
    spec = job_spec(1, task_count=3)
    job, key, final_key = spec.id, keys.JOBS + spec.id, keys.FINAL_STATES + spec.id
    deployment.store_link.response_delay_s = lambda _node, request: (
        1.15 if isinstance(request, CompareAndSwap) and (key, 0) in request.preconditions else None
    )
    deployment.users.request("n0", "submit", spec)
    assert deployment.run_until(lambda: key in deployment.store.data, 1.0)
    deployment.rules.accepted_at[job] = deployment.now
    while final_key not in deployment.store.data and deployment.now < 5.0:
        for name in deployment.nodes.names:
            deployment.users.request(name, "cancel", job)
        deployment.run(0.02)
    assert final_key in deployment.store.data
    ask_everywhere(deployment, job, 6.0)
    for name in deployment.nodes.names:
        assert job not in deployment.nodes.current(name).view.jobs
    assert not deployment.tasks.has_started(job)
    assert not deployment.rules.violations


def result_after(coroutine: Coroutine, response: StoreResponse) -> Any:
    """What a coroutine returns once its one request is answered."""
    next(coroutine)
    with pytest.raises(StopIteration) as end:
        coroutine.send(response)
    return end.value.value


def test_a_cancelled_record_that_was_read_late_is_not_called_queued() -> None:
    # Read while the cancel was confirmed already, answered after the view has passed the deletion:
    # the view knows neither the record nor the entry any more.
    deployment = start_deployment(14)
    job = deployment.users.submit(job_spec(1, task_count=3, estimated_run_s=200.0))
    manager = manager_of(deployment, job)
    other = next(name for name in deployment.nodes.names if name != manager)
    controller = deployment.nodes.current(other)
    record, version, _ = deployment.store.data[keys.JOBS + job]
    cancelled = [*record[:3], [["cancel", 1]]]
    revision = deployment.store.revision + 2
    controller.view.apply_changes([KeyChange(keys.JOBS + job, None, revision)], revision)
    controller.view.publish_changes()
    late = StoreResponse(200, value=cancelled, version=version + 1)
    assert result_after(controller.job_services.answers.read_status(job), late) is None


def test_a_read_that_finds_no_record_is_ahead_of_the_watch() -> None:
    deployment = start_deployment(17)
    job = deployment.users.submit(job_spec(1, task_count=3, estimated_run_s=200.0))
    controller = deployment.nodes.current(manager_of(deployment, job))
    view = controller.view
    key = keys.JOBS + job
    record, version, _ = deployment.store.data[key]
    reading = controller.job_services.reader.read_record(job)
    next(reading)
    reading.send(StoreResponse(404, revision=version + 5))
    assert job not in view.jobs
    # What was read or committed before that comes too late.
    view.apply_read(key, record, version + 4)
    view.apply_changes([KeyChange(key, record, version + 3)], version + 3)
    assert job not in view.jobs
    # A read that was carried out before the acceptance removes nothing either.
    view.apply_read(key, record, version + 6)
    result_after(controller.job_services.reader.read_record(job), StoreResponse(0))
    late = controller.job_services.reader.read_record(job)
    next(late)
    late.send(StoreResponse(404, revision=version + 5))
    assert job in view.jobs


@pytest.mark.parametrize("answer", [None, 7, ["done"], ["lost", 1, 1], ["unknown", None, None]])
def test_a_malformed_answer_of_another_node_is_no_answer(answer: Any) -> None:
    deployment = start_deployment(15)
    job = deployment.users.submit(job_spec(1, task_count=3, estimated_run_s=200.0))
    deployment.run(5.0)
    manager = manager_of(deployment, job)
    reader = next(name for name in deployment.nodes.names if name != manager)
    answers = deployment.nodes.current(manager).job_services.answers
    answers.status_from_memory = lambda job: answer  # type: ignore[method-assign]
    state = deployment.users.state_of(job, reader)
    # A status without its counts is one; everything else is left to a read.
    assert state == ("done" if answer == ["done"] else "queued")


def test_the_manager_answers_from_memory_without_a_read() -> None:
    deployment = start_deployment(16)
    job = deployment.users.submit(job_spec(1, task_count=3, estimated_run_s=200.0))
    deployment.run(12.0)
    controller = deployment.nodes.current(manager_of(deployment, job))
    assert controller.job_services.answers.status_from_memory(job) == JobStatus(
        JobState.RUNNING, 0, 3
    )
    assert controller.job_services.managed_jobs[job].is_record_known
