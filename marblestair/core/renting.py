"""What to rent and what to give back.

Every owner computes the same plan from the records and from what the owners tell one another,
and carries out its own share of it; machines rented anywhere serve all, since unstarted slices
migrate to where there is room.

For arrays the plan asks how much capacity the work needs to be done when it is due. What is due
before a machine rented now could have done it cannot be helped by renting, so it counts as due
when such a machine would have done it. For gangs it asks for whole machines.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

import msgspec

from marblestair.core.model import GANG, PRIORITIES, JobSpec, MachineType
from marblestair.core.part import Machine, Part

#: a rental costs at least a minute; nothing is given back before
LEAST_AGE_S = 58.0
#: work lost by emptying a machine, against the room that would stand free meanwhile
HOLLOW = 0.5
#: report intervals that pass until a task that was stopped and has saved goes on elsewhere
SAVED_REPORTS = 3.0
#: run times ahead of its due time from which on work is worth ordinary machines, though it may run
#: on spot ones
DEAR_LEAD = 1.5
#: share of the capacity that must lack before ordinary machines are rented for work that may run on
#: spot ones
DEAR_LACK = 0.03
#: how many machines that fall silent at once, at least and as a share of a part, are waited for,
#: and for how many leases
TOGETHER, TOGETHER_SHARE, ABSENT_LEASES = 3, 0.06, 3.0
#: leases of a worker after which a machine of an unknown type that never reported is given up
UNKNOWN_BOOT_LEASES = 9.0


class Tuning(msgspec.Struct, frozen=True):
    """Weights of renting; operators may change them by their policy."""

    #: capacity beyond what deadlines need, as a share of it
    margin: float = 0.0
    #: over how many boot times the need is averaged
    smooth_boots: float = 1.0
    #: spare capacity, in machines, before an idle one is given back
    keep: float = 0.6
    #: share of the time left in which work should be done
    haste: float = 0.4
    #: capacity kept beyond the work at hand, in array jobs of the usual size
    reserve: float = 0.3
    #: idle machines kept for a class whose starts are wanted sooner than a machine boots
    spare_gangs: int = 1
    #: how much dearer an ordinary machine must be before a spot machine is chosen
    spot_risk: float = 0.2
    #: an idle machine is kept for at least this many of its boot times
    idle_boots: float = 0.5
    #: time after which jobs without a deadline should be done, in their run times
    patience: float = 2.0


class Load(msgspec.Struct, frozen=True):
    """Work of one job at hand, over all parts."""

    spec: JobSpec
    pending: int
    running: int
    #: seconds until it should be done; negative when that has passed
    due: float
    #: expected run time of one task
    run_s: float
    #: how many of the waiting tasks the team's limit lets run
    wide: int
    #: part in which a gang waits; -1 when that is not known
    part: int = -1


class Have(msgspec.Struct, frozen=True):
    """A machine at hand, up or booting."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    #: whether it runs a gang
    gang: bool
    #: seconds without any task; negative while it is in use, or not up
    idle: float
    age: float
    #: cpus in use, in fixed point
    used: int = 0
    part: int = -1
    #: silent with many others: likely back, so counted, but nothing is set aside on it
    absent: bool = False

    def ready_s(self, busy_s: float) -> float:
        """In how many seconds it may be empty; ``busy_s`` if it runs arrays now."""
        if self.idle >= 0:
            return 0.0
        return busy_s if self.used else max(1.0, self.type.boot_s - self.age)


