"""The simulated deployment judges every rule from the outside: here it must report violations."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from marblestair.core.domain.agents import TaskCommand
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.store_requests import CompareAndSwap, GrantLease, Put
from marblestair.core.state import keys
from tests.fakes.deployment import TYPES, spec
from tests.fakes.worker import Worker
from tests.fakes.world import World


def bare(**job: Any) -> World:
    """A world without controllers: two machines in zone a, one of them spot, and one in zone b;
    a job that was accepted.
    """
    world = World(1, 1)
    world.kill("n0")
    for n, (zone, spot) in enumerate((("a", False), ("a", True), ("b", False))):
        worker = Worker(world, f"host-{n:06d}", TYPES[1], zone, spot)
        worker.up, worker.renewed = True, 1e9
        world.workers[worker.name] = worker
    world.specs["job-000001"] = spec(1, **{"allows_spot": True, "estimated_run_s": 1e6, **job})
    judge(world, "submit", "queued", 201)
    return world


def judge(world: World, what: str, state: str, status: int = 200, job: str = "job-000001") -> None:
    """A user gets an answer."""
    arg = world.specs.get(job, spec(1, id=job)) if what == "submit" else job
    world._judge(what, arg, UserReply(1, status, job, state))


def start(world: World, index: int, host: int, attempt: int = 1) -> None:
    list(world.workers.values())[host].obey([TaskCommand("start", "job-000001", index, attempt)])


def cancelled(world: World) -> None:
    world.cancel_asked.add("job-000001")
    judge(world, "withdraw", "cancelled")


def hung_after_a_cancel(world: World) -> None:
    start(world, 0, 0)
    world.workers["host-000000"].hung = True
    cancelled(world)
    world.run(world.cancel_s + 1.0)


def late_start(world: World) -> None:
    cancelled(world)
    world.run(world.cancel_s + 0.1)
    start(world, 0, 0)


def launched_after_a_cancel(world: World) -> None:
    cancelled(world)
    world.start_node("n0")
    controller = world.cores["n0"]
    assert controller is not None
    answer = (200, 1, [TaskCommand("start", "job-000001", 0, 1)], None)
    controller.receive_heartbeat = lambda heartbeat: answer  # type: ignore[method-assign]
    world.workers["host-000000"].report()
    world.run(1.0)


def waits(world: World) -> None:
    world.quiet_since = world.now
    start(world, 0, 0)
    world.run(95.0)


def unguarded(world: World) -> None:
    world.state.execute(CompareAndSwap([], [Put("main/x", 1)]), "n0", world.now)
    world.run(0.5)


def reordered(world: World) -> None:
    lease = world.state.execute(GrantLease(5000), "n0", world.now).lease_id
    key = keys.NODES + "n0"
    version = world.state.data[key][1] if key in world.state.data else 0
    for n, v in ((9, version), (4, None)):
        v = world.state.data[key][1] if v is None else v
        world.state.execute(
            CompareAndSwap([(key, v)], [Put(key, 1, lease)]), "n0", world.now, (1, n)
        )
    world.run(0.5)


def too_early(world: World) -> None:
    """A job starts before the one that it awaits is done."""
    world.specs["job-000002"] = spec(2, task_count=2)
    world.results.add(("job-000002", 0))
    start(world, 0, 0)


def orphan(world: World, state: str) -> None:
    """A job is called alive too long after one before it, twice removed, was cancelled."""
    world.specs["job-000002"] = spec(2, depends_on=["job-000003"])
    world.specs["job-000003"] = spec(3)
    judge(world, "submit", "queued", 201, "job-000003")
    world.cancel_asked.add("job-000003")
    judge(world, "withdraw", "cancelled", job="job-000003")
    judge(world, "query", state)
    assert not world.broken
    world.run(world.cancel_s + 0.1)
    judge(world, "query", state)


def left_over(world: World) -> None:
    """A task goes on though users were told that its job is done."""
    start(world, 0, 0)
    world.results |= {("job-000001", index) for index in range(6)}
    judge(world, "query", "done")
    world.run(world.cancel_s)
    assert not world.broken
    world.run(0.5)


def left_over_child(world: World) -> None:
    """A task goes on though a job before its own was cancelled."""
    world.specs["job-000002"] = spec(2)
    judge(world, "submit", "queued", 201, "job-000002")
    start(world, 0, 0)
    world.specs["job-000001"] = spec(
        1, allows_spot=True, estimated_run_s=1e6, depends_on=["job-000002"]
    )
    world.cancel_asked.add("job-000002")
    judge(world, "withdraw", "cancelled", job="job-000002")
    world.run(world.cancel_s + 0.5)


CRIES: dict[str, tuple[dict[str, Any], Callable[[World], object], str]] = {
    "twice": ({}, lambda world: (start(world, 0, 0), start(world, 0, 2, 2)), "ran_twice"),
    "limit": (
        {"cpus": 4.0, "task_count": 9},
        lambda world: ([start(world, i, i // 2) for i in range(6)], world.run(0.5), grown(world)),
        "quota",
    ),
    "type": ({"machine_types": ["t4"]}, lambda world: start(world, 0, 0), "wrong_place"),
    "zone": ({"zone": "b"}, lambda world: start(world, 0, 0), "wrong_place"),
    "spot": ({"allows_spot": False}, lambda world: start(world, 0, 1), "wrong_place"),
    "together": (
        {"single_zone": True},
        lambda world: (start(world, 0, 0), start(world, 1, 2)),
        "wrong_place",
    ),
    "apart": (
        {"spread_zones": True, "task_count": 3},
        lambda world: [start(world, i, 0) for i in range(3)],
        "wrong_place",
    ),
    "on a hung machine": ({}, hung_after_a_cancel, "ran_cancelled"),
    "a late start": ({}, late_start, "ran_cancelled"),
    "a launch": ({}, launched_after_a_cancel, "started_cancelled"),
    "404": ({}, lambda world: judge(world, "query", "", 404), "forgotten"),
    "422": ({}, lambda world: judge(world, "submit", "", 422), "forgotten"),
    "invented": ({}, lambda world: judge(world, "query", "queued", 200, "job-000009"), "invented"),
    "not done": ({}, lambda world: judge(world, "query", "done"), "not_done"),
    "back": ({}, lambda world: (cancelled(world), judge(world, "query", "running")), "went_back"),
    "by nobody": ({}, lambda world: judge(world, "query", "cancelled"), "went_back"),
    "beside room": ({}, waits, "waits"),
    "too early": ({"depends_on": ["job-000002"]}, too_early, "too_early"),
    "orphan queued": (
        {"depends_on": ["job-000002"]},
        lambda world: orphan(world, "queued"),
        "orphaned",
    ),
    "orphan running": (
        {"depends_on": ["job-000002"]},
        lambda world: orphan(world, "running"),
        "orphaned",
    ),
    "left over": ({}, left_over, "orphaned"),
    "left over child": ({}, left_over_child, "orphaned"),
    "unguarded": ({}, unguarded, "unguarded"),
    "reordered": ({}, reordered, "reordered"),
}


def grown(world: World) -> None:
    """A team's limit is 24 cpus and all its tasks hold 24; one more."""
    world.specs["job-000001"] = spec(
        1, allows_spot=True, estimated_run_s=1e6, cpus=4.5, task_count=9
    )
    world.run(0.5)


@pytest.mark.parametrize("case", sorted(CRIES))
def test_the_world_cries_out(case: str) -> None:
    job, do, rule = CRIES[case]
    world = bare(**job)
    assert not world.broken
    do(world)
    assert any(x.startswith(rule) for x in world.broken), world.broken


def test_the_world_tells_what_is_forgotten_unserved_or_late() -> None:
    world = bare()
    assert set(world.unserved()) == {"unserved: class c", "unserved: team red"}
    assert world.unanswered() == ["job-000001"]
    world.run(241.0)
    assert set(world.unserved()) == {"late: job-000001", "unserved: class c", "unserved: team red"}
    assert not world.broken
