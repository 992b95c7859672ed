"""What users may be told of a job: the one place that every answer about a state comes from."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core import keys
from marblestair.core.calls import ACCEPT, Get, PeerCall, StateResult
from marblestair.core.flow import Step
from marblestair.core.lookups import Lookups
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
        state = c.settings.cluster.state
        self.lookups = Lookups(c.runner, self, state.rps / len(c.settings.nodes))

    def final(self, job: str, state: str) -> None:
        """Remember a job's final state."""
        self.finals[job] = state
        while len(self.finals) > REMEMBERED:
            self.finals.popitem(last=False)

    def may_tell(self, job: str, state: State | None) -> State | None:
        """What may be told of a job that was found to be in a state; None when nothing may be.

        Every answer to a user, whatever the request, passes here last. Between the commit of a
        cancel and its confirmation neither "cancelled" nor what was before is told: another node
        may have told the one already, and the other is not so yet.
        """
        if job in self.finals:
            return (self.finals[job], None, None)
        if self.c.cancels.known(job):
            return ("cancelled", None, None) if self.c.cancels.confirmed(job) else None
        return state

    def local(self, job: str) -> list[Any] | None:
        """The state of a job if this node may tell it."""
        state = self.may_tell(job, self._managed_state(job))
        return None if state is None else list(state)

    def _managed_state(self, job: str) -> State | None:
        c = self.c
        rec = c.view.jobs.get(job)
        mj = c.jobs.managed.get(job)
        if rec is None or mj is None or mj.doubt or not c.acts(mj.part):
            return None
        done = running = 0
        for r in mj.reports.values():
            done += r.done
            running += r.running
        return ("running" if running or done else "queued", min(done, rec.spec.tasks), running)

    def lookup(self, job: str) -> Step:
        """The state of any job: UNKNOWN, or None when it cannot be told now."""
        local = self.local(job)
        if local is not None:
            return tuple(local)
        return (yield from self.lookups.find(job))

    def search(self, job: str) -> Step:
        """The state of a job that this node does not manage, from its manager or a fresh read."""
        c = self.c
        rec = c.view.jobs.get(job)
        c.cancels.carry(job)
        if rec is not None:
            owner = c.owner(rec.manager)
            if owner is not None and owner != c.node and not c.cut_off():
                got = yield PeerCall(owner, "query", [job], QUERY_PEER_S)
                if isinstance(got, list) and len(got) == 3:
                    if got[0] in ("done", "cancelled"):
                        self.final(job, got[0])
                    told = self.may_tell(job, (str(got[0]), got[1], got[2]))
                    if told is not None:
                        return told
        return (yield from self.lookups.read(job))

    def fresh(self, job: str, lane: int = ACCEPT) -> Step:
        """A job's state from a fresh read: UNKNOWN, or None when it cannot be told now."""
        c = self.c
        found = yield from self.read(job, lane)
        if found is None or found == UNKNOWN:
            return found
        mj = c.jobs.managed.get(job)
        done = sum(x.done for x in mj.reports.values()) if mj is not None else 0
        return self.may_tell(job, ("running", done, 0) if done else ("queued", 0, 0))

    def read(self, job: str, lane: int = ACCEPT) -> Step:
        """Read a job's record or final state afresh.

        Returns the state as kept, UNKNOWN, or None when it could not be read. What is read
        is taken into the view; whether it may be told is for the caller to ask.
        """
        c = self.c
        if c.cut_off():
            return None
        r: StateResult = yield Get(keys.JOBS + job, lane)
        if r.status == 200:
            c.view.take_in(keys.JOBS + job, r.value, r.version)
            c.sync()
            rec = msgspec.convert(r.value, JobRecord)
            return ("cancelled" if rec.cancelled else "queued", None, None)
        if r.status != 404:
            return None
        # In this order: a job that ends between the two reads moves from the first key to the
        # second.
        f: StateResult = yield Get(keys.FINALS + job, lane)
        if f.status == 200 and f.value in ("done", "cancelled"):
            self.final(job, f.value)
            return (f.value, None, None)
        return UNKNOWN if f.status == 404 else None

    def refresh(self, job: str) -> Step:
        """Read a job's record afresh; whether that succeeded."""
        return (yield from self.read(job)) is not None
