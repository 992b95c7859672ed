"""Jobs that depend on others: acceptance, release, and what they reserve until then."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.runtime.store_requests import CompareAndSwap, Get
from marblestair.core.state import keys
from tests.core.jobs.pipelines import all_done, answer, first_start, list_of, submit_pipeline
from tests.fakes.deployment import spec
from tests.helpers import Recorder, running, warm


def test_a_pipeline_of_four_stages_runs_from_submission_to_done() -> None:
    world = warm()
    jobs = submit_pipeline(world, deadline_s=60.0)
    assert world.state_of(jobs[-1].id) == "queued"
    assert all_done(world, jobs)
    for job in jobs[1:]:
        began = first_start(world, job.id)
        ended = max(world.done_at[parent] for parent in job.depends_on)
        # A release, a watch and a report lie between the two.
        assert 0.0 <= began - ended < 6.0, (job.id, began - ended)
    assert world.broken == []


def test_a_waiting_job_holds_no_part_of_its_team_s_limit_and_guarantee() -> None:
    world = warm()
    parent = world.submit(spec(1, task_count=1, estimated_run_s=40.0))
    child = world.submit(spec(2, task_count=6, depends_on=[parent]))
    beside = world.submit(spec(3, task_count=7, estimated_run_s=3.0))
    world.run(2.0)
    controller = running(world, "n0")
    # The guarantee is for eight tasks.
    assert (
        controller.guarantees.jobs >= {parent, beside} and child not in controller.guarantees.jobs
    )
    assert all(
        job_slice.spec.id != child
        for shard in controller.leadership.shards.values()
        for job_slice in controller.dispatcher.pending_in_order(shard)
    )
    assert world.finish(beside, 60.0)
    # The whole of the team's limit is left for others.
    other = world.submit(spec(4, task_count=23, estimated_run_s=3.0))
    assert world.finish(other, 60.0)
    assert first_start(world, child) == -1.0
    assert world.finish(child, 90.0)
    assert world.broken == []


def test_an_awaited_job_that_was_never_accepted_is_refused_and_so_is_the_job_itself() -> None:
    world = warm()
    known = world.submit(spec(1))
    assert answer(world, "n0", spec(2, depends_on=[known, "job-999999"]))[0] == 422
    assert answer(world, "n1", spec(3, depends_on=["job-000003"]))[0] == 422
    # A repeated submission gets its state, whatever it names.
    assert answer(world, "n2", spec(1, depends_on=["job-999999"]))[0] == 200
    assert world.broken == []


@pytest.mark.parametrize("is_told", [True, False])
def test_a_parent_accepted_a_moment_ago_by_another_node_is_known(is_told: bool) -> None:
    """By the note of the node that accepted it, without a read, or else by a read."""
    world = warm()
    # The other node's watch lags behind.
    world.watch_lag["n1"] = 3.0
    world.lost |= set() if is_told else {"record"}
    recorder = Recorder(world, "n1")
    parent = spec(1)
    assert answer(world, "n0", parent)[0] == 201
    world.run(0.1)
    assert (parent.id in running(world, "n1").view.jobs) == is_told
    assert answer(world, "n1", spec(2, task_count=1, depends_on=[parent.id]))[0] == 201
    assert (recorder.reads(parent.id) == 0) == is_told
    assert world.broken == []


@pytest.mark.parametrize("end", ["done", "cancelled"])
def test_a_parent_that_was_over_long_ago_is_known_by_its_final_state(end: str) -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=1.0 if end == "done" else 60.0)
    world.submit(parent)
    if end == "done":
        assert world.finish(parent.id, 40.0)
    else:
        world.cancel(parent.id)
        world.until(lambda: keys.FINALS + parent.id in world.state.data, 40.0)
    for name in world.node_names:
        world.kill(name, 0.5)
    world.run(15.0)
    child = spec(2, task_count=1, estimated_run_s=1.0, depends_on=[parent.id])
    code, state = answer(world, "n1", child)
    assert (code, state) == (201, "queued" if end == "done" else "cancelled")
    if end == "done":
        assert world.finish(child.id, 40.0)
    assert world.state_of(child.id) == end
    assert world.broken == []


@pytest.mark.parametrize("is_carried_out", [True, False])
def test_an_acceptance_as_cancelled_without_an_answer_is_found_by_the_next_try(
    is_carried_out: bool,
) -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=60.0)
    world.submit(parent)
    world.cancel(parent.id)
    child = spec(2, depends_on=[parent.id])
    final = keys.FINALS + child.id

    def is_acceptance(call: Any) -> bool:
        return isinstance(call, CompareAndSwap) and any(put.key == final for put in call.puts)

    first = iter([True])
    if is_carried_out:
        world.answer_late = lambda _node, call: (
            100.0 if is_acceptance(call) and next(first, False) else None
        )
    else:
        world.late = lambda _node, call: 5.0 if is_acceptance(call) and next(first, False) else None
    assert answer(world, "n0", child)[0] in ((200,) if is_carried_out else (503,))
    world.submit(child, "n0")
    assert world.state_of(child.id) == "cancelled"
    world.run(10.0)
    assert world.state_of(child.id) == "cancelled"
    assert world.broken == []


def test_what_cannot_be_decided_now_is_refused_for_now() -> None:
    world = warm()
    world.state.outage(True, world.now)
    world.specs["job-000002"] = spec(2, depends_on=["job-000001"])
    out = world.ask("n0", "submit", world.specs["job-000002"])
    assert world.until(lambda: bool(out), 5.0)
    assert out[0].status == 503 and out[0].retry_after_s >= 1


def test_ids_that_nobody_submitted_do_not_use_up_the_rate_of_the_state_service() -> None:
    world = warm()
    recorder = Recorder(world, "n0")
    many = [f"job-{n}" for n in range(900_000, 901_000)]
    for n in range(40):
        world.ask("n0", "submit", spec(100 + n, depends_on=many))
    world.run(5.0)
    # The first unknown id decides, by three reads, and two more show that the job itself is not
    # known; only so many are under way at once.
    most = running(world, "n0").lookups.max_reads
    assert most < 20 and recorder.count(Get) <= 5 * most
    assert world.finish(world.submit(spec(1, task_count=1, estimated_run_s=1.0)), 40.0)


def test_many_finished_parents_are_looked_up_over_several_tries() -> None:
    world = warm()
    parents = [f"job-{n:06d}" for n in range(1000, 1300)]
    for parent in parents:
        world.state.data[keys.FINALS + parent] = ("done", 1, None)
        world.specs[parent] = spec(int(parent[4:]))
        world.results |= {(parent, i) for i in range(world.specs[parent].task_count)}
    world.state_slow = 0.05
    child = spec(1, task_count=1, estimated_run_s=1.0, depends_on=parents)
    world.submit(child, "n0")
    assert world.finish(child.id, 40.0)
    assert world.broken == []


def test_a_change_costs_steps_by_its_own_parents_and_children_only() -> None:
    """A long chain and a wide stage: no recursion, and no walk over all waiting jobs."""
    world = warm()
    controller = running(world, "n0")
    top = spec(1, task_count=1)
    specs = [top, spec(2, depends_on=[top.id])]
    for n in range(3, 3000):
        specs.append(spec(n, depends_on=[specs[-1].id]))
    for n, job in enumerate(specs):
        controller.view.record_read(
            keys.JOBS + job.id, [list_of(job), 0, {"0": [[0, 6]]}, []], 10_000 + n
        )
    controller.view.publish_changes()
    assert sum(1 for _ in controller.dependencies.descendants(top.id)) == 2998
    controller.cancels.record(top.id, 20_000)
    assert all(controller.dependencies.has_cancelled_ancestor(job.id) for job in specs[1:])
