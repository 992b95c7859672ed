"""Fleets of hundreds of machines."""

from __future__ import annotations

from typing import Any

from marblestair.core.domain.machines import MachineType
from tests.fakes.deployment import spec
from tests.fakes.worker import Worker
from tests.fakes.world import World

KINDS = [
    MachineType("m16", 16.0, 0.0, 64.0, 50.0, 1.0, 1.0, 0.35, 4.0, ["a", "b", "c"]),
    MachineType("m32", 32.0, 0.0, 64.0, 50.0, 1.0, 1.8, 0.7, 4.0, ["a", "b", "c"]),
]


#: reports and leases of another ratio than on the small deployments, and their rates
WORKERS = dict(report_s=2.5, lease_s=15.25, gang_wait_s=30.0, gang_peer_s=5.0, cancel_s=40.25)


STATE = dict(rps=400.0, write_rps=150.0, value_kb=4.0, txn_ops=12)


def fleet(seed: int, machines: int, nodes: int = 3, **cluster: Any) -> World:
    """A deployment whose teams may use all of so many machines together."""
    teams = [
        {"name": n, "cpus": 4.0 * machines, "cpus_max": 8.0 * machines} for n in ("red", "blue")
    ]
    base: dict[str, Any] = dict(
        teams=teams,
        workers=WORKERS,
        state=STATE,
        cloud=dict(rps=8.0, list_lag_s=5.0),
        machine_limits=dict(core_share=1.0, mem_mb=400.0, sockets=2000.0),
    )
    base.update(cluster)
    world = World(seed, nodes, **base)
    world.types, world.capacity = KINDS, machines
    world.run(4.0)
    return world


def fill(world: World, first: int, jobs: int, tasks: int, **more: Any) -> list[str]:
    """Submit arrays for both teams, without waiting for the answers."""
    out = []
    for n in range(first, first + jobs):
        team = ("red", "blue")[n % 2]
        changes = {
            "estimated_run_s": 12.0,
            "deadline_s": 90.0,
            "allows_spot": True,
            "mem_gb": 0.5,
            **more,
        }
        s = spec(n, task_count=tasks, team=team, image=f"i{n % 9}", **changes)
        world.specs[s.id] = s
        world.ask(world.rng.choice(world.node_names), "submit", s)
        out.append(s.id)
        world.run(0.05)
    return out


def serving(world: World) -> list[Worker]:
    return [worker for worker in world.workers.values() if worker.up and not worker.deleted]


def running(world: World) -> dict[tuple[str, int], str]:
    """Tasks that run, and where."""
    return {
        (task.job, task.index): worker.name
        for worker in serving(world)
        for task in worker.live.values()
        if task.state == "running"
    }


def settled(world: World, jobs: list[str], most: float) -> None:
    """All jobs are done in time, and no rule was broken on the way."""
    assert world.until(lambda: not world.unanswered(), 1.0)
    assert all(world.finish(j, most) for j in jobs)
    assert not world.broken and not world.state.refused


def starts_again(world: World, most: float) -> None:
    """Service is there again: a small job starts within the time."""
    n = 900_000 + len(world.specs)
    s = spec(n, task_count=3, team="red", mem_gb=0.5, estimated_run_s=2.0, allows_spot=True)
    job = world.submit(s)
    assert world.until(lambda: any(j == job for _, j, *_ in world.starts), most)
