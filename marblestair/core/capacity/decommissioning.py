"""Which machines to empty, and which to release because they are of no use."""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.capacity.provisioning import MIN_RENTAL_S
from marblestair.core.domain.agents import TaskState
from marblestair.core.domain.jobs import JobKind
from marblestair.core.shard.machine import CordonReason, Machine
from marblestair.core.shard.partition_detection import partitioned_machines
from marblestair.core.shard.shard import Shard

#: work lost by emptying a machine, against the capacity that would be idle meanwhile
MAX_LOSS_RATIO = 0.5
#: heartbeat intervals until a task that was stopped and has a checkpoint goes on elsewhere
RESTART_HEARTBEATS = 3.0
#: share of the time that a task has run for which it is likely to run on
RUN_ON_SHARE = 0.5
#: agent leases after which a machine of an unknown type that never sent a heartbeat is released
UNKNOWN_BOOT_LEASES = 9.0
#: agent leases for which a machine is silent, or unresponsive, before it is released
LOST_LEASES = 1.5
#: time after which a reclaimed machine is due to be gone, in seconds, and the part of an agent's
#: lease without a heartbeat which shows that it is
RECLAIM_MARGIN_S, RECLAIMED_SILENT_LEASES = 1.0, 0.25


class EmptyingCandidate(NamedTuple):
    """A machine that is worth emptying, and the work that this loses."""

    #: in fixed-point cpus times seconds
    lost_work: float
    machine: Machine


def machines_to_empty(shard: Shard, names: set[str], now: float) -> list[Machine]:
    """Choose nearly empty machines that are worth emptying.

    Of the machines that are to fall idle, those where stopping what still runs, to run it again
    elsewhere, loses less than waiting for its end; as many as the others have capacity for.
    """
    candidates = []
    for name in names:
        machine = shard.machines.get(name)
        if machine is None or not _may_be_emptied(machine, now):
            continue
        lost_work = _lost_work(shard, machine, now)
        if lost_work is not None:
            candidates.append(EmptyingCandidate(lost_work, machine))
    candidates.sort(key=lambda candidate: (candidate.lost_work, candidate.machine.name))
    free_cpus = sum(
        machine.free[0]
        for machine in shard.machines.values()
        if machine.is_usable(now) and machine.name not in names
    )
    chosen = []
    for _, machine in candidates:
        capacity = machine.machine_type.capacity[0] if machine.machine_type is not None else 0
        used_cpus = capacity - machine.free[0]
        if used_cpus <= free_cpus:
            free_cpus -= used_cpus
            chosen.append(machine)
    return chosen


def _may_be_emptied(machine: Machine, now: float) -> bool:
    """Whether a machine has only running tasks, and is not so new that it is paid for anyway."""
    if machine.machine_type is None or not machine.is_usable(now) or not machine.tasks:
        return False
    if now - machine.added_at < MIN_RENTAL_S:
        return False
    return all(
        task.stop_grace_s is None and task.state == TaskState.RUNNING
        for task in machine.tasks.values()
    )


def _lost_work(shard: Shard, machine: Machine, now: float) -> float | None:
    """The work that emptying a machine loses; None when that is too much, or not possible."""
    lost_work = remaining_s = 0.0
    for task in machine.tasks.values():
        job_slice = shard.slices.get(task.job)
        if job_slice is None or job_slice.is_cancelled or task.running_since is None:
            return None
        spec = job_slice.spec
        if spec.kind == JobKind.GANG:
            return None
        ran_s = now - task.running_since
        lost_s = ran_s
        if spec.checkpoint_interval_s > 0:
            restart_s = RESTART_HEARTBEATS * shard.cluster.workers.report_s
            lost_s = min(ran_s, spec.checkpoint_save_s + restart_s)
        lost_work += task.resources[0] * lost_s
        # What has run long already is as likely as not to run as long again.
        remaining_s = max(remaining_s, spec.estimated_run_s - ran_s, RUN_ON_SHARE * ran_s)
    is_worth_it = lost_work < MAX_LOSS_RATIO * machine.free[0] * remaining_s
    return lost_work if is_worth_it else None


def machines_to_release(shard: Shard, agent_lease_s: float, now: float) -> list[str]:
    """Names of the machines to release: those that never came up, or are lost, faulty or empty.

    ``agent_lease_s`` is the time for which an agent may run tasks after a heartbeat, in seconds.
    """
    absent = partitioned_machines(shard, agent_lease_s, now)
    known = [machine for machine in shard.machines.values() if machine.agent_incarnation]
    # Where most machines seem unresponsive, it is this controller's responses that do not arrive.
    may_be_unresponsive = 2 * sum(machine.is_unresponsive for machine in known) <= len(known)
    return [
        machine.name
        for machine in shard.machines.values()
        if not machine.is_releasing
        and (
            _is_useless(shard, machine)
            or _is_overdue(shard, machine, agent_lease_s, now)
            or _is_lost(shard, machine, machine.name in absent, agent_lease_s, now)
            or (may_be_unresponsive and _is_unresponsive(machine, agent_lease_s, now))
            or _is_reclaimed(machine, agent_lease_s, now)
        )
    ]


def _is_useless(shard: Shard, machine: Machine) -> bool:
    """Whether a machine was given up, or is empty and is not to have tasks any more."""
    if machine.is_decommissioned or machine.has_failed:
        return True
    if machine.tasks:
        return False
    if machine.cordon is CordonReason.RELEASE or machine.reclaim_at is not None:
        return True
    return shard.failures.is_faulty(machine.name)


def _is_overdue(shard: Shard, machine: Machine, agent_lease_s: float, now: float) -> bool:
    """Whether a machine has become unlikely to come up."""
    if machine.agent_incarnation:
        return False
    boot_s = UNKNOWN_BOOT_LEASES * agent_lease_s
    if machine.machine_type is not None:
        boot_s = shard.boot_times.boot_timeout_s(machine.machine_type, now)
    return now - machine.added_at > boot_s + agent_lease_s


def _is_lost(
    shard: Shard, machine: Machine, is_absent: bool, agent_lease_s: float, now: float
) -> bool:
    """Whether a machine is silent for so long that it will not be back."""
    if not machine.is_lease_expired or not machine.agent_incarnation or is_absent:
        return False
    silent_s = now - machine.last_seen_at(shard.acquired_at)
    return silent_s > LOST_LEASES * agent_lease_s


def _is_unresponsive(machine: Machine, agent_lease_s: float, now: float) -> bool:
    """Whether a machine sends heartbeats, but has not carried out commands for too long."""
    if not machine.is_unresponsive or machine.is_lease_expired:
        return False
    return now - machine.responsiveness.unresponsive_since > LOST_LEASES * agent_lease_s


def _is_reclaimed(machine: Machine, agent_lease_s: float, now: float) -> bool:
    """Whether a machine that the cloud reclaims is gone.

    The cloud's confirmation of its release then ends its tasks sooner than their lease would.
    """
    if machine.reclaim_at is None or now <= machine.reclaim_at + RECLAIM_MARGIN_S:
        return False
    if machine.last_heartbeat_at is None:
        return True
    return now - machine.last_heartbeat_at > RECLAIMED_SILENT_LEASES * agent_lease_s
