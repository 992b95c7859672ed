"""Pipelines for tests: submission, waits and polls of jobs that depend on one another."""

from __future__ import annotations

from typing import Any

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import manager, owner


def submit_pipeline(world: World, first: int = 1, **last: Any) -> list[JobSpec]:
    """Submit four stages, the second of three jobs that share a parent."""
    split = spec(first, task_count=2, estimated_run_s=2.0)
    stage = [
        spec(first + k, task_count=3, estimated_run_s=3.0, priority="low", depends_on=[split.id])
        for k in (1, 2, 3)
    ]
    bind = spec(
        first + 4,
        kind="gang",
        task_count=2,
        estimated_run_s=2.0,
        depends_on=[split.id, *(s.id for s in stage)],
    )
    final = spec(
        first + 5, task_count=2, estimated_run_s=1.0, depends_on=[bind.id], priority="high", **last
    )
    jobs = [split, *stage, bind, final]
    for job in jobs:
        world.submit(job)
    return jobs


def all_done(world: World, jobs: list[JobSpec], most: float = 90.0) -> bool:
    return all(world.finish(job.id, most) for job in jobs)


def first_start(world: World, job: str) -> float:
    return min((at for at, started, *_ in world.starts if started == job), default=-1.0)


def all_cancelled(world: World, jobs: list[JobSpec], most: float) -> bool:
    return world.until(lambda: all(world.state_of(job.id) == "cancelled" for job in jobs), most)


def answer(world: World, node: str, job: JobSpec) -> tuple[int, str]:
    world.specs[job.id] = job
    out = world.ask(node, "submit", job)
    assert world.until(lambda: bool(out), 5.0)
    return out[0].status, out[0].state


def hold_ends_back(world: World) -> None:
    """No end of a job can be written from now on."""

    def delay(_node: str, commit: CompareAndSwap) -> float | None:
        is_end = any(put.key.startswith(keys.FINALS) for put in commit.puts)
        return 10_000.0 if is_end else None

    world.late = delay


def poll_all(world: World, jobs: list[JobSpec], seconds: float) -> list[str]:
    """Poll for each job at each node for a while; the states told, or the status of a refusal."""
    asked = []
    until = world.now + seconds
    while world.now < until:
        asked += [world.ask(name, "query", job.id) for job in jobs for name in world.node_names]
        world.run(2.0)
    return [str(r.state) if r.status == 200 else str(r.status) for out in asked for r in out]


def ask_cancel(world: World, job: str) -> None:
    """Ask once for a cancel, as a user who does not wait."""
    world.cancel_asked.add(job)
    up = [name for name in world.node_names if world.cores[name] is not None]
    if up:
        world.ask(up[0], "cancel", job)


def list_of(job: JobSpec) -> list[Any]:
    return [getattr(job, field) for field in job.__struct_fields__]


def submit_chain_managed_apart(world: World) -> list[JobSpec]:
    """Three jobs, each awaiting the one before, managed at n0, n1 and n2; the first runs at n0."""
    chain: list[JobSpec] = []
    numbers = iter(range(100, 400))
    for name in world.node_names:
        for n in numbers:
            job = spec(
                n, task_count=1, estimated_run_s=100.0, depends_on=[x.id for x in chain[-1:]]
            )
            world.submit(job, name)
            record = world.state.data[keys.JOBS + job.id][0]
            parts = {record[1]} if chain else {record[1], *map(int, record[2])}
            if {owner(world, part) for part in parts} == {name}:
                chain.append(job)
                break
            world.cancel(job.id)
    assert len(chain) == 3
    return chain


def cancelled_with_ends_held_back(world: World, cancels: float = 1.2) -> tuple[JobSpec, str]:
    """A child whose end cannot be written for some cancel_s, and a node not its manager."""
    parent = spec(1, task_count=1, estimated_run_s=100.0)
    child = spec(2, depends_on=[parent.id])
    world.submit(parent)
    world.submit(child)
    world.run(1.0)
    other = next(name for name in world.node_names if name != manager(world, child.id))
    hold_ends_back(world)
    assert world.cancel(parent.id) == "cancelled"
    world.run(cancels * world.cancel_s)
    assert keys.JOBS + child.id in world.state.data
    return child, other
