"""What a cancel does to the jobs that depend on the cancelled one."""

from __future__ import annotations

import pytest

from marblestair.core.domain.jobs import JobState
from marblestair.core.state import keys
from tests.core.jobs.pipelines import (
    block_final_states,
    chain_after,
    parent_and_child,
    poll_all,
    stored_record,
    submit_all,
    wait_until_all_cancelled,
)
from tests.fakes.samples import job_spec
from tests.helpers import leaders_of_job, manager_of, start_deployment


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cancel_reaches_all_descendants_also_those_submitted_later(seed: int) -> None:
    deployment = start_deployment(seed)
    tasks = deployment.tasks
    parent = job_spec(1, task_count=2, estimated_run_s=60.0)
    # Through depth and width: a chain of six, and twelve beside it.
    chain = chain_after(parent, range(2, 8))
    wide = [job_spec(number, depends_on=[parent.id, chain[0].id]) for number in range(10, 22)]
    submit_all(deployment, parent, *chain, *wide)
    deployment.run_until(lambda: tasks.has_started(parent.id), 20.0)
    assert deployment.users.cancel(parent.id) == "cancelled"
    late = [job_spec(30, depends_on=[parent.id]), job_spec(31, depends_on=[chain[-1].id])]
    submit_all(deployment, *late)
    descendants = [*chain, *wide, *late]
    assert wait_until_all_cancelled(deployment, descendants, 0.8 * deployment.cancel_s)
    assert not any(tasks.has_started(spec.id) for spec in descendants)
    # Nothing of them is left but their final states.
    deployment.run(3.0)
    assert not deployment.store.keys_with_prefix(keys.JOBS)
    assert not deployment.rules.violations


def test_a_cancel_answered_with_done_changes_nothing_for_dependent_jobs() -> None:
    deployment = start_deployment()
    users = deployment.users
    parent, child = parent_and_child(1.0, child_tasks=1, child_run_s=1.0)
    submit_all(deployment, parent, child)
    assert users.wait_until_done(parent.id, 40.0)
    assert users.cancel(parent.id) == "done"
    assert users.wait_until_done(child.id, 40.0)
    assert not deployment.rules.violations


def test_a_diamond_with_one_side_done_and_the_other_cancelled_is_cancelled() -> None:
    deployment = start_deployment()
    users = deployment.users
    top = job_spec(1, task_count=1, estimated_run_s=1.0)
    left = job_spec(2, task_count=1, estimated_run_s=1.0, depends_on=[top.id])
    right = job_spec(3, task_count=1, estimated_run_s=100.0, depends_on=[top.id])
    bottom = job_spec(4, task_count=1, estimated_run_s=1.0, depends_on=[left.id, right.id])
    submit_all(deployment, top, left, right, bottom)
    assert users.wait_until_done(left.id, 60.0)
    assert users.state_of(bottom.id) == "queued"
    assert users.cancel(right.id) == "cancelled"
    assert wait_until_all_cancelled(deployment, [bottom], deployment.cancel_s)
    assert not deployment.rules.violations


def test_a_chain_whose_middle_is_cancelled_still_runs_what_comes_before() -> None:
    deployment = start_deployment()
    first = job_spec(1, task_count=1, estimated_run_s=15.0)
    chain = [first, *chain_after(first, range(2, 6), task_count=1, estimated_run_s=1.0)]
    submit_all(deployment, *chain)
    assert deployment.users.cancel(chain[2].id) == "cancelled"
    assert wait_until_all_cancelled(deployment, chain[3:], deployment.cancel_s)
    assert deployment.users.wait_until_done(chain[1].id, 60.0)
    assert not deployment.rules.violations


def test_a_child_accepted_by_a_node_whose_view_lags_is_cancelled_too() -> None:
    deployment = start_deployment()
    parent, child = parent_and_child(60.0)
    deployment.users.submit(parent, "n0")
    deployment.run(2.0)
    deployment.store_link.watch_lag_s["n1"] = 4.0
    deployment.network.dropped_tags.add("record")
    deployment.run(5.0)
    assert deployment.users.cancel(parent.id) == "cancelled"
    deployment.users.submit(child, "n1")
    deployment.store_link.watch_lag_s.clear()
    assert wait_until_all_cancelled(deployment, [child], deployment.cancel_s)
    assert not deployment.rules.violations


@pytest.mark.parametrize("seed", range(4))
def test_a_store_outage_right_after_the_answer_leaves_no_descendant_called_queued(
    seed: int,
) -> None:
    deployment = start_deployment(seed)
    users = deployment.users
    parent = job_spec(1, task_count=1, estimated_run_s=60.0)
    chain = chain_after(parent, range(2, 9))
    submit_all(deployment, parent, *chain)
    deployment.run(3.0)
    users.cancel(parent.id)
    deployment.store.start_outage()
    poll_all(deployment, chain, 1.6 * deployment.cancel_s)
    deployment.end_failures()
    assert wait_until_all_cancelled(deployment, chain, deployment.cancel_s)
    assert not deployment.rules.violations


