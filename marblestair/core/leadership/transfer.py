"""Planned leadership transfers: a leader assigns a shard to another live node.

A node that leads several shards transfers one to a stable node that leads none, for example to a
node that lost its shards by a restart. A node that agents do not reach transfers its shards away,
one at a time. Each transfer doubles the pause before the next one, up to a maximum, so that a node
that fails and recovers repeatedly does not cause a transfer each time. The pause is reset after a
long time without transfers.
"""

from __future__ import annotations

from marblestair.core.leadership import shard_map
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.shard_map_updates import ShardMapUpdates, UpdateResult
from marblestair.core.leadership.store_lease import StoreLease
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.state import keys
from marblestair.core.state.records import ShardMap
from marblestair.core.state.store_view import StoreView

#: maximum age of a node's latest message for the node to count as connected
MAX_MESSAGE_AGE_S = 3.0
#: minimum time for which a node must have been in the view before it gets a shard because it leads
#: none, in node leases
MIN_UPTIME_LEASES = 1.5
#: initial pause before the next transfer, and the maximum pause in node leases
INITIAL_PAUSE_S = 1.0
MAX_PAUSE_LEASES = 10
#: time without a transfer after which the pause is reset to its initial value, in node leases
PAUSE_RESET_LEASES = 20
#: maximum number of commits in one transfer that assign the shard to the target
MAX_COMMIT_TRIES = 20


