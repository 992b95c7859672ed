"""Detection of machines that lost contact together, probably through a network partition."""

from __future__ import annotations

from marblestair.core.shard.shard import Shard

#: a partition is presumed only if at least this number and this share of the shard's machines are
#: out of contact at the same time
MIN_PARTITIONED_MACHINES, MIN_PARTITIONED_SHARE = 3, 0.06
#: a machine is no longer presumed partitioned once this time has passed since it was last seen, as
#: a multiple of the agents' lease
MAX_PARTITION_LEASES = 3.0


def partitioned_machines(shard: Shard, agent_lease_s: float, now: float) -> set[str]:
    """Return the names of the machines that are presumed partitioned rather than failed.

    When many machines are out of contact at the same time, the likely cause is the network, and
    most of these machines can be expected to reconnect. ``agent_lease_s`` is the duration of an
    agent's lease in seconds.
    """
    lost_contact = [
        machine
        for machine in shard.machines.values()
        if machine.is_lease_expired and machine.agent_incarnation and not machine.has_failed
    ]
    min_count = max(MIN_PARTITIONED_MACHINES, MIN_PARTITIONED_SHARE * len(shard.machines))
    if len(lost_contact) < min_count:
        return set()
    limit_s = MAX_PARTITION_LEASES * agent_lease_s
    return {
        machine.name
        for machine in lost_contact
        if now - machine.last_seen_at(shard.acquired_at) < limit_s
    }
