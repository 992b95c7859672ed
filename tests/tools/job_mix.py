"""Jobs of all kinds, drawn at random."""

from __future__ import annotations

import random
from typing import Any

from tests.tools.workload import FLAWED_CLASS, GANG, SERVICE, describe

TEAMS = ["vision", "speech", "tight", "guests"]
URGENCIES = ["prod", "high", "normal", "low"]
IMAGES = [f"img-{number:02d}" for number in range(6)]
#: the shares of the kinds of jobs in a mix
SHARES = {"small": 8, "large": 2, "gang": 4, "gpu_gang": 1, "picky": 3, "due": 3, "saving": 3}


def draw(source: random.Random, number: int) -> dict[str, Any]:
    """A job of any kind."""
    kind = source.choices(list(SHARES), list(SHARES.values()))[0]
    common = {
        "owner": source.choices(TEAMS, [6, 4, 2, 2])[0],
        "urgency": source.choices(URGENCIES, [1, 2, 5, 2])[0],
        "bundle": source.choice(IMAGES),
        "size_gb": source.uniform(0.2, 3.0),
        "loaners": source.random() < 0.4,
        "expected_s": source.uniform(3.0, 14.0),
    }
    return describe(number, **{**common, **DRAWERS[kind](source)})


def small(source: random.Random) -> dict[str, Any]:
    """A few independent tasks."""
    return {"pieces": source.randint(1, 6), "cpus": source.choice([0.5, 1.0, 2.0, 3.0])}


def large(source: random.Random) -> dict[str, Any]:
    """Many short tasks, more than one shard has room for."""
    return {
        "owner": source.choice(["vision", "speech"]),
        "pieces": source.randint(40, 160),
        "expected_s": source.uniform(1.0, 4.0),
    }


def gang(source: random.Random) -> dict[str, Any]:
    """Tasks that run all at once, perhaps in one zone or spread over zones."""
    return {
        "shape": GANG,
        "owner": source.choice(["vision", "speech", "guests"]),
        "pieces": source.randint(1, 5),
        "cpus": source.choice([1.0, 2.0, 4.0]),
        "together": source.random() < 0.4,
        "scatter": source.random() < 0.2,
        "bookmark_s": source.choice([0.0, 2.0]),
        "bookmark_cost_s": 1.0,
    }


def gpu_gang(source: random.Random) -> dict[str, Any]:
    """A gang that needs the large machines."""
    return {
        "shape": GANG,
        "owner": "vision",
        "pieces": source.randint(2, 3),
        "cpus": 4.0,
        "gpus": 4.0,
        "mem_gb": 32.0,
        "together": source.random() < 0.5,
        "bookmark_s": 3.0,
        "bookmark_cost_s": 1.5,
    }


def picky(source: random.Random) -> dict[str, Any]:
    """Tasks that may run only on some machines."""
    return {
        "pieces": source.randint(1, 8),
        "room": source.choice([None, "a", "b", "c"]),
        "builds": source.choice([None, ["c4"], ["c4", "g8"]]),
        "scatter": source.random() < 0.4,
        "together": source.random() < 0.3,
    }


def due(source: random.Random) -> dict[str, Any]:
    """Tasks with a deadline, sometimes one that can not be kept."""
    return {
        "jobclass": "nightly",
        "pieces": source.randint(2, 12),
        "due_s": source.choice([10.0, 40.0, 90.0]),
    }


def saving(source: random.Random) -> dict[str, Any]:
    """Long tasks that save checkpoints, on spot machines too."""
    return {
        "pieces": source.randint(1, 4),
        "cpus": 2.0,
        "loaners": True,
        "expected_s": source.uniform(20.0, 40.0),
        "bookmark_s": 4.0,
        "bookmark_cost_s": 1.0,
    }


def service(number: int, **changes: Any) -> dict[str, Any]:
    """A job that runs until it is withdrawn."""
    return describe(number, **{"shape": SERVICE, "pieces": 2, "jobclass": "serving", **changes})


def flawed(number: int, **changes: Any) -> dict[str, Any]:
    """A job that fails on every machine."""
    return describe(number, **{"jobclass": FLAWED_CLASS, "pieces": 3, **changes})


DRAWERS = {
    "small": small,
    "large": large,
    "gang": gang,
    "gpu_gang": gpu_gang,
    "picky": picky,
    "due": due,
    "saving": saving,
}
