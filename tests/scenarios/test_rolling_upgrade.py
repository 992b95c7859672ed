"""Controllers of the production version and the present version share a deployment and data."""

from __future__ import annotations

import functools
import itertools
import random
from typing import Any

import msgspec
import pytest

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.state import keys
from tests.core.jobs.pipelines import (
    submit_all,
    submit_pipeline,
    wait_until_all_cancelled,
    wait_until_all_done,
)
from tests.fakes.samples import STORE_LIMITS_LATER, STORE_LIMITS_NOW, job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import leader_of, leaders, manager_of, start_deployment


def start_in_production(seed: int = 1, nodes: int = 3) -> SimulatedDeployment:
    """Start a deployment whose nodes all run the production version."""
    limits = {**STORE_LIMITS_NOW, "next": STORE_LIMITS_LATER}
    return start_deployment(seed, nodes, in_production=True, state=limits)


def start_mixed_versions(seed: int = 1) -> SimulatedDeployment:
    """Start a deployment in which one of three nodes is upgraded to the present version."""
    deployment = start_in_production(seed)
    deployment.nodes.upgrade("n1", 0.5)
    deployment.run(12.0)
    assert set(leaders(deployment)) == {"n0", "n1", "n2"}
    return deployment


def upgrade_all(deployment: SimulatedDeployment) -> None:
    """Upgrade the nodes to the present version, one after another."""
    for name in deployment.nodes.names:
        deployment.nodes.upgrade(name, 1.0)
        deployment.run(6.0)


def submit_mixed_jobs(deployment: SimulatedDeployment, first: int) -> list[JobSpec]:
    """Submit an array that spans all shards, a gang, and some small jobs."""
    specs = [
        job_spec(first, task_count=30, estimated_run_s=4.0),
        job_spec(first + 1, kind="gang", task_count=3, estimated_run_s=8.0, team="blue"),
        job_spec(
            first + 2,
            task_count=2,
            estimated_run_s=25.0,
            checkpoint_interval_s=5.0,
            checkpoint_save_s=1.0,
        ),
        job_spec(first + 3, task_count=1, estimated_run_s=1.0),
    ]
    submit_all(deployment, *specs)
    return specs


def assert_no_violation(deployment: SimulatedDeployment) -> None:
    """Assert that no rule was violated and that the store refused no commit as too large."""
    assert not deployment.store.oversized_commits
    assert not deployment.rules.violations


def test_production_ignores_new_messages() -> None:
    deployment = start_in_production()
    deployment.run(1.0)
    controller: Any = deployment.nodes.controller("n0")
    jobs = dict(controller.view.jobs)
    controller.receive_message("n1", "ended", ["job-000001", "done"])
    controller.receive_message("n1", "record", ["job-000001", [], 5])
    assert controller.view.jobs == jobs
    assert not [line for line in controller.context.outbox.log_lines if line.level == "error"]


@pytest.mark.parametrize("order", list(itertools.permutations(["n0", "n1", "n2"])))
def test_nodes_are_upgraded_one_after_the_other_in_each_order(order: tuple[str, ...]) -> None:
    seed = sum(int(name[1]) * 10**position for position, name in enumerate(order))
    deployment = start_in_production(seed)
    specs = submit_mixed_jobs(deployment, 1)
    for position, name in enumerate(order, 1):
        deployment.nodes.upgrade(name, 1.0)
        deployment.run(2.0)
        specs += submit_mixed_jobs(deployment, 10 * position)
        deployment.run(6.0)
    # Pipelines and the store's lower limits come only after all nodes are upgraded.
    specs += submit_pipeline(deployment, 100)
    deployment.store.set_limits(STORE_LIMITS_LATER)
    assert wait_until_all_done(deployment, specs, 150.0)
    assert_no_violation(deployment)


def upgrade_amid_failures(
    deployment: SimulatedDeployment, rng: random.Random, specs: list[JobSpec]
) -> None:
    """Upgrade the nodes, one or two at a time, amid other failures and new jobs."""
    users, store = deployment.users, deployment.store
    names = list(deployment.nodes.names)
    rng.shuffle(names)
    first = 10
    while names:
        if len(names) > 1 and rng.random() < 0.4:
            # The killed node restarts with the version that it had.
            deployment.nodes.kill(names[-1], rng.choice([0.2, 4.0]))
        if rng.random() < 0.3:
            store.start_outage()
            deployment.schedule(rng.uniform(2.0, 15.0), store.end_outage)
        count = min(len(names), rng.choice([1, 2]))
        for _ in range(count):
            deployment.nodes.upgrade(names.pop(0), rng.choice([0.3, 3.0]))
        specs += submit_mixed_jobs(deployment, first)
        first += 10
        if rng.random() < 0.5:
            delay_s = rng.uniform(0.0, 5.0)
            cancel = functools.partial(users.cancel_once, rng.choice(specs).id)
            deployment.schedule(delay_s, cancel)
        deployment.run(rng.uniform(3.0, 15.0))


