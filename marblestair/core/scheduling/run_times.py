"""Correction factors for the users' run time estimates, per class of jobs."""

from __future__ import annotations

from marblestair.core.domain.jobs import JobSpec

#: weight of the latest task's ratio in the exponential moving average of its class
LATEST_TASK_WEIGHT = 0.02
#: maximum ratio of measured to estimated run time that one task contributes to the average
MAX_TASK_RATIO = 5.0


class RunTimes:
    """Moving averages of the ratio of measured to estimated run time, per class of jobs."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def ratio(self, job_class: str) -> float:
        """Return the factor that corrects a class's estimates; 1 before any task is recorded."""
        return self._ratios.get(job_class, 1.0)

    def record(self, spec: JobSpec, run_s: float) -> None:
        """Record the run time of a completed task, in seconds; ignored without an estimate."""
        if spec.estimated_run_s > 0:
            average = self.ratio(spec.job_class)
            latest = min(MAX_TASK_RATIO, run_s / spec.estimated_run_s)
            self._ratios[spec.job_class] = average + LATEST_TASK_WEIGHT * (latest - average)
