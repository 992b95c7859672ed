"""What goes by way of the state service when controllers cannot reach one another.

A refused or silent connection shows nothing about the controller behind it: it may well hold its
lease and act. So nothing is taken from it. A cancel's entry is committed to the job's record
(`core/cancels.py`), and an owner whose manager hears nothing records there that its slice is
complete.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core import keys
from marblestair.core.calls import FINAL, Commit, Put, Sleep, StateResult
from marblestair.core.flow import Flow
from marblestair.core.part import Part

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: a manager that was not heard for this many report intervals is told by way of the record
UNHEARD_REPORTS = 3.0


class ByRecord:
    """One node's use of job records in place of messages."""

    def __init__(self, c: Controller) -> None:
        self.c = c
        self._writing: set[int] = set()

    def tick(self, acting: list[Part]) -> None:
        """Record complete slices whose managers hear nothing."""
        c = self.c
        limit = UNHEARD_REPORTS * c.settings.cluster.workers.report_s
        for p in acting:
            if p.number in self._writing:
                continue
            jobs = []
            for job, s in p.slices.items():
                if not s.size or s.done_count != s.size or s.cancelled or s.leaving:
                    continue
                rec = c.view.jobs.get(job)
                if rec is None or rec.cancelled or p.number in rec.complete:
                    continue
                owner = c.owner(rec.manager)
                if owner is None or owner == c.node:
                    continue
                if c.now - c.heard.get(owner, c.started) > limit:
                    jobs.append(job)
            if jobs:
                self._writing.add(p.number)
                c.spawn(self._record(p, jobs[: c.batch]))

    def _record(self, p: Part, jobs: list[str]) -> Flow:
        c = self.c
        try:
            guards, puts = [c.fence(p.number)], []
            for job in jobs:
                rec, s = c.view.jobs.get(job), p.slices.get(job)
                if rec is None or s is None or s.ranges != rec.slices.get(str(p.number)):
                    continue
                key = keys.JOBS + job
                guards.append((key, c.view.version(key)))
                complete = sorted({*rec.complete, p.number})
                puts.append(Put(key, msgspec.structs.replace(rec, complete=complete)))
            if puts:
                commit = Commit(guards, puts, [], FINAL)
                r: StateResult = yield commit
                if r.status == 200:
                    c.view.committed(commit, r.rev)
                    c.sync()
                else:
                    # One record that has moved on must not hold up the others.
                    for put in puts:
                        yield from c.answers.read(put.key[len(keys.JOBS) :])
                    yield Sleep(0.3)
        finally:
            self._writing.discard(p.number)
