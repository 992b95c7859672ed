"""The tests' world judges every rule from the outside: here it must cry out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from marblestair.core.domain.model import TaskCommand
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.requests import CompareAndSwap, GrantLease, Put
from marblestair.core.state import keys
from tests.fakes.deployment import TYPES, spec
from tests.fakes.worker import Worker
from tests.fakes.world import World


def bare(**job: Any) -> World:
    """A world without controllers: two machines in zone a, one of them spot, and one in zone b;
    a job that was accepted.
    """
    w = World(1, 1)
    w.kill("n0")
    for n, (zone, spot) in enumerate((("a", False), ("a", True), ("b", False))):
        m = Worker(w, f"host-{n:06d}", TYPES[1], zone, spot)
        m.up, m.renewed = True, 1e9
        w.workers[m.name] = m
    w.specs["job-000001"] = spec(1, **{"allows_spot": True, "estimated_run_s": 1e6, **job})
    judge(w, "submit", "queued", 201)
    return w


def judge(w: World, what: str, state: str, status: int = 200, job: str = "job-000001") -> None:
    """A user gets an answer."""
    arg = w.specs.get(job, spec(1, id=job)) if what == "submit" else job
    w._judge(what, arg, UserReply(1, status, job, state))


def start(w: World, index: int, host: int, attempt: int = 1) -> None:
    list(w.workers.values())[host].obey([TaskCommand("start", "job-000001", index, attempt)])


def cancelled(w: World) -> None:
    w.cancel_asked.add("job-000001")
    judge(w, "withdraw", "cancelled")


def hung_after_a_cancel(w: World) -> None:
    start(w, 0, 0)
    w.workers["host-000000"].hung = True
    cancelled(w)
    w.run(w.cancel_s + 1.0)


def late_start(w: World) -> None:
    cancelled(w)
    w.run(w.cancel_s + 0.1)
    start(w, 0, 0)


def launched_after_a_cancel(w: World) -> None:
    cancelled(w)
    w.start_node("n0")
    core = w.cores["n0"]
    assert core is not None
    answer = (200, 1, [TaskCommand("start", "job-000001", 0, 1)], None)
    core.receive_heartbeat = lambda rep: answer  # type: ignore[method-assign]
    w.workers["host-000000"].report()
    w.run(1.0)


def waits(w: World) -> None:
    w.quiet_since = w.now
    start(w, 0, 0)
    w.run(95.0)


def unguarded(w: World) -> None:
    w.state.execute(CompareAndSwap([], [Put("main/x", 1)]), "n0", w.now)
    w.run(0.5)


def reordered(w: World) -> None:
    lease = w.state.execute(GrantLease(5000), "n0", w.now).lease_id
    key = keys.NODES + "n0"
    version = w.state.data[key][1] if key in w.state.data else 0
    for n, v in ((9, version), (4, None)):
        v = w.state.data[key][1] if v is None else v
        w.state.execute(CompareAndSwap([(key, v)], [Put(key, 1, lease)]), "n0", w.now, (1, n))
    w.run(0.5)


def too_early(w: World) -> None:
    """A job starts before the one that it awaits is done."""
    w.specs["job-000002"] = spec(2, task_count=2)
    w.results.add(("job-000002", 0))
    start(w, 0, 0)


def orphan(w: World, state: str) -> None:
    """A job is called alive too long after one before it, twice removed, was cancelled."""
    w.specs["job-000002"] = spec(2, depends_on=["job-000003"])
    w.specs["job-000003"] = spec(3)
    judge(w, "submit", "queued", 201, "job-000003")
    w.cancel_asked.add("job-000003")
    judge(w, "withdraw", "cancelled", job="job-000003")
    judge(w, "query", state)
    assert not w.broken
    w.run(w.cancel_s + 0.1)
    judge(w, "query", state)


def left_over(w: World) -> None:
    """A task goes on though users were told that its job is done."""
    start(w, 0, 0)
    w.results |= {("job-000001", index) for index in range(6)}
    judge(w, "query", "done")
    w.run(w.cancel_s)
    assert not w.broken
    w.run(0.5)


def left_over_child(w: World) -> None:
    """A task goes on though a job before its own was cancelled."""
    w.specs["job-000002"] = spec(2)
    judge(w, "submit", "queued", 201, "job-000002")
    start(w, 0, 0)
    w.specs["job-000001"] = spec(
        1, allows_spot=True, estimated_run_s=1e6, depends_on=["job-000002"]
    )
    w.cancel_asked.add("job-000002")
    judge(w, "withdraw", "cancelled", job="job-000002")
    w.run(w.cancel_s + 0.5)


CRIES: dict[str, tuple[dict[str, Any], Callable[[World], object], str]] = {
    "twice": ({}, lambda w: (start(w, 0, 0), start(w, 0, 2, 2)), "ran_twice"),
    "limit": (
        {"cpus": 4.0, "task_count": 9},
        lambda w: ([start(w, i, i // 2) for i in range(6)], w.run(0.5), grown(w)),
        "quota",
    ),
    "type": ({"machine_types": ["t4"]}, lambda w: start(w, 0, 0), "wrong_place"),
    "zone": ({"zone": "b"}, lambda w: start(w, 0, 0), "wrong_place"),
    "spot": ({"allows_spot": False}, lambda w: start(w, 0, 1), "wrong_place"),
    "together": ({"single_zone": True}, lambda w: (start(w, 0, 0), start(w, 1, 2)), "wrong_place"),
    "apart": (
        {"spread_zones": True, "task_count": 3},
        lambda w: [start(w, i, 0) for i in range(3)],
        "wrong_place",
    ),
    "on a hung machine": ({}, hung_after_a_cancel, "ran_cancelled"),
    "a late start": ({}, late_start, "ran_cancelled"),
    "a launch": ({}, launched_after_a_cancel, "started_cancelled"),
    "404": ({}, lambda w: judge(w, "query", "", 404), "forgotten"),
    "422": ({}, lambda w: judge(w, "submit", "", 422), "forgotten"),
    "invented": ({}, lambda w: judge(w, "query", "queued", 200, "job-000009"), "invented"),
    "not done": ({}, lambda w: judge(w, "query", "done"), "not_done"),
    "back": ({}, lambda w: (cancelled(w), judge(w, "query", "running")), "went_back"),
    "by nobody": ({}, lambda w: judge(w, "query", "cancelled"), "went_back"),
    "beside room": ({}, waits, "waits"),
    "too early": ({"depends_on": ["job-000002"]}, too_early, "too_early"),
    "orphan queued": ({"depends_on": ["job-000002"]}, lambda w: orphan(w, "queued"), "orphaned"),
    "orphan running": ({"depends_on": ["job-000002"]}, lambda w: orphan(w, "running"), "orphaned"),
    "left over": ({}, left_over, "orphaned"),
    "left over child": ({}, left_over_child, "orphaned"),
    "unguarded": ({}, unguarded, "unguarded"),
    "reordered": ({}, reordered, "reordered"),
}


def grown(w: World) -> None:
    """A team's limit is 24 cpus and all its tasks hold 24; one more."""
    w.specs["job-000001"] = spec(1, allows_spot=True, estimated_run_s=1e6, cpus=4.5, task_count=9)
    w.run(0.5)


@pytest.mark.parametrize("case", sorted(CRIES))
def test_the_world_cries_out(case: str) -> None:
    job, do, rule = CRIES[case]
    w = bare(**job)
    assert not w.broken
    do(w)
    assert any(x.startswith(rule) for x in w.broken), w.broken


def test_the_world_tells_what_is_forgotten_unserved_or_late() -> None:
    w = bare()
    assert set(w.unserved()) == {"unserved: class c", "unserved: team red"}
    assert w.unanswered() == ["job-000001"]
    w.run(241.0)
    assert set(w.unserved()) == {"late: job-000001", "unserved: class c", "unserved: team red"}
    assert not w.broken
