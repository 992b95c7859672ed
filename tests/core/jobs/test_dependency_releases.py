"""Releases of jobs whose dependencies are done, under failures."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.core.jobs.pipelines import all_cancelled, all_done, first_start, submit_pipeline
from tests.fakes.deployment import spec
from tests.helpers import manager, warm


def test_a_job_released_after_a_takeover_does_not_wait_for_silent_machines() -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=16.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    holding = [spec(n, task_count=8, estimated_run_s=60.0) for n in (3, 4)]
    for job in [parent, child, *holding]:
        world.submit(job)
    world.until(lambda: first_start(world, parent.id) > 0 and len(world.starts) >= 12, 30.0)
    ran = {name for _, job, _, name, _ in world.starts if job == parent.id}
    # One machine falls silent with the restart: its part settles only when its lease is over.
    silent = next(
        worker for worker in world.workers.values() if worker.live and worker.name not in ran
    )
    silent.hung = True
    for name in world.node_names:
        world.kill(name, 0.5)
    world.run(2.0)
    assert world.until(
        lambda: any(
            shard.unreconciled_machines
            for controller in world.cores.values()
            if controller
            for shard in controller.leadership.led_shards()
        ),
        8.0,
    )
    waiting = [
        shard.slices[child.id]
        for controller in world.cores.values()
        if controller
        for shard in controller.leadership.led_shards()
        if shard.unreconciled_machines and child.id in shard.slices
    ]
    assert all(not job_slice.is_unreconciled for job_slice in waiting)
    silent.hung = False
    assert world.finish(child.id, 60.0)
    assert world.broken == []


@pytest.mark.parametrize("back", [0.2, 6.0])
def test_a_takeover_between_the_parent_s_end_and_the_release(back: float) -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=3.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    world.submit(parent)
    world.submit(child)
    world.lost.add("ended")
    world.until(lambda: keys.FINALS + parent.id in world.state.data, 40.0)
    world.kill(manager(world, child.id), back)
    assert world.finish(child.id, 60.0)
    assert world.broken == []


@pytest.mark.parametrize("is_cancelled", [False, True])
@pytest.mark.parametrize("number", range(1, 11))
def test_a_node_falls_with_each_commit_of_a_pipeline(number: int, is_cancelled: bool) -> None:
    """Its commit is carried out; who takes over finds what it left."""
    world = warm(number)
    chain = [spec(1, task_count=1, estimated_run_s=4.0)]
    for n in (2, 3):
        chain.append(spec(n, task_count=2, estimated_run_s=1.0, depends_on=[chain[-1].id]))
    for job in chain:
        world.submit(job)
    left = iter(range(number - 1, -1, -1))

    def fall(what: str, node: str, call: Any) -> None:
        if what != "call" or not isinstance(call, CompareAndSwap):
            return
        changed = [*(put.key for put in call.puts), *call.deletes]
        if any(key.endswith(job.id) for key in changed for job in chain) and next(left, 1) == 0:
            world.at(0.0, lambda: world.kill(node, 0.3 if number % 2 else 8.0))

    world.on_point = fall
    if is_cancelled:
        world.run(0.5 * number)
        state = world.cancel(chain[0].id)
        assert all_cancelled(world, chain[1:], world.cancel_s) if state == "cancelled" else True
    for job in chain:
        end = "cancelled" if world.told.get(chain[0].id) == "cancelled" else "done"
        assert world.until(lambda j=job, e=end: world.state_of(j.id) == e, 60.0), (
            job.id,
            world.told,
        )
    assert world.broken == []


def test_notes_of_ends_and_releases_may_all_be_lost() -> None:
    world = warm()
    world.lost |= {"ended", "record"}
    jobs = submit_pipeline(world)
    assert all_done(world, jobs)
    assert world.broken == []


def test_a_release_whose_answer_is_lost_or_that_comes_late_is_not_repeated() -> None:
    world = warm()
    parent = spec(1, task_count=1, estimated_run_s=2.0)
    child = spec(2, task_count=2, estimated_run_s=1.0, depends_on=[parent.id])
    world.submit(parent)
    world.submit(child)
    late = iter([2.0])

    def delay(_node: str, commit: CompareAndSwap) -> float | None:
        is_release = any(put.key == keys.JOBS + child.id for put in commit.puts)
        return next(late, None) if is_release else None

    world.late = delay
    assert world.finish(child.id, 60.0)
    assert world.broken == []


def test_all_nodes_at_once_while_jobs_wait() -> None:
    world = warm()
    jobs = submit_pipeline(world)
    for name in world.node_names:
        world.kill(name, 1.0)
    assert all_done(world, jobs, 120.0)
    assert world.broken == []
