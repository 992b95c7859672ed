"""Machines that fell silent together with many others, and are given time to come back."""

from __future__ import annotations

from marblestair.core.shard.shard import Shard

#: machines that must be silent at once: at least, and as a fraction of the shard's
LEAST_ABSENT_MACHINES, LEAST_ABSENT_FRACTION = 3, 0.06
#: agents' leases without a heartbeat after which a machine gets no more time
ABSENCE_LIMIT_LEASES = 3.0


def partitioned_machines(shard: Shard, agent_lease_s: float, now: float) -> set[str]:
    """Return the names of machines that fell silent together with many others.

    That is a failure of the network rather than of the machines, and most of them will be back.
    """
    silent = [
        machine
        for machine in shard.machines.values()
        if machine.is_lease_expired and machine.agent_incarnation and not machine.has_failed
    ]
    least = max(LEAST_ABSENT_MACHINES, LEAST_ABSENT_FRACTION * len(shard.machines))
    if len(silent) < least:
        return set()
    limit_s = ABSENCE_LIMIT_LEASES * agent_lease_s
    return {
        machine.name
        for machine in silent
        if now - machine.last_seen_at(shard.acquired_at) < limit_s
    }
