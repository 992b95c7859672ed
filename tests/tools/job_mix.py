"""Random submissions of jobs of all kinds."""

from __future__ import annotations

import random
from typing import Any

from tests.tools.workload import FAILING_CLASS, GANG, SERVICE, job_submission

TEAMS = ["vision", "speech", "tight", "guests"]
URGENCIES = ["prod", "high", "normal", "low"]
IMAGES = [f"img-{number:02d}" for number in range(6)]
#: relative frequency of each kind of job
KIND_WEIGHTS = {"small": 8, "large": 2, "gang": 4, "gpu_gang": 1, "picky": 3, "due": 3, "saving": 3}


def random_job(rng: random.Random, number: int) -> dict[str, Any]:
    """Return the submission of a job of a random kind."""
    kind = rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
    common = {
        "owner": rng.choices(TEAMS, [6, 4, 2, 2])[0],
        "urgency": rng.choices(URGENCIES, [1, 2, 5, 2])[0],
        "bundle": rng.choice(IMAGES),
        "size_gb": rng.uniform(0.2, 3.0),
        "loaners": rng.random() < 0.4,
        "expected_s": rng.uniform(3.0, 14.0),
    }
    return job_submission(number, **{**common, **GENERATORS[kind](rng)})


def small_array(rng: random.Random) -> dict[str, Any]:
    """Return the fields of a job with a few independent tasks."""
    return {"pieces": rng.randint(1, 6), "cpus": rng.choice([0.5, 1.0, 2.0, 3.0])}


def large_array(rng: random.Random) -> dict[str, Any]:
    """Return the fields of a job with many short tasks, more than fit into one shard."""
    return {
        "owner": rng.choice(["vision", "speech"]),
        "pieces": rng.randint(40, 160),
        "expected_s": rng.uniform(1.0, 4.0),
    }


def random_gang(rng: random.Random) -> dict[str, Any]:
    """Return the fields of a gang, which may have to run in one zone or be spread over zones."""
    return {
        "shape": GANG,
        "owner": rng.choice(["vision", "speech", "guests"]),
        "pieces": rng.randint(1, 5),
        "cpus": rng.choice([1.0, 2.0, 4.0]),
        "together": rng.random() < 0.4,
        "scatter": rng.random() < 0.2,
        "bookmark_s": rng.choice([0.0, 2.0]),
        "bookmark_cost_s": 1.0,
    }


def gpu_gang(rng: random.Random) -> dict[str, Any]:
    """Return the fields of a gang that needs GPU machines."""
    return {
        "shape": GANG,
        "owner": "vision",
        "pieces": rng.randint(2, 3),
        "cpus": 4.0,
        "gpus": 4.0,
        "mem_gb": 32.0,
        "together": rng.random() < 0.5,
        "bookmark_s": 3.0,
        "bookmark_cost_s": 1.5,
    }


def constrained(rng: random.Random) -> dict[str, Any]:
    """Return the fields of a job whose tasks may run only on some machines."""
    return {
        "pieces": rng.randint(1, 8),
        "room": rng.choice([None, "a", "b", "c"]),
        "builds": rng.choice([None, ["c4"], ["c4", "g8"]]),
        "scatter": rng.random() < 0.4,
        "together": rng.random() < 0.3,
    }


def with_deadline(rng: random.Random) -> dict[str, Any]:
    """Return the fields of a job with a deadline, which in some cases cannot be met."""
    return {
        "jobclass": "nightly",
        "pieces": rng.randint(2, 12),
        "due_s": rng.choice([10.0, 40.0, 90.0]),
    }


def checkpointed(rng: random.Random) -> dict[str, Any]:
    """Return the fields of a job with long tasks that save checkpoints; may use spot machines."""
    return {
        "pieces": rng.randint(1, 4),
        "cpus": 2.0,
        "loaners": True,
        "expected_s": rng.uniform(20.0, 40.0),
        "bookmark_s": 4.0,
        "bookmark_cost_s": 1.0,
    }


def service_job(number: int, **changes: Any) -> dict[str, Any]:
    """Return the submission of a service, which runs until it is withdrawn."""
    return job_submission(
        number, **{"shape": SERVICE, "pieces": 2, "jobclass": "serving", **changes}
    )


def failing_job(number: int, **changes: Any) -> dict[str, Any]:
    """Return the submission of a job whose tasks fail on every machine."""
    return job_submission(number, **{"jobclass": FAILING_CLASS, "pieces": 3, **changes})


GENERATORS = {
    "small": small_array,
    "large": large_array,
    "gang": random_gang,
    "gpu_gang": gpu_gang,
    "picky": constrained,
    "due": with_deadline,
    "saving": checkpointed,
}
