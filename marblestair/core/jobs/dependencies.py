"""Jobs that depend on others: which of them may start, and which never can.

A job that depends on others (it is their *dependent*; they are its *parents*) is released by an
entry in its record's change list. Its manager commits that entry once every parent has a committed
final state ``done``. Final states never change, so this proof does not age, and every leader of a
slice goes by the record alone, also after a failover.

A job with a cancelled ancestor never had a task, since some parent on the way never became done.
So nothing of it has to be stopped: its manager records its end, and until then nobody answers that
it is queued (``answers.py``). The cancel of the ancestor is confirmed only after the managers of
all its live descendants have its entry (``cancellations.py``).

The index is updated per changed record, at every node alike, and walked without recursion: chains
may be long, and both parents and dependents may be many.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.cancel_registry import KNOWN_EVERYWHERE_LEASES, CancelRegistry
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.messaging.messages import JobEnded
from marblestair.core.runtime.context import NodeContext
from marblestair.core.state.records import JobRecord
from marblestair.core.state.store_view import StoreView

#: share of ``cancel_s`` for which the end of a descendant lets everything else be written first
PATIENCE = 0.2
#: blocked jobs that an operator is shown, and parents of each
SHOWN_JOBS, SHOWN_PARENTS = 50, 20


class DependencyGraph:
    """The blocked jobs that one node knows of, and what they depend on."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        final_states: FinalStates,
        cancels: CancelRegistry,
    ) -> None:
        self._context = context
        self._view = view
        self._final_states = final_states
        self._cancels = cancels
        #: blocked job -> its parents that are not known to be done
        self._unfinished: dict[str, set[str]] = {}
        #: job -> the blocked jobs that name it
        self._dependents: dict[str, set[str]] = {}
        #: blocked jobs with a cancelled ancestor
        self._cancelled: set[str] = set()
        #: those of them whose ends may be recorded, and since when that is known here: the cancel
        #: is confirmed
        self._may_end: dict[str, float] = {}
        #: parents whose records are gone and whose final states are not known here
        self._unknown_ends: dict[str, None] = {}
        self._advance: Callable[[str], None] | None = None
        self._dependents_changed: Callable[[Iterable[str]], None] | None = None
        final_states.subscribe(self)
        cancels.subscribe(self)

    def subscribe(
        self,
        advance: Callable[[str], None],
        dependents_changed: Callable[[Iterable[str]], None],
    ) -> None:
        """Have ``advance`` called with a job that its manager can carry on with now.

        ``dependents_changed`` is called with the jobs on which others came or ceased to depend.
        """
        self._advance = advance
        self._dependents_changed = dependents_changed

    # --- what is known ---------------------------------------------------------------------

    def is_ready(self, job: str) -> bool:
        """Whether a blocked job's parents are all done."""
        unfinished = self._unfinished.get(job)
        return unfinished is not None and not unfinished

    def has_cancelled_ancestor(self, job: str) -> bool:
        """Whether a blocked job can never start, because a job before it is cancelled."""
        return job in self._cancelled

    def is_cancelled(self, job: str) -> bool:
        """Whether a live job is cancelled, or is going to be with an ancestor."""
        return self._cancels.is_known(job) or job in self._cancelled

    def may_end(self, job: str) -> bool:
        """Whether the end of a blocked job, of which an ancestor is cancelled, may be recorded.

        With its record goes the path from the ancestor to what depends on this job. By that path
        the cancel finds those who must have it before it is confirmed, at any node, also at one
        that has just started. So nothing on it ends before the confirmation.
        """
        return job in self._may_end

    def is_end_overdue(self, job: str) -> bool:
        """Whether the end of a blocked job has been due for so long that it must not be late.

        Users are to be answered so within ``cancel_s``, however much else there is to write.
        """
        since = self._may_end.get(job)
        cancel_s = self._context.settings.cluster.workers.cancel_s
        return since is not None and self._context.now - since > PATIENCE * cancel_s

    def may_answer_cancelled(self, job: str) -> bool:
        """Whether users may be answered that a blocked job is cancelled, before its end is written.

        Its manager knows, since the cancel above it is confirmed. Another node proves "queued" by
        a read only with a view younger than an agent's lease: after that time every such view
        holds the cancel too, so nobody can answer another thing any more.
        """
        since = self._may_end.get(job)
        if since is None:
            return False
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        return self._context.now - since > KNOWN_EVERYWHERE_LEASES * agent_lease_s

    def has_dependents(self, job: str) -> bool:
        """Whether a blocked job names this one."""
        return job in self._dependents

    def unfinished_parents(self, job: str) -> Iterable[str]:
        """What a blocked job depends on that is not known to be done."""
        return self._unfinished.get(job, ())

    def dependents(self, job: str) -> Iterable[str]:
        """The blocked jobs that name a job."""
        return self._dependents.get(job, ())

    def descendants(self, job: str) -> Iterator[str]:
        """The blocked jobs that depend on a job, directly or through others, each once."""
        seen = {job}
        stack = [job]
        while stack:
            for dependent in sorted(self._dependents.get(stack.pop(), ())):
                if dependent not in seen:
                    seen.add(dependent)
                    stack.append(dependent)
                    yield dependent

    def parents_of_unknown_end(self) -> Iterable[str]:
        """Parents whose records are gone and whose final states are not known here."""
        return self._unknown_ends

    def knows_ancestors(self, job: str) -> bool:
        """Whether this node would know if an ancestor of a blocked job had been cancelled.

        Its view must hold all that was committed before the job's record: an ancestor may have
        been cancelled before the job was accepted, and a node that leads by promises may not learn
        of it for long. And it must know how each ancestor ended that is gone from the view.
        """
        if self._view.revision < self._view.job_version(job):
            return False
        return not self.ancestors_of_unknown_end(job)

    def ancestors_of_unknown_end(self, job: str) -> list[str]:
        """The ancestors of a blocked job that are over, and whose end is not known here."""
        if not self._unknown_ends:
            return []
        seen = {job}
        stack = [job]
        found = []
        while stack:
            for parent in sorted(self._unfinished.get(stack.pop(), ())):
                if parent in seen:
                    continue
                seen.add(parent)
                stack.append(parent)
                if parent in self._unknown_ends:
                    found.append(parent)
        return found

    def status(self) -> list[dict[str, object]]:
        """What blocked jobs depend on, for operators; a bounded number of them."""
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
        """How many live jobs depend on others that are not done."""
        return len(self._unfinished)

    # --- following the view ----------------------------------------------------------------

    def record_changed(self, job: str) -> None:
        """A job's record changed in the view."""
        record = self._view.jobs.get(job)
        if record is not None and record.is_blocked:
            if job not in self._unfinished:
                self._add(job, record)
        elif job in self._unfinished:
            self._remove(job)
        if job not in self._dependents:
            return
        if record is not None:
            # It may have come into the view after the jobs that depend on it.
            self._unknown_ends.pop(job, None)
            self._note_dependents_changed([job])
        elif self._final_states.get(job) is None:
            self._unknown_ends[job] = None

    def _add(self, job: str, record: JobRecord) -> None:
        unfinished = self._unfinished[job] = set()
        is_cancelled = is_confirmed = False
        for parent in record.spec.depends_on:
            final = self._final_states.get(parent)
            if final is JobState.DONE:
                continue
            unfinished.add(parent)
            self._dependents.setdefault(parent, set()).add(job)
            is_over = final is JobState.CANCELLED
            is_cancelled = is_cancelled or is_over or self.is_cancelled(parent)
            is_confirmed = is_confirmed or is_over or self._is_cancel_confirmed(parent)
            if final is None and parent not in self._view.jobs:
                self._unknown_ends[parent] = None
        if is_cancelled:
            self._mark_cancelled(job)
        if is_confirmed:
            self._mark_confirmed(job)
        self._note_dependents_changed(unfinished)

    def _is_cancel_confirmed(self, job: str) -> bool:
        """Whether the cancel of a live job, or of an ancestor, is confirmed as far as is known."""
        return self._cancels.is_known_confirmed(job) or job in self._may_end

    def _remove(self, job: str) -> None:
        """A job is blocked no more: it is released or over."""
        unfinished = self._unfinished.pop(job)
        for parent in unfinished:
            self._forget_dependent(parent, job)
        self._cancelled.discard(job)
        self._may_end.pop(job, None)
        self._note_dependents_changed(unfinished)

    def _forget_dependent(self, parent: str, job: str) -> None:
        dependents = self._dependents.get(parent)
        if dependents is None:
            return
        dependents.discard(job)
        if not dependents:
            del self._dependents[parent]
            self._unknown_ends.pop(parent, None)

    def _note_dependents_changed(self, parents: Iterable[str]) -> None:
        if self._dependents_changed is not None:
            self._dependents_changed(parents)

    def _note_ready(self, job: str) -> None:
        if self._advance is not None:
            self._advance(job)

    # --- ends of parents -------------------------------------------------------------------

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
                self._note_ready(job)

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
        for blocked in (job, *self.descendants(job)):
            if blocked not in self._may_end:
                self._may_end[blocked] = self._context.now
                self._note_ready(blocked)

    def announce_end(self, job: str, state: JobState) -> None:
        """Tell the other nodes of an end that this node committed, if jobs depend on it.

        They would find that its record is gone, and read its final state.
        """
        if job in self._dependents:
            self._context.broadcast(JobEnded(job, state))
