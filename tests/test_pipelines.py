"""Pipelines: jobs that await others, what starts them, and what a cancel takes with it."""

from __future__ import annotations

import random
from typing import Any

import pytest

from marblestair.core.domain.jobs import JobSpec, JobState
from marblestair.core.jobs.job_status import JobStatus, Proof, ProvenStatus
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, Lane
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import Recorder, manager, manager_of, owner, running, warm


def submit_pipeline(world: World, first: int = 1, **last: Any) -> list[JobSpec]:
    """Submit four stages, the second of three jobs that share a parent."""
    split = spec(first, task_count=2, estimated_run_s=2.0)
    stage = [
        spec(first + k, task_count=3, estimated_run_s=3.0, priority="low", depends_on=[split.id])
        for k in (1, 2, 3)
    ]
    bind = spec(
        first + 4,
        kind="gang",
        task_count=2,
        estimated_run_s=2.0,
        depends_on=[split.id, *(s.id for s in stage)],
    )
    final = spec(
        first + 5, task_count=2, estimated_run_s=1.0, depends_on=[bind.id], priority="high", **last
    )
    jobs = [split, *stage, bind, final]
    for job in jobs:
        world.submit(job)
    return jobs


def all_done(world: World, jobs: list[JobSpec], most: float = 90.0) -> bool:
    return all(world.finish(job.id, most) for job in jobs)


def first_start(world: World, job: str) -> float:
    return min((at for at, started, *_ in world.starts if started == job), default=-1.0)


def all_cancelled(world: World, jobs: list[JobSpec], most: float) -> bool:
    return world.until(lambda: all(world.state_of(job.id) == "cancelled" for job in jobs), most)


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


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cancel_takes_all_descendants_with_it_also_those_submitted_later(seed: int) -> None:
    world = warm(seed)
    parent = spec(1, task_count=2, estimated_run_s=60.0)
    world.submit(parent)
    # Through depth and width: a chain of six, and twelve beside it.
    chain: list[JobSpec] = []
    for n in range(2, 8):
        chain.append(spec(n, depends_on=[chain[-1].id if chain else parent.id]))
    wide = [spec(n, depends_on=[parent.id, chain[0].id]) for n in range(10, 22)]
    for job in [*chain, *wide]:
        world.submit(job)
    world.until(lambda: first_start(world, parent.id) > 0, 20.0)
    assert world.cancel(parent.id) == "cancelled"
    late = [spec(30, depends_on=[parent.id]), spec(31, depends_on=[chain[-1].id])]
    for job in late:
        world.submit(job)
    assert all_cancelled(world, [*chain, *wide, *late], 0.8 * world.cancel_s)
    assert all(first_start(world, job.id) == -1.0 for job in [*chain, *wide, *late])
    # Nothing of them is left but their ends.
    world.run(3.0)
    assert not [k for k in world.state.data if k.startswith(keys.JOBS)]
    assert world.broken == []


def test_a_cancel_answered_with_done_changes_nothing_for_those_after_it() -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=1.0)
    child = spec(2, task_count=1, estimated_run_s=1.0, depends_on=[parent.id])
    world.submit(parent)
    world.submit(child)
    assert world.finish(parent.id, 40.0)
    assert world.cancel(parent.id) == "done"
    assert world.finish(child.id, 40.0)
    assert world.broken == []


def test_a_diamond_with_one_side_done_and_the_other_cancelled_ends() -> None:
    world = warm()
    top = spec(1, task_count=1, estimated_run_s=1.0)
    left = spec(2, task_count=1, estimated_run_s=1.0, depends_on=[top.id])
    right = spec(3, task_count=1, estimated_run_s=100.0, depends_on=[top.id])
    bottom = spec(4, task_count=1, estimated_run_s=1.0, depends_on=[left.id, right.id])
    for job in (top, left, right, bottom):
        world.submit(job)
    assert world.finish(left.id, 60.0)
    assert world.state_of(bottom.id) == "queued"
    assert world.cancel(right.id) == "cancelled"
    assert all_cancelled(world, [bottom], world.cancel_s)
    assert world.broken == []


def test_a_chain_whose_middle_is_cancelled_keeps_what_came_before() -> None:
    world = warm()
    jobs = [spec(1, task_count=1, estimated_run_s=15.0)]
    for n in range(2, 6):
        jobs.append(spec(n, task_count=1, estimated_run_s=1.0, depends_on=[jobs[-1].id]))
    for job in jobs:
        world.submit(job)
    assert world.cancel(jobs[2].id) == "cancelled"
    assert all_cancelled(world, jobs[3:], world.cancel_s)
    assert world.finish(jobs[1].id, 60.0)
    assert world.broken == []


