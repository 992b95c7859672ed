"""Jobs that await others: which of them may start, and which never can.

A job that awaits others (their *child*; they are its *parents*) is released by an entry in its
record's change list. Its manager commits that entry once every parent has a committed final state
``done``. Final states never change, so this proof does not age, and every owner of a slice goes by
the record alone, also after a takeover.

A job with a cancelled ancestor never had a task, since some parent on the way never became done.
So nothing of it has to be stopped: its manager records its end, and until then nobody is told that
it is queued (`core/answers.py`). The cancel of the ancestor is confirmed only after the owners of
the manager parts of all its live descendants have its entry (`core/cancels.py`).

The index is kept per changed record, at every node alike, and walked without recursion: chains may
be long, and both parents and children may be many.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from marblestair.core.domain.jobs import FINAL_STATES, JobState
from marblestair.core.jobs.cancellations import OVER_LEASES
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import Lane
from marblestair.core.state import keys
from marblestair.core.state.records import JobRecord

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: pause between two looks for parents whose end has to be read
READ_PAUSE_S = 0.3
#: share of ``cancel_s`` for which the end of a descendant lets everything else be written first
PATIENCE = 0.2
#: parents read in one turn, so that releases never use up the rate of requests
MOST_READS = 8
#: parents of one job read for a user who waits
MOST_READS_FOR_USER = 4
#: waiting jobs that an operator is shown, and awaited jobs of each
SHOWN_JOBS, SHOWN_PARENTS = 50, 20


class DependencyGraph:
    """The waiting jobs that one node knows of, and what they wait for."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        #: waiting job -> its parents that are not known to be done
        self._unfinished: dict[str, set[str]] = {}
        #: job -> the waiting jobs that name it
        self._dependents: dict[str, set[str]] = {}
        #: waiting jobs with a cancelled ancestor
        self._cancelled: set[str] = set()
        #: those of them whose ends may be recorded, and since when that is known here: the cancel
        #: is confirmed
        self._may_end: dict[str, float] = {}
        #: parents whose records are gone and whose final states are not known here
        self._unknown_ends: dict[str, None] = {}

    # --- what is known ---------------------------------------------------------------------

    def is_ready(self, job: str) -> bool:
        """Whether a waiting job's parents are all done."""
        unfinished = self._unfinished.get(job)
        return unfinished is not None and not unfinished

    def has_cancelled_ancestor(self, job: str) -> bool:
        """Whether a waiting job can never start, because a job before it is cancelled."""
        return job in self._cancelled

    def may_end(self, job: str) -> bool:
        """Whether the end of a waiting job, of which an ancestor is cancelled, may be recorded.

        With its record goes the path from the ancestor to what waits for this job. By that path
        the cancel finds those who must have it before it is confirmed (`core/cancels.py`), at any
        node, also at one that has just started. So nothing on it ends before the confirmation.
        """
        return job in self._may_end

    def must_end(self, job: str) -> bool:
        """Whether the end of a waiting job has been due for so long that it must not be late.

        Users are to be told within ``cancel_s``, however much else there is to write.
        """
        since = self._may_end.get(job)
        cancel_s = self._controller.settings.cluster.workers.cancel_s
        return since is not None and self._controller.now - since > PATIENCE * cancel_s

    def may_answer_cancelled(self, job: str) -> bool:
        """Whether users may be told that a waiting job is cancelled, before its end is written.

        Its manager knows, since the cancel above it is confirmed. Another node proves "queued" by
        a read only with a view younger than a worker's lease: after that time every such view
        holds the cancel too, so nobody can tell another thing any more.
        """
        since = self._may_end.get(job)
        lease_s = self._controller.settings.cluster.workers.lease_s
        return since is not None and self._controller.now - since > OVER_LEASES * lease_s

    def has_dependents(self, job: str) -> bool:
        """Whether a waiting job names this one."""
        return job in self._dependents

    def unfinished_parents(self, job: str) -> Iterable[str]:
        """What a waiting job awaits that is not known to be done."""
        return self._unfinished.get(job, ())

    def dependents(self, job: str) -> Iterable[str]:
        """The waiting jobs that name a job."""
        return self._dependents.get(job, ())

    def descendants(self, job: str) -> Iterator[str]:
        """The waiting jobs that need a job, directly or through others, each once."""
        seen = {job}
        stack = [job]
        while stack:
            for child in sorted(self._dependents.get(stack.pop(), ())):
                if child not in seen:
                    seen.add(child)
                    stack.append(child)
                    yield child

    def status(self) -> list[dict[str, object]]:
        """What waiting jobs wait for, for operators; a bounded number of them."""
        shown = []
        for job in sorted(self._unfinished)[:SHOWN_JOBS]:
            unfinished = sorted(self._unfinished[job])
            shown.append(
                {
                    "job": job,
                    "awaits": unfinished[:SHOWN_PARENTS],
                    "awaits_in_all": len(unfinished),
                    "ancestor_cancelled": job in self._cancelled,
                }
            )
        return shown

    @property
    def blocked_count(self) -> int:
        """How many live jobs wait for others."""
        return len(self._unfinished)

    # --- following the view ------------------------------------------------------------------

    def record_changed(self, job: str) -> None:
        """A job's record changed in the view."""
        record = self._controller.view.jobs.get(job)
        if record is not None and record.is_blocked:
            if job not in self._unfinished:
                self._add(job, record)
        elif job in self._unfinished:
            self._remove(job)
        if job not in self._dependents:
            return
        if record is not None:
            # It may have come into the view after the jobs that need it.
            self._unknown_ends.pop(job, None)
            self._controller.inherited_urgency.dependents_changed([job])
        elif self._final(job) is None:
            self._unknown_ends[job] = None

    def _final(self, job: str) -> JobState | None:
        return self._controller.answers.final_states.get(job)

    def _add(self, job: str, record: JobRecord) -> None:
        unfinished = self._unfinished[job] = set()
        is_cancelled = is_confirmed = False
        for parent in record.spec.depends_on:
            final = self._final(parent)
            if final is JobState.DONE:
                continue
            unfinished.add(parent)
            self._dependents.setdefault(parent, set()).add(job)
            is_over = final is JobState.CANCELLED
            is_cancelled = is_cancelled or is_over or self.is_cancelled(parent)
            is_confirmed = is_confirmed or is_over or self._is_confirmed(parent)
            if final is None and parent not in self._controller.view.jobs:
                self._unknown_ends[parent] = None
        if is_cancelled:
            self._mark_cancelled(job)
        if is_confirmed:
            self._mark_confirmed(job)
        self._controller.inherited_urgency.dependents_changed(unfinished)

    def is_cancelled(self, job: str) -> bool:
        """Whether a live job is cancelled, or is going to be with an ancestor."""
        return self._controller.cancellations.is_known(job) or job in self._cancelled

    def _is_confirmed(self, job: str) -> bool:
        """Whether the cancel of a live job, or of an ancestor, is confirmed as far as is known."""
        return self._controller.cancellations.is_known_confirmed(job) or job in self._may_end

    def _remove(self, job: str) -> None:
        """A job waits no more: it is released or over."""
        unfinished = self._unfinished.pop(job)
        for parent in unfinished:
            self._forget_dependent(parent, job)
        self._cancelled.discard(job)
        self._may_end.pop(job, None)
        self._controller.inherited_urgency.dependents_changed(unfinished)

    def _forget_dependent(self, parent: str, job: str) -> None:
        children = self._dependents.get(parent)
        if children is None:
            return
        children.discard(job)
        if not children:
            del self._dependents[parent]
            self._unknown_ends.pop(parent, None)

    # --- ends of parents ---------------------------------------------------------------------

    def parent_ended(self, parent: str, state: JobState) -> None:
        """The final state of a job is known to be committed."""
        self._unknown_ends.pop(parent, None)
        if parent not in self._dependents:
            return
        if state is JobState.CANCELLED:
            # No cancelled job ends before its cancel, or that of an ancestor, is confirmed.
            self.parent_cancelled(parent)
            self.cancel_confirmed(parent)
            return
        for job in sorted(self._dependents.pop(parent)):
            self._unfinished[job].discard(parent)
            if not self._unfinished[job]:
                self._controller.job_managers.advance(job)

    def parent_cancelled(self, parent: str) -> None:
        """The cancel of a job is known to be committed."""
        for job in sorted(self._dependents.get(parent, ())):
            self._mark_cancelled(job)

    def cancel_confirmed(self, parent: str) -> None:
        """The cancel of a job is confirmed: the managers of all its live descendants have it."""
        for job in sorted(self._dependents.get(parent, ())):
            self._mark_confirmed(job)

    def _mark_cancelled(self, job: str) -> None:
        self._cancelled.update((job, *self.descendants(job)))

    def _mark_confirmed(self, job: str) -> None:
        for waiting in (job, *self.descendants(job)):
            if waiting not in self._may_end:
                self._may_end[waiting] = self._controller.now
                self._controller.job_managers.advance(waiting)

    def announce_end(self, job: str, state: JobState) -> None:
        """Tell the other nodes of an end that this node committed, if jobs wait for it.

        They would find that its record is gone, and read its final state.
        """
        if job in self._dependents:
            for peer in self._controller.settings.others:
                self._controller.send(peer.node, "ended", [job, state])

    def receive_end(self, job: str, state: str) -> None:
        """Another node committed the end of a job."""
        if state not in FINAL_STATES:
            raise ValueError(f"not a final state: {state}")
        self._controller.answers.record_final(job, JobState(state))

    def read_unknown_ends(self) -> Coroutine:
        """Read the ends of parents that nobody told of."""
        controller = self._controller
        while True:
            yield Sleep(READ_PAUSE_S * (0.8 + 0.4 * controller.rng.random()))
            for parent in self._parents_to_read():
                yield from controller.answers.read_final_first(parent, Lane.FINAL_STATE)

    def _parents_to_read(self) -> list[str]:
        """Parents whose end decides about a job that is managed here."""
        jobs = self._controller.job_managers
        found = []
        for parent in self._unknown_ends:
            if any(job in jobs.managed for job in self.dependents(parent)):
                found.append(parent)
                if len(found) == MOST_READS:
                    break
        return found

    def may_answer_blocked(self, record: JobRecord, lane: Lane) -> Step:
        """Whether users may be told that a job still waits, whose record was just read.

        The record alone does not show the cancel of an ancestor. This node's view does, unless
        it is too old, or an ancestor is gone from it.
        """
        controller = self._controller
        job = record.spec.id
        lease_s = controller.settings.cluster.workers.lease_s
        if controller.now - controller.view.fresh_as_of > lease_s:
            return False
        # One that is found alive may have ancestors that are gone in their turn.
        for _ in range(MOST_READS_FOR_USER):
            gone = self._ancestors_of_unknown_end(job)
            if not gone:
                return not self.has_cancelled_ancestor(job)
            yield from controller.answers.read_final_first(gone[0], lane)
        return not self._ancestors_of_unknown_end(job) and not self.has_cancelled_ancestor(job)

    def knows_ancestors(self, job: str) -> bool:
        """Whether this node would know if an ancestor of a waiting job had been cancelled.

        Its view must hold all that was committed before the job's record: an ancestor may have
        been cancelled before the job was accepted, and a node that acts on promises may not learn
        of it for long. And it must know how each ancestor ended that is gone from the view.
        """
        view = self._controller.view
        return view.revision >= view.version(
            keys.JOBS + job
        ) and not self._ancestors_of_unknown_end(job)

    def _ancestors_of_unknown_end(self, job: str) -> list[str]:
        """The ancestors of a waiting job that are over, and whose final state is not known here."""
        if not self._unknown_ends:
            return []
        seen = {job}
        stack = [job]
        gone = []
        while stack:
            for parent in sorted(self._unfinished.get(stack.pop(), ())):
                if parent in seen:
                    continue
                seen.add(parent)
                stack.append(parent)
                if parent in self._unknown_ends:
                    gone.append(parent)
        return gone
