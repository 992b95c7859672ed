"""Which machine a task goes to: best fit among a few sampled machines that have room for it.

Everything the users call ``wrong_place`` is decided here: machine type, zone, kind (spot or
ordinary), and how a job's tasks lie together or apart.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Container, Iterable

from marblestair.core.domain.model import JobSpec
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: machines sampled at first; the design starts at 3 and leaves the size open
SAMPLE = 6


def may_run_on_machine(spec: JobSpec, m: Machine) -> bool:
    """Whether the job may run on this machine at all."""
    return spec.may_run_on(m.type_name, m.zone, m.spot)


def tasks_that_fit(m: Machine, need: tuple[int, int, int]) -> int:
    """How many such tasks fit into what is free on the machine."""
    free = m.free
    n = 1 << 30
    for i in (0, 1, 2):
        x = need[i]
        if x > 0:
            fits = free[i] // x
            if fits < n:
                n = fits
    return n if n > 0 else 0


#: what weighs in the choice of a machine, in seconds of waiting for the image
LEFT_S, PRICE_S = 8.0, 8.0


def _score(
    spec: JobSpec, m: Machine, need: tuple[int, int, int], hurry: float = 1.0
) -> tuple[float, str]:
    """Smaller is better: the wait for the image, what is left free, and the price.

    Full machines are filled first and dear ones last, so that whole machines fall idle and can
    be given back.
    """
    t = m.machine_type
    if t is None:
        return 1e9, m.name
    fetch = 0.0
    if spec.image not in m.cached_images:
        fetch = spec.image_gb / max(t.fetch_gb_per_s, 1e-6)
    left = (m.free[0] - need[0]) / max(t.capacity[0], 1)
    price = (t.spot_price / t.price) if m.spot and t.price > 0 else 1.0
    return hurry * fetch + LEFT_S * left + PRICE_S * price, m.name


def choose_machine(
    spec: JobSpec,
    need: tuple[int, int, int],
    candidates: list[Machine],
    fitting: list[Machine],
    rng: random.Random,
    hurry: float = 1.0,
) -> Machine | None:
    """Best fit among sampled machines; if none of them fits, the first that does.

    ``fitting`` are the candidates that have room; ``hurry`` weighs the wait for the image.
    """
    if len(fitting) < 2:
        return fitting[0] if fitting else None
    sample = candidates if len(candidates) <= SAMPLE else rng.sample(candidates, SAMPLE)
    found = [m for m in sample if tasks_that_fit(m, need)]
    if found:
        return min(found, key=lambda m: _score(spec, m, need, hurry))
    return fitting[0]


def zone_limit(spec: JobSpec) -> int:
    """How many of a job's tasks one zone may hold."""
    return (spec.task_count + 1) // 2 if spec.spread_zones else spec.task_count


