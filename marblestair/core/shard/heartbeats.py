"""Handling of heartbeats: stale ones are rejected, others update the state of their machine."""

from __future__ import annotations

from marblestair.core.domain.agents import Heartbeat, TaskCommand
from marblestair.core.shard.commands import stops_of_ended_jobs, task_commands
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.reconciliation import reconcile
from marblestair.core.shard.responsiveness import MAX_IGNORED_MESSAGES
from marblestair.core.shard.shard import Shard

#: time between an agent's heartbeats below which the agent is presumed to receive responses, in
#: heartbeat intervals
MAX_FREQUENT_GAP_INTERVALS = 2.0
#: time for which all gaps between heartbeats must be below ``MAX_FREQUENT_GAP_INTERVALS`` before
#: the count of ignored commands is reset, as a share of the agents' lease
RECOVERY_LEASE_SHARE = 0.5
#: if the time between the last heartbeat of one incarnation and the first of the next is below
#: this share of the agents' lease, the leader concludes that responses did not reach the earlier
#: incarnation
LOST_RESPONSES_LEASE_SHARE = 0.5


def receive_heartbeat(shard: Shard, heartbeat: Heartbeat, now: float) -> list[TaskCommand] | None:
    """Apply a heartbeat and return the commands for its response.

    Returns None when the heartbeat must not be answered with status 200, because that would renew
    the agent's lease.
    """
    machine = shard.machines.get(heartbeat.machine)
    if machine is None or not _is_acceptable(shard, machine, heartbeat):
        return None
    _record_heartbeat(shard, machine, heartbeat, now)
    if heartbeat.fencing_token >= machine.join_term:
        machine.is_reconciled = True
    if not machine.is_reconciled:
        return _commands_for_unreconciled(shard, machine, heartbeat, now)
    reconcile(shard, machine, heartbeat, now)
    if machine.name in shard.unreconciled_machines:
        shard.mark_reconciled(machine.name)
    machine.last_answered_at = now
    return task_commands(shard, machine, now)


def _is_acceptable(shard: Shard, machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether a heartbeat is newer than all accepted ones and its machine may be answered.

    A machine is not answered if it is decommissioned or being released, or if the heartbeat has a
    later fencing token than the shard's term. Heartbeats of incarnations whose leases have expired
    are rejected too, and so are those with a lower fencing token than an accepted one. The tokens
    of an agent never decrease, but a machine that restarts may begin its other counters anew. A
    heartbeat from before the restart then seems to be the newest one.
    """
    if machine.is_decommissioned or machine.is_releasing or heartbeat.fencing_token > shard.term:
        return False
    if heartbeat.fencing_token < machine.fencing_token:
        return False
    # A late duplicate is rejected: its task list is stale, and the agent no longer waits for the
    # response.
    return heartbeat.agent_incarnation >= machine.min_incarnation and (
        heartbeat.agent_incarnation,
        heartbeat.sequence,
    ) > (machine.agent_incarnation, machine.sequence)


def _record_heartbeat(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
    """Record the machine state that a heartbeat reports, apart from its tasks."""
    agents = shard.cluster.workers
    machine.address = heartbeat.address
    last_heartbeat_at = machine.last_heartbeat_at
    is_frequent = (
        last_heartbeat_at is not None
        and now - last_heartbeat_at < MAX_FREQUENT_GAP_INTERVALS * agents.report_s
    )
    is_new_incarnation = heartbeat.agent_incarnation != machine.agent_incarnation
    if is_new_incarnation:
        _begin_incarnation(shard, machine, heartbeat.agent_incarnation, now)
    machine.responsiveness.record_heartbeat(
        is_frequent, is_new_incarnation, RECOVERY_LEASE_SHARE * agents.lease_s, now
    )
    machine.sequence = heartbeat.sequence
    machine.fencing_token = heartbeat.fencing_token
    machine.last_heartbeat_at = now
    machine.reclaim_at = None if heartbeat.reclaim_in_s is None else now + heartbeat.reclaim_in_s


def _begin_incarnation(shard: Shard, machine: Machine, incarnation: int, now: float) -> None:
    """Record a new agent incarnation.

    The first one ends the machine's boot. The boot time is recorded if the machine's type is known
    and the machine was not in the shard at a failover. At a later incarnation the previous one's
    tasks are removed.
    """
    if not machine.agent_incarnation:
        if machine.machine_type is not None and machine.name not in shard.unreconciled_machines:
            shard.boot_times.record(machine.machine_type, now - machine.added_at, now)
    else:
        limit_s = LOST_RESPONSES_LEASE_SHARE * shard.cluster.workers.lease_s
        if machine.last_heartbeat_at is not None and now - machine.last_heartbeat_at < limit_s:
            # An agent begins a new incarnation after its lease has expired. This agent sent
            # heartbeats until then, so it cannot have received the responses.
            machine.responsiveness.ignored_commands += 1
            machine.responsiveness.mark_unresponsive(now)
        shard.remove_all_tasks(machine, now)
    machine.agent_incarnation = incarnation


def _commands_for_unreconciled(
    shard: Shard, machine: Machine, heartbeat: Heartbeat, now: float
) -> list[TaskCommand] | None:
    """Return the commands for a machine that has not sent this term's fencing token yet.

    The response renews the agent's lease and tells it the new fencing token. Until a heartbeat
    carries that token, the agent's task list serves only to stop tasks of ended jobs: the list may
    be older than the last messages of the previous leader.

    Returns None when the agent has ignored the token more than ``MAX_IGNORED_MESSAGES`` times, so
    that the lease is not renewed and expires. A new incarnation alone does not reconcile the
    machine, since the leader may know the previous incarnation only from a late duplicate.
    """
    if machine.responsiveness.ignored_terms > MAX_IGNORED_MESSAGES:
        machine.responsiveness.mark_unresponsive(now)
        return None
    machine.responsiveness.ignored_terms += 1
    machine.last_answered_at = now
    return stops_of_ended_jobs(shard, heartbeat)
