"""The jobs of a scenario: what users submit, how long tasks truly take, and what was saved."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

#: true run times lie between these multiples of the owner's estimate
RUN_TIME_FACTORS = (0.5, 1.5)
#: the class of jobs that fail on every machine
FAILING_CLASS = "flawed"
GANG, SERVICE = "group", "daemon"
#: under which the progress of a whole gang is kept
GANG_PROGRESS_KEY = -1


@dataclass
class Job:
    """A job, and what became of its tasks so far."""

    description: dict[str, Any]
    run_s: dict[int, float]
    #: saved progress by task, of a gang under GANG_PROGRESS
    saved_s: dict[int, float] = field(default_factory=dict)
    #: tasks that completed; started again, they exit as soon as they have their image
    completed: dict[int, bool] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """The job's id."""
        return str(self.description["ref"])

    @property
    def is_gang(self) -> bool:
        """Whether its tasks run all at once or not at all."""
        return bool(self.description["shape"] == GANG)

    @property
    def is_service(self) -> bool:
        """Whether it runs until it is withdrawn."""
        return bool(self.description["shape"] == SERVICE)

    @property
    def always_fails(self) -> bool:
        """Whether its tasks fail on every machine."""
        return bool(self.description["jobclass"] == FAILING_CLASS)

    @property
    def checkpoint_s(self) -> float:
        """Progress between two checkpoints; 0: it never saves."""
        return float(self.description["bookmark_s"])

    def progress_key(self, index: int) -> int:
        """Under which a task's progress is kept."""
        return GANG_PROGRESS_KEY if self.is_gang else index


class Workload:
    """All jobs by their ids."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(f"{seed}/workload")
        self.jobs: dict[str, Job] = {}

    def add(self, description: dict[str, Any]) -> Job:
        """Add a job whose true run times are drawn at random."""
        estimate_s = description["expected_s"]
        is_gang = description["shape"] == GANG
        common_s = estimate_s * self._random.uniform(*RUN_TIME_FACTORS)
        run_s = {
            index: common_s if is_gang else estimate_s * self._random.uniform(*RUN_TIME_FACTORS)
            for index in range(description["pieces"])
        }
        job = self.jobs[description["ref"]] = Job(description, run_s)
        return job


def job_id(number: int) -> str:
    """The id of a job."""
    return f"job-{number:06d}"


def job_submission(number: int, **overrides: Any) -> dict[str, Any]:
    """The submission of a small job, with changes."""
    description: dict[str, Any] = {
        "ref": job_id(number),
        "jobclass": "train",
        "owner": "vision",
        "shape": "batch",
        "urgency": "normal",
        "pieces": 4,
        "cpus": 1.0,
        "gpus": 0.0,
        "mem_gb": 1.0,
        "bundle": "img-01",
        "size_gb": 0.5,
        "builds": None,
        "room": None,
        "together": False,
        "scatter": False,
        "loaners": False,
        "expected_s": 8.0,
        "bookmark_s": 0.0,
        "bookmark_cost_s": 0.0,
        "due_s": None,
    }
    description.update(overrides)
    return description
