"""Jobs that depend on others: acceptance, release, and what they reserve until then."""

from __future__ import annotations

import pytest

from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.store_requests import CompareAndSwap, Get
from marblestair.core.state import keys
from tests.core.jobs.pipelines import (
    chain_after,
    stored_record,
    submit_all,
    submit_once,
    submit_pipeline,
    wait_until_all_done,
)
from tests.fakes.samples import job_spec
from tests.helpers import led_shards, start_deployment
from tests.recorder import RequestRecorder


def test_a_pipeline_of_four_stages_runs_from_submission_to_done() -> None:
    deployment = start_deployment()
    specs = submit_pipeline(deployment, deadline_s=60.0)
    assert deployment.users.state_of(specs[-1].id) == "queued"
    assert wait_until_all_done(deployment, specs)
    for spec in specs[1:]:
        began = deployment.tasks.starts_of(spec.id)[0].at
        ended = max(deployment.tasks.done_at[parent] for parent in spec.depends_on)
        # A release, a watch and a heartbeat lie between the two.
        assert 0.0 <= began - ended < 6.0, spec.id
    assert not deployment.rules.violations


def test_a_waiting_job_reserves_nothing_of_its_teams_quota() -> None:
    deployment = start_deployment()
    users = deployment.users
    parent = users.submit(job_spec(1, task_count=1, estimated_run_s=40.0))
    child = users.submit(job_spec(2, task_count=6, depends_on=[parent]))
    independent = users.submit(job_spec(3, task_count=7, estimated_run_s=3.0))
    deployment.run(2.0)
    controller = deployment.nodes.current("n0")
    # The guarantee is for eight tasks.
    assert controller.scheduling_services.guarantees.jobs >= {parent, independent}
    assert child not in controller.scheduling_services.guarantees.jobs
    assert all(
        job_slice.spec.id != child
        for shard in controller.leadership.shards.values()
        for job_slice in controller.scheduling_services.dispatcher.pending_in_order(shard)
    )
    assert users.wait_until_done(independent, 60.0)
    # The whole of the team's limit is left for others.
    other = users.submit(job_spec(4, task_count=23, estimated_run_s=3.0))
    assert users.wait_until_done(other, 60.0)
    assert not deployment.tasks.has_started(child)
    assert users.wait_until_done(child, 90.0)
    assert not deployment.rules.violations


def test_a_job_that_depends_on_one_never_accepted_is_refused() -> None:
    deployment = start_deployment()
    known = deployment.users.submit(job_spec(1))
    unknown = job_spec(2, depends_on=[known, "job-999999"])
    assert submit_once(deployment, "n0", unknown).status == 422
    on_itself = job_spec(3, depends_on=["job-000003"])
    assert submit_once(deployment, "n1", on_itself).status == 422
    # A repeated submission gets its state, whatever it depends on.
    repeated = job_spec(1, depends_on=["job-999999"])
    assert submit_once(deployment, "n2", repeated).status == 200
    assert not deployment.rules.violations


@pytest.mark.parametrize("is_announced", [True, False])
def test_a_parent_accepted_a_moment_ago_by_another_node_is_known(is_announced: bool) -> None:
    """By the message of the node that accepted it, without a read, or else by a read."""
    deployment = start_deployment()
    # The other node's watch lags behind.
    deployment.store_link.watch_lag_s["n1"] = 3.0
    deployment.network.dropped_tags |= set() if is_announced else {"record"}
    recorder = RequestRecorder(deployment, "n1")
    parent = job_spec(1)
    assert submit_once(deployment, "n0", parent).status == 201
    deployment.run(0.1)
    assert (parent.id in deployment.nodes.current("n1").view.jobs) == is_announced
    child = job_spec(2, task_count=1, depends_on=[parent.id])
    assert submit_once(deployment, "n1", child).status == 201
    assert (recorder.count_reads(parent.id) == 0) == is_announced
    assert not deployment.rules.violations


@pytest.mark.parametrize("final_state", ["done", "cancelled"])
def test_a_parent_that_was_over_long_ago_is_known_by_its_final_state(final_state: str) -> None:
    deployment = start_deployment()
    users = deployment.users
    run_s = 1.0 if final_state == "done" else 60.0
    parent = users.submit(job_spec(1, task_count=1, estimated_run_s=run_s))
    if final_state == "done":
        assert users.wait_until_done(parent, 40.0)
    else:
        users.cancel(parent)
        deployment.run_until(lambda: keys.FINAL_STATES + parent in deployment.store.data, 40.0)
    deployment.nodes.kill_all(restart_after_s=0.5)
    deployment.run(15.0)
    child = job_spec(2, task_count=1, estimated_run_s=1.0, depends_on=[parent])
    reply = submit_once(deployment, "n1", child)
    assert reply.status == 201
    assert reply.state == ("queued" if final_state == "done" else "cancelled")
    if final_state == "done":
        assert users.wait_until_done(child.id, 40.0)
    assert users.state_of(child.id) == final_state
    assert not deployment.rules.violations


