"""Best-effort teams: no guarantee, and the capacity that the other teams leave free."""

from __future__ import annotations

import pytest

from marblestair.core.jobs.eligibility import rejection_reason
from marblestair.core.leadership.shard_map import initial_shard_map
from marblestair.core.scheduling.service_order import priority_key
from marblestair.settings import UNLIMITED, Team
from tests.fakes.deployment import TYPES, spec
from tests.fakes.world import World

#: a team with a guarantee and a limit, and a guest with neither
OWNER = Team("red", 8.0, 24.0)


GUEST = Team("guest", 0.0, 0.0)


def deployment(seed: int, **cluster: object) -> World:
    """Three controllers, one team with a guarantee and one guest."""
    teams = [
        {"name": team.name, "cpus": team.cpus, "cpus_max": team.cpus_max} for team in (OWNER, GUEST)
    ]
    world = World(seed, 3, teams=teams, **cluster)
    world.run(4.0)
    return world


@pytest.mark.parametrize(
    ("team", "changes", "accepted"),
    [
        ("guest", {"kind": "array", "task_count": 100_000, "cpus": 4.0}, True),
        ("guest", {"kind": "gang", "task_count": 40, "cpus": 4.0}, True),
        ("guest", {"cpus": 9.0}, False),
        ("red", {"kind": "gang", "task_count": 7, "cpus": 4.0}, False),
        ("red", {"kind": "gang", "task_count": 6, "cpus": 4.0}, True),
    ],
)
def test_a_limit_of_zero_is_no_limit(team: str, changes: dict[str, object], accepted: bool) -> None:
    """Found by the incidents inc-40fe and inc-0582: every job of such a team was refused."""
    job = spec(1, team=team, **changes)
    reason = rejection_reason(job, {t.name: t for t in (OWNER, GUEST)}, TYPES)
    assert (reason is None) is accepted


def test_each_part_may_use_its_share_of_no_limit() -> None:
    shard_map = initial_shard_map(3, [OWNER, GUEST])
    assert sum(shard.quotas["red"][0] for shard in shard_map.shards) == 24_000_000
    assert all(shard.quotas["guest"][0] * 4 > UNLIMITED * 1_000_000 for shard in shard_map.shards)


def test_the_work_of_a_guest_is_done_when_nobody_else_asks() -> None:
    world = deployment(401)
    jobs = [
        world.submit(spec(1, team="guest", priority="low", task_count=40, estimated_run_s=6.0)),
        world.submit(
            spec(2, team="guest", kind="gang", task_count=2, cpus=3.0, estimated_run_s=6.0)
        ),
    ]
    assert all(world.finish(job, 120.0) for job in jobs)
    assert not world.broken


def test_guests_make_room_for_guaranteed_work_and_keep_a_little() -> None:
    world = deployment(402)
    world.capacity = 6
    filling = world.submit(
        spec(
            1,
            team="guest",
            priority="low",
            task_count=200,
            estimated_run_s=400.0,
            checkpoint_interval_s=5.0,
        )
    )
    world.run(40.0)
    full = [worker for worker in world.workers.values() if worker.up and not worker.deleted]
    assert len(full) == 6
    assert sum(len(worker.live) for worker in full) >= 24
    urgent = world.submit(spec(2, task_count=8, estimated_run_s=30.0))
    moment = world.now
    assert world.until(lambda: sum(job == urgent for _, job, *_ in world.starts) == 8, 12.0)
    assert world.now - moment < 12.0
    live = [task.job for worker in full for task in worker.live.values()]
    # No more was stopped than was needed, and what was goes on afterwards.
    assert live.count(filling) >= 24 - 8 - 4
    assert not world.broken


def test_work_beyond_a_guarantee_does_not_stop_guests() -> None:
    world = deployment(403)
    world.capacity = 6
    filling = world.submit(
        spec(1, team="guest", priority="low", task_count=200, estimated_run_s=400.0)
    )
    world.run(40.0)
    before = sum(job == filling for _, job, *_ in world.starts)
    # Its team's guarantee is smaller than the job.
    world.submit(spec(2, task_count=20, estimated_run_s=30.0))
    world.run(10.0)
    live = [task.job for worker in world.workers.values() for task in worker.live.values()]
    assert live.count(filling) == before
    assert not world.broken


def test_guests_are_served_after_all_others_even_late_ones() -> None:
    late = spec(1, deadline_s=10.0)
    low = spec(2, priority="low")
    guest = spec(3, team="guest", priority="high")
    keys = [
        priority_key(job, wall_time=1000.0, run_time_ratio=1.0, is_best_effort=job.team == "guest")
        for job in (low, late, guest)
    ]
    assert keys == sorted(keys)


def test_a_little_is_left_to_guests_whatever_is_guaranteed() -> None:
    teams = [
        {"name": "red", "cpus": 64.0, "cpus_max": 64.0},
        {"name": "guest", "cpus": 0.0, "cpus_max": 0.0},
    ]
    world = World(404, 3, teams=teams)
    world.capacity = 6
    world.run(4.0)
    filling = world.submit(
        spec(1, team="guest", priority="low", task_count=200, estimated_run_s=400.0)
    )
    world.run(40.0)
    world.submit(spec(2, task_count=60, estimated_run_s=60.0))
    world.run(20.0)
    live = [task.job for worker in world.workers.values() for task in worker.live.values()]
    assert 1 <= live.count(filling) <= len(live) // 4
    assert not world.broken