class LeadershipTransfer:
    """Transfers shards from one node to others."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        lease: StoreLease,
        leadership: Leadership,
        connectivity: Connectivity,
        updates: ShardMapUpdates,
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._leadership = leadership
        self._connectivity = connectivity
        self._updates = updates
        #: node -> latest incarnation of the node, and monotonic time at which it was first seen
        self._incarnation_seen: dict[str, tuple[int, float]] = {}
        self._last_begun_at: float | None = None
        self._pause_s = INITIAL_PAUSE_S

    def record_incarnations(self, now: float) -> None:
        """Record when each node's current incarnation was first seen in the view."""
        for node, incarnation in self._view.nodes.items():
            seen, _ = self._incarnation_seen.get(node, (None, now))
            if seen != incarnation:
                self._incarnation_seen[node] = (incarnation, now)

    def begin(self, now: float) -> None:
        """Begin to transfer a shard if one should move to another node now."""
        current = self._view.shard_map
        if current is None or not self._may_begin(now):
            return
        own = self._own_shards(current)
        movable = [shard_id for shard_id in own if self._is_movable(shard_id, now)]
        if self._connectivity.is_unreachable_by_agents(now):
            self._transfer_away(movable, current, now)
        elif len(own) >= 2 and movable:
            self._transfer_to_idle_node(movable, current, now)

    def _may_begin(self, now: float) -> bool:
        return self._last_begun_at is None or now - self._last_begun_at >= self._pause_s

    def _own_shards(self, current: ShardMap) -> list[int]:
        return [
            shard_id
            for shard_id, record in enumerate(current.shards)
            if (record.leader, record.incarnation) == self._context.identity
        ]

    def _is_movable(self, shard_id: int, now: float) -> bool:
        if not self._leadership.is_leader(shard_id):
            return False
        return now - self._leadership.shards[shard_id].acquired_at > self._lease.ttl_s

    def _led_counts(self, current: ShardMap) -> dict[str, int]:
        """Return how many shards each live node leads."""
        counts = {node: 0 for node in self._view.nodes}
        for record in current.shards:
            if record.leader in counts:
                counts[record.leader] += 1
        return counts

    def _connected_nodes(self, counts: dict[str, int], now: float) -> list[str]:
        """Return the other live nodes that sent this node a recent message.

        A message is recent for ``MAX_MESSAGE_AGE_S`` after its arrival.
        """
        return [
            node
            for node in counts
            if node != self._context.node
            and self._connectivity.has_received_within(node, MAX_MESSAGE_AGE_S, now)
        ]

    def _transfer_away(self, movable: list[int], current: ShardMap, now: float) -> None:
        """Transfer a shard to another node because agents do not reach this node."""
        counts = self._led_counts(current)
        connected = self._connected_nodes(counts, now)
        # If other nodes are connected, the target must be one of them that accepts shards. If none
        # does, agents probably do not reach those nodes either: the fault is then not in this
        # node's network, and a transfer would not help. If no node is connected, any other live
        # node may be the target.
        targets = (
            connected if connected else [node for node in counts if node != self._context.node]
        )
        can_accept = self._connectivity.peer_can_accept_shards
        targets = [node for node in targets if not connected or can_accept.get(node, False)]
        if not targets or not movable:
            return
        target = min(targets, key=lambda node: (counts[node], node))
        self._context.log(
            "info", f"no recent agent heartbeats: transferring shard {movable[-1]} to {target}"
        )
        self._connectivity.begin_cooldown(now)
        self._begin_transfer(movable[-1], target, now)

    def _transfer_to_idle_node(self, movable: list[int], current: ShardMap, now: float) -> None:
        """Transfer a shard to a stable node that leads none, if there is one."""
        counts = self._led_counts(current)
        for node in sorted(self._connected_nodes(counts, now)):
            if counts[node] or not self._is_stable(node, now):
                continue
            preferred_shards = (
                shard_id
                for shard_id in movable
                if self._leadership.preferred_leader(shard_id) == node
            )
            self._begin_transfer(next(preferred_shards, movable[-1]), node, now)
            return

    def _is_stable(self, node: str, now: float) -> bool:
        """Return whether a node accepts shards and has been in the view for long enough.

        The minimum time is ``MIN_UPTIME_LEASES``.
        """
        _, seen_since = self._incarnation_seen.get(node, (0, now))
        if not self._connectivity.peer_can_accept_shards.get(node, False):
            return False
        return now - seen_since > MIN_UPTIME_LEASES * self._lease.ttl_s

    def _begin_transfer(self, shard_id: int, target: str, now: float) -> None:
        reset_s = PAUSE_RESET_LEASES * self._lease.ttl_s
        is_reset = self._last_begun_at is None or now - self._last_begun_at > reset_s
        max_pause_s = MAX_PAUSE_LEASES * self._lease.ttl_s
        self._pause_s = INITIAL_PAUSE_S if is_reset else min(2 * self._pause_s, max_pause_s)
        self._last_begun_at = now
        self._context.spawn(self._transfer(shard_id, target))

    def _transfer(self, shard_id: int, target: str) -> Coroutine[None]:
        shard = self._leadership.shards.get(shard_id)
        if shard is None or shard.is_being_transferred:
            return
        # The commit may be applied any time after it is sent, so stop acting for the shard now.
        shard.is_being_transferred = True
        uncertain_version: int | None = None
        tries = 0
        while self._leadership.shards.get(shard_id) is shard and self._view.shard_map is not None:
            version = self._view.version(keys.SHARD_MAP)
            incarnation = self._view.nodes.get(target)
            tries += 1
            if incarnation is None or tries > MAX_COMMIT_TRIES:
                if uncertain_version != version:
                    # No earlier commit can still be applied: each either got a response, or has as
                    # a precondition an older version of the shard map, so the store rejects it.
                    shard.is_being_transferred = False
                    return
                # Assign the shard to this node again. This commit changes the version of the shard
                # map, so the store then rejects the earlier commit that got no response.
                target, incarnation = self._context.identity
            new = shard_map.assign_shards(self._view.shard_map, [shard_id], target, incarnation)
            target_key = keys.NODES + target
            preconditions = [
                (target_key, self._view.version(target_key)),
                self._leadership.fence_precondition(shard_id),
            ]
            result = yield from self._updates.commit(new, [shard_id], preconditions, version)
            if result is UpdateResult.APPLIED:
                return
            if result is UpdateResult.UNCERTAIN:
                uncertain_version = version
                yield from self._updates.refresh()
            yield Sleep(0.1 + 0.2 * self._context.rng.random())
