"""Scenarios with withdrawn jobs and with jobs that depend on other jobs."""

from __future__ import annotations

from typing import Any

from tests.tools import job_mix
from tests.tools.deployment import Deployment
from tests.tools.scenarios_jobs import FIRST_SUBMISSION_S, submit_mix
from tests.tools.users import UserPlan
from tests.tools.workload import job_id, job_submission


def cancels(deployment: Deployment) -> None:
    """Jobs withdrawn at different times: at once, while running, near their end, and repeatedly."""
    rng, users = deployment.random, deployment.users
    plans = [
        UserPlan(withdraw_after_s=0.001),
        UserPlan(withdraw_after_s=0.05, submit_again_after_s=0.06),
        UserPlan(withdraw_after_s=1.0),
        UserPlan(withdraw_after_s=8.0, submit_again_after_s=8.1),
        UserPlan(withdraw_after_s=30.0),
        UserPlan(withdraw_at_done=0),
        UserPlan(withdraw_at_done=2),
    ]
    for number in range(42):
        plan = plans[number % len(plans)]
        deployment.at(
            rng.uniform(FIRST_SUBMISSION_S, 60.0),
            users.submit,
            job_mix.random_job(rng, number),
            plan,
        )
    for number in range(700, 704):
        description = job_mix.service_job(number, pieces=3)
        plan = UserPlan(withdraw_after_s=rng.uniform(5.0, 40.0))
        deployment.at(rng.uniform(FIRST_SUBMISSION_S, 20.0), users.submit, description, plan)
    _withdraw_from_hung_machines(deployment)


def _withdraw_from_hung_machines(deployment: Deployment) -> None:
    """Let machines hang while the jobs on them are withdrawn."""
    long = job_submission(710, pieces=12, cpus=2.0, expected_s=60.0)
    deployment.at(20.0, deployment.users.submit, long, UserPlan(withdraw_after_s=20.0))

    def hang() -> None:
        for agent in deployment.random_agents(2):
            agent.hang()
            deployment.loop.call_later(30.0, agent.resume)

    deployment.at(38.0, hang)


def pipelines(deployment: Deployment) -> None:
    """Dependency chains, diamonds and fans, with parents withdrawn, unknown or done long before."""
    submit_mix(deployment, 8, 40.0, first_number=300)
    chains = [_chain(deployment, 10 * number, 3 + number % 3) for number in range(8)]
    for number, chain in enumerate(chains):
        plans = [UserPlan()] * len(chain)
        if number == 1:
            plans[0] = UserPlan(withdraw_after_s=6.0)
        if number == 2:
            plans[1] = UserPlan(withdraw_after_s=3.0)
        if number == 3:
            plans[0] = UserPlan(withdraw_at_done=0)
        _submit_in_sequence(deployment, 4.0 + 5.0 * number, chain, plans)
    _submit_in_sequence(deployment, 10.0, _diamond(deployment, 100), [UserPlan()] * 4)
    cancelled_plans = [UserPlan(), UserPlan(), UserPlan(withdraw_after_s=4.0), UserPlan()]
    _submit_in_sequence(deployment, 16.0, _diamond(deployment, 110), cancelled_plans)
    fan = [job_submission(120)] + [
        job_submission(x, awaits=[job_id(120)], pieces=1) for x in range(121, 145)
    ]
    _submit_in_sequence(deployment, 22.0, fan, [UserPlan(withdraw_after_s=2.5)] + [UserPlan()] * 24)
    duplicate_parents = job_submission(156, awaits=[job_id(0), job_id(100), job_id(0)])
    deployment.at(10.1, deployment.users.submit, duplicate_parents)
    deployment.at(24.0, deployment.controllers.request_status, 0)
    late = [
        job_submission(150, awaits=[job_id(0)]),
        job_submission(151, awaits=[job_id(10)]),
        job_submission(152, awaits=[job_id(9999)]),
        job_submission(153, awaits=[job_id(153)]),
        job_submission(154, awaits=[job_id(0), job_id(0), job_id(100)], shape="group"),
        job_submission(155, awaits=[job_id(120), job_id(9999)]),
    ]
    for number, description in enumerate(late):
        deployment.at(80.0 + number, deployment.users.submit, description)


def _chain(deployment: Deployment, first: int, length: int) -> list[dict[str, Any]]:
    """Return submissions of jobs that each await the one before; the last has a deadline."""
    chain = [job_submission(first, **_size(deployment))]
    for number in range(first + 1, first + length):
        chain.append(job_submission(number, awaits=[job_id(number - 1)], **_size(deployment)))
    chain[-1].update(due_s=60.0, urgency="high")
    return chain


def _diamond(deployment: Deployment, first: int) -> list[dict[str, Any]]:
    """Return submissions of a job, two jobs that await it, and one that awaits these two."""
    middle = [job_submission(first + x, awaits=[job_id(first)], pieces=2) for x in (1, 2)]
    last = job_submission(first + 3, awaits=[job_id(first + 1), job_id(first + 2)], shape="group")
    return [job_submission(first, **_size(deployment)), *middle, last]


def _size(deployment: Deployment) -> dict[str, Any]:
    rng = deployment.random
    return {"pieces": rng.randint(1, 6), "expected_s": rng.uniform(2.0, 8.0)}


def _submit_in_sequence(
    deployment: Deployment, at_s: float, descriptions: list[dict[str, Any]], plans: list[UserPlan]
) -> None:
    """Submit jobs in the given order, 0.3 s apart."""
    for number, (description, plan) in enumerate(zip(descriptions, plans, strict=True)):
        deployment.at(at_s + 0.3 * number, deployment.users.submit, description, plan)
