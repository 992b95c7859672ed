"""Scenarios without faults: jobs of all kinds, with enough and with too little capacity."""

from __future__ import annotations

from tests.tools import job_mix
from tests.tools.deployment import ZONES, Deployment
from tests.tools.users import UserPlan
from tests.tools.workload import job_submission

#: time of the earliest submission, by which the controllers have started to act
FIRST_SUBMISSION_S = 2.0


def submit_mix(deployment: Deployment, count: int, until_s: float, first_number: int = 0) -> None:
    """Submit random jobs of all kinds at random times; every fifth on average twice."""
    rng = deployment.random
    for number in range(first_number, first_number + count):
        at_s = rng.uniform(FIRST_SUBMISSION_S, until_s)
        submit_again_s = rng.uniform(0.01, 20.0) if rng.random() < 0.2 else None
        plan = UserPlan(submit_again_after_s=submit_again_s)
        deployment.at(at_s, deployment.users.submit, job_mix.random_job(rng, number), plan)


def submissions(deployment: Deployment) -> None:
    """A few small array jobs."""
    for number in range(12):
        at_s = deployment.random.uniform(FIRST_SUBMISSION_S, 24.0)
        deployment.at(at_s, deployment.users.submit, job_submission(number, pieces=1 + number))


def steady(deployment: Deployment) -> None:
    """Arrays, gangs and services of several teams, with deadlines, zones and spot machines."""
    submit_mix(deployment, 45, 80.0)
    for number in range(500, 504):
        description = job_mix.service_job(number, owner=job_mix.TEAMS[number % 4])
        plan = UserPlan(withdraw_after_s=deployment.random.uniform(15.0, 60.0))
        deployment.at(5.0 + number % 4 * 9.0, deployment.users.submit, description, plan)
    for number in range(len(deployment.controllers.hosts)):
        deployment.at(45.0 + number, deployment.controllers.request_status, number)


def contention(deployment: Deployment) -> None:
    """Few machines: jobs are queued and preempted, and quota shares move between shards."""
    limit_capacity(deployment, {"c4": 2, "c16": 2, "g8": 1})
    users, rng = deployment.users, deployment.random
    for number in range(600, 612):
        low = job_submission(
            number,
            owner=rng.choice(["guests", "speech", "vision"]),
            urgency="low",
            pieces=rng.randint(4, 16),
            cpus=rng.choice([1.0, 2.0]),
            expected_s=rng.uniform(30.0, 60.0),
            bookmark_s=rng.choice([0.0, 3.0]),
            bookmark_cost_s=1.0,
            loaners=rng.random() < 0.5,
        )
        deployment.at(rng.uniform(FIRST_SUBMISSION_S, 10.0), users.submit, low)
    for number in range(620, 640):
        high = job_submission(
            number,
            owner=rng.choice(["vision", "vision", "speech"]),
            urgency=rng.choice(["prod", "high"]),
            shape=rng.choice(["batch", "group", "group"]),
            pieces=rng.randint(2, 6),
            cpus=rng.choice([2.0, 4.0]),
            together=rng.random() < 0.3,
            due_s=rng.choice([None, 30.0]),
        )
        deployment.at(rng.uniform(25.0, 80.0), users.submit, high)
    submit_mix(deployment, 15, 70.0)


def starved(deployment: Deployment) -> None:
    """So few machines that most jobs wait for minutes, and the oldest jobs are favoured."""
    limit_capacity(deployment, {"c4": 1, "c16": 1, "g8": 0})
    users, rng = deployment.users, deployment.random
    for number in range(50):
        description = job_submission(
            number,
            owner=rng.choice(job_mix.TEAMS),
            urgency=rng.choice(job_mix.URGENCIES),
            pieces=rng.randint(4, 40),
            expected_s=rng.uniform(15.0, 45.0),
            shape=rng.choice(["batch", "batch", "batch", "group"]),
        )
        if description["shape"] == "group":
            description.update(pieces=rng.randint(1, 6))
        deployment.at(rng.uniform(FIRST_SUBMISSION_S, 40.0), users.submit, description)


def limit_capacity(deployment: Deployment, machines: dict[str, int]) -> None:
    """Limit the on-demand machines of each type per zone, and offer no spot machines."""
    for sku, count in machines.items():
        for zone in ZONES:
            deployment.cloud.capacity[(sku, zone, False)] = count
            deployment.cloud.capacity[(sku, zone, True)] = 0
