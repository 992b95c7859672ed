"""Rate budgets with lanes: a lower lane goes first."""

from __future__ import annotations

import asyncio
import heapq


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
        self._heap: list[tuple[int, int, int, float, asyncio.Future[bool]]] = []
        self._seq = 0
        self._timer: asyncio.TimerHandle | None = None

    def _fill(self, now: float) -> None:
        if self._at is not None:
            dt = max(0.0, now - self._at)
            self._tokens = min(self.burst, self._tokens + dt * self.rps)
            self._writes = min(self.write_rps, self._writes + dt * self.write_rps)
        self._at = now

    def _try(self, writes: int) -> bool:
        # A batch larger than the bucket goes when the bucket is full, and leaves a debt.
        if self._tokens < 1 or (writes and self._writes < min(writes, self.write_rps * 0.95)):
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
        heapq.heappush(self._heap, (lane, self._seq, writes, now + self.max_wait_s, future))
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
        late = [h for h in self._heap if h[3] < now]
        if late:
            self._heap = [h for h in self._heap if h[3] >= now]
            heapq.heapify(self._heap)
            for h in late:
                if not h[4].done():
                    h[4].set_result(False)
        while self._heap:
            head = self._heap[0]
            if head[4].done():
                heapq.heappop(self._heap)
                continue
            if not self._try(head[2]):
                break
            heapq.heappop(self._heap)
            head[4].set_result(True)
        self._arm(loop)