class Kind(msgspec.Struct, frozen=True):
    """A kind of machine that can be rented."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def key(self) -> tuple[str, str, bool]:
        """Type, zone and whether spot."""
        return self.type.name, self.zone, self.spot

    @property
    def price(self) -> float:
        """Per hour."""
        return self.type.spot_price if self.spot else self.type.price


class Want(msgspec.Struct, frozen=True):
    """A rental to make."""

    type: str
    zone: str
    spot: bool
    count: int
    #: part whose owner should rent, because a gang waits there; -1 for any
    part: int = -1


def per_machine(t: MachineType, need: tuple[int, int, int]) -> int:
    """How many such tasks an empty machine holds."""
    return max(
        0, min((s // n for s, n in zip(t.size, need, strict=True) if n > 0), default=1 << 20)
    )


def kinds(spec: JobSpec, types: dict[str, MachineType]) -> list[Kind]:
    """Every kind of machine a job may run on."""
    out = []
    for t in types.values():
        if per_machine(t, spec.need) < 1:
            continue
        for z in t.zones:
            for spot in (True, False):
                if spec.may_run_on(t.name, z, spot):
                    out.append(Kind(t, z, spot))
    return out


def _per_cpu(k: Kind, spec: JobSpec, tuning: Tuning, scarce: set[str]) -> float:
    """Price of the share of the machine that one task takes, with what weighs against it."""
    price = k.price / max(1, per_machine(k.type, spec.need))
    if k.spot:
        price *= 1.0 + tuning.spot_risk
    if k.type.name in scarce:
        price *= 1.5
    return price


class Coming(msgspec.Struct, frozen=True):
    """A class of gangs that comes: one of its jobs, and how often."""

    spec: JobSpec
    #: whether starts are wanted sooner than a machine boots
    hurry: bool
    per_s: float = 0.0


def spares(k: Coming, types: dict[str, MachineType], least: int) -> int:
    """Count the gangs of a class to keep machines ready for.

    As many as come while a machine is rented for one, and a standard deviation more.
    """
    leads = [
        1.2 * t.boot_s + k.spec.image_gb / max(t.fetch_gb_per_s, 1e-6)
        for t in types.values()
        if per_machine(t, k.spec.need)
    ]
    mean = k.per_s * min(leads, default=0.0)
    return max(least, math.ceil(mean + math.sqrt(mean)))


class Plan(msgspec.Struct):
    """What should be done about the fleet."""

    rent: list[Want]
    release: list[str]
    #: cpus that arrays should have, and cpus they have
    target: float = 0.0
    capacity: float = 0.0
    #: machines that are to fall idle
    drain: set[str] = set()
    #: those of them that nothing is kept for
    empty: set[str] = set()
    #: machines set aside for gangs: the job that waits for it, or "" for one that is expected
    reserved: dict[str, str] = {}


def _array_target(loads: list[Load], boot_s: float, tuning: Tuning, lead: float = 1e9) -> float:
    """Return the cpus with which the waiting arrays are done well before they are due.

    They need not be done earlier than ``lead`` run times ahead of that.
    """
    target = 0.0
    for x in loads:
        c = x.spec.cpus
        target += x.running * c
        if x.pending:
            # What can no longer be done in time is served last; it need not be hurried.
            lost = x.due < 0.3 * x.run_s
            time = 3.0 * (boot_s + x.run_s) if lost else max(tuning.haste * x.due, x.run_s)
            if not lost:
                time = max(time, x.due - lead * x.run_s)
            target += min(x.pending * x.run_s / time, x.wide) * c
    return target * (1 + tuning.margin)


def plan(
    loads: list[Load],
    machines: list[Have],
    types: dict[str, MachineType],
    refused: Callable[[Kind], bool],
    usual: float,
    scarce_classes: dict[str, Coming],
    tuning: Tuning,
    smooth: Callable[[float], float] = lambda x: x,
) -> Plan:
    """The plan for the whole fleet; the same from the same inputs.

    ``smooth`` follows the target over time: a machine that is rented for a short burst is up only
    when the burst is over.
    """
    out = Plan([], [])
    gangs = [x for x in loads if x.spec.kind == GANG]
    arrays = [x for x in loads if x.spec.kind != GANG]

    # Types that only some classes' large tasks need are left to them where possible.
    scarce: set[str] = set()
    for coming in scarce_classes.values():
        fitting = {k.type.name for k in kinds(coming.spec, types)}
        if len(fitting) < len(types):
            scarce |= fitting

    used = {m.name for m in machines if m.gang}
    reserved: dict[str, str] = {}
    short: dict[tuple[tuple[str, str, bool], int], int] = {}
    boot = min((t.boot_s for t in types.values()), default=30.0) * 1.2

    options_of: dict[tuple[object, ...], list[Kind]] = {}

    def kinds_of(spec: JobSpec) -> list[Kind]:
        # Many jobs have the same shape.
        shape = (None if spec.types is None else tuple(spec.types), spec.zone, spec.spot, spec.need)
        if shape not in options_of:
            options_of[shape] = kinds(spec, types)
        return options_of[shape]

    def keep(name: str, job: str) -> None:
        reserved[name] = job

    by_part: dict[int, list[Have]] = {}

    def soonest(part: int) -> list[Have]:
        # Put in order once per part: many gangs may wait.
        if part not in by_part:
            by_part[part] = sorted(
                machines, key=lambda m: (m.ready_s(boot), m.part != part, m.spot, m.name)
            )
        return by_part[part]

    def set_aside(spec: JobSpec, n: int, part: int, aside: Callable[[str], None]) -> None:
        """Set machines aside for n tasks of a gang's kind, and rent what is missing.

        Those that are soonest empty go first, and of these the ones in the gang's own part.
        """
        options = [k for k in kinds(spec, types) if not refused(k)]
        #: tasks that a machine of a kind holds, counted once per kind
        holds: dict[tuple[str, str, bool], int] = {}
        fits: list[Have] = []
        room: dict[str, int] = {}
        for m in soonest(part):
            if m.name in used or m.absent:
                continue
            kind = (m.type.name, m.zone, m.spot)
            k = holds.get(kind, -1)
            if k < 0:
                k = per_machine(m.type, spec.need) if spec.may_run_on(*kind) else 0
                holds[kind] = k
            if k:
                fits.append(m)
                room[m.zone] = room.get(m.zone, 0) + k
        most = n
        if spec.one_zone:
            zones = {k.zone for k in options} | set(room)
            if not zones:
                return
            best_zone = min(zones, key=lambda z: (-room.get(z, 0), z))
            fits = [m for m in fits if m.zone == best_zone]
            options = [k for k in options if k.zone == best_zone]
        elif spec.spread:
            most = (n + 1) // 2
        taken: dict[str, int] = {}
        for m in fits:
            if n <= 0:
                return
            k = min(n, per_machine(m.type, spec.need), most - taken.get(m.zone, 0))
            if k > 0:
                used.add(m.name)
                aside(m.name)
                taken[m.zone] = taken.get(m.zone, 0) + k
                n -= k
        while n > 0:
            open_kinds = [k for k in options if taken.get(k.zone, 0) < most]
            if not open_kinds:
                return
            best = min(open_kinds, key=lambda k: (_per_cpu(k, spec, tuning, set()), k.zone))
            k_tasks = min(n, per_machine(best.type, spec.need), most - taken.get(best.zone, 0))
            short[(best.key, part)] = short.get((best.key, part), 0) + 1
            taken[best.zone] = taken.get(best.zone, 0) + k_tasks
            n -= k_tasks

    for x in gangs:
        if x.pending:
            job = x.spec.id
            set_aside(x.spec, x.pending, x.part, partial(keep, job=job))
    for cls in sorted(scarce_classes):
        coming = scarce_classes[cls]
        spec = coming.spec
        if coming.hurry and tuning.spare_gangs:
            # Where a gang may stop what runs there, arrays may use its machine meanwhile.
            level = PRIORITIES[spec.priority]
            soft = all(PRIORITIES[x.spec.priority] < level for x in arrays)
            n = spares(coming, types, tuning.spare_gangs) if soft else tuning.spare_gangs
            aside: Callable[[str], None] = out.drain.add if soft else partial(keep, job="")
            set_aside(spec, n * spec.tasks, -1, aside)

    target = _array_target(arrays, boot, tuning)
    #: the share of it that is worth ordinary machines where the work may run on spot ones
    dear = _array_target(arrays, boot, tuning, DEAR_LEAD) / target if target > 0 else 1.0
    if arrays or usual:
        target += tuning.reserve * usual
    capacity = sum(m.type.cpus for m in machines if m.name not in used)
    out.reserved = reserved
    target = smooth(target)
    out.target, out.capacity = target, capacity

    def cheaper(m: Have) -> bool:
        """Whether a spot machine could be had that does this ordinary machine's work for less."""
        if m.spot or not arrays:
            return False
        return cheapest < 0.7 * m.type.price / max(m.type.cpus, 1.0)

    #: kinds for each shape of task among the arrays
    array_kinds = list({id(found): found for found in (kinds_of(x.spec) for x in arrays)}.values())
    spots = {
        k.key: k.price * (1 + tuning.spot_risk) / max(k.type.cpus, 1.0)
        for found in array_kinds
        for k in found
        if k.spot and not refused(k)
    }
    cheapest = min(spots.values(), default=1e18)

    steady = sum(m.type.cpus for m in machines if m.name not in used and not cheaper(m))
    if arrays and target > steady:
        capacity = steady
        widest = max(arrays, key=lambda x: (x.pending * x.spec.cpus, x.spec.id))
        lack = target - capacity
        options = [k for k in kinds(widest.spec, types) if not refused(k)]
        options.sort(key=lambda k: (_per_cpu(k, widest.spec, tuning, scarce), k.zone))
        for k in options:
            # A machine much larger than what lacks would stand half empty.
            if k.type.cpus > 2 * lack and k is not options[-1] and not k.spot:
                continue
            if not k.spot and widest.spec.spot and out.capacity > 0:
                lack = dear * target - capacity
                if lack < DEAR_LACK * out.capacity:
                    # Neither work that has time left nor noise in the need of a large fleet is
                    # worth a dear machine.
                    break
            # Less than half a machine is not worth one, unless there is none at all.
            n = round(lack / k.type.cpus)
            if out.capacity <= 0:
                n = max(1, n)
            if n:
                short[(k.key, -1)] = short.get((k.key, -1), 0) + n
            break
    # Work bound to a zone is not served by what stands in another.
    bound: dict[str, list[Load]] = {}
    for x in arrays:
        if x.spec.zone is not None and x.pending:
            bound.setdefault(x.spec.zone, []).append(x)
    for zone, work in sorted(bound.items()):
        here = sum(
            m.type.cpus for m in machines if m.zone == zone and m.name not in used and not m.absent
        )
        widest = max(work, key=lambda x: (x.pending * x.spec.cpus, x.spec.id))
        options = [k for k in kinds_of(widest.spec) if not refused(k)]
        options.sort(key=lambda k: (_per_cpu(k, widest.spec, tuning, scarce), k.zone))
        for k in options[:1]:
            asked = sum(n * types[key[0]].cpus for (key, _), n in short.items() if key[1] == zone)
            n = round((_array_target(work, boot, tuning) - here - asked) / k.type.cpus)
            if n > 0:
                short[(k.key, -1)] = short.get((k.key, -1), 0) + n
    for x in arrays:
        # Work that no machine at hand may run needs one of its own, whatever the capacity.
        if x.pending and not any(
            x.spec.may_run_on(m.type.name, m.zone, m.spot) and per_machine(m.type, x.spec.need)
            for m in machines
            if m.name not in reserved
        ):
            options = [k for k in kinds(x.spec, types) if not refused(k)]
            coming_kinds = {key for key, _ in short}
            if options and not any(k.key in coming_kinds for k in options):
                best = min(options, key=lambda k: (_per_cpu(k, x.spec, tuning, scarce), k.zone))
                short[(best.key, -1)] = short.get((best.key, -1), 0) + 1
    out.rent = [Want(*key, n, part) for (key, part), n in short.items()]

    # Let whole machines beyond the target fall idle: dear ones first, then the emptiest.
    over = out.capacity - target
    for m in sorted(machines, key=lambda m: (m.spot, m.used / max(1, m.type.size[0]), m.name)):
        if m.name not in used and not m.absent and over >= m.type.cpus:
            over -= m.type.cpus
            out.drain.add(m.name)
            out.empty.add(m.name)

    # Give back idle machines that neither the arrays nor a waiting gang needs, dearest first.
    spare_cpus = out.capacity - target
    idle = [m for m in machines if m.idle >= 0 and m.name not in used]
    idle.sort(key=lambda m: (m.spot, -(m.type.price / max(m.type.cpus, 1.0)), m.name))
    for m in idle:
        if m.age < LEAST_AGE_S or m.idle < tuning.idle_boots * m.type.boot_s:
            continue
        if spare_cpus >= m.type.cpus * tuning.keep or not arrays:
            spare_cpus -= m.type.cpus
            out.release.append(m.name)
    return out


