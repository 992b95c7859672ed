"""Cancels from the commit of their entry until users may be answered so.

Three moments differ. A cancel is *committed* once its entry is in the job's change list, *applied*
once every controller that may act for the job, as leader of a slice's shard or of its manager
shard, has the entry (it launches nothing more of the job, has begun to stop it, and answers nobody
that it runs), and *confirmed* once a user may be answered so. The paper's coordinator (Algorithm 3)
releases its exclusive lock only after the change was made at every active server; here nobody
answers that a job is cancelled before that, whoever is asked and by whichever request. A leader
that may act is one that holds its lease and a recent enough view, or promises of all the others:

- by lease, its view is younger than an agent's lease, so an entry older than that is in it;
- by promises, it has with every promise the entries that its giver knew (Algorithm 4's transfer
  of missing entries). Whoever confirms a cancel by the passing of time has known the entry for
  longer than a promise lasts, so each promise of its own that is still valid has carried it; also
  one given before a restart is over by then.
"""

from __future__ import annotations

from marblestair.core.jobs.cancel_registry import (
    KNOWN_EVERYWHERE_LEASES,
    CancelEntry,
    CancelRegistry,
)
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.messages import ApplyCancel, CancelConfirmed
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import PeerRequest, Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.state import keys
from marblestair.core.state.records import JobRecord, ShardMap, ShardRecord, with_cancel
from marblestair.core.state.store_view import StoreView

#: time for another controller to apply an entry, in seconds
APPLY_PEER_S = 0.8
#: controllers send one another something twice a second; one from which nothing came for this long
#: is not waited for while a user waits
SILENT_S = 2.0
#: agents' leases for which a propagation is carried on without anybody asking
BACKGROUND_LEASES = 2.5
#: propagations carried on at once that nobody waits for
MOST_IN_BACKGROUND = 64
#: pauses between two rounds of a propagation: while a user waits, and in the background
WAITING_PAUSE_S, BACKGROUND_PAUSE_S = 0.05, 0.5


