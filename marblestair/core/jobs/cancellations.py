"""Cancels from the commit of their entry until users may be told.

Three moments differ. A cancel is *committed* once its entry is in the job's change list, *applied*
once every controller that may act for the job, as owner of a slice or of its manager part, has the
entry (it launches nothing more of the job, has begun to stop it, and tells nobody that it runs),
and *confirmed* once a user may be told. The paper's coordinator (Algorithm 3) releases its
exclusive lock only after the change was made at every active server; here nobody tells of a cancel
before that, whoever is asked and by whichever request. An owner that may act is one that
holds its lease and a recent enough view, or promises of all the others:

- by lease, it acts on a view younger than a worker's lease, so an entry older than that is in it;
- by promises, it has with every promise the entries that its giver knew (Algorithm 4's transfer
  of missing entries). Whoever confirms a cancel by the passing of time has known the entry for
  longer than a promise lasts, so each promise of its own that still holds has carried it; also one
  given before a restart is over by then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import PeerRequest, Sleep
from marblestair.core.runtime.store_requests import CompareAndSwap, Lane, Put, StoreResponse
from marblestair.core.state import keys
from marblestair.core.state.records import JobRecord, ShardRecord, with_cancel

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: leases of a worker after which a view that is acted on must hold an entry
OVER_LEASES = 1.1
#: time for another controller to apply an entry
APPLY_PEER_S = 0.8
#: controllers tell one another something twice a second; one that was not heard for this long is
#: not waited for while a user waits
UNHEARD_S = 2.0
#: leases of a worker for which an application is carried on without anybody asking
CARRY_LEASES = 2.5
#: applications carried on at once that nobody waits for
MOST_CARRIED = 64
#: entries in one promise, which fit into one message; a node that lacks more than these gets none,
#: and its lease ends
MOST_ENTRIES = 10_000


class CancelEntry:
    """The cancel of one job, as far as this node knows."""

    __slots__ = ("applied_terms", "is_propagating", "is_confirmed", "revision", "known_since")

    def __init__(self, rev: int, now: float) -> None:
        #: a revision at which the record held the entry
        self.revision = rev
        #: when this node first knew of it
        self.known_since = now
        #: part -> term under which its owner said that it has the entry
        self.applied_terms: dict[int, int] = {}
        #: users may be told
        self.is_confirmed = False
        #: somebody here is at it
        self.is_propagating = False


class Cancellations:
    """What one node knows of committed cancels, and how it has them applied."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self._entries: dict[str, CancelEntry] = {}

    # --- what is known ---------------------------------------------------------------------

    def is_known(self, job: str) -> bool:
        """Whether a cancel of the job is committed, by the view or ahead of it."""
        return job in self._entries

    def is_known_confirmed(self, job: str) -> bool:
        """Whether a cancel is known to be confirmed, without looking whether it could be now."""
        entry = self._entries.get(job)
        return entry is not None and entry.is_confirmed

    def record(self, job: str, rev: int) -> CancelEntry:
        """A cancel is committed: apply it to all that is held here, now and later."""
        controller = self.controller
        entry = self._entries.get(job)
        if entry is None:
            entry = self._entries[job] = CancelEntry(rev, controller.now)
            self._note("known", job, rev=rev, view_rev=controller.view.revision)
            for shard in controller.shards.values():
                shard.cancel(job, controller.now)
            controller.dependencies.parent_cancelled(job)
        return entry

    def record_changed(self, job: str) -> None:
        """A job's record changed in the view."""
        record = self.controller.view.jobs.get(job)
        if record is None:
            entry = self._entries.get(job)
            if entry is not None and self.controller.view.revision >= entry.revision:
                # Buried; its final state tells the rest.
                self._note("forgotten", job, view_rev=self.controller.view.revision)
                del self._entries[job]
        elif record.is_cancelled:
            self.record(job, self.controller.view.version(keys.JOBS + job))

    def prune(self) -> None:
        """Forget entries of jobs that are over, which came late or ahead of the view."""
        controller = self.controller
        for job in [
            j for j, entry in self._entries.items() if entry.revision <= controller.view.revision
        ]:
            if job not in controller.view.jobs:
                self._note("forgotten", job, view_rev=controller.view.revision)
                del self._entries[job]

    # --- what may be told ------------------------------------------------------------------

    def shards_without_entry(self, job: str) -> list[int] | None:
        """List the parts whose owners may act without the entry.

        None when that cannot be told, because owners may have changed before the entry was
        committed and are not in the view yet.
        """
        view = self.controller.view
        entry = self._entries.get(job)
        record = view.jobs.get(job)
        if (
            entry is None
            or record is None
            or view.shard_map is None
            or view.revision < entry.revision
        ):
            return None
        if self._is_known_everywhere(entry):
            return []
        return [
            number
            for number in sorted(self._concerned_shards(job, record))
            if not self._has_entry(number, view.shard_map.shards[number], entry)
        ]

    def _concerned_shards(self, job: str, record: JobRecord) -> set[int]:
        """Parts whose owners may act for the job or tell of it, or of what needs it.

        Its slices' owners may start its tasks, its manager's owner may tell that it runs, and the
        managers' owners of its descendants that those are queued.
        """
        numbers = {record.manager_shard, *map(int, record.slices)}
        for descendant in self.controller.dependencies.descendants(job):
            # One that is over, though the index does not show it yet, is told of by nobody.
            live = self.controller.view.jobs.get(descendant)
            if live is not None:
                numbers.add(live.manager_shard)
        return numbers

    def _has_entry(self, number: int, shard: ShardRecord, entry: CancelEntry) -> bool:
        """Whether a part's present owner is known to have applied an entry."""
        is_here = (shard.leader, shard.incarnation) == self.controller.identity
        return is_here or entry.applied_terms.get(number) == shard.term

    def _is_known_everywhere(self, entry: CancelEntry) -> bool:
        """Whether whoever has not applied an entry by now can act no more."""
        lease_s = self.controller.settings.cluster.workers.lease_s
        return self.controller.now - entry.known_since > OVER_LEASES * lease_s

    @property
    def unconfirmed_count(self) -> int:
        """Committed cancels that users may not be told of yet."""
        return sum(not entry.is_confirmed for entry in self._entries.values())

    @property
    def oldest_unconfirmed_s(self) -> float:
        """For how long the oldest of them has been known."""
        waiting = [entry.known_since for entry in self._entries.values() if not entry.is_confirmed]
        return self.controller.now - min(waiting) if waiting else 0.0

    def _note(self, what: str, job: str, **facts: object) -> None:
        self.controller.decisions.note(self.controller.now, Decision.CANCEL, what, job=job, **facts)

    def is_confirmed(self, job: str) -> bool:
        """Whether users may be told that the job is cancelled."""
        entry = self._entries.get(job)
        if entry is None:
            return False
        if not entry.is_confirmed and self.shards_without_entry(job) == []:
            self._note(
                "confirmed",
                job,
                after_s=round(self.controller.now - entry.known_since, 2),
                by=f"answers {entry.applied_terms}"
                if not self._is_known_everywhere(entry)
                else "time",
                view_rev=self.controller.view.revision,
            )
            self.mark_confirmed(job, entry.revision)
            for peer in self.controller.settings.others:
                self.controller.send(peer.node, "confirmed", [job, entry.revision])
        return entry.is_confirmed

    def mark_confirmed(self, job: str, rev: int) -> None:
        """A user may be told, here or by another node that has said so."""
        entry = self.record(job, rev)
        if not entry.is_confirmed:
            entry.is_confirmed = True
            self.controller.dependencies.cancel_confirmed(job)

    # --- having it applied -----------------------------------------------------------------

    def apply_entry(self, job: str, rev: int) -> list[list[int]]:
        """Another node asks to apply an entry: the parts and terms for which that is done."""
        self.record(job, rev)
        return [[shard.shard_id, shard.term] for shard in self.controller.led_shards()]

    def propagate(self, job: str, heard_s: float = 1e9) -> Step:
        """Ask every owner that may lack the entry to apply it, the latest heard first.

        Owners that were not heard within ``heard_s`` are left out. Returns whether the
        cancel is confirmed.
        """
        controller = self.controller
        shard_map, entry = controller.view.shard_map, self._entries.get(job)
        nodes: dict[str, None] = {}
        for p in self.shards_without_entry(job) or ():
            if shard_map is not None:
                nodes[shard_map.shards[p].leader] = None
        for node in sorted(nodes, key=lambda n: (-controller.last_received_at.get(n, -1e9), n)):
            if (
                entry is None
                or node == controller.node
                or controller.now - controller.last_received_at.get(node, -1e9) > heard_s
            ):
                continue
            got = yield PeerRequest(node, "apply", [job, entry.revision], APPLY_PEER_S)
            for pair in got if isinstance(got, list) else ():
                entry.applied_terms[int(pair[0])] = int(pair[1])
        return self.is_confirmed(job)

    def await_confirmation(self, job: str, most_s: float) -> Step:
        """Have a committed cancel applied within some time; whether it is confirmed."""
        controller = self.controller
        until = controller.now + most_s
        while self.is_known(job):
            # A user waits: those that do not answer anyway are left to what goes on afterwards.
            if (yield from self.propagate(job, UNHEARD_S)):
                return True
            if controller.now >= until:
                self.propagate_in_background(job)
                return False
            yield Sleep(0.05)
        return False

    def propagate_in_background(self, job: str) -> None:
        """Go on with it while nobody waits, for a bounded time."""
        entry = self._entries.get(job)
        if entry is None or entry.is_confirmed or entry.is_propagating:
            return
        managed = self.controller.job_managers.managed.get(job)
        if managed is not None and managed.is_advancing:
            return
        if sum(x.is_propagating for x in self._entries.values()) < MOST_CARRIED:
            entry.is_propagating = True
            self.controller.spawn(self._propagate_until_confirmed(job, entry))

    def _propagate_until_confirmed(self, job: str, entry: CancelEntry) -> Coroutine:
        controller = self.controller
        until = controller.now + CARRY_LEASES * controller.settings.cluster.workers.lease_s
        try:
            while (
                self._entries.get(job) is entry
                and controller.now < until
                and not entry.is_confirmed
            ):
                if (yield from self.propagate(job)):
                    return
                yield Sleep(0.5)
        finally:
            entry.is_propagating = False

    def commit_entry(self, job: str) -> Step:
        """Commit the entry by way of the record, where the manager is not heard.

        A refused or silent connection shows nothing about the controller behind it, so nothing
        is taken from it; every owner that can read finds the entry by its watch.
        """
        controller = self.controller
        state = yield from controller.answers.read_record(job)
        record = controller.view.jobs.get(job)
        if state is None or record is None or record.is_cancelled:
            return
        key = keys.JOBS + job
        new = with_cancel(record, controller.settings.cluster.state.value_kb)
        commit = CompareAndSwap(
            [(key, controller.view.version(key))], [Put(key, new)], [], Lane.ACCEPTANCE
        )
        response: StoreResponse = yield commit
        if response.status == 200:
            controller.view.record_commit(commit, response.revision)
            controller.sync()
        # In doubt or outrun: the next request reads the record afresh.

    # --- promises --------------------------------------------------------------------------

    def entries_after(self, rev: int) -> list[list[Any]] | None:
        """Entries that a view of some revision may lack; None when they are too many."""
        out: list[list[Any]] = [
            [j, entry.revision] for j, entry in self._entries.items() if entry.revision > rev
        ]
        return out if len(out) <= MOST_ENTRIES else None
