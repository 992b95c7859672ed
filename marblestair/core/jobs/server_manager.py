"""The ServerManager of one job, and its three locks.

The paper's Algorithms 1 to 3 (Bauer and Reichert, section 3.2) need, for each instance: a shared
lock that a migration holds to its end, a short exclusive lock that a migration holds while it
changes ActiveServers, and an exclusive lock that a modification (here: a cancel) holds while it
reaches every active server. The shared lock is incompatible with the exclusive one only.
"""

from __future__ import annotations

from collections.abc import Hashable

STAY, LOG_OFF = "stay", "log_off"


class ServerManager:
    """Locks and ActiveServers of one job; holders are any hashable names."""

    __slots__ = ("active", "exclusive", "shared", "short", "waiting")

    def __init__(self, active: set[int]) -> None:
        self.active = set(active)
        self.shared: set[Hashable] = set()
        self.short: Hashable | None = None
        self.exclusive: Hashable | None = None
        #: modifications that wait; while any does, no new migration begins, so that none starves
        self.waiting: set[Hashable] = set()

    def request_migration(self, holder: Hashable) -> bool:
        """Shared and short-term lock in one call (footnote to Algorithm 1)."""
        if self.exclusive is not None or self.waiting or self.short is not None:
            return False
        self.shared.add(holder)
        self.short = holder
        return True

    def update(self, holder: Hashable, source: int, option: str, target: int) -> bool:
        """Algorithm 2: change ActiveServers, then release the short-term lock."""
        if self.short != holder:
            return False
        if option == LOG_OFF:
            self.active.discard(source)
        self.active.add(target)
        self.short = None
        return True

    def release_shared(self, holder: Hashable) -> None:
        """End of a migration, however it ended."""
        self.shared.discard(holder)
        if self.short == holder:
            self.short = None

    def request_exclusive(self, holder: Hashable) -> set[int] | None:
        """The exclusive lock together with ActiveServers; None while migrations are under way."""
        if self.exclusive not in (None, holder):
            return None
        if self.shared:
            self.waiting.add(holder)
            return None
        self.waiting.discard(holder)
        self.exclusive = holder
        return set(self.active)

    def release_exclusive(self, holder: Hashable) -> None:
        """End of a modification, however it ended."""
        self.waiting.discard(holder)
        if self.exclusive == holder:
            self.exclusive = None
