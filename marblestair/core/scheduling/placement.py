"""Which machine a task goes to: best fit among a few sampled machines that have room for it.

Everything the users call ``wrong_place`` is decided here: machine type, zone, kind (spot or
ordinary), and how a job's tasks lie together or apart.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Container, Iterable

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: machines sampled at first; the design starts at 3 and leaves the size open
SAMPLE = 6


def may_run_on_machine(spec: JobSpec, machine: Machine) -> bool:
    """Whether the job may run on this machine at all."""
    return spec.may_run_on(machine.type_name, machine.zone, machine.spot)


def tasks_that_fit(machine: Machine, need: tuple[int, int, int]) -> int:
    """How many such tasks fit into what is free on the machine."""
    free = machine.free
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
    spec: JobSpec, machine: Machine, need: tuple[int, int, int], hurry: float = 1.0
) -> tuple[float, str]:
    """Smaller is better: the wait for the image, what is left free, and the price.

    Full machines are filled first and dear ones last, so that whole machines fall idle and can
    be given back.
    """
    machine_type = machine.machine_type
    if machine_type is None:
        return 1e9, machine.name
    fetch = 0.0
    if spec.image not in machine.cached_images:
        fetch = spec.image_gb / max(machine_type.fetch_gb_per_s, 1e-6)
    left = (machine.free[0] - need[0]) / max(machine_type.capacity[0], 1)
    price = (
        (machine_type.spot_price / machine_type.price)
        if machine.spot and machine_type.price > 0
        else 1.0
    )
    return hurry * fetch + LEFT_S * left + PRICE_S * price, machine.name


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
    found = [machine for machine in sample if tasks_that_fit(machine, need)]
    if found:
        return min(found, key=lambda machine: _score(spec, machine, need, hurry))
    return fitting[0]


def zone_limit(spec: JobSpec) -> int:
    """How many of a job's tasks one zone may hold."""
    return (spec.task_count + 1) // 2 if spec.spread_zones else spec.task_count


def tasks_within_quota(shard: Shard, job_slice: JobSlice, share: tuple[int, int]) -> int:
    """How many more of the slice's tasks the team's share in this part allows."""
    used = shard.usage(job_slice.spec.team)
    n = 1 << 30
    for u, limit, x in zip(used, share, job_slice.resources, strict=False):
        if x > 0:
            n = min(n, (limit - u) // x)
    return max(n, 0)


class ZoneRule:
    """How a job's tasks must lie in one zone, or apart, given those that are placed."""

    def __init__(self, job_slice: JobSlice) -> None:
        self._spec = job_slice.spec
        self.binds = job_slice.spec.single_zone or job_slice.spec.spread_zones
        self._limit = zone_limit(job_slice.spec)
        self._zones: Counter[str] = Counter()
        if self.binds:
            self._zones.update(machine.zone for machine in job_slice.placed_on.values())

    def is_open(self, machine: Machine) -> bool:
        """Whether one more task may lie in a machine's zone."""
        if self._spec.single_zone and self._zones and not self._zones[machine.zone]:
            return False
        return not self._spec.spread_zones or self._zones[machine.zone] < self._limit

    def most(self, machine: Machine, tasks: int) -> int:
        """How many of some tasks may lie in a machine's zone."""
        return (
            min(tasks, self._limit - self._zones[machine.zone])
            if self._spec.spread_zones
            else tasks
        )

    def add(self, machine: Machine, tasks: int) -> None:
        """Tasks were placed on a machine."""
        if self.binds:
            self._zones[machine.zone] += tasks


def place_array(
    shard: Shard,
    job_slice: JobSlice,
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
    spec, need = job_slice.spec, job_slice.resources
    budget = min(tasks_within_quota(shard, job_slice, share), len(job_slice.pending), most)
    if budget <= 0:
        return 0
    fitting = [
        machine
        for machine in free
        if machine.name not in keep
        and may_run_on_machine(spec, machine)
        and tasks_that_fit(machine, need)
    ]
    if not fitting:
        return 0
    # Sampled are all that may be used, also those that are full; a single one needs no sample.
    machines = fitting
    if usable is not free:
        machines = [
            machine
            for machine in usable
            if machine.name not in keep and may_run_on_machine(spec, machine)
        ]
    # Those that are to fall idle are used only when no other has room.
    late: list[Machine] = []
    if drain:
        late = [machine for machine in fitting if machine.name in drain]
        fitting = [machine for machine in fitting if machine.name not in drain]
        machines = [machine for machine in machines if machine.name not in drain]
    zones = ZoneRule(job_slice)
    started = 0
    while budget > 0 and (fitting or late):
        if not fitting:
            machines = fitting = late
            late = []
        options, fits = machines, fitting
        if zones.binds:
            options = [machine for machine in machines if zones.is_open(machine)]
            fits = [machine for machine in fitting if zones.is_open(machine)]
        machine = choose_machine(spec, need, options, fits, rng, hurry)
        if machine is None:
            fitting = []
            continue
        n = zones.most(machine, min(tasks_that_fit(machine, need), budget))
        for _ in range(n):
            shard.launch(machine, job_slice, job_slice.pending.pop(), shard.new_attempt())
        zones.add(machine, n)
        budget -= n
        started += n
        if budget > 0 and not tasks_that_fit(machine, need):
            fitting = [x for x in fitting if x is not machine]
    return started


def assign_gang(
    spec: JobSpec, need: tuple[int, int, int], machines: list[Machine], n: int
) -> list[Machine] | None:
    """Machines for n tasks of a gang, all at once, or None; tightest and cached first."""
    rooms = [(machine, tasks_that_fit(machine, need)) for machine in machines]
    rooms = [(machine, r) for machine, r in rooms if r]
    rooms.sort(key=lambda x: _score(spec, x[0], need))
    zones: list[str | None] = [None]
    if spec.single_zone:
        zones = sorted({machine.zone for machine, _ in rooms})  # type: ignore[assignment]
    limit = zone_limit(spec)
    for zone in zones:
        out: list[Machine] = []
        count: Counter[str] = Counter()
        for machine, r in rooms:
            if zone is not None and machine.zone != zone:
                continue
            k = min(r, n - len(out), limit - count[machine.zone])
            if k > 0:
                out += [machine] * k
                count[machine.zone] += k
            if len(out) == n:
                return out
    return None


def placeable_tasks(shard: Shard, spec: JobSpec, now: float) -> int:
    """How many of a job's tasks this part's machines have room for now."""
    return sum(
        tasks_that_fit(machine, spec.resources)
        for machine in shard.machines.values()
        if machine.is_usable(now) and may_run_on_machine(spec, machine)
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
    shard: Shard,
    job_slice: JobSlice,
    share: tuple[int, int],
    now: float,
    options: Iterable[Machine],
    claimed: Callable[[Machine, str], bool],
) -> int:
    """Launch a whole gang or nothing; machines ``claimed`` for another job are left to it."""
    n = job_slice.size - job_slice.done_count
    if (
        n <= 0
        or job_slice.placed_on
        or len(job_slice.pending) != n
        or tasks_within_quota(shard, job_slice, share) < n
    ):
        return 0
    spec = job_slice.spec
    machines = [
        machine
        for machine in options
        if machine.is_usable(now)
        and may_run_on_machine(spec, machine)
        and not claimed(machine, spec.id)
    ]
    chosen = assign_gang(spec, job_slice.resources, machines, n)
    if chosen is None:
        return 0
    attempt = shard.new_attempt()
    for machine in chosen:
        shard.launch(machine, job_slice, job_slice.pending.pop(), attempt)
    return n
