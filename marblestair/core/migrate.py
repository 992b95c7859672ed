"""Migration of unstarted slices between parts: the paper's Algorithms 1, 2 and 4.

The source drops the task numbers first, then asks the job's ServerManager for the shared and the
short-term lock in one call, reports the change of ActiveServers (``stay`` or ``log_off``), tells
the target, and releases the shared lock. The manager commits the change of the record before it
answers, so the target starts nothing that the record does not give it. Without an answer the task
numbers belong to nobody here until the record has been read back.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core import keys
from marblestair.core.calls import FINAL, SPLIT, Commit, PeerCall, Put, Sleep, StateResult
from marblestair.core.flow import Flow, Step
from marblestair.core.manager import LOG_OFF, STAY
from marblestair.core.model import GANG, RECORD, JobSpec, too_large
from marblestair.core.part import Machine, Part, Slice
from marblestair.core.placement import Room, allowed, gang_fits, place_room, room, rooms_for
from marblestair.core.ranges import Ranges
from marblestair.core.split import raise_term

if TYPE_CHECKING:
    from marblestair.core.controller import Controller
    from marblestair.core.messages import Gossip

#: a migration's locks are given up when its source has not come back for this share of a lease
LOCK_RATIO = 0.5
#: migrations under way at once, per node
MOST = 4


def reserve(g: Gossip, spec: JobSpec, n: int) -> None:
    """What is on its way to a part is not free there any more."""
    need = spec.need
    share = g.shares.get(spec.team, [0, 0])
    for i in range(2):
        share[i] -= n * need[i]
    for rooms in (g.rooms, g.held):
        for k, told in enumerate(rooms):
            if n <= 0:
                return
            take = min(n, sum(rooms_for(spec, need, [told]).values()))
            if take > 0:
                n -= take
                free = [f - take * x for f, x in zip(told[3:], need, strict=True)]
                rooms[k] = (told[0], told[1], told[2], free[0], free[1], free[2])


def _fits(
    known: dict[tuple[Any, ...], int], g: Gossip, spec: JobSpec, need: tuple[int, int, int]
) -> int:
    """How many tasks fit into a part's told rooms, counted once per shape of task."""
    types = None if spec.types is None else tuple(spec.types)
    shape = (g.part, types, spec.zone, spec.spot, need)
    n = known.get(shape)
    if n is None:
        n = known[shape] = sum(rooms_for(spec, need, g.rooms).values())
    return n


def _fits_whole(
    known: dict[tuple[Any, ...], int], g: Gossip, spec: JobSpec, rooms: list[Room], n: int
) -> bool:
    """Whether a job's tasks fit together into a part's told rooms, counted once per shape."""
    types = None if spec.types is None else tuple(spec.types)
    how = (spec.one_zone, spec.spread, spec.tasks, len(rooms) > len(g.rooms))
    shape = (g.part, types, spec.zone, spec.spot, spec.need, n, how)
    fits = known.get(shape)
    if fits is None:
        fits = known[shape] = int(gang_fits(spec, spec.need, rooms, n))
    return bool(fits)


