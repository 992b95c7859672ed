"""Records everything that the controllers send in a file, and reads such a record."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator
from typing import BinaryIO

import msgspec

from tests.tools.messages import FrameSplitter, HttpSplitter, Splitter
from tests.tools.network import Endpoint
from tests.tools.processes import Process
from tests.tools.simulated_loop import SimulatedLoop

#: size in bytes of the length prefix of each entry in the file
LENGTH_BYTES = 4
#: kinds of receivers of messages for people, whose content may change: only time and number of
#: these messages are compared
KINDS_WITHOUT_CONTENT = ("operator",)


class Event:
    """Kinds of events that a record contains."""

    MESSAGE = "message"
    CLOSED = "closed"
    ENDED = "ended"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A message sent by a controller, a connection closed by it, or the end of its program."""

    time_s: float
    #: name of the controller, and which of its runs this is
    node: str
    run: int
    event: str
    #: kind and name of the remote host
    kind: str
    destination: str
    data: bytes


class Recorder:
    """Writes the record of a scenario while the scenario runs."""

    def __init__(self, loop: SimulatedLoop, frame_port: int, file: BinaryIO) -> None:
        self._loop = loop
        self._frame_port = frame_port
        self._file = file
        self._splitters: dict[Endpoint, Splitter] = {}
        self._pending_closes: list[Entry] = []

    def on_write(self, endpoint: Endpoint, data: bytes) -> None:
        """Record the messages that are now complete."""
        splitter = self._splitters.get(endpoint)
        if splitter is None:
            is_frames = endpoint.port == self._frame_port
            splitter = self._splitters[endpoint] = FrameSplitter() if is_frames else HttpSplitter()
        for message in splitter.feed(data):
            is_compared = endpoint.remote.kind not in KINDS_WITHOUT_CONTENT
            self._write(self._entry(endpoint, Event.MESSAGE, message if is_compared else b""))

    def on_close(self, endpoint: Endpoint) -> None:
        """Record that a controller closed a connection."""
        self._splitters.pop(endpoint, None)
        self._pending_closes.append(self._entry(endpoint, Event.CLOSED, b""))

    def on_exit(self, process: Process, reason: str) -> None:
        """Record that a controller's program ended on its own."""
        host = process.host
        data = reason.encode()
        self._write(Entry(self._loop.time(), host.name, process.run, Event.ENDED, "none", "", data))

    def finish(self) -> None:
        """Write the entries that are still pending."""
        self._flush_closes()

    def _entry(self, endpoint: Endpoint, event: str, data: bytes) -> Entry:
        assert endpoint.process is not None
        return Entry(
            self._loop.time(),
            endpoint.local.name,
            endpoint.process.run,
            event,
            endpoint.remote.kind,
            endpoint.remote.name,
            data,
        )

    def _write(self, entry: Entry) -> None:
        self._flush_closes()
        self._append(entry)

    def _flush_closes(self) -> None:
        """Write the entries of the connections that were closed since the last message.

        Entries of the same time are sorted by the remote host: a controller may keep its
        connections in a set, whose order differs from run to run.
        """
        pending, self._pending_closes = self._pending_closes, []
        for entry in sorted(pending, key=lambda x: (x.time_s, x.node, x.kind, x.destination)):
            self._append(entry)

    def _append(self, entry: Entry) -> None:
        data = msgspec.msgpack.encode(entry)
        self._file.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)


def read_record(path: pathlib.Path) -> Iterator[Entry]:
    """Yield the entries of a record."""
    decoder = msgspec.msgpack.Decoder(Entry)
    with path.open("rb") as file:
        while length := file.read(LENGTH_BYTES):
            yield decoder.decode(file.read(int.from_bytes(length, "big")))
