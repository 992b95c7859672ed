"""In-memory connections between simulated hosts, with delays, partitions, freezes and power loss.

Each direction of a connection delivers data in order, after small random delays. Each connection
has its own random generator, so that traffic on one connection never changes the delays of another.
"""

from __future__ import annotations

import asyncio
import contextvars
import enum
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

from tests.tools.processes import CURRENT_PROCESS, Host, Process
from tests.tools.simulated_loop import SimulatedLoop

Address: TypeAlias = tuple[str, int]

#: bounds of the one-way delay of a packet
MIN_DELAY_S, MAX_DELAY_S = 0.0002, 0.002
#: minimum time between two arrivals in one direction of a connection
MIN_ARRIVAL_GAP_S = 1e-6


class ConnectionEnd(enum.Enum):
    """How one direction of a connection ends."""

    ORDERLY = "orderly"
    RESET = "reset"


class Observer(Protocol):
    """Is notified when a simulated process writes to a connection or closes it."""

    def on_write(self, endpoint: Endpoint, data: bytes) -> None:
        """Handle a write of a process to a connection."""

    def on_close(self, endpoint: Endpoint) -> None:
        """Handle the closing of a connection by a process."""


class Pipe:
    """One direction of a connection."""

    def __init__(self, network: Network, receiver: Endpoint, delays: random.Random) -> None:
        self._network = network
        self._receiver = receiver
        self._delays = delays
        self._in_flight: deque[tuple[float, bytes | ConnectionEnd]] = deque()
        #: arrival time of the last item sent; later items arrive after it
        self.last_arrival_s = 0.0

    def send(self, item: bytes | ConnectionEnd) -> None:
        """Queue data, or the end of the connection, for delivery after a delay."""
        delay_s = self._delays.uniform(MIN_DELAY_S, MAX_DELAY_S)
        earliest_s = self.last_arrival_s + MIN_ARRIVAL_GAP_S
        self.last_arrival_s = max(earliest_s, self._network.loop.time() + delay_s)
        self._in_flight.append((self.last_arrival_s, item))
        if len(self._in_flight) == 1:
            self.schedule()

    def schedule(self) -> None:
        """Schedule the delivery of the next item in flight."""
        arrival_s, _ = self._in_flight[0]
        self._network.loop.call_at(arrival_s, self._deliver, context=self._network.context)

    def _deliver(self) -> None:
        if self._network.is_blocked(self._receiver.remote, self._receiver.local):
            self._network.blocked_pipes.append(self)
            return
        _, item = self._in_flight.popleft()
        self._receiver.receive(item)
        if self._in_flight:
            self.schedule()


