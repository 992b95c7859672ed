"""Scenarios of machines and agents that fail, and of troubles with the cloud."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from tests.tools import job_mix
from tests.tools.agents import SLOW_SPEED, Agent
from tests.tools.deployment import ZONES, Deployment
from tests.tools.scenarios_cancels import cancels
from tests.tools.scenarios_jobs import FIRST_S, submit_mix
from tests.tools.users import Plan


def machines(deployment: Deployment) -> None:
    """Machines that hang, restart, fail, are slow, deaf or mute, with late copies of reports."""
    submit_mix(deployment, 50, 120.0, first_number=200)
    cancels(deployment)
    deployment.at(30.0, deployment.users.submit, job_mix.flawed(800), Plan(withdraw_after_s=50.0))
    deployment.at(32.0, deployment.users.submit, job_mix.flawed(801, shape="group"))
    _for_some(deployment, 18.0, 12.0, 2, Agent.hang, Agent.resume)
    _for_some(deployment, 26.0, 4.0, 3, Agent.hang, Agent.resume)
    _for_some(deployment, 30.0, 1.0, 2, Agent.restart, None)
    _for_some(deployment, 36.0, 80.0, 4, _deaf(True), _deaf(False))
    _for_some(deployment, 40.0, 20.0, 2, _mute(True), _mute(False))
    _for_some(deployment, 44.0, 40.0, 3, _failing(True), _failing(False))
    _for_some(deployment, 50.0, 60.0, 2, _at_speed(SLOW_SPEED), _at_speed(1.0))
    _for_some(deployment, 20.0, 100.0, 6, _copying(0.2), _copying(0.0))
    deployment.at(48.0, deployment.controllers.kill_for, 1, 8.0)
    _for_some(deployment, 70.0, 1.0, 2, lambda agent: _fail(deployment, agent), None)
    _for_some(deployment, 90.0, 35.0, 3, Agent.hang, Agent.resume)


def cloud_troubles(deployment: Deployment) -> None:
    """No capacity, outages, machines that never boot or that nobody rented, lost answers."""
    submit_mix(deployment, 60, 120.0, first_number=200)
    cloud = deployment.cloud
    for zone in ("a", "b"):
        cloud.capacity[("c16", zone, False)] = 1
        cloud.capacity[("c16", zone, True)] = 2
        cloud.capacity[("c4", zone, False)] = 3

    def trouble(**changes: Any) -> None:
        cloud.troubles = replace(cloud.troubles, **changes)

    trouble(late_boots=0.2, instant_boots=0.2, is_down=True)
    cloud.list_machines = 6
    deployment.at(4.0, trouble, is_down=False)
    deployment.at(12.0, trouble, never_boots=0.3)
    deployment.at(35.0, trouble, never_boots=0.0, is_down=True)
    deployment.at(50.0, trouble, is_down=False, lost_answers=0.3)
    deployment.at(65.0, trouble, lost_answers=0.0, late_requests=0.3)
    deployment.at(80.0, trouble, late_requests=0.0)
    deployment.at(45.0, cloud.rent_unasked, "c4", "a")
    deployment.at(46.0, _rent_useless, deployment)


def spot(deployment: Deployment) -> None:
    """Only spot machines are to be had, and the cloud takes them back, some with no notice."""
    for sku in ("c4", "c16", "g8"):
        for zone in ZONES:
            deployment.cloud.capacity[(sku, zone, False)] = 0
    users, source = deployment.users, deployment.random
    for number in range(40):
        description = job_mix.draw(source, number)
        description.update(
            loaners=True, bookmark_s=source.choice([0.0, 2.0, 2.0]), bookmark_cost_s=0.5
        )
        deployment.at(source.uniform(FIRST_S, 90.0), users.submit, description)
    for number in range(9):
        at_s = 20.0 + 12.0 * number
        _for_some(deployment, at_s, 1.0, 3, lambda agent: _take_back(deployment, agent, 10.0), None)
    _for_some(deployment, 60.0, 1.0, 2, lambda agent: _take_back(deployment, agent, 0.0), None)


def _rent_useless(deployment: Deployment) -> None:
    """Machines that nobody asked for: one is up but silent, one fails at once."""
    silent = deployment.cloud.rent_unasked("c4", "b")
    deployment.network.freeze(silent.host)
    deployment.cloud.fail(deployment.cloud.rent_unasked("c4", "c"))


def _for_some(
    deployment: Deployment,
    at_s: float,
    for_s: float,
    count: int,
    begin: Callable[[Agent], Any],
    end: Callable[[Agent], Any] | None,
) -> None:
    """Let something happen to some agents for a time."""

    def happen() -> None:
        for agent in deployment.some_agents(count):
            begin(agent)
            if end is not None:
                deployment.loop.call_later(for_s, end, agent)

    deployment.at(at_s, happen)


def _take_back(deployment: Deployment, agent: Agent, notice_s: float) -> None:
    """The cloud takes a spot machine back, with a notice or without."""
    if not agent.machine.is_spot:
        return
    if notice_s:
        agent.recall(notice_s)
    deployment.loop.call_later(notice_s, deployment.cloud.take_back, agent.machine)


def _fail(deployment: Deployment, agent: Agent) -> None:
    deployment.cloud.fail(agent.machine)


def _deaf(value: bool) -> Callable[[Agent], None]:
    def change(agent: Agent) -> None:
        agent.is_deaf = value

    return change


def _mute(value: bool) -> Callable[[Agent], None]:
    def change(agent: Agent) -> None:
        agent.is_mute = value

    return change


def _failing(value: bool) -> Callable[[Agent], None]:
    def change(agent: Agent) -> None:
        agent.is_failing = value

    return change


def _at_speed(value: float) -> Callable[[Agent], None]:
    def change(agent: Agent) -> None:
        agent.speed = value

    return change


def _copying(share: float) -> Callable[[Agent], None]:
    def change(agent: Agent) -> None:
        agent.late_copies = share

    return change
