"""The record of everything that leaves the controllers, kept in a file."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator
from typing import BinaryIO

import msgspec

from tests.tools.messages import FrameSplitter, HttpSplitter, Splitter
from tests.tools.network import Endpoint
from tests.tools.processes import Process
from tests.tools.simulated_loop import SimulatedLoop

#: bytes of the length in front of each entry of the file
LENGTH_BYTES = 4
#: whose answers count, but not by their content: texts for people may change
KINDS_WITHOUT_CONTENT = ("operator",)


class Event:
    """What an entry of a record tells."""

    MESSAGE = "message"
    CLOSED = "closed"
    ENDED = "ended"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Something that left a controller, or that a controller did with a connection."""

    time_s: float
    #: the controller and the number of its run
    node: str
    run: int
    event: str
    #: kind and name of the host at the other end
    kind: str
    destination: str
    data: bytes


class Recorder:
    """Writes a record while a scenario is played."""

    def __init__(self, loop: SimulatedLoop, frame_port: int, file: BinaryIO) -> None:
        self._loop = loop
        self._frame_port = frame_port
        self._file = file
        self._splitters: dict[Endpoint, Splitter] = {}
        self._pending_closes: list[Entry] = []

    def on_write(self, endpoint: Endpoint, data: bytes) -> None:
        """Note the messages that are complete now."""
        splitter = self._splitters.get(endpoint)
        if splitter is None:
            is_frames = endpoint.port == self._frame_port
            splitter = self._splitters[endpoint] = FrameSplitter() if is_frames else HttpSplitter()
        for message in splitter.feed(data):
            is_compared = endpoint.remote.kind not in KINDS_WITHOUT_CONTENT
            self._write(self._entry(endpoint, Event.MESSAGE, message if is_compared else b""))

    def on_close(self, endpoint: Endpoint) -> None:
        """Note that a controller closed a connection."""
        self._splitters.pop(endpoint, None)
        self._pending_closes.append(self._entry(endpoint, Event.CLOSED, b""))

    def on_exit(self, process: Process, reason: str) -> None:
        """Note that a controller's program ended by itself."""
        host = process.host
        data = reason.encode()
        self._write(Entry(self._loop.time(), host.name, process.run, Event.ENDED, "none", "", data))

    def finish(self) -> None:
        """Write what is left."""
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
        """Write the connections closed since the last message.

        Those closed at one moment are put in order by their other ends: a controller may keep its
        connections in a set, whose order differs from run to run.
        """
        pending, self._pending_closes = self._pending_closes, []
        for entry in sorted(pending, key=lambda x: (x.time_s, x.node, x.kind, x.destination)):
            self._append(entry)

    def _append(self, entry: Entry) -> None:
        data = msgspec.msgpack.encode(entry)
        self._file.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)


def read_record(path: pathlib.Path) -> Iterator[Entry]:
    """Entries of a record, one after another."""
    decoder = msgspec.msgpack.Decoder(Entry)
    with path.open("rb") as file:
        while length := file.read(LENGTH_BYTES):
            yield decoder.decode(file.read(int.from_bytes(length, "big")))
