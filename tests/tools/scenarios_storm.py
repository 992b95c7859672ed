"""A scenario of all troubles at random times: each seed is another one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from tests.tools import job_mix
from tests.tools.deployment import CLOUD_HOST, STORE_HOST, Deployment
from tests.tools.scenarios_cancels import pipelines
from tests.tools.scenarios_jobs import FIRST_S
from tests.tools.users import Plan

#: begins a trouble; the result ends it
Trouble: TypeAlias = Callable[[Deployment], Callable[[], Any]]

#: troubles begin within this time, and each lasts for a time within these bounds
BEGIN_S, LAST_BEGIN_S = 8.0, 130.0
SHORTEST_S, LONGEST_S = 0.3, 14.0
#: from here on all is well again
CALM_S = 145.0
TROUBLES = 24


def storm(deployment: Deployment) -> None:
    """Troubles of all kinds at random times, while jobs come, wait for others, are withdrawn."""
    source = deployment.random
    pipelines(deployment)
    for number in range(200, 240):
        plans = [
            Plan(),
            Plan(submit_again_after_s=source.uniform(0.1, 30.0)),
            Plan(withdraw_after_s=source.uniform(0.1, 40.0)),
        ]
        deployment.at(
            source.uniform(FIRST_S, LAST_BEGIN_S),
            deployment.users.submit,
            job_mix.draw(source, number),
            source.choice(plans),
        )
    for _ in range(TROUBLES):
        begins_s = source.uniform(BEGIN_S, LAST_BEGIN_S)
        lasts_s = source.uniform(SHORTEST_S, LONGEST_S)
        deployment.at(begins_s, _begin, deployment, source.choice(ALL_TROUBLES), lasts_s)
    deployment.at(CALM_S, _calm, deployment)


def _begin(deployment: Deployment, trouble: Trouble, lasts_s: float) -> None:
    deployment.loop.call_later(lasts_s, trouble(deployment))


def _calm(deployment: Deployment) -> None:
    deployment.store.end_troubles()
    deployment.network.end_partitions()
    for number in range(len(deployment.controllers.hosts)):
        deployment.controllers.start(number)


def _some_controller(deployment: Deployment) -> int:
    return deployment.random.randrange(len(deployment.controllers.hosts))


def _death(deployment: Deployment) -> Callable[[], Any]:
    """A controller dies, perhaps with its host."""
    number = _some_controller(deployment)
    deployment.controllers.kill(number, is_power_loss=deployment.random.random() < 0.5)
    return lambda: deployment.controllers.start(number)


def _outage(deployment: Deployment) -> Callable[[], Any]:
    """The store is out for all."""
    deployment.store.begin_outage()
    return deployment.store.end_outage


def _refusal(deployment: Deployment) -> Callable[[], Any]:
    """The store refuses one controller."""
    name = deployment.controllers.hosts[_some_controller(deployment)].name
    deployment.store.refused_hosts.add(name)
    return lambda: deployment.store.refused_hosts.discard(name)


def _bad_answers(deployment: Deployment) -> Callable[[], Any]:
    """The store's answers are slow, lost or late."""
    troubles = deployment.store.troubles
    name, value = deployment.random.choice(
        [
            ("slowness_s", 0.5),
            ("lost_answers", 0.25),
            ("late_transactions", 0.3),
            ("watch_lag_s", 2.0),
        ]
    )
    setattr(troubles, name, value)
    return lambda: setattr(troubles, name, 0.0)


def _cut(deployment: Deployment) -> Callable[[], Any]:
    """A controller is cut from some other hosts, in one direction or both."""
    source, network = deployment.random, deployment.network
    names = [host.name for host in deployment.controllers.hosts]
    agents = [agent.machine.name for agent in deployment.agents]
    name = source.choice(names)
    others = source.choice(
        [names, [STORE_HOST.name], [CLOUD_HOST.name], agents, [*names, STORE_HOST.name]]
    )
    cut = source.choice([network.cut, network.cut_both_ways, network.refuse])
    for other in others:
        if other != name:
            cut(name, other)
    return network.end_partitions


def _hang(deployment: Deployment) -> Callable[[], Any]:
    """Some machines hang."""
    agents = deployment.some_agents(3)
    for agent in agents:
        agent.hang()

    def end() -> None:
        for agent in agents:
            agent.resume()

    return end


def _restart(deployment: Deployment) -> Callable[[], Any]:
    """Some machines restart."""
    for agent in deployment.some_agents(2):
        agent.restart()
    return lambda: None


def _cloud_outage(deployment: Deployment) -> Callable[[], Any]:
    """The cloud is out."""
    deployment.cloud.troubles.is_down = True

    def end() -> None:
        deployment.cloud.troubles.is_down = False

    return end


ALL_TROUBLES: list[Trouble] = [
    _death,
    _death,
    _outage,
    _refusal,
    _bad_answers,
    _bad_answers,
    _cut,
    _cut,
    _hang,
    _restart,
    _cloud_outage,
]