class Cancellations:
    """How one node has committed cancels applied, and when it counts them as confirmed."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        connectivity: Connectivity,
        cancels: CancelRegistry,
        dependencies: DependencyGraph,
        managed_jobs: dict[str, ManagedJob],
        reader: RecordReader,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._connectivity = connectivity
        self._cancels = cancels
        self._dependencies = dependencies
        self._managed_jobs = managed_jobs
        self._reader = reader

    # --- confirmation ----------------------------------------------------------------------

    def shards_without_entry(self, job: str) -> list[int] | None:
        """List the shards whose leaders may act without the entry.

        None when that is not known, because leaders may have changed before the entry was
        committed and are not in the view yet.
        """
        view = self._view
        entry = self._cancels.get(job)
        record = view.jobs.get(job)
        if entry is None or record is None:
            return None
        if view.shard_map is None or view.revision < entry.revision:
            return None
        if self._is_known_everywhere(entry):
            return []
        return [
            shard_id
            for shard_id in sorted(self._concerned_shards(job, record))
            if not self._has_entry(shard_id, view.shard_map.shards[shard_id], entry)
        ]

    def _concerned_shards(self, job: str, record: JobRecord) -> set[int]:
        """Shards whose leaders may act for the job or answer about it, or what depends on it.

        The leaders of its slices may start its tasks, its manager may answer that it runs, and the
        managers of its descendants that those are queued.
        """
        shard_ids = {record.manager_shard, *map(int, record.slices)}
        for descendant in self._dependencies.descendants(job):
            # Of one that is over, though the index does not show it yet, nobody answers that.
            live = self._view.jobs.get(descendant)
            if live is not None:
                shard_ids.add(live.manager_shard)
        return shard_ids

    def _has_entry(self, shard_id: int, shard: ShardRecord, entry: CancelEntry) -> bool:
        """Whether a shard's present leader is known to have applied an entry."""
        is_here = (shard.leader, shard.incarnation) == self._context.identity
        return is_here or entry.applied_terms.get(shard_id) == shard.term

    def _is_known_everywhere(self, entry: CancelEntry) -> bool:
        """Whether whoever has not applied an entry by now can act no more."""
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        return self._context.now - entry.known_since > KNOWN_EVERYWHERE_LEASES * agent_lease_s

    def is_confirmed(self, job: str) -> bool:
        """Whether users may be answered that the job is cancelled; marks it so when they may."""
        entry = self._cancels.get(job)
        if entry is None:
            return False
        if not entry.is_confirmed and self.shards_without_entry(job) == []:
            self._log_confirmed(job, entry)
            self._cancels.mark_confirmed(job, entry.revision)
            self._context.broadcast(CancelConfirmed(job, entry.revision))
        return entry.is_confirmed

    def _log_confirmed(self, job: str, entry: CancelEntry) -> None:
        by_time = self._is_known_everywhere(entry)
        self._cancels.log(
            "confirmed",
            job,
            after_s=round(self._context.now - entry.known_since, 2),
            by="time" if by_time else f"answers {entry.applied_terms}",
            view_rev=self._view.revision,
        )

    # --- propagation -----------------------------------------------------------------------

    def apply_entry(self, job: str, revision: int) -> list[list[int]]:
        """Another node asks to apply an entry: the shards and terms for which that is done."""
        self._cancels.record(job, revision)
        return [[shard.shard_id, shard.term] for shard in self._leadership.led_shards()]

    def propagate(self, job: str, silent_s: float | None = None) -> Coroutine[bool]:
        """Ask every leader that may lack the entry to apply it, the latest received from first.

        Leaders from which nothing came for ``silent_s``, or ever, are left out. Returns whether the
        cancel is confirmed.
        """
        entry = self._cancels.get(job)
        shard_map = self._view.shard_map
        if entry is not None and shard_map is not None:
            for node in self._leaders_without_entry(job, shard_map):
                if node == self._context.node or self._is_silent(node, silent_s):
                    continue
                request = ApplyCancel(job, entry.revision)
                applied = yield PeerRequest(node, request, APPLY_PEER_S)
                for pair in applied if isinstance(applied, list) else ():
                    entry.applied_terms[int(pair[0])] = int(pair[1])
        return self.is_confirmed(job)

    def _leaders_without_entry(self, job: str, shard_map: ShardMap) -> list[str]:
        """Leaders that may lack the entry, those first from which something came latest."""
        nodes = {
            shard_map.shards[shard_id].leader for shard_id in self.shards_without_entry(job) or ()
        }
        last = self._connectivity.last_received_at
        received = sorted((node for node in nodes if node in last), key=lambda n: (-last[n], n))
        return received + sorted(node for node in nodes if node not in last)

    def _is_silent(self, node: str, silent_s: float | None) -> bool:
        """Whether nothing has come from a node, ever or for longer than some seconds."""
        last = self._connectivity.last_received_at.get(node)
        if last is None:
            return True
        return silent_s is not None and self._context.now - last > silent_s

    def await_confirmation(self, job: str, most_s: float) -> Coroutine[bool]:
        """Have a committed cancel applied within some time; whether it is confirmed."""
        until = self._context.now + most_s
        while self._cancels.is_known(job):
            # A user waits: those that do not reply anyway are left to what goes on afterwards.
            if (yield from self.propagate(job, SILENT_S)):
                return True
            if self._context.now >= until:
                self.propagate_in_background(job)
                return False
            yield Sleep(WAITING_PAUSE_S)
        return False

    def propagate_in_background(self, job: str) -> None:
        """Go on with a propagation while nobody waits, for a bounded time."""
        entry = self._cancels.get(job)
        if entry is None or entry.is_confirmed or entry.is_propagating:
            return
        managed = self._managed_jobs.get(job)
        if managed is not None and managed.is_advancing:
            return
        in_background = sum(other.is_propagating for other in self._cancels.entries())
        if in_background < MOST_IN_BACKGROUND:
            entry.is_propagating = True
            self._context.spawn(self._propagate_until_confirmed(job, entry))

    def _propagate_until_confirmed(self, job: str, entry: CancelEntry) -> Coroutine[None]:
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        until = self._context.now + BACKGROUND_LEASES * agent_lease_s
        try:
            while self._cancels.get(job) is entry and not entry.is_confirmed:
                if self._context.now >= until or (yield from self.propagate(job)):
                    return
                yield Sleep(BACKGROUND_PAUSE_S)
        finally:
            entry.is_propagating = False

    # --- by way of the record --------------------------------------------------------------

    def commit_entry(self, job: str) -> Coroutine[None]:
        """Commit the entry of a cancel to the record, where the manager does not reply.

        A refused or silent connection shows nothing about the controller behind it, so nothing
        is taken from it; every leader that can read finds the entry by its watch.
        """
        status = yield from self._reader.read_record(job)
        record = self._view.jobs.get(job)
        if status is None or record is None or record.is_cancelled:
            return
        key = keys.JOBS + job
        cancelled = with_cancel(record, self._context.settings.cluster.state.value_kb)
        swap = CompareAndSwap(
            [(key, self._view.version(key))], [Put(key, cancelled)], [], RequestPriority.ACCEPTANCE
        )
        response: StoreResponse = yield swap
        if response.status == 200:
            self._view.apply_commit(swap, response.revision)
            self._view.publish_changes()
        # Uncertain or outrun: the next request reads the record again.
