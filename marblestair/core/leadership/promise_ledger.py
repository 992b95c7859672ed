"""The promises that one node has granted and received.

A node that promises does not take the asking leader's shards over. A promise replaces a lease
renewal while the store is unavailable: see ``promises.py``.
"""

from __future__ import annotations


class PromiseLedger:
    """Stores until when granted and received promises are valid, in monotonic time."""

    def __init__(self, started_at: float, lease_ttl_s: float) -> None:
        self._started_at = started_at
        self._lease_ttl_s = lease_ttl_s
        #: until when promises of all other controllers replace the lease; None if they never did
        self._valid_until: float | None = None
        #: node -> until when this node has promised not to take that node's shards over
        self._granted_until: dict[str, float] = {}

    def are_valid(self, now: float) -> bool:
        """Return whether all other controllers promise not to take this node's shards over."""
        return self._valid_until is not None and now < self._valid_until

    def extend(self, until: float) -> None:
        """Record that all other controllers have promised until a time; never shortens this."""
        if self._valid_until is None or until > self._valid_until:
            self._valid_until = until

    def remaining_s(self, now: float) -> float | None:
        """Return how long the promises of all other controllers stay valid; None if never valid."""
        return None if self._valid_until is None else self._valid_until - now

    def grant(self, node: str, until: float) -> None:
        """Record that this node promises not to take another node's shards over until a time."""
        self._granted_until[node] = until

    def may_hold_grant(self, node: str, now: float) -> bool:
        """Return whether a node may hold a promise that this node has granted.

        A previous process of this node may have granted one, which can stay valid for one lease
        after this process has started.
        """
        until = self._granted_until.get(node)
        if until is not None and now < until:
            return True
        return now - self._started_at < self._lease_ttl_s
