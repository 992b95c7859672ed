"""The HTTP client: bounded concurrency."""

from __future__ import annotations

import asyncio
from typing import Any

from marblestair.net import http_client
from marblestair.net.http_client import HttpClient
from tests.fakes.transport import FakeTransport

OK = (200, b"")


class ConcurrencyMeter:
    """Counts the requests in flight and their maximum."""

    def __init__(self) -> None:
        self.max_in_flight = 0
        self._in_flight = 0

    def begin(self) -> None:
        self._in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self._in_flight)

    def end(self) -> None:
        self._in_flight -= 1


class FakeConnection(http_client.ClientConnection):
    """A connection whose requests are answered in the next iteration of the event loop."""

    def __init__(self, meter: ConcurrencyMeter) -> None:
        super().__init__()
        self._meter = meter

    def send(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        self._meter.begin()
        loop = asyncio.get_running_loop()
        response: asyncio.Future[tuple[int, bytes]] = loop.create_future()

        def respond() -> None:
            self._meter.end()
            response.set_result(OK)

        loop.call_soon(respond)
        return response


def test_commands_for_hundreds_of_agents_take_turns_and_leave_few_connections() -> None:
    """A cancel of a large array sends stops to all agents, a bounded number at the same time."""
    meter = ConcurrencyMeter()
    client = HttpClient(1, 5, 7)

    async def request_all() -> list[tuple[int, bytes]]:
        async def connect(*_: Any) -> tuple[Any, FakeConnection]:
            connection, transport = FakeConnection(meter), FakeTransport()
            connection.connection_made(transport)
            return transport, connection

        asyncio.get_running_loop().create_connection = connect  # type: ignore[assignment,method-assign]
        addresses = [f"10.1.0.{number}:9" for number in range(300)]
        requests = [client.request(address, "POST", "/do", b"", 5.0) for address in addresses]
        return await asyncio.gather(*requests)

    assert asyncio.run(request_all()) == [OK] * 300
    assert meter.max_in_flight <= 5
    assert sum(len(idle) for idle in client._idle.values()) == client._idle_count == 7
