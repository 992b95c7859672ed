"""Expiry of agents' leases, and removal of planned tasks when heartbeats are overdue.

An agent stops all its tasks when it has received no heartbeat response for the duration of its
lease. The leader measures that duration from its last response to the agent. If the leader acquired
the shard later, or has sent no response, it measures from the acquisition, since the previous
leader may have responded until then.
"""

from __future__ import annotations

from marblestair.core.shard.machine import Machine
from marblestair.core.shard.responsiveness import Reachability
from marblestair.core.shard.shard import Shard


def expire_agent_leases(shard: Shard, now: float) -> None:
    """Remove the tasks of machines whose agents' leases must have expired.

    Also removes the planned tasks of machines whose next heartbeat is overdue.
    """
    acquired_at = shard.acquired_at
    for machine in shard.machines.values():
        last_heartbeat_at = machine.last_heartbeat_at
        if machine.tasks and (
            last_heartbeat_at is None or now - last_heartbeat_at >= shard.heartbeat_timeout_s
        ):
            # No start command was sent for planned tasks, so these can be placed elsewhere now.
            shard.remove_planned_tasks(machine, now)
        if machine.responsiveness.state is Reachability.LEASE_EXPIRED:
            continue
        # The previous leader may have renewed the lease until this node acquired the shard.
        renewed_at = machine.last_answered_at
        if renewed_at is None or renewed_at < acquired_at:
            renewed_at = acquired_at
        is_expired = now >= renewed_at + shard.agent_lease_limit_s
        if is_expired and (
            machine.agent_incarnation or machine.name in shard.unreconciled_machines
        ):
            _expire_lease(shard, machine, now)


def _expire_lease(shard: Shard, machine: Machine, now: float) -> None:
    machine.mark_lease_expired(now)
    shard.remove_all_tasks(machine, now)
    shard.mark_reconciled(machine.name)
