"""The reception of agents' heartbeats: which count, and what they show of their machines."""

from __future__ import annotations

from marblestair.core.domain.agents import Heartbeat, TaskCommand
from marblestair.core.shard.commands import stops_of_ended_jobs, task_commands
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.reconciliation import reconcile
from marblestair.core.shard.responsiveness import MAX_IGNORED
from marblestair.core.shard.shard import Shard

#: an agent that receives responses sends its next heartbeat within this many intervals
FREQUENT_INTERVALS = 2.0
#: fraction of an agent's lease for which heartbeats must come as often as from an agent that
#: receives responses, before commands that it ignored earlier no longer count
RECOVERY_LEASES = 0.5
#: fraction of an agent's lease: a new incarnation so soon after a heartbeat of the earlier one
#: shows that responses were lost
LOST_RESPONSES_LEASES = 0.5


def receive_heartbeat(shard: Shard, heartbeat: Heartbeat, now: float) -> list[TaskCommand] | None:
    """Apply a heartbeat, and return the commands of its response.

    Returns None when the heartbeat must not be answered with a 200, since that renews the lease of
    its agent.
    """
    machine = shard.machines.get(heartbeat.machine)
    if machine is None or not _is_acceptable(shard, machine, heartbeat):
        return None
    _record_heartbeat(shard, machine, heartbeat, now)
    if heartbeat.fencing_token >= machine.join_term:
        machine.is_reconciled = True
    if not machine.is_reconciled:
        return _answer_unreconciled(shard, machine, heartbeat, now)
    reconcile(shard, machine, heartbeat, now)
    if machine.name in shard.unreconciled_machines:
        shard.mark_reconciled(machine.name)
    machine.answered_at = now
    return task_commands(shard, machine, now)


def _is_acceptable(shard: Shard, machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether a heartbeat counts: the newest of a machine that is not being given up."""
    if machine.is_decommissioned or machine.is_releasing or heartbeat.fencing_token > shard.term:
        return False
    # A late copy: the agent expects no response to it any more, and its list is old.
    return heartbeat.agent_incarnation >= machine.min_incarnation and (
        heartbeat.agent_incarnation,
        heartbeat.sequence,
    ) > (machine.agent_incarnation, machine.sequence)


def _record_heartbeat(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
    """Record what a heartbeat shows of the machine itself, whatever its tasks."""
    agents = shard.cluster.workers
    machine.address = heartbeat.address
    last_heartbeat_at = machine.last_heartbeat_at
    is_frequent = (
        last_heartbeat_at is not None
        and now - last_heartbeat_at < FREQUENT_INTERVALS * agents.report_s
    )
    is_new_incarnation = heartbeat.agent_incarnation != machine.agent_incarnation
    if is_new_incarnation:
        _begin_incarnation(shard, machine, heartbeat.agent_incarnation, now)
    machine.responsiveness.record_heartbeat(
        is_frequent, is_new_incarnation, RECOVERY_LEASES * agents.lease_s, now
    )
    machine.sequence = heartbeat.sequence
    machine.last_heartbeat_at = now
    machine.reclaim_at = None if heartbeat.reclaim_in_s is None else now + heartbeat.reclaim_in_s


def _begin_incarnation(shard: Shard, machine: Machine, incarnation: int, now: float) -> None:
    """Begin the first agent incarnation that is seen, or one after a lease has expired."""
    if not machine.agent_incarnation:
        if machine.machine_type is not None and machine.name not in shard.unreconciled_machines:
            shard.boot_times.record(machine.machine_type, now - machine.added_at, now)
    else:
        limit_s = LOST_RESPONSES_LEASES * shard.cluster.workers.lease_s
        if machine.last_heartbeat_at is not None and now - machine.last_heartbeat_at < limit_s:
            # It sent heartbeats all the while: the responses did not reach it.
            machine.responsiveness.ignored_commands += 1
            machine.responsiveness.mark_unresponsive(now)
        shard.remove_all_tasks(machine, now)
    machine.agent_incarnation = incarnation


def _answer_unreconciled(
    shard: Shard, machine: Machine, heartbeat: Heartbeat, now: float
) -> list[TaskCommand] | None:
    """Answer a machine of which no heartbeat has carried this term yet; None for no answer.

    An answer renews the lease and raises the fencing token. What the agent lists counts only from
    the first heartbeat with this term, because only that one is known to be newer than everything
    that the earlier leader sent.

    A machine that does not take up the term is answered no more, so that its lease, counted from
    the last answer that it may have received, expires. (A new incarnation would not reconcile it:
    the earlier incarnation may be known from a late copy only.)
    """
    if machine.responsiveness.ignored_terms > MAX_IGNORED:
        machine.responsiveness.mark_unresponsive(now)
        return None
    machine.responsiveness.ignored_terms += 1
    machine.answered_at = now
    return stops_of_ended_jobs(shard, heartbeat)
