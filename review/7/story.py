"""A gang never starts where the room for it is on busy machines of two shards."""

from __future__ import annotations

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins2"))

from case import CouldNotRunError, has_trouble, run_case  # noqa: E402
from world import Config, World  # noqa: E402

#: the bound of the rule
MAX_WAIT_S = 90.0
BUILD, FILLER_CPUS, GANG_CPUS, GANG_SIZE = "taller-grande", 18.0, 12.0, 2


def machines_with_room(world: World) -> int:
    """Return how many machines are up and have room for one task of the gang."""
    count = 0
    for worker in world.cloud.machines.values():
        if worker.gone or worker.up_at is None:
            continue
        live = [world.jobs[task.job] for task in worker.tasks.values() if task.live]
        free_cpus = worker.type[1] - sum(spec["cpus"] for spec in live)
        free_mem = worker.type[2] - sum(spec["mem_gb"] for spec in live)
        count += free_cpus >= GANG_CPUS and free_mem >= 8.0
    return count


async def story(world: World) -> None:
    """Occupy a part of both machines for long, then submit a gang of two."""
    for index in range(2):
        name = world.cloud.add(BUILD, world.config.rooms[0], False, 4.0)
        # Each machine first reports to another controller, once these lead their shards.
        world.cloud.machines[name].node = index
    fillers = []
    if has_trouble():
        for number, team in ((1, "ventas-sala"), (2, "mercadeo-visual")):
            spec = world.job(
                number, owner=team, cpus=FILLER_CPUS, mem_gb=8.0, loaners=False, run_s=400.0
            )
            fillers.append(str(spec["ref"]))
            if not await world.submit(spec, total_s=10.0):
                raise CouldNotRunError("a job of one task was not accepted")
    until = time.monotonic() + 14.0
    while not all(job in world.started for job in fillers):
        if time.monotonic() > until:
            raise CouldNotRunError("the jobs of one task did not start")
        await asyncio.sleep(0.1)
    gang = world.job(
        3,
        jobclass="bodega-cuadre",
        owner="logistica-bodega",
        shape="group",
        pieces=GANG_SIZE,
        cpus=GANG_CPUS,
        mem_gb=8.0,
        loaners=False,
        run_s=5.0,
    )
    job = str(gang["ref"])
    if not await world.submit(gang, total_s=10.0):
        raise CouldNotRunError("the gang was not accepted")
    waits_since: float | None = None
    until = time.monotonic() + MAX_WAIT_S + 6.0
    while time.monotonic() < until and not world.is_done(job):
        now = time.monotonic()
        if job in world.started or machines_with_room(world) < GANG_SIZE:
            waits_since = None
        elif waits_since is None:
            waits_since = now
        elif now - waits_since > MAX_WAIT_S:
            world.rules.fail(
                "waiting_beside_room",
                f"{job} waits for {MAX_WAIT_S:.0f} s while each of two machines has room for one"
                " of its two tasks",
                job,
            )
            break
        await asyncio.sleep(0.25)
    await world.poll(job)


if __name__ == "__main__":
    config = Config()
    # The two machines that are up at the start are all that the cloud has.
    config.capacity = {(BUILD, 0): (2, 0)}
    run_case(config, os.path.join(HERE, "record.txt"), story)
