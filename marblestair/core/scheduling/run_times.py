"""How long tasks run compared with their users' estimates, learned per class of jobs."""

from __future__ import annotations

from marblestair.core.domain.jobs import JobSpec

#: weight of the latest task in the moving average
LATEST_WEIGHT = 0.02
#: the largest ratio that one task counts for
MAX_RATIO = 5.0


class RunTimes:
    """Moving averages of measured run times, as ratios of the estimates."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def ratio(self, job_class: str) -> float:
        """The factor that corrects the estimates of a class; 1 before anything is measured."""
        return self._ratios.get(job_class, 1.0)

    def record(self, spec: JobSpec, run_s: float) -> None:
        """Take the run time of a completed task into account."""
        if spec.estimated_run_s > 0:
            average = self.ratio(spec.job_class)
            latest = min(MAX_RATIO, run_s / spec.estimated_run_s)
            self._ratios[spec.job_class] = average + LATEST_WEIGHT * (latest - average)
