"""An asyncio event loop on simulated time, whose connections use a simulated network.

The loop never sleeps: when all due callbacks have run, it advances the clock to the next timer.
Each callback belongs to the process in whose context it was scheduled; callbacks of a killed
process are skipped.
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

#: simulated time at which a loop starts
START_S = 1000.0
#: number of stored timer times above which the past ones are dropped
MAX_TIMER_TIMES = 50_000


class _ClockSelector:
    """Replaces the selector of a loop: advances the simulated clock instead of waiting."""

    def __init__(self) -> None:
        self.now_s = START_S

    def select(self, timeout: float | None) -> list[Any]:
        """Advance the clock by the timeout; return no events.

        Raises
        ------
        RuntimeError
            If there is no timer to advance to.
        """
        if timeout is None:
            raise RuntimeError("simulation is stuck: no timer is scheduled")
        self.now_s += timeout
        return []


class SimulatedLoop(asyncio.BaseEventLoop):
    """Event loop that runs simulated processes and outside systems on one simulated clock."""

    def __init__(self) -> None:
        super().__init__()
        self._selector = _ClockSelector()
        #: times of the scheduled timers, all different; the values are unused
        self._timer_times: dict[float, None] = {}
        self.network: Network | None = None
        #: first error raised by a callback of an outside system, which is a bug of the simulation
        self.first_error: BaseException | None = None

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._selector.now_s

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing: the selector returns no events."""

    def _write_to_self(self) -> None:
        """Do nothing: no other thread wakes the loop."""

    def run_until(self, when_s: float) -> None:
        """Run until a simulated time; raise the first error of an outside system, if any."""
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
        """Run a callback in the next iteration, if its process is alive then."""
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
        """Run a callback at a simulated time, if its process is alive then."""
        context = contextvars.copy_context() if context is None else context
        process = context.get(CURRENT_PROCESS)
        when = self._unique_time(when)
        return super().call_at(when, self._run_if_alive, process, callback, args, context=context)

    def _unique_time(self, when: float) -> float:
        """Return the next representable time at which no other timer is due.

        The heap's order of timers that are due at the same time depends on all other timers. The
        order in which a controller closes the connections of a set, which is not deterministic,
        could then change the rest of the scenario.
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
        """Accept connections to an address in the current process."""
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
    """Resolve the future of an attempt to connect, unless it was cancelled."""
    if opened.done():
        return
    if isinstance(result, OSError):
        opened.set_exception(result)
    else:
        opened.set_result(result)
