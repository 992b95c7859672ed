"""Scenario tests of teams without a guarantee, whose work uses what the other teams leave free."""

from __future__ import annotations

import pytest

from marblestair.core.shares import refusal
from marblestair.core.split import first
from marblestair.settings import UNLIMITED, Team
from tests.fakes.world import TYPES, World, spec

#: a team with a guarantee and a limit, and a guest with neither
OWNER = Team("red", 8.0, 24.0)
GUEST = Team("guest", 0.0, 0.0)


def deployment(seed: int, **cluster: object) -> World:
    """Three controllers, one team with a guarantee and one guest."""
    teams = [{"name": t.name, "cpus": t.cpus, "cpus_max": t.cpus_max} for t in (OWNER, GUEST)]
    world = World(seed, 3, teams=teams, **cluster)
    world.run(4.0)
    return world


@pytest.mark.parametrize(
    ("team", "changes", "accepted"),
    [
        ("guest", {"kind": "array", "tasks": 100_000, "cpus": 4.0}, True),
        ("guest", {"kind": "gang", "tasks": 40, "cpus": 4.0}, True),
        ("guest", {"cpus": 9.0}, False),
        ("red", {"kind": "gang", "tasks": 7, "cpus": 4.0}, False),
        ("red", {"kind": "gang", "tasks": 6, "cpus": 4.0}, True),
    ],
)
def test_a_limit_of_zero_is_no_limit(team: str, changes: dict[str, object], accepted: bool) -> None:
    """Found by the incidents inc-40fe and inc-0582: every job of such a team was refused."""
    job = spec(1, team=team, **changes)
    reason = refusal(job, {t.name: t for t in (OWNER, GUEST)}, TYPES)
    assert (reason is None) is accepted


def test_each_part_may_use_its_share_of_no_limit() -> None:
    split = first(3, [OWNER, GUEST])
    assert sum(p.shares["red"][0] for p in split.parts) == 24_000_000
    assert all(p.shares["guest"][0] * 4 > UNLIMITED * 1_000_000 for p in split.parts)


def test_the_work_of_a_guest_is_done_when_nobody_else_asks() -> None:
    world = deployment(401)
    jobs = [
        world.submit(spec(1, team="guest", priority="low", tasks=40, estimate_s=6.0)),
        world.submit(spec(2, team="guest", kind="gang", tasks=2, cpus=3.0, estimate_s=6.0)),
    ]
    assert all(world.finish(job, 120.0) for job in jobs)
    assert not world.broken
