"""Which machines to empty or to give back because they do not serve."""

from __future__ import annotations

from marblestair.core.capacity.provisioning import LEAST_AGE_S
from marblestair.core.domain.agents import TaskState
from marblestair.core.domain.jobs import JobKind
from marblestair.core.shard.absence import absent_machines
from marblestair.core.shard.machine import CordonReason, Machine
from marblestair.core.shard.shard import Shard

#: work lost by emptying a machine, against the room that would stand free meanwhile
NEARLY_EMPTY = 0.5
#: report intervals that pass until a task that was stopped and has saved goes on elsewhere
SAVED_REPORTS = 3.0
#: leases of a worker after which a machine of an unknown type that never reported is given up
UNKNOWN_BOOT_LEASES = 9.0


def nearly_empty_machines(shard: Shard, names: set[str], now: float) -> list[Machine]:
    """Choose nearly empty machines that are worth emptying.

    Of the machines that are to fall idle, those where stopping what still runs, to run it again
    elsewhere, loses less than waiting for its end.
    """
    out: list[tuple[float, str, Machine]] = []
    room = 0
    for machine in shard.machines.values():
        if machine.is_usable(now) and machine.name not in names:
            room += machine.free[0]
    for name in names:
        found = shard.machines.get(name)
        if (
            found is None
            or found.machine_type is None
            or not found.is_usable(now)
            or not found.tasks
        ):
            continue
        if now - found.added_at < LEAST_AGE_S or any(
            task.stop_grace_s is not None or task.state != TaskState.RUNNING
            for task in found.tasks.values()
        ):
            continue
        lost = left = 0.0
        for task in found.tasks.values():
            job_slice = shard.slices.get(task.job)
            if (
                job_slice is None
                or job_slice.spec.kind == JobKind.GANG
                or job_slice.is_cancelled
                or task.running_since is None
            ):
                break
            ran = now - task.running_since
            saves = job_slice.spec.checkpoint_interval_s > 0
            again_s = (
                job_slice.spec.checkpoint_save_s + SAVED_REPORTS * shard.cluster.workers.report_s
            )
            lost += task.resources[0] * (min(ran, again_s) if saves else ran)
            # What has run long already is as likely as not to run as long again.
            left = max(left, job_slice.spec.estimated_run_s - ran, 0.5 * ran)
        else:
            if lost < NEARLY_EMPTY * found.free[0] * left:
                out.append((lost, name, found))
    chosen = []
    for _, _, machine in sorted(out, key=lambda x: x[:2]):
        used = (
            machine.machine_type.capacity[0] if machine.machine_type is not None else 0
        ) - machine.free[0]
        if used <= room:
            room -= used
            chosen.append(machine)
    return chosen


def machines_to_release(shard: Shard, lease_s: float, now: float) -> list[str]:
    """Machines to give back because they do not serve: never up, silent, given up, faulty."""
    out = []
    waited_for = absent_machines(shard, lease_s, now)
    known = [machine for machine in shard.machines.values() if machine.agent_incarnation]
    # Where most do not seem to hear, it is this controller that is not heard.
    alone = 2 * sum(machine.is_unresponsive for machine in known) <= len(known)
    for machine in shard.machines.values():
        if machine.is_releasing:
            continue
        patience_s = UNKNOWN_BOOT_LEASES * lease_s
        if machine.machine_type is not None:
            patience_s = shard.boot_times.give_up_after_s(machine.machine_type, now)
        late = not machine.agent_incarnation and now - machine.added_at > patience_s + lease_s
        lost = (
            machine.is_silent
            and machine.agent_incarnation
            and now - machine.last_sign_of_life_at(shard.acquired_at) > 1.5 * lease_s
        )
        lost = (lost and machine.name not in waited_for) or machine.has_failed
        faulty = not machine.tasks and shard.failures.is_faulty(machine.name)
        # A machine that is taken back is of no more use once it is empty; and once it is due to
        # be gone, the cloud's word for it settles its tasks sooner than their lease would.
        taken = machine.reclaim_at is not None and (
            not machine.tasks
            or (
                now > machine.reclaim_at + 1.0
                and (
                    machine.last_heartbeat_at is None
                    or now - machine.last_heartbeat_at > 0.25 * lease_s
                )
            )
        )
        deaf = (
            machine.is_unresponsive
            and not machine.is_silent
            and alone
            and now - machine.responsiveness.unresponsive_since > 1.5 * lease_s
        )
        emptied = machine.cordon is CordonReason.RETURN and not machine.tasks
        if emptied or late or lost or deaf or machine.is_given_up or faulty or taken:
            out.append(machine.name)
    return out
