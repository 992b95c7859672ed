"""Failover: taking over the shards of nodes whose lease has expired."""

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

#: wait for each shard that a node leads already, so that shards spread over the nodes
WAIT_PER_SHARD_S = 0.35
#: random part of the wait, so that nodes seldom try at once
RANDOM_WAIT_S = 0.15
#: share of a lease left to a node's new process to take its shards over itself
RETURN_SHARE = 0.5
#: a node's leases within which a shard of a node that fell has a new leader, as a rule
FAILOVER_LEASES = 1.6


class Failover:
    """The failovers that one node carries out."""

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
        #: version of the shard map at which a failover was sent whose outcome is not known
        self._uncertain_version: int | None = None
        #: shard -> since when its leader is gone
        self._absent_since: dict[int, float] = {}

    @property
    def duration_s(self) -> float:
        """Time within which a shard of a node that fell has a new leader, as a rule."""
        return FAILOVER_LEASES * self._lease.ttl_s

    @property
    def is_in_progress(self) -> bool:
        """Whether a failover by this node was begun and its response is awaited."""
        return self._is_in_progress

    @property
    def is_pending(self) -> bool:
        """Whether a failover is in progress, or was sent and may yet be carried out."""
        if self._is_in_progress:
            return True
        return self._uncertain_version == self._view.version(keys.SHARD_MAP)

    def begin(self, now: float) -> bool:
        """Begin to take over what is orphaned; False when there is nothing to take over."""
        current = self._view.shard_map
        if current is None:
            self._is_in_progress = True
            self._context.spawn(self._create_shard_map())
            return True
        orphaned = self._orphaned_shards(current, now)
        if not orphaned:
            return False
        self._is_in_progress = True
        preconditions = self._absence_preconditions(current, orphaned)
        self._context.spawn(self._take_over(orphaned, preconditions))
        return True

    def _orphaned_shards(self, current: ShardMap, now: float) -> list[int]:
        """Shards to take over now, as many as one transaction holds."""
        own = [
            shard_id
            for shard_id, record in enumerate(current.shards)
            if (record.leader, record.incarnation) == self._context.identity
        ]
        orphaned: list[int] = []
        for shard_id, record in enumerate(current.shards):
            if shard_id in own:
                self._absent_since.pop(shard_id, None)
            elif self._should_take_over(shard_id, record, len(own) + len(orphaned), now):
                orphaned.append(shard_id)
        # Each failover is a change of the shard's fence besides that of the shard map.
        return orphaned[: self._context.settings.cluster.state.txn_ops - 1]

    def _should_take_over(
        self, shard_id: int, record: ShardRecord, led_count: int, now: float
    ) -> bool:
        """Whether to take a shard over now, by a node that leads some number already."""
        if record.leader == self._context.node:
            # This node's earlier process led it, and that process is dead.
            return True
        if record.leader and self._view.nodes.get(record.leader) == record.incarnation:
            self._absent_since.pop(shard_id, None)
            return False
        if record.leader and self._promises.may_rely_on_grant(record.leader, now):
            return False
        since = self._absent_since.setdefault(shard_id, now)
        wait_s = WAIT_PER_SHARD_S * led_count + RANDOM_WAIT_S * self._context.rng.random()
        return now - since >= wait_s + self._extra_wait_s(shard_id, record)

    def _extra_wait_s(self, shard_id: int, record: ShardRecord) -> float:
        """Time left to the node that should take a shard over rather than this one."""
        if not record.leader:
            # A new deployment: leave each node time to take its own.
            is_home = self._leadership.home_node(shard_id) == self._context.node
            return 0.0 if is_home else self._lease.ttl_s
        if self._view.nodes.get(record.leader) is not None:
            # Its node is back as a new process, which takes the shard over itself.
            return RETURN_SHARE * self._lease.ttl_s
        return 0.0

    def _absence_preconditions(
        self, current: ShardMap, orphaned: list[int]
    ) -> list[tuple[str, int]]:
        """Preconditions that hold only while the leaders of orphaned shards are gone."""
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
