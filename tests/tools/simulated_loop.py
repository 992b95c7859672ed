"""An asyncio event loop on simulated time, whose connections go through a simulated network.

Nothing waits: once every callback that is due has run, the clock jumps to the next timer. Each
callback belongs to the process in whose context it was scheduled, and the callbacks of a killed
process do nothing.
"""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVarTuple

from tests.tools.processes import CURRENT_PROCESS, Process

if TYPE_CHECKING:
    from tests.tools.network import Endpoint, Listener, Network

Arguments = TypeVarTuple("Arguments")

#: the simulated time at which a loop begins
START_S = 1000.0
#: times of timers that are kept before those that are past are dropped
MAX_TIMER_TIMES = 50_000


class _ClockSelector:
    """Stands in for the selector of a loop: instead of waiting, it moves the clock."""

    def __init__(self) -> None:
        self.now_s = START_S

    def select(self, timeout: float | None) -> list[Any]:
        """Let time pass until the next timer; no events come from here."""
        if timeout is None:
            raise RuntimeError("no timer is left: the simulation can not go on")
        self.now_s += timeout
        return []


class SimulatedLoop(asyncio.BaseEventLoop):
    """Runs simulated processes and outside systems on one clock."""

    def __init__(self) -> None:
        super().__init__()
        self._selector = _ClockSelector()
        #: the times of timers, each of them different
        self._timer_times: dict[float, None] = {}
        self.network: Network | None = None
        #: an error in a callback of the outside systems: a fault of the simulation itself
        self.first_error: BaseException | None = None

    def time(self) -> float:
        """The simulated time in seconds."""
        return self._selector.now_s

    def _process_events(self, event_list: list[Any]) -> None:
        """No events come from outside."""

    def _write_to_self(self) -> None:
        """No other thread has to wake the loop."""

    def run_until(self, when_s: float) -> None:
        """Run until a simulated time; raise the first error of an outside system."""
        self.call_at(when_s, self.stop)
        self.run_forever()
        if self.first_error is not None:
            raise self.first_error

    def call_soon(
        self,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback in the next pass, if its process is alive then."""
        context = contextvars.copy_context() if context is None else context
        process = context.get(CURRENT_PROCESS)
        return super().call_soon(self._run_if_alive, process, callback, args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time, if its process is alive then."""
        context = contextvars.copy_context() if context is None else context
        process = context.get(CURRENT_PROCESS)
        when = self._unique_time(when)
        return super().call_at(when, self._run_if_alive, process, callback, args, context=context)

    def _unique_time(self, when: float) -> float:
        """A time at which no other timer is due, as good as the same.

        The order of timers that are due at one time would depend on all others. Then the order in
        which a controller closes connections that it keeps in a set could change the rest.
        """
        while when in self._timer_times:
            when = math.nextafter(when, math.inf)
        if len(self._timer_times) > MAX_TIMER_TIMES:
            self._timer_times = {x: None for x in self._timer_times if x >= self.time()}
        self._timer_times[when] = None
        return when

    def _run_if_alive(
        self, process: Process | None, callback: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
        if process is not None:
            if process.is_alive:
                callback(*args)
            return
        try:
            callback(*args)
        except Exception as error:
            self.first_error = self.first_error or error
            self.stop()

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: Any
    ) -> Listener:
        """Accept connections to an address for the current process."""
        assert self.network is not None
        return self.network.listen((host, port), protocol_factory, contextvars.copy_context())

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: Any
    ) -> tuple[Endpoint, asyncio.Protocol]:
        """Connect the current process to an address."""
        process = CURRENT_PROCESS.get()
        assert self.network is not None
        assert process is not None
        opened: asyncio.Future[Endpoint] = self.create_future()
        attempt = self.network.connect(
            process.host,
            (host, port),
            protocol_factory,
            lambda endpoint: _resolve(opened, endpoint),
            lambda error: _resolve(opened, error),
            contextvars.copy_context(),
        )
        try:
            endpoint = await opened
        finally:
            attempt.cancel()
        return endpoint, endpoint.protocol


def _resolve(opened: asyncio.Future[Endpoint], result: Endpoint | OSError) -> None:
    """Tell the result of an attempt to connect, unless nobody waits for it any more."""
    if opened.done():
        return
    if isinstance(result, OSError):
        opened.set_exception(result)
    else:
        opened.set_result(result)
