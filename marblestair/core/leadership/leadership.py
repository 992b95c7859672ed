"""The shards that this node leads, and whether it may act for them now.

A node acts for a shard only while the shard map assigns the shard to its process, the shard is
recovered and not being transferred, and the node is authorized by its lease or by promises of all
other nodes (``Leadership.is_authorized``).
"""

from __future__ import annotations

import enum

from marblestair.core.leadership.promise_ledger import PromiseLedger
from marblestair.core.leadership.store_lease import StoreLease
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView


class LeadershipBasis(enum.StrEnum):
    """The authority by which a node may act for its shards."""

    LEASE = "lease"
    PROMISES = "promises"
    #: the node may not act
    NONE = "none"


class Leadership:
    """Holds the shards of one node and decides whether the node may act for them."""

    def __init__(
        self, context: NodeContext, view: StoreView, lease: StoreLease, promises: PromiseLedger
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._promises = promises
        #: shard id -> shard that the shard map assigns to this process
        self.shards: dict[int, Shard] = {}
        self._basis = LeadershipBasis.NONE

    def is_authorized(self, now: float) -> bool:
        """Return whether this node may act for its shards.

        The view must include the commit that wrote this node's key. Also, either promises of all
        other nodes must be valid, or the lease must be certainly valid and the view's staleness
        less than an agent's lease.
        """
        if self._view.revision < self._lease.node_key_revision:
            return False
        if self._promises.are_valid(now):
            return True
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        return self._lease.is_valid(now) and self._view.staleness_s(now) < agent_lease_s

    def is_leader(self, shard_id: int) -> bool:
        """Return whether this node may act for a shard now."""
        shard = self.shards.get(shard_id)
        if shard is None or not shard.is_ready or shard.is_being_transferred:
            return False
        return self.is_authorized(self._context.now)

    def led_shards(self) -> list[Shard]:
        """Return the shards that this node may act for now, in the order of their ids."""
        return [
            shard for shard_id, shard in sorted(self.shards.items()) if self.is_leader(shard_id)
        ]

    def leader_of(self, shard_id: int) -> str | None:
        """Return the leader of a shard according to the view; None when the shard has none."""
        shard_map = self._view.shard_map
        if shard_map is None or not 0 <= shard_id < len(shard_map.shards):
            return None
        return shard_map.shards[shard_id].leader or None

    def preferred_leader(self, shard_id: int) -> str:
        """Return the node that should lead a shard while all nodes are available."""
        nodes = self._context.settings.nodes
        return nodes[shard_id % len(nodes)]

    def fence_precondition(self, shard_id: int) -> tuple[str, int]:
        """Return a precondition that fails once the shard has a new leader."""
        key = f"{keys.FENCES}{shard_id}"
        return key, self._view.version(key)

    def log_basis_change(self, now: float) -> None:
        """Log the authority by which this node may act, if it has changed."""
        basis = self._current_basis(now)
        if basis is self._basis:
            return
        self._basis = basis
        self._context.decisions.log(
            now,
            Decision.AUTHORITY,
            basis,
            lease_left_s=_rounded(self._lease.remaining_s(now)),
            promises_left_s=_rounded(self._promises.remaining_s(now)),
            view_age_s=_rounded(self._view.staleness_s(now)),
            view_rev=self._view.revision,
            shards={shard_id: shard.term for shard_id, shard in self.shards.items()},
        )

    def _current_basis(self, now: float) -> LeadershipBasis:
        if not self.is_authorized(now):
            return LeadershipBasis.NONE
        if self._lease.is_valid(now):
            return LeadershipBasis.LEASE
        return LeadershipBasis.PROMISES


def _rounded(seconds: float | None) -> float | None:
    """Round a time for the log."""
    return None if seconds is None else round(seconds, 2)
