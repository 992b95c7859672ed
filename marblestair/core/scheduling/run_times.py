"""How long tasks run against their owners' estimates, learned per class of jobs."""

from __future__ import annotations

from marblestair.core.domain.jobs import JobSpec

#: weight of the latest task
LATEST_WEIGHT = 0.02
#: the largest ratio that one task counts for
MOST_RATIO = 5.0


class RunTimes:
    """Measured run times against estimates."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def ratio(self, job_class: str) -> float:
        """By what the estimates of a class are to be multiplied; 1 before anything is known."""
        return self._ratios.get(job_class, 1.0)

    def record(self, spec: JobSpec, run_s: float) -> None:
        """A task of a job was completed after some time."""
        if spec.estimated_run_s > 0:
            known = self.ratio(spec.job_class)
            latest = min(MOST_RATIO, run_s / spec.estimated_run_s)
            self._ratios[spec.job_class] = known + LATEST_WEIGHT * (latest - known)
