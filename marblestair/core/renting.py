"""What to rent and what to give back.

A part rents for its own backlog: the tasks that neither what is free nor what is booting can
hold. Machines are chosen by price for the work, counting the boot and the image fetch.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marblestair.core.model import GANG, MachineType
from marblestair.core.part import Machine, Part, Slice
from marblestair.core.placement import allowed

#: boots longer than this many times the usual are given up
BOOT_PATIENCE = 3.0
#: a refused kind of machine is left alone for this many boot times
REFUSED_FOR = 0.5


class Want(msgspec.Struct, frozen=True):
    """A rental to make."""

    type: str
    zone: str
    spot: bool
    count: int


class Kind(msgspec.Struct, frozen=True):
    """A kind of machine that can be rented."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        """Per hour."""
        return self.type.spot_price if self.spot else self.type.price


def fit_count(free: list[int], need: tuple[int, int, int]) -> int:
    """How many such tasks fit into what is free."""
    n = 1 << 30
    for f, x in zip(free, need, strict=True):
        if x > 0:
            n = min(n, f // x)
    return max(n, 0)


def cost(kind: Kind, s: Slice, n: int, spot_risk: float) -> float:
    """Price of running n of the slice's tasks on this kind, per task, boot and fetch included."""
    per = fit_count(list(kind.type.size), s.need)
    if per <= 0:
        return 1e18
    t = kind.type
    fetch = s.spec.image_gb / max(t.fetch_gb_per_s, 1e-6)
    run = max(s.spec.estimate_s, 1.0) * (1.0 + (spot_risk if kind.spot else 0.0))
    machines = -(-n // per)
    # Machines are kept for more work after this, so the boot is spread over several runs.
    seconds = run + fetch + 0.5 * t.boot_s
    return machines * kind.price * seconds / n


def kinds(s: Slice, types: dict[str, MachineType]) -> list[Kind]:
    """Every kind of machine the slice may run on."""
    spec = s.spec
    out = []
    for t in types.values():
        if (spec.types is not None and t.name not in spec.types) or not t.fits(s.need):
            continue
        for z in t.zones:
            if spec.zone is None or spec.zone == z:
                out.append(Kind(t, z, False))
                if spec.spot:
                    out.append(Kind(t, z, True))
    return out


def unmet(
    part: Part, ordered: list[Slice], room: Callable[[Slice], int], now: float
) -> list[tuple[Slice, int]]:
    """Tasks that neither free nor booting machines of the part can hold, by slice."""
    virtual: list[tuple[Machine, list[int]]] = []
    for m in part.machines.values():
        if m.type is None or m.draining or m.condemned or m.releasing or m.silent:
            continue
        if m.notice_at is not None:
            continue
        virtual.append((m, list(m.free)))
    out = []
    budget: dict[str, list[int]] = {}
    for s in ordered:
        n = len(s.pending)
        if not n or s.cancelled or s.stopping_gang or s.errors > 3:
            continue
        left = budget.setdefault(s.spec.team, [room(s)])
        n = min(n, left[0] // max(s.need[0], 1))
        if n <= 0 or (s.spec.kind == GANG and n < len(s.pending)):
            continue
        left[0] -= n * s.need[0]
        for m, free in virtual:
            if n <= 0:
                break
            if not allowed(s.spec, m):
                continue
            k = min(n, fit_count(free, s.need))
            if k > 0:
                n -= k
                for i in range(3):
                    free[i] -= k * s.need[i]
        if n > 0:
            out.append((s, n))
    return out


def choose(
    missing: list[tuple[Slice, int]],
    types: dict[str, MachineType],
    refused: Callable[[Kind], bool],
    most: int,
) -> Want | None:
    """The next rental for the first slice that any kind can serve."""
    for s, n in missing:
        options = [k for k in kinds(s, types) if not refused(k)]
        if not options:
            continue
        best = min(options, key=lambda k: (cost(k, s, n, 0.2), k.type.boot_s, k.zone))
        per = fit_count(list(best.type.size), s.need)
        return Want(best.type.name, best.zone, best.spot, max(1, min(-(-n // per), most)))
    return None


def broken(part: Part, lease_s: float, now: float) -> list[Machine]:
    """Machines to give back because they do not serve: never up, silent, condemned, faulty."""
    out = []
    for m in part.machines.values():
        if m.releasing:
            continue
        boot = m.type.boot_s if m.type is not None else lease_s * 3
        late = not m.session and now - m.added > BOOT_PATIENCE * boot + lease_s
        lost = m.silent and m.session and now - max(m.seen, part.since) > 1.5 * lease_s
        faulty = m.errors >= 3 and not m.placed
        if late or lost or m.condemned or faulty:
            out.append(m)
    return out
