"""Pipelines: jobs that await others, what starts them, and what a cancel takes with it."""

from __future__ import annotations

import random
from typing import Any

import pytest

from marblestair.core.capacity import plan_inputs
from marblestair.core.domain.model import JobSpec
from marblestair.core.jobs.answers import JobState, JobStatus, Proof, ProvenStatus
from marblestair.core.runtime.requests import FINAL, PROGRESS, CompareAndSwap, Get
from marblestair.core.state import keys
from marblestair.core.status import status
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import Recorder, manager, manager_of, owner, running, warm


def submit_pipeline(w: World, first: int = 1, **last: Any) -> list[JobSpec]:
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
        w.submit(job)
    return jobs


def all_done(w: World, jobs: list[JobSpec], most: float = 90.0) -> bool:
    return all(w.finish(job.id, most) for job in jobs)


def first_start(w: World, job: str) -> float:
    return min((at for at, started, *_ in w.starts if started == job), default=-1.0)


def all_cancelled(w: World, jobs: list[JobSpec], most: float) -> bool:
    return w.until(lambda: all(w.state_of(job.id) == "cancelled" for job in jobs), most)


def test_a_pipeline_of_four_stages_runs_from_submission_to_done() -> None:
    w = warm()
    jobs = submit_pipeline(w, deadline_s=60.0)
    assert w.state_of(jobs[-1].id) == "queued"
    assert all_done(w, jobs)
    for job in jobs[1:]:
        began = first_start(w, job.id)
        ended = max(w.done_at[parent] for parent in job.depends_on)
        # A release, a watch and a report lie between the two.
        assert 0.0 <= began - ended < 6.0, (job.id, began - ended)
    assert w.broken == []


def test_a_waiting_job_holds_no_part_of_its_team_s_limit_and_guarantee() -> None:
    w = warm()
    parent = w.submit(spec(1, task_count=1, estimated_run_s=40.0))
    child = w.submit(spec(2, task_count=6, depends_on=[parent]))
    beside = w.submit(spec(3, task_count=7, estimated_run_s=3.0))
    w.run(2.0)
    core = running(w, "n0")
    # The guarantee is for eight tasks.
    assert core.guaranteed_jobs >= {parent, beside} and child not in core.guaranteed_jobs
    assert all(
        s.spec.id != child
        for p in core.shards.values()
        for s in core.dispatcher.pending_in_order(p)
    )
    assert w.finish(beside, 60.0)
    # The whole of the team's limit is left for others.
    other = w.submit(spec(4, task_count=23, estimated_run_s=3.0))
    assert w.finish(other, 60.0)
    assert first_start(w, child) == -1.0
    assert w.finish(child, 90.0)
    assert w.broken == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cancel_takes_all_descendants_with_it_also_those_submitted_later(seed: int) -> None:
    w = warm(seed)
    parent = spec(1, task_count=2, estimated_run_s=60.0)
    w.submit(parent)
    # Through depth and width: a chain of six, and twelve beside it.
    chain: list[JobSpec] = []
    for n in range(2, 8):
        chain.append(spec(n, depends_on=[chain[-1].id if chain else parent.id]))
    wide = [spec(n, depends_on=[parent.id, chain[0].id]) for n in range(10, 22)]
    for job in [*chain, *wide]:
        w.submit(job)
    w.until(lambda: first_start(w, parent.id) > 0, 20.0)
    assert w.cancel(parent.id) == "cancelled"
    late = [spec(30, depends_on=[parent.id]), spec(31, depends_on=[chain[-1].id])]
    for job in late:
        w.submit(job)
    assert all_cancelled(w, [*chain, *wide, *late], 0.8 * w.cancel_s)
    assert all(first_start(w, job.id) == -1.0 for job in [*chain, *wide, *late])
    # Nothing of them is left but their ends.
    w.run(3.0)
    assert not [k for k in w.state.data if k.startswith(keys.JOBS)]
    assert w.broken == []


def test_a_cancel_answered_with_done_changes_nothing_for_those_after_it() -> None:
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=1.0)
    child = spec(2, task_count=1, estimated_run_s=1.0, depends_on=[parent.id])
    w.submit(parent)
    w.submit(child)
    assert w.finish(parent.id, 40.0)
    assert w.cancel(parent.id) == "done"
    assert w.finish(child.id, 40.0)
    assert w.broken == []


