"""Messages between controllers: length-prefixed MessagePack arrays, the tag first.

``["note", from, tag, args]``, ``["ask", id, from, tag, args]``, ``["answer", id, value]``, and
``["pong"]``, which shows the sender of notes that they arrive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

#: a message larger than this is not taken; a summary of thousands of machines is far smaller
MAX_FRAME = 4 << 20
#: a link on which nothing came back for this long, though something was sent, is opened anew
STALE_S = 2.5

_decode = msgspec.msgpack.Decoder().decode
_encode = msgspec.msgpack.Encoder().encode


def frame(message: list[Any]) -> bytes:
    """One message with its length in front."""
    data = _encode(message)
    return len(data).to_bytes(4, "big") + data


class _Framed(asyncio.Protocol):
    def __init__(self, on_message: Callable[[_Framed, list[Any]], None]) -> None:
        self.transport: Any = None
        self._buffer = bytearray()
        self._on_message = on_message
        self.on_lost: Callable[[], None] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= 4 and self.transport is not None:
            n = int.from_bytes(self._buffer[:4], "big")
            if n > MAX_FRAME:
                self.transport.abort()
                return
            if len(self._buffer) < 4 + n:
                return
            raw = bytes(self._buffer[4 : 4 + n])
            del self._buffer[: 4 + n]
            try:
                message = _decode(raw)
            except (msgspec.DecodeError, RecursionError):
                message = None
            if not isinstance(message, list) or not message:
                self.transport.abort()
                return
            self._on_message(self, message)

    def send(self, message: list[Any]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(frame(message))


class Link:
    """The outgoing connection to one peer, kept open."""

    def __init__(self, me: str, address: str) -> None:
        self.me = me
        self.address = address
        self._conn: _Framed | None = None
        self._opening = False
        self._next_try = 0.0
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._id = 0
        self._heard = 0.0
        self._sent = 0.0

    def _message(self, _: _Framed, m: list[Any]) -> None:
        self._heard = asyncio.get_running_loop().time()
        if m[0] == "answer" and len(m) == 3:
            f = self._waiting.pop(m[1], None)
            if f is not None and not f.done():
                f.set_result(m[2])

    def _lost(self) -> None:
        self._conn = None
        for f in self._waiting.values():
            if not f.done():
                f.set_result(None)
        self._waiting.clear()

    def _usable(self) -> _Framed | None:
        now = asyncio.get_running_loop().time()
        c = self._conn
        if c is not None and self._sent > self._heard and now - self._heard > STALE_S:
            if c.transport is not None:
                c.transport.abort()
            self._conn = None
        if self._conn is None and not self._opening and now >= self._next_try:
            self._opening = True
            task = asyncio.create_task(self._open())
            _tasks.add(task)
            task.add_done_callback(_tasks.discard)
        return self._conn

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                _, conn = await loop.create_connection(
                    lambda: _Framed(self._message), host, int(port)
                )
            conn.on_lost = self._lost
            self._conn = conn
            self._heard = loop.time()
            self._sent = 0.0
        except (OSError, TimeoutError):
            self._next_try = loop.time() + 0.5
        finally:
            self._opening = False

    def note(self, tag: str, args: list[Any]) -> None:
        """Send a one-way message, if the link is up."""
        c = self._usable()
        if c is not None:
            self._sent = asyncio.get_running_loop().time()
            c.send(["note", self.me, tag, args])

    async def ask(self, tag: str, args: list[Any], timeout_s: float) -> Any:
        """Ask and wait; None when no answer came in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        c = self._usable()
        while c is None and self._opening and loop.time() < until:
            await asyncio.sleep(0.02)
            c = self._conn
        if c is None:
            return None
        self._id += 1
        n = self._id
        f: asyncio.Future[Any] = loop.create_future()
        self._waiting[n] = f
        self._sent = loop.time()
        c.send(["ask", n, self.me, tag, args])
        try:
            async with asyncio.timeout_at(until):
                return await f
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(n, None)


_tasks: set[asyncio.Task[None]] = set()


class PeerServer:
    """Takes the messages of other controllers."""

    def __init__(
        self,
        on_note: Callable[[str, str, list[Any]], None],
        on_ask: Callable[[Callable[[Any], None], str, str, list[Any]], None],
    ) -> None:
        self._on_note = on_note
        self._on_ask = on_ask
        self._server: Any = None

    def _message(self, conn: _Framed, m: list[Any]) -> None:
        if m[0] == "note" and len(m) == 4 and isinstance(m[3], list):
            conn.send(["pong"])
            self._on_note(str(m[1]), str(m[2]), m[3])
        elif m[0] == "ask" and len(m) == 5 and isinstance(m[4], list):
            n = m[1]
            self._on_ask(lambda v: conn.send(["answer", n, v]), str(m[2]), str(m[3]), m[4])

    async def listen(self, host: str, port: int) -> None:
        """Start to accept."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Framed(self._message), host, port, reuse_address=True
        )

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
