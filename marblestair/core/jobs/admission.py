"""Admission control: a limit on the number of concurrent requests.

A request over the limit is refused at once with a Retry-After time. Requests are never queued,
because a user who waits too long would time out and send the request again.
"""

from __future__ import annotations

#: bounds of the Retry-After time of a refused request
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 1, 30
#: lower bound of the rate from which the Retry-After time is computed
MIN_RATE_PER_S = 0.1


class AdmissionLimiter:
    """Limits the number of concurrent requests.

    Parameters
    ----------
    limit
        Maximum number of requests in progress at the same time; at least 1.
    rate_per_s
        Expected number of requests that finish per second.
    """

    def __init__(self, limit: int, rate_per_s: float) -> None:
        self.limit = max(1, limit)
        self.rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self.in_flight = 0
        self.refused = 0

    def try_acquire(self) -> bool:
        """Count a new request as in progress; return False if the limit is reached."""
        if self.in_flight >= self.limit:
            self.refused += 1
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Count a request as finished."""
        self.in_flight -= 1

    def retry_after_s(self) -> int:
        """Return the Retry-After time of a refused request, in whole seconds."""
        return max(
            MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, round(self.in_flight / self.rate_per_s))
        )
