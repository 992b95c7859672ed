"""Rate limiter with priorities, built on token buckets.

Requests and writes are limited by one rate each. While a request with writes waits for tokens,
requests with writes that come later in the order of priority and age wait too. Requests without
writes wait only for request tokens, so that reads proceed while commits have used up the write
rate.
"""

from __future__ import annotations

import asyncio
import heapq

import msgspec

#: default time after which a waiting request is rejected
DEFAULT_MAX_WAIT_S = 2.0
#: largest number of write tokens for which a request has to wait, as a share of the write bucket's
#: capacity; a request with more writes is granted at this number too
FULL_BUCKET_SHARE = 0.95
#: interval at which waiting requests are granted, as a share of the time in which one request token
#: is added; for request rates below MIN_GRANT_RATE_PER_S, that time is computed from this rate
GRANT_INTERVAL_SHARE = 0.5
MIN_GRANT_RATE_PER_S = 1.0


class WaitingRequest(msgspec.Struct, order=True):
    """A request that waits for its tokens, ordered by priority (lowest number first), then age."""

    priority: int
    number: int
    writes: int
    #: time of the event loop after which the request is rejected
    expires_at: float
    #: resolved with True when the request is granted, with False when it is rejected
    granted: asyncio.Future[bool]

    def resolve(self, is_granted: bool) -> None:
        """Grant or reject the request; does nothing if its caller was cancelled."""
        if not self.granted.done():
            self.granted.set_result(is_granted)


class RateLimiter:
    """Limits requests and writes by one token bucket each.

    A bucket holds the tokens of one second; the bucket for requests holds at least one token.

    Parameters
    ----------
    rps, write_rps
        Requests and writes per second.
    max_wait_s
        Time in seconds after which a request that still waits for tokens is rejected.
    """

    def __init__(
        self, rps: float, write_rps: float, max_wait_s: float = DEFAULT_MAX_WAIT_S
    ) -> None:
        self.rps = rps
        self.write_rps = write_rps
        self.max_wait_s = max_wait_s
        # A bucket with a capacity below one token would never grant a request.
        self.burst = max(1.0, rps)
        self._request_tokens = self.burst
        self._write_tokens = write_rps
        #: time of the event loop of the last refill; None before the first request
        self._filled_at: float | None = None
        #: heap of the requests that wait for tokens
        self._waiting: list[WaitingRequest] = []
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, priority: int, writes: int) -> bool:
        """Wait for a request's tokens; return whether they were granted within ``max_wait_s``."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._refill(now)
        if not self._waiting and self._try_take_tokens(writes):
            return True
        granted: asyncio.Future[bool] = loop.create_future()
        self._last_number += 1
        expires_at = now + self.max_wait_s
        request = WaitingRequest(priority, self._last_number, writes, expires_at, granted)
        heapq.heappush(self._waiting, request)
        self._schedule_grant(loop)
        return await granted

    def close(self) -> None:
        """Grant no more requests; the callers of waiting requests must be cancelled separately."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _refill(self, now: float) -> None:
        if self._filled_at is not None:
            elapsed_s = max(0.0, now - self._filled_at)
            self._request_tokens = min(self.burst, self._request_tokens + elapsed_s * self.rps)
            self._write_tokens = min(
                self.write_rps, self._write_tokens + elapsed_s * self.write_rps
            )
        self._filled_at = now

    def _try_take_tokens(self, writes: int) -> bool:
        if self._request_tokens < 1 or not self._has_write_tokens(writes):
            return False
        self._request_tokens -= 1
        self._write_tokens -= writes
        return True

    def _has_write_tokens(self, writes: int) -> bool:
        # A request with more writes than FULL_BUCKET_SHARE of the bucket's capacity is granted when
        # the bucket is filled to that share; the number of tokens may then become negative.
        return not writes or self._write_tokens >= min(writes, self.write_rps * FULL_BUCKET_SHARE)

    def _schedule_grant(self, loop: asyncio.AbstractEventLoop) -> None:
        """Schedule the next grant of waiting requests, unless one is scheduled already."""
        if self._timer is None and self._waiting:
            delay_s = GRANT_INTERVAL_SHARE / max(self.rps, MIN_GRANT_RATE_PER_S)
            self._timer = loop.call_later(delay_s, self._grant_waiting)

    def _grant_waiting(self) -> None:
        self._timer = None
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._refill(now)
        self._reject_expired(now)
        # A sorted list is a heap.
        self._waiting = self._grant_in_order(sorted(self._waiting))
        self._schedule_grant(loop)

    def _reject_expired(self, now: float) -> None:
        expired = [request for request in self._waiting if request.expires_at < now]
        self._waiting = [request for request in self._waiting if request.expires_at >= now]
        for request in expired:
            request.resolve(False)

    def _grant_in_order(self, requests: list[WaitingRequest]) -> list[WaitingRequest]:
        """Grant requests in order, as far as the buckets allow; return those that still wait."""
        waiting = []
        is_write_waiting = False
        for request in requests:
            if request.granted.done():
                continue
            is_blocked = bool(request.writes) and is_write_waiting
            if not is_blocked and self._try_take_tokens(request.writes):
                request.resolve(True)
                continue
            is_write_waiting = is_write_waiting or bool(request.writes)
            waiting.append(request)
        return waiting
