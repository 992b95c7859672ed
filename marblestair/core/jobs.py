"""Jobs across parts: acceptance, queries, cancels, ends, and the slices' handovers.

The owner of a job's manager part runs its ServerManager. It alone changes the job's record, and
it alone gives answers that are not final, so that no user is given an older answer than before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core import controller as api
from marblestair.core import keys, split
from marblestair.core.admission import Stage
from marblestair.core.answers import FINAL_STATES, UNKNOWN, JobState, JobStatus
from marblestair.core.calls import (
    ACCEPT,
    FINAL,
    Commit,
    PeerCall,
    Put,
    Sleep,
    StateResult,
)
from marblestair.core.flow import Flow, Step
from marblestair.core.managed import ManagedJob, PartReport
from marblestair.core.migrate import reserve
from marblestair.core.model import DESCRIPTION, GANG, JobRecord, JobSpec, too_large
from marblestair.core.part import Part
from marblestair.core.placement import gang_fits
from marblestair.core.shares import refusal

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: time for another controller to answer a cancel, within the 5 s that a user waits; what is left
#: of them is for the state service
CANCEL_PEER_S = 2.5
#: time for which what an owner told of its part is recent enough to accept jobs into it
GOSSIP_FRESH_S = 4.0
#: time for the owners of slices to apply a cancel that is entered by way of the record
SETTLE_S = 1.0


class Jobs:
    """All jobs, as far as this node answers for them."""

    def __init__(self, c: Controller) -> None:
        self.c = c
        self.managed: dict[str, ManagedJob] = {}
        self._told: dict[tuple[int, str], tuple[float, list[Any]]] = {}
        limits = c.settings.cluster.state
        n = len(c.settings.nodes)
        # Submissions under way at once: about a second's worth of this node's writes.
        per_second = max(1.0, limits.write_rps / n / 2)
        self.stage = Stage(max(2, round(per_second)), per_second)

    # --- users -----------------------------------------------------------------------------

    def submit(self, request: int, spec: JobSpec) -> Flow:
        """POST of a job."""
        reply = yield from self._submit(spec)
        self._reply(request, spec.id, *reply)

    def _submit(self, spec: JobSpec) -> Step:
        c = self.c
        job = spec.id
        if job in c.answers.finals or job in c.view.jobs:
            return (yield from self._known(job))
        if not c.types:
            return 503, UNKNOWN, "machine types are not known yet", 1
        reason = refusal(spec, c.teams, list(c.types.values()))
        value_kb = c.settings.cluster.state.value_kb
        if reason is None and too_large(JobRecord(spec, 0, {}, []), value_kb, DESCRIPTION):
            reason = "the description is larger than what can be kept"
        if reason is not None:
            state = yield from c.answers.lookup(job)
            if state is None:
                return 503, UNKNOWN, "state service unavailable", 1
            if state == UNKNOWN:
                c.log("info", f"refused {job} of {spec.cls} for {spec.team}: {reason}")
                return 422, UNKNOWN, reason, 0
            return 200, state, "", 0
        manager = self._manager_part()
        if manager is None:
            return 503, UNKNOWN, "no part to accept into", 2
        if not self.stage.enter():
            return 429, UNKNOWN, "too many submissions", self.stage.retry_after()
        try:
            return (yield from self._accept(spec, manager))
        finally:
            self.stage.leave()

    def _manager_part(self) -> int | None:
        """Choose the part whose owner is to run a new job's ServerManager.

        It is one that this node acts for or, where it has none, one whose owner was heard
        just now. A job is accepted by the commit of its record, which needs no authority
        over the part; its owner finds the record by its watch.
        """
        c = self.c
        numbers = [part.number for part in c.acting()]
        if not numbers and c.authority.holds(c.now) and c.view.split is not None:
            numbers = [i for i, p in enumerate(c.view.split.parts) if self._is_heard(i, p.term)]
        return numbers[c.rng.randrange(len(numbers))] if numbers else None

    def _is_heard(self, number: int, term: int) -> bool:
        """Whether a part's present owner has told of it within the last seconds."""
        told_at, gossip = self.c.gossip.get(number, (-1e9, None))
        fresh = self.c.now - told_at <= GOSSIP_FRESH_S
        return gossip is not None and fresh and gossip.term == term

    def _known(self, job: str) -> Step:
        state = yield from self.c.answers.lookup(job)
        if state is None:
            return 503, UNKNOWN, "state not available", 1
        if state == UNKNOWN:
            return 503, UNKNOWN, "state not available", 1
        return 200, state, "", 0

    def _accept(self, spec: JobSpec, manager: int) -> Step:
        c = self.c
        job = spec.id
        rec = JobRecord(
            msgspec.structs.replace(spec, at=round(c.wall, 3)),
            manager,
            self._assign(spec, manager),
            [],
        )
        key = keys.JOBS + job
        for _ in range(3):
            if not c.authority.holds(c.now):
                return 503, UNKNOWN, "no authority", 1
            guards = [(key, 0), (keys.FINALS + job, 0), c.fence(manager)]
            commit = Commit(guards, [Put(key, rec)], [], ACCEPT)
            r: StateResult = yield commit
            if r.status == 200:
                c.view.committed(commit, r.rev)
                c.sync()
                parts = {p: sum(b - a for a, b in r) for p, r in rec.slices.items()}
                c.log(
                    "info",
                    f"accepted {job}: {spec.kind} of {spec.cls} for {spec.team}, tasks by part"
                    f" {parts}{', within its guarantee' if job in c.guaranteed else ''}",
                )
                return 201, JobStatus(JobState.QUEUED, 0, 0), "", 0
            if r.status in (0, 409):
                # Perhaps an earlier try of ours, or of the user by way of another node.
                state = yield from c.answers.fresh(job)
                if state is None:
                    break
                if state != UNKNOWN:
                    return 200, state, "", 0
                continue
            if r.status == 400:
                return 503, UNKNOWN, "not accepted", 5
            break
        return 503, UNKNOWN, "state service unavailable", 1

    def _assign(self, spec: JobSpec, manager: int) -> dict[str, list[list[int]]]:
        """Which part gets which slice at first; unstarted ones can migrate later."""
        c = self.c
        s = c.view.split
        assert s is not None
        load: dict[int, float] = {}
        for i, p in enumerate(s.parts):
            if i != manager and not self._is_heard(i, p.term):
                continue
            g = c.gossip[i][1] if i in c.gossip else None
            load[i] = (g.backlog - sum(r[3] for r in g.rooms)) if g is not None else 0.0
        unit = spec.tasks if spec.kind == GANG else 1
        need = spec.need
        able = [
            i
            for i in load
            if s.parts[i].shares.get(spec.team, [0, 0])[0] >= unit * need[0]
            and s.parts[i].shares.get(spec.team, [0, 0])[1] >= unit * need[1]
        ] or [manager]
        whole = spec.kind == GANG or spec.one_zone or spec.spread
        if whole or spec.tasks < 2 * len(able):
            n = spec.tasks if whole else 1
            told = {i: c.gossip[i][1] for i in able if i in c.gossip}
            fitting = [i for i, g in told.items() if gang_fits(spec, need, g.rooms, n)]
            if not fitting and c.fleet.hurried(spec):
                # Else where it may stop what runs there.
                fitting = [i for i, g in told.items() if gang_fits(spec, need, g.rooms + g.held, n)]
            able = fitting or able
            best = min(able, key=lambda i: (load[i], i != manager, i))
            if best in told and spec.kind == GANG:
                # Several that come at once are not all sent to the same machine.
                reserve(told[best], spec, n)
            return {str(best): [[0, spec.tasks]]}
        out: dict[str, list[list[int]]] = {}
        at = 0
        for i, n in zip(sorted(able), split.even(spec.tasks, len(able)), strict=True):
            out[str(i)] = [[at, at + n]]
            at += n
        return out

    def query(self, request: int, job: str) -> Flow:
        """GET of a job."""
        state = yield from self.c.answers.lookup(job)
        if state is None:
            self._reply(request, job, 503, UNKNOWN, "state not available", 1)
        elif state == UNKNOWN:
            self._reply(request, job, 404, UNKNOWN, "no such job", 0)
        else:
            self._reply(request, job, 200, state, "", 0)

    def cancel(self, request: int, job: str) -> Flow:
        """POST of a cancel."""
        c = self.c
        final: JobState | None = None
        if job not in c.answers.finals and job not in c.view.jobs:
            yield from c.answers.read(job)
        if job in c.answers.finals:
            final = c.answers.finals[job]
        elif c.cut_off():
            final = None
        elif job in c.view.jobs:
            final = yield from self._cancel_live(job)
        else:
            status = yield from c.answers.lookup(job)
            if status == UNKNOWN:
                self._reply(request, job, 404, UNKNOWN, "no such job", 0)
                return
            if status is not None and status.is_final:
                final = status.state
        if final is None:
            self._reply(request, job, 503, UNKNOWN, "not cancelled yet", 1)
        else:
            self._reply(request, job, 200, JobStatus(final), "", 0)

    def _cancel_live(self, job: str) -> Step:
        """Have a job cancelled whose record is in the view: its final state, or None for now."""
        c = self.c
        owner = c.owner(c.view.jobs[job].manager)
        got: Any = None
        if owner == c.node:
            got = yield from self.cancel_here(job)
        elif owner is not None:
            got = yield PeerCall(owner, "cancel", [job], CANCEL_PEER_S)
        if got in FINAL_STATES:
            return JobState(got)
        if owner == c.node:
            return None
        # The manager is not heard, or cannot write: by way of the record.
        if not c.cancels.known(job):
            yield from c.cancels.enter(job)
        if (yield from c.cancels.settle(job, SETTLE_S)):
            return JobState.CANCELLED
        return c.answers.finals.get(job)

    def _reply(
        self, request: int, job: str, status: int, told: JobStatus, error: str, retry: int
    ) -> None:
        self.c.replies.append(
            api.Reply(request, status, job, told.state, told.done, told.running, error, retry)
        )

    # --- the manager -----------------------------------------------------------------------

    def parts_changed(self) -> None:
        """Ownership moved: run the managers of the parts that are here, drop the others."""
        c = self.c
        for job, rec in c.view.jobs.items():
            self._manage(job, rec)
        for job in [j for j, m in self.managed.items() if m.part not in c.parts]:
            del self.managed[job]
        self._told.clear()

    def _manage(self, job: str, rec: JobRecord) -> None:
        part = self.c.parts.get(rec.manager)
        if part is not None and part.ready and job not in self.managed:
            self.managed[job] = ManagedJob(job, rec)

    def changed(self, job: str) -> None:
        """A job's record changed in the view."""
        rec = self.c.view.jobs.get(job)
        if rec is None:
            self.managed.pop(job, None)
            return
        self._manage(job, rec)

    def told(self, args: list[Any]) -> None:
        """A part's owner tells of its slices."""
        for raw in args:
            self._take_report(msgspec.convert(raw, PartReport))

    def _take_report(self, r: PartReport) -> None:
        s = self.c.view.split
        mj = self.managed.get(r.job)
        # Only the present owner's word counts: an earlier owner's count may include tasks that
        # have since moved to another part.
        if mj is None or s is None or not 0 <= r.part < len(s.parts):
            return
        if s.parts[r.part].term == r.term:
            mj.reports[r.part] = r

    def _complete(self, mj: ManagedJob, rec: JobRecord) -> bool:
        """Whether every slice of the record is reported done by its part's present owner."""
        s = self.c.view.split
        if s is None:
            return False
        total = 0
        for name, ranges in rec.slices.items():
            size = sum(b - a for a, b in ranges)
            r = mj.reports.get(int(name))
            told = r is not None and r.term == s.parts[int(name)].term
            if int(name) not in rec.complete and not (
                told and r is not None and r.done == r.size == size
            ):
                return False
            total += size
        return total == rec.spec.tasks

    def _empty(self, mj: ManagedJob, rec: JobRecord) -> bool:
        """Whether no part has a task of the job on a machine any more."""
        s = self.c.view.split
        if s is None:
            return False
        for name in rec.slices:
            r = mj.reports.get(int(name))
            # What was told before the cancel was applied says nothing of what started since.
            if r is None or r.term != s.parts[int(name)].term or r.placed != 0 or not r.over:
                return False
        return True

    def _next(self, mj: ManagedJob, rec: JobRecord) -> str | None:
        if mj.doubt and not mj.moving:
            # A change is in doubt that nobody follows up: rewrite the record, so that it is
            # either found applied or can never be.
            return "touch"
        if rec.cancelled:
            if not self.c.cancels.confirmed(mj.job):
                return "apply"
            return "bury" if self._empty(mj, rec) else None
        if self._complete(mj, rec):
            return "finish"
        return "cancel" if mj.want_cancel else None

    def _edit(self, mj: ManagedJob) -> Flow:
        """Carry a managed job on: finish, cancel (Algorithm 3), bury. One at a time per job."""
        c = self.c
        mj.editing = True
        holder = ("edit", mj.job)
        try:
            while self.managed.get(mj.job) is mj and c.acts(mj.part):
                rec = c.view.jobs.get(mj.job)
                action = self._next(mj, rec) if rec is not None else None
                if rec is None or action is None:
                    return
                if mj.moving or mj.locks.request_exclusive(holder) is None:
                    yield Sleep(0.05)
                    continue
                if action == "apply":
                    if not (yield from c.cancels.ask(mj.job)):
                        yield Sleep(0.3)
                    continue
                key = keys.JOBS + mj.job
                guards = [(key, c.view.version(key)), c.fence(mj.part)]
                if action == "touch":
                    commit = Commit(guards, [Put(key, rec)], [], ACCEPT)
                elif action == "cancel":
                    new = msgspec.structs.replace(
                        rec, changes=[*rec.changes, ["cancel", len(rec.changes) + 1]]
                    )
                    commit = Commit(guards, [Put(key, new)], [], ACCEPT)
                else:
                    final = JobState.DONE if action == "finish" else JobState.CANCELLED
                    fkey = keys.FINALS + mj.job
                    commit = Commit([*guards, (fkey, 0)], [Put(fkey, final)], [key], FINAL)
                r: StateResult = yield from mj.change(commit)
                if r.status == 200:
                    if action in ("finish", "bury"):
                        c.answers.final(mj.job, final)
                    c.view.committed(commit, r.rev)
                    c.sync()
                elif r.status == 409:
                    # The record moved on: by an earlier try of ours, or the part has a new
                    # owner. Whatever was in doubt is settled by reading it.
                    if (yield from c.answers.refresh(mj.job)):
                        mj.doubt = False
                    yield Sleep(0.05)
                else:
                    yield Sleep(0.1 + 0.2 * c.rng.random())
        finally:
            mj.locks.release_exclusive(holder)
            mj.editing = False

    def arrive(self, job: str, version: int) -> Step:
        """A slice was moved here: the last change entry known of its job (Algorithm 4)."""
        c = self.c
        if c.view.version(keys.JOBS + job) < version:
            yield from c.answers.read(job)
        rec = c.view.jobs.get(job)
        return len(rec.changes) if rec is not None else 0

    def entries(self, job: str, changes: list[Any], version: int) -> bool:
        """Later change entries of a job, sent by the source of a migration."""
        if any(e[0] == "cancel" for e in changes):
            self.c.cancels.learn(job, version)
        return True

    def cancel_here(self, job: str) -> Step:
        """Cancel a job managed here: its final state, or None if it takes too long."""
        c = self.c
        until = c.now + 3.0
        while c.now < until:
            if job in c.answers.finals:
                return c.answers.finals[job]
            rec = c.view.jobs.get(job)
            mj = self.managed.get(job)
            if rec is None or mj is None or not c.acts(mj.part):
                break
            if c.authority.failing and not c.cancels.known(job):
                # What cannot be written here another may be able to write.
                break
            if c.cancels.confirmed(job):
                return JobState.CANCELLED
            mj.want_cancel = True
            if not mj.editing:
                c.spawn(self._edit(mj))
                continue
            yield Sleep(0.02)
        return None

    # --- time ------------------------------------------------------------------------------

    def tick(self) -> None:
        """Tell managers of progress; carry managed jobs on."""
        c = self.c
        out: dict[str, list[Any]] = {}
        s = c.view.split
        if s is None:
            return
        acting = c.acting()
        c.byrecord.tick(acting)
        for p in acting:
            for job, sl in p.slices.items():
                rec = c.view.jobs.get(job)
                if rec is None:
                    continue
                placed = -1 if sl.suspect or p.suspects else len(sl.placed)
                now_so: list[Any] = [job, p.number, p.term, sl.done_count, sl.runs]
                now_so += [placed, sl.size, sl.cancelled]
                owner = c.owner(rec.manager)
                if owner == c.node:
                    mj = self.managed.get(job)
                    r = mj.reports.get(p.number) if mj is not None else None
                    if r is None or msgspec.structs.astuple(r) != tuple(now_so):
                        self._take_report(PartReport(*now_so))
                    continue
                then, old = self._told.get((p.number, job), (-1e9, None))
                if owner is not None and (old != now_so or c.now - then > 2.0):
                    self._told[(p.number, job)] = (c.now, now_so)
                    out.setdefault(owner, []).append(now_so)
        for node, reports in out.items():
            c.tell(node, "progress", reports)
        if len(self._told) > 4 * (len(c.view.jobs) + 50):
            self._told.clear()
        for mj in list(self.managed.values()):
            if mj.editing or not c.acts(mj.part):
                continue
            rec = c.view.jobs.get(mj.job)
            if rec is not None and self._next(mj, rec) is not None:
                c.spawn(self._edit(mj))

    # --- shares ----------------------------------------------------------------------------

    def rebalance(self, acting: list[Part]) -> None:
        """Give room under a team's limit to a part that lacks it."""
        c = self.c
        if c.lowered or c.view.split is None:
            return
        for p in acting:
            if p.suspects:
                continue
            mine = c.gossip[p.number][1] if p.number in c.gossip else c.measure(p)
            for i, (t, g) in sorted(c.gossip.items()):
                if i == p.number or c.now - t > 3.0 or g.term != c.view.split.parts[i].term:
                    continue
                for team, want in (*g.stuck.items(), *g.wants.items()):
                    used, share = p.usage(team), c.share(p, team)
                    free = [share[0] - used[0], share[1] - used[1]]
                    stuck = team in g.stuck
                    if stuck:
                        # One of two parts that are both stuck must give way.
                        if team in mine.stuck and p.number < i:
                            continue
                    else:
                        own = mine.wants.get(team)
                        if own is not None or team in mine.stuck:
                            continue
                        kept = self._pending(p, team)
                        free = [free[0] - kept[0], free[1] - kept[1]]
                    give = [max(0, min(free[0], want[0])), max(0, min(free[1], want[1]))]
                    if give[0] or give[1]:
                        c.lowered[(p.number, team)] = give
                        c.spawn(self.give_room(p, i, team, give))
                        return

    def kept(self, p: Part, team: str) -> int:
        """Return what the largest of a team's waiting gangs here needs of the share.

        Given to another part, it would only have to be given back.
        """
        return max(
            (
                len(s.pending) * s.need[0]
                for s in p.slices.values()
                if s.spec.team == team and s.spec.kind == GANG and not s.cancelled
            ),
            default=0,
        )

    def _pending(self, p: Part, team: str) -> list[int]:
        out = [0, 0]
        for s in p.slices.values():
            if s.spec.team == team and not s.cancelled:
                out[0] += len(s.pending) * s.need[0]
                out[1] += len(s.pending) * s.need[1]
        return out

    def give_room(self, p: Part, target: int, team: str, give: list[int]) -> Flow:
        """Lowered here first, then both shares change in one commit."""
        c = self.c
        try:
            doubt = -1
            n = 0
            while True:
                n += 1
                s = c.view.split
                version = c.view.version(keys.SPLIT)
                if s is None or c.parts.get(p.number) is not p:
                    return
                if doubt >= 0 and doubt != version:
                    # Whatever was sent has been applied or cannot be any more.
                    return
                share = s.parts[p.number].shares.get(team, [0, 0])
                if doubt < 0 and (give[0] > share[0] or give[1] > share[1] or n > 5):
                    return
                new = split.shift(s, p.number, target, team, give[0], give[1])
                ok = yield from c.authority.commit_split(new, [], [c.fence(p.number)], version)
                if ok:
                    return
                if ok is None:
                    doubt = version
                    yield from c.authority.refresh_split()
                yield Sleep(0.1 + 0.2 * c.rng.random())
        finally:
            c.lowered.pop((p.number, team), None)
