"""The simulated network between controllers, agents, store, cloud and users."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.fakes.event_queue import EventQueue

#: hosts beside the controllers and the agents
STORE, CLOUD, USERS = "store", "cloud", "users"
#: time that a packet takes: at least, at most
MIN_LATENCY_S, MAX_LATENCY_S = 0.001, 0.01
#: time after which delayed packets arrive once a cut has ended
DELAYED_LATENCY_S = 0.001


class SimulatedNetwork:
    """Delivers packets between hosts, unless a cut drops them or delays them until it ends."""

    def __init__(
        self, events: EventQueue, rng: random.Random, hosts: Callable[[], list[str]]
    ) -> None:
        self._events = events
        self._rng = rng
        self._hosts = hosts
        self._dropping_links: set[frozenset[str]] = set()
        self._delaying_links: set[frozenset[str]] = set()
        self._delayed_packets: list[Callable[[], None]] = []
        #: messages between controllers that get lost, by their tag
        self.dropped_tags: set[str] = set()

    def send(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Deliver a packet between two hosts, as far as no cut is between them."""
        pair = frozenset((sender, receiver))
        if pair in self._delaying_links:
            self._delayed_packets.append(deliver)
        elif pair not in self._dropping_links:
            self._events.schedule(self._rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S), deliver)

    def drops(self, sender: str, receiver: str) -> bool:
        """Whether packets between two hosts are dropped."""
        return frozenset((sender, receiver)) in self._dropping_links

    def isolate(self, host: str, *others: str, delay: bool = False) -> None:
        """Cut a host from others (all hosts when none are named).

        Packets are dropped, or delayed until the cut ends.
        """
        links = self._delaying_links if delay else self._dropping_links
        links.update(frozenset((host, other)) for other in others or self._hosts())

    def isolate_group(self, group: list[str]) -> None:
        """Cut a group of hosts from all others, the store and the cloud."""
        hosts = self._hosts()
        for host in group:
            self.isolate(host, *(other for other in hosts if other not in group))

    def heal(self) -> None:
        """End all cuts; delayed packets are delivered in order."""
        self._dropping_links.clear()
        self._delaying_links.clear()
        delayed, self._delayed_packets = self._delayed_packets, []
        for deliver in delayed:
            self._events.schedule(DELAYED_LATENCY_S, deliver)
