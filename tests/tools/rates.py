"""Limits of requests per second."""

from __future__ import annotations

from collections.abc import Callable


class TokenBucket:
    """Lets through so many per second, with bursts of some seconds' worth."""

    def __init__(self, per_s: float, clock: Callable[[], float], burst_s: float = 1.0) -> None:
        self._per_s = per_s
        self._clock = clock
        self._capacity = per_s * burst_s
        self._tokens = self._capacity
        self._filled_at_s = clock()

    def take(self, count: int) -> bool:
        """Whether so many may pass now."""
        now_s = self._clock()
        self._tokens = min(self._capacity, self._tokens + (now_s - self._filled_at_s) * self._per_s)
        self._filled_at_s = now_s
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
