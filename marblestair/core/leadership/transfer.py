"""Orderly leadership transfer: shards handed back to nodes that lead none, or away from this one.

A node hands shards back to one that has returned, and gives its own away when the agents of their
machines do not reach it. Each transfer doubles the pause before the next, so that a flapping node
does not move shards every time.
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

#: a node from which a message came within this time can be given a shard
RECENT_MESSAGE_S = 3.0
#: a node must have been seen for this many leases before it is given a shard back
STABLE_LEASES = 1.5
#: pause before the next transfer at first, and the longest in leases
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_LEASES = 10
#: leases without a transfer after which the pause is short again
QUIET_LEASES = 20
#: commits tried for one transfer
MOST_TRIES = 20


class LeadershipTransfer:
    """The transfers of shards away from one node."""

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
        #: when each node's present incarnation was first seen
        self._incarnation_seen: dict[str, tuple[int, float]] = {}
        self._last_begun_at: float | None = None
        self._pause_s = FIRST_PAUSE_S

    def note_incarnations(self, now: float) -> None:
        """Remember since when each node's present process is there."""
        for node, incarnation in self._view.nodes.items():
            seen, _ = self._incarnation_seen.get(node, (None, now))
            if seen != incarnation:
                self._incarnation_seen[node] = (incarnation, now)

    def begin(self, now: float) -> None:
        """Begin to transfer a shard, if one should go to another node now."""
        current = self._view.shard_map
        if current is None or not self._may_begin(now):
            return
        own = self._own_shards(current)
        movable = [shard_id for shard_id in own if self._is_movable(shard_id, now)]
        if self._connectivity.is_unreachable_by_agents(now):
            self._give_away(movable, current, now)
        elif len(own) >= 2 and movable:
            self._hand_back(movable, current, now)

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
        """How many shards each live node leads."""
        counts = {node: 0 for node in self._view.nodes}
        for record in current.shards:
            if record.leader in counts:
                counts[record.leader] += 1
        return counts

    def _recent_nodes(self, counts: dict[str, int], now: float) -> list[str]:
        """Other live nodes from which a message came lately."""
        return [
            node
            for node in counts
            if node != self._context.node
            and self._connectivity.has_received_within(node, RECENT_MESSAGE_S, now)
        ]

    def _give_away(self, movable: list[int], current: ShardMap, now: float) -> None:
        """Give a shard to a node that its agents reach, since they do not reach this one."""
        counts = self._led_counts(current)
        recent = self._recent_nodes(counts, now)
        # Where all nodes have lost the agents, it is not this node's network; and while messages
        # of the others come, only one that its agents reach can do better.
        others = recent if recent else [node for node in counts if node != self._context.node]
        reached = self._connectivity.peer_can_accept_shards
        others = [node for node in others if not recent or reached.get(node, False)]
        if not others or not movable:
            return
        target = min(others, key=lambda node: (counts[node], node))
        self._context.log(
            "info", f"agents do not reach this node: transferring a shard to {target}"
        )
        self._connectivity.begin_cooldown(now)
        self._begin_transfer(movable[-1], target, now)

    def _hand_back(self, movable: list[int], current: ShardMap, now: float) -> None:
        """Hand a shard to a node that leads none and has been there for a while."""
        counts = self._led_counts(current)
        for node in sorted(self._recent_nodes(counts, now)):
            if counts[node] or not self._is_stable(node, now):
                continue
            home_shards = (
                shard_id for shard_id in movable if self._leadership.home_node(shard_id) == node
            )
            self._begin_transfer(next(home_shards, movable[-1]), node, now)
            return

    def _is_stable(self, node: str, now: float) -> bool:
        """Whether a node can be given a shard: its agents reach it, and it has stayed up."""
        _, seen_since = self._incarnation_seen.get(node, (0, now))
        if not self._connectivity.peer_can_accept_shards.get(node, False):
            return False
        return now - seen_since > STABLE_LEASES * self._lease.ttl_s

    def _begin_transfer(self, shard_id: int, target: str, now: float) -> None:
        quiet_s = QUIET_LEASES * self._lease.ttl_s
        was_quiet = self._last_begun_at is None or now - self._last_begun_at > quiet_s
        longest_s = LONGEST_PAUSE_LEASES * self._lease.ttl_s
        self._pause_s = FIRST_PAUSE_S if was_quiet else min(2 * self._pause_s, longest_s)
        self._last_begun_at = now
        self._context.spawn(self._transfer(shard_id, target))

    def _transfer(self, shard_id: int, target: str) -> Coroutine[None]:
        shard = self._leadership.shards.get(shard_id)
        if shard is None or shard.is_being_transferred:
            return
        # From here on this node does not act for the shard: the commit may be applied any time.
        shard.is_being_transferred = True
        uncertain_version: int | None = None
        tries = 0
        while self._leadership.shards.get(shard_id) is shard and self._view.shard_map is not None:
            version = self._view.version(keys.SHARD_MAP)
            incarnation = self._view.nodes.get(target)
            tries += 1
            if incarnation is None or tries > MOST_TRIES:
                if uncertain_version != version:
                    # Nothing that was sent can be applied any more: the map has moved on.
                    shard.is_being_transferred = False
                    return
                # Take the shard anew, so that the commit in doubt cannot be applied late.
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
