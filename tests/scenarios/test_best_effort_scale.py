"""One huge array and many one-task jobs: cost follows what runs."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import steps

TEAMS = [
    {"name": "red", "cpus": 8.0, "cpus_max": 24.0},
    {"name": "guest", "cpus": 0.0, "cpus_max": 0.0},
]


def running(tasks: int) -> World:
    """Three controllers with a guest's array of a size, as wide as the fleet."""
    world = World(470, 3, teams=TEAMS)
    world.run(4.0)
    world.submit(spec(1, team="guest", priority="low", task_count=tasks, estimated_run_s=8.0))
    world.run(40.0)
    return world


def largest_value(world: World) -> int:
    """Bytes of the largest value that the state service holds."""
    return max(len(msgspec.msgpack.encode(value)) for value, *_ in world.state.data.values())


def test_a_huge_array_costs_what_runs_of_it_and_not_what_waits() -> None:
    cost = {}
    for tasks in (2_000, 100_000):
        world = running(tasks)
        assert len(world.workers) == world.capacity
        before = len(world.starts)
        counted = steps(lambda w=world: w.run(20.0))
        started = len(world.starts) - before
        assert started > 100
        cost[tasks] = counted / started
        assert largest_value(world) < 16 * 1024
        assert not world.broken
    assert cost[100_000] < 1.25 * cost[2_000]


def test_a_huge_array_is_cancelled_like_any_other() -> None:
    world = running(100_000)
    assert world.cancel("job-000001") == "cancelled"
    world.run(world.cancel_s)
    assert not [
        task
        for worker in world.workers.values()
        if not worker.deleted
        for task in worker.live.values()
    ]
    assert not world.broken


@pytest.mark.parametrize("per_s", [2, 5])
def test_a_swarm_is_accepted_and_done_at_a_bounded_number_of_changes(per_s: int) -> None:
    world = World(471, 3, teams=TEAMS)
    world.run(4.0)
    anchor = world.submit(spec(1, task_count=4, estimated_run_s=120.0))
    world.run(20.0)
    writes = [0]
    plain = world.state.execute

    def execute(call: Any, *args: Any) -> Any:
        response = plain(call, *args)
        if response.status == 200:
            writes[0] += getattr(call, "change_count", 0)
        return response

    world.state.execute = execute  # type: ignore[method-assign]
    answers = []
    count = 20 * per_s
    for number in range(count):
        job = spec(100 + number, team="guest", task_count=1, estimated_run_s=3.0)
        world.specs[job.id] = job
        answers.append(world.ask(world.node_names[number % 3], "submit", job))
        world.run(1.0 / per_s)
    assert all(answer and answer[0].status == 201 for answer in answers)
    assert all(world.finish(f"job-{100 + number:06d}", 60.0) for number in range(count))
    # A record, its end (two keys) and at most a page of progress with its deletion, each.
    assert writes[0] <= 5.5 * count + 60
    ended = [key for key in world.state.data if key.startswith(keys.FINALS)]
    assert len(ended) == count
    assert world.state_of(anchor) in ("running", "done")
    assert not world.broken
