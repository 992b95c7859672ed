"""Rate limits."""

from __future__ import annotations

from collections.abc import Callable


class TokenBucket:
    """Token bucket that refills at ``per_s`` and holds up to ``burst_s`` seconds of refill."""

    def __init__(self, per_s: float, clock: Callable[[], float], burst_s: float = 1.0) -> None:
        self._per_s = per_s
        self._clock = clock
        self._capacity = per_s * burst_s
        self._tokens = self._capacity
        self._filled_at_s = clock()

    def take(self, count: int) -> bool:
        """Take tokens if the bucket holds enough; return whether it did."""
        now_s = self._clock()
        self._tokens = min(self._capacity, self._tokens + (now_s - self._filled_at_s) * self._per_s)
        self._filled_at_s = now_s
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
