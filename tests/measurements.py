"""Counts of what an event costs: calls that the program makes, bytes that it sends."""

from __future__ import annotations

import pathlib
import sys
import types
from collections.abc import Callable
from typing import Any, NamedTuple
from unittest import mock

import msgspec

from marblestair.core.controller import Controller
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.fakes.wire_message import WireMessage

#: directory of the tests and their fakes
TESTS = str(pathlib.Path(__file__).parent)


class EventCost(NamedTuple):
    """Calls per heartbeat and per tick of the cores, and bytes per message between them."""

    heartbeat: float
    tick: float
    message: float


class _Mean:
    """A mean of amounts that are added one after another."""

    def __init__(self) -> None:
        self._total = self._count = 0

    def add(self, amount: int) -> None:
        self._total += amount
        self._count += 1

    def value(self) -> float:
        return self._total / max(1, self._count)


def count_calls(action: Callable[[], object]) -> int:
    """Calls made by the program during an action; no time is measured.

    Calls made by the tests and their fakes do not count.
    """
    count = 0

    def profile(frame: types.FrameType, event: str, _argument: object) -> None:
        nonlocal count
        if event in ("call", "c_call") and not frame.f_code.co_filename.startswith(TESTS):
            count += 1

    sys.setprofile(profile)
    try:
        action()
    finally:
        sys.setprofile(None)
    return count


def measure_event_costs(deployment: SimulatedDeployment, seconds: float) -> EventCost:
    """What events cost on the average over some seconds."""
    heartbeats, ticks, messages = _Mean(), _Mean(), _Mean()
    receive_heartbeat, tick = Controller.receive_heartbeat, Controller.tick
    deliver = deployment.peer_link.deliver

    def counted(method: Callable[..., Any], mean: _Mean) -> Callable[..., Any]:
        def call(self: Controller, *arguments: Any) -> Any:
            results: list[Any] = []
            mean.add(count_calls(lambda: results.append(method(self, *arguments))))
            return results[0]

        return call

    def count_message(sender: str, node: str, message: WireMessage) -> None:
        sent = [sender, message.tag, message.arguments]
        messages.add(len(msgspec.msgpack.encode(sent)))
        deliver(sender, node, message)

    with (
        mock.patch.object(Controller, "receive_heartbeat", counted(receive_heartbeat, heartbeats)),
        mock.patch.object(Controller, "tick", counted(tick, ticks)),
        mock.patch.object(deployment.peer_link, "deliver", count_message),
    ):
        deployment.run(seconds)
    return EventCost(heartbeats.value(), ticks.value(), messages.value())
