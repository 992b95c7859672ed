"""What waits in a part and which of it starts next: the order of slices, and their placement."""

from __future__ import annotations

from collections.abc import Container
from typing import TYPE_CHECKING

from marblestair.core.model import GANG
from marblestair.core.part import Machine, Part, Slice
from marblestair.core.placement import place_array, place_gang
from marblestair.core.shares import order_key

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: the largest jobs, too, are to begin within this time of the users' rules; work that has waited
#: for the second as long is helped ahead of everything else
BEGIN_S = 240.0
BOUND_S = 0.4 * BEGIN_S
#: work older than this is not only to begin but to go on
OLD_S = 2 * BEGIN_S
#: share of a team's room for what has waited for so long
OLD_SHARE = 0.25
#: a slice that has not begun gets this part of its tasks at first
FIRST = 16
#: weight of the image's fetch where a job is within its team's guarantee
HURRY = 3.0


class Dispatch:
    """Placement on one node."""

    def __init__(self, c: Controller) -> None:
        self.c = c

    def ordered(self, part: Part) -> list[Slice]:
        """The part's slices with pending tasks, in the order in which they are served."""
        wall, f = self.c.wall, self.c.factor
        waiting = [s for s in part.slices.values() if s.pending.count and not s.cancelled]
        waiting.sort(
            key=lambda s: order_key(
                s.spec,
                s.spec.id in self.c.guaranteed,
                s.spec.id in self.c.fleet.hopeless,
                wall + self.c.lead_s.get(s.spec.cls, 0.0),
                f.get(s.spec.cls, 1.0),
            )
        )
        return waiting

    def place(self, part: Part) -> None:
        now, wall = self.c.now, self.c.wall
        #: share that a gang further ahead waits for: what comes after it leaves that alone
        held: dict[str, list[int]] = {}
        keep, drain = self.c.fleet.reserved.keys(), self.c.fleet.drained
        # Under load most calls find the part full: then there is nothing to go through.
        waiting = [s for s in part.slices.values() if s.pending.count and not s.cancelled]
        if not waiting:
            return
        claims = self.c.preemption.claims
        usable = [m for m in part.machines.values() if m.name not in claims and m.usable(now)]
        least = min(s.need[0] for s in waiting)
        most = max((m.free[0] for m in usable), default=-1)
        if most < least and not any(s.spec.kind == GANG for s in waiting):
            return
        order = self.ordered(part)
        old = [s for s in order if wall - s.spec.at > BOUND_S]
        if old:
            self._help(part, old, usable, keep, drain)
            gangs = [s for s in old if s.spec.kind == GANG]
            order = [*gangs, *(s for s in order if s not in gangs)]
        for s in order:
            if s.suspect or now < s.not_before:
                continue
            if s.spec.kind != GANG and most < s.need[0]:
                continue
            share = self.c.share(part, s.spec.team)
            h = held.get(s.spec.team)
            if h is not None:
                share = (share[0] - h[0], share[1] - h[1])
            if s.spec.kind != GANG:
                hurry = HURRY if s.spec.id in self.c.guaranteed else 1.0
                if place_array(part, s, share, usable, now, self.c.rng, keep, drain, hurry):
                    most = max((m.free[0] for m in usable), default=-1)
            elif place_gang(part, s, share, now, self.c.preemption.claimed):
                self.c.log(
                    "info",
                    f"part {part.number} starts {s.spec.id}: gang of {s.spec.cls},"
                    f" {wall - s.spec.at:.1f} s after it was accepted",
                )
            elif not s.placed:
                n = len(s.pending)
                if h is None:
                    h = held.setdefault(s.spec.team, [0, 0])
                h[0] += n * s.need[0]
                h[1] += n * s.need[1]
                if self.c.fleet.hurried(s.spec):
                    self.c.preemption.clear(part, s, share, True)

    def _help(
        self,
        part: Part,
        old: list[Slice],
        usable: list[Machine],
        keep: Container[str],
        drain: set[str],
    ) -> None:
        """Work that has waited for long is not put off any further: of each team, what has not
        begun gets a first helping, and what is older still a share of the team's room, ahead of
        everything else."""
        held: dict[str, int] = {}
        for s in part.slices.values():
            if s.placed and self.c.wall - s.spec.at > BOUND_S and s.spec.kind != GANG:
                held[s.spec.team] = held.get(s.spec.team, 0) + len(s.placed) * s.need[0]
        begun = {s.spec.id: bool(s.placed or s.done_count) for s in old}
        for s in sorted(old, key=lambda s: (begun[s.spec.id], s.spec.at, s.spec.id)):
            if s.suspect or s.spec.kind == GANG or self.c.now < s.not_before:
                continue
            if begun[s.spec.id] and self.c.wall - s.spec.at < OLD_S:
                continue
            team, share = s.spec.team, self.c.share(part, s.spec.team)
            most = int(OLD_SHARE * share[0]) - held.get(team, 0)
            n = max(most // s.need[0] if s.need[0] else 1, 0 if held.get(team) else 1)
            if not begun[s.spec.id]:
                # Each begins before the oldest is done, if only with a few of its tasks.
                n = max(1, min(n, s.size // FIRST))
            if n > 0:
                n = place_array(part, s, share, usable, self.c.now, self.c.rng, keep, drain, 1.0, n)
                held[team] = held.get(team, 0) + n * s.need[0]
