"""Rate budgets with lanes: requests of a lower lane go first.

Requests and writes have a rate each. A request that waits for writes makes other writes wait behind
it, but not reads: a lookup goes on while commits have used up the writes of this second.
"""

from __future__ import annotations

import asyncio
import heapq

import msgspec

#: how long a request waits for its turn unless the budget says otherwise, in seconds
DEFAULT_MAX_WAIT_S = 2.0
#: a batch of more writes than the bucket has goes when the bucket is full to this share
FULL_BUCKET_SHARE = 0.95
#: waiting requests are served after this share of the time in which one request comes free, and of
#: a second where the rate is below one
SERVE_INTERVAL_SHARE = 0.5
SLOWEST_SERVE_RATE = 1.0


class WaitingRequest(msgspec.Struct, order=True):
    """A request that waits for its turn; the lowest lane first, then the oldest."""

    priority: int
    number: int
    writes: int
    #: time of the event loop at which it is given up
    expires_at: float
    granted: asyncio.Future[bool]

    def resolve(self, is_granted: bool) -> None:
        """Let the request go, or give it up; nothing when its caller has gone."""
        if not self.granted.done():
            self.granted.set_result(is_granted)


class RateLimiter:
    """A token bucket for requests and one for writes; each holds a second's worth.

    Parameters
    ----------
    rps, write_rps
        Requests and writes in a second.
    max_wait_s
        Time in seconds after which a request that got no turn is given up.
    """

    def __init__(
        self, rps: float, write_rps: float, max_wait_s: float = DEFAULT_MAX_WAIT_S
    ) -> None:
        self.rps = rps
        self.write_rps = write_rps
        self.max_wait_s = max_wait_s
        # A bucket smaller than one request would never let any through.
        self.burst = max(1.0, rps)
        self._requests_left = self.burst
        self._writes_left = write_rps
        #: time of the event loop up to which the buckets are filled; None: before the first request
        self._filled_at: float | None = None
        #: a heap
        self._waiting: list[WaitingRequest] = []
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, priority: int, writes: int) -> bool:
        """Wait for a turn of a request with a number of writes; False when none came in time."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._refill(now)
        if not self._waiting and self._try_take(writes):
            return True
        granted: asyncio.Future[bool] = loop.create_future()
        self._last_number += 1
        expires_at = now + self.max_wait_s
        request = WaitingRequest(priority, self._last_number, writes, expires_at, granted)
        heapq.heappush(self._waiting, request)
        self._schedule(loop)
        return await granted

    def close(self) -> None:
        """Serve no more requests; those that wait are left to their callers, who are cancelled."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _refill(self, now: float) -> None:
        if self._filled_at is not None:
            elapsed_s = max(0.0, now - self._filled_at)
            self._requests_left = min(self.burst, self._requests_left + elapsed_s * self.rps)
            self._writes_left = min(self.write_rps, self._writes_left + elapsed_s * self.write_rps)
        self._filled_at = now

    def _try_take(self, writes: int) -> bool:
        if self._requests_left < 1 or not self._may_write(writes):
            return False
        self._requests_left -= 1
        self._writes_left -= writes
        return True

    def _may_write(self, writes: int) -> bool:
        # A batch larger than the bucket goes when the bucket is full, and leaves a debt.
        return not writes or self._writes_left >= min(writes, self.write_rps * FULL_BUCKET_SHARE)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        """Serve the waiting requests a little later, unless that is scheduled already."""
        if self._timer is None and self._waiting:
            delay_s = SERVE_INTERVAL_SHARE / max(self.rps, SLOWEST_SERVE_RATE)
            self._timer = loop.call_later(delay_s, self._serve)

    def _serve(self) -> None:
        self._timer = None
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._refill(now)
        self._give_up_expired(now)
        # A sorted list is a heap.
        self._waiting = self._grant(sorted(self._waiting))
        self._schedule(loop)

    def _give_up_expired(self, now: float) -> None:
        expired = [request for request in self._waiting if request.expires_at < now]
        self._waiting = [request for request in self._waiting if request.expires_at >= now]
        for request in expired:
            request.resolve(False)

    def _grant(self, requests: list[WaitingRequest]) -> list[WaitingRequest]:
        """Let requests go, in order, as far as the buckets allow; return the others."""
        waiting = []
        are_writes_blocked = False
        for request in requests:
            if request.granted.done():
                continue
            is_blocked = bool(request.writes) and are_writes_blocked
            if not is_blocked and self._try_take(request.writes):
                request.resolve(True)
                continue
            are_writes_blocked = are_writes_blocked or bool(request.writes)
            waiting.append(request)
        return waiting
