"""Coroutines of the core: generators that yield requests and are resumed with the responses.

The runner reads no clock and does no I/O. It collects the requests, and its caller passes in the
responses, so a test can answer requests late, in any order, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, TypeAlias, TypeVar

from marblestair.core.runtime.requests import CoroutineRequest, Sleep

#: pause before a supervised coroutine that failed is restarted
RESTART_PAUSE_S = 1.0


class Signal:
    """An event that coroutines wait for by yielding it.

    :meth:`CoroutineRunner.fire` resumes all coroutines that wait for the signal.
    """

    def __init__(self) -> None:
        #: request numbers of the waiting coroutines
        self.waiting_requests: list[int] = []


ResultT = TypeVar("ResultT")

#: a coroutine that returns a result; other coroutines call it with ``yield from``
Coroutine: TypeAlias = Generator[CoroutineRequest | Signal, Any, ResultT]


class CoroutineRunner:
    """Runs coroutines, and collects their requests until the caller takes and sends them."""

    def __init__(self) -> None:
        self._next_request = 1
        #: request number -> coroutine that waits for the response
        self._waiting: dict[int, Coroutine[None]] = {}
        #: for each sleep, the time at which it ends and its request number
        self._sleeping: list[tuple[float, int]] = []
        #: requests that the caller has not taken yet, each with its number
        self.requests: list[tuple[int, CoroutineRequest]] = []
        self.now = 0.0
        #: called with the exception of a coroutine that failed; if None, the exception is raised
        self.on_error: Callable[[BaseException], None] | None = None

    def spawn(self, coroutine: Coroutine[None]) -> None:
        """Start a coroutine, which runs at once until its first request."""
        self._advance(coroutine, None)

    def supervise(self, factory: Callable[[], Coroutine[None]]) -> None:
        """Start a coroutine, and restart it whenever it fails, until it returns normally."""
        self._advance(self._supervised(factory), None)

    def _supervised(self, factory: Callable[[], Coroutine[None]]) -> Coroutine[None]:
        while True:
            try:
                yield from factory()
            except Exception as error:
                if self.on_error is None:
                    raise
                self.on_error(error)
            else:
                return
            yield Sleep(RESTART_PAUSE_S)

    def resume(self, request: int, response: Any) -> None:
        """Resume the coroutine that waits for a request; ignore an unknown request number."""
        coroutine = self._waiting.pop(request, None)
        if coroutine is not None:
            self._advance(coroutine, response)

    def fire(self, signal: Signal, result: Any) -> None:
        """Resume all coroutines that wait for a signal, each with the given result."""
        waiting, signal.waiting_requests = signal.waiting_requests, []
        for request in waiting:
            self.resume(request, result)

    def wake(self, now: float) -> None:
        """Set the time to ``now``, and resume the coroutines whose sleep has ended by then."""
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
