"""The HTTP server: malformed requests, bounded connections, refusals."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.net.http_server import Connection, HttpServer
from marblestair.wire.codec import MAX_REQUEST_BODY_BYTES
from tests.fakes.transport import FakeTransport


def ignore(*_arguments: object) -> None:
    """Handle a request without a response."""


def connect(server: HttpServer) -> tuple[Connection, FakeTransport]:
    """Open a connection to a server."""
    connection, transport = Connection(server), FakeTransport()
    connection.connection_made(transport)
    return connection, transport


def send(data: bytes) -> tuple[list[tuple[str, str, bytes]], FakeTransport]:
    """Send bytes on one connection; return the handled requests and the transport."""
    handled: list[tuple[str, str, bytes]] = []

    def handle(connection: Any, method: str, path: str, body: bytes) -> None:
        handled.append((method, path, body))
        connection.respond(200, b"ok")

    server = HttpServer(handle, lambda: 0.0, 10, MAX_REQUEST_BODY_BYTES, 60.0)
    connection, transport = connect(server)
    for start in range(0, len(data), 3000):
        if not transport.closed:
            connection.data_received(data[start : start + 3000])
    return handled, transport


def test_requests_on_one_connection_are_answered_and_it_stays_open() -> None:
    request = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
    handled, transport = send(request + request)
    assert handled == [("POST", "/v1/jobs", b"hi")] * 2
    assert transport.data.count(b"HTTP/1.1 200 OK") == 2
    assert not transport.closed


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\r\n\r\n",
        b"\x00\x01\x02" * 10,
        b"GET / HTTP/1.1\r\n" + b"A: " + b"b" * 40_000 + b"\r\n\r\n",
        b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
    ],
)
def test_malformed_or_oversized_requests_are_refused_and_the_connection_closed(
    data: bytes,
) -> None:
    handled, transport = send(data)
    assert handled == []
    assert transport.closed
    assert transport.data.startswith(b"HTTP/1.1 400 ")


def test_connections_are_bounded() -> None:
    server = HttpServer(ignore, lambda: 0.0, 2, 100, 60.0)
    transports = [connect(server)[1] for _ in range(3)]
    assert sum(transport.closed for transport in transports) == 1
    assert len(server.connections) == 2


def test_near_the_limit_connections_of_users_are_closed_for_agents() -> None:
    """The only node left serves every agent, so agents' connections have priority."""
    clock = [0.0]
    server = HttpServer(ignore, lambda: clock[0], 6, 100, 60.0, refuse_users_above=3)
    users: list[FakeTransport] = []
    agents: list[FakeTransport] = []

    def connect_later(*, is_agent: bool) -> bool:
        """Connect a second later; return whether the connection stays open."""
        clock[0] += 1.0
        connection, transport = connect(server)
        connection.is_from_agent = is_agent
        (agents if is_agent else users).append(transport)
        return not transport.closed

    for _ in range(3):
        connect_later(is_agent=False)
    assert not server.must_refuse_users
    for _ in range(3):
        connect_later(is_agent=True)
    assert server.must_refuse_users
    assert not any(transport.closed for transport in users + agents)
    # At the limit, the longest idle connections of users are closed, never an agent's.
    assert all(connect_later(is_agent=True) for _ in range(3))
    assert all(transport.closed for transport in users)
    assert not any(transport.closed for transport in agents)
    # With only agents' connections left, all recently active, one more is refused.
    assert not connect_later(is_agent=True)
    assert len(server.connections) == 6


def test_a_response_that_refuses_a_user_closes_the_connection() -> None:
    def refuse(connection: Any, *_: Any) -> None:
        connection.respond(503, b"", "Retry-After: 2\r\n", close=True)

    connection, transport = connect(HttpServer(refuse, lambda: 0.0, 6, 100, 60.0))
    connection.data_received(b"GET /v1/jobs/x HTTP/1.1\r\nHost: x\r\n\r\n")
    assert transport.data.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 2" in transport.data
    assert b"Connection: close" in transport.data
    assert transport.closed
