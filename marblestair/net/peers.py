"""Outgoing links to the other controllers, and the server that receives their messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias

from marblestair.net.framing import (
    AckFrame,
    Elements,
    FramedConnection,
    MessageFrame,
    RequestFrame,
    ResponseFrame,
)

#: time without a received frame after which a connection is replaced, if a frame was sent since the
#: last one was received
STALE_AFTER_S = 2.5
#: timeout of an attempt to connect, and minimum delay between a failed attempt and the next one
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.5
#: interval at which a request that waits for its connection to open checks the connection
CONNECT_POLL_INTERVAL_S = 0.02

#: sends the response to a request
Responder: TypeAlias = Callable[[Any], None]
#: called with the sender, tag and arguments of a one-way message
MessageHandler: TypeAlias = Callable[[str, str, Elements], None]
#: called with a responder, and the sender, tag and arguments of a request
RequestHandler: TypeAlias = Callable[[Responder, str, str, Elements], None]


class Link:
    """An outgoing connection to one peer.

    The connection is opened on first use. If it is lost or stale, the next use opens a new one. No
    attempt is made within ``RECONNECT_DELAY_S`` after a failed one. :meth:`close` ends the
    connection and the task that opens it.

    Parameters
    ----------
    node
        Name of this controller, sent with each message as its sender.
    address
        Address of the peer, ``host:port``.
    """

    def __init__(self, node: str, address: str) -> None:
        self._node = node
        self._address = address
        self._connection: FramedConnection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._is_closed = False
        #: futures of the responses that are awaited, by the numbers of their requests
        self._awaited_responses: dict[int, asyncio.Future[Any]] = {}
        self._last_number = 0
        # Times of the event loop, in seconds.
        self._reconnect_at = 0.0
        self._last_received_at = 0.0
        self._last_sent_at = 0.0

    def send_message(self, tag: str, arguments: Any) -> None:
        """Send a one-way message; if no connection is open, drop the message and open one."""
        connection = self._usable_connection()
        if connection is not None:
            self._last_sent_at = asyncio.get_running_loop().time()
            connection.send(MessageFrame(self._node, tag, arguments))

    async def request(self, tag: str, arguments: Any, timeout_s: float) -> Any:
        """Send a request and return the response.

        Returns None when no response arrives in time, or the connection fails.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = await self._open_connection(deadline)
        if connection is None:
            return None
        self._last_number += 1
        number = self._last_number
        response: asyncio.Future[Any] = loop.create_future()
        self._awaited_responses[number] = response
        self._last_sent_at = loop.time()
        connection.send(RequestFrame(number, self._node, tag, arguments))
        try:
            async with asyncio.timeout_at(deadline):
                return await response
        except TimeoutError:
            return None
        finally:
            self._awaited_responses.pop(number, None)

    def close(self) -> None:
        """Close the connection permanently; waiting requests return None."""
        self._is_closed = True
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if self._connection is not None:
            self._connection.close()
        self._connection_lost()

    async def _open_connection(self, deadline: float) -> FramedConnection | None:
        """Wait for an open connection and return it; None if opening it fails or takes too long."""
        loop = asyncio.get_running_loop()
        connection = self._usable_connection()
        while connection is None and self._opening is not None and loop.time() < deadline:
            await asyncio.sleep(CONNECT_POLL_INTERVAL_S)
            connection = self._connection
        return connection

    def _usable_connection(self) -> FramedConnection | None:
        """Return the open connection; without one, start to open one if allowed and return None.

        No attempt starts while another one runs, before ``_reconnect_at``, or after :meth:`close`.
        """
        now = asyncio.get_running_loop().time()
        if self._connection is not None and self._is_stale(now):
            self._connection.abort()
            self._connection = None
        may_open = now >= self._reconnect_at and not self._is_closed
        if self._connection is None and self._opening is None and may_open:
            self._opening = asyncio.create_task(self._open())
        return self._connection

    def _is_stale(self, now: float) -> bool:
        """Whether a frame was sent since one arrived, and none arrived for ``STALE_AFTER_S``."""
        is_unanswered = self._last_sent_at > self._last_received_at
        return is_unanswered and now - self._last_received_at > STALE_AFTER_S

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: FramedConnection(self._receive), host, int(port)
                )
            connection.on_lost = self._connection_lost
            self._connection = connection
            self._last_received_at = loop.time()
            self._last_sent_at = 0.0
        except (OSError, TimeoutError):
            self._reconnect_at = loop.time() + RECONNECT_DELAY_S
        finally:
            self._opening = None

    def _receive(self, _: FramedConnection, elements: Elements) -> None:
        """Record when a frame arrived; pass a response to the request that awaits it."""
        self._last_received_at = asyncio.get_running_loop().time()
        match elements:
            case ["answer", number, value]:
                response = self._awaited_responses.pop(number, None)
                if response is not None and not response.done():
                    response.set_result(value)

    def _connection_lost(self) -> None:
        self._connection = None
        for response in self._awaited_responses.values():
            if not response.done():
                response.set_result(None)
        self._awaited_responses.clear()


class PeerServer:
    """Accepts connections of other controllers and receives their messages and requests.

    Parameters
    ----------
    on_message, on_request
        Called with each one-way message and each request, respectively.
    """

    def __init__(
        self,
        on_message: MessageHandler,
        on_request: RequestHandler,
    ) -> None:
        self._on_message = on_message
        self._on_request = on_request
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections.

        Raises
        ------
        OSError
            When the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: FramedConnection(self._receive), host, port, reuse_address=True
        )

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def _receive(self, connection: FramedConnection, elements: Elements) -> None:
        """Receive a frame; unknown kinds, which later versions may send, are ignored."""
        match elements:
            case ["note", sender, tag, list(arguments)]:
                connection.send(AckFrame())
                self._on_message(str(sender), str(tag), arguments)
            case ["ask", number, sender, tag, list(arguments)]:
                self._on_request(
                    lambda value: connection.send(ResponseFrame(number, value)),
                    str(sender),
                    str(tag),
                    arguments,
                )