def test_a_diamond_with_one_side_done_and_the_other_cancelled_ends() -> None:
    w = warm()
    top = spec(1, task_count=1, estimated_run_s=1.0)
    left = spec(2, task_count=1, estimated_run_s=1.0, depends_on=[top.id])
    right = spec(3, task_count=1, estimated_run_s=100.0, depends_on=[top.id])
    bottom = spec(4, task_count=1, estimated_run_s=1.0, depends_on=[left.id, right.id])
    for job in (top, left, right, bottom):
        w.submit(job)
    assert w.finish(left.id, 60.0)
    assert w.state_of(bottom.id) == "queued"
    assert w.cancel(right.id) == "cancelled"
    assert all_cancelled(w, [bottom], w.cancel_s)
    assert w.broken == []


def test_a_chain_whose_middle_is_cancelled_keeps_what_came_before() -> None:
    w = warm()
    jobs = [spec(1, task_count=1, estimated_run_s=15.0)]
    for n in range(2, 6):
        jobs.append(spec(n, task_count=1, estimated_run_s=1.0, depends_on=[jobs[-1].id]))
    for job in jobs:
        w.submit(job)
    assert w.cancel(jobs[2].id) == "cancelled"
    assert all_cancelled(w, jobs[3:], w.cancel_s)
    assert w.finish(jobs[1].id, 60.0)
    assert w.broken == []


# --- submissions ------------------------------------------------------------------------------


def answer(w: World, node: str, job: JobSpec) -> tuple[int, str]:
    w.specs[job.id] = job
    out = w.ask(node, "submit", job)
    assert w.until(lambda: bool(out), 5.0)
    return out[0].status, out[0].state


def test_an_awaited_job_that_was_never_accepted_is_refused_and_so_is_the_job_itself() -> None:
    w = warm()
    known = w.submit(spec(1))
    assert answer(w, "n0", spec(2, depends_on=[known, "job-999999"]))[0] == 422
    assert answer(w, "n1", spec(3, depends_on=["job-000003"]))[0] == 422
    # A repeated submission gets its state, whatever it names.
    assert answer(w, "n2", spec(1, depends_on=["job-999999"]))[0] == 200
    assert w.broken == []


@pytest.mark.parametrize("is_told", [True, False])
def test_a_parent_accepted_a_moment_ago_by_another_node_is_known(is_told: bool) -> None:
    """By the note of the node that accepted it, without a read, or else by a read."""
    w = warm()
    # The other node's watch lags behind.
    w.watch_lag["n1"] = 3.0
    w.lost |= set() if is_told else {"record"}
    recorder = Recorder(w, "n1")
    parent = spec(1)
    assert answer(w, "n0", parent)[0] == 201
    w.run(0.1)
    assert (parent.id in running(w, "n1").view.jobs) == is_told
    assert answer(w, "n1", spec(2, task_count=1, depends_on=[parent.id]))[0] == 201
    assert (recorder.reads(parent.id) == 0) == is_told
    assert w.broken == []


@pytest.mark.parametrize("end", ["done", "cancelled"])
def test_a_parent_that_was_over_long_ago_is_known_by_its_final_state(end: str) -> None:
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=1.0 if end == "done" else 60.0)
    w.submit(parent)
    if end == "done":
        assert w.finish(parent.id, 40.0)
    else:
        w.cancel(parent.id)
        w.until(lambda: keys.FINALS + parent.id in w.state.data, 40.0)
    for name in w.node_names:
        w.kill(name, 0.5)
    w.run(15.0)
    child = spec(2, task_count=1, estimated_run_s=1.0, depends_on=[parent.id])
    code, state = answer(w, "n1", child)
    assert (code, state) == (201, "queued" if end == "done" else "cancelled")
    if end == "done":
        assert w.finish(child.id, 40.0)
    assert w.state_of(child.id) == end
    assert w.broken == []


@pytest.mark.parametrize("is_carried_out", [True, False])
def test_an_acceptance_as_cancelled_without_an_answer_is_found_by_the_next_try(
    is_carried_out: bool,
) -> None:
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=60.0)
    w.submit(parent)
    w.cancel(parent.id)
    child = spec(2, depends_on=[parent.id])
    final = keys.FINALS + child.id

    def is_acceptance(call: Any) -> bool:
        return isinstance(call, CompareAndSwap) and any(put.key == final for put in call.puts)

    first = iter([True])
    if is_carried_out:
        w.answer_late = lambda _node, call: (
            100.0 if is_acceptance(call) and next(first, False) else None
        )
    else:
        w.late = lambda _node, call: 5.0 if is_acceptance(call) and next(first, False) else None
    assert answer(w, "n0", child)[0] in ((200,) if is_carried_out else (503,))
    w.submit(child, "n0")
    assert w.state_of(child.id) == "cancelled"
    w.run(10.0)
    assert w.state_of(child.id) == "cancelled"
    assert w.broken == []


