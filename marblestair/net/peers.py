"""Links to the other controllers, and the server that receives their messages."""

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

#: a connection on which nothing came back for this long, though something was sent, is replaced
STALE_S = 2.5
#: time to open a connection, and the pause after an attempt that failed, in seconds
OPEN_TIMEOUT_S = 1.0
REOPEN_PAUSE_S = 0.5
#: interval in which a request checks whether the connection has been opened, in seconds
OPEN_POLL_S = 0.02

#: sends the response to a request
Responder: TypeAlias = Callable[[Any], None]
#: called with the sender, tag and arguments of a one-way message
MessageHandler: TypeAlias = Callable[[str, str, Elements], None]
#: called with what sends the response, and the sender, tag and arguments of a request
RequestHandler: TypeAlias = Callable[[Responder, str, str, Elements], None]


class Link:
    """The outgoing connection to one peer, opened when it is first used.

    The link owns its connection and the task that opens it; :meth:`close` ends both.

    Parameters
    ----------
    node
        Name of this controller, which the peer gets with each message.
    address
        Address of the peer, ``host:port``.
    """

    def __init__(self, node: str, address: str) -> None:
        self._node = node
        self._address = address
        self._connection: FramedConnection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._is_closed = False
        #: requests without a response yet, by their numbers
        self._responses: dict[int, asyncio.Future[Any]] = {}
        self._last_number = 0
        # Times of the event loop, in seconds.
        self._reopen_at = 0.0
        self._last_received_at = 0.0
        self._last_sent_at = 0.0

    def send_message(self, tag: str, arguments: Any) -> None:
        """Send a one-way message if the connection is open; drop it otherwise."""
        connection = self._usable_connection()
        if connection is not None:
            self._last_sent_at = asyncio.get_running_loop().time()
            connection.send(MessageFrame(self._node, tag, arguments))

    async def request(self, tag: str, arguments: Any, timeout_s: float) -> Any:
        """Send a request and wait for the response; None when none came in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = await self._open_connection(deadline)
        if connection is None:
            return None
        self._last_number += 1
        number = self._last_number
        response: asyncio.Future[Any] = loop.create_future()
        self._responses[number] = response
        self._last_sent_at = loop.time()
        connection.send(RequestFrame(number, self._node, tag, arguments))
        try:
            async with asyncio.timeout_at(deadline):
                return await response
        except TimeoutError:
            return None
        finally:
            self._responses.pop(number, None)

    def close(self) -> None:
        """End the connection for good; requests that wait get None."""
        self._is_closed = True
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if self._connection is not None:
            self._connection.close()
        self._connection_lost()

    async def _open_connection(self, deadline: float) -> FramedConnection | None:
        """The connection, once it is open; None when it cannot be opened in time."""
        loop = asyncio.get_running_loop()
        connection = self._usable_connection()
        while connection is None and self._opening is not None and loop.time() < deadline:
            await asyncio.sleep(OPEN_POLL_S)
            connection = self._connection
        return connection

    def _usable_connection(self) -> FramedConnection | None:
        """The connection if it is open; otherwise None, and an attempt to open it begins."""
        now = asyncio.get_running_loop().time()
        if self._connection is not None and self._is_stale(now):
            self._connection.abort()
            self._connection = None
        may_open = now >= self._reopen_at and not self._is_closed
        if self._connection is None and self._opening is None and may_open:
            self._opening = asyncio.create_task(self._open())
        return self._connection

    def _is_stale(self, now: float) -> bool:
        """Whether the peer has not reacted for long to what was sent."""
        is_unanswered = self._last_sent_at > self._last_received_at
        return is_unanswered and now - self._last_received_at > STALE_S

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: FramedConnection(self._receive), host, int(port)
                )
            connection.on_lost = self._connection_lost
            self._connection = connection
            self._last_received_at = loop.time()
            self._last_sent_at = 0.0
        except (OSError, TimeoutError):
            self._reopen_at = loop.time() + REOPEN_PAUSE_S
        finally:
            self._opening = None

    def _receive(self, _: FramedConnection, elements: Elements) -> None:
        """Receive a frame; whatever it is, the peer has reacted."""
        self._last_received_at = asyncio.get_running_loop().time()
        match elements:
            case ["answer", number, value]:
                response = self._responses.pop(number, None)
                if response is not None and not response.done():
                    response.set_result(value)

    def _connection_lost(self) -> None:
        self._connection = None
        for response in self._responses.values():
            if not response.done():
                response.set_result(None)
        self._responses.clear()


class PeerServer:
    """Receives the messages and requests of other controllers.

    Parameters
    ----------
    on_message, on_request
        Called with each one-way message, and with each request.
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
        """Accept connections from now on.

        Raises
        ------
        OSError
            When the address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: FramedConnection(self._receive), host, port, reuse_address=True
        )

    def close(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def _receive(self, connection: FramedConnection, elements: Elements) -> None:
        """Receive a frame; unknown ones, which later versions may send, are ignored."""
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
