"""The simulated network between controllers, agents, store, cloud and users."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.fakes.event_queue import EventQueue

#: hosts other than the controllers and the agents
STORE, CLOUD, USERS = "store", "cloud", "users"
#: bounds of the random latency of a packet
MIN_LATENCY_S, MAX_LATENCY_S = 0.001, 0.01
#: latency of delayed packets after the partition has ended
DELAYED_LATENCY_S = 0.001


class SimulatedNetwork:
    """Delivers packets between hosts; a partition drops them or delays them until it ends."""

    def __init__(
        self, events: EventQueue, rng: random.Random, hosts: Callable[[], list[str]]
    ) -> None:
        self._events = events
        self._rng = rng
        self._hosts = hosts
        self._dropping_links: set[frozenset[str]] = set()
        self._delaying_links: set[frozenset[str]] = set()
        self._delayed_packets: list[Callable[[], None]] = []
        #: tags of the messages between controllers that are dropped
        self.dropped_tags: set[str] = set()

    def send(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Deliver a packet between two hosts, or drop or delay it if they are partitioned."""
        pair = frozenset((sender, receiver))
        if pair in self._delaying_links:
            self._delayed_packets.append(deliver)
        elif pair not in self._dropping_links:
            self._events.schedule(self._rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S), deliver)

    def drops(self, sender: str, receiver: str) -> bool:
        """Return whether packets between two hosts are dropped."""
        return frozenset((sender, receiver)) in self._dropping_links

    def isolate(self, host: str, *others: str, delay: bool = False) -> None:
        """Partition a host from other hosts, or from all hosts when none are named.

        Packets are dropped, or with ``delay`` held until the partition ends.
        """
        links = self._delaying_links if delay else self._dropping_links
        links.update(frozenset((host, other)) for other in others or self._hosts())

    def isolate_group(self, group: list[str]) -> None:
        """Partition a group of hosts from all other hosts, including the store and the cloud."""
        hosts = self._hosts()
        for host in group:
            self.isolate(host, *(other for other in hosts if other not in group))

    def heal(self) -> None:
        """End all partitions; delayed packets are delivered in the order of sending."""
        self._dropping_links.clear()
        self._delaying_links.clear()
        delayed, self._delayed_packets = self._delayed_packets, []
        for deliver in delayed:
            self._events.schedule(DELAYED_LATENCY_S, deliver)
