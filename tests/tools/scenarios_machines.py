"""Scenarios with faults of machines, agents and the cloud."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from tests.tools import job_mix
from tests.tools.agents import SLOW_SPEED_FACTOR, Agent
from tests.tools.deployment import ZONES, Deployment
from tests.tools.scenarios_cancels import cancels
from tests.tools.scenarios_jobs import FIRST_SUBMISSION_S, submit_mix
from tests.tools.users import UserPlan


def machines(deployment: Deployment) -> None:
    """Machines hang, restart, fail or are slow; agents drop commands or send late heartbeats."""
    submit_mix(deployment, 50, 120.0, first_number=200)
    cancels(deployment)
    deployment.at(
        30.0, deployment.users.submit, job_mix.failing_job(800), UserPlan(withdraw_after_s=50.0)
    )
    deployment.at(32.0, deployment.users.submit, job_mix.failing_job(801, shape="group"))
    _apply_to_some(deployment, 18.0, 12.0, 2, Agent.hang, Agent.resume)
    _apply_to_some(deployment, 26.0, 4.0, 3, Agent.hang, Agent.resume)
    _apply_to_some(deployment, 30.0, 1.0, 2, Agent.restart, None)
    _apply_to_some(
        deployment, 36.0, 80.0, 4, _set_ignores_controllers(True), _set_ignores_controllers(False)
    )
    _apply_to_some(
        deployment, 40.0, 20.0, 2, _set_suppresses_reports(True), _set_suppresses_reports(False)
    )
    _apply_to_some(deployment, 44.0, 40.0, 3, _set_fails_tasks(True), _set_fails_tasks(False))
    _apply_to_some(deployment, 50.0, 60.0, 2, _set_speed(SLOW_SPEED_FACTOR), _set_speed(1.0))
    _apply_to_some(deployment, 20.0, 100.0, 6, _set_late_copy_share(0.2), _set_late_copy_share(0.0))
    deployment.at(48.0, deployment.controllers.kill_and_restart, 1, 8.0)
    _apply_to_some(deployment, 70.0, 1.0, 2, lambda agent: _fail(deployment, agent), None)
    _apply_to_some(deployment, 90.0, 35.0, 3, Agent.hang, Agent.resume)


def cloud_faults(deployment: Deployment) -> None:
    """Missing capacity, outages, failed boots, machines without a rental, and lost answers."""
    submit_mix(deployment, 60, 120.0, first_number=200)
    cloud = deployment.cloud
    for zone in ("a", "b"):
        cloud.capacity[("c16", zone, False)] = 1
        cloud.capacity[("c16", zone, True)] = 2
        cloud.capacity[("c4", zone, False)] = 3

    def set_faults(**changes: Any) -> None:
        cloud.faults = replace(cloud.faults, **changes)

    set_faults(late_boots=0.2, instant_boots=0.2, is_down=True)
    cloud.max_list_machines = 6
    deployment.at(4.0, set_faults, is_down=False)
    deployment.at(12.0, set_faults, never_boots=0.3)
    deployment.at(35.0, set_faults, never_boots=0.0, is_down=True)
    deployment.at(50.0, set_faults, is_down=False, lost_answers=0.3)
    deployment.at(65.0, set_faults, lost_answers=0.0, late_requests=0.3)
    deployment.at(80.0, set_faults, late_requests=0.0)
    deployment.at(45.0, cloud.create_unrequested, "c4", "a")
    deployment.at(46.0, _create_unrequested_machines, deployment)


def spot(deployment: Deployment) -> None:
    """Only spot machines are available; the cloud reclaims some with and some without notice."""
    for sku in ("c4", "c16", "g8"):
        for zone in ZONES:
            deployment.cloud.capacity[(sku, zone, False)] = 0
    users, rng = deployment.users, deployment.random
    for number in range(40):
        description = job_mix.random_job(rng, number)
        description.update(
            loaners=True, bookmark_s=rng.choice([0.0, 2.0, 2.0]), bookmark_cost_s=0.5
        )
        deployment.at(rng.uniform(FIRST_SUBMISSION_S, 90.0), users.submit, description)
    for number in range(9):
        at_s = 20.0 + 12.0 * number
        _apply_to_some(
            deployment, at_s, 1.0, 3, lambda agent: _reclaim(deployment, agent, 10.0), None
        )
    _apply_to_some(deployment, 60.0, 1.0, 2, lambda agent: _reclaim(deployment, agent, 0.0), None)


def _create_unrequested_machines(deployment: Deployment) -> None:
    """Create two machines without a rental: one whose agent is silent, one that fails at once."""
    silent = deployment.cloud.create_unrequested("c4", "b")
    deployment.network.freeze(silent.host)
    deployment.cloud.fail(deployment.cloud.create_unrequested("c4", "c"))


def _apply_to_some(
    deployment: Deployment,
    at_s: float,
    duration_s: float,
    count: int,
    begin: Callable[[Agent], Any],
    end: Callable[[Agent], Any] | None,
) -> None:
    """Apply ``begin`` to some random agents at a time, and ``end`` to them after the duration."""

    def apply() -> None:
        for agent in deployment.random_agents(count):
            begin(agent)
            if end is not None:
                deployment.loop.call_later(duration_s, end, agent)

    deployment.at(at_s, apply)


def _reclaim(deployment: Deployment, agent: Agent, notice_s: float) -> None:
    """Let the cloud reclaim a spot machine, after a notice period or at once."""
    if not agent.machine.is_spot:
        return
    if notice_s:
        agent.announce_reclaim(notice_s)
    deployment.loop.call_later(notice_s, deployment.cloud.terminate, agent.machine)


def _fail(deployment: Deployment, agent: Agent) -> None:
    deployment.cloud.fail(agent.machine)


def _set_ignores_controllers(value: bool) -> Callable[[Agent], None]:
    def set_attribute(agent: Agent) -> None:
        agent.ignores_controllers = value

    return set_attribute


def _set_suppresses_reports(value: bool) -> Callable[[Agent], None]:
    def set_attribute(agent: Agent) -> None:
        agent.suppresses_reports = value

    return set_attribute


def _set_fails_tasks(value: bool) -> Callable[[Agent], None]:
    def set_attribute(agent: Agent) -> None:
        agent.fails_tasks = value

    return set_attribute


def _set_speed(value: float) -> Callable[[Agent], None]:
    def set_attribute(agent: Agent) -> None:
        agent.speed = value

    return set_attribute


def _set_late_copy_share(share: float) -> Callable[[Agent], None]:
    def set_attribute(agent: Agent) -> None:
        agent.late_copy_share = share

    return set_attribute
