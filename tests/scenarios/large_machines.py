"""Fleets of larger machines, and a load of arrays and whole-machine gangs."""

from __future__ import annotations

from typing import Any

from marblestair.core.domain.machines import MachineType
from tests.fakes.deployment import spec
from tests.fakes.world import World

LARGE = [
    MachineType("m16", 16.0, 0.0, 64.0, 50.0, 1.0, 1.0, 0.35, 5.0, ["a", "b"]),
    MachineType("m32", 32.0, 0.0, 64.0, 50.0, 1.0, 1.8, 0.7, 5.0, ["a", "b"]),
]


def fleet(seed: int, nodes: int, machines: int, limit: float, **cluster: Any) -> World:
    """A world of larger machines, with teams' limits to match."""
    teams = [
        {"name": n, "cpus": limit / 4, "cpus_max": limit, "gpus": 0.0, "gpus_max": 0.0}
        for n in ("red", "blue")
    ]
    world = World(seed, nodes, teams=teams, **cluster)
    world.types, world.capacity = LARGE, machines
    world.run(4.0)
    return world


def load(world: World, first: int, jobs: int, tasks: tuple[int, int], every: float) -> list[str]:
    """Submit arrays, and now and then an urgent gang that takes a whole machine."""
    out = []
    for n in range(first, first + jobs):
        team = ["red", "blue"][n % 2]
        if n % 4 == 0:
            s = spec(
                n,
                kind="gang",
                job_class="g",
                task_count=1,
                cpus=30.0,
                mem_gb=20.0,
                estimated_run_s=20.0,
                priority="high",
                team=team,
            )
        else:
            s = spec(
                n,
                task_count=world.rng.randint(*tasks),
                mem_gb=0.5,
                estimated_run_s=15.0,
                deadline_s=60.0,
                allows_spot=True,
                team=team,
            )
        out.append(world.submit(s))
        world.run(every)
    return out
