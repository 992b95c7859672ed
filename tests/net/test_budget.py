"""Rate budgets: lanes, and what waits for what."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from marblestair.core.runtime.store_requests import Lane
from marblestair.net.budget import Budget


def test_the_budget_lets_the_lower_lane_go_first_and_serves_small_rates() -> None:
    from marblestair.net.budget import Budget

    async def test() -> list[str]:
        b = Budget(0.6, 1.0, max_wait_s=0.0)
        assert await b.take(1, 0)
        # The bucket is empty now; a call that cannot wait is told so at once.
        return ["refused" if not await b.take(0, 0) else "served"]

    assert asyncio.run(test()) == ["refused"]


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


def run(what: Coroutine[Any, Any, None]) -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(what)
    finally:
        loop.close()


async def order_of(budget: Budget, *asked: tuple[str, int, int]) -> list[str]:
    """The order in which requests, asked for at the same time, get their places."""
    got: list[str] = []

    async def ask(name: str, lane: int, writes: int) -> None:
        if await budget.take(lane, writes):
            got.append(name)

    await asyncio.gather(*(ask(*request) for request in asked))
    return got


def test_a_read_does_not_wait_for_commits_that_wait_for_changes() -> None:
    """Found on simulated days with the lower limits: submissions whose awaited jobs had to be read
    were refused, since the reads waited behind commits.
    """

    async def check() -> None:
        budget = Budget(20.0, 2.0)
        assert await budget.take(Lane.ACCEPTANCE, 2)
        order = await order_of(budget, ("commit", Lane.ACCEPTANCE, 2), ("read", Lane.LOOKUP, 0))
        assert order == ["read", "commit"]

    run(check())


def test_changes_keep_their_order_and_the_lowest_lane_goes_first() -> None:
    async def check() -> None:
        budget = Budget(20.0, 2.0, 10.0)
        assert await budget.take(Lane.ACCEPTANCE, 2)
        order = await order_of(
            budget,
            ("progress", Lane.PROGRESS, 1),
            ("large", Lane.ACCEPTANCE, 2),
            ("lease", Lane.LEASE, 1),
        )
        assert order == ["lease", "large", "progress"]

    run(check())


@pytest.mark.parametrize("writes", [0, 1])
def test_what_waits_for_too_long_is_given_up(writes: int) -> None:
    async def check() -> None:
        budget = Budget(1.0, 1.0, 0.5)
        assert await budget.take(Lane.ACCEPTANCE, 1)
        assert not await budget.take(Lane.ACCEPTANCE, writes)

    run(check())
