"""Controllers that stand still while their clocks run on.

A pause is put at a critical point: what was decided before it is sent after it. Late duplicates of
heartbeats and requests that are carried out late follow.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import Recorder, manager_of, owner, warm


def is_commit(what: str, value: Any) -> bool:
    return what == "call" and isinstance(value, CompareAndSwap)


def is_takeover(what: str, value: Any) -> bool:
    return is_commit(what, value) and any(p.key.startswith(keys.FENCES) for p in value.puts)


def is_acceptance(what: str, value: Any) -> bool:
    return is_commit(what, value) and any(
        k.startswith(keys.JOBS) and not v for k, v in value.preconditions
    )


def is_answer(what: str, value: Any) -> bool:
    return what == "answer" and value[0] == 200


def is_launch(what: str, value: Any) -> bool:
    return is_answer(what, value) and any(o.verb == "start" for o in value[2])


def is_promise(what: str, value: Any) -> bool:
    # A promise is a list of the cancels that the asker may lack; a refusal is None.
    return what == "reply" and value[0] == "promise" and value[1] is not None


POINTS: dict[str, Callable[[str, Any], bool]] = {
    "commit": is_commit,
    "takeover": is_takeover,
    "acceptance": is_acceptance,
    "answer": is_answer,
    "launch": is_launch,
    "promise": is_promise,
    "question": lambda what, value: what == "call" and isinstance(value, PeerRequest),
}


@pytest.mark.parametrize("point", sorted(POINTS))
@pytest.mark.parametrize("leases", [0.25, 0.8, 1.6])
def test_after_a_pause_nothing_is_done_under_an_authority_that_ended(
    point: str, leases: float
) -> None:
    for seed in range(3):
        world = warm(3000 + 10 * seed)
        world.copies, world.late_commits = 0.1, 0.02
        rng = random.Random(seed)
        #: the pause comes at this occurrence of the point
        left = [1 if point == "takeover" else rng.randint(1, 4)]
        hit: list[str] = []

        def pause(
            what: str, node: str, value: Any, world: World = world, left: Any = left, hit: Any = hit
        ):
            if POINTS[point](what, value) and not hit:
                left[0] -= 1
                if left[0] <= 0:
                    hit.append(node)
                    world.freeze(node, leases * world.lease_s)

        jobs = [world.submit(spec(n, task_count=8, estimated_run_s=8.0)) for n in range(1, 4)]
        gone = world.submit(spec(4, task_count=8, estimated_run_s=60.0))
        world.run(4.0)
        world.on_point = pause
        if point == "takeover":
            world.kill("n1", back_after=25.0)
        if point == "promise":
            world.state.down = True
            world.at(0.7 * world.lease_s, lambda w=world: setattr(w.state, "down", False))
        elif point == "acceptance":
            jobs += [
                world.submit(spec(n, task_count=4, estimated_run_s=5.0)) for n in range(10, 15)
            ]
        world.run(1.5)
        if point != "promise":
            assert world.cancel(gone) == "cancelled"
        for _ in range(20):
            # A poll at another node than the manager's is a question between controllers.
            if point == "question" and not hit:
                world.state_of(jobs[0])
        world.run((leases + 1.0) * world.lease_s)
        assert hit, "the test never came to its point"
        world.on_point = None
        assert all(world.finish(j, 150.0) for j in jobs)
        world.run(world.cancel_s)
        assert not world.broken, (seed, world.broken[:3])
        assert not world.unanswered()


def test_a_node_that_wakes_owns_nothing_until_it_has_read_afresh() -> None:
    world = warm(3100)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(6.0)
    name = owner(world, 0)
    controller = world.cores[name]
    assert controller is not None and controller.leadership.is_leader(0)
    world.freeze(name, 1.5 * world.lease_s)
    world.run(1.5 * world.lease_s - 0.01)
    # Others have taken the part over. On waking, before anything is read, nothing is held.
    world.set_time(controller)
    assert (
        not controller.leadership.led_shards()
        and not controller.leadership.is_leader(0)
        and owner(world, 0) != name
    )
    world.run(20.0)
    assert not world.broken
    assert world.finish(job, 200.0)


def test_whatever_an_owner_committed_before_a_pause_is_refused_after_a_takeover() -> None:
    world = warm(3101)
    name = owner(world, 0)
    sent: list[CompareAndSwap] = []

    def seen(what: str, node: str, value: Any) -> None:
        if node == name and isinstance(value, CompareAndSwap):
            own = [put.key for put in value.puts] + value.deletes
            # A node's own key and the machine types belong to no part.
            if not any(k.startswith((keys.NODES, keys.TYPES)) or k == keys.SHARD_MAP for k in own):
                sent.append(value)

    world.on_point = seen
    jobs = [
        world.submit(spec(n, task_count=8, estimated_run_s=3.0), node=name) for n in range(1, 7)
    ]
    assert all(world.finish(j, 60.0) for j in jobs)
    world.run(30.0)
    world.on_point = None
    world.freeze(name, 3 * world.lease_s)
    assert world.until(lambda: owner(world, 0) != name, 2 * world.lease_s)
    kinds = {k.rsplit("/", 1)[0] for c in sent for k in (*c.deletes, *(put.key for put in c.puts))}
    assert len(sent) > 10 and len(kinds) >= 4
    # Each of them, sent late or once more.
    assert [world.state.execute(c, name, world.now).status for c in sent] == [409] * len(sent)
    world.run(3 * world.lease_s)
    assert not world.broken


@pytest.mark.parametrize("leases", [0.3, 0.8, 2.5])
def test_waking_does_not_burst_into_the_state_service_or_the_cloud(leases: float) -> None:
    """All timers of a frozen node fall due together when it goes on."""
    world = warm(480, teams=[{"name": "red", "cpus": 40.0, "cpus_max": 60.0}])
    job = world.submit(spec(1, task_count=30, estimated_run_s=120.0))
    world.run(20.0)
    node = manager_of(world, job)
    recorder = Recorder(world, node)
    world.run(10.0)
    usual = recorder.outside()
    assert usual > 0
    world.freeze(node, leases * world.lease_s)
    world.run(leases * world.lease_s)
    recorder.calls.clear()
    world.run(2.0)
    # In the two seconds after it goes on no more than in ten ordinary ones.
    assert recorder.outside() <= usual
    assert world.finish(job, 300.0)
    assert not world.broken
