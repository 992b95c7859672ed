"""The ServerManager of one job: its ActiveServers and its three locks.

ActiveServers is the set of servers (here: shards) that have a part of an instance (here: a job).
Algorithms 1 to 3 of the paper (Bauer and Reichert, section 3.2) need three locks for each instance:

- a shared lock that a migration holds until it ends; it conflicts only with the exclusive lock;
- a short-term exclusive lock that a migration holds while it changes ActiveServers;
- an exclusive lock that a modification holds while it is applied at every active server. Here the
  job's manager holds it for each of its steps, a cancel among them (``manager_steps.py``).
"""

from __future__ import annotations

from collections.abc import Hashable

#: options of a migration: its source remains an active server, or ceases to be one
STAY, LOG_OFF = "stay", "log_off"


class ServerManager:
    """Locks and ActiveServers of one job; a lock's holder is any hashable name."""

    __slots__ = (
        "active_servers",
        "exclusive_holder",
        "shared_holders",
        "short_term_holder",
        "waiting_modifications",
    )

    def __init__(self, active_servers: set[int]) -> None:
        self.active_servers = set(active_servers)
        self.shared_holders: set[Hashable] = set()
        self.short_term_holder: Hashable | None = None
        self.exclusive_holder: Hashable | None = None
        #: modifications that wait for the exclusive lock; while there is one, no new migration gets
        #: the shared lock, so that modifications do not starve
        self.waiting_modifications: set[Hashable] = set()

    def acquire_migration_locks(self, holder: Hashable) -> bool:
        """Acquire the shared and the short-term lock together (footnote to Algorithm 1).

        Returns False if either lock is not free or a modification waits for the exclusive lock.
        """
        if (
            self.exclusive_holder is not None
            or self.waiting_modifications
            or self.short_term_holder is not None
        ):
            return False
        self.shared_holders.add(holder)
        self.short_term_holder = holder
        return True

    def update_active_servers(
        self, holder: Hashable, source: int, option: str, target: int
    ) -> bool:
        """Change ActiveServers, then release the short-term lock (Algorithm 2).

        Returns False, without a change, if ``holder`` does not hold the short-term lock.
        """
        if self.short_term_holder != holder:
            return False
        if option == LOG_OFF:
            self.active_servers.discard(source)
        self.active_servers.add(target)
        self.short_term_holder = None
        return True

    def release_migration_locks(self, holder: Hashable) -> None:
        """Release the locks of a migration, whether or not it succeeded."""
        self.shared_holders.discard(holder)
        if self.short_term_holder == holder:
            self.short_term_holder = None

    def acquire_exclusive(self, holder: Hashable) -> set[int] | None:
        """Acquire the exclusive lock and return ActiveServers; None while the lock is not free.

        If migrations hold the shared lock, ``holder`` is recorded as waiting. No new migration gets
        the locks until ``holder`` has acquired the exclusive lock or withdrawn its request.
        """
        if self.exclusive_holder not in (None, holder):
            return None
        if self.shared_holders:
            self.waiting_modifications.add(holder)
            return None
        self.waiting_modifications.discard(holder)
        self.exclusive_holder = holder
        return set(self.active_servers)

    def release_exclusive(self, holder: Hashable) -> None:
        """Release the exclusive lock, or withdraw the request for it."""
        self.waiting_modifications.discard(holder)
        if self.exclusive_holder == holder:
            self.exclusive_holder = None
