"""A gang that needs more machines than the cloud has keeps all other gangs from starting."""

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
#: CPUs and memory of a task of the class bodega-cuadre
CPUS, MEM_GB = 30.0, 100.0


def fits_somewhere(world: World, job: str) -> bool:
    """Whether a machine has room for a task of a job, and its team is under its limit."""
    spec = world.jobs[job]
    used = sum(
        world.jobs[task.job]["cpus"]
        for worker in world.cloud.machines.values()
        for task in worker.tasks.values()
        if task.live and world.jobs[task.job]["owner"] == spec["owner"]
    )
    limit = next(team[2] for team in world.config.teams if team[0] == spec["owner"])
    if used + spec["cpus"] > limit:
        return False
    for worker in world.cloud.machines.values():
        if worker.gone or worker.up_at is None or worker.type[1] < spec["cpus"]:
            continue
        live = [world.jobs[task.job] for task in worker.tasks.values() if task.live]
        free_cpus = worker.type[1] - sum(other["cpus"] for other in live)
        free_mem = worker.type[2] - sum(other["mem_gb"] for other in live)
        if free_cpus >= spec["cpus"] and free_mem >= spec["mem_gb"]:
            return True
    return False


async def story(world: World) -> None:
    """Submit a gang of four where the cloud has three machines, then gangs of one task."""

    def gang(number: int, team: str, pieces: int) -> str:
        spec = world.job(
            number,
            jobclass="bodega-cuadre",
            owner=team,
            shape="group",
            pieces=pieces,
            cpus=CPUS,
            mem_gb=MEM_GB,
            size_gb=0.2,
            bookmark_s=20.0,
            bookmark_cost_s=3.0,
            expected_s=10.0,
            run_s=10.0,
        )
        return str(spec["ref"])

    if has_trouble():
        large = gang(1, "mercadeo-visual", 4)
        if not await world.submit(world.jobs[large], total_s=10.0):
            raise CouldNotRunError("the gang of four was not accepted")
        await asyncio.sleep(6.0)
    small = [gang(10, "logistica-bodega", 1), gang(11, "ventas-sala", 1)]
    small.append(gang(12, "mercadeo-visual", 1))
    accepted = [await world.submit(world.jobs[job], total_s=10.0) for job in small]
    if not all(accepted):
        raise CouldNotRunError("a gang of one task was not accepted")
    waits_since: dict[str, float] = {}
    until = time.monotonic() + MAX_WAIT_S + 8.0
    while time.monotonic() < until and not all(world.is_done(job) for job in small):
        for job in small:
            waits = job not in world.started and fits_somewhere(world, job)
            if not waits:
                waits_since.pop(job, None)
            elif time.monotonic() - waits_since.setdefault(job, time.monotonic()) > MAX_WAIT_S:
                world.rules.fail(
                    "waiting_beside_room",
                    f"{job} waits for {MAX_WAIT_S:.0f} s while a machine that fits has room",
                    job,
                )
        await asyncio.sleep(0.5)
    for job in small:
        await world.poll(job)


if __name__ == "__main__":
    config = Config()
    config.boot_factor = 0.05
    # Of the large machines the cloud has three at this time.
    config.capacity[("taller-grande", 0)] = (2, 1)
    run_case(config, os.path.join(HERE, "record.txt"), story)
