"""The committed cancels that one node knows of."""

from __future__ import annotations

from typing import Protocol

from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

#: agents' leases after which a view that is acted on must hold an entry
KNOWN_EVERYWHERE_LEASES = 1.1
#: entries in one promise, which fit into one message; a node that lacks more than these gets none,
#: and its lease expires
MOST_ENTRIES = 10_000


class CancelEntry:
    """The cancel of one job, as far as this node knows."""

    __slots__ = ("applied_terms", "is_confirmed", "is_propagating", "known_since", "revision")

    def __init__(self, revision: int, now: float) -> None:
        #: a revision at which the record had the entry
        self.revision = revision
        #: when this node first knew of it
        self.known_since = now
        #: shard -> term under which its leader said that it has the entry
        self.applied_terms: dict[int, int] = {}
        #: users may be answered so
        self.is_confirmed = False
        #: it is being propagated while nobody waits
        self.is_propagating = False


class DependentJobs(Protocol):
    """The jobs that depend on others."""

    def parent_cancelled(self, parent: str) -> None:
        """The cancel of a job is known to be committed."""

    def cancel_confirmed(self, parent: str) -> None:
        """The cancel of a job is confirmed."""


class CancelRegistry:
    """Cancels by job, from the commit of their entry until the job's record is gone."""

    def __init__(self, context: NodeContext, view: StoreView, leadership: Leadership) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._entries: dict[str, CancelEntry] = {}
        self._dependents: DependentJobs | None = None

    def subscribe(self, dependents: DependentJobs) -> None:
        """Call the jobs that depend on others with each cancel."""
        self._dependents = dependents

    def get(self, job: str) -> CancelEntry | None:
        """The cancel of a job, or None when none is known."""
        return self._entries.get(job)

    def entries(self) -> list[CancelEntry]:
        """All cancels that are known."""
        return list(self._entries.values())

    def is_known(self, job: str) -> bool:
        """Whether a cancel of the job is committed, by the view or ahead of it."""
        return job in self._entries

    def is_known_confirmed(self, job: str) -> bool:
        """Whether a cancel is known to be confirmed, without checking whether it could be now."""
        entry = self._entries.get(job)
        return entry is not None and entry.is_confirmed

    def record(self, job: str, revision: int) -> CancelEntry:
        """A cancel is committed: apply it to all tasks of the job here, now and later."""
        entry = self._entries.get(job)
        if entry is not None:
            return entry
        now = self._context.now
        entry = self._entries[job] = CancelEntry(revision, now)
        self.log("known", job, rev=revision, view_rev=self._view.revision)
        for shard in self._leadership.shards.values():
            shard.cancel(job, now)
        if self._dependents is not None:
            self._dependents.parent_cancelled(job)
        return entry

    def mark_confirmed(self, job: str, revision: int) -> None:
        """Users may be answered so, here or as another node has announced."""
        entry = self.record(job, revision)
        if not entry.is_confirmed:
            entry.is_confirmed = True
            if self._dependents is not None:
                self._dependents.cancel_confirmed(job)

    def record_changed(self, job: str) -> None:
        """A job's record changed in the view."""
        record = self._view.jobs.get(job)
        if record is None:
            entry = self._entries.get(job)
            if entry is not None and self._view.revision >= entry.revision:
                # The job has ended: from here on its final state answers.
                self._forget(job)
        elif record.is_cancelled:
            self.record(job, self._view.version(keys.JOBS + job))

    def prune(self) -> None:
        """Forget entries of jobs that are over, which came late or ahead of the view."""
        revision = self._view.revision
        old = [job for job, entry in self._entries.items() if entry.revision <= revision]
        for job in old:
            if job not in self._view.jobs:
                self._forget(job)

    def _forget(self, job: str) -> None:
        self.log("forgotten", job, view_rev=self._view.revision)
        del self._entries[job]

    def entries_after(self, revision: int) -> list[list[object]] | None:
        """Pairs of job and revision that a view of some revision may lack; None if too many."""
        missing: list[list[object]] = [
            [job, entry.revision]
            for job, entry in self._entries.items()
            if entry.revision > revision
        ]
        return missing if len(missing) <= MOST_ENTRIES else None

    @property
    def unconfirmed_count(self) -> int:
        """Committed cancels that users may not be answered with yet."""
        return sum(not entry.is_confirmed for entry in self._entries.values())

    @property
    def oldest_unconfirmed_s(self) -> float:
        """For how long the oldest of them has been known."""
        since = [e.known_since for e in self._entries.values() if not e.is_confirmed]
        return self._context.now - min(since) if since else 0.0

    def log(self, event: str, job: str, **facts: object) -> None:
        """Log what happened to the cancel of a job."""
        self._context.decisions.log(self._context.now, Decision.CANCEL, event, job=job, **facts)
