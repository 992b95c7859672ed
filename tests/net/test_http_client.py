"""The HTTP client: bounded concurrency."""

from __future__ import annotations

import asyncio
from typing import Any

from marblestair.net import http_client
from marblestair.net.http_client import HttpClient
from tests.fakes.transport import FakeTransport


def test_commands_for_hundreds_of_machines_take_turns_and_leave_few_connections() -> None:
    """A cancel of a large array stops tasks on every machine: bounded, and none is left out."""
    most = under_way = 0
    client = HttpClient(1, 5, 7)

    class Connection(http_client.ClientConnection):
        def send(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
            nonlocal most, under_way
            under_way += 1
            most = max(most, under_way)
            f: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()

            def answer() -> None:
                nonlocal under_way
                under_way -= 1
                f.set_result((200, b""))

            asyncio.get_running_loop().call_soon(answer)
            return f

    async def test() -> list[tuple[int, bytes]]:
        loop = asyncio.get_running_loop()

        async def connect(*_: Any) -> tuple[Any, Connection]:
            connection, transport = Connection(), FakeTransport()
            connection.connection_made(transport)
            return transport, connection

        loop.create_connection = connect  # type: ignore[assignment,method-assign]
        calls = [client.request(f"10.1.0.{i}:9", "POST", "/do", b"", 5.0) for i in range(300)]
        return await asyncio.gather(*calls)

    assert asyncio.run(test()) == [(200, b"")] * 300
    assert most <= 5
    assert sum(len(x) for x in client._idle.values()) == client._idle_count == 7
