"""Acceptance of submissions: repeated, infeasible, refused for now, too many at once."""

from __future__ import annotations

from tests.fakes.samples import job_spec
from tests.helpers import agent_incarnations, start_deployment


def test_jobs_end_well_though_responses_are_lost_and_commits_come_late() -> None:
    deployment = start_deployment(12)
    users = deployment.users
    deployment.store_link.lost_response_ratio = 0.2
    deployment.store_link.late_commit_ratio = 0.05
    cancelled, *others = users.submit_many(range(1, 6), task_count=4, estimated_run_s=4.0)
    users.cancel(cancelled)
    assert all(users.wait_until_done(job, 300.0) for job in others)
    assert users.state_of(cancelled) in ("cancelled", "")
    assert not deployment.rules.violations


def test_repeated_submissions_make_one_job() -> None:
    deployment = start_deployment(13)
    users, tasks = deployment.users, deployment.tasks
    spec = job_spec(1, task_count=3)
    asked = [
        users.request(name, "submit", spec) for name in deployment.nodes.names for _ in range(2)
    ]
    deployment.run(2.0)
    assert all(replies and replies[0].status in (200, 201) for replies in asked)
    assert sum(replies[0].status == 201 for replies in asked) == 1
    assert users.wait_until_done(spec.id, 60.0)
    started_tasks = {(start.job, start.task_index) for start in tasks.starts}
    assert len(started_tasks) == len(tasks.starts) == 3
    repeated = users.request("n1", "submit", spec)
    deployment.run(2.0)
    assert repeated[0].status == 200
    assert repeated[0].state == "done"


def test_unknown_jobs_and_infeasible_submissions_are_refused_for_good() -> None:
    deployment = start_deployment(14)
    users = deployment.users
    replies = users.request("n0", "query", "job-999999")
    deployment.run(2.0)
    assert replies[0].status == 404
    for spec in (
        job_spec(1, team="nobody"),
        job_spec(2, cpus=9.0),
        job_spec(3, kind="gang", task_count=25),
        job_spec(4, machine_types=["t4"], cpus=5.0),
        job_spec(5, zone="nowhere"),
    ):
        asked = [users.request(name, "submit", spec) for name in deployment.nodes.names]
        deployment.run(2.0)
        assert [replies[0].status for replies in asked] == [422, 422, 422]


def test_a_store_outage_refuses_submissions_for_now_and_loses_nothing() -> None:
    deployment = start_deployment(15)
    users = deployment.users
    jobs = users.submit_many(range(1, 4), task_count=6, estimated_run_s=8.0)
    deployment.run(8.0)
    deployment.store.start_outage()
    deployment.run(6.0)
    replies = users.request("n0", "submit", job_spec(50))
    deployment.run(3.0)
    assert replies[0].status == 503
    assert replies[0].retry_after_s >= 1
    deployment.run(12.0)
    deployment.store.end_outage()
    assert all(users.wait_until_done(job, 200.0) for job in jobs)
    assert not deployment.rules.violations


def test_a_cloud_outage_at_the_start_does_not_block_acceptance() -> None:
    deployment = start_deployment(16)
    deployment.run(3.0)
    deployment.cloud.is_down = True
    deployment.nodes.kill_all(restart_after_s=1.0)
    deployment.run(5.0)
    job = deployment.users.submit(job_spec(1))
    deployment.cloud.is_down = False
    assert deployment.users.wait_until_done(job, 120.0)
    assert not deployment.rules.violations


def test_a_flood_of_submissions_is_refused_at_once_while_heartbeats_go_on() -> None:
    deployment = start_deployment(41)
    users, names = deployment.users, deployment.nodes.names
    job = users.submit(job_spec(1, task_count=12, estimated_run_s=30.0))
    deployment.run(12.0)
    begun = deployment.now
    asked = [
        users.request(names[number % 3], "submit", job_spec(number, task_count=2))
        for number in range(100, 400)
    ]
    refusals = [replies[0] for replies in asked if replies and replies[0].status == 429]
    # Refused in the same instant, each with the time after which to come back.
    assert deployment.now == begun
    assert len(refusals) > 200
    assert all(1 <= reply.retry_after_s <= 30 for reply in refusals)
    deployment.run(3.0)
    assert all(replies and replies[0].status in (201, 429) for replies in asked)
    # Agents get their responses all the while, and what was accepted is done.
    assert agent_incarnations(deployment) == {1}
    assert all(deployment.now - agent.lease_renewed_at < 3.0 for agent in deployment.serving_agents)
    accepted = list(deployment.rules.accepted_at)
    assert job in accepted
    assert all(users.wait_until_done(job, 600.0) for job in accepted)
    assert not deployment.rules.violations
