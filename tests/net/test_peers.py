"""The server for frames of other controllers."""

from __future__ import annotations

from typing import Any

from marblestair.net.framing import FramedConnection, encode_frame
from marblestair.net.peers import PeerServer
from tests.fakes.transport import FakeTransport


def connect(server: PeerServer) -> tuple[FramedConnection, FakeTransport]:
    """Open a connection to a server."""
    connection, transport = FramedConnection(server._receive), FakeTransport()
    connection.connection_made(transport)
    return connection, transport


def test_a_malformed_frame_closes_its_connection_only() -> None:
    messages: list[Any] = []
    server = PeerServer(lambda *message: messages.append(message), lambda *request: None)
    malformed = (
        b"\xff" * 8,
        encode_frame([])[:4] + b"\xc1",
        encode_frame({"a": 1}),
        encode_frame([]),
    )  # type: ignore[arg-type]
    for data in malformed:
        connection, transport = connect(server)
        connection.data_received(data)
        assert transport.closed
    connection, _ = connect(server)
    message = encode_frame(["note", "n1", "summaries", [1, []]])
    for offset in range(len(message)):
        connection.data_received(message[offset : offset + 1])
    assert messages == [("n1", "summaries", [1, []])]
