"""Functions on simulated deployments that several test files share."""

from __future__ import annotations

import itertools
from typing import Any

from marblestair.core.controller import Controller
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from tests.fakes.agent import FakeAgent
from tests.fakes.simulated_deployment import SimulatedDeployment

#: time after the start within which the controllers lead their shards
START_UP_S = 4.0


def start_deployment(seed: int = 1, nodes: int = 3, **cluster: Any) -> SimulatedDeployment:
    """Start a deployment and run it until its controllers lead their shards."""
    deployment = SimulatedDeployment(seed, nodes, **cluster)
    deployment.run(START_UP_S)
    return deployment


def leader_of(deployment: SimulatedDeployment, shard_id: int) -> str:
    """Return the leader of a shard according to the stored shard map."""
    return str(deployment.store.value(keys.SHARD_MAP)[1][shard_id][0])


def leaders(deployment: SimulatedDeployment) -> list[str]:
    """Return the leader of each shard according to the stored shard map."""
    return [str(shard[0]) for shard in deployment.store.value(keys.SHARD_MAP)[1]]


def manager_of(deployment: SimulatedDeployment, job: str) -> str:
    """Return the leader of the shard that manages a job."""
    return leader_of(deployment, deployment.store.value(keys.JOBS + job)[1])


def leaders_of_job(deployment: SimulatedDeployment, job: str) -> set[str]:
    """Return the leaders of the shard that manages a job and of the shards with its slices."""
    record = deployment.store.value(keys.JOBS + job)
    return {leader_of(deployment, shard_id) for shard_id in (record[1], *map(int, record[2]))}


def leader_of_machine(deployment: SimulatedDeployment, machine: str) -> str:
    """Return the leader of a machine's shard."""
    return leader_of(deployment, deployment.store.value(keys.MACHINES + machine)[0])


def agents_running(deployment: SimulatedDeployment, job: str) -> list[FakeAgent]:
    """Return the agents with live tasks of a job."""
    return [agent for agent in deployment.busy_agents if agent.tasks_of(job)]


def leaders_running(deployment: SimulatedDeployment, job: str) -> list[str]:
    """Return the leader of the machine of each agent with live tasks of a job."""
    return [leader_of_machine(deployment, agent.name) for agent in agents_running(deployment, job)]


def leader_of_most_machines(deployment: SimulatedDeployment, job: str) -> str:
    """Return the node that leads the most machines with live tasks of a job."""
    nodes = leaders_running(deployment, job)
    return max(sorted(nodes), key=nodes.count)


def led_shards(deployment: SimulatedDeployment) -> list[tuple[Controller, Shard]]:
    """Return each led shard with the controller that leads it."""
    return [
        (controller, shard)
        for controller in deployment.nodes.running
        for shard in controller.leadership.led_shards()
    ]


def shard_with_machine(deployment: SimulatedDeployment, machine: str) -> tuple[Controller, Shard]:
    """Return the shard of a machine and the controller that leads it."""
    return next(pair for pair in led_shards(deployment) if machine in pair[1].machines)


def all_controllers_lead(deployment: SimulatedDeployment) -> bool:
    """Return whether each controller runs and leads a shard."""
    controllers = deployment.nodes.controllers.values()
    return all(
        controller is not None and controller.leadership.led_shards() for controller in controllers
    )


def agent_incarnations(deployment: SimulatedDeployment) -> set[int]:
    """Return the incarnations of the serving agents; {1} if no lease ever expired."""
    return {agent.incarnation for agent in deployment.serving_agents}


def isolate_controllers(deployment: SimulatedDeployment) -> None:
    """Partition the controllers from one another only."""
    for node, other in itertools.combinations(deployment.nodes.names, 2):
        deployment.network.isolate(node, other)


def poll_job(
    deployment: SimulatedDeployment, job: str, seconds: float, cancel: bool = True
) -> None:
    """Each second, query a job at all running nodes and optionally cancel it at a random one."""
    end = deployment.now + seconds
    while deployment.now < end:
        for node in deployment.nodes.running_names:
            deployment.users.request(node, "query", job)
        if cancel:
            deployment.users.request(deployment.rng.choice(deployment.nodes.names), "cancel", job)
        deployment.run(1.0)