def test_a_job_released_after_a_takeover_does_not_wait_for_silent_machines() -> None:
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=16.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    holding = [spec(n, task_count=8, estimated_run_s=60.0) for n in (3, 4)]
    for job in [parent, child, *holding]:
        w.submit(job)
    w.until(lambda: first_start(w, parent.id) > 0 and len(w.starts) >= 12, 30.0)
    ran = {name for _, job, _, name, _ in w.starts if job == parent.id}
    # One machine falls silent with the restart: its part settles only when its lease is over.
    silent = next(m for m in w.workers.values() if m.live and m.name not in ran)
    silent.hung = True
    for name in w.node_names:
        w.kill(name, 0.5)
    w.run(2.0)
    assert w.until(
        lambda: any(p.unreconciled_machines for c in w.cores.values() if c for p in c.led_shards()),
        8.0,
    )
    waiting = [
        p.slices[child.id]
        for c in w.cores.values()
        if c
        for p in c.led_shards()
        if p.unreconciled_machines and child.id in p.slices
    ]
    assert all(not s.is_unreconciled for s in waiting)
    silent.hung = False
    assert w.finish(child.id, 60.0)
    assert w.broken == []


def test_what_cannot_be_decided_now_is_refused_for_now() -> None:
    w = warm()
    w.state.outage(True, w.now)
    w.specs["job-000002"] = spec(2, depends_on=["job-000001"])
    out = w.ask("n0", "submit", w.specs["job-000002"])
    assert w.until(lambda: bool(out), 5.0)
    assert out[0].status == 503 and out[0].retry_after_s >= 1


def test_ids_that_nobody_submitted_do_not_use_up_the_rate_of_the_state_service() -> None:
    w = warm()
    recorder = Recorder(w, "n0")
    many = [f"job-{n}" for n in range(900_000, 901_000)]
    for n in range(40):
        w.ask("n0", "submit", spec(100 + n, depends_on=many))
    w.run(5.0)
    # The first unknown id decides, by three reads, and two more show that the job itself is not
    # known; only so many are under way at once.
    most = running(w, "n0").answers.lookups.max_reads
    assert most < 20 and recorder.count(Get) <= 5 * most
    assert w.finish(w.submit(spec(1, task_count=1, estimated_run_s=1.0)), 40.0)


def test_many_finished_parents_are_looked_up_over_several_tries() -> None:
    w = warm()
    parents = [f"job-{n:06d}" for n in range(1000, 1300)]
    for parent in parents:
        w.state.data[keys.FINALS + parent] = ("done", 1, None)
        w.specs[parent] = spec(int(parent[4:]))
        w.results |= {(parent, i) for i in range(w.specs[parent].task_count)}
    w.state_slow = 0.05
    child = spec(1, task_count=1, estimated_run_s=1.0, depends_on=parents)
    w.submit(child, "n0")
    assert w.finish(child.id, 40.0)
    assert w.broken == []


# --- with troubles ----------------------------------------------------------------------------


def test_a_child_accepted_by_a_node_whose_view_lags_is_cancelled_too() -> None:
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=60.0)
    w.submit(parent, "n0")
    w.run(2.0)
    w.watch_lag["n1"] = 4.0
    w.lost.add("record")
    w.run(5.0)
    assert w.cancel(parent.id) == "cancelled"
    child = spec(2, depends_on=[parent.id])
    w.submit(child, "n1")
    w.watch_lag.clear()
    assert all_cancelled(w, [child], w.cancel_s)
    assert w.broken == []


