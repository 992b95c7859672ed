"""What a cancel does to the jobs that depend on the cancelled one."""

from __future__ import annotations

import pytest

from marblestair.core.domain.jobs import JobSpec, JobState
from marblestair.core.state import keys
from tests.core.jobs.pipelines import all_cancelled, first_start, hold_ends_back, list_of, poll_all
from tests.fakes.deployment import spec
from tests.helpers import manager, owner, running, warm


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