@pytest.mark.parametrize("seed", range(8))
def test_an_upgrade_amid_drawn_failures(seed: int) -> None:
    """A node that is killed before its upgrade restarts with the production version."""
    rng = random.Random(seed)
    deployment = start_in_production(seed, rng.choice([3, 5]))
    users, rules = deployment.users, deployment.rules
    deployment.store_link.lost_response_ratio = rng.choice([0.0, 0.05])
    deployment.store_link.late_commit_ratio = rng.choice([0.0, 0.03])
    deployment.agent_link.duplicate_ratio = rng.choice([0.0, 0.1])
    specs = submit_mixed_jobs(deployment, 1)
    upgrade_amid_failures(deployment, rng, specs)
    deployment.run(8.0)
    deployment.store.set_limits(STORE_LIMITS_LATER)
    specs += submit_pipeline(deployment, 200)
    deployment.end_failures()
    for job in [spec.id for spec in specs]:
        expected = ("done", "cancelled") if job in rules.cancel_requested else ("done",)
        assert deployment.run_until(
            lambda job=job, expected=expected: users.state_of(job) in expected, 150.0
        ), job
    assert_no_violation(deployment)


@pytest.mark.parametrize(("killed", "also_killed"), [("n0", "n2"), ("n1", "n2")])
def test_a_failover_to_the_other_version(killed: str, also_killed: str) -> None:
    deployment = start_mixed_versions()
    nodes = deployment.nodes
    specs = submit_mixed_jobs(deployment, 1)
    deployment.run(4.0)
    # The only remaining node runs the other version than the first killed one.
    nodes.kill(killed)
    nodes.kill(also_killed)
    deployment.run(20.0)
    [left] = nodes.running_names
    assert (left in nodes.in_production) != (killed in nodes.in_production)
    assert set(leaders(deployment)) == {left}
    for name in (killed, also_killed):
        nodes.start(name)
    assert wait_until_all_done(deployment, specs, 150.0)
    assert_no_violation(deployment)


@pytest.mark.parametrize("asked", ["n0", "n1"])
def test_a_cancel_confirmed_by_one_version_for_tasks_of_the_other(asked: str) -> None:
    deployment = start_mixed_versions()
    users = deployment.users
    job = users.submit(job_spec(1, task_count=24, estimated_run_s=60.0))
    deployment.run(12.0)
    slices = deployment.store.value(keys.JOBS + job)[2]
    assert {leader_of(deployment, int(shard_id)) for shard_id in slices} == {"n0", "n1", "n2"}
    deployment.run_until(
        lambda: any(reply.status == 200 for reply in users.request(asked, "cancel", job)), 20.0
    )
    assert deployment.run_until(lambda: users.state_of(job) == "cancelled", deployment.cancel_s)
    deployment.run(deployment.cancel_s + 2.0)
    assert not any(agent.live_tasks for agent in deployment.agents.values())
    assert_no_violation(deployment)


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_between_versions_carry_tasks_through_an_outage(seed: int) -> None:
    deployment = start_mixed_versions(seed)
    specs = [job_spec(number, task_count=6, estimated_run_s=40.0) for number in (1, 2)]
    submit_all(deployment, *specs)
    deployment.run(12.0)
    starts = list(deployment.tasks.starts)
    deployment.store.start_outage()
    deployment.run(1.5 * deployment.lease_s)
    # Agents' leases would have expired by now if no controller led its shard under promises.
    for name in deployment.nodes.names:
        assert deployment.nodes.controller(name).leadership.led_shards()
    deployment.store.end_outage()
    assert wait_until_all_done(deployment, specs, 150.0)
    started_tasks = {(start.job, start.task_index) for start in starts}
    assert len(started_tasks) == len(starts)
    assert_no_violation(deployment)


def test_slices_migrate_between_versions() -> None:
    deployment = start_mixed_versions()
    job = deployment.users.submit(job_spec(1, task_count=60, estimated_run_s=6.0))

    def migrations() -> int:
        return sum(
            item.scheduling_services.slice_migrations.completed_count
            for item in deployment.nodes.running
        )

    deployment.run_until(lambda: migrations() > 2, 60.0)
    assert migrations() > 0
    assert deployment.users.wait_until_done(job, 200.0)
    assert_no_violation(deployment)


def test_a_cancel_of_a_record_that_production_wrote_reaches_its_dependents() -> None:
    """The production version accepts the parent, the present version accepts the child."""
    deployment = start_in_production()
    parent = deployment.users.submit(job_spec(1, task_count=2, estimated_run_s=120.0))
    upgrade_all(deployment)
    child = job_spec(2, depends_on=[parent])
    deployment.users.submit(child)
    assert manager_of(deployment, child.id)
    assert deployment.users.cancel(parent) == "cancelled"
    assert wait_until_all_cancelled(deployment, [child], deployment.cancel_s)
    assert_no_violation(deployment)


def test_records_stored_under_larger_limits_are_read_and_rewritten_smaller() -> None:
    deployment = start_in_production()
    types = ["t4", "t8", *(f"type-{number}-{'x' * 30}" for number in range(52))]
    cancelled, finished = (
        job_spec(number, task_count=3, estimated_run_s=25.0, machine_types=types)
        for number in (1, 2)
    )
    submit_all(deployment, cancelled, finished)
    upgrade_all(deployment)
    deployment.store.set_limits(STORE_LIMITS_LATER)
    record = deployment.store.value(keys.JOBS + cancelled.id)
    assert len(msgspec.msgpack.encode(record)) > deployment.store.value_limit_bytes
    assert deployment.users.cancel(cancelled.id) == "cancelled"
    assert deployment.users.wait_until_done(finished.id, 90.0)
    assert wait_until_all_cancelled(deployment, [cancelled], deployment.cancel_s)
    assert_no_violation(deployment)
