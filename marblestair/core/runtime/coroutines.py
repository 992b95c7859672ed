"""Flows: steps of the core that wait for outside answers, written as generators.

A flow yields a call and is resumed with its result. The runner keeps no clock and does no I/O:
it returns the calls to make and is told of their results, so a story can answer them in any
order, late, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, TypeAlias

from marblestair.core.runtime.requests import OutsideRequest, Sleep


class Signal:
    """Something that flows wait for: yielded by each of them, fired once for all."""

    def __init__(self) -> None:
        self.waiters: list[int] = []


Coroutine: TypeAlias = Generator[OutsideRequest | Signal, Any, None]
#: a step of a flow with a result, used with ``yield from``
Step: TypeAlias = Generator[OutsideRequest | Signal, Any, Any]


class CoroutineRunner:
    """Drives flows; the calls they make are collected until taken."""

    def __init__(self) -> None:
        self._next = 1
        self._waiting: dict[int, Coroutine] = {}
        self._sleeping: list[tuple[float, int]] = []
        self.requests: list[tuple[int, OutsideRequest]] = []
        self.now = 0.0
        #: told of a flow that ended by an error, which must not end the process
        self.on_error: Callable[[BaseException], None] | None = None

    def spawn(self, flow: Coroutine) -> None:
        """Start a flow."""
        self._advance(flow, None)

    def supervise(self, make: Callable[[], Coroutine]) -> None:
        """Start a flow that is to run for good: one that an error ends is started again."""
        self._advance(self._supervised(make), None)

    def _supervised(self, make: Callable[[], Coroutine]) -> Coroutine:
        while True:
            try:
                yield from make()
                return
            except Exception as e:
                if self.on_error is None:
                    raise
                self.on_error(e)
            yield Sleep(1.0)

    def resume(self, call: int, result: Any) -> None:
        """Resume the flow that waits for a call; unknown calls are ignored."""
        flow = self._waiting.pop(call, None)
        if flow is not None:
            self._advance(flow, result)

    def fire(self, signal: Signal, result: Any) -> None:
        """Resume all flows that wait for a signal."""
        waiters, signal.waiters = signal.waiters, []
        for call in waiters:
            self.resume(call, result)

    def wake(self, now: float) -> None:
        """Resume the flows whose sleep is over."""
        self.now = now
        if not self._sleeping:
            return
        due = [c for t, c in self._sleeping if t <= now]
        if due:
            self._sleeping = [s for s in self._sleeping if s[0] > now]
            for call in due:
                self.resume(call, None)

    def _advance(self, flow: Coroutine, value: Any) -> None:
        try:
            call = flow.send(value)
        except StopIteration:
            return
        except Exception as e:
            if self.on_error is None:
                raise
            self.on_error(e)
            return
        n = self._next
        self._next += 1
        self._waiting[n] = flow
        if isinstance(call, Signal):
            call.waiters.append(n)
        elif isinstance(call, Sleep):
            self._sleeping.append((self.now + call.seconds, n))
        else:
            self.requests.append((n, call))
