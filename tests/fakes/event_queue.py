"""Simulated time and the events scheduled in it."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

#: interval at which `run_until` evaluates its condition
POLL_INTERVAL_S = 0.25


class EventQueue:
    """Runs scheduled actions by their time; those of one time run in the order scheduled."""

    def __init__(self) -> None:
        #: seconds since the start of the simulation
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()

    def schedule(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action))

    def run(self, seconds: float) -> None:
        """Advance the time and run the actions that become due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = max(self.now, at)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Advance the time until a condition holds or the timeout; return whether it holds."""
        end = self.now + timeout_s
        while self.now < end:
            if condition():
                return True
            self.run(POLL_INTERVAL_S)
        return condition()