# --- submissions ------------------------------------------------------------------------------


def answer(world: World, node: str, job: JobSpec) -> tuple[int, str]:
    world.specs[job.id] = job
    out = world.ask(node, "submit", job)
    assert world.until(lambda: bool(out), 5.0)
    return out[0].status, out[0].state


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


def test_a_job_released_after_a_takeover_does_not_wait_for_silent_machines() -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=16.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    holding = [spec(n, task_count=8, estimated_run_s=60.0) for n in (3, 4)]
    for job in [parent, child, *holding]:
        world.submit(job)
    world.until(lambda: first_start(world, parent.id) > 0 and len(world.starts) >= 12, 30.0)
    ran = {name for _, job, _, name, _ in world.starts if job == parent.id}
    # One machine falls silent with the restart: its part settles only when its lease is over.
    silent = next(
        worker for worker in world.workers.values() if worker.live and worker.name not in ran
    )
    silent.hung = True
    for name in world.node_names:
        world.kill(name, 0.5)
    world.run(2.0)
    assert world.until(
        lambda: any(
            shard.unreconciled_machines
            for controller in world.cores.values()
            if controller
            for shard in controller.leadership.led_shards()
        ),
        8.0,
    )
    waiting = [
        shard.slices[child.id]
        for controller in world.cores.values()
        if controller
        for shard in controller.leadership.led_shards()
        if shard.unreconciled_machines and child.id in shard.slices
    ]
    assert all(not job_slice.is_unreconciled for job_slice in waiting)
    silent.hung = False
    assert world.finish(child.id, 60.0)
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


# --- with troubles ----------------------------------------------------------------------------


def test_a_child_accepted_by_a_node_whose_view_lags_is_cancelled_too() -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=60.0)
    world.submit(parent, "n0")
    world.run(2.0)
    world.watch_lag["n1"] = 4.0
    world.lost.add("record")
    world.run(5.0)
    assert world.cancel(parent.id) == "cancelled"
    child = spec(2, depends_on=[parent.id])
    world.submit(child, "n1")
    world.watch_lag.clear()
    assert all_cancelled(world, [child], world.cancel_s)
    assert world.broken == []


@pytest.mark.parametrize("seed", range(4))
def test_a_state_outage_right_after_the_answer_leaves_no_descendant_called_queued(
    seed: int,
) -> None:
    world = warm(seed)
    parent = spec(1, task_count=1, estimated_run_s=60.0)
    world.submit(parent)
    chain = [spec(2, depends_on=[parent.id])]
    for n in range(3, 9):
        chain.append(spec(n, depends_on=[chain[-1].id]))
    for job in chain:
        world.submit(job)
    world.run(3.0)
    world.cancel(parent.id)
    world.state.outage(True, world.now)
    told = world.now
    while world.now < told + 1.6 * world.cancel_s:
        for job in chain:
            for name in world.node_names:
                world.ask(name, "query", job.id)
        world.run(2.0)
    world.calm()
    assert all_cancelled(world, chain, world.cancel_s)
    assert world.broken == []


def hold_ends_back(world: World) -> None:
    """No end of a job can be written from now on."""

    def delay(_node: str, commit: CompareAndSwap) -> float | None:
        is_end = any(put.key.startswith(keys.FINALS) for put in commit.puts)
        return 10_000.0 if is_end else None

    world.late = delay


def poll_all(world: World, jobs: list[JobSpec], seconds: float) -> list[str]:
    """Poll for each job at each node for a while; the states told, or the status of a refusal."""
    asked = []
    until = world.now + seconds
    while world.now < until:
        asked += [world.ask(name, "query", job.id) for job in jobs for name in world.node_names]
        world.run(2.0)
    return [str(r.state) if r.status == 200 else str(r.status) for out in asked for r in out]


