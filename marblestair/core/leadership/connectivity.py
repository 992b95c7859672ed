"""Whom this node reaches: the store, the other controllers, and the agents of its machines."""

from __future__ import annotations

from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.store_lease import StoreLease
from marblestair.core.runtime.context import NodeContext
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: share of an agent's lease without any heartbeat after which a node counts as isolated
ISOLATED_LEASES = 0.35
#: the same in heartbeat intervals, whichever is longer
ISOLATED_INTERVALS = 2.5
#: boot times after which a machine that was rented is expected to send heartbeats
BOOTED = 2.0
#: agents' leases for which a node that its agents did not reach asks for no shard
COOLDOWN_LEASES = 4.0


class Connectivity:
    """What one node has lately received, and from whom."""

    def __init__(
        self, context: NodeContext, view: StoreView, lease: StoreLease, leadership: Leadership
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._leadership = leadership
        #: node -> steady time of its latest message
        self.last_received_at: dict[str, float] = {}
        #: node -> whether it last said that its agents reach it
        self.peer_can_accept_shards: dict[str, bool] = {}
        #: until when this node asks for no shard, because its agents did not reach it
        self._cooldown_until: float | None = None

    def message_received(self, node: str) -> None:
        """A message or a request of another controller has come."""
        self.last_received_at[node] = self._context.now

    def heartbeat_received(self) -> None:
        """An agent has reached this node."""
        self._cooldown_until = None

    def begin_cooldown(self, now: float) -> None:
        """Ask for no shard for a while.

        Without a shard no agent turns to this node, whether or not it could: whether agents reach
        it again shows only when it is given one.
        """
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        self._cooldown_until = now + COOLDOWN_LEASES * agent_lease_s

    def is_disconnected(self) -> bool:
        """Whether nothing was received for the time of a lease.

        Neither from the store nor from another controller: this node can then answer users nothing,
        and refuses them at once.
        """
        now, limit_s = self._context.now, self._lease.ttl_s
        last_renewal = self._lease.renewed_at
        if self._view.staleness_s(now) < limit_s or now - self._context.started_at < limit_s:
            return False
        if last_renewal is not None and now - last_renewal < limit_s:
            return False
        return all(
            self._is_silent(peer.node, limit_s, now) for peer in self._context.settings.others
        )

    def _is_silent(self, node: str, seconds: float, now: float) -> bool:
        """Whether nothing has come from another controller for more than some seconds."""
        last = self.last_received_at.get(node)
        return last is None or now - last > seconds

    def has_received_within(self, node: str, seconds: float, now: float) -> bool:
        """Whether a message of another controller has come within less than some seconds."""
        last = self.last_received_at.get(node)
        return last is not None and now - last < seconds

    def is_unreachable_by_agents(self, now: float) -> bool:
        """Whether agents do not reach this node.

        The sign is that the machines of its shards are silent while the store still answers.
        """
        agents = self._context.settings.cluster.workers
        limit_s = max(ISOLATED_LEASES * agents.lease_s, ISOLATED_INTERVALS * agents.report_s)
        last_heartbeats = self._last_heartbeats()
        if not last_heartbeats or now - max(last_heartbeats) < limit_s:
            return False
        peers = [node for node in self._view.nodes if node != self._context.node]
        started_at = self._context.started_at
        are_peers_silent = all(
            now - self.last_received_at.get(node, started_at) > limit_s for node in peers
        )
        return bool(peers) and (are_peers_silent or len(last_heartbeats) > 1)

    def _last_heartbeats(self) -> list[float]:
        """When each machine that should send heartbeats has sent its last."""
        return [
            machine.last_seen_at(shard.acquired_at)
            for shard in self._leadership.shards.values()
            if shard.is_ready
            for machine in shard.machines.values()
            if self._should_send_heartbeats(shard, machine)
            and not machine.is_decommissioned
            and not machine.is_releasing
        ]

    def _should_send_heartbeats(self, shard: Shard, machine: Machine) -> bool:
        """Whether a machine is up as far as is known.

        It has sent a heartbeat under this shard's term, or it was there at the failover and has
        had time to boot.
        """
        if machine.is_reconciled:
            return True
        record = self._view.machines.get(machine.name)
        if machine.name not in shard.unreconciled_machines:
            return False
        if record is None or machine.machine_type is None:
            return False
        return self._context.wall_time - record.added_at > BOOTED * machine.machine_type.boot_s

    def can_accept_shards(self) -> bool:
        """Whether this node can be given shards, as far as it can tell."""
        now = self._context.now
        is_cooling_down = self._cooldown_until is not None and now < self._cooldown_until
        return not self.is_unreachable_by_agents(now) and not is_cooling_down
