"""The split record: parts, their owners and terms, and the teams' shares.

Every change is a pure function from one record to the next, which the caller commits under a
guard on the version that it read.
"""

from __future__ import annotations

import msgspec

from marblestair.core.domain.model import down
from marblestair.settings import Team


class ShardRecord(msgspec.Struct, array_like=True):
    """One part: its owner (node and incarnation), its term and its share of each team's limit."""

    owner: str
    incarnation: int
    term: int
    shares: dict[str, list[int]]
    #: term under which the owner took the part; a raise of the term leaves it
    taken: int = 0


class ShardMap(msgspec.Struct, array_like=True):
    """The whole split; ``counter`` is the highest term ever given out."""

    counter: int
    parts: list[ShardRecord]


class MachineRecord(msgspec.Struct, array_like=True):
    """Membership of a machine in a part."""

    part: int
    type: str
    zone: str
    spot: bool
    #: wall-clock time at which it was rented or first seen
    since: float


def even(total: int, n: int) -> list[int]:
    """Split a total into n near-equal whole numbers that add up to it exactly."""
    return [total // n + (1 if i < total % n else 0) for i in range(n)]


def first(parts: int, teams: list[Team]) -> ShardMap:
    """The record of a new deployment: no owners, limits split evenly."""
    records = [ShardRecord("", 0, 0, {}) for _ in range(parts)]
    for t in teams:
        cpus = even(down(t.cpu_limit), parts)
        gpus = even(down(t.gpu_limit), parts)
        for p, c, g in zip(records, cpus, gpus, strict=True):
            p.shares[t.name] = [c, g]
    return ShardMap(0, records)


def copy(split: ShardMap) -> ShardMap:
    """A copy that can be changed."""
    return ShardMap(
        split.counter,
        [
            ShardRecord(
                p.owner, p.incarnation, p.term, {t: list(s) for t, s in p.shares.items()}, p.taken
            )
            for p in split.parts
        ],
    )


def take(split: ShardMap, parts: list[int], owner: str, incarnation: int) -> ShardMap:
    """Give parts to a node, each under a fresh term."""
    out = copy(split)
    for i in parts:
        out.counter += 1
        p = out.parts[i]
        p.owner, p.incarnation, p.term, p.taken = owner, incarnation, out.counter, out.counter
    return out


def raise_term(split: ShardMap, part: int) -> ShardMap:
    """Give a part a fresh term under the same owner."""
    out = copy(split)
    out.counter += 1
    out.parts[part].term = out.counter
    return out


def shift(split: ShardMap, source: int, target: int, team: str, cpus: int, gpus: int) -> ShardMap:
    """Move room under a team's limit from one part to another; the sum stays the same."""
    out = copy(split)
    a, b = out.parts[source].shares[team], out.parts[target].shares[team]
    if not (0 <= cpus <= a[0] and 0 <= gpus <= a[1]):
        raise ValueError("more than the source's share")
    a[0] -= cpus
    a[1] -= gpus
    b[0] += cpus
    b[1] += gpus
    return out
