"""Which shards this node leads, and by what it may act for them now.

A node acts for a shard only while its lease surely holds (or promises of all other nodes stand in
for it), the shard map names it, and its view includes the commit that made it leader.
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
    """By what a node may act for its shards."""

    LEASE = "lease"
    PROMISES = "promises"
    NONE = "none"


class Leadership:
    """The shards of one node, and its right to act for them."""

    def __init__(
        self, context: NodeContext, view: StoreView, lease: StoreLease, promises: PromiseLedger
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._promises = promises
        #: shards that the shard map gives to this process, by their ids
        self.shards: dict[int, Shard] = {}
        self._basis = LeadershipBasis.NONE

    def is_authorized(self, now: float) -> bool:
        """Whether this node's lease surely holds and its view is recent enough to act on."""
        if self._view.revision < self._lease.node_key_revision:
            return False
        if self._promises.are_valid(now):
            return True
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        return self._lease.is_valid(now) and self._view.staleness_s(now) < agent_lease_s

    def is_leader(self, shard_id: int) -> bool:
        """Whether this node may act for a shard now."""
        shard = self.shards.get(shard_id)
        if shard is None or not shard.is_ready or shard.is_being_transferred:
            return False
        return self.is_authorized(self._context.now)

    def led_shards(self) -> list[Shard]:
        """Shards that this node may act for now, in the order of their ids."""
        return [
            shard for shard_id, shard in sorted(self.shards.items()) if self.is_leader(shard_id)
        ]

    def leader_of(self, shard_id: int) -> str | None:
        """The node that leads a shard, as far as the view shows."""
        shard_map = self._view.shard_map
        if shard_map is None or not 0 <= shard_id < len(shard_map.shards):
            return None
        return shard_map.shards[shard_id].leader or None

    def home_node(self, shard_id: int) -> str:
        """The node that leads a shard when all are well."""
        nodes = self._context.settings.nodes
        return nodes[shard_id % len(nodes)]

    def fence_precondition(self, shard_id: int) -> tuple[str, int]:
        """A precondition that fails once the shard has another leader."""
        key = f"{keys.FENCES}{shard_id}"
        return key, self._view.version(key)

    def log_basis_change(self, now: float) -> None:
        """Log by what this node may act, when that has changed."""
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
    """A time for the log."""
    return None if seconds is None else round(seconds, 2)
