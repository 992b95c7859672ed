"""Selection of surplus machines to empty of tasks, and of unusable machines to release."""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.capacity.provisioning import MIN_RENTAL_S
from marblestair.core.domain.agents import TaskState
from marblestair.core.domain.jobs import JobKind
from marblestair.core.shard.machine import CordonReason, Machine
from marblestair.core.shard.partition_detection import partitioned_machines
from marblestair.core.shard.shard import Shard

#: maximum ratio of the work lost by emptying a machine to the capacity that would otherwise stay
#: idle on it until its tasks end
MAX_LOST_WORK_RATIO = 0.5
#: expected time until a stopped task with a checkpoint resumes on another machine, in heartbeat
#: intervals
RESTART_HEARTBEATS = 3.0
#: minimum remaining run time that is expected of a task, as a share of the time it has already run
MIN_REMAINING_RUN_SHARE = 0.5
#: boot timeout of a machine of unknown type, in agent leases
UNKNOWN_TYPE_BOOT_TIMEOUT_LEASES = 9.0
#: minimum time for which a machine must have been silent or unresponsive before it is released, in
#: agent leases
RELEASE_DELAY_LEASES = 1.5
#: minimum times after which a reclaimed machine counts as gone, which must both have passed: since
#: the announced time of the reclaim, in seconds, and since the last heartbeat, in agent leases
RECLAIM_DELAY_S, RECLAIMED_SILENT_LEASES = 1.0, 0.25


class EmptyingCandidate(NamedTuple):
    """A machine that is worth emptying, and the work that is lost by emptying it."""

    #: work that other machines must repeat, in fixed-point cpus times seconds
    lost_work: float
    machine: Machine


def machines_to_empty(shard: Shard, names: set[str], now: float) -> list[Machine]:
    """Choose the surplus machines, among those in ``names``, that are worth emptying.

    Emptying a machine is worth it if the work to be repeated is below ``MAX_LOST_WORK_RATIO`` of
    the capacity that would stay idle until the machine's tasks end. A machine is left
    out if its used cpus, with those of the machines already chosen, exceed the free cpus of the
    shard's usable machines that are not in ``names``.
    """
    candidates = []
    for name in names:
        machine = shard.machines.get(name)
        if machine is None or not _can_be_emptied(machine, now):
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


def _can_be_emptied(machine: Machine, now: float) -> bool:
    """Whether a machine is usable and past its minimum rental time, and all its tasks run."""
    if machine.machine_type is None or not machine.is_usable(now) or not machine.tasks:
        return False
    if now - machine.added_at < MIN_RENTAL_S:
        return False
    return all(
        task.stop_grace_s is None and task.state == TaskState.RUNNING
        for task in machine.tasks.values()
    )


def _lost_work(shard: Shard, machine: Machine, now: float) -> float | None:
    """Return the work lost by emptying a machine; None if that is not allowed or not worth it."""
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
        # Also a task that has exceeded its estimated run time is assumed to run for some more time.
        remaining_s = max(
            remaining_s, spec.estimated_run_s - ran_s, MIN_REMAINING_RUN_SHARE * ran_s
        )
    is_worth_it = lost_work < MAX_LOST_WORK_RATIO * machine.free[0] * remaining_s
    return lost_work if is_worth_it else None


def machines_to_release(shard: Shard, agent_lease_s: float, now: float) -> list[str]:
    """Return the names of the machines to release because they are unusable.

    A machine is unusable if it is decommissioned, failed, lost, unresponsive or reclaimed, or did
    not boot in time. A machine that has no tasks is also released if it is faulty, cordoned for
    release, or announced to be reclaimed. ``agent_lease_s`` is the duration of an agent's lease in
    seconds.
    """
    partitioned = partitioned_machines(shard, agent_lease_s, now)
    known = [machine for machine in shard.machines.values() if machine.agent_incarnation]
    # If most machines seem unresponsive, the likely cause is that the responses of this controller
    # reach no agent. No machine is then released for being unresponsive.
    may_release_unresponsive = 2 * sum(machine.is_unresponsive for machine in known) <= len(known)
    return [
        machine.name
        for machine in shard.machines.values()
        if not machine.is_releasing
        and (
            _is_out_of_service(shard, machine)
            or _has_boot_timed_out(shard, machine, agent_lease_s, now)
            or _is_lost(shard, machine, machine.name in partitioned, agent_lease_s, now)
            or (may_release_unresponsive and _is_unresponsive(machine, agent_lease_s, now))
            or _is_reclaimed(machine, agent_lease_s, now)
        )
    ]


def _is_out_of_service(shard: Shard, machine: Machine) -> bool:
    """Whether a machine is decommissioned or failed, or has no tasks and must get no new ones.

    A machine must get no new tasks if it is cordoned for release, will be reclaimed or is faulty.
    """
    if machine.is_decommissioned or machine.has_failed:
        return True
    if machine.tasks:
        return False
    if machine.cordon is CordonReason.RELEASE or machine.reclaim_at is not None:
        return True
    return shard.failures.is_faulty(machine.name)


def _has_boot_timed_out(shard: Shard, machine: Machine, agent_lease_s: float, now: float) -> bool:
    """Whether a machine sent no heartbeat within its boot timeout plus one agent lease."""
    if machine.agent_incarnation:
        return False
    boot_s = UNKNOWN_TYPE_BOOT_TIMEOUT_LEASES * agent_lease_s
    if machine.machine_type is not None:
        boot_s = shard.boot_times.boot_timeout_s(machine.machine_type, now)
    return now - machine.added_at > boot_s + agent_lease_s


def _is_lost(
    shard: Shard, machine: Machine, is_partitioned: bool, agent_lease_s: float, now: float
) -> bool:
    """Whether a machine that is not presumed partitioned has been silent for too long."""
    if not machine.is_lease_expired or not machine.agent_incarnation or is_partitioned:
        return False
    silent_s = now - machine.last_seen_at(shard.acquired_at)
    return silent_s > RELEASE_DELAY_LEASES * agent_lease_s


def _is_unresponsive(machine: Machine, agent_lease_s: float, now: float) -> bool:
    """Whether a machine sends heartbeats but has been unresponsive to commands for too long."""
    if not machine.is_unresponsive or machine.is_lease_expired:
        return False
    return now - machine.responsiveness.unresponsive_since > RELEASE_DELAY_LEASES * agent_lease_s


def _is_reclaimed(machine: Machine, agent_lease_s: float, now: float) -> bool:
    """Whether a machine that the cloud reclaims counts as gone.

    The release of such a machine is requested although it is gone. The reason is that the cloud's
    confirmation proves that the machine's tasks have ended, and arrives before the agent's lease
    expires.
    """
    if machine.reclaim_at is None or now <= machine.reclaim_at + RECLAIM_DELAY_S:
        return False
    if machine.last_heartbeat_at is None:
        return True
    return now - machine.last_heartbeat_at > RECLAIMED_SILENT_LEASES * agent_lease_s
