"""Dependencies between jobs: which blocked jobs may start, and which never can.

A job may depend on other jobs, its *parents*; it is a *dependent* of each. A job with parents is
*blocked* until an entry in its record's change list releases it. Its manager commits that entry
once every parent has the committed final state ``done``. Final states never change, so a release
stays valid. The leaders of the slices need only the job's record to act on the release, also after
a failover.

A blocked job with a cancelled ancestor has never had a running task, because a parent on the path
from that ancestor never became done. So there are no tasks to stop, and the job's manager only
records the final state. Until then no node that knows of the cancel reports the job as queued
(``answers.py``). The ancestor's cancel is confirmed only after the managers of all live descendants
have the cancel's entry (``cancellations.py``).

Each node keeps an index of the dependencies and updates it for each changed record. The index is
traversed without recursion, because chains may be long and a job may have many parents and
dependents.
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

#: time from the confirmation of a cancel after which the final state of a blocked descendant is
#: overdue, as a share of ``cancel_s``; until then other writes have precedence
END_OVERDUE_SHARE = 0.2
#: maximum numbers of blocked jobs, and of parents of each, in the status output
MAX_STATUS_JOBS, MAX_STATUS_PARENTS = 50, 20


class DependencyGraph:
    """Index of the blocked jobs that one node knows of, with their parents and dependents."""

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
        self._unfinished_parents: dict[str, set[str]] = {}
        #: job -> the blocked jobs that depend on it directly
        self._dependents: dict[str, set[str]] = {}
        #: blocked jobs with a cancelled ancestor
        self._with_cancelled_ancestor: set[str] = set()
        #: blocked job whose final state may be recorded, because the cancel of an ancestor is
        #: confirmed -> monotonic time at which this node learned of the confirmation
        self._may_end_since: dict[str, float] = {}
        #: parents whose records are deleted and whose final states this node does not know; the
        #: keys form an ordered set
        self._parents_with_unknown_end: dict[str, None] = {}
        self._advance: Callable[[str], None] | None = None
        self._dependents_changed: Callable[[Iterable[str]], None] | None = None
        final_states.subscribe(self)
        cancels.subscribe(self)

    def subscribe(
        self,
        advance: Callable[[str], None],
        dependents_changed: Callable[[Iterable[str]], None],
    ) -> None:
        """Register the two callbacks; replaces earlier callbacks.

        Parameters
        ----------
        advance
            Called with a blocked job whose manager can take its next step now.
        dependents_changed
            Called with the unfinished parents of a job that was added to the index or removed from
            it, and with a job that has dependents when its record arrives or changes.
        """
        self._advance = advance
        self._dependents_changed = dependents_changed

    # --- queries ---------------------------------------------------------------------------

    def is_ready(self, job: str) -> bool:
        """Whether a job is blocked and all its parents are done."""
        unfinished = self._unfinished_parents.get(job)
        return unfinished is not None and not unfinished

    def has_cancelled_ancestor(self, job: str) -> bool:
        """Whether this node knows that an ancestor of a blocked job is cancelled."""
        return job in self._with_cancelled_ancestor

    def is_cancelled(self, job: str) -> bool:
        """Whether this node knows that a live job or one of its ancestors is cancelled."""
        return self._cancels.is_known(job) or job in self._with_cancelled_ancestor

    def may_end(self, job: str) -> bool:
        """Whether the final state of a blocked job with a cancelled ancestor may be recorded.

        The commit of the final state deletes the job's record, which links the ancestor to this
        job's dependents. Nodes follow these links to find the managers that must apply the cancel
        before it is confirmed; a node that has just started has only the records for this. So no
        descendant may end before the cancel is confirmed.
        """
        return job in self._may_end_since

    def is_end_overdue(self, job: str) -> bool:
        """Whether a blocked job's final state is overdue, so that its write is not deferred.

        Users must get the state "cancelled" within ``cancel_s``, however many other writes are
        waiting. ``JobManagers`` chooses the priority of the write by this.
        """
        since = self._may_end_since.get(job)
        cancel_s = self._context.settings.cluster.workers.cancel_s
        return since is not None and self._context.now - since > END_OVERDUE_SHARE * cancel_s

    def may_answer_cancelled(self, job: str) -> bool:
        """Whether users may be told that a blocked job is cancelled before its end is recorded.

        That is so when no node can report the job as queued any more. The job's manager cannot,
        because it has the ancestor's confirmed cancel. Another node may report "queued" after a
        read only if its view is younger than an agent's lease. Once the confirmation has been known
        for longer than an agent's lease, each view that is this recent contains the cancel.
        """
        since = self._may_end_since.get(job)
        if since is None:
            return False
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        return self._context.now - since > KNOWN_EVERYWHERE_LEASES * agent_lease_s

    def has_dependents(self, job: str) -> bool:
        """Whether any blocked job depends directly on this job."""
        return job in self._dependents

    def unfinished_parents(self, job: str) -> Iterable[str]:
        """Return the parents of a blocked job that are not known to be done."""
        return self._unfinished_parents.get(job, ())

    def dependents(self, job: str) -> Iterable[str]:
        """Return the blocked jobs that depend directly on a job."""
        return self._dependents.get(job, ())

    def descendants(self, job: str) -> Iterator[str]:
        """Yield each blocked job that depends on a job directly or indirectly, once."""
        seen = {job}
        stack = [job]
        while stack:
            for dependent in sorted(self._dependents.get(stack.pop(), ())):
                if dependent not in seen:
                    seen.add(dependent)
                    stack.append(dependent)
                    yield dependent

    def parents_with_unknown_end(self) -> Iterable[str]:
        """Return parents whose records are deleted and whose final states are not known here."""
        return self._parents_with_unknown_end

    def knows_ancestors(self, job: str) -> bool:
        """Whether this node would know if an ancestor of a blocked job were cancelled.

        The view must contain everything that was committed before the job's record, because an
        ancestor may have been cancelled before the job was accepted. The view of a node that leads
        by promises may lack that cancel for a long time. The node must also know the final state of
        each ancestor whose record is deleted.
        """
        if self._view.revision < self._view.job_version(job):
            return False
        return not self.ancestors_with_unknown_end(job)

    def ancestors_with_unknown_end(self, job: str) -> list[str]:
        """Return a blocked job's ancestors that have ended and whose final state is not known."""
        if not self._parents_with_unknown_end:
            return []
        seen = {job}
        stack = [job]
        found = []
        while stack:
            for parent in sorted(self._unfinished_parents.get(stack.pop(), ())):
                if parent in seen:
                    continue
                seen.add(parent)
                stack.append(parent)
                if parent in self._parents_with_unknown_end:
                    found.append(parent)
        return found

    def status(self) -> list[dict[str, object]]:
        """Return blocked jobs with their unfinished parents for the status output.

        At most ``MAX_STATUS_JOBS`` jobs, with at most ``MAX_STATUS_PARENTS`` parents each.
        """
        shown = []
        for job in sorted(self._unfinished_parents)[:MAX_STATUS_JOBS]:
            unfinished = sorted(self._unfinished_parents[job])
            shown.append(
                {
                    "job": job,
                    "awaits": unfinished[:MAX_STATUS_PARENTS],
                    "awaits_in_all": len(unfinished),
                    "ancestor_cancelled": job in self._with_cancelled_ancestor,
                }
            )
        return shown

    @property
    def blocked_count(self) -> int:
        """The number of blocked jobs."""
        return len(self._unfinished_parents)

    # --- updates from the view -------------------------------------------------------------

    def record_changed(self, job: str) -> None:
        """Update the index after a change of a job's record in the view."""
        record = self._view.jobs.get(job)
        if record is not None and record.is_blocked:
            if job not in self._unfinished_parents:
                self._add(job, record)
        elif job in self._unfinished_parents:
            self._remove(job)
        if job not in self._dependents:
            return
        if record is not None:
            # The view may receive a parent's record after those of its dependents.
            self._parents_with_unknown_end.pop(job, None)
            self._notify_dependents_changed([job])
        elif self._final_states.get(job) is None:
            self._parents_with_unknown_end[job] = None

    def _add(self, job: str, record: JobRecord) -> None:
        """Add a blocked job to the index."""
        unfinished = self._unfinished_parents[job] = set()
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
                self._parents_with_unknown_end[parent] = None
        if is_cancelled:
            self._mark_ancestor_cancelled(job)
        if is_confirmed:
            self._mark_cancel_confirmed(job)
        self._notify_dependents_changed(unfinished)

    def _is_cancel_confirmed(self, job: str) -> bool:
        """Whether this node knows a confirmed cancel of a live job or of one of its ancestors."""
        return self._cancels.is_known_confirmed(job) or job in self._may_end_since

    def _remove(self, job: str) -> None:
        """Remove a job that is no longer blocked because it was released or has ended."""
        unfinished = self._unfinished_parents.pop(job)
        for parent in unfinished:
            self._remove_dependent(parent, job)
        self._with_cancelled_ancestor.discard(job)
        self._may_end_since.pop(job, None)
        self._notify_dependents_changed(unfinished)

    def _remove_dependent(self, parent: str, job: str) -> None:
        dependents = self._dependents.get(parent)
        if dependents is None:
            return
        dependents.discard(job)
        if not dependents:
            del self._dependents[parent]
            self._parents_with_unknown_end.pop(parent, None)

    def _notify_dependents_changed(self, parents: Iterable[str]) -> None:
        if self._dependents_changed is not None:
            self._dependents_changed(parents)

    def _request_advance(self, job: str) -> None:
        if self._advance is not None:
            self._advance(job)

    # --- final states and cancels of parents -----------------------------------------------

    def parent_ended(self, parent: str, state: JobState) -> None:
        """Apply the committed final state of the job ``parent`` to the job's dependents."""
        self._parents_with_unknown_end.pop(parent, None)
        if parent not in self._dependents:
            return
        if state is JobState.CANCELLED:
            # The final state "cancelled" is recorded only after the cancel of the job or of one of
            # its ancestors is confirmed.
            self.parent_cancelled(parent)
            self.cancel_confirmed(parent)
            return
        for job in sorted(self._dependents.pop(parent)):
            self._unfinished_parents[job].discard(parent)
            if not self._unfinished_parents[job]:
                self._request_advance(job)

    def parent_cancelled(self, parent: str) -> None:
        """Mark the descendants of a job with a committed cancel as having a cancelled ancestor."""
        for job in sorted(self._dependents.get(parent, ())):
            self._mark_ancestor_cancelled(job)

    def cancel_confirmed(self, parent: str) -> None:
        """Allow the final states of a job's descendants to be recorded.

        The job's cancel is confirmed, so the managers of all live descendants have applied it.
        """
        for job in sorted(self._dependents.get(parent, ())):
            self._mark_cancel_confirmed(job)

    def _mark_ancestor_cancelled(self, job: str) -> None:
        self._with_cancelled_ancestor.update((job, *self.descendants(job)))

    def _mark_cancel_confirmed(self, job: str) -> None:
        for blocked in (job, *self.descendants(job)):
            if blocked not in self._may_end_since:
                self._may_end_since[blocked] = self._context.now
                self._request_advance(blocked)

    def announce_end(self, job: str, state: JobState) -> None:
        """Announce a final state that this node has committed, if blocked jobs depend on the job.

        Without the message the other nodes would see only that the job's record is deleted, and
        would have to read the final state from the store.
        """
        if job in self._dependents:
            self._context.broadcast(JobEnded(job, state))