class Migrations:
    """Both sides of migrations on one node."""

    def __init__(self, c: Controller) -> None:
        self.c = c
        self.under_way = 0
        self.done = 0
        self._count = 0
        self._moving = False
        #: manager side: (job, holder) -> when the lock was given
        self._held: dict[tuple[str, Hashable], float] = {}

    # --- source ----------------------------------------------------------------------------

    def start(self, part: Part, s: Slice, ranges: list[list[int]], target: int) -> bool:
        """Begin to migrate pending tasks of a slice, unless too much is under way."""
        if self.under_way >= MOST or s.leaving or s.cancelled or s.suspect:
            return False
        for a, b in ranges:
            for i in range(a, b):
                if not s.pending.discard(i):
                    raise ValueError("only pending tasks migrate")
        self.under_way += 1
        self._count += 1
        holder = f"{self.c.node}-{self.c.incarnation}-{self._count}"
        s.leaving = [list(r) for r in ranges]
        s.leaving_by = holder
        self.c.spawn(self._migrate(part, s, target, holder))
        return True

    def look(self, part: Part) -> None:
        """Find room elsewhere for what cannot start here."""
        c = self.c
        split = c.view.split
        if split is None or part.suspects:
            return
        others = [
            g
            for i, (t, g) in sorted(c.gossip.items())
            if i != part.number
            and c.now - t < 1.5
            and i < len(split.parts)
            and g.term == split.parts[i].term
        ]
        if not others:
            return
        #: how many tasks of a shape a part has room for: many jobs have the same shape
        known: dict[tuple[Any, ...], int] = {}
        survey = c.preemption.survey(part)
        #: team -> whether its share here is not all in use
        spare: dict[str, bool] = {}
        #: team -> the most that another part has left of its share
        left: dict[str, int] = {}
        for g in others:
            for team, free in g.shares.items():
                left[team] = max(left.get(team, 0), free[0])
        for s in c.dispatch.ordered(part):
            if self.under_way >= MOST:
                return
            spec, need = s.spec, s.need
            whole = spec.kind == GANG or spec.one_zone or spec.spread
            if s.suspect or s.leaving or s.stopping_gang or c.faults.is_suspected(spec.id):
                continue
            if c.now - s.waiting_since < 0.3 or (whole and (s.placed or s.done_count)):
                continue
            hurried = spec.kind == GANG and c.fleet.hurried(spec)
            if hurried:
                share = c.share(part, spec.team)
                if c.preemption.clear(part, s, share, False, survey):
                    continue
            best, most = None, 0
            for g in others if left.get(spec.team, 0) >= need[0] else ():
                rooms = g.rooms + g.held if hurried else g.rooms
                room = g.shares.get(spec.team, [0, 0])
                n = len(s.pending)
                for have, x in zip(room, need, strict=False):
                    if x > 0:
                        n = min(n, have // x)
                if whole:
                    if n < len(s.pending) or not _fits_whole(known, g, spec, rooms, n):
                        continue
                elif n > 0:
                    n = min(n, _fits(known, g, spec, need))
                if n > most:
                    best, most = g, n
            if best is None:
                team = spec.team
                if team not in spare:
                    used, share = part.usage(team), c.share(part, team)
                    spare[team] = any(u < x for u, x in zip(used, share, strict=True))
                if spare[team] and not c.lowered:
                    self._send_room(part, s, others, whole, known)
                continue
            ranges = s.pending.tail(most)
            if self.start(part, s, ranges, best.part):
                reserve(best, spec, most)
                known.clear()

    def _send_room(
        self,
        part: Part,
        s: Slice,
        others: list[Gossip],
        whole: bool,
        known: dict[tuple[Any, ...], int],
    ) -> None:
        """Send share to a part whose machines have room for the team's tasks.

        The tasks follow by migration. Room under the limit that no machine here can use
        would else be lost to the team.
        """
        c = self.c
        team, need = s.spec.team, s.need
        if c.lowered:
            return
        used, share = part.usage(team), c.share(part, team)
        if not any(u < x for u, x in zip(used, share, strict=True)):
            return
        if s.spec.kind != GANG:
            share = (share[0] - c.share_moves.largest_gang(part, team), share[1])
            if share[0] <= used[0]:
                return
        here = -1
        for g in others:
            fits = _fits(known, g, s.spec, need)
            if fits <= 0:
                continue
            if here < 0:
                here = place_room(part, s.spec, c.now)
            if whole and not _fits_whole(known, g, s.spec, g.rooms, len(s.pending)):
                continue
            n = min(fits, len(s.pending) - here)
            there = g.shares.get(team, [0, 0])
            give = [max(0, min(share[i] - used[i], n * need[i] - there[i])) for i in range(2)]
            if n > 0 and any(give):
                c.lowered[(part.number, team)] = give
                c.spawn(c.share_moves.give_room(part, g.part, team, give))
                return

    # --- machines --------------------------------------------------------------------------

    def homeless(self, part: Part, s: Slice) -> bool:
        """Whether tasks that must start together have waited here for room in vain."""
        whole = s.spec.kind == GANG or s.spec.one_zone or s.spec.spread
        waited = self.c.now - s.waiting_since > 1.5 * self.c.settings.cluster.workers.report_s
        if self.c.faults.is_suspected(s.spec.id):
            return False
        return whole and waited and not (s.placed or s.leaving or s.suspect or s.cancelled)

    def lend(self, part: Part) -> None:
        """Move an idle machine into the part of a gang that fits into no part as it is."""
        c = self.c
        split = c.view.split
        if self._moving or split is None or part.suspects:
            return
        empty = [m for m in part.machines.values() if not m.placed and m.usable(c.now)]
        if not empty:
            return
        own = [s.spec for s in c.dispatch.ordered(part) if self.homeless(part, s)]
        first = min(((x.at, x.id) for x in own), default=(float("inf"), ""))
        for i, (t, g) in sorted(c.gossip.items()):
            if i == part.number or c.now - t > 2.0 or g.term != split.parts[i].term:
                continue
            for job in g.needs:
                rec = c.view.jobs.get(job)
                if rec is None or rec.cancelled or (rec.spec.at, rec.spec.id) > first:
                    continue
                move = self._idle_for(empty, rec.spec, g)
                if move:
                    self._moving = True
                    for m in move:
                        m.draining = True
                    c.spawn(self._move(part, move, i))
                    return

    def _idle_for(self, empty: list[Machine], spec: JobSpec, g: Gossip) -> list[Machine]:
        """Choose idle machines here that help a job in another part, if that is what it lacks.

        Those that the plan sets aside for it, else one that is set aside for nobody.
        """
        c, need = self.c, spec.need
        idle = [m for m in empty if allowed(spec, m) and room(m, need)]
        aside = [m for m in idle if c.fleet.reserved.get(m.name) == spec.id]
        if aside:
            return aside[: max(1, c.settings.cluster.state.txn_ops - 1)]
        idle = [m for m in idle if not c.preemption.claimed(m, spec.id)]
        if spec.one_zone and idle:
            # All in the zone where most room can be brought together.
            zones = rooms_for(spec, need, g.rooms)
            for _, other in c.gossip.values():
                if other.part != g.part:
                    zones += rooms_for(spec, need, other.rooms)
            best = min(zones, key=lambda z: (-zones[z], z), default="")
            idle = [m for m in idle if m.zone == best]
        if not idle or gang_fits(spec, need, g.rooms, spec.tasks):
            return []
        return [min(idle, key=lambda m: (m.type.price if m.type else 0.0, m.name))]

    def _move(self, part: Part, machines: list[Machine], target: int) -> Flow:
        """Move idle and settled machines to another part.

        The source drops them first, and the target's term rises in the same commit, so that
        the tokens a machine sees only grow.
        """
        c = self.c
        doubt, tries = -1, 0
        try:
            while c.parts.get(part.number) is part:
                split = c.view.split
                here = [
                    m
                    for m in machines
                    if part.machines.get(m.name) is m and not m.placed and m.name in c.view.machines
                ]
                if split is None or not here:
                    return
                version = c.view.version(keys.SPLIT)
                if doubt >= 0 and doubt != version:
                    # Whatever was sent is applied, or cannot be any more.
                    for m in machines:
                        yield from c.authority.refresh_machine(keys.MACHINES + m.name)
                    return
                tries += 1
                if doubt < 0 and (tries > 4 or not c.acts(part.number)):
                    return
                puts = [Put(keys.SPLIT, raise_term(split, target))]
                guards = [(keys.SPLIT, version), c.fence(part.number)]
                for m in here:
                    key = keys.MACHINES + m.name
                    rec = c.view.machines[m.name]
                    puts.append(Put(key, msgspec.structs.replace(rec, part=target)))
                    guards.append((key, c.view.version(key)))
                commit = Commit(guards, puts, [], SPLIT)
                r: StateResult = yield commit
                if r.status == 200:
                    c.view.committed(commit, r.rev)
                    c.sync()
                    return
                if r.status == 0:
                    doubt = version
                if r.status in (0, 409):
                    yield from c.authority.refresh_split()
                yield Sleep(0.1 + 0.2 * c.rng.random())
        finally:
            for m in machines:
                m.draining = False
            self._moving = False

    def _ask(self, job: str, tag: str, args: list[Any]) -> Step:
        """Ask the job's ServerManager, wherever it is."""
        c = self.c
        rec = c.view.jobs.get(job)
        owner = c.owner(rec.manager) if rec is not None else None
        if owner == c.node:
            return (yield from self.answer(tag, args))
        if owner is None:
            return None
        return (yield PeerCall(owner, tag, args, 1.5))

    def _migrate(self, part: Part, s: Slice, target: int, holder: str) -> Flow:
        job = s.spec.id
        try:
            locked = False
            for _ in range(8):
                locked = (yield from self._ask(job, "lock", [job, holder])) is True
                if locked or s.cancelled or part.slices.get(job) is not s:
                    break
                yield Sleep(0.1)
            if not locked:
                self._restore(part, s, holder)
                yield from self._ask(job, "release", [job, holder])
                return
            if not s.leaving or s.leaving_by != holder:
                # The record no longer gives them to this part.
                yield from self._ask(job, "release", [job, holder])
                return
            left = Ranges(s.ranges)
            for a, b in s.leaving:
                for i in range(a, b):
                    left.discard(i)
            option = STAY if len(left) else LOG_OFF
            args = [job, holder, part.number, part.term, option, target, s.leaving]
            got = yield from self._ask(job, "update", args)
            if got is False:
                self._restore(part, s, holder)
                yield from self._ask(job, "release", [job, holder])
                return
            if isinstance(got, list):
                self.done += 1
                yield from self._hand_on(job, target, int(got[0]))
            yield from self._settle(part, s, holder)
        finally:
            self.under_way -= 1

    def _hand_on(self, job: str, target: int, version: int) -> Step:
        """Tell the target of a migration.

        It names the last change entry that it knows of the job, and gets only later ones
        (Algorithm 4).
        """
        c = self.c
        owner = c.owner(target)
        if owner is None or owner == c.node:
            return
        known = yield PeerCall(owner, "arrive", [job, version], 0.5)
        rec = c.view.jobs.get(job)
        if isinstance(known, int) and rec is not None and len(rec.changes) > known:
            later = [job, known, rec.changes[known:], c.view.version(keys.JOBS + job)]
            yield PeerCall(owner, "entries", later, 0.5)

    def _settle(self, part: Part, s: Slice, holder: str) -> Step:
        """Wait until the record shows what became of the task numbers that were dropped.

        They may be pending here again only once the manager has given the holder's locks up, so
        that an update that is still on its way will be refused, and only after the record has
        been read afresh.
        """
        c = self.c
        job = s.spec.id
        released = False
        while True:
            released = (yield from self._ask(job, "release", [job, holder])) is True
            here = c.parts.get(part.number) is part and part.slices.get(job) is s
            # Once this migration is settled, the slice may be in the middle of the next one,
            # whose dropped numbers are not this one's to restore.
            if not here or not s.leaving or s.leaving_by != holder:
                if released or not here:
                    return
            elif released and (yield from c.answers.refresh(job)):
                self._restore(part, s, holder)
                return
            if job not in c.view.jobs:
                return
            yield Sleep(0.2)

    def _restore(self, part: Part, s: Slice, holder: str) -> None:
        """The task numbers that were dropped and are still this part's are pending again."""
        if s.leaving_by != holder:
            return
        leaving, s.leaving = s.leaving, []
        if s.cancelled or part.slices.get(s.spec.id) is not s:
            return
        for a, b in leaving:
            for i in range(a, b):
                if s.holds(i) and i not in s.placed and not (s.done >> i) & 1:
                    s.pending.add(i, i + 1)

    # --- manager ---------------------------------------------------------------------------

    def answer(self, tag: str, args: list[Any]) -> Step:
        """A question to the ServerManager: lock, update or release."""
        c = self.c
        job = str(args[0])
        mj = c.jobs.managed.get(job)
        rec = c.view.jobs.get(job)
        if mj is None or rec is None or not c.acts(mj.part):
            return None
        holder = str(args[1])
        if tag == "lock":
            if c.cancels.known(job) or mj.want_cancel or not mj.locks.request_migration(holder):
                return False
            self._held[(job, holder)] = c.now
            return True
        if tag == "release":
            if mj.moving or mj.doubt:
                return False
            self._held.pop((job, holder), None)
            mj.locks.release_shared(holder)
            return True
        return (yield from self._update(job, holder, args))

    def _update(self, job: str, holder: str, args: list[Any]) -> Step:
        """Algorithm 2, made durable: False when nothing was and will be changed."""
        c = self.c
        mj = c.jobs.managed[job]
        source, term, option, target = int(args[2]), int(args[3]), str(args[4]), int(args[5])
        ranges = [[int(a), int(b)] for a, b in args[6]]
        split = c.view.split
        rec = c.view.jobs[job]
        if mj.locks.short != holder or split is None or split.parts[source].term != term:
            return False
        if source == target or not ranges:
            return False
        held = Ranges(rec.slices.get(str(source), []))
        for a, b in ranges:
            for i in range(a, b):
                if not held.discard(i):
                    return False
        given = Ranges(rec.slices.get(str(target), []))
        for a, b in ranges:
            given.add(a, b)
        slices = {p: r for p, r in rec.slices.items() if int(p) != source}
        slices[str(target)] = [list(r) for r in given.items]
        if held.items:
            slices[str(source)] = [list(r) for r in held.items]
        complete = [p for p in rec.complete if p not in (source, target)]
        new = msgspec.structs.replace(rec, slices=slices, complete=complete)
        if too_large(new, c.settings.cluster.state.value_kb, RECORD):
            # So many small ranges would outgrow the record; the source keeps its tasks.
            return False
        key = keys.JOBS + job
        version = c.view.version(key)
        # The source's fence too: were the part taken over meanwhile, its new owner may have
        # started what an update still on its way would give to another part.
        guards = [(key, version), c.fence(mj.part)]
        if source != mj.part:
            guards.append(c.fence(source))
        mj.moving = True
        result: Any = False
        tries = 0
        try:
            while c.jobs.managed.get(job) is mj and c.acts(mj.part):
                commit = Commit(guards, [Put(key, new)], [], FINAL)
                tries += 1
                r: StateResult = yield from mj.change(commit)
                if r.status == 200:
                    c.view.committed(commit, r.rev)
                    mj.locks.update(holder, source, option, target)
                    mj.reports.pop(source, None)
                    mj.reports.pop(target, None)
                    c.sync()
                    return [r.rev]
                if r.status == 409:
                    if (yield from c.answers.refresh(job)):
                        mj.doubt = False
                        now = c.view.jobs.get(job)
                        if now is not None and now.slices == slices:
                            mj.locks.update(holder, source, option, target)
                            return [c.view.version(key)]
                        return False
                elif r.status == 0:
                    result = None
                elif not mj.doubt and tries > 3:
                    return False
                yield Sleep(0.1 + 0.2 * c.rng.random())
            return result
        finally:
            mj.moving = False

    def tick(self) -> None:
        """Give up the locks of sources that have not come back."""
        c = self.c
        limit = LOCK_RATIO * c.settings.cluster.workers.lease_s
        for (job, holder), since in list(self._held.items()):
            mj = c.jobs.managed.get(job)
            if mj is None or (c.now - since > limit and not mj.moving):
                del self._held[(job, holder)]
                if mj is not None:
                    mj.locks.release_shared(holder)
