"""Scenarios of jobs that are withdrawn, and of jobs that wait for others."""

from __future__ import annotations

from typing import Any

from tests.tools import job_mix
from tests.tools.deployment import Deployment
from tests.tools.scenarios_jobs import FIRST_S, submit_mix
from tests.tools.users import Plan
from tests.tools.workload import describe, job_id


def cancels(deployment: Deployment) -> None:
    """Jobs withdrawn at any time: at once, while they run, as they end, and again."""
    source, users = deployment.random, deployment.users
    plans = [
        Plan(withdraw_after_s=0.001),
        Plan(withdraw_after_s=0.05, submit_again_after_s=0.06),
        Plan(withdraw_after_s=1.0),
        Plan(withdraw_after_s=8.0, submit_again_after_s=8.1),
        Plan(withdraw_after_s=30.0),
        Plan(withdraw_at_done=0),
        Plan(withdraw_at_done=2),
    ]
    for number in range(42):
        plan = plans[number % len(plans)]
        deployment.at(
            source.uniform(FIRST_S, 60.0), users.submit, job_mix.draw(source, number), plan
        )
    for number in range(700, 704):
        description = job_mix.service(number, pieces=3)
        plan = Plan(withdraw_after_s=source.uniform(5.0, 40.0))
        deployment.at(source.uniform(FIRST_S, 20.0), users.submit, description, plan)
    _withdraw_from_hung_machines(deployment)


def _withdraw_from_hung_machines(deployment: Deployment) -> None:
    """Machines hang while the jobs on them are withdrawn."""
    long = describe(710, pieces=12, cpus=2.0, expected_s=60.0)
    deployment.at(20.0, deployment.users.submit, long, Plan(withdraw_after_s=20.0))

    def hang() -> None:
        for agent in deployment.some_agents(2):
            agent.hang()
            deployment.loop.call_later(30.0, agent.resume)

    deployment.at(38.0, hang)


def pipelines(deployment: Deployment) -> None:
    """Chains, diamonds and fans of jobs, with parents withdrawn, unknown or done long ago."""
    submit_mix(deployment, 8, 40.0, first_number=300)
    chains = [_chain(deployment, 10 * number, 3 + number % 3) for number in range(8)]
    for number, chain in enumerate(chains):
        plans = [Plan()] * len(chain)
        if number == 1:
            plans[0] = Plan(withdraw_after_s=6.0)
        if number == 2:
            plans[1] = Plan(withdraw_after_s=3.0)
        if number == 3:
            plans[0] = Plan(withdraw_at_done=0)
        _submit_together(deployment, 4.0 + 5.0 * number, chain, plans)
    _submit_together(deployment, 10.0, _diamond(deployment, 100), [Plan()] * 4)
    doomed = [Plan(), Plan(), Plan(withdraw_after_s=4.0), Plan()]
    _submit_together(deployment, 16.0, _diamond(deployment, 110), doomed)
    fan = [describe(120)] + [describe(x, awaits=[job_id(120)], pieces=1) for x in range(121, 145)]
    _submit_together(deployment, 22.0, fan, [Plan(withdraw_after_s=2.5)] + [Plan()] * 24)
    twice = describe(156, awaits=[job_id(0), job_id(100), job_id(0)])
    deployment.at(10.1, deployment.users.submit, twice)
    deployment.at(24.0, deployment.controllers.ask_status, 0)
    late = [
        describe(150, awaits=[job_id(0)]),
        describe(151, awaits=[job_id(10)]),
        describe(152, awaits=[job_id(9999)]),
        describe(153, awaits=[job_id(153)]),
        describe(154, awaits=[job_id(0), job_id(0), job_id(100)], shape="group"),
        describe(155, awaits=[job_id(120), job_id(9999)]),
    ]
    for number, description in enumerate(late):
        deployment.at(80.0 + number, deployment.users.submit, description)


def _chain(deployment: Deployment, first: int, length: int) -> list[dict[str, Any]]:
    """Jobs that await each other one by one, the last with a deadline."""
    chain = [describe(first, **_size(deployment))]
    for number in range(first + 1, first + length):
        chain.append(describe(number, awaits=[job_id(number - 1)], **_size(deployment)))
    chain[-1].update(due_s=60.0, urgency="high")
    return chain


def _diamond(deployment: Deployment, first: int) -> list[dict[str, Any]]:
    """A job, two that await it, and one that awaits both."""
    middle = [describe(first + x, awaits=[job_id(first)], pieces=2) for x in (1, 2)]
    last = describe(first + 3, awaits=[job_id(first + 1), job_id(first + 2)], shape="group")
    return [describe(first, **_size(deployment)), *middle, last]


def _size(deployment: Deployment) -> dict[str, Any]:
    source = deployment.random
    return {"pieces": source.randint(1, 6), "expected_s": source.uniform(2.0, 8.0)}


def _submit_together(
    deployment: Deployment, at_s: float, descriptions: list[dict[str, Any]], plans: list[Plan]
) -> None:
    """Submit jobs in quick succession, each after those that it awaits."""
    for number, (description, plan) in enumerate(zip(descriptions, plans, strict=True)):
        deployment.at(at_s + 0.3 * number, deployment.users.submit, description, plan)
