"""The promises that one node has given and holds.

A promise is a vote that extends a lease which nobody can renew: see ``promises.py``.
"""

from __future__ import annotations


class PromiseLedger:
    """Until when promises hold, in steady time."""

    def __init__(self, started_at: float, lease_ttl_s: float) -> None:
        self._started_at = started_at
        self._lease_ttl_s = lease_ttl_s
        #: until when promises of all the others stand in for the lease
        self._valid_until: float | None = None
        #: node -> until when its shards are not taken over
        self._granted_until: dict[str, float] = {}

    def are_valid(self, now: float) -> bool:
        """Whether all the others have promised not to take this node's shards over."""
        return self._valid_until is not None and now < self._valid_until

    def extend(self, until: float) -> None:
        """All the others have promised until a time."""
        if self._valid_until is None or until > self._valid_until:
            self._valid_until = until

    def remaining_s(self, now: float) -> float | None:
        """For how long the promises of all the others hold; None when they never did."""
        return None if self._valid_until is None else self._valid_until - now

    def grant(self, node: str, until: float) -> None:
        """Note a promise not to take another node's shards over until a time."""
        self._granted_until[node] = until

    def may_rely_on_grant(self, node: str, now: float) -> bool:
        """Whether a node may be leading by a promise given here, also before a restart."""
        until = self._granted_until.get(node)
        if until is not None and now < until:
            return True
        return now - self._started_at < self._lease_ttl_s
