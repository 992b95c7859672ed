"""Coroutines of the core: generators that wait for responses from outside.

A coroutine yields a request and is resumed with the response. The runner reads no clock and
does no I/O: it collects the requests to send and is given the responses, so a test can answer them
in any order, late, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, TypeAlias, TypeVar

from marblestair.core.runtime.requests import CoroutineRequest, Sleep

#: pause before a supervised coroutine that ended by an error is started again
RESTART_PAUSE_S = 1.0


class Signal:
    """Something that coroutines wait for: yielded by each of them, fired once for all."""

    def __init__(self) -> None:
        self.waiting_requests: list[int] = []


ResultT = TypeVar("ResultT")

#: a coroutine that returns a result; used by others with ``yield from``
Coroutine: TypeAlias = Generator[CoroutineRequest | Signal, Any, ResultT]


class CoroutineRunner:
    """Drives coroutines; the requests that they make are collected until they are sent."""

    def __init__(self) -> None:
        self._next_request = 1
        self._waiting: dict[int, Coroutine[None]] = {}
        #: when a sleep is over, and its number
        self._sleeping: list[tuple[float, int]] = []
        #: requests that were made and not sent yet, by their numbers
        self.requests: list[tuple[int, CoroutineRequest]] = []
        self.now = 0.0
        #: called with the error that ended a coroutine, which must not end the process
        self.on_error: Callable[[BaseException], None] | None = None

    def spawn(self, coroutine: Coroutine[None]) -> None:
        """Start a coroutine."""
        self._advance(coroutine, None)

    def supervise(self, make: Callable[[], Coroutine[None]]) -> None:
        """Start a coroutine that is to run for good: one that an error ends is started again."""
        self._advance(self._supervised(make), None)

    def _supervised(self, make: Callable[[], Coroutine[None]]) -> Coroutine[None]:
        while True:
            try:
                yield from make()
            except Exception as error:
                if self.on_error is None:
                    raise
                self.on_error(error)
            else:
                return
            yield Sleep(RESTART_PAUSE_S)

    def resume(self, request: int, response: Any) -> None:
        """Resume the coroutine that waits for a request; unknown requests are ignored."""
        coroutine = self._waiting.pop(request, None)
        if coroutine is not None:
            self._advance(coroutine, response)

    def fire(self, signal: Signal, result: Any) -> None:
        """Resume all coroutines that wait for a signal."""
        waiting, signal.waiting_requests = signal.waiting_requests, []
        for request in waiting:
            self.resume(request, result)

    def wake(self, now: float) -> None:
        """Resume the coroutines whose sleep is over."""
        self.now = now
        if not self._sleeping:
            return
        due = [request for until, request in self._sleeping if until <= now]
        if due:
            self._sleeping = [sleep for sleep in self._sleeping if sleep[0] > now]
            for request in due:
                self.resume(request, None)

    def _advance(self, coroutine: Coroutine[None], response: Any) -> None:
        try:
            request = coroutine.send(response)
        except StopIteration:
            return
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)
            return
        number = self._next_request
        self._next_request += 1
        self._waiting[number] = coroutine
        if isinstance(request, Signal):
            request.waiting_requests.append(number)
        elif isinstance(request, Sleep):
            self._sleeping.append((self.now + request.seconds, number))
        else:
            self.requests.append((number, request))
