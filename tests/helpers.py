"""Look-ups in simulated deployments that several test files share."""

from __future__ import annotations

import itertools
from typing import Any

from marblestair.core.controller import Controller
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from tests.fakes.agent import FakeAgent
from tests.fakes.simulated_deployment import SimulatedDeployment

#: time in which the controllers lead their shards
START_UP_S = 4.0


def start_deployment(seed: int = 1, nodes: int = 3, **cluster: Any) -> SimulatedDeployment:
    """A deployment whose controllers lead their shards."""
    deployment = SimulatedDeployment(seed, nodes, **cluster)
    deployment.run(START_UP_S)
    return deployment


def leader_of(deployment: SimulatedDeployment, shard_id: int) -> str:
    """The node that the stored shard map names as a shard's leader."""
    return str(deployment.store.value(keys.SHARD_MAP)[1][shard_id][0])


def leaders(deployment: SimulatedDeployment) -> list[str]:
    """The nodes that the stored shard map names as leaders, shard by shard."""
    return [str(shard[0]) for shard in deployment.store.value(keys.SHARD_MAP)[1]]


def manager_of(deployment: SimulatedDeployment, job: str) -> str:
    """The node that leads the shard which manages a job."""
    return leader_of(deployment, deployment.store.value(keys.JOBS + job)[1])


def leaders_of_job(deployment: SimulatedDeployment, job: str) -> set[str]:
    """The nodes that lead the shard which manages a job, or one that has a slice of it."""
    record = deployment.store.value(keys.JOBS + job)
    return {leader_of(deployment, shard_id) for shard_id in (record[1], *map(int, record[2]))}


def leader_of_machine(deployment: SimulatedDeployment, machine: str) -> str:
    """The node that leads the shard of a machine."""
    return leader_of(deployment, deployment.store.value(keys.MACHINES + machine)[0])


def agents_running(deployment: SimulatedDeployment, job: str) -> list[FakeAgent]:
    """The agents with live tasks of a job."""
    return [agent for agent in deployment.busy_agents if agent.tasks_of(job)]


def leaders_running(deployment: SimulatedDeployment, job: str) -> list[str]:
    """For each agent with live tasks of a job, the leader of its machine."""
    return [leader_of_machine(deployment, agent.name) for agent in agents_running(deployment, job)]


def leader_of_most_machines(deployment: SimulatedDeployment, job: str) -> str:
    """The node that leads the machines which run most of a job."""
    nodes = leaders_running(deployment, job)
    return max(sorted(nodes), key=nodes.count)


def led_shards(deployment: SimulatedDeployment) -> list[tuple[Controller, Shard]]:
    """The shards that controllers lead, each with its leader."""
    return [
        (controller, shard)
        for controller in deployment.nodes.running
        for shard in controller.leadership.led_shards()
    ]


def shard_with_machine(deployment: SimulatedDeployment, machine: str) -> tuple[Controller, Shard]:
    """The shard that has a machine, and its leader."""
    return next(pair for pair in led_shards(deployment) if machine in pair[1].machines)


def all_controllers_lead(deployment: SimulatedDeployment) -> bool:
    """Whether every controller runs and leads a shard."""
    controllers = deployment.nodes.controllers.values()
    return all(
        controller is not None and controller.leadership.led_shards() for controller in controllers
    )


def agent_incarnations(deployment: SimulatedDeployment) -> set[int]:
    """Incarnations of the serving agents; {1} if none ever lost its lease."""
    return {agent.incarnation for agent in deployment.serving_agents}


def isolate_controllers(deployment: SimulatedDeployment) -> None:
    """Cut the controllers from one another, and from nothing else."""
    for node, other in itertools.combinations(deployment.nodes.names, 2):
        deployment.network.isolate(node, other)


def poll_job(
    deployment: SimulatedDeployment, job: str, seconds: float, cancel: bool = True
) -> None:
    """Have users poll a job at every node each second, and cancel it at one."""
    end = deployment.now + seconds
    while deployment.now < end:
        for node in deployment.nodes.running_names:
            deployment.users.request(node, "query", job)
        if cancel:
            deployment.users.request(deployment.rng.choice(deployment.nodes.names), "cancel", job)
        deployment.run(1.0)
