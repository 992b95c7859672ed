"""HTTP servers and clients of the simulated outside systems, driven by callbacks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeAlias

from tests.tools.messages import (
    HEAD_END,
    HttpMessage,
    HttpSplitter,
    build_request,
    build_response,
    pack,
    parse_http,
)
from tests.tools.network import Address, ConnectAttempt, Endpoint, Network
from tests.tools.processes import Host

MALFORMED_HTTP = b"nonsense\r\n\r\n"
#: status passed to a caller when no response arrived
NO_RESPONSE = 0


class Responder:
    """Answers one request; has no effect once the connection is closed."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    @property
    def caller(self) -> Host:
        """Host that sent the request."""
        return self._endpoint.remote

    def answer(self, status: int, value: Any) -> None:
        """Send a response with a value encoded as MessagePack."""
        self.answer_bytes(status, pack(value))

    def answer_bytes(self, status: int, body: bytes) -> None:
        """Send a response with a given body."""
        self._endpoint.write(build_response(status, body))

    def answer_malformed(self, rng: random.Random, status: int, bodies: list[bytes]) -> None:
        """Send one of the bodies, as one response, as two, or replaced by malformed HTTP."""
        response = build_response(status, rng.choice(bodies))
        closing = response.replace(HEAD_END, b"\r\nConnection: close" + HEAD_END, 1)
        self._endpoint.write(
            rng.choice([response, response, closing, response * 2, MALFORMED_HTTP])
        )


#: handles a request that a service received
Handler: TypeAlias = Callable[[HttpMessage, Responder], None]


class ServiceConnection(asyncio.Protocol):
    """Server end of a connection; passes requests to the handler in order."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._splitter = HttpSplitter()
        self._endpoint: Endpoint | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the endpoint, on which responses are written."""
        assert isinstance(transport, Endpoint)
        self._endpoint = transport

    def data_received(self, data: bytes) -> None:
        """Handle the requests that are now complete."""
        assert self._endpoint is not None
        for message in self._splitter.feed(data):
            self._handler(parse_http(message), Responder(self._endpoint))


class _CallerConnection(asyncio.Protocol):
    """Client end of a connection, with at most one request in flight."""

    def __init__(
        self, on_response: Callable[[HttpMessage], None], on_lost: Callable[[], None]
    ) -> None:
        self._on_response = on_response
        self._on_lost = on_lost
        self._splitter = HttpSplitter()

    def data_received(self, data: bytes) -> None:
        """Pass the responses that are now complete to the caller."""
        for message in self._splitter.feed(data):
            self._on_response(parse_http(message))

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the caller that no response will arrive."""
        self._on_lost()


class HttpCaller:
    """Sends one request at a time; reuses its connection while the address stays the same."""

    def __init__(self, network: Network, host: Host) -> None:
        self._network = network
        self._host = host
        self._address: Address | None = None
        self._endpoint: Endpoint | None = None
        self._attempt: ConnectAttempt | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self._on_answer: Callable[[int, HttpMessage | None], None] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight."""
        return self._on_answer is not None

    def request(
        self,
        address: Address,
        request: bytes,
        timeout_s: float,
        on_answer: Callable[[int, HttpMessage | None], None],
    ) -> None:
        """Send a request; ``on_answer`` receives its status, or NO_RESPONSE after the timeout."""
        assert not self.is_busy
        self._on_answer = on_answer
        self._timeout = self._network.loop.call_later(timeout_s, self._fail)
        if self._endpoint is not None and self._address == address:
            self._endpoint.write(request)
            return
        self.close()
        self._address = address
        self._attempt = self._network.connect(
            self._host,
            address,
            lambda: _CallerConnection(self._handle_response, self._handle_lost),
            lambda endpoint: self._send_first(endpoint, request),
            lambda _: self._fail(),
        )

    def close(self) -> None:
        """Close the connection, or cancel the attempt to open one."""
        endpoint, self._endpoint = self._endpoint, None
        if self._attempt is not None:
            self._attempt.cancel()
        if endpoint is not None:
            endpoint.close()

    def _send_first(self, endpoint: Endpoint, request: bytes) -> None:
        self._endpoint = endpoint
        endpoint.write(request)

    def _handle_response(self, response: HttpMessage) -> None:
        if response.closes_connection:
            self.close()
        self._finish(response.status, response)

    def _handle_lost(self) -> None:
        """Fail the request, unless the lost connection was closed by this caller."""
        if self._endpoint is not None and self._endpoint.is_closing():
            self._endpoint = None
            self._fail()

    def _fail(self) -> None:
        self.close()
        self._finish(NO_RESPONSE, None)

    def _finish(self, status: int, response: HttpMessage | None) -> None:
        on_answer, self._on_answer = self._on_answer, None
        if self._timeout is not None:
            self._timeout.cancel()
        if on_answer is not None:
            on_answer(status, response)


def get(path: str, closes_connection: bool = False) -> bytes:
    """Return a GET request."""
    return build_request("GET", path, b"", closes_connection)


def post(path: str, value: Any, closes_connection: bool = False) -> bytes:
    """Return a POST request with a value encoded as MessagePack."""
    return build_request("POST", path, pack(value), closes_connection)
