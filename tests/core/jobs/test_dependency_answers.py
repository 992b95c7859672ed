"""What users are answered about jobs that depend on a cancelled one."""

from __future__ import annotations

import pytest

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.job_status import JobStatus, Proof, ProvenStatus
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, RequestPriority
from marblestair.core.state import keys
from tests.core.jobs.pipelines import (
    block_final_states,
    cancel_parent_with_final_states_blocked,
    chain_after,
    parent_and_child,
    poll_all,
    stored_record,
    submit_all,
    submit_chain_managed_apart,
    wait_until_all_cancelled,
)
from tests.fakes.nodes import OutputKind
from tests.fakes.samples import job_spec
from tests.helpers import manager_of, start_deployment


@pytest.mark.parametrize("killed", ["", "n0", "n1"])
def test_a_far_descendant_is_not_called_queued_once_the_job_between_is_over(killed: str) -> None:
    """The manager of a grandchild loses its peers and the store during a cancel.

    It leads under promises afterwards. The job between ends first, and its record with it; the
    cancel may still not be confirmed before the grandchild's manager has it or leads no more.
    """
    deployment = start_deployment()
    chain = submit_chain_managed_apart(deployment)
    top = chain[0].id
    deployment.run(2.0)
    deployment.network.isolate("n2", "n0", "n1")
    deployment.store.refused_nodes.add("n2")
    deployment.users.request("n0", "cancel", top)
    deployment.run(0.25)
    if killed:
        deployment.nodes.kill(killed, 0.1)
    for _ in range(5):
        deployment.run(0.4)
        deployment.users.request("n0", "cancel", top)
    deployment.store.start_outage()
    deployment.network.heal()
    poll_all(deployment, chain[2:], 2.0 * deployment.cancel_s)
    deployment.store.refused_nodes.clear()
    deployment.end_failures()
    assert deployment.users.cancel(top) == "cancelled"
    assert wait_until_all_cancelled(deployment, chain, deployment.cancel_s)
    assert not deployment.rules.violations


def test_a_read_that_the_end_of_a_waiting_job_overtakes_does_not_call_it_queued() -> None:
    """What the read found is older than the view by the time at which it arrives."""
    deployment = start_deployment()
    child, other = cancel_parent_with_final_states_blocked(deployment)
    key = keys.JOBS + child.id
    deployment.network.dropped_tags |= {"query", "ended"}
    deployment.store_link.response_delay_s = lambda node, request: (
        0.9 if node == other and isinstance(request, Get) and request.key == key else None
    )
    deployment.store_link.commit_delay_s = lambda _node, _commit: None
    for _ in range(20):
        deployment.users.request(other, "query", child.id)
        deployment.run(0.1)
    deployment.run(2.0)
    assert key not in deployment.store.data
    deployment.store_link.response_delay_s = lambda _node, _request: None
    assert deployment.users.state_of(child.id, other) == "cancelled"
    assert not deployment.rules.violations


def test_a_descendant_is_called_cancelled_before_its_final_state_is_written() -> None:
    deployment = start_deployment()
    users = deployment.users
    child = cancel_parent_with_final_states_blocked(deployment).spec.id
    for name in deployment.nodes.names:
        assert users.state_of(child, name) == "cancelled"
    assert users.cancel(child) == "cancelled"
    deployment.nodes.kill_all(restart_after_s=0.5)
    deployment.run(12.0)
    assert deployment.run_until(lambda: users.state_of(child) == "cancelled", 20.0)
    assert not deployment.rules.violations


def test_a_descendant_is_not_called_cancelled_while_another_node_may_call_it_queued() -> None:
    """By a read, with a view that is younger than an agent's lease."""
    deployment = start_deployment()
    parent, child = parent_and_child(100.0)
    submit_all(deployment, parent, child)
    deployment.run(1.0)
    block_final_states(deployment)
    manager = manager_of(deployment, child.id)
    lagging = next(name for name in deployment.nodes.names if name != manager)
    deployment.store_link.watch_lag_s[lagging] = 0.7 * deployment.lease_s
    deployment.network.dropped_tags |= {"query", "confirmed"}
    assert deployment.users.cancel(parent.id) == "cancelled"
    end = deployment.now + 2.0 * deployment.lease_s
    while deployment.now < end:
        for name in deployment.nodes.names:
            deployment.users.request(name, "query", child.id)
        deployment.run(0.2)
    assert deployment.rules.last_state[child.id] == "cancelled"
    assert not deployment.rules.violations


def test_the_final_state_of_a_descendant_goes_ahead_of_progress_once_it_is_due() -> None:
    """However much else there is to write, users learn of it within cancel_s."""
    deployment = start_deployment()
    tries: list[tuple[float, RequestPriority]] = []

    def record_lane(_kind: OutputKind, _node: str, output: object) -> None:
        if isinstance(output, CompareAndSwap):
            if any(put.key == keys.FINAL_STATES + "job-000002" for put in output.puts):
                tries.append((deployment.now, output.priority))

    deployment.nodes.on_output = record_lane
    cancel_parent_with_final_states_blocked(deployment)
    confirmed_at = deployment.rules.cancel_confirmed_at["job-000001"]
    assert tries[0][1] == RequestPriority.PROGRESS
    due_at = next(at for at, priority in tries if priority == RequestPriority.FINAL_STATE)
    assert 0.1 * deployment.cancel_s < due_at - confirmed_at < 0.3 * deployment.cancel_s
    assert all(priority == RequestPriority.FINAL_STATE for at, priority in tries if at > due_at)
    assert not deployment.rules.violations


def test_no_node_calls_a_job_queued_that_it_knows_to_depend_on_a_cancelled_one() -> None:
    """Also when another node still does, by an older view."""
    deployment = start_deployment()
    child, other = cancel_parent_with_final_states_blocked(deployment, 0.1)
    controller = deployment.nodes.current(other)
    queued = ProvenStatus(JobStatus(JobState.QUEUED, 0, 0), Proof.PEER)
    assert controller.job_services.answers.answerable_status(child.id, queued) is None


def test_a_read_of_a_waiting_job_leads_to_reads_of_its_ancestors_final_states() -> None:
    """The parent is found live by a read, and its own parent is over and was cancelled."""
    deployment = start_deployment()
    first = job_spec(1)
    second, third = chain_after(first, range(2, 4))
    version = deployment.store.revision + 1000
    deployment.store.put(keys.FINAL_STATES + first.id, "cancelled", version)
    for spec in (second, third):
        deployment.store.put(keys.JOBS + spec.id, stored_record(spec), version)
    deployment.tasks.specs |= {spec.id: spec for spec in (first, second, third)}
    deployment.network.dropped_tags.add("query")
    for name in deployment.nodes.names:
        assert deployment.users.state_of(third.id, name) != "queued"
