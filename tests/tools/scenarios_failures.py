"""Scenarios with controllers that crash, and with network partitions."""

from __future__ import annotations

from tests.tools.deployment import CLOUD_HOST, STORE_HOST, Deployment
from tests.tools.scenarios_cancels import cancels, pipelines
from tests.tools.scenarios_jobs import submit_mix


def controller_crashes(deployment: Deployment) -> None:
    """Controllers crash one by one, for a long or a short time, one of them by power loss."""
    submit_mix(deployment, 20, 90.0, first_number=200)
    cancels(deployment)
    controllers = deployment.controllers
    deployment.at(12.0, controllers.kill_and_restart, 0, 25.0)
    deployment.at(30.0, controllers.kill_and_restart, 1, 0.2)
    deployment.at(31.0, controllers.kill_and_restart, 1, 0.4)
    deployment.at(50.0, controllers.kill_and_restart, 2, 15.0, True)
    deployment.at(75.0, controllers.kill_and_restart, 0, 5.0)
    deployment.at(76.0, controllers.kill_and_restart, 1, 12.0)
    deployment.at(100.0, controllers.kill_and_restart, 2, 0.1)


def simultaneous_crashes(deployment: Deployment) -> None:
    """All controllers crash at once and restart soon, or after the agents' leases expired."""
    submit_mix(deployment, 12, 80.0, first_number=200)
    pipelines(deployment)
    controllers = deployment.controllers
    deployment.at(20.0, controllers.kill_all)
    deployment.at(50.0, controllers.kill_all)
    for number in range(len(controllers.hosts)):
        deployment.at(20.3 + 0.4 * number, controllers.start, number)
        deployment.at(66.0 + 3.0 * number, controllers.start, number)


def partitions(deployment: Deployment) -> None:
    """Controllers are cut off from each other, the store, the agents, and from all of these."""
    submit_mix(deployment, 36, 140.0, first_number=200)
    cancels(deployment)
    network = deployment.network
    names = [host.name for host in deployment.controllers.hosts]

    def cut_from(name: str, others: list[str]) -> None:
        for other in others:
            if other != name:
                network.cut_both_ways(name, other)

    def cut_one_way() -> None:
        for other in [*names[1:], STORE_HOST.name]:
            network.cut(other, names[0])

    def refuse_among_controllers() -> None:
        for name in names[1:]:
            network.refuse(names[0], name)

    def isolate(name: str) -> None:
        cut_from(name, [*names, STORE_HOST.name, CLOUD_HOST.name])

    deployment.at(14.0, cut_from, names[0], names)
    deployment.at(24.0, network.end_partitions)
    deployment.at(30.0, cut_one_way)
    deployment.at(42.0, network.end_partitions)
    deployment.at(48.0, refuse_among_controllers)
    deployment.at(62.0, network.end_partitions)
    deployment.at(66.0, network.cut_from_kind, names[1], "agent")
    deployment.at(120.0, network.end_partitions)
    deployment.at(126.0, isolate, names[2])
    deployment.at(150.0, network.end_partitions)
    deployment.at(154.0, cut_from, names[1], [STORE_HOST.name])
    deployment.at(164.0, network.end_partitions)


def partitioned_pipelines(deployment: Deployment) -> None:
    """Controllers are cut off or crash while jobs wait for other jobs."""
    pipelines(deployment)
    network, controllers = deployment.network, deployment.controllers
    names = [host.name for host in controllers.hosts]

    def refuse_all() -> None:
        for number, name in enumerate(names):
            for other in names[number + 1 :]:
                network.refuse(name, other)

    deployment.at(11.0, refuse_all)
    deployment.at(30.0, network.end_partitions)
    deployment.at(34.0, network.cut_both_ways, names[0], names[1])
    deployment.at(35.0, network.cut_both_ways, names[0], STORE_HOST.name)
    deployment.at(55.0, network.end_partitions)
    deployment.at(58.0, controllers.kill_and_restart, 1, 14.0, True)
    deployment.at(78.0, refuse_all)
    deployment.at(84.0, controllers.kill_and_restart, 0, 3.0)
    deployment.at(100.0, network.end_partitions)
