"""The rate limiter: order by priority, and which requests wait for which others."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from marblestair.core.runtime.store_requests import RequestPriority
from marblestair.net.rate_limiter import RateLimiter


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer: no real time passes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self.now = max(self.now, self._scheduled[0].when())
        super()._run_once()


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine under virtual time."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(coroutine)
    finally:
        loop.close()


async def served_order(rate_limiter: RateLimiter, *requests: tuple[str, int, int]) -> list[str]:
    """Return the names of simultaneous requests in the order in which they are granted.

    Each request is given by its name, its priority and its number of writes.
    """
    served: list[str] = []

    async def take(name: str, priority: int, writes: int) -> None:
        if await rate_limiter.acquire(priority, writes):
            served.append(name)

    await asyncio.gather(*(take(*request) for request in requests))
    return served


def test_a_read_does_not_wait_for_commits_that_wait_for_changes() -> None:
    """Under low rate limits, reads must not wait behind commits.

    Otherwise submissions are refused, since the jobs that they depend on are not read in time.
    """

    async def check() -> None:
        rate_limiter = RateLimiter(20.0, 2.0)
        assert await rate_limiter.acquire(RequestPriority.ACCEPTANCE, 2)
        order = await served_order(
            rate_limiter,
            ("commit", RequestPriority.ACCEPTANCE, 2),
            ("read", RequestPriority.LOOKUP, 0),
        )
        assert order == ["read", "commit"]

    run(check())


def test_changes_are_served_in_order_and_the_lowest_lane_first() -> None:
    async def check() -> None:
        rate_limiter = RateLimiter(20.0, 2.0, 10.0)
        assert await rate_limiter.acquire(RequestPriority.ACCEPTANCE, 2)
        order = await served_order(
            rate_limiter,
            ("progress", RequestPriority.PROGRESS, 1),
            ("large", RequestPriority.ACCEPTANCE, 2),
            ("lease", RequestPriority.LEASE, 1),
        )
        assert order == ["lease", "large", "progress"]

    run(check())


@pytest.mark.parametrize("writes", [0, 1])
def test_a_request_that_waits_for_too_long_is_refused(writes: int) -> None:
    async def check() -> None:
        rate_limiter = RateLimiter(1.0, 1.0, 0.5)
        assert await rate_limiter.acquire(RequestPriority.ACCEPTANCE, 1)
        assert not await rate_limiter.acquire(RequestPriority.ACCEPTANCE, writes)

    run(check())


def test_a_request_that_cannot_wait_is_refused_at_once() -> None:
    async def check() -> None:
        rate_limiter = RateLimiter(0.6, 1.0, max_wait_s=0.0)
        assert await rate_limiter.acquire(1, 0)
        # The bucket of requests is empty now.
        assert not await rate_limiter.acquire(0, 0)

    run(check())