def hollow(part: Part, names: set[str], now: float) -> list[Machine]:
    """Choose nearly empty machines that are worth emptying.

    Of the machines that are to fall idle, those where stopping what still runs, to run it again
    elsewhere, loses less than waiting for its end.
    """
    out: list[tuple[float, str, Machine]] = []
    room = 0
    for m in part.machines.values():
        if m.usable(now) and m.name not in names:
            room += m.free[0]
    for name in names:
        found = part.machines.get(name)
        if found is None or found.type is None or not found.usable(now) or not found.placed:
            continue
        if now - found.added < LEAST_AGE_S or any(
            p.grace is not None or p.state != "running" for p in found.placed.values()
        ):
            continue
        lost = left = 0.0
        for p in found.placed.values():
            s = part.slices.get(p.job)
            if s is None or s.spec.kind == GANG or s.cancelled or p.run_since is None:
                break
            ran = now - p.run_since
            saves = s.spec.checkpoint_s > 0
            again_s = s.spec.save_s + SAVED_REPORTS * part.cluster.workers.report_s
            lost += p.need[0] * (min(ran, again_s) if saves else ran)
            # What has run long already is as likely as not to run as long again.
            left = max(left, s.spec.estimate_s - ran, 0.5 * ran)
        else:
            if lost < HOLLOW * found.free[0] * left:
                out.append((lost, name, found))
    chosen = []
    for _, _, m in sorted(out, key=lambda x: x[:2]):
        used = (m.type.size[0] if m.type is not None else 0) - m.free[0]
        if used <= room:
            room -= used
            chosen.append(m)
    return chosen


