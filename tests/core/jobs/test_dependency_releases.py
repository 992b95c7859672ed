"""Releases of jobs whose dependencies are done, under failures."""

from __future__ import annotations

import pytest

from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.core.jobs.pipelines import (
    chain_after,
    parent_and_child,
    submit_all,
    submit_pipeline,
    wait_until_all_cancelled,
    wait_until_all_done,
)
from tests.fakes.nodes import OutputKind
from tests.fakes.samples import job_spec
from tests.helpers import manager_of, start_deployment


@pytest.mark.parametrize("restart_after_s", [0.2, 6.0])
def test_a_failover_between_the_parents_end_and_the_release(restart_after_s: float) -> None:
    deployment = start_deployment()
    parent, child = parent_and_child(3.0, child_tasks=2, child_run_s=1.0)
    submit_all(deployment, parent, child)
    deployment.network.dropped_tags.add("ended")
    deployment.run_until(lambda: keys.FINAL_STATES + parent.id in deployment.store.data, 40.0)
    deployment.nodes.kill(manager_of(deployment, child.id), restart_after_s)
    assert deployment.users.wait_until_done(child.id, 60.0)
    assert not deployment.rules.violations


@pytest.mark.parametrize("is_cancelled", [False, True])
@pytest.mark.parametrize("number", range(1, 11))
def test_a_controller_ends_with_each_commit_of_a_pipeline(number: int, is_cancelled: bool) -> None:
    """Its commit is carried out; who takes over finds what it left."""
    deployment = start_deployment(number)
    users = deployment.users
    first = job_spec(1, task_count=1, estimated_run_s=4.0)
    chain = [first, *chain_after(first, range(2, 4), task_count=2, estimated_run_s=1.0)]
    submit_all(deployment, *chain)
    ids = tuple(spec.id for spec in chain)
    remaining = iter(range(number - 1, -1, -1))

    def kill_at_commit(_kind: OutputKind, node: str, output: object) -> None:
        if not isinstance(output, CompareAndSwap):
            return
        changed = [*(put.key for put in output.puts), *output.deletes]
        if any(key.endswith(ids) for key in changed) and next(remaining, 1) == 0:
            restart_after_s = 0.3 if number % 2 else 8.0
            deployment.schedule(0.0, lambda: deployment.nodes.kill(node, restart_after_s))

    deployment.nodes.on_output = kill_at_commit
    if is_cancelled:
        deployment.run(0.5 * number)
        if users.cancel(first.id) == "cancelled":
            assert wait_until_all_cancelled(deployment, chain[1:], deployment.cancel_s)
    for job in ids:
        is_first_cancelled = deployment.rules.last_state.get(first.id) == "cancelled"
        expected = "cancelled" if is_first_cancelled else "done"
        assert deployment.run_until(
            lambda job=job, expected=expected: users.state_of(job) == expected, 60.0
        ), (job, deployment.rules.last_state)
    assert not deployment.rules.violations


def test_messages_of_final_states_and_releases_may_all_be_lost() -> None:
    deployment = start_deployment()
    deployment.network.dropped_tags |= {"ended", "record"}
    specs = submit_pipeline(deployment)
    assert wait_until_all_done(deployment, specs)
    assert not deployment.rules.violations


def test_a_release_that_comes_late_and_without_a_response_is_not_repeated() -> None:
    deployment = start_deployment()
    parent, child = parent_and_child(2.0, child_tasks=2, child_run_s=1.0)
    submit_all(deployment, parent, child)
    delays = iter([2.0])

    def delay_first_release(_node: str, commit: CompareAndSwap) -> float | None:
        is_release = any(put.key == keys.JOBS + child.id for put in commit.puts)
        return next(delays, None) if is_release else None

    deployment.store_link.commit_delay_s = delay_first_release
    assert deployment.users.wait_until_done(child.id, 60.0)
    assert not deployment.rules.violations


def test_all_controllers_restart_while_jobs_wait_for_others() -> None:
    deployment = start_deployment()
    specs = submit_pipeline(deployment)
    deployment.nodes.kill_all(restart_after_s=1.0)
    assert wait_until_all_done(deployment, specs, 120.0)
    assert not deployment.rules.violations