@pytest.mark.parametrize("is_carried_out", [True, False])
def test_an_acceptance_as_cancelled_without_a_response_is_found_by_the_next_try(
    is_carried_out: bool,
) -> None:
    deployment = start_deployment()
    parent = deployment.users.submit(job_spec(1, task_count=1, estimated_run_s=60.0))
    deployment.users.cancel(parent)
    child = job_spec(2, depends_on=[parent])
    final_key = keys.FINAL_STATES + child.id
    delays = iter([100.0 if is_carried_out else 5.0])

    def delay_first_acceptance(_node: str, request: object) -> float | None:
        is_acceptance = isinstance(request, CompareAndSwap) and any(
            put.key == final_key for put in request.puts
        )
        return next(delays, None) if is_acceptance else None

    if is_carried_out:
        deployment.store_link.response_delay_s = delay_first_acceptance
    else:
        deployment.store_link.commit_delay_s = delay_first_acceptance
    assert submit_once(deployment, "n0", child).status == (200 if is_carried_out else 503)
    deployment.users.submit(child, "n0")
    assert deployment.users.state_of(child.id) == "cancelled"
    deployment.run(10.0)
    assert deployment.users.state_of(child.id) == "cancelled"
    assert not deployment.rules.violations


def test_what_cannot_be_decided_now_is_refused_for_now() -> None:
    deployment = start_deployment()
    deployment.store.start_outage()
    reply: UserReply = submit_once(deployment, "n0", job_spec(2, depends_on=["job-000001"]))
    assert reply.status == 503
    assert reply.retry_after_s >= 1


def test_ids_that_nobody_submitted_do_not_use_up_the_rate_of_the_store() -> None:
    deployment = start_deployment()
    recorder = RequestRecorder(deployment, "n0")
    unknown = [f"job-{number}" for number in range(900_000, 901_000)]
    for number in range(100, 140):
        deployment.users.request("n0", "submit", job_spec(number, depends_on=unknown))
    deployment.run(5.0)
    # The first unknown id decides, by three reads, and two more show that the job itself is not
    # known; only so many are under way at once.
    max_concurrent_reads = deployment.nodes.current("n0").job_services.lookups.max_concurrent_reads
    assert max_concurrent_reads < 20
    assert recorder.count(Get) <= 5 * max_concurrent_reads
    job = deployment.users.submit(job_spec(1, task_count=1, estimated_run_s=1.0))
    assert deployment.users.wait_until_done(job, 40.0)


def test_many_finished_parents_are_looked_up_over_several_tries() -> None:
    deployment = start_deployment()
    tasks = deployment.tasks
    parents = [job_spec(number) for number in range(1000, 1300)]
    for parent in parents:
        deployment.store.put(keys.FINAL_STATES + parent.id, "done", version=1)
        tasks.specs[parent.id] = parent
        tasks.done |= {(parent.id, index) for index in range(parent.task_count)}
    deployment.store_link.latency_s = 0.05
    depends_on = [parent.id for parent in parents]
    child = job_spec(1, task_count=1, estimated_run_s=1.0, depends_on=depends_on)
    deployment.users.submit(child, "n0")
    assert deployment.users.wait_until_done(child.id, 40.0)
    assert not deployment.rules.violations


def test_long_chains_of_dependencies_are_walked_without_recursion() -> None:
    """A long chain and a wide stage: no walk over all waiting jobs either."""
    deployment = start_deployment()
    controller = deployment.nodes.current("n0")
    top = job_spec(1, task_count=1)
    descendants = chain_after(top, range(2, 3000))
    for place, spec in enumerate([top, *descendants]):
        controller.view.apply_read(keys.JOBS + spec.id, stored_record(spec), 10_000 + place)
    controller.view.publish_changes()
    assert sum(1 for _ in controller.job_services.dependencies.descendants(top.id)) == 2998
    controller.job_services.cancels.record(top.id, 20_000)
    assert all(
        controller.job_services.dependencies.has_cancelled_ancestor(spec.id) for spec in descendants
    )


def test_a_job_released_after_a_failover_does_not_wait_for_unresponsive_agents() -> None:
    deployment = start_deployment()
    parent = job_spec(1, task_count=1, estimated_run_s=16.0)
    child = job_spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    others = [job_spec(number, task_count=8, estimated_run_s=60.0) for number in (3, 4)]
    submit_all(deployment, parent, child, *others)
    tasks = deployment.tasks
    deployment.run_until(lambda: tasks.has_started(parent.id) and len(tasks.starts) >= 12, 30.0)
    # One agent stops responding with the restart: its shard is reconciled only when its lease is
    # over.
    unresponsive = next(
        agent
        for agent in deployment.agents.values()
        if agent.live_tasks and agent.name not in tasks.machines_of(parent.id)
    )
    unresponsive.is_unresponsive = True
    deployment.nodes.kill_all(restart_after_s=0.5)
    deployment.run(2.0)
    assert deployment.run_until(
        lambda: any(shard.unreconciled_machines for _, shard in led_shards(deployment)), 8.0
    )
    waiting = [
        shard.slices[child.id]
        for _, shard in led_shards(deployment)
        if shard.unreconciled_machines and child.id in shard.slices
    ]
    assert all(not job_slice.is_unreconciled for job_slice in waiting)
    unresponsive.is_unresponsive = False
    assert deployment.users.wait_until_done(child.id, 60.0)
    assert not deployment.rules.violations
