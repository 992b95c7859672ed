"""Frames between controllers."""

from __future__ import annotations

from typing import Any

from marblestair.net.framing import FramedConnection, frame
from marblestair.net.peers import PeerServer
from tests.fakes.transport import FakeTransport


def test_malformed_peer_frames_close_that_connection_only() -> None:
    notes: list[Any] = []
    server = PeerServer(lambda *a: notes.append(a), lambda *a: None)
    for data in (b"\xff" * 8, frame([])[:4] + b"\xc1", frame({"a": 1}), frame([])):  # type: ignore[arg-type]
        conn = FramedConnection(server._receive)
        t = FakeTransport()
        conn.connection_made(t)
        conn.data_received(data)
        assert t.closed
    conn = FramedConnection(server._receive)
    conn.connection_made(FakeTransport())
    whole = frame(["note", "n1", "summaries", [1, []]])
    for i in range(len(whole)):
        conn.data_received(whole[i : i + 1])
    assert notes == [("n1", "summaries", [1, []])]