@pytest.mark.parametrize("lost", [set(), {"query"}])
@pytest.mark.parametrize("restart", [False, True])
def test_descendants_whose_ends_cannot_be_written_are_not_called_queued(
    restart: bool, lost: set[str]
) -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=100.0)
    chain = [spec(2, depends_on=[parent.id])]
    chain.append(spec(3, depends_on=[chain[0].id]))
    # More than those whose ends are being written at once.
    chain += [spec(n, depends_on=[parent.id]) for n in range(10, 40)]
    for job in [parent, *chain]:
        world.submit(job)
    hold_ends_back(world)
    world.lost |= lost
    assert world.cancel(parent.id) == "cancelled"
    if restart:
        for name in world.node_names:
            world.kill(name, 1.0)
        world.run(10.0)
    told = poll_all(world, chain, 1.4 * world.cancel_s)
    # Refused at first, and told as cancelled once nobody can tell another thing.
    assert "503" in told and set(told[-20:]) == {"cancelled"}
    assert not {"queued", "running"} & set(told[len(told) // 4 :])
    world.late = lambda _node, _commit: None
    assert all_cancelled(world, chain, world.cancel_s)
    assert world.broken == []


def test_who_acts_on_promises_with_an_old_view_does_not_call_a_child_queued() -> None:
    """Its parent's cancel is known to nobody any more as an entry, so no promise carries it."""
    world = warm()
    for n in range(1, 40):
        parent = spec(10 * n, task_count=1, estimated_run_s=100.0)
        world.submit(parent, "n0")
        record = world.state.data[keys.JOBS + parent.id][0]
        if {owner(world, part) for part in (record[1], *map(int, record[2]))} == {"n0"}:
            break
    else:
        raise AssertionError("no such parent")
    world.run(2.0)
    world.watch_lag["n1"] = 1000.0
    world.lost.add("confirmed")
    assert world.cancel(parent.id) == "cancelled"
    world.until(lambda: keys.FINALS + parent.id in world.state.data, 20.0)
    world.run(1.0)
    child = spec(1, depends_on=[parent.id])
    world.submit(child, "n1")
    assert keys.JOBS + child.id in world.state.data
    world.state.outage(True, world.now)
    told = poll_all(world, [child], 1.4 * world.cancel_s)
    assert told and set(told) <= {"503", "cancelled"}
    world.watch_lag.clear()
    world.calm()
    assert all_cancelled(world, [child], world.cancel_s)
    assert world.broken == []


def test_a_child_of_a_child_of_a_job_that_was_cancelled_unseen_is_not_called_queued() -> None:
    """The end of its grandparent is known to its manager by no entry, and must be read."""
    world = warm()
    controller = running(world, "n0")
    records = {
        "job-000002": [list_of(spec(2, depends_on=["job-000001"])), 0, {"0": [[0, 6]]}, []],
        "job-000003": [list_of(spec(3, depends_on=["job-000002"])), 0, {"0": [[0, 6]]}, []],
    }
    for job, record in records.items():
        controller.view.record_read(keys.JOBS + job, record, controller.view.revision + 1)
    controller.view.publish_changes()
    controller.view.revision += 2
    assert not controller.dependencies.knows_ancestors("job-000003")
    controller.final_states.record("job-000001", JobState.CANCELLED)
    assert controller.dependencies.has_cancelled_ancestor("job-000003")


def test_a_cancel_is_confirmed_only_after_the_managers_of_descendants_have_it() -> None:
    """A node that is refused by the state service acts on an older view for a while."""
    world = warm()
    for n in range(1, 40):
        # A parent whose manager and slices are elsewhere, and a child managed at n2.
        parent = spec(10 * n, task_count=1, estimated_run_s=90.0)
        child = spec(10 * n + 1, task_count=1, depends_on=[parent.id])
        world.submit(parent, "n0")
        world.submit(child, "n2")
        record = world.state.data[keys.JOBS + parent.id][0]
        parts = {record[1], *map(int, record[2])}
        if "n2" not in {owner(world, part) for part in parts} and manager(world, child.id) == "n2":
            break
    else:
        raise AssertionError("no such parent")
    world.run(1.0)
    world.state.refused_nodes.add("n2")
    world.isolate("n2", "n0", "n1")
    world.cancel_asked.add(parent.id)
    asked = world.ask("n0", "cancel", parent.id)
    world.run(2.0)
    # The manager of the child still tells that it is queued; so the cancel is not told yet.
    out = world.ask("n2", "query", child.id)
    world.run(0.5)
    assert out[0].state == "queued"
    assert not [r for r in asked if r.status == 200]
    world.calm()
    assert world.cancel(parent.id) == "cancelled"
    assert all_cancelled(world, [child], world.cancel_s)
    assert world.broken == []


@pytest.mark.parametrize("back", [0.2, 6.0])
def test_a_takeover_between_the_parent_s_end_and_the_release(back: float) -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=3.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    world.submit(parent)
    world.submit(child)
    world.lost.add("ended")
    world.until(lambda: keys.FINALS + parent.id in world.state.data, 40.0)
    world.kill(manager(world, child.id), back)
    assert world.finish(child.id, 60.0)
    assert world.broken == []


@pytest.mark.parametrize("is_cancelled", [False, True])
@pytest.mark.parametrize("number", range(1, 11))
def test_a_node_falls_with_each_commit_of_a_pipeline(number: int, is_cancelled: bool) -> None:
    """Its commit is carried out; who takes over finds what it left."""
    world = warm(number)
    chain = [spec(1, task_count=1, estimated_run_s=4.0)]
    for n in (2, 3):
        chain.append(spec(n, task_count=2, estimated_run_s=1.0, depends_on=[chain[-1].id]))
    for job in chain:
        world.submit(job)
    left = iter(range(number - 1, -1, -1))

    def fall(what: str, node: str, call: Any) -> None:
        if what != "call" or not isinstance(call, CompareAndSwap):
            return
        changed = [*(put.key for put in call.puts), *call.deletes]
        if any(key.endswith(job.id) for key in changed for job in chain) and next(left, 1) == 0:
            world.at(0.0, lambda: world.kill(node, 0.3 if number % 2 else 8.0))

    world.on_point = fall
    if is_cancelled:
        world.run(0.5 * number)
        state = world.cancel(chain[0].id)
        assert all_cancelled(world, chain[1:], world.cancel_s) if state == "cancelled" else True
    for job in chain:
        end = "cancelled" if world.told.get(chain[0].id) == "cancelled" else "done"
        assert world.until(lambda j=job, e=end: world.state_of(j.id) == e, 60.0), (
            job.id,
            world.told,
        )
    assert world.broken == []


def test_a_cancel_against_the_last_task_of_a_parent() -> None:
    """Whichever of the two is committed first, what needs the job follows it."""
    ends = set()
    for tenths in range(0, 40, 2):
        world = warm()
        parent = spec(1, task_count=1, estimated_run_s=3.0)
        child = spec(2, task_count=1, estimated_run_s=1.0, depends_on=[parent.id])
        world.submit(parent)
        world.submit(child)
        world.until(lambda w=world: ("job-000001", 0) in w.results, 30.0)
        world.run(tenths / 20.0)
        end = world.cancel(parent.id)
        ends.add(end)
        assert world.until(lambda w=world, e=end: w.state_of("job-000002") == e, 60.0)
        assert world.broken == []
    assert ends == {"done", "cancelled"}


def test_notes_of_ends_and_releases_may_all_be_lost() -> None:
    world = warm()
    world.lost |= {"ended", "record"}
    jobs = submit_pipeline(world)
    assert all_done(world, jobs)
    assert world.broken == []


def test_a_release_whose_answer_is_lost_or_that_comes_late_is_not_repeated() -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=2.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    world.submit(parent)
    world.submit(child)
    late = iter([2.0])

    def delay(_node: str, commit: CompareAndSwap) -> float | None:
        is_release = any(put.key == keys.JOBS + child.id for put in commit.puts)
        return next(late, None) if is_release else None

    world.late = delay
    assert world.finish(child.id, 60.0)
    assert world.broken == []


def test_all_nodes_at_once_while_jobs_wait() -> None:
    world = warm()
    jobs = submit_pipeline(world)
    for name in world.node_names:
        world.kill(name, 1.0)
    assert all_done(world, jobs, 120.0)
    assert world.broken == []


@pytest.mark.parametrize("seed", range(12))
def test_pipelines_keep_the_rules_under_drawn_troubles(seed: int) -> None:
    rng = random.Random(seed)
    world = warm(seed, nodes=rng.choice([3, 5]))
    world.lose_answers = rng.choice([0.0, 0.1])
    world.late_commits = rng.choice([0.0, 0.05])
    world.copies = rng.choice([0.0, 0.1])
    world.state_slow = rng.choice([0.0, 0.1])
    jobs: list[JobSpec] = []
    for n in range(3):
        jobs += submit_pipeline(world, 1 + 10 * n)
        if rng.random() < 0.5:
            world.kill(rng.choice(world.node_names), rng.choice([0.2, 4.0, 12.0]))
        if rng.random() < 0.3:
            world.state.outage(True, world.now)
            world.at(rng.uniform(2.0, 20.0), lambda: world.state.outage(False, world.now))
        if rng.random() < 0.5:
            world.at(rng.uniform(0.0, 10.0), lambda j=rng.choice(jobs).id: ask_cancel(world, j))
        world.run(rng.uniform(0.0, 8.0))
    world.run(10.0)
    world.calm()
    cancelled = {job.id for job in jobs if world._cancel_asked_before(job.id)}
    for job in jobs:
        if job.id in cancelled:
            assert world.until(lambda j=job.id: world.state_of(j) in ("cancelled", "done"), 60.0), (
                job.id
            )
        else:
            assert world.finish(job.id, 120.0), job.id
    assert world.broken == []


def ask_cancel(world: World, job: str) -> None:
    """Ask once for a cancel, as a user who does not wait."""
    world.cancel_asked.add(job)
    up = [name for name in world.node_names if world.cores[name] is not None]
    if up:
        world.ask(up[0], "cancel", job)


# --- what runs first, and what operators see ---------------------------------------------------


def test_priority_and_deadline_of_the_last_job_reach_those_before_it() -> None:
    world = warm()
    jobs = submit_pipeline(world, deadline_s=100.0)
    world.run(2.0)
    urgency = running(world, "n0").urgency
    view = running(world, "n0").view
    scheduled = [urgency.scheduling_spec(view.jobs[job.id]) for job in jobs]
    assert {spec.priority for spec in scheduled} == {"high"}
    due = [spec.accepted_at + (spec.deadline_s or 0.0) for spec in scheduled]
    assert due[0] < due[1] < due[4] < due[5]
    world.cancel(jobs[-1].id)
    world.run(3.0)
    assert urgency.scheduling_spec(view.jobs[jobs[0].id]).priority == "normal"


def test_machines_are_rented_for_an_array_while_its_parents_run() -> None:
    world = warm()
    parent = world.submit(spec(1, task_count=2, estimated_run_s=8.0))
    far = world.submit(spec(2, task_count=2, estimated_run_s=1000.0))
    soon = world.submit(spec(3, task_count=4, depends_on=[parent]))
    world.submit(spec(4, task_count=4, depends_on=[soon]))
    world.submit(spec(5, task_count=4, depends_on=[parent, far]))
    world.submit(spec(6, kind="gang", task_count=2, depends_on=[parent]))

    def planned() -> dict[str, int]:
        controller = running(world, "n0")
        live = list(controller.view.jobs.values())
        inputs = controller.plan_inputs
        loads = inputs.loads(inputs.reported_state(), live, 2.0)
        return {load.spec.id: load.pending for load in loads}

    world.run(1.0)
    assert not {f"job-{n:06d}" for n in (3, 4, 5, 6)} & planned().keys()
    assert world.until(
        lambda: len([worker for worker in world.workers.values() if worker.live]) > 0, 30.0
    )
    assert world.until(lambda: soon in planned(), 5.0)
    assert first_start(world, soon) == -1.0
    assert planned()[soon] == 4
    # Not what waits for more than that, or would have machines set aside.
    assert not {f"job-{n:06d}" for n in (4, 5, 6)} & planned().keys()
    assert world.broken == []


def test_operators_see_what_a_waiting_job_waits_for() -> None:
    world = warm()
    parent = world.submit(spec(1, task_count=1, estimated_run_s=60.0))
    child = world.submit(spec(2, depends_on=[parent]))
    world.run(1.0)
    shown = running(world, manager_of(world, child)).status_report.collect()["waiting"]
    assert shown == [
        {"job": child, "awaits": [parent], "awaits_in_all": 1, "ancestor_cancelled": False}
    ]


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


def list_of(job: JobSpec) -> list[Any]:
    return [getattr(job, field) for field in job.__struct_fields__]


def submit_chain_managed_apart(world: World) -> list[JobSpec]:
    """Three jobs, each awaiting the one before, managed at n0, n1 and n2; the first runs at n0."""
    chain: list[JobSpec] = []
    numbers = iter(range(100, 400))
    for name in world.node_names:
        for n in numbers:
            job = spec(
                n, task_count=1, estimated_run_s=100.0, depends_on=[x.id for x in chain[-1:]]
            )
            world.submit(job, name)
            record = world.state.data[keys.JOBS + job.id][0]
            parts = {record[1]} if chain else {record[1], *map(int, record[2])}
            if {owner(world, part) for part in parts} == {name}:
                chain.append(job)
                break
            world.cancel(job.id)
    assert len(chain) == 3
    return chain


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


def cancelled_with_ends_held_back(world: World, cancels: float = 1.2) -> tuple[JobSpec, str]:
    """A child whose end cannot be written for some cancel_s, and a node not its manager."""
    parent = spec(1, task_count=1, estimated_run_s=100.0)
    child = spec(2, depends_on=[parent.id])
    world.submit(parent)
    world.submit(child)
    world.run(1.0)
    other = next(name for name in world.node_names if name != manager(world, child.id))
    hold_ends_back(world)
    assert world.cancel(parent.id) == "cancelled"
    world.run(cancels * world.cancel_s)
    assert keys.JOBS + child.id in world.state.data
    return child, other


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
