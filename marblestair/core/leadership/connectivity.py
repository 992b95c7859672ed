"""Detection of lost connections to the store, the other controllers and the agents."""

from __future__ import annotations

from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.store_lease import StoreLease
from marblestair.core.runtime.context import NodeContext
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: minimum time without any heartbeat after which a node may count as unreachable by agents, as a
#: share of an agent's lease
UNREACHABLE_LEASE_SHARE = 0.35
#: the same minimum time in heartbeat intervals; the longer of the two applies
UNREACHABLE_HEARTBEAT_INTERVALS = 2.5
#: time from the addition of a machine until it is expected to send heartbeats, as a multiple of the
#: boot time of its type
HEARTBEAT_DUE_BOOT_TIMES = 2.0
#: duration of the cooldown (``Connectivity.begin_cooldown``), in agent leases
COOLDOWN_AGENT_LEASES = 4.0


class Connectivity:
    """Decides from recent messages and heartbeats if a node can serve users and lead shards."""

    def __init__(
        self, context: NodeContext, view: StoreView, lease: StoreLease, leadership: Leadership
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._leadership = leadership
        #: node -> monotonic time at which its latest message arrived
        self.last_received_at: dict[str, float] = {}
        #: node -> whether the node's latest summary said that the node accepts shards
        self.peer_can_accept_shards: dict[str, bool] = {}
        #: end of the cooldown during which this node accepts no shard; None when there is none
        self._cooldown_until: float | None = None

    def message_received(self, node: str) -> None:
        """Record that a message or a request from another controller has arrived."""
        self.last_received_at[node] = self._context.now

    def heartbeat_received(self) -> None:
        """End the cooldown, since a heartbeat shows that agents reach this node."""
        self._cooldown_until = None

    def begin_cooldown(self, now: float) -> None:
        """Begin a cooldown of a few agent leases, during which this node accepts no shard.

        Agents send heartbeats only to the leader of their shard. A node without shards therefore
        cannot detect that agents reach the node again, so it accepts shards again after the
        cooldown.
        """
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        self._cooldown_until = now + COOLDOWN_AGENT_LEASES * agent_lease_s

    def is_disconnected(self) -> bool:
        """Return whether this node is cut off from the store and from all other controllers.

        This is so when the node has been running for at least the duration of a node lease, and in
        that time neither updated its view, nor renewed its lease, nor received a message of another
        controller. A disconnected node cannot answer users, and refuses user requests at once.
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
        """Return whether no message of ``node`` arrived within the last ``seconds``."""
        last = self.last_received_at.get(node)
        return last is None or now - last > seconds

    def has_received_within(self, node: str, seconds: float, now: float) -> bool:
        """Return whether a message of ``node`` arrived within the last ``seconds``."""
        last = self.last_received_at.get(node)
        return last is not None and now - last < seconds

    def is_unreachable_by_agents(self, now: float) -> bool:
        """Return whether agents have apparently lost the connection to this node.

        This is so when machines of this node's shards should be sending heartbeats, none of them
        was seen within a time limit, and the view lists other nodes. In addition, either more than
        one machine should be sending heartbeats, or no message of these other nodes arrived within
        the time limit either.
        """
        agents = self._context.settings.cluster.workers
        limit_s = max(
            UNREACHABLE_LEASE_SHARE * agents.lease_s,
            UNREACHABLE_HEARTBEAT_INTERVALS * agents.report_s,
        )
        last_seen = self._last_seen_times()
        if not last_seen or now - max(last_seen) < limit_s:
            return False
        peers = [node for node in self._view.nodes if node != self._context.node]
        started_at = self._context.started_at
        are_peers_silent = all(
            now - self.last_received_at.get(node, started_at) > limit_s for node in peers
        )
        return bool(peers) and (are_peers_silent or len(last_seen) > 1)

    def _last_seen_times(self) -> list[float]:
        """Return ``Machine.last_seen_at`` of each machine that should be sending heartbeats."""
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
        """Return whether a machine is expected to send heartbeats.

        Either the machine is reconciled (it has sent a heartbeat to this leader), or it was in the
        shard when this node acquired the shard and was added more than
        ``HEARTBEAT_DUE_BOOT_TIMES`` boot times ago.
        """
        if machine.is_reconciled:
            return True
        record = self._view.machines.get(machine.name)
        if machine.name not in shard.unreconciled_machines:
            return False
        if record is None or machine.machine_type is None:
            return False
        return (
            self._context.wall_time - record.added_at
            > HEARTBEAT_DUE_BOOT_TIMES * machine.machine_type.boot_s
        )

    def can_accept_shards(self) -> bool:
        """Return whether this node does not seem unreachable by agents and is in no cooldown."""
        now = self._context.now
        is_cooling_down = self._cooldown_until is not None and now < self._cooldown_until
        return not self.is_unreachable_by_agents(now) and not is_cooling_down
