"""Simulated time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

#: how often a condition is looked at while time passes
POLL_INTERVAL_S = 0.25


class EventQueue:
    """Carries out actions in the order of their times; of equal times, in the order scheduled."""

    def __init__(self) -> None:
        #: seconds since the deployment began
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()

    def schedule(self, delay_s: float, action: Callable[[], object]) -> None:
        """Have an action carried out after some seconds."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = max(self.now, at)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Let time pass until a condition holds; whether it does in the end."""
        end = self.now + timeout_s
        while self.now < end:
            if condition():
                return True
            self.run(POLL_INTERVAL_S)
        return condition()
