"""Which machines to empty or to give back because they do not serve."""

from __future__ import annotations

from marblestair.core.capacity.provisioning import LEAST_AGE_S
from marblestair.core.domain.model import GANG
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: work lost by emptying a machine, against the room that would stand free meanwhile
NEARLY_EMPTY = 0.5
#: report intervals that pass until a task that was stopped and has saved goes on elsewhere
SAVED_REPORTS = 3.0
#: how many machines that fall silent at once, at least and as a share of a part, are waited for,
#: and for how many leases
TOGETHER, TOGETHER_SHARE, ABSENT_LEASES = 3, 0.06, 3.0
#: leases of a worker after which a machine of an unknown type that never reported is given up
UNKNOWN_BOOT_LEASES = 9.0


def nearly_empty_machines(part: Shard, names: set[str], now: float) -> list[Machine]:
    """Choose nearly empty machines that are worth emptying.

    Of the machines that are to fall idle, those where stopping what still runs, to run it again
    elsewhere, loses less than waiting for its end.
    """
    out: list[tuple[float, str, Machine]] = []
    room = 0
    for m in part.machines.values():
        if m.is_usable(now) and m.name not in names:
            room += m.free[0]
    for name in names:
        found = part.machines.get(name)
        if (
            found is None
            or found.machine_type is None
            or not found.is_usable(now)
            or not found.tasks
        ):
            continue
        if now - found.added_at < LEAST_AGE_S or any(
            p.stop_grace_s is not None or p.state != "running" for p in found.tasks.values()
        ):
            continue
        lost = left = 0.0
        for p in found.tasks.values():
            s = part.slices.get(p.job)
            if s is None or s.spec.kind == GANG or s.is_cancelled or p.running_since is None:
                break
            ran = now - p.running_since
            saves = s.spec.checkpoint_interval_s > 0
            again_s = s.spec.checkpoint_save_s + SAVED_REPORTS * part.cluster.workers.report_s
            lost += p.resources[0] * (min(ran, again_s) if saves else ran)
            # What has run long already is as likely as not to run as long again.
            left = max(left, s.spec.estimated_run_s - ran, 0.5 * ran)
        else:
            if lost < NEARLY_EMPTY * found.free[0] * left:
                out.append((lost, name, found))
    chosen = []
    for _, _, m in sorted(out, key=lambda x: x[:2]):
        used = (m.machine_type.capacity[0] if m.machine_type is not None else 0) - m.free[0]
        if used <= room:
            room -= used
            chosen.append(m)
    return chosen


def absent_machines(part: Shard, lease_s: float, now: float) -> set[str]:
    """Return machines that fell silent together with many others.

    That is a failure of the network rather than of the machines, and most of them will be back.
    """
    gone = [
        m
        for m in part.machines.values()
        if m.is_silent and m.agent_incarnation and not m.has_failed
    ]
    if len(gone) < max(TOGETHER, TOGETHER_SHARE * len(part.machines)):
        return set()
    return {
        m.name
        for m in gone
        if now - max(m.last_heartbeat_at, part.acquired_at) < ABSENT_LEASES * lease_s
    }


def machines_to_release(part: Shard, lease_s: float, now: float) -> list[str]:
    """Machines to give back because they do not serve: never up, silent, given up, faulty."""
    out = []
    waited_for = absent_machines(part, lease_s, now)
    known = [m for m in part.machines.values() if m.agent_incarnation]
    # Where most do not seem to hear, it is this controller that is not heard.
    alone = 2 * sum(m.is_unresponsive for m in known) <= len(known)
    for m in part.machines.values():
        if m.is_releasing:
            continue
        patience_s = UNKNOWN_BOOT_LEASES * lease_s
        if m.machine_type is not None:
            patience_s = part.boot_times.give_up_after_s(m.machine_type, now)
        late = not m.agent_incarnation and now - m.added_at > patience_s + lease_s
        lost = (
            m.is_silent
            and m.agent_incarnation
            and now - max(m.last_heartbeat_at, part.acquired_at) > 1.5 * lease_s
        )
        lost = (lost and m.name not in waited_for) or m.has_failed
        faulty = not m.tasks and part.failures.is_faulty(m.name)
        # A machine that is taken back is of no more use once it is empty; and once it is due to
        # be gone, the cloud's word for it settles its tasks sooner than their lease would.
        taken = m.reclaim_at is not None and (
            not m.tasks or (now > m.reclaim_at + 1.0 and now - m.last_heartbeat_at > 0.25 * lease_s)
        )
        deaf = (
            m.is_unresponsive
            and not m.is_silent
            and alone
            and now - m.unresponsive_since > 1.5 * lease_s
        )
        emptied = m.is_returning and not m.tasks
        if emptied or late or lost or deaf or m.is_given_up or faulty or taken:
            out.append(m.name)
    return out
