"""The end of a controller ends its tasks, links to peers and pooled connections."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from marblestair.net.http_client import HttpClient
from marblestair.net.peers import Link, PeerServer
from marblestair.node import Node
from marblestair.policy import Policy
from marblestair.settings import Settings, parse
from tests.fakes.samples import raw_node_settings

#: a loopback address of this process alone, so no other worker of the test run takes its ports
HOST = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#: longest wait for a condition or a response, in seconds
TIMEOUT_S = 5.0


class Listener:
    """A server that sends a fixed response to each chunk of data, and counts its connections."""

    def __init__(self, response: bytes = b"") -> None:
        self.opened_count = 0
        self.ended_count = 0
        self.address = ""
        self._response = response
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Listener:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened_count += 1
        try:
            while await reader.read(65536):
                writer.write(self._response)
        except ConnectionError:
            pass
        finally:
            self.ended_count += 1
            writer.close()


async def wait_until(is_true: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not is_true():
            await asyncio.sleep(0.01)


def run(test: Callable[[], Awaitable[Any]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(4 * TIMEOUT_S):
            await test()

    asyncio.run(bounded())


async def free_address() -> str:
    async with Listener() as listener:
        return listener.address


def test_a_closed_link_ends_its_connection_and_opens_no_other() -> None:
    async def test() -> None:
        async with Listener() as listener:
            link = Link("n0", listener.address)
            assert await link.request("status", [], 0.2) is None
            await wait_until(lambda: listener.opened_count == 1)
            assert listener.ended_count == 0
            waiting = asyncio.create_task(link.request("status", [], TIMEOUT_S))
            await asyncio.sleep(0)
            link.close()
            assert await waiting is None
            await wait_until(lambda: listener.ended_count == 1)
            link.send_message("summaries", [])
            assert await link.request("status", [], 0.1) is None
            assert listener.opened_count == 1

    run(test)


def test_a_link_that_is_closed_while_it_opens_leaves_no_task() -> None:
    async def test() -> None:
        link = Link("n0", await free_address())
        link.send_message("summaries", [])
        opening = link._opening
        assert opening is not None
        assert not opening.done()
        link.close()
        await asyncio.wait([opening])
        assert opening.cancelled()
        assert asyncio.all_tasks() == {asyncio.current_task()}

    run(test)


def test_a_closed_client_ends_its_idle_connections_and_those_in_use() -> None:
    async def test() -> None:
        async with Listener(RESPONSE) as listener, Listener() as silent:
            client = HttpClient()
            status, body = await client.request(listener.address, "GET", "/", b"", TIMEOUT_S)
            assert (status, body) == (200, b"ok")
            assert (listener.opened_count, listener.ended_count) == (1, 0)
            unanswered = asyncio.create_task(
                client.request(silent.address, "GET", "/", b"", TIMEOUT_S)
            )
            await wait_until(lambda: silent.opened_count == 1)
            client.close()
            await wait_until(lambda: listener.ended_count == 1)
            # A request in flight ends with its task. A connection that gets its response after the
            # client was closed is not pooled again.
            unanswered.cancel()
            await wait_until(lambda: silent.ended_count == 1)
            await client.request(listener.address, "GET", "/", b"", TIMEOUT_S)
            await wait_until(lambda: listener.ended_count == 2)

    run(test)


def test_a_cancelled_node_ends_all_that_it_owns() -> None:
    async def test() -> None:
        async with Listener() as store, Listener() as cloud, Listener() as peer:
            node = Node(await node_settings(store, cloud, peer), Policy())
            running = asyncio.create_task(node.run())
            link = node.request_executor.links["n1"]
            await wait_until(lambda: store.opened_count > 0)
            link.send_message("summaries", [])
            await wait_until(lambda: peer.opened_count == 1)
            running.cancel()
            with pytest.raises(asyncio.CancelledError):
                await running
            await wait_until(lambda: store.ended_count == store.opened_count)
            await wait_until(lambda: cloud.ended_count == cloud.opened_count)
            await wait_until(lambda: peer.ended_count == peer.opened_count)
            await wait_until(lambda: not node._tasks)

    run(test)


async def node_settings(store: Listener, cloud: Listener, peer: Listener) -> Settings:
    raw = raw_node_settings(0, 2)
    raw["public_addr"] = await free_address()
    raw["cluster_listen"] = await free_address()
    raw["external"] = {"state": store.address, "cloud": cloud.address}
    raw["others"][0]["address"] = peer.address
    return parse(raw)


def test_a_link_and_a_server_understand_each_other() -> None:
    async def test() -> None:
        messages: list[Any] = []
        server = PeerServer(
            lambda *message: messages.append(message),
            lambda respond, *request: respond(list(request)),
        )
        address = await free_address()
        host, _, port = address.rpartition(":")
        await server.listen(host, int(port))
        link = Link("n0", address)
        assert await link.request("status", [1, "x"], TIMEOUT_S) == ["n0", "status", [1, "x"]]
        link.send_message("progress", [[2]])
        await wait_until(lambda: bool(messages))
        assert messages == [("n0", "progress", [[2]])]
        link.close()
        server.close()

    run(test)
