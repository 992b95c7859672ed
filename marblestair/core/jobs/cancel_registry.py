"""Registry of the committed cancels that one node knows of.

A cancel is committed by an entry in the change list of the job's record.
"""

from __future__ import annotations

from typing import Protocol

from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

#: minimum time for which a node must have known a committed entry before it may assume that every
#: node that may act for the job or report the job's status has the entry, in agent leases
KNOWN_EVERYWHERE_LEASES = 1.1
#: maximum number of entries sent with a promise, so that they fit into one message; a node that may
#: lack more entries gets no promise, and may act only while its own lease is valid
MAX_PROMISE_ENTRIES = 10_000


class CancelEntry:
    """The committed cancel of one job, as known to one node."""

    __slots__ = ("applied_terms", "is_confirmed", "is_propagating", "known_since", "revision")

    def __init__(self, revision: int, now: float) -> None:
        #: a store revision at which the job's record contained the entry
        self.revision = revision
        #: monotonic time at which this node learned of the entry
        self.known_since = now
        #: shard -> term in which its leader acknowledged that it applied the entry
        self.applied_terms: dict[int, int] = {}
        #: whether the cancel is marked as confirmed: users may be told that the job is cancelled
        self.is_confirmed = False
        #: whether a background coroutine is propagating the entry
        self.is_propagating = False


class CancelSubscriber(Protocol):
    """Index of dependent jobs; it is notified of each cancel that the registry learns of."""

    def parent_cancelled(self, parent: str) -> None:
        """Handle the committed cancel of the job ``parent``."""

    def cancel_confirmed(self, parent: str) -> None:
        """Handle the confirmation of the cancel of the job ``parent``."""


class CancelRegistry:
    """Keeps each committed cancel from when this node learns of it until the job has ended."""

    def __init__(self, context: NodeContext, view: StoreView, leadership: Leadership) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._entries: dict[str, CancelEntry] = {}
        self._subscriber: CancelSubscriber | None = None

    def subscribe(self, subscriber: CancelSubscriber) -> None:
        """Register the subscriber to notify of each cancel; replaces an earlier subscriber."""
        self._subscriber = subscriber

    def get(self, job: str) -> CancelEntry | None:
        """Return the cancel of a job, or None if none is known."""
        return self._entries.get(job)

    def entries(self) -> list[CancelEntry]:
        """Return all known cancels."""
        return list(self._entries.values())

    def is_known(self, job: str) -> bool:
        """Whether this node knows a committed cancel of the job; its view may still lack it."""
        return job in self._entries

    def is_known_confirmed(self, job: str) -> bool:
        """Whether a cancel of the job is known here and marked as confirmed.

        Does not check whether an unmarked cancel can be confirmed now;
        ``Cancellations.is_confirmed`` does.
        """
        entry = self._entries.get(job)
        return entry is not None and entry.is_confirmed

    def record(self, job: str, revision: int) -> CancelEntry:
        """Register a committed cancel and apply it to the job's tasks in all local shards.

        The entry stays registered, so that slices of the job that arrive later are cancelled too.
        Returns the existing entry if the cancel is known already.

        Parameters
        ----------
        job
            The job's id.
        revision
            A store revision at which the job's record contained the entry.
        """
        entry = self._entries.get(job)
        if entry is not None:
            return entry
        now = self._context.now
        entry = self._entries[job] = CancelEntry(revision, now)
        self.log("known", job, rev=revision, view_rev=self._view.revision)
        for shard in self._leadership.shards.values():
            shard.cancel(job, now)
        if self._subscriber is not None:
            self._subscriber.parent_cancelled(job)
        return entry

    def mark_confirmed(self, job: str, revision: int) -> None:
        """Mark a cancel as confirmed, by this node's check or another node's announcement."""
        entry = self.record(job, revision)
        if not entry.is_confirmed:
            entry.is_confirmed = True
            if self._subscriber is not None:
                self._subscriber.cancel_confirmed(job)

    def record_changed(self, job: str) -> None:
        """Handle a change of a job's record in the view."""
        record = self._view.jobs.get(job)
        if record is None:
            entry = self._entries.get(job)
            if entry is not None and self._view.revision >= entry.revision:
                # The job has ended: from now on its status comes from its final state.
                self._forget(job)
        elif record.is_cancelled:
            self.record(job, self._view.version(keys.JOBS + job))

    def prune(self) -> None:
        """Remove the entries of ended jobs that ``record_changed`` did not remove.

        ``record_changed`` does not remove an entry that arrived by a message before the view had
        the entry's revision, or after the record was deleted.
        """
        revision = self._view.revision
        old = [job for job, entry in self._entries.items() if entry.revision <= revision]
        for job in old:
            if job not in self._view.jobs:
                self._forget(job)

    def _forget(self, job: str) -> None:
        self.log("forgotten", job, view_rev=self._view.revision)
        del self._entries[job]

    def entries_after(self, revision: int) -> list[list[object]] | None:
        """Return the entries that a view at a given revision may lack.

        Each entry is given as a pair of job and revision. Returns None if there are more than
        ``MAX_PROMISE_ENTRIES``.
        """
        missing: list[list[object]] = [
            [job, entry.revision]
            for job, entry in self._entries.items()
            if entry.revision > revision
        ]
        return missing if len(missing) <= MAX_PROMISE_ENTRIES else None

    @property
    def unconfirmed_count(self) -> int:
        """The number of committed cancels that are not confirmed yet."""
        return sum(not entry.is_confirmed for entry in self._entries.values())

    @property
    def oldest_unconfirmed_s(self) -> float:
        """Seconds for which the oldest unconfirmed cancel has been known; 0.0 if there is none."""
        since = [e.known_since for e in self._entries.values() if not e.is_confirmed]
        return self._context.now - min(since) if since else 0.0

    def log(self, event: str, job: str, **facts: object) -> None:
        """Log an event of a job's cancel in the decision log."""
        self._context.decisions.log(self._context.now, Decision.CANCEL, event, job=job, **facts)
