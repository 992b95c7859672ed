"""A scenario with faults of all kinds at random times, which differ from seed to seed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from tests.tools import job_mix
from tests.tools.deployment import CLOUD_HOST, STORE_HOST, Deployment
from tests.tools.scenarios_cancels import pipelines
from tests.tools.scenarios_jobs import FIRST_SUBMISSION_S
from tests.tools.users import UserPlan

#: injects a fault and returns a function that ends it
Fault: TypeAlias = Callable[[Deployment], Callable[[], Any]]

#: bounds of the time at which a fault begins, and of its duration
FIRST_FAULT_S, LAST_FAULT_S = 8.0, 130.0
MIN_FAULT_S, MAX_FAULT_S = 0.3, 14.0
#: time at which the store, the network and all controllers are restored
ALL_FAULTS_END_S = 145.0
FAULT_COUNT = 24


def random_faults(deployment: Deployment) -> None:
    """Random faults of all kinds while jobs are submitted, wait for other jobs or are withdrawn."""
    rng = deployment.random
    pipelines(deployment)
    for number in range(200, 240):
        plans = [
            UserPlan(),
            UserPlan(submit_again_after_s=rng.uniform(0.1, 30.0)),
            UserPlan(withdraw_after_s=rng.uniform(0.1, 40.0)),
        ]
        deployment.at(
            rng.uniform(FIRST_SUBMISSION_S, LAST_FAULT_S),
            deployment.users.submit,
            job_mix.random_job(rng, number),
            rng.choice(plans),
        )
    for _ in range(FAULT_COUNT):
        begin_s = rng.uniform(FIRST_FAULT_S, LAST_FAULT_S)
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        deployment.at(begin_s, _inject, deployment, rng.choice(ALL_FAULTS), duration_s)
    deployment.at(ALL_FAULTS_END_S, _end_all_faults, deployment)


def _inject(deployment: Deployment, fault: Fault, duration_s: float) -> None:
    deployment.loop.call_later(duration_s, fault(deployment))


def _end_all_faults(deployment: Deployment) -> None:
    deployment.store.end_faults()
    deployment.network.end_partitions()
    for number in range(len(deployment.controllers.hosts)):
        deployment.controllers.start(number)


def _random_controller(deployment: Deployment) -> int:
    return deployment.random.randrange(len(deployment.controllers.hosts))


def _crash(deployment: Deployment) -> Callable[[], Any]:
    """Kill a controller, with a probability of one half by power loss."""
    number = _random_controller(deployment)
    deployment.controllers.kill(number, is_power_loss=deployment.random.random() < 0.5)
    return lambda: deployment.controllers.start(number)


def _store_outage(deployment: Deployment) -> Callable[[], Any]:
    """Begin an outage of the store for all clients."""
    deployment.store.begin_outage()
    return deployment.store.end_outage


def _store_refusal(deployment: Deployment) -> Callable[[], Any]:
    """Let the store refuse the requests of one controller."""
    name = deployment.controllers.hosts[_random_controller(deployment)].name
    deployment.store.refused_hosts.add(name)
    return lambda: deployment.store.refused_hosts.discard(name)


def _store_faults(deployment: Deployment) -> Callable[[], Any]:
    """Let the store answer slowly, lose answers, or delay transactions or watches."""
    faults = deployment.store.faults
    name, value = deployment.random.choice(
        [
            ("slowness_s", 0.5),
            ("lost_answers", 0.25),
            ("late_transactions", 0.3),
            ("watch_lag_s", 2.0),
        ]
    )
    setattr(faults, name, value)
    return lambda: setattr(faults, name, 0.0)


def _partition(deployment: Deployment) -> Callable[[], Any]:
    """Cut a controller off from some other hosts, in one direction or both, or refuse it."""
    rng, network = deployment.random, deployment.network
    names = [host.name for host in deployment.controllers.hosts]
    agents = [agent.machine.name for agent in deployment.agents]
    name = rng.choice(names)
    others = rng.choice(
        [names, [STORE_HOST.name], [CLOUD_HOST.name], agents, [*names, STORE_HOST.name]]
    )
    cut = rng.choice([network.cut, network.cut_both_ways, network.refuse])
    for other in others:
        if other != name:
            cut(name, other)
    return network.end_partitions


def _hung_machines(deployment: Deployment) -> Callable[[], Any]:
    """Let some machines hang."""
    agents = deployment.random_agents(3)
    for agent in agents:
        agent.hang()

    def end() -> None:
        for agent in agents:
            agent.resume()

    return end


def _restarted_machines(deployment: Deployment) -> Callable[[], Any]:
    """Restart some machines; ending this fault does nothing."""
    for agent in deployment.random_agents(2):
        agent.restart()
    return lambda: None


def _cloud_outage(deployment: Deployment) -> Callable[[], Any]:
    """Begin an outage of the cloud."""
    deployment.cloud.faults.is_down = True

    def end() -> None:
        deployment.cloud.faults.is_down = False

    return end


ALL_FAULTS: list[Fault] = [
    _crash,
    _crash,
    _store_outage,
    _store_refusal,
    _store_faults,
    _store_faults,
    _partition,
    _partition,
    _hung_machines,
    _restarted_machines,
    _cloud_outage,
]