@pytest.mark.parametrize("seed", range(4))
def test_a_state_outage_right_after_the_answer_leaves_no_descendant_called_queued(
    seed: int,
) -> None:
    w = warm(seed)
    parent = spec(1, task_count=1, estimated_run_s=60.0)
    w.submit(parent)
    chain = [spec(2, depends_on=[parent.id])]
    for n in range(3, 9):
        chain.append(spec(n, depends_on=[chain[-1].id]))
    for job in chain:
        w.submit(job)
    w.run(3.0)
    w.cancel(parent.id)
    w.state.outage(True, w.now)
    told = w.now
    while w.now < told + 1.6 * w.cancel_s:
        for job in chain:
            for name in w.node_names:
                w.ask(name, "query", job.id)
        w.run(2.0)
    w.calm()
    assert all_cancelled(w, chain, w.cancel_s)
    assert w.broken == []


def hold_ends_back(w: World) -> None:
    """No end of a job can be written from now on."""

    def delay(_node: str, commit: CompareAndSwap) -> float | None:
        is_end = any(p.key.startswith(keys.FINALS) for p in commit.puts)
        return 10_000.0 if is_end else None

    w.late = delay


def poll_all(w: World, jobs: list[JobSpec], seconds: float) -> list[str]:
    """Poll for each job at each node for a while; the states told, or the status of a refusal."""
    asked = []
    until = w.now + seconds
    while w.now < until:
        asked += [w.ask(name, "query", job.id) for job in jobs for name in w.node_names]
        w.run(2.0)
    return [str(r.state) if r.status == 200 else str(r.status) for out in asked for r in out]


