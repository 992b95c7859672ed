"""Machines that fell silent together with many others, and are waited for."""

from __future__ import annotations

from marblestair.core.shard.shard import Shard

#: machines that fall silent at once and are waited for: at least, and as a share of the shard's
LEAST_ABSENT, LEAST_ABSENT_SHARE = 3, 0.06
#: agents' leases for which they are waited for
ABSENT_LEASES = 3.0


def absent_machines(shard: Shard, agent_lease_s: float, now: float) -> set[str]:
    """Return machines that fell silent together with many others.

    That is a failure of the network rather than of the machines, and most of them will be back.
    """
    silent = [
        machine
        for machine in shard.machines.values()
        if machine.is_silent and machine.agent_incarnation and not machine.has_failed
    ]
    if len(silent) < max(LEAST_ABSENT, LEAST_ABSENT_SHARE * len(shard.machines)):
        return set()
    return {
        machine.name
        for machine in silent
        if now - max(machine.last_heartbeat_at, shard.acquired_at) < ABSENT_LEASES * agent_lease_s
    }
