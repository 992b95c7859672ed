"""Effective quotas: a team's quota in a shard, less what is being transferred away."""

from __future__ import annotations

from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView


class EffectiveQuotas:
    """Computes the effective quotas of the shards that one node leads."""

    def __init__(self, view: StoreView) -> None:
        self._view = view
        #: shard and team -> cpus and gpus, in fixed point, that are being transferred to another
        #: shard; this shard's tasks may not use them, even before the transfer is committed
        self.pending_transfers: dict[tuple[int, str], list[int]] = {}

    def quota(self, shard: Shard, team: str) -> tuple[int, int]:
        """Return the cpus and gpus that a team may use in a shard, in fixed point.

        Both are 0 as long as the node has not read the shard map.
        """
        shard_map = self._view.shard_map
        if shard_map is None:
            return 0, 0
        cpus, gpus = shard_map.shards[shard.shard_id].quotas.get(team, [0, 0])
        pending_cpus, pending_gpus = self.pending_transfers.get((shard.shard_id, team), [0, 0])
        return cpus - pending_cpus, gpus - pending_gpus
