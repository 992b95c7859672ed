"""Failover: a node takes over shards without a live leader.

Either the leader's lease has expired, or its process was restarted, or the shard never had a
leader.
"""

from __future__ import annotations

from marblestair.core.leadership import shard_map
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.promise_ledger import PromiseLedger
from marblestair.core.leadership.shard_map_updates import ShardMapUpdates, UpdateResult
from marblestair.core.leadership.store_lease import StoreLease
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.state import keys
from marblestair.core.state.records import ShardMap, ShardRecord
from marblestair.core.state.store_view import StoreView

#: delay of a takeover per shard that the node already leads or is taking over, so that shards
#: spread evenly over the nodes
DELAY_PER_LED_SHARD_S = 0.35
#: maximum random time added to the delay, so that two nodes seldom try a takeover at the same time
MAX_RANDOM_DELAY_S = 0.15
#: time for which other nodes leave a restarted leader's shards to its new process, as a share of a
#: node lease
RESTART_GRACE_LEASE_SHARE = 0.5
#: time within which a failed node's shard usually has a new leader, in node leases
EXPECTED_FAILOVER_LEASES = 1.6


class Failover:
    """Takes over orphaned shards on behalf of one node."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        lease: StoreLease,
        promises: PromiseLedger,
        leadership: Leadership,
        updates: ShardMapUpdates,
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._promises = promises
        self._leadership = leadership
        self._updates = updates
        self._is_in_progress = False
        #: version of the shard map in the view when the latest failover commit without a response
        #: ended; the commit may still be applied while the view's map has this version
        self._uncertain_version: int | None = None
        #: shard -> monotonic time at which this node first found the shard without a live leader
        #: and without a promise that forbids the takeover
        self._leader_missing_since: dict[int, float] = {}

    @property
    def expected_duration_s(self) -> float:
        """Time in seconds within which a failed node's shard usually has a new leader."""
        return EXPECTED_FAILOVER_LEASES * self._lease.ttl_s

    @property
    def is_in_progress(self) -> bool:
        """Whether a failover, or the creation of the shard map, has begun and not ended."""
        return self._is_in_progress

    @property
    def is_pending(self) -> bool:
        """Whether a failover is in progress or an earlier failover may still be committed."""
        if self._is_in_progress:
            return True
        return self._uncertain_version == self._view.version(keys.SHARD_MAP)

    def begin(self, now: float) -> bool:
        """Take over orphaned shards, or create the shard map; return False if neither is due."""
        current = self._view.shard_map
        if current is None:
            self._is_in_progress = True
            self._context.spawn(self._create_shard_map())
            return True
        orphaned = self._orphaned_shards(current, now)
        if not orphaned:
            return False
        self._is_in_progress = True
        preconditions = self._leader_key_preconditions(current, orphaned)
        self._context.spawn(self._take_over(orphaned, preconditions))
        return True

    def _orphaned_shards(self, current: ShardMap, now: float) -> list[int]:
        """Return the shards to take over now, at most as many as fit into one transaction."""
        own = [
            shard_id
            for shard_id, record in enumerate(current.shards)
            if (record.leader, record.incarnation) == self._context.identity
        ]
        orphaned: list[int] = []
        for shard_id, record in enumerate(current.shards):
            if shard_id in own:
                self._leader_missing_since.pop(shard_id, None)
            elif self._should_take_over(shard_id, record, len(own) + len(orphaned), now):
                orphaned.append(shard_id)
        # The transaction changes the shard map and one fence for each shard.
        return orphaned[: self._context.settings.cluster.state.txn_ops - 1]

    def _should_take_over(
        self, shard_id: int, record: ShardRecord, led_count: int, now: float
    ) -> bool:
        """Return whether this node takes a shard over now.

        ``led_count`` is the number of shards that this node leads or is already taking over.
        """
        if record.leader == self._context.node:
            # A previous process of this node led the shard and has ended.
            return True
        if record.leader and self._view.nodes.get(record.leader) == record.incarnation:
            self._leader_missing_since.pop(shard_id, None)
            return False
        if record.leader and self._promises.may_hold_grant(record.leader, now):
            return False
        since = self._leader_missing_since.setdefault(shard_id, now)
        delay_s = (
            DELAY_PER_LED_SHARD_S * led_count + MAX_RANDOM_DELAY_S * self._context.rng.random()
        )
        return now - since >= delay_s + self._extra_delay_s(shard_id, record)

    def _extra_delay_s(self, shard_id: int, record: ShardRecord) -> float:
        """Return the extra delay that lets a better candidate take the shard over first."""
        if not record.leader:
            # New deployment: for one node lease, only the preferred leader takes the shard.
            is_preferred = self._leadership.preferred_leader(shard_id) == self._context.node
            return 0.0 if is_preferred else self._lease.ttl_s
        if self._view.nodes.get(record.leader) is not None:
            # The leader has restarted: its new process may take the shard over first.
            return RESTART_GRACE_LEASE_SHARE * self._lease.ttl_s
        return 0.0

    def _leader_key_preconditions(
        self, current: ShardMap, orphaned: list[int]
    ) -> list[tuple[str, int]]:
        """Return preconditions that fail if the node key of a shard's former leader changes.

        A former leader that was a previous process of this node needs no precondition.
        """
        preconditions = []
        for shard_id in orphaned:
            leader = current.shards[shard_id].leader
            if leader not in ("", self._context.node):
                key = keys.NODES + leader
                preconditions.append((key, self._view.version(key)))
        return preconditions

    def _create_shard_map(self) -> Coroutine[None]:
        cluster = self._context.settings.cluster
        first = shard_map.initial_shard_map(cluster.size, cluster.teams)
        swap = CompareAndSwap(
            [(keys.SHARD_MAP, 0)], [Put(keys.SHARD_MAP, first)], priority=RequestPriority.LEASE
        )
        response: StoreResponse = yield swap
        if response.status == 200:
            self._view.apply_commit(swap, response.revision)
        else:
            yield Sleep(0.3)
        self._is_in_progress = False

    def _take_over(
        self, shard_ids: list[int], preconditions: list[tuple[str, int]]
    ) -> Coroutine[None]:
        current = self._view.shard_map
        if current is not None:
            new = shard_map.assign_shards(current, shard_ids, *self._context.identity)
            own_key = keys.NODES + self._context.node
            result = yield from self._updates.commit(
                new,
                shard_ids,
                [*preconditions, (own_key, self._view.version(own_key))],
                self._view.version(keys.SHARD_MAP),
            )
            if result is UpdateResult.UNCERTAIN:
                self._uncertain_version = self._view.version(keys.SHARD_MAP)
            self._context.log("info", f"took over shards {shard_ids}: {result.name.lower()}")
        self._is_in_progress = False