def absent(part: Part, lease_s: float, now: float) -> set[str]:
    """Return machines that fell silent together with many others.

    That is a failure of the network rather than of the machines, and most of them will be back.
    """
    gone = [m for m in part.machines.values() if m.silent and m.session and not m.failed]
    if len(gone) < max(TOGETHER, TOGETHER_SHARE * len(part.machines)):
        return set()
    return {m.name for m in gone if now - max(m.seen, part.since) < ABSENT_LEASES * lease_s}


def broken(part: Part, lease_s: float, now: float) -> list[str]:
    """Machines to give back because they do not serve: never up, silent, condemned, faulty."""
    out = []
    waited_for = absent(part, lease_s, now)
    known = [m for m in part.machines.values() if m.session]
    # Where most do not seem to hear, it is this controller that is not heard.
    alone = 2 * sum(m.deaf for m in known) <= len(known)
    for m in part.machines.values():
        if m.releasing:
            continue
        patience_s = UNKNOWN_BOOT_LEASES * lease_s
        if m.type is not None:
            patience_s = part.boots.give_up_s(m.type, now)
        late = not m.session and now - m.added > patience_s + lease_s
        lost = m.silent and m.session and now - max(m.seen, part.since) > 1.5 * lease_s
        lost = (lost and m.name not in waited_for) or m.failed
        faulty = not m.placed and part.faults.is_faulty(m.name)
        # A machine that is taken back is of no more use once it is empty; and once it is due to
        # be gone, the cloud's word for it settles its tasks sooner than their lease would.
        taken = m.notice_at is not None and (
            not m.placed or (now > m.notice_at + 1.0 and now - m.seen > 0.25 * lease_s)
        )
        deaf = m.deaf and not m.silent and alone and now - m.deaf_since > 1.5 * lease_s
        emptied = m.returning and not m.placed
        if emptied or late or lost or deaf or m.condemned or faulty or taken:
            out.append(m.name)
    return out