class Endpoint(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self, network: Network, local: Host, remote: Host, port: int, context: contextvars.Context
    ) -> None:
        super().__init__()
        self._network = network
        self.local = local
        self.remote = remote
        #: port of the listening side
        self.port = port
        self.context = context
        self.process: Process | None = context.get(CURRENT_PROCESS)
        self.protocol = asyncio.Protocol()
        self._outgoing: Pipe | None = None
        self._is_closing = False
        self._is_paused = False
        self._unread: deque[bytes | ConnectionEnd] = deque()

    def set_outgoing(self, outgoing: Pipe) -> None:
        """Set the direction in which this end sends."""
        self._outgoing = outgoing

    def open(self, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        """Create this end's protocol and notify it that the connection is established."""
        self.protocol = protocol_factory()
        self.protocol.connection_made(self)

    def receive(self, item: bytes | ConnectionEnd) -> None:
        """Handle the arrival of data, or of the connection's end, at this end's host."""
        if self._is_process_killed:
            if isinstance(item, bytes):
                self._network.reset_for_killed_process(self)
        elif not self._is_closing:
            self._network.loop.call_soon(self._dispatch, item, context=self.context)

    def terminate(self, without_reset: bool) -> None:
        """Close this end because its process or host ended; may reset the other end."""
        self._is_closing = True
        if not without_reset:
            self.send_end(ConnectionEnd.RESET)
        self._network.remove_endpoint(self)

    def send_end(self, end: ConnectionEnd) -> None:
        """Send the end of the connection to the other end."""
        if self._outgoing is not None:
            self._outgoing.send(end)

    @property
    def _is_process_killed(self) -> bool:
        return self.process is not None and not self.process.is_alive

    def _dispatch(self, item: bytes | ConnectionEnd) -> None:
        if self._is_closing:
            return
        if self._is_paused:
            self._unread.append(item)
        elif isinstance(item, bytes):
            self.protocol.data_received(item)
        elif item is ConnectionEnd.RESET:
            self._is_closing = True
            self._notify_lost(ConnectionResetError("reset by the other end"))
        elif not self.protocol.eof_received():
            self.close()

    def _notify_lost(self, error: Exception | None) -> None:
        self._network.remove_endpoint(self)
        self.protocol.connection_lost(error)

    # asyncio.Transport

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data to the other end."""
        if self._is_closing or self._is_process_killed or self._outgoing is None:
            return
        if self.process is not None and self._network.observer is not None:
            self._network.observer.on_write(self, bytes(data))
        self._outgoing.send(bytes(data))

    def close(self) -> None:
        """Close after the data already written."""
        if self._is_closing or self._is_process_killed:
            return
        self._is_closing = True
        if self.process is not None and self._network.observer is not None:
            self._network.observer.on_close(self)
        self.send_end(ConnectionEnd.ORDERLY)
        self._network.loop.call_soon(self._notify_lost, None, context=self.context)

    def abort(self) -> None:
        """Close like :meth:`close`: the data already written is in flight and cannot be dropped."""
        self.close()

    def is_closing(self) -> bool:
        """Return whether this end is closed or closing."""
        return self._is_closing

    def pause_reading(self) -> None:
        """Buffer arriving data instead of passing it to the protocol."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Pass the buffered data to the protocol."""
        self._is_paused = False
        unread, self._unread = self._unread, deque()
        for item in unread:
            self._network.loop.call_soon(self._dispatch, item, context=self.context)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the address of the peer or of this end; the default for any other name."""
        known = {
            "peername": (self.remote.address, self.port),
            "sockname": (self.local.address, self.port),
        }
        return known.get(name, default)


class Listener:
    """Accepts connections to an address until it is closed."""

    def __init__(
        self,
        network: Network,
        address: Address,
        protocol_factory: Callable[[], asyncio.Protocol],
        context: contextvars.Context,
    ) -> None:
        self._network = network
        self.address = address
        self.protocol_factory = protocol_factory
        self.context = context
        self.process: Process | None = context.get(CURRENT_PROCESS)

    def close(self) -> None:
        """Stop accepting connections."""
        if self.process is None or self.process.is_alive:
            self._network.stop_listening(self)


class ConnectAttempt:
    """An attempt to connect, until it succeeds, fails or is cancelled."""

    def __init__(
        self,
        source: Host,
        address: Address,
        protocol_factory: Callable[[], asyncio.Protocol],
        on_open: Callable[[Endpoint], object],
        on_failed: Callable[[OSError], object],
        context: contextvars.Context,
    ) -> None:
        self.source = source
        self.address = address
        self.protocol_factory = protocol_factory
        self.on_open = on_open
        self.on_failed = on_failed
        self.context = context
        self.process: Process | None = context.get(CURRENT_PROCESS)
        self._was_cancelled = False

    def cancel(self) -> None:
        """Cancel the attempt; no effect if it has succeeded."""
        self._was_cancelled = True

    @property
    def is_cancelled(self) -> bool:
        """Whether the attempt was cancelled or its process was killed."""
        return self._was_cancelled or (self.process is not None and not self.process.is_alive)

    def succeed(self, endpoint: Endpoint) -> None:
        """Open the client end, or close it if the attempt has been cancelled."""
        if self.is_cancelled:
            endpoint.close()
            return
        endpoint.open(self.protocol_factory)
        self.on_open(endpoint)


class Network:
    """All hosts, listeners and connections, and the faults injected between them."""

    def __init__(self, loop: SimulatedLoop, seed: str) -> None:
        self.loop = loop
        loop.network = self
        #: context of callbacks that belong to no process
        self.context = contextvars.copy_context()
        self.observer: Observer | None = None
        #: pipes whose delivery waits for a cut or a freeze to end
        self.blocked_pipes: list[Pipe] = []
        self._seed = seed
        self._hosts: dict[str, Host] = {}
        self._listeners: dict[Address, Listener] = {}
        self._endpoints: dict[Endpoint, None] = {}
        self._connection_counts: dict[tuple[str, Address], int] = {}
        self._pending_attempts: list[ConnectAttempt] = []
        #: names of frozen hosts, which neither send nor receive, and of hosts without power
        self._frozen: set[str] = set()
        self._powered_off: set[str] = set()
        #: pairs of host names (from, to) between which no data passes
        self._cut_pairs: set[tuple[str, str]] = set()
        #: pairs of host names between which connections are refused, in both orders
        self._refused_pairs: set[tuple[str, str]] = set()
        #: pairs (host name, kind of host) between which no data passes in either direction
        self._cut_kinds: set[tuple[str, str]] = set()

    # hosts and listeners

    def add_host(self, host: Host) -> None:
        """Add a host to which other hosts can connect."""
        self._hosts[host.address] = host

    def listen(
        self,
        address: Address,
        protocol_factory: Callable[[], asyncio.Protocol],
        context: contextvars.Context | None = None,
    ) -> Listener:
        """Accept connections to an address.

        Raises
        ------
        OSError
            If the address has a listener already.
        """
        if address in self._listeners:
            raise OSError(f"address already in use: {address}")
        listener = Listener(self, address, protocol_factory, context or self.context)
        self._listeners[address] = listener
        return listener

    def stop_listening(self, listener: Listener) -> None:
        """Remove a listener; connections to its address are refused from now on."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    def kill(self, process: Process, is_power_loss: bool) -> None:
        """Kill a process and reset its connections; on a power loss, do not reset them."""
        process.is_alive = False
        if is_power_loss:
            self._powered_off.add(process.host.name)
        for listener in [x for x in self._listeners.values() if x.process is process]:
            self.stop_listening(listener)
        for endpoint in [x for x in self._endpoints if x.process is process]:
            endpoint.terminate(is_power_loss)

    def power_on(self, host: Host) -> None:
        """Restore a host's power: it refuses connections to ports without a listener."""
        self._powered_off.discard(host.name)
        self._retry_blocked()

    def remove_host(self, host: Host) -> None:
        """Remove a host without resetting its connections."""
        self._powered_off.add(host.name)
        for listener in [x for x in self._listeners.values() if x.address[0] == host.address]:
            self.stop_listening(listener)
        for endpoint in [x for x in self._endpoints if x.local is host]:
            endpoint.terminate(without_reset=True)

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Remove the closed end of a connection."""
        self._endpoints.pop(endpoint, None)

    def reset_for_killed_process(self, endpoint: Endpoint) -> None:
        """Reset a connection on which data arrived for a killed process, if its host has power."""
        if endpoint.local.name not in self._powered_off:
            endpoint.send_end(ConnectionEnd.RESET)

    # connecting

    def connect(
        self,
        source: Host,
        address: Address,
        protocol_factory: Callable[[], asyncio.Protocol],
        on_open: Callable[[Endpoint], object],
        on_failed: Callable[[OSError], object],
        context: contextvars.Context | None = None,
    ) -> ConnectAttempt:
        """Connect a host to an address; at most one of the callbacks is called."""
        attempt = ConnectAttempt(
            source, address, protocol_factory, on_open, on_failed, context or self.context
        )
        self._send_connect_request(attempt)
        return attempt

    def _send_connect_request(self, attempt: ConnectAttempt) -> None:
        delays = self._new_delays(attempt)
        when_s = self.loop.time() + delays.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self.loop.call_at(
            when_s, self._handle_connect_request, attempt, delays, context=self.context
        )

    def _new_delays(self, attempt: ConnectAttempt) -> random.Random:
        pair = (attempt.source.name, attempt.address)
        number = self._connection_counts[pair] = self._connection_counts.get(pair, 0) + 1
        host, port = attempt.address
        return random.Random(f"{self._seed}/{attempt.source.name}/{host}:{port}/{number}")

    def _handle_connect_request(self, attempt: ConnectAttempt, delays: random.Random) -> None:
        """Handle a request to connect; hold it back while its host is unreachable."""
        target = self._hosts.get(attempt.address[0])
        if attempt.is_cancelled:
            return
        if (
            target is None
            or target.name in self._powered_off
            or self._is_blocked_either_way(attempt.source, target)
        ):
            self._pending_attempts.append(attempt)
            return
        answered_s = self.loop.time() + delays.uniform(MIN_DELAY_S, MAX_DELAY_S)
        listener = self._listeners.get(attempt.address)
        if listener is None or (attempt.source.name, target.name) in self._refused_pairs:
            refusal = ConnectionRefusedError(f"refused by {target.name}")
            self.loop.call_at(answered_s, attempt.on_failed, refusal, context=attempt.context)
            return
        client_end = self._establish(attempt, target, listener, answered_s, delays)
        self.loop.call_at(answered_s, attempt.succeed, client_end, context=attempt.context)

    def _establish(
        self,
        attempt: ConnectAttempt,
        target: Host,
        listener: Listener,
        answered_s: float,
        delays: random.Random,
    ) -> Endpoint:
        """Create both ends of a connection and open the listener's end."""
        source, port = attempt.source, attempt.address[1]
        server_end = Endpoint(self, target, source, port, listener.context.copy())
        client_end = Endpoint(self, source, target, port, attempt.context.copy())
        to_client = Pipe(self, client_end, random.Random(delays.random()))
        to_client.last_arrival_s = answered_s
        server_end.set_outgoing(to_client)
        client_end.set_outgoing(Pipe(self, server_end, random.Random(delays.random())))
        self._endpoints[server_end] = None
        self._endpoints[client_end] = None
        self.loop.call_soon(server_end.open, listener.protocol_factory, context=server_end.context)
        return client_end

    # faults

    def is_blocked(self, source: Host, target: Host) -> bool:
        """Return whether data from one host to another is held back at present."""
        if source.name in self._frozen or target.name in self._frozen:
            return True
        if (source.name, target.kind) in self._cut_kinds:
            return True
        if (target.name, source.kind) in self._cut_kinds:
            return True
        return (source.name, target.name) in self._cut_pairs

    def _is_blocked_either_way(self, first: Host, second: Host) -> bool:
        return self.is_blocked(first, second) or self.is_blocked(second, first)

    def cut(self, source: str, target: str) -> None:
        """Hold back all data from one host to another, until :meth:`end_partitions`."""
        self._cut_pairs.add((source, target))

    def cut_both_ways(self, first: str, second: str) -> None:
        """Hold back all data between two hosts, until :meth:`end_partitions`."""
        self.cut(first, second)
        self.cut(second, first)

    def cut_from_kind(self, name: str, kind: str) -> None:
        """Hold back all data between a host and all present and future hosts of a kind."""
        self._cut_kinds.add((name, kind))

    def refuse(self, first: str, second: str) -> None:
        """Reset all connections between two hosts and refuse new ones."""
        pairs = [(first, second), (second, first)]
        self._refused_pairs.update(pairs)
        for endpoint in list(self._endpoints):
            if (endpoint.local.name, endpoint.remote.name) in pairs:
                endpoint.receive(ConnectionEnd.RESET)

    def end_partitions(self) -> None:
        """End all cuts and refusals; data held back is delivered in order."""
        self._cut_pairs.clear()
        self._cut_kinds.clear()
        self._refused_pairs.clear()
        self._retry_blocked()

    def freeze(self, host: Host) -> None:
        """Suspend all traffic of a host until :meth:`unfreeze`."""
        self._frozen.add(host.name)

    def unfreeze(self, host: Host) -> None:
        """Resume the traffic of a frozen host; data held back is delivered in order."""
        self._frozen.discard(host.name)
        self._retry_blocked()

    def _retry_blocked(self) -> None:
        blocked_pipes, self.blocked_pipes = self.blocked_pipes, []
        for pipe in blocked_pipes:
            pipe.schedule()
        waiting, self._pending_attempts = self._pending_attempts, []
        for attempt in waiting:
            self._send_connect_request(attempt)
