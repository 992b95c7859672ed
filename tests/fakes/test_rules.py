"""The simulated deployment judges every rule from the outside: here it must report violations."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from marblestair.core.domain.agents import CommandVerb, TaskCommand
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.store_requests import CompareAndSwap, GrantLease, Put
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from marblestair.core.state import keys
from tests.fakes.agent import FakeAgent
from tests.fakes.samples import MACHINE_TYPES, job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.fakes.store import RequestOrder

JOB, PARENT, GRANDPARENT = "job-000001", "job-000002", "job-000003"
#: longer than any test: tasks do not end, and leases do not expire
LONGER_THAN_TESTS_S = 1e6


def deployment_without_controllers(**job: Any) -> SimulatedDeployment:
    """Two machines in zone a, one of them spot, and one in zone b; a job that was accepted."""
    deployment = SimulatedDeployment(1, 1)
    deployment.nodes.kill("n0")
    for number, (zone, spot) in enumerate((("a", False), ("a", True), ("b", False))):
        agent = FakeAgent(deployment, f"host-{number:06d}", MACHINE_TYPES[1], zone, spot)
        agent.is_up, agent.lease_renewed_at = True, LONGER_THAN_TESTS_S
        deployment.agents[agent.name] = agent
    set_job_spec(deployment, **job)
    reply_to_user(deployment, "submit", "queued", 201)
    return deployment


def set_job_spec(deployment: SimulatedDeployment, **changes: Any) -> None:
    """Have the job be described with some changes."""
    base = {"allows_spot": True, "estimated_run_s": LONGER_THAN_TESTS_S}
    deployment.tasks.specs[JOB] = job_spec(1, **{**base, **changes})


def reply_to_user(
    deployment: SimulatedDeployment, kind: str, state: str, status: int = 200, job: str = JOB
) -> None:
    """A user gets an answer."""
    spec = deployment.tasks.specs.get(job, job_spec(1, id=job))
    argument = spec if kind == "submit" else job
    deployment.rules.check_reply(kind, argument, UserReply(1, status, job, state))


def start_task(deployment: SimulatedDeployment, index: int, host: int, attempt: int = 1) -> None:
    """A task of the job is started on a machine."""
    agent = list(deployment.agents.values())[host]
    agent.execute_commands([TaskCommand(CommandVerb.START, JOB, index, attempt)])


def confirm_cancel(deployment: SimulatedDeployment, job: str = JOB) -> None:
    """A user asks for a cancel, and gets it confirmed."""
    deployment.rules.cancel_requested.add(job)
    reply_to_user(deployment, "cancel", "cancelled", job=job)


def run_twice(deployment: SimulatedDeployment) -> None:
    start_task(deployment, 0, 0)
    start_task(deployment, 0, 2, attempt=2)


def exceed_the_limit(deployment: SimulatedDeployment) -> None:
    """A team's limit is 24 cpus and its tasks take 24; then they take more."""
    for index in range(6):
        start_task(deployment, index, index // 2)
    deployment.run(0.5)
    assert not deployment.rules.violations
    set_job_spec(deployment, cpus=4.5, task_count=9)
    deployment.run(0.5)


def start_on_first(deployment: SimulatedDeployment) -> None:
    start_task(deployment, 0, 0)


def start_on_spot(deployment: SimulatedDeployment) -> None:
    start_task(deployment, 0, 1)


def start_in_two_zones(deployment: SimulatedDeployment) -> None:
    start_task(deployment, 0, 0)
    start_task(deployment, 1, 2)


def start_all_in_one_zone(deployment: SimulatedDeployment) -> None:
    for index in range(3):
        start_task(deployment, index, 0)


def run_unresponsive_after_cancel(deployment: SimulatedDeployment) -> None:
    start_task(deployment, 0, 0)
    deployment.agents["host-000000"].is_unresponsive = True
    confirm_cancel(deployment)
    deployment.run(deployment.cancel_s + 1.0)


def start_late_after_cancel(deployment: SimulatedDeployment) -> None:
    confirm_cancel(deployment)
    deployment.run(deployment.cancel_s + 0.1)
    start_task(deployment, 0, 0)


def launch_after_cancel(deployment: SimulatedDeployment) -> None:
    confirm_cancel(deployment)
    deployment.nodes.start("n0")
    controller = deployment.nodes.controller("n0")
    response = HeartbeatResponse(200, 1, [TaskCommand(CommandVerb.START, JOB, 0, 1)])
    controller.receive_heartbeat = lambda heartbeat: response  # type: ignore[method-assign]
    deployment.agents["host-000000"].send_heartbeat()
    deployment.run(1.0)


def answer_not_found(deployment: SimulatedDeployment) -> None:
    reply_to_user(deployment, "query", "", 404)


def refuse_for_good(deployment: SimulatedDeployment) -> None:
    reply_to_user(deployment, "submit", "", 422)


def answer_for_nobodys_job(deployment: SimulatedDeployment) -> None:
    reply_to_user(deployment, "query", "queued", 200, "job-000009")


def answer_done(deployment: SimulatedDeployment) -> None:
    reply_to_user(deployment, "query", "done")


def answer_running_after_cancel(deployment: SimulatedDeployment) -> None:
    confirm_cancel(deployment)
    reply_to_user(deployment, "query", "running")


def answer_cancelled_by_nobody(deployment: SimulatedDeployment) -> None:
    reply_to_user(deployment, "query", "cancelled")


def wait_beside_free_capacity(deployment: SimulatedDeployment) -> None:
    deployment.rules.failures_ended_at = deployment.now
    start_task(deployment, 0, 0)
    deployment.run(95.0)


def commit_unguarded(deployment: SimulatedDeployment) -> None:
    deployment.store.execute(CompareAndSwap([], [Put("main/x", 1)]), "n0")
    deployment.run(0.5)


def commit_reordered(deployment: SimulatedDeployment) -> None:
    """An earlier request of a process is carried out after a later one."""
    store = deployment.store
    lease_id = store.execute(GrantLease(5000), "n0").lease_id
    key = keys.NODES + "n0"
    for number in (9, 4):
        commit = CompareAndSwap([(key, store.version(key))], [Put(key, 1, lease_id)])
        store.execute(commit, "n0", RequestOrder(1, number))
    deployment.run(0.5)


def start_before_dependency(deployment: SimulatedDeployment) -> None:
    """The job starts before the one that it depends on is done."""
    deployment.tasks.specs[PARENT] = job_spec(2, task_count=2)
    deployment.tasks.done.add((PARENT, 0))
    start_task(deployment, 0, 0)


def answer_orphan(deployment: SimulatedDeployment, state: str) -> None:
    """The job is called live too long after one before it, twice removed, was cancelled."""
    deployment.tasks.specs[PARENT] = job_spec(2, depends_on=[GRANDPARENT])
    deployment.tasks.specs[GRANDPARENT] = job_spec(3)
    reply_to_user(deployment, "submit", "queued", 201, GRANDPARENT)
    confirm_cancel(deployment, GRANDPARENT)
    reply_to_user(deployment, "query", state)
    assert not deployment.rules.violations
    deployment.run(deployment.cancel_s + 0.1)
    reply_to_user(deployment, "query", state)


def answer_orphan_queued(deployment: SimulatedDeployment) -> None:
    answer_orphan(deployment, "queued")


def answer_orphan_running(deployment: SimulatedDeployment) -> None:
    answer_orphan(deployment, "running")


def run_after_done(deployment: SimulatedDeployment) -> None:
    """A task goes on though users were answered that its job is done."""
    start_task(deployment, 0, 0)
    deployment.tasks.done |= {(JOB, index) for index in range(6)}
    reply_to_user(deployment, "query", "done")
    deployment.run(deployment.cancel_s)
    assert not deployment.rules.violations
    deployment.run(0.5)


def run_after_parents_cancel(deployment: SimulatedDeployment) -> None:
    """A task goes on though a job before its own was cancelled."""
    deployment.tasks.specs[PARENT] = job_spec(2)
    reply_to_user(deployment, "submit", "queued", 201, PARENT)
    start_task(deployment, 0, 0)
    set_job_spec(deployment, depends_on=[PARENT])
    confirm_cancel(deployment, PARENT)
    deployment.run(deployment.cancel_s + 0.5)


def violation_case(violate: Callable[[SimulatedDeployment], None], rule: str, /, **job: Any) -> Any:
    """A breach of a rule, with changes of the job; named by the function that commits it."""
    return pytest.param(job, violate, rule, id=violate.__name__)


@pytest.mark.parametrize(
    ("job", "violate", "rule"),
    [
        violation_case(run_twice, "ran_twice"),
        violation_case(exceed_the_limit, "quota", cpus=4.0, task_count=9),
        pytest.param({"machine_types": ["t4"]}, start_on_first, "wrong_place", id="wrong_type"),
        pytest.param({"zone": "b"}, start_on_first, "wrong_place", id="wrong_zone"),
        violation_case(start_on_spot, "wrong_place", allows_spot=False),
        violation_case(start_in_two_zones, "wrong_place", single_zone=True),
        violation_case(start_all_in_one_zone, "wrong_place", spread_zones=True, task_count=3),
        violation_case(run_unresponsive_after_cancel, "ran_cancelled"),
        violation_case(start_late_after_cancel, "ran_cancelled"),
        violation_case(launch_after_cancel, "started_cancelled"),
        violation_case(answer_not_found, "forgotten"),
        violation_case(refuse_for_good, "forgotten"),
        violation_case(answer_for_nobodys_job, "invented"),
        violation_case(answer_done, "not_done"),
        violation_case(answer_running_after_cancel, "went_back"),
        violation_case(answer_cancelled_by_nobody, "went_back"),
        violation_case(wait_beside_free_capacity, "waits"),
        violation_case(start_before_dependency, "too_early", depends_on=[PARENT]),
        violation_case(answer_orphan_queued, "orphaned", depends_on=[PARENT]),
        violation_case(answer_orphan_running, "orphaned", depends_on=[PARENT]),
        violation_case(run_after_done, "orphaned"),
        violation_case(run_after_parents_cancel, "orphaned"),
        violation_case(commit_unguarded, "unguarded"),
        violation_case(commit_reordered, "reordered"),
    ],
)
def test_a_violation_is_reported(
    job: dict[str, Any], violate: Callable[[SimulatedDeployment], None], rule: str
) -> None:
    deployment = deployment_without_controllers(**job)
    assert not deployment.rules.violations
    violate(deployment)
    assert any(violation.startswith(rule) for violation in deployment.rules.violations)


def test_forgotten_unserved_and_late_jobs_are_reported() -> None:
    deployment = deployment_without_controllers()
    unserved = {"unserved: class c", "unserved: team red"}
    assert set(deployment.rules.unstarted_and_starved()) == unserved
    assert deployment.users.unanswered_jobs() == [JOB]
    deployment.run(241.0)
    assert set(deployment.rules.unstarted_and_starved()) == unserved | {f"late: {JOB}"}
    assert not deployment.rules.violations
