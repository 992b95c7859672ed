"""What users may be told of a job: the one place that every answer about a state comes from."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core import keys
from marblestair.core.calls import Get, PeerCall, StateResult
from marblestair.core.flow import Step
from marblestair.core.model import JobRecord

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: a state of a job as told to a user: state, done, running
State = tuple[str, int | None, int | None]
UNKNOWN: State = ("unknown", None, None)

#: time for another controller to answer a query, within the 2 s that a user waits; what is left
#: of them is for the state service
QUERY_PEER_S = 0.6
#: final states remembered per node; others are read from the state service
REMEMBERED = 20_000


class Answers:
    """What one node may tell of jobs."""

    def __init__(self, c: Controller) -> None:
        self.c = c
        self.finals: OrderedDict[str, str] = OrderedDict()

    def final(self, job: str, state: str) -> None:
        self.finals[job] = state
        while len(self.finals) > REMEMBERED:
            self.finals.popitem(last=False)

    def local(self, job: str) -> list[Any] | None:
        """The state of a job if this node may tell it."""
        c = self.c
        if job in self.finals:
            return [self.finals[job], None, None]
        rec = c.view.jobs.get(job)
        if rec is None:
            return None
        if rec.cancelled:
            return ["cancelled", None, None]
        mj = c.jobs.managed.get(job)
        if mj is None or mj.doubt or not c.acts(mj.part):
            return None
        done = running = 0
        for r in mj.reports.values():
            done += r.done
            running += r.running
        return ["running" if running or done else "queued", min(done, rec.spec.tasks), running]

    def lookup(self, job: str) -> Step:
        """The state of any job: UNKNOWN, or None when it cannot be told now."""
        c = self.c
        local = self.local(job)
        if local is not None:
            return tuple(local)
        rec = c.view.jobs.get(job)
        if rec is not None:
            owner = c.owner(rec.manager)
            if owner is not None and owner != c.node and not c.cut_off():
                got = yield PeerCall(owner, "query", [job], QUERY_PEER_S)
                if isinstance(got, list) and len(got) == 3:
                    if got[0] in ("done", "cancelled"):
                        self.final(job, got[0])
                    return tuple(got)
        return (yield from self.fresh(job))

    def fresh(self, job: str) -> Step:
        """Read a job's state from the state service."""
        c = self.c
        if c.cut_off():
            return None
        r: StateResult = yield Get(keys.JOBS + job)
        if r.status == 200:
            c.view.take_in(keys.JOBS + job, r.value, r.version)
            c.sync()
            rec = msgspec.convert(r.value, JobRecord)
            if rec.cancelled:
                return ("cancelled", None, None)
            mj = c.jobs.managed.get(job)
            done = sum(x.done for x in mj.reports.values()) if mj is not None else 0
            return ("running", done, 0) if done else ("queued", 0, 0)
        if r.status != 404:
            return None
        # In this order: a job that ends between the two reads moves from the first key to the
        # second.
        f: StateResult = yield Get(keys.FINALS + job)
        if f.status == 200 and f.value in ("done", "cancelled"):
            self.final(job, f.value)
            return (f.value, None, None)
        return UNKNOWN if f.status == 404 else None

    def refresh(self, job: str) -> Step:
        """Read a job's record afresh; whether that succeeded."""
        return (yield from self.fresh(job)) is not None
