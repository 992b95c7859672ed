"""Correction factors for the users' run time estimates, per class of jobs."""

from __future__ import annotations

from marblestair.core.domain.jobs import JobSpec

#: weight of the latest task in the exponential moving average
LATEST_TASK_WEIGHT = 0.02
#: upper bound of the ratio that a single task contributes
MAX_TASK_RATIO = 5.0


class RunTimes:
    """Moving averages of the ratio of measured to estimated run time, per class of jobs."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def ratio(self, job_class: str) -> float:
        """Return the factor that corrects the estimates of a class; 1 before any task completed."""
        return self._ratios.get(job_class, 1.0)

    def record(self, spec: JobSpec, run_s: float) -> None:
        """Record the run time of a completed task, in seconds."""
        if spec.estimated_run_s > 0:
            average = self.ratio(spec.job_class)
            latest = min(MAX_TASK_RATIO, run_s / spec.estimated_run_s)
            self._ratios[spec.job_class] = average + LATEST_TASK_WEIGHT * (latest - average)
