"""Many queries: what a poll costs, and that it delays nothing else."""

from __future__ import annotations

import functools

import pytest

from marblestair.core.controller import Controller
from marblestair.core.messaging.messages import QueryJob
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, RequestPriority
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.helpers import manager_of, start_deployment
from tests.measurements import count_calls
from tests.recorder import RequestRecorder

#: ids of requests that nobody made
UNUSED_REQUEST_ID = 1 << 40


def test_a_poll_of_the_manager_makes_no_request() -> None:
    deployment = start_deployment(410)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(2.0)
    node = manager_of(deployment, job)
    recorder = RequestRecorder(deployment, node)
    asked = [deployment.users.request(node, "query", job) for _ in range(200)]
    assert all(replies and replies[0].status == 200 for replies in asked)
    assert recorder.requests == []


def test_polls_of_one_job_share_one_request_to_its_manager() -> None:
    deployment = start_deployment(411)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(2.0)
    manager = manager_of(deployment, job)
    other = next(name for name in deployment.nodes.names if name != manager)
    recorder = RequestRecorder(deployment, other)
    asked = [deployment.users.request(other, "query", job) for _ in range(200)]
    deployment.run(0.3)
    assert all(replies and replies[0].status == 200 for replies in asked)
    queries = [
        request
        for request in recorder.requests
        if isinstance(request, PeerRequest) and isinstance(request.message, QueryJob)
    ]
    assert len(queries) == 2
    assert recorder.count_reads(job) == 0


def test_polls_of_an_unknown_job_share_two_reads_of_its_keys() -> None:
    deployment = start_deployment(412)
    recorder = RequestRecorder(deployment, "n0")
    asked = [deployment.users.request("n0", "query", "job-999999") for _ in range(200)]
    deployment.run(0.5)
    assert {replies[0].status for replies in asked} == {404}
    assert recorder.count_reads("job-999999") == 4


def test_polls_of_many_unknown_jobs_are_refused_at_once_beyond_a_bound() -> None:
    deployment = start_deployment(413)
    max_concurrent_reads = deployment.nodes.controller(
        "n0"
    ).job_services.lookups.max_concurrent_reads
    recorder = RequestRecorder(deployment, "n0")
    asked = [
        deployment.users.request("n0", "query", f"job-{number:06d}")
        for number in range(900_000, 900_200)
    ]
    refusals = [replies[0] for replies in asked if replies]
    assert len(refusals) == 200 - max_concurrent_reads
    assert all(reply.status == 503 and reply.retry_after_s >= 1 for reply in refusals)
    deployment.run(0.5)
    assert all(replies for replies in asked)
    assert recorder.count(Get) == 2 * max_concurrent_reads
    priorities = {
        request.priority
        for request in recorder.requests
        if isinstance(request, Get) and request.key.endswith("900000")
    }
    assert priorities == {RequestPriority.LOOKUP}


@pytest.mark.parametrize("polls", [1, 5])
def test_a_poll_is_never_answered_by_a_read_that_began_before_it(polls: int) -> None:
    """Guards the sharing of reads: one under way may be older than an earlier answer."""
    deployment = start_deployment(414)
    deployment.network.isolate("n0", "n1", "n2")
    recorder = RequestRecorder(deployment, "n0")
    recorder.delays_reads = True
    spec = job_spec(7)
    # Begun before the job is submitted, this one may be answered either way.
    node = deployment.nodes.controller("n0")
    node.context.spawn(node.user_requests.query(UNUSED_REQUEST_ID, spec.id))
    deployment.nodes.flush("n0")
    record_key = keys.JOBS + spec.id
    read = next(read for read in recorder.delayed_reads if read.request.key == record_key)
    # The read under way finds nothing: it was carried out before the job was accepted.
    recorder.delayed_reads.remove(read)
    response = deployment.store.execute(read.request, "n0")
    assert response.status == 404
    deployment.users.submit(spec, node="n1")
    asked = [deployment.users.request("n0", "query", spec.id) for _ in range(polls)]
    recorder.delays_reads = False
    deployment.nodes.complete(read.controller, read.number, response)
    recorder.send_delayed_reads()
    deployment.run(1.0)
    assert [replies[0].status for replies in asked] == [200] * polls
    assert not deployment.rules.violations


def poll_often(controller: Controller, job: str, count: int) -> None:
    """Have a controller handle polls of a job."""
    for number in range(count):
        controller.context.spawn(controller.user_requests.query(UNUSED_REQUEST_ID + number, job))


def test_the_calls_of_a_poll_do_not_grow_with_the_jobs() -> None:
    calls = {}
    for jobs in (3, 60):
        deployment = start_deployment(416)
        ids = deployment.users.submit_many(range(1, jobs + 1), task_count=4, estimated_run_s=200.0)
        deployment.run(2.0)
        controller = deployment.nodes.controller(manager_of(deployment, ids[0]))
        calls[jobs] = count_calls(functools.partial(poll_often, controller, ids[0], 100)) / 100
    assert calls[3] < 40
    assert calls[60] <= 1.1 * calls[3]


def test_polls_during_a_change_share_their_reads() -> None:
    # While the end of a job is on its way the manager cannot answer from memory. However many
    # ask, one lookup is under way at a time, and none is delayed by the commit.
    deployment = start_deployment(31)
    job = deployment.users.submit(job_spec(1, task_count=2, estimated_run_s=3.0))
    manager = manager_of(deployment, job)
    deployment.store_link.watch_lag_s[manager] = 1.0

    def delay_final_state(_node: str, request: object) -> float | None:
        is_end = isinstance(request, CompareAndSwap) and keys.JOBS + job in request.deletes
        return 1.1 if is_end else None

    deployment.store_link.response_delay_s = delay_final_state
    while keys.FINAL_STATES + job not in deployment.store.data:
        deployment.run(0.01)
    recorder = RequestRecorder(deployment, manager)
    asked: list[list[UserReply]] = []
    for _ in range(50):
        asked += [deployment.users.request(manager, "query", job) for _ in range(10)]
        deployment.run(0.01)
    assert all(replies[0].state == "done" for replies in asked if replies)
    assert sum(bool(replies) for replies in asked) > 400
    assert recorder.count_reads(job) <= 4
    assert not deployment.rules.violations
