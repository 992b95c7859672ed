"""Rate budgets with lanes: a lower lane goes first.

Requests and changes have a rate each. What waits for changes holds back other changes, not reads:
a lookup goes on while commits have used up the changes of this second.
"""

from __future__ import annotations

import asyncio
import heapq

import msgspec


class Waiting(msgspec.Struct, order=True):
    """A request that waits for its place; the lowest lane first, then the oldest."""

    lane: int
    number: int
    writes: int
    until: float
    granted: asyncio.Future[bool]


class Budget:
    """A token bucket for requests and changes, holding a second's worth of each."""

    def __init__(self, rps: float, write_rps: float, max_wait_s: float = 2.0) -> None:
        self.rps = rps
        self.write_rps = write_rps
        self.max_wait_s = max_wait_s
        # A bucket smaller than one request would never let any through.
        self.burst = max(1.0, rps)
        self._tokens = self.burst
        self._writes = write_rps
        self._at: float | None = None
        self._heap: list[Waiting] = []
        self._seq = 0
        self._timer: asyncio.TimerHandle | None = None

    def _fill(self, now: float) -> None:
        if self._at is not None:
            dt = max(0.0, now - self._at)
            self._tokens = min(self.burst, self._tokens + dt * self.rps)
            self._writes = min(self.write_rps, self._writes + dt * self.write_rps)
        self._at = now

    def _may_write(self, writes: int) -> bool:
        # A batch larger than the bucket goes when the bucket is full, and leaves a debt.
        return not writes or self._writes >= min(writes, self.write_rps * 0.95)

    def _try(self, writes: int) -> bool:
        if self._tokens < 1 or not self._may_write(writes):
            return False
        self._tokens -= 1
        self._writes -= writes
        return True

    async def take(self, lane: int, writes: int) -> bool:
        """Wait for a place; False when none came up in time."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._fill(now)
        if not self._heap and self._try(writes):
            return True
        future: asyncio.Future[bool] = loop.create_future()
        self._seq += 1
        until = now + self.max_wait_s
        heapq.heappush(self._heap, Waiting(lane, self._seq, writes, until, future))
        self._arm(loop)
        return await future

    def _arm(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._timer is None and self._heap:
            self._timer = loop.call_later(0.5 / max(self.rps, 1.0), self._serve)

    def _serve(self) -> None:
        self._timer = None
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._fill(now)
        self._give_up_late(now)
        # A sorted list is a heap.
        self._heap = self._left_waiting(sorted(self._heap))
        self._arm(loop)

    def _give_up_late(self, now: float) -> None:
        """Tell those that have waited for too long."""
        late = [w for w in self._heap if w.until < now]
        self._heap = [w for w in self._heap if w.until >= now]
        for waiting in late:
            if not waiting.granted.done():
                waiting.granted.set_result(False)

    def _left_waiting(self, order: list[Waiting]) -> list[Waiting]:
        """Let through what may go, first things first; what is left."""
        left = []
        are_changes_held = False
        for waiting in order:
            if waiting.granted.done():
                continue
            is_held = bool(waiting.writes) and are_changes_held
            if not is_held and self._try(waiting.writes):
                waiting.granted.set_result(True)
                continue
            are_changes_held = are_changes_held or bool(waiting.writes)
            left.append(waiting)
        return left