@pytest.mark.parametrize("lost", [set(), {"query"}])
@pytest.mark.parametrize("restart", [False, True])
def test_descendants_whose_ends_cannot_be_written_are_not_called_queued(
    restart: bool, lost: set[str]
) -> None:
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=100.0)
    chain = [spec(2, depends_on=[parent.id])]
    chain.append(spec(3, depends_on=[chain[0].id]))
    # More than those whose ends are being written at once.
    chain += [spec(n, depends_on=[parent.id]) for n in range(10, 40)]
    for job in [parent, *chain]:
        w.submit(job)
    hold_ends_back(w)
    w.lost |= lost
    assert w.cancel(parent.id) == "cancelled"
    if restart:
        for name in w.node_names:
            w.kill(name, 1.0)
        w.run(10.0)
    told = poll_all(w, chain, 1.4 * w.cancel_s)
    # Refused at first, and told as cancelled once nobody can tell another thing.
    assert "503" in told and set(told[-20:]) == {"cancelled"}
    assert not {"queued", "running"} & set(told[len(told) // 4 :])
    w.late = lambda _node, _commit: None
    assert all_cancelled(w, chain, w.cancel_s)
    assert w.broken == []


def test_who_acts_on_promises_with_an_old_view_does_not_call_a_child_queued() -> None:
    """Its parent's cancel is known to nobody any more as an entry, so no promise carries it."""
    w = warm()
    for n in range(1, 40):
        parent = spec(10 * n, task_count=1, estimated_run_s=100.0)
        w.submit(parent, "n0")
        record = w.state.data[keys.JOBS + parent.id][0]
        if {owner(w, part) for part in (record[1], *map(int, record[2]))} == {"n0"}:
            break
    else:
        raise AssertionError("no such parent")
    w.run(2.0)
    w.watch_lag["n1"] = 1000.0
    w.lost.add("confirmed")
    assert w.cancel(parent.id) == "cancelled"
    w.until(lambda: keys.FINALS + parent.id in w.state.data, 20.0)
    w.run(1.0)
    child = spec(1, depends_on=[parent.id])
    w.submit(child, "n1")
    assert keys.JOBS + child.id in w.state.data
    w.state.outage(True, w.now)
    told = poll_all(w, [child], 1.4 * w.cancel_s)
    assert told and set(told) <= {"503", "cancelled"}
    w.watch_lag.clear()
    w.calm()
    assert all_cancelled(w, [child], w.cancel_s)
    assert w.broken == []


def test_a_child_of_a_child_of_a_job_that_was_cancelled_unseen_is_not_called_queued() -> None:
    """The end of its grandparent is known to its manager by no entry, and must be read."""
    w = warm()
    core = running(w, "n0")
    records = {
        "job-000002": [list_of(spec(2, depends_on=["job-000001"])), 0, {"0": [[0, 6]]}, []],
        "job-000003": [list_of(spec(3, depends_on=["job-000002"])), 0, {"0": [[0, 6]]}, []],
    }
    for job, record in records.items():
        core.view.record_read(keys.JOBS + job, record, core.view.revision + 1)
    core.sync()
    core.view.revision += 2
    assert not core.dependencies.knows_ancestors("job-000003")
    core.answers.record_final("job-000001", JobState.CANCELLED)
    assert core.dependencies.has_cancelled_ancestor("job-000003")


def test_a_cancel_is_confirmed_only_after_the_managers_of_descendants_have_it() -> None:
    """A node that is refused by the state service acts on an older view for a while."""
    w = warm()
    for n in range(1, 40):
        # A parent whose manager and slices are elsewhere, and a child managed at n2.
        parent = spec(10 * n, task_count=1, estimated_run_s=90.0)
        child = spec(10 * n + 1, task_count=1, depends_on=[parent.id])
        w.submit(parent, "n0")
        w.submit(child, "n2")
        record = w.state.data[keys.JOBS + parent.id][0]
        parts = {record[1], *map(int, record[2])}
        if "n2" not in {owner(w, part) for part in parts} and manager(w, child.id) == "n2":
            break
    else:
        raise AssertionError("no such parent")
    w.run(1.0)
    w.state.refused_nodes.add("n2")
    w.isolate("n2", "n0", "n1")
    w.cancel_asked.add(parent.id)
    asked = w.ask("n0", "cancel", parent.id)
    w.run(2.0)
    # The manager of the child still tells that it is queued; so the cancel is not told yet.
    out = w.ask("n2", "query", child.id)
    w.run(0.5)
    assert out[0].state == "queued"
    assert not [r for r in asked if r.status == 200]
    w.calm()
    assert w.cancel(parent.id) == "cancelled"
    assert all_cancelled(w, [child], w.cancel_s)
    assert w.broken == []


@pytest.mark.parametrize("back", [0.2, 6.0])
def test_a_takeover_between_the_parent_s_end_and_the_release(back: float) -> None:
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=3.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    w.submit(parent)
    w.submit(child)
    w.lost.add("ended")
    w.until(lambda: keys.FINALS + parent.id in w.state.data, 40.0)
    w.kill(manager(w, child.id), back)
    assert w.finish(child.id, 60.0)
    assert w.broken == []


@pytest.mark.parametrize("is_cancelled", [False, True])
@pytest.mark.parametrize("number", range(1, 11))
def test_a_node_falls_with_each_commit_of_a_pipeline(number: int, is_cancelled: bool) -> None:
    """Its commit is carried out; who takes over finds what it left."""
    w = warm(number)
    chain = [spec(1, task_count=1, estimated_run_s=4.0)]
    for n in (2, 3):
        chain.append(spec(n, task_count=2, estimated_run_s=1.0, depends_on=[chain[-1].id]))
    for job in chain:
        w.submit(job)
    left = iter(range(number - 1, -1, -1))

    def fall(what: str, node: str, call: Any) -> None:
        if what != "call" or not isinstance(call, CompareAndSwap):
            return
        changed = [*(put.key for put in call.puts), *call.deletes]
        if any(key.endswith(job.id) for key in changed for job in chain) and next(left, 1) == 0:
            w.at(0.0, lambda: w.kill(node, 0.3 if number % 2 else 8.0))

    w.on_point = fall
    if is_cancelled:
        w.run(0.5 * number)
        state = w.cancel(chain[0].id)
        assert all_cancelled(w, chain[1:], w.cancel_s) if state == "cancelled" else True
    for job in chain:
        end = "cancelled" if w.told.get(chain[0].id) == "cancelled" else "done"
        assert w.until(lambda j=job, e=end: w.state_of(j.id) == e, 60.0), (job.id, w.told)
    assert w.broken == []


def test_a_cancel_against_the_last_task_of_a_parent() -> None:
    """Whichever of the two is committed first, what needs the job follows it."""
    ends = set()
    for tenths in range(0, 40, 2):
        w = warm()
        parent = spec(1, task_count=1, estimated_run_s=3.0)
        child = spec(2, task_count=1, estimated_run_s=1.0, depends_on=[parent.id])
        w.submit(parent)
        w.submit(child)
        w.until(lambda w=w: ("job-000001", 0) in w.results, 30.0)
        w.run(tenths / 20.0)
        end = w.cancel(parent.id)
        ends.add(end)
        assert w.until(lambda w=w, e=end: w.state_of("job-000002") == e, 60.0)
        assert w.broken == []
    assert ends == {"done", "cancelled"}


def test_notes_of_ends_and_releases_may_all_be_lost() -> None:
    w = warm()
    w.lost |= {"ended", "record"}
    jobs = submit_pipeline(w)
    assert all_done(w, jobs)
    assert w.broken == []


def test_a_release_whose_answer_is_lost_or_that_comes_late_is_not_repeated() -> None:
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=2.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    w.submit(parent)
    w.submit(child)
    late = iter([2.0])

    def delay(_node: str, commit: CompareAndSwap) -> float | None:
        is_release = any(p.key == keys.JOBS + child.id for p in commit.puts)
        return next(late, None) if is_release else None

    w.late = delay
    assert w.finish(child.id, 60.0)
    assert w.broken == []


def test_all_nodes_at_once_while_jobs_wait() -> None:
    w = warm()
    jobs = submit_pipeline(w)
    for name in w.node_names:
        w.kill(name, 1.0)
    assert all_done(w, jobs, 120.0)
    assert w.broken == []


@pytest.mark.parametrize("seed", range(12))
def test_pipelines_keep_the_rules_under_drawn_troubles(seed: int) -> None:
    rng = random.Random(seed)
    w = warm(seed, nodes=rng.choice([3, 5]))
    w.lose_answers = rng.choice([0.0, 0.1])
    w.late_commits = rng.choice([0.0, 0.05])
    w.copies = rng.choice([0.0, 0.1])
    w.state_slow = rng.choice([0.0, 0.1])
    jobs: list[JobSpec] = []
    for n in range(3):
        jobs += submit_pipeline(w, 1 + 10 * n)
        if rng.random() < 0.5:
            w.kill(rng.choice(w.node_names), rng.choice([0.2, 4.0, 12.0]))
        if rng.random() < 0.3:
            w.state.outage(True, w.now)
            w.at(rng.uniform(2.0, 20.0), lambda: w.state.outage(False, w.now))
        if rng.random() < 0.5:
            w.at(rng.uniform(0.0, 10.0), lambda j=rng.choice(jobs).id: ask_cancel(w, j))
        w.run(rng.uniform(0.0, 8.0))
    w.run(10.0)
    w.calm()
    cancelled = {job.id for job in jobs if w._cancel_asked_before(job.id)}
    for job in jobs:
        if job.id in cancelled:
            assert w.until(lambda j=job.id: w.state_of(j) in ("cancelled", "done"), 60.0), job.id
        else:
            assert w.finish(job.id, 120.0), job.id
    assert w.broken == []


def ask_cancel(w: World, job: str) -> None:
    """Ask once for a cancel, as a user who does not wait."""
    w.cancel_asked.add(job)
    up = [name for name in w.node_names if w.cores[name] is not None]
    if up:
        w.ask(up[0], "cancel", job)


# --- what runs first, and what operators see ---------------------------------------------------


def test_priority_and_deadline_of_the_last_job_reach_those_before_it() -> None:
    w = warm()
    jobs = submit_pipeline(w, deadline_s=100.0)
    w.run(2.0)
    urgency = running(w, "n0").inherited_urgency
    view = running(w, "n0").view
    scheduled = [urgency.scheduling_spec(view.jobs[job.id]) for job in jobs]
    assert {s.priority for s in scheduled} == {"high"}
    due = [s.accepted_at + (s.deadline_s or 0.0) for s in scheduled]
    assert due[0] < due[1] < due[4] < due[5]
    w.cancel(jobs[-1].id)
    w.run(3.0)
    assert urgency.scheduling_spec(view.jobs[jobs[0].id]).priority == "normal"


def test_machines_are_rented_for_an_array_while_its_parents_run() -> None:
    w = warm()
    parent = w.submit(spec(1, task_count=2, estimated_run_s=8.0))
    far = w.submit(spec(2, task_count=2, estimated_run_s=1000.0))
    soon = w.submit(spec(3, task_count=4, depends_on=[parent]))
    w.submit(spec(4, task_count=4, depends_on=[soon]))
    w.submit(spec(5, task_count=4, depends_on=[parent, far]))
    w.submit(spec(6, kind="gang", task_count=2, depends_on=[parent]))

    def planned() -> dict[str, int]:
        core = running(w, "n0")
        live = list(core.view.jobs.values())
        told = plan_inputs.ReportedState(core)
        return {load.spec.id: load.pending for load in plan_inputs.loads(core, told, live, 2.0)}

    w.run(1.0)
    assert not {f"job-{n:06d}" for n in (3, 4, 5, 6)} & planned().keys()
    assert w.until(lambda: len([m for m in w.workers.values() if m.live]) > 0, 30.0)
    assert w.until(lambda: soon in planned(), 5.0)
    assert first_start(w, soon) == -1.0
    assert planned()[soon] == 4
    # Not what waits for more than that, or would have machines set aside.
    assert not {f"job-{n:06d}" for n in (4, 5, 6)} & planned().keys()
    assert w.broken == []


def test_operators_see_what_a_waiting_job_waits_for() -> None:
    w = warm()
    parent = w.submit(spec(1, task_count=1, estimated_run_s=60.0))
    child = w.submit(spec(2, depends_on=[parent]))
    w.run(1.0)
    shown = status(running(w, manager_of(w, child)))["waiting"]
    assert shown == [
        {"job": child, "awaits": [parent], "awaits_in_all": 1, "ancestor_cancelled": False}
    ]


def test_a_change_costs_steps_by_its_own_parents_and_children_only() -> None:
    """A long chain and a wide stage: no recursion, and no walk over all waiting jobs."""
    w = warm()
    core = running(w, "n0")
    top = spec(1, task_count=1)
    specs = [top, spec(2, depends_on=[top.id])]
    for n in range(3, 3000):
        specs.append(spec(n, depends_on=[specs[-1].id]))
    for n, job in enumerate(specs):
        core.view.record_read(
            keys.JOBS + job.id, [list_of(job), 0, {"0": [[0, 6]]}, []], 10_000 + n
        )
    core.sync()
    assert sum(1 for _ in core.dependencies.descendants(top.id)) == 2998
    core.cancellations.record(top.id, 20_000)
    assert all(core.dependencies.has_cancelled_ancestor(job.id) for job in specs[1:])


def list_of(job: JobSpec) -> list[Any]:
    return [getattr(job, field) for field in job.__struct_fields__]


def submit_chain_managed_apart(w: World) -> list[JobSpec]:
    """Three jobs, each awaiting the one before, managed at n0, n1 and n2; the first runs at n0."""
    chain: list[JobSpec] = []
    numbers = iter(range(100, 400))
    for name in w.node_names:
        for n in numbers:
            job = spec(
                n, task_count=1, estimated_run_s=100.0, depends_on=[x.id for x in chain[-1:]]
            )
            w.submit(job, name)
            record = w.state.data[keys.JOBS + job.id][0]
            parts = {record[1]} if chain else {record[1], *map(int, record[2])}
            if {owner(w, part) for part in parts} == {name}:
                chain.append(job)
                break
            w.cancel(job.id)
    assert len(chain) == 3
    return chain


@pytest.mark.parametrize("falls", ["", "n0", "n1"])
def test_a_far_descendant_is_not_called_queued_once_the_job_between_is_over(falls: str) -> None:
    """The manager of a grandchild loses its peers and the state service during a cancel.

    It acts on promises afterwards. The job between ends first, and its record with it; the cancel
    may still not be told before the grandchild's manager has it or can act no more.
    """
    w = warm()
    chain = submit_chain_managed_apart(w)
    w.run(2.0)
    w.isolate("n2", "n0", "n1")
    w.state.refused_nodes.add("n2")
    w.cancel_asked.add(chain[0].id)
    w.ask("n0", "cancel", chain[0].id)
    w.run(0.25)
    if falls:
        w.kill(falls, 0.1)
    for _ in range(5):
        w.run(0.4)
        w.ask("n0", "cancel", chain[0].id)
    w.state.outage(True, w.now)
    w.heal()
    poll_all(w, chain[2:], 2.0 * w.cancel_s)
    w.state.refused_nodes.clear()
    w.calm()
    assert w.cancel(chain[0].id) == "cancelled"
    assert all_cancelled(w, chain, w.cancel_s)
    assert w.broken == []


def cancelled_with_ends_held_back(w: World, cancels: float = 1.2) -> tuple[JobSpec, str]:
    """A child whose end cannot be written for some cancel_s, and a node not its manager."""
    parent = spec(1, task_count=1, estimated_run_s=100.0)
    child = spec(2, depends_on=[parent.id])
    w.submit(parent)
    w.submit(child)
    w.run(1.0)
    other = next(name for name in w.node_names if name != manager(w, child.id))
    hold_ends_back(w)
    assert w.cancel(parent.id) == "cancelled"
    w.run(cancels * w.cancel_s)
    assert keys.JOBS + child.id in w.state.data
    return child, other


def test_a_read_that_the_end_of_a_waiting_job_overtakes_does_not_call_it_queued() -> None:
    """What the read found is older than the view by the time at which it arrives."""
    w = warm()
    child, other = cancelled_with_ends_held_back(w)
    w.lost |= {"query", "ended"}
    w.answer_late = lambda node, call: (
        0.9
        if node == other and isinstance(call, Get) and call.key == keys.JOBS + child.id
        else None
    )
    w.late = lambda _node, _commit: None
    for _ in range(20):
        w.ask(other, "query", child.id)
        w.run(0.1)
    w.run(2.0)
    assert keys.JOBS + child.id not in w.state.data
    w.answer_late = lambda _node, _call: None
    assert w.state_of(child.id, other) == "cancelled"
    assert w.broken == []


def test_what_waits_for_a_cancelled_job_is_told_so_before_its_end_is_written() -> None:
    w = warm()
    child, _ = cancelled_with_ends_held_back(w)
    for name in w.node_names:
        assert w.state_of(child.id, name) == "cancelled"
    assert w.cancel(child.id) == "cancelled"
    for name in w.node_names:
        w.kill(name, 0.5)
    w.run(12.0)
    assert w.until(lambda: w.state_of(child.id) == "cancelled", 20.0)
    assert w.broken == []


def test_it_is_not_told_so_while_another_node_may_still_call_it_queued() -> None:
    """By a fresh read, with a view that is younger than a worker's lease."""
    w = warm()
    parent = spec(1, task_count=1, estimated_run_s=100.0)
    child = spec(2, depends_on=[parent.id])
    w.submit(parent)
    w.submit(child)
    w.run(1.0)
    hold_ends_back(w)
    late = next(name for name in w.node_names if name != manager(w, child.id))
    w.watch_lag[late] = 0.7 * w.lease_s
    w.lost |= {"query", "confirmed"}
    assert w.cancel(parent.id) == "cancelled"
    until = w.now + 2.0 * w.lease_s
    while w.now < until:
        for name in w.node_names:
            w.ask(name, "query", child.id)
        w.run(0.2)
    assert w.told[child.id] == "cancelled"
    assert w.broken == []


def test_the_end_of_a_descendant_goes_ahead_of_progress_once_it_is_due() -> None:
    """However much else there is to write, users are told of it within cancel_s."""
    w = warm()
    lanes: list[tuple[float, int]] = []

    def note(what: str, _node: str, call: Any) -> None:
        if what == "call" and isinstance(call, CompareAndSwap):
            if any(put.key == keys.FINALS + "job-000002" for put in call.puts):
                lanes.append((w.now, call.lane))

    w.on_point = note
    cancelled_with_ends_held_back(w)
    told = w.cancel_told["job-000001"]
    assert lanes[0][1] == PROGRESS
    due = [at - told for at, lane in lanes if lane == FINAL]
    assert 0.1 * w.cancel_s < due[0] < 0.3 * w.cancel_s
    assert all(lane == FINAL for at, lane in lanes if at > told + due[0])
    assert w.broken == []


def test_no_node_calls_a_job_queued_that_it_knows_to_wait_for_a_cancelled_one() -> None:
    """Also when another node still does, by an older view."""
    w = warm()
    child, other = cancelled_with_ends_held_back(w, 0.1)
    core = running(w, other)
    queued = ProvenStatus(JobStatus(JobState.QUEUED, 0, 0), Proof.PEER)
    assert core.answers.answerable_status(child.id, queued) is None


def test_who_reads_a_waiting_job_looks_for_the_ends_of_all_its_ancestors() -> None:
    """The parent is found alive by a read, and its own parent is over and was cancelled."""
    w = warm()
    first, second, third = (spec(n, depends_on=[f"job-{n - 1:06d}"][: n - 1]) for n in (1, 2, 3))
    version = w.state.rev + 1000
    w.state.data[keys.FINALS + first.id] = ("cancelled", version, None)
    for job in (second, third):
        record = [list_of(job), 0, {"0": [[0, 6]]}, []]
        w.state.data[keys.JOBS + job.id] = (record, version, None)
    w.specs |= {job.id: job for job in (first, second, third)}
    w.lost.add("query")
    for name in w.node_names:
        assert w.state_of(third.id, name) != "queued"
