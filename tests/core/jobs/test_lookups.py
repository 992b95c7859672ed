"""Many queries: what a poll costs, and that it delays nothing else."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.messaging.messages import QueryJob
from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, Lane
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.helpers import Recorder, manager_of, steps, warm


def test_a_poll_of_the_manager_costs_no_call() -> None:
    world = warm(410)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(2.0)
    node = manager_of(world, job)
    recorder = Recorder(world, node)
    answers = [world.ask(node, "query", job) for _ in range(200)]
    assert all(answer and answer[0].status == 200 for answer in answers)
    assert recorder.calls == []


def test_polls_of_one_job_share_one_call_to_its_manager() -> None:
    world = warm(411)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(2.0)
    other = next(name for name in world.node_names if name != manager_of(world, job))
    recorder = Recorder(world, other)
    answers = [world.ask(other, "query", job) for _ in range(200)]
    world.run(0.3)
    assert all(answer and answer[0].status == 200 for answer in answers)
    queries = [
        c for c in recorder.calls if isinstance(c, PeerRequest) and isinstance(c.message, QueryJob)
    ]
    assert len(queries) == 2
    assert recorder.reads(job) == 0


def test_polls_of_an_unknown_job_share_two_reads_of_its_keys() -> None:
    world = warm(412)
    recorder = Recorder(world, "n0")
    answers = [world.ask("n0", "query", "job-999999") for _ in range(200)]
    world.run(0.5)
    assert {answer[0].status for answer in answers} == {404}
    assert recorder.reads("job-999999") == 4


def test_polls_of_many_unknown_jobs_are_refused_at_once_beyond_a_bound() -> None:
    world = warm(413)
    controller = world.cores["n0"]
    assert controller is not None
    most = controller.lookups.max_reads
    recorder = Recorder(world, "n0")
    answers = [world.ask("n0", "query", f"job-{number:06d}") for number in range(900_000, 900_200)]
    refused = [answer[0] for answer in answers if answer]
    assert len(refused) == 200 - most
    assert all(reply.status == 503 and reply.retry_after_s >= 1 for reply in refused)
    world.run(0.5)
    assert all(answer for answer in answers)
    assert recorder.count(Get) == 2 * most
    lanes = {c.lane for c in recorder.calls if isinstance(c, Get) and c.key.endswith("900000")}
    assert lanes == {Lane.LOOKUP}


@pytest.mark.parametrize("others", [1, 5])
def test_a_poll_is_never_answered_by_a_read_that_began_before_it(others: int) -> None:
    """Guards the sharing of reads: what is under way may be older than what the user was told."""
    world = warm(414)
    world.isolate("n0", "n1")
    world.isolate("n0", "n2")
    recorder = Recorder(world, "n0")
    recorder.holding = True
    job = "job-000007"
    # Begun before the job is submitted, this one may be answered either way.
    node = world.cores["n0"]
    assert node is not None
    node.context.spawn(node.user_requests.query(1 << 40, job))
    world.flush("n0")
    missing = [reader for reader in recorder.held if reader[2].key == keys.JOBS + job]
    assert missing
    # The read under way finds nothing: it was carried out before the job was accepted.
    core, number, call = missing[0]
    recorder.held.remove(missing[0])
    response = world.state.execute(call, "n0", world.now)
    assert response.status == 404
    world.submit(spec(7), node="n1")
    late = [world.ask("n0", "query", job) for _ in range(others)]
    recorder.holding = False
    world._complete(core, number, response)
    recorder.release()
    world.run(1.0)
    assert [reply[0].status for reply in late] == [200] * others
    assert not world.broken


def test_the_steps_of_a_poll_do_not_grow_with_the_jobs() -> None:
    cost = {}
    for jobs in (3, 60):
        world = warm(416)
        ids = [
            world.submit(spec(n, task_count=4, estimated_run_s=200.0)) for n in range(1, jobs + 1)
        ]
        world.run(2.0)
        node = manager_of(world, ids[0])
        controller = world.cores[node]
        assert controller is not None

        def poll(core: Any = controller, job: str = ids[0]) -> None:
            for number in range(100):
                core.context.spawn(core.user_requests.query((1 << 40) + number, job))

        cost[jobs] = steps(poll) / 100
    assert cost[3] < 40
    assert cost[60] <= 1.1 * cost[3]


def test_polls_during_a_change_share_their_reads() -> None:
    # While the end of a job is on its way the manager cannot answer from memory. However many
    # ask, one search is under way at a time, and none is held back for the commit.
    world = warm(31)
    job = world.submit(spec(1, task_count=2, estimated_run_s=3.0))
    manager = manager_of(world, job)
    world.watch_lag[manager] = 1.0

    def ends(call: Any) -> bool:
        return isinstance(call, CompareAndSwap) and keys.JOBS + job in call.deletes

    world.answer_late = lambda node, call: 1.1 if ends(call) else None
    while keys.FINALS + job not in world.state.data:
        world.run(0.01)
    recorder = Recorder(world, manager)
    answers = []
    for _ in range(50):
        answers += [world.ask(manager, "query", job) for _ in range(10)]
        world.run(0.01)
    assert all(answer[0].state == "done" for answer in answers if answer)
    assert sum(bool(answer) for answer in answers) > 400
    assert recorder.reads(job) <= 4
    assert not world.broken