@pytest.mark.parametrize("dropped_tags", [set(), {"query"}])
@pytest.mark.parametrize("restart", [False, True])
def test_descendants_whose_final_states_cannot_be_written_are_not_called_queued(
    restart: bool, dropped_tags: set[str]
) -> None:
    deployment = start_deployment()
    parent = job_spec(1, task_count=1, estimated_run_s=100.0)
    descendants = chain_after(parent, range(2, 4))
    # More than those whose final states are being written at once.
    descendants += [job_spec(number, depends_on=[parent.id]) for number in range(10, 40)]
    submit_all(deployment, parent, *descendants)
    block_final_states(deployment)
    deployment.network.dropped_tags |= dropped_tags
    assert deployment.users.cancel(parent.id) == "cancelled"
    if restart:
        deployment.nodes.kill_all(restart_after_s=1.0)
        deployment.run(10.0)
    answers = poll_all(deployment, descendants, 1.4 * deployment.cancel_s)
    # Refused at first, and cancelled once no node can answer another state.
    assert "503" in answers
    assert set(answers[-20:]) == {"cancelled"}
    assert not {"queued", "running"} & set(answers[len(answers) // 4 :])
    deployment.store_link.commit_delay_s = lambda _node, _commit: None
    assert wait_until_all_cancelled(deployment, descendants, deployment.cancel_s)
    assert not deployment.rules.violations


def test_a_leader_under_promises_with_an_old_view_does_not_call_a_child_queued() -> None:
    """Its parent's cancel is known to nobody any more as an entry, so no promise carries it."""
    deployment = start_deployment()
    for number in range(1, 40):
        parent = job_spec(10 * number, task_count=1, estimated_run_s=100.0)
        deployment.users.submit(parent, "n0")
        if leaders_of_job(deployment, parent.id) == {"n0"}:
            break
    else:
        raise AssertionError("no such parent")
    deployment.run(2.0)
    deployment.store_link.watch_lag_s["n1"] = 1000.0
    deployment.network.dropped_tags.add("confirmed")
    assert deployment.users.cancel(parent.id) == "cancelled"
    deployment.run_until(lambda: keys.FINAL_STATES + parent.id in deployment.store.data, 20.0)
    deployment.run(1.0)
    child = job_spec(1, depends_on=[parent.id])
    deployment.users.submit(child, "n1")
    assert keys.JOBS + child.id in deployment.store.data
    deployment.store.start_outage()
    answers = poll_all(deployment, [child], 1.4 * deployment.cancel_s)
    assert answers
    assert set(answers) <= {"503", "cancelled"}
    deployment.store_link.watch_lag_s.clear()
    deployment.end_failures()
    assert wait_until_all_cancelled(deployment, [child], deployment.cancel_s)
    assert not deployment.rules.violations


def test_a_grandchild_of_a_job_cancelled_out_of_view_is_not_called_queued() -> None:
    """The final state of its grandparent is known to its manager by no entry, and must be read."""
    deployment = start_deployment()
    controller = deployment.nodes.current("n0")
    view = controller.view
    for number in (2, 3):
        spec = job_spec(number, depends_on=[f"job-{number - 1:06d}"])
        view.apply_read(keys.JOBS + spec.id, stored_record(spec), view.revision + 1)
    view.publish_changes()
    view.revision += 2
    assert not controller.job_services.dependencies.knows_ancestors("job-000003")
    controller.job_services.final_states.record("job-000001", JobState.CANCELLED)
    assert controller.job_services.dependencies.has_cancelled_ancestor("job-000003")


def test_a_cancel_is_confirmed_only_after_the_managers_of_descendants_have_it() -> None:
    """A node that the store refuses answers by an older view for a while."""
    deployment = start_deployment()
    users = deployment.users
    for number in range(1, 40):
        # A parent whose manager and slices are elsewhere, and a child managed at n2.
        parent = job_spec(10 * number, task_count=1, estimated_run_s=90.0)
        child = job_spec(10 * number + 1, task_count=1, depends_on=[parent.id])
        users.submit(parent, "n0")
        users.submit(child, "n2")
        is_elsewhere = "n2" not in leaders_of_job(deployment, parent.id)
        if is_elsewhere and manager_of(deployment, child.id) == "n2":
            break
    else:
        raise AssertionError("no such parent")
    deployment.run(1.0)
    deployment.store.refused_nodes.add("n2")
    deployment.network.isolate("n2", "n0", "n1")
    cancels = users.request("n0", "cancel", parent.id)
    deployment.run(2.0)
    # The child's manager still answers that it is queued; so the cancel is not confirmed yet.
    polls = users.request("n2", "query", child.id)
    deployment.run(0.5)
    assert polls[0].state == "queued"
    assert not [reply for reply in cancels if reply.status == 200]
    deployment.end_failures()
    assert users.cancel(parent.id) == "cancelled"
    assert wait_until_all_cancelled(deployment, [child], deployment.cancel_s)
    assert not deployment.rules.violations


def cancel_near_the_end(delay_s: float) -> str:
    """Cancel a parent some time after its last task was done; the state, which its child shares."""
    deployment = start_deployment()
    users = deployment.users
    parent, child = parent_and_child(3.0, child_tasks=1, child_run_s=1.0)
    submit_all(deployment, parent, child)
    deployment.run_until(lambda: deployment.tasks.is_done(parent.id), 30.0)
    deployment.run(delay_s)
    state = users.cancel(parent.id)
    assert deployment.run_until(lambda: users.state_of(child.id) == state, 60.0)
    assert not deployment.rules.violations
    return state


def test_a_cancel_against_the_last_task_of_a_parent() -> None:
    """Whichever of the two is committed first, what depends on the job follows it."""
    states = {cancel_near_the_end(tenths / 20.0) for tenths in range(0, 40, 2)}
    assert states == {"done", "cancelled"}
