"""Propagation and confirmation of committed cancels.

A cancel passes through three states:

- *committed*: its entry is in the change list of the job's record;
- *applied*: every controller that may act for the job, as leader of the shard of a slice or of the
  manager shard, has the entry. Each of them launches no more tasks of the job, has begun to stop
  the running tasks, and no longer reports the job as running;
- *confirmed*: users may be told that the job is cancelled.

The paper's coordinator (Algorithm 3) releases its exclusive lock only after every active server has
made the change. Likewise, no node tells a user that a job is cancelled before every controller that
may act for the job has applied the cancel. A leader may act if it holds its lease and a recent
view, or holds promises of all other controllers:

- A leader that acts by its lease has a view younger than an agent's lease. So the view contains
  every entry that was committed longer ago than an agent's lease.
- A leader that acts by promises received with each promise the entries that the promising node knew
  (Algorithm 4's transfer of missing entries). A node that confirms a cancel because enough time has
  passed has known the entry for longer than a promise lasts. So each promise that it gave and that
  is still valid carried the entry, and a promise that it gave before a restart has expired.
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

#: timeout of a request to another controller to apply an entry
PEER_APPLY_TIMEOUT_S = 0.8
#: while a user waits for a confirmation, controllers that have sent nothing for this time are not
#: asked; controllers send each other messages twice a second
MAX_SILENCE_S = 2.0
#: maximum duration of a background propagation, in agent leases
MAX_BACKGROUND_LEASES = 2.5
#: limit on concurrent background propagations
MAX_BACKGROUND_PROPAGATIONS = 64
#: pause between two rounds of a propagation while a user waits, and in the background
FOREGROUND_PAUSE_S, BACKGROUND_PAUSE_S = 0.05, 0.5


class Cancellations:
    """Propagates committed cancels to the leaders that must apply them, and confirms cancels."""

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
        """Return the shards whose leaders may not have applied the cancel of a job.

        The list is empty once this node has known the entry for so long that every leader that may
        act has the entry. Returns None if the shards are not known: the cancel or the job's record
        is not known here, or the view is older than the entry and may lack a change of leader that
        was committed before it.
        """
        view = self._view
        entry = self._cancels.get(job)
        record = view.jobs.get(job)
        if entry is None or record is None:
            return None
        if view.shard_map is None or view.revision < entry.revision:
            return None
        if self._is_applied_everywhere_by_time(entry):
            return []
        return [
            shard_id
            for shard_id in sorted(self._shards_needing_entry(job, record))
            if not self._has_entry(shard_id, view.shard_map.shards[shard_id], entry)
        ]

    def _shards_needing_entry(self, job: str, record: JobRecord) -> set[int]:
        """Return the shards whose leaders must apply the cancel of a job before it is confirmed.

        Without the entry, the leaders of the job's slices may start the job's tasks, the job's
        manager may report the job as running, and the managers of the job's descendants may report
        the descendants as queued.
        """
        shard_ids = {record.manager_shard, *map(int, record.slices)}
        for descendant in self._dependencies.descendants(job):
            # The dependency index may still list a descendant that has ended; no manager reports
            # an ended job as queued.
            live = self._view.jobs.get(descendant)
            if live is not None:
                shard_ids.add(live.manager_shard)
        return shard_ids

    def _has_entry(self, shard_id: int, shard: ShardRecord, entry: CancelEntry) -> bool:
        """Whether a shard's current leader is this node or has acknowledged an entry."""
        is_this_node = (shard.leader, shard.incarnation) == self._context.identity
        return is_this_node or entry.applied_terms.get(shard_id) == shard.term

    def _is_applied_everywhere_by_time(self, entry: CancelEntry) -> bool:
        """Whether the entry was known here for long enough to be at each leader that may act."""
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        return self._context.now - entry.known_since > KNOWN_EVERYWHERE_LEASES * agent_lease_s

    def is_confirmed(self, job: str) -> bool:
        """Whether users may be told that the job is cancelled.

        Checks this if the cancel is not marked as confirmed. If every leader concerned has applied
        the cancel, marks it as confirmed and announces the confirmation to the other controllers.
        """
        entry = self._cancels.get(job)
        if entry is None:
            return False
        if not entry.is_confirmed and self.shards_without_entry(job) == []:
            self._log_confirmed(job, entry)
            self._cancels.mark_confirmed(job, entry.revision)
            self._context.broadcast(CancelConfirmed(job, entry.revision))
        return entry.is_confirmed

    def _log_confirmed(self, job: str, entry: CancelEntry) -> None:
        by_time = self._is_applied_everywhere_by_time(entry)
        self._cancels.log(
            "confirmed",
            job,
            after_s=round(self._context.now - entry.known_since, 2),
            by="time" if by_time else f"answers {entry.applied_terms}",
            view_rev=self._view.revision,
        )

    # --- propagation -----------------------------------------------------------------------

    def apply_entry(self, job: str, revision: int) -> list[list[int]]:
        """Apply an entry at another node's request.

        Returns a pair of id and term for each shard that this node leads, because the entry is now
        applied in all of them.
        """
        self._cancels.record(job, revision)
        return [[shard.shard_id, shard.term] for shard in self._leadership.led_shards()]

    def propagate(self, job: str, max_silence_s: float | None = None) -> Coroutine[bool]:
        """Ask every leader that may lack the entry to apply it.

        The leader with the most recent message is asked first. Leaders that have sent no message,
        or none within ``max_silence_s`` if that is given, are skipped. Returns whether the cancel
        is confirmed.
        """
        entry = self._cancels.get(job)
        shard_map = self._view.shard_map
        if entry is not None and shard_map is not None:
            for node in self._leaders_without_entry(job, shard_map):
                if node == self._context.node or self._is_silent(node, max_silence_s):
                    continue
                request = ApplyCancel(job, entry.revision)
                applied = yield PeerRequest(node, request, PEER_APPLY_TIMEOUT_S)
                for pair in applied if isinstance(applied, list) else ():
                    entry.applied_terms[int(pair[0])] = int(pair[1])
        return self.is_confirmed(job)

    def _leaders_without_entry(self, job: str, shard_map: ShardMap) -> list[str]:
        """Return the leaders that may lack the entry, in the order of their latest messages.

        The most recent comes first; leaders that have never sent a message come last.
        """
        nodes = {
            shard_map.shards[shard_id].leader for shard_id in self.shards_without_entry(job) or ()
        }
        last = self._connectivity.last_received_at
        received = sorted((node for node in nodes if node in last), key=lambda n: (-last[n], n))
        return received + sorted(node for node in nodes if node not in last)

    def _is_silent(self, node: str, max_silence_s: float | None) -> bool:
        """Whether a node has sent no message, or none within ``max_silence_s`` if that is given."""
        last = self._connectivity.last_received_at.get(node)
        if last is None:
            return True
        return max_silence_s is not None and self._context.now - last > max_silence_s

    def await_confirmation(self, job: str, timeout_s: float) -> Coroutine[bool]:
        """Propagate a committed cancel until it is confirmed or ``timeout_s`` has passed.

        A round of requests that has begun by then is completed. Returns whether the cancel is
        confirmed; False also if the job ends meanwhile. After the timeout the propagation continues
        in the background.
        """
        until = self._context.now + timeout_s
        while self._cancels.is_known(job):
            # A user waits, so silent leaders are skipped; the background propagation asks them.
            if (yield from self.propagate(job, MAX_SILENCE_S)):
                return True
            if self._context.now >= until:
                self.propagate_in_background(job)
                return False
            yield Sleep(FOREGROUND_PAUSE_S)
        return False

    def propagate_in_background(self, job: str) -> None:
        """Start to propagate a cancel in the background.

        The propagation ends after at most ``MAX_BACKGROUND_LEASES`` agent leases. Does nothing if
        the cancel is not known or already confirmed, if it is already being propagated in the
        background, if the job's manager runs at this node and is taking the job's next steps, or if
        ``MAX_BACKGROUND_PROPAGATIONS`` are running.
        """
        entry = self._cancels.get(job)
        if entry is None or entry.is_confirmed or entry.is_propagating:
            return
        managed = self._managed_jobs.get(job)
        if managed is not None and managed.is_advancing:
            return
        in_background = sum(other.is_propagating for other in self._cancels.entries())
        if in_background < MAX_BACKGROUND_PROPAGATIONS:
            entry.is_propagating = True
            self._context.spawn(self._propagate_until_confirmed(job, entry))

    def _propagate_until_confirmed(self, job: str, entry: CancelEntry) -> Coroutine[None]:
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        until = self._context.now + MAX_BACKGROUND_LEASES * agent_lease_s
        try:
            while self._cancels.get(job) is entry and not entry.is_confirmed:
                if self._context.now >= until or (yield from self.propagate(job)):
                    return
                yield Sleep(BACKGROUND_PAUSE_S)
        finally:
            entry.is_propagating = False

    # --- commit without the manager --------------------------------------------------------

    def commit_entry(self, job: str) -> Coroutine[None]:
        """Commit the entry of a cancel to the job's record in place of the job's manager.

        Called when the manager has not cancelled the job. A refused or silent connection does not
        prove that the manager's node has failed, so that node's shards are not taken over. Every
        leader that can read the store receives the entry by its watch. Nothing is committed if the
        record cannot be read, or if the job has ended or already has a cancel.
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
        # Otherwise the commit failed or its outcome is unknown. The user's next request tries
        # again.
