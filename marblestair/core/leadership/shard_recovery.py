"""Recovery of a shard by its new leader, from job records and progress pages.

A new leader acts for the shard only after the recovery.

All machines of the shard are unreconciled at first. Tasks that an earlier leader may have launched
are not started again until, for each machine, a heartbeat under the new term has arrived or the
agent's lease has certainly expired.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from marblestair.core.leadership.failover import Failover
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.progress_pages import ProgressPages, StoredProgress
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

#: pause between two checks whether the view includes the commit that acquired the shard
VIEW_CHECK_PAUSE_S = 0.02


class ShardSynchronizer(Protocol):
    """Updates the state of shards to match the view."""

    def sync_machine(self, name: str, recovering: Shard | None = None) -> None:
        """Update a machine to match the view in all ready shards and in ``recovering``."""

    def sync_slice(self, shard: Shard, job: str) -> None:
        """Update a shard's slice of a job to match the view."""


class ShardRecovery:
    """Recovers the shards that one node has acquired."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        failover: Failover,
        progress: ProgressPages,
        on_ready: Callable[[Shard], None],
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._failover = failover
        self._progress = progress
        self._on_ready = on_ready

    def recover(
        self, shard: Shard, acquired_revision: int, synchronizer: ShardSynchronizer
    ) -> Coroutine[None]:
        """Recover a shard that was acquired by the shard map commit at ``acquired_revision``.

        Stops if this node loses the shard before all progress pages of the shard are read.
        """
        # The view must first include all jobs, cancels and machines that were committed before the
        # shard was acquired.
        while self._view.revision < acquired_revision:
            yield Sleep(VIEW_CHECK_PAUSE_S)
            if self._leadership.shards.get(shard.shard_id) is not shard:
                return
        stored = yield from self._progress.load(shard)
        if stored is None:
            return
        self._add_machines(shard, synchronizer)
        for job in self._view.jobs:
            synchronizer.sync_slice(shard, job)
        _load_progress(shard, stored)
        self._mark_slices(shard)
        shard.is_ready = True
        self._log_ready(shard)
        self._on_ready(shard)

    def _add_machines(self, shard: Shard, synchronizer: ShardSynchronizer) -> None:
        """Add the machines of the shard as unreconciled, since their tasks are not known yet."""
        for name, record in self._view.machines.items():
            if record.shard_id == shard.shard_id:
                synchronizer.sync_machine(name, shard)
                shard.unreconciled_machines.add(name)

    def _mark_slices(self, shard: Shard) -> None:
        has_unreconciled = bool(shard.unreconciled_machines)
        for job_slice in shard.slices.values():
            # No task of a blocked job has ever run, so the job may start as soon as it is released.
            job_slice.is_unreconciled = has_unreconciled and not job_slice.is_blocked
            if job_slice.is_cancelled:
                # The cancel may have been confirmed to a user before the earlier leader failed, so
                # ``cancelled_at`` is set back by the expected duration of a failover.
                job_slice.cancelled_at = self._context.now - self._failover.expected_duration_s

    def _log_ready(self, shard: Shard) -> None:
        elapsed_s = self._context.now - shard.acquired_at
        self._context.log(
            "info",
            f"shard {shard.shard_id} ready, term {shard.term}: {len(shard.machines)} machines,"
            f" {len(shard.slices)} jobs, {elapsed_s:.2f} s after it was acquired",
        )


def _load_progress(shard: Shard, stored: StoredProgress) -> None:
    """Load finished tasks into the slices; pages without a slice become obsolete keys."""
    for job, pages in stored.items():
        job_slice = shard.slices.get(job)
        for number, page in pages.items():
            if job_slice is None:
                key = keys.progress_page(shard.shard_id, job, number)
                shard.obsolete_keys[key] = page.version
                continue
            job_slice.page_versions[number] = page.version
            job_slice.load_done_page(number, page.bits)