def tasks_within_quota(part: Shard, s: JobSlice, share: tuple[int, int]) -> int:
    """How many more of the slice's tasks the team's share in this part allows."""
    used = part.usage(s.spec.team)
    n = 1 << 30
    for u, limit, x in zip(used, share, s.resources, strict=False):
        if x > 0:
            n = min(n, (limit - u) // x)
    return max(n, 0)


class ZoneRule:
    """How a job's tasks must lie in one zone, or apart, given those that are placed."""

    def __init__(self, s: JobSlice) -> None:
        self._spec = s.spec
        self.binds = s.spec.single_zone or s.spec.spread_zones
        self._limit = zone_limit(s.spec)
        self._zones: Counter[str] = Counter()
        if self.binds:
            self._zones.update(m.zone for m in s.placed_on.values())

    def is_open(self, m: Machine) -> bool:
        """Whether one more task may lie in a machine's zone."""
        if self._spec.single_zone and self._zones and not self._zones[m.zone]:
            return False
        return not self._spec.spread_zones or self._zones[m.zone] < self._limit

    def most(self, m: Machine, tasks: int) -> int:
        """How many of some tasks may lie in a machine's zone."""
        return min(tasks, self._limit - self._zones[m.zone]) if self._spec.spread_zones else tasks

    def add(self, m: Machine, tasks: int) -> None:
        """Tasks were placed on a machine."""
        if self.binds:
            self._zones[m.zone] += tasks


def place_array(
    part: Shard,
    s: JobSlice,
    share: tuple[int, int],
    usable: list[Machine],
    free: list[Machine],
    now: float,
    rng: random.Random,
    keep: Container[str],
    drain: set[str],
    hurry: float = 1.0,
    most: int = 1 << 30,
) -> int:
    """Launch as many pending tasks of an array as fit, up to ``most``; how many.

    ``free`` are those of the ``usable`` machines that may have room. Machines in ``keep`` are left
    to gangs; those in ``drain`` are used only when no other has room.
    """
    spec, need = s.spec, s.resources
    budget = min(tasks_within_quota(part, s, share), len(s.pending), most)
    if budget <= 0:
        return 0
    fitting = [
        m
        for m in free
        if m.name not in keep and may_run_on_machine(spec, m) and tasks_that_fit(m, need)
    ]
    if not fitting:
        return 0
    # Sampled are all that may be used, also those that are full; a single one needs no sample.
    machines = fitting
    if usable is not free:
        machines = [m for m in usable if m.name not in keep and may_run_on_machine(spec, m)]
    # Those that are to fall idle are used only when no other has room.
    late: list[Machine] = []
    if drain:
        late = [m for m in fitting if m.name in drain]
        fitting = [m for m in fitting if m.name not in drain]
        machines = [m for m in machines if m.name not in drain]
    zones = ZoneRule(s)
    started = 0
    while budget > 0 and (fitting or late):
        if not fitting:
            machines = fitting = late
            late = []
        options, fits = machines, fitting
        if zones.binds:
            options = [m for m in machines if zones.is_open(m)]
            fits = [m for m in fitting if zones.is_open(m)]
        m = choose_machine(spec, need, options, fits, rng, hurry)
        if m is None:
            fitting = []
            continue
        n = zones.most(m, min(tasks_that_fit(m, need), budget))
        for _ in range(n):
            part.launch(m, s, s.pending.pop(), part.new_attempt(), now)
        zones.add(m, n)
        budget -= n
        started += n
        if budget > 0 and not tasks_that_fit(m, need):
            fitting = [x for x in fitting if x is not m]
    return started


def assign_gang(
    spec: JobSpec, need: tuple[int, int, int], machines: list[Machine], n: int
) -> list[Machine] | None:
    """Machines for n tasks of a gang, all at once, or None; tightest and cached first."""
    rooms = [(m, tasks_that_fit(m, need)) for m in machines]
    rooms = [(m, r) for m, r in rooms if r]
    rooms.sort(key=lambda x: _score(spec, x[0], need))
    zones: list[str | None] = [None]
    if spec.single_zone:
        zones = sorted({m.zone for m, _ in rooms})  # type: ignore[assignment]
    limit = zone_limit(spec)
    for zone in zones:
        out: list[Machine] = []
        count: Counter[str] = Counter()
        for m, r in rooms:
            if zone is not None and m.zone != zone:
                continue
            k = min(r, n - len(out), limit - count[m.zone])
            if k > 0:
                out += [m] * k
                count[m.zone] += k
            if len(out) == n:
                return out
    return None


def placeable_tasks(part: Shard, spec: JobSpec, now: float) -> int:
    """How many of a job's tasks this part's machines have room for now."""
    return sum(
        tasks_that_fit(m, spec.resources)
        for m in part.machines.values()
        if m.is_usable(now) and may_run_on_machine(spec, m)
    )


#: a machine's free room as told between parts: type, zone, spot, cpus, gpus, memory
FreeCapacity = tuple[str, str, bool, int, int, int]


def capacity_by_zone(
    spec: JobSpec, need: tuple[int, int, int], rooms: list[FreeCapacity]
) -> Counter[str]:
    """How many of a job's tasks fit into told rooms, by zone."""
    out: Counter[str] = Counter()
    for type_name, zone, spot, *free in rooms:
        if spec.may_run_on(type_name, zone, spot):
            n = min((f // x for f, x in zip(free, need, strict=True) if x > 0), default=0)
            out[zone] += max(0, n)
    return out


def gang_fits(spec: JobSpec, need: tuple[int, int, int], rooms: list[FreeCapacity], n: int) -> bool:
    """Whether n tasks that start together fit into told rooms."""
    by_zone = capacity_by_zone(spec, need, rooms)
    if spec.single_zone:
        return any(x >= n for x in by_zone.values())
    limit = zone_limit(spec)
    return sum(min(x, limit) for x in by_zone.values()) >= n


def place_gang(
    part: Shard,
    s: JobSlice,
    share: tuple[int, int],
    now: float,
    options: Iterable[Machine],
    claimed: Callable[[Machine, str], bool],
) -> int:
    """Launch a whole gang or nothing; machines ``claimed`` for another job are left to it."""
    n = s.size - s.done_count
    if n <= 0 or s.placed_on or len(s.pending) != n or tasks_within_quota(part, s, share) < n:
        return 0
    spec = s.spec
    machines = [
        m
        for m in options
        if m.is_usable(now) and may_run_on_machine(spec, m) and not claimed(m, spec.id)
    ]
    chosen = assign_gang(spec, s.resources, machines, n)
    if chosen is None:
        return 0
    attempt = part.new_attempt()
    for m in chosen:
        part.launch(m, s, s.pending.pop(), attempt, now)
    return n
