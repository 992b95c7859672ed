"""Admission: small bounded stages, each holding back the one before it.

A submission that finds its stage full is answered at once with the time after which to come
back; it is never held so that the user does not ask again.
"""

from __future__ import annotations

#: bounds of the time after which a refused request may come back, in seconds
LEAST_RETRY_S, MOST_RETRY_S = 1, 30
#: requests per second that a stage serves, at the least
LEAST_RATE = 0.1


class AdmissionStage:
    """Counts what is in a stage and refuses what does not fit."""

    def __init__(self, size: int, per_second: float) -> None:
        self.size = max(1, size)
        self.rate = max(per_second, LEAST_RATE)
        self.inside = 0
        self.refused = 0

    def enter(self) -> bool:
        """Take a place, if there is one."""
        if self.inside >= self.size:
            self.refused += 1
            return False
        self.inside += 1
        return True

    def leave(self) -> None:
        """Give the place back."""
        self.inside -= 1

    def retry_after(self) -> int:
        """Whole seconds after which a refused request has a chance."""
        return max(LEAST_RETRY_S, min(MOST_RETRY_S, round(self.inside / self.rate)))
