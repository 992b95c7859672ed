"""Making room: which work is stopped so that a hurried gang can start.

A gang claims the machines that are cleared for it, so that arrays do not fill them again bit by
bit while the rest is still being stopped, and so that two gangs never wait for the same machine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.model import PRIORITIES, JobSpec
from marblestair.core.part import Machine, Part, Placed, Slice
from marblestair.core.placement import Room, allowed, room

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: a claim lapses after this many report intervals: what was to be stopped has not gone
CLAIM_REPORTS = 6.0


class Preemption:
    """Claims of machines on one node, and the choice of what is stopped."""

    def __init__(self, c: Controller) -> None:
        self.c = c
        #: machine -> job that it is cleared for, and until when
        self.claims: dict[str, tuple[str, float]] = {}

    def claimed(self, m: Machine, job: str = "") -> bool:
        """Whether a machine is being cleared, or set aside by the plan, for another job."""
        claim = self.claims.get(m.name)
        if claim is not None:
            return claim[0] != job
        kept = self.c.fleet.reserved.get(m.name, "")
        return kept not in ("", job) and kept in self.c.view.jobs

    def tick(self) -> None:
        """Drop claims of jobs that have started or gone, and those that have lapsed."""
        c = self.c
        for name, (job, until) in list(self.claims.items()):
            waits = any(
                name in p.machines and (s := p.slices.get(job)) is not None and not s.placed
                for p in c.parts.values()
            )
            if not waits or c.now > until:
                del self.claims[name]

    def _victims(self, part: Part, m: Machine, level: int) -> list[Placed]:
        """What may be stopped on a machine for work of a priority."""
        out = []
        for p in m.placed.values():
            s = part.slices.get(p.job)
            if s is None or PRIORITIES[s.spec.priority] < level:
                out.append(p)
        return out

    def _without(self, m: Machine, victims: list[Placed], need: tuple[int, int, int]) -> int:
        """How many tasks fit once the victims are gone."""
        n = 1 << 30
        for i in range(3):
            if need[i] > 0:
                n = min(n, (m.free[i] + sum(p.need[i] for p in victims)) // need[i])
        return max(0, n)

    def _of_team(
        self, part: Part, s: Slice, lack: int, besides: list[Placed]
    ) -> list[Placed] | None:
        """Tasks of the gang's own team whose end frees that much of the team's share here, latest
        started first, those that are being stopped ahead of all; None when there are not enough."""
        if lack <= 0:
            return []
        level, now = PRIORITIES[s.spec.priority], self.c.now
        found: list[tuple[float, Placed]] = []
        for other in part.slices.values():
            if other.spec.team != s.spec.team or PRIORITIES[other.spec.priority] >= level:
                continue
            for i, m in other.placed.items():
                p = m.placed.get((other.spec.id, i))
                if p is not None and p not in besides:
                    ran = now - p.run_since if p.run_since is not None else 0.0
                    found.append((ran if p.grace is None else -1.0, p))
        out = []
        for _, p in sorted(found, key=lambda x: x[0]):
            if lack <= 0:
                break
            out.append(p)
            lack -= p.need[0]
        return None if lack > 0 else out

    def clear(self, part: Part, s: Slice, share: tuple[int, int], act: bool) -> bool:
        """Whether the gang can have its machines here by stopping work of lower priority, least
        lost work first, and work of its own team where the team's share is what it lacks; with
        ``act`` the machines are claimed and the work is stopped."""
        c = self.c
        now, job, n = c.now, s.spec.id, len(s.pending)
        if any(claim[0] == job for claim in self.claims.values()):
            return True
        level = PRIORITIES[s.spec.priority]
        options: list[tuple[float, str, int, list[Placed]]] = []
        for m in part.machines.values():
            if not m.usable(now) or self.claimed(m, job) or not allowed(s.spec, m):
                continue
            free = room(m, s.need)
            if free:
                options.append((0.0, m.name, free, []))
                continue
            victims = self._victims(part, m, level)
            fits = self._without(m, victims, s.need)
            if not fits or any(p.grace is not None for p in m.placed.values()):
                continue
            lost = sum(p.need[0] * (now - p.run_since) for p in victims if p.run_since is not None)
            options.append((lost / fits, m.name, fits, victims))
        chosen = []
        for _, name, fits, victims in sorted(options, key=lambda x: x[:2]):
            if n <= 0:
                break
            chosen.append((name, victims))
            n -= fits
        if n > 0:
            return False
        stopped = [p for _, victims in chosen for p in victims]
        # What the share lacks, less what the victims free of it.
        lack = len(s.pending) * s.need[0] - (share[0] - part.usage(s.spec.team)[0])
        lack -= sum(p.need[0] for p in stopped if p.team == s.spec.team)
        own = self._of_team(part, s, lack, stopped)
        if own is None:
            return False
        if act:
            part.stop(own, "preempted")
            until = now + CLAIM_REPORTS * c.settings.cluster.workers.report_s
            for name, victims in chosen:
                self.claims[name] = (job, until)
                part.stop(victims, "preempted")
        return True

    def told(self, part: Part) -> list[Room]:
        """Room that a hurried class could have here by stopping lower-priority work."""
        c = self.c
        coming: list[JobSpec] = [k.spec for k in c.fleet.classes.values() if k.hurry]
        if not coming:
            return []
        level = max(PRIORITIES[x.priority] for x in coming)
        out: list[Room] = []
        for m in part.machines.values():
            if not m.placed or not m.usable(c.now) or self.claimed(m):
                continue
            if not any(allowed(x, m) for x in coming):
                continue
            victims = self._victims(part, m, level)
            if not victims or any(p.grace is not None for p in m.placed.values()):
                continue
            free = [m.free[i] + sum(p.need[i] for p in victims) for i in range(3)]
            if any(all(f >= x for f, x in zip(free, k.need, strict=True)) for k in coming):
                out.append((m.type_name, m.zone, m.spot, free[0], free[1], free[2]))
        return out
