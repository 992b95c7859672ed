"""Compare-and-swap of the shard map, with the fences of the shards that change leaders."""

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
    """What became of an update of the shard map."""

    APPLIED = enum.auto()
    REJECTED = enum.auto()
    #: without a response: it may yet be applied
    UNCERTAIN = enum.auto()


class ShardMapUpdates:
    """Updates of the shard map by one node."""

    def __init__(self, view: StoreView, follower: StoreFollower) -> None:
        self._view = view
        self._follower = follower

    def commit(
        self,
        shard_map: ShardMap,
        fenced: list[int],
        preconditions: list[tuple[str, int]],
        version: int,
    ) -> Coroutine[UpdateResult]:
        """Replace the version of the shard map that a new one was made from.

        The shards in ``fenced`` get a new leader.
        """
        puts = [Put(keys.SHARD_MAP, shard_map)]
        puts += [
            Put(f"{keys.FENCES}{shard_id}", shard_map.shards[shard_id].term) for shard_id in fenced
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
        """Read the shard map afresh; whether that succeeded."""
        return (yield from self._follower.refresh(keys.SHARD_MAP))
