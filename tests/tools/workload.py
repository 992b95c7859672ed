"""The jobs of a scenario: submissions, true run times of tasks, and saved progress."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

#: bounds of the true run time of a task, as multiples of the estimate in the submission
RUN_TIME_FACTORS = (0.5, 1.5)
#: class of the jobs whose tasks fail on every machine
FAILING_CLASS = "flawed"
GANG, SERVICE = "group", "daemon"
#: key of the progress of a whole gang, in place of a task's index
GANG_PROGRESS_KEY = -1


@dataclass
class Job:
    """A job, with the saved progress and the results of its tasks."""

    description: dict[str, Any]
    run_s: dict[int, float]
    #: saved progress by task index; for a gang, under GANG_PROGRESS_KEY
    saved_s: dict[int, float] = field(default_factory=dict)
    #: indexes of the completed tasks; a new attempt of such a task ends soon after its start
    completed: dict[int, bool] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Id of the job."""
        return str(self.description["ref"])

    @property
    def is_gang(self) -> bool:
        """Whether the job is a gang, whose tasks run all at once or not at all."""
        return bool(self.description["shape"] == GANG)

    @property
    def is_service(self) -> bool:
        """Whether the job is a service, which runs until it is withdrawn."""
        return bool(self.description["shape"] == SERVICE)

    @property
    def always_fails(self) -> bool:
        """Whether the job's tasks fail on every machine."""
        return bool(self.description["jobclass"] == FAILING_CLASS)

    @property
    def checkpoint_s(self) -> float:
        """Progress between two checkpoints in seconds; 0 if the job saves no checkpoints."""
        return float(self.description["bookmark_s"])

    def progress_key(self, index: int) -> int:
        """Return the key of ``saved_s`` under which a task's progress is stored."""
        return GANG_PROGRESS_KEY if self.is_gang else index


class Workload:
    """All jobs of a scenario by their ids."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(f"{seed}/workload")
        self.jobs: dict[str, Job] = {}

    def add(self, description: dict[str, Any]) -> Job:
        """Add a job with random true run times."""
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
    """Return the id of a job."""
    return f"job-{number:06d}"


def job_submission(number: int, **overrides: Any) -> dict[str, Any]:
    """Return the submission of a small array job, with some fields replaced."""
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
