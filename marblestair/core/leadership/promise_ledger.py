"""The promises that one node has granted and received.

Until a promise expires, the node that granted it does not take over the shards of the leader that
asked for it. Promises replace lease renewals while the store is unavailable: see ``promises.py``.
"""

from __future__ import annotations


class PromiseLedger:
    """Stores the monotonic times at which granted and received promises expire."""

    def __init__(self, started_at: float, lease_ttl_s: float) -> None:
        self._started_at = started_at
        self._lease_ttl_s = lease_ttl_s
        #: time until which the promises of all other controllers are valid; None if the controllers
        #: have never all promised
        self._valid_until: float | None = None
        #: node -> time until which this node has promised not to take that node's shards over
        self._granted_until: dict[str, float] = {}

    def are_valid(self, now: float) -> bool:
        """Return whether all other controllers promise not to take this node's shards over."""
        return self._valid_until is not None and now < self._valid_until

    def extend(self, until: float) -> None:
        """Record that the promises of all other controllers are valid until a time.

        A time earlier than the recorded one is ignored.
        """
        if self._valid_until is None or until > self._valid_until:
            self._valid_until = until

    def remaining_s(self, now: float) -> float | None:
        """Return for how many more seconds the promises of all other controllers are valid.

        The result is negative once they have expired, and None if the controllers have never all
        promised.
        """
        return None if self._valid_until is None else self._valid_until - now

    def grant(self, node: str, until: float) -> None:
        """Record this node's promise not to take the shards of ``node`` over before ``until``."""
        self._granted_until[node] = until

    def may_hold_grant(self, node: str, now: float) -> bool:
        """Return whether a node may hold a promise that this node has granted.

        For one lease after this process has started, any node may hold a promise that a previous
        process of this node granted.
        """
        until = self._granted_until.get(node)
        if until is not None and now < until:
            return True
        return now - self._started_at < self._lease_ttl_s
