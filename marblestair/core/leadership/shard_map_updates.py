"""Compare-and-swap of the shard map, together with the fences of shards that change leaders."""

from __future__ import annotations

import enum

from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.state import keys
from marblestair.core.state.records import ShardMap
from marblestair.core.state.store_follower import StoreFollower
from marblestair.core.state.store_view import StoreView


class UpdateResult(enum.Enum):
    """The result of an update of the shard map."""

    APPLIED = enum.auto()
    #: the update was not applied and will not be
    REJECTED = enum.auto()
    #: no response: the update may have been applied, or may be applied later
    UNCERTAIN = enum.auto()


class ShardMapUpdates:
    """Commits and rereads the shard map on behalf of one node."""

    def __init__(self, view: StoreView, follower: StoreFollower) -> None:
        self._view = view
        self._follower = follower

    def commit(
        self,
        shard_map: ShardMap,
        fenced_ids: list[int],
        preconditions: list[tuple[str, int]],
        version: int,
    ) -> Coroutine[UpdateResult]:
        """Replace the shard map if it still has the given version and the preconditions hold.

        ``fenced_ids`` are the shards that get a new leader: the same transaction sets the fence of
        each of these shards to the shard's new term. If a precondition fails, the shard map in the
        view is reread from the store.
        """
        puts = [Put(keys.SHARD_MAP, shard_map)]
        puts += [
            Put(f"{keys.FENCES}{shard_id}", shard_map.shards[shard_id].term)
            for shard_id in fenced_ids
        ]
        swap = CompareAndSwap(
            [(keys.SHARD_MAP, version), *preconditions], puts, priority=RequestPriority.LEASE
        )
        response: StoreResponse = yield swap
        if response.status == 200:
            self._view.apply_commit(swap, response.revision)
            self._view.publish_changes()
            return UpdateResult.APPLIED
        if response.status == 409:
            yield from self.refresh()
            return UpdateResult.REJECTED
        return UpdateResult.UNCERTAIN if response.status == 0 else UpdateResult.REJECTED

    def refresh(self) -> Coroutine[bool]:
        """Reread the shard map from the store; return whether that succeeded."""
        return (yield from self._follower.refresh(keys.SHARD_MAP))
