"""The HTTP server: malformed requests, bounded connections, refusals."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.net.http_server import HttpServer
from marblestair.wire.codec import MAX_BODY
from tests.fakes.transport import FakeTransport


def talk(data: bytes) -> tuple[list[tuple[str, str, bytes]], FakeTransport]:
    seen: list[tuple[str, str, bytes]] = []

    def handler(conn: Any, method: str, path: str, body: bytes) -> None:
        seen.append((method, path, body))
        conn.respond(200, b"ok")

    from marblestair.net.http_server import Connection

    server = HttpServer(handler, lambda: 0.0, 10, MAX_BODY, 60.0)
    connection = Connection(server)
    t = FakeTransport()
    connection.connection_made(t)
    for i in range(0, len(data), 3000):
        if not t.closed:
            connection.data_received(data[i : i + 3000])
    return seen, t


def test_http_keeps_the_connection_and_answers() -> None:
    one = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
    seen, t = talk(one + one)
    assert seen == [("POST", "/v1/jobs", b"hi")] * 2
    assert t.data.count(b"HTTP/1.1 200 OK") == 2 and not t.closed


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\r\n\r\n",
        b"\x00\x01\x02" * 10,
        b"GET / HTTP/1.1\r\n" + b"A: " + b"b" * 40_000 + b"\r\n\r\n",
        b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
    ],
)
def test_broken_or_oversized_http_is_refused_and_closed(data: bytes) -> None:
    seen, t = talk(data)
    assert seen == []
    assert t.closed and t.data.startswith(b"HTTP/1.1 400 ")


def test_connections_are_bounded() -> None:
    from marblestair.net.http_server import Connection

    server = HttpServer(lambda *_: None, lambda: 0.0, 2, 100, 60.0)
    transports = [FakeTransport() for _ in range(3)]
    for t in transports:
        Connection(server).connection_made(t)
    assert sum(t.closed for t in transports) == 1 and len(server.connections) == 2


def test_near_the_limit_users_make_room_for_workers() -> None:
    """One node left alone holds every worker: its sockets are for them first."""
    from marblestair.net.http_server import Connection

    now = [0.0]
    server = HttpServer(lambda *_: None, lambda: now[0], 6, 100, 60.0, crowded_at=3)
    open_: list[tuple[Connection, FakeTransport]] = []

    def connect(worker: bool) -> FakeTransport:
        now[0] += 1.0
        connection, t = Connection(server), FakeTransport()
        connection.connection_made(t)
        connection.is_from_agent = worker
        open_.append((connection, t))
        return t

    for _ in range(3):
        connect(False)
    assert not server.is_crowded
    for _ in range(3):
        connect(True)
    assert server.is_crowded and not any(t.closed for _, t in open_)
    # All places are taken: the longest idle users go, never a worker.
    assert [connect(True).closed for _ in range(3)] == [False] * 3
    assert [t.closed for c, t in open_ if not c.is_from_agent] == [True] * 3
    assert not any(t.closed for c, t in open_ if c.is_from_agent)
    # Only workers are left, all heard lately: then one more finds no place.
    assert connect(True).closed and len(server.connections) == 6


def test_an_answer_that_turns_a_user_away_closes_its_connection() -> None:
    from marblestair.net.http_server import Connection

    def handler(conn: Any, *_: Any) -> None:
        conn.respond(503, b"", "Retry-After: 2\r\n", close=True)

    connection, t = Connection(HttpServer(handler, lambda: 0.0, 6, 100, 60.0)), FakeTransport()
    connection.connection_made(t)
    connection.data_received(b"GET /v1/jobs/x HTTP/1.1\r\nHost: x\r\n\r\n")
    assert t.data.startswith(b"HTTP/1.1 503") and b"Retry-After: 2" in t.data
    assert b"Connection: close" in t.data and t.closed
