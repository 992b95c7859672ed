"""Migration of unstarted slices between parts: the paper's Algorithms 1, 2 and 4.

The source drops the task numbers first, then asks the job's ServerManager for the shared and the
short-term lock in one call, reports the change of ActiveServers (``stay`` or ``log_off``), tells
the target, and releases the shared lock. The manager commits the change of the record before it
answers, so the target starts nothing that the record does not give it. Without an answer the task
numbers belong to nobody here until the record has been read back.
"""

from __future__ import annotations

from typing import Any

from marblestair.core.domain.index_ranges import Ranges
from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.jobs.migration_locks import MigrationLocks, UpdateReply
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.jobs.server_manager import LOG_OFF, STAY
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.messages import (
    AnnounceMigration,
    LockSlices,
    ReleaseSlices,
    SendChangeEntries,
    UpdateSlices,
)
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import PeerRequest, Sleep
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.placement import capacity_by_zone, gang_fits, placeable_tasks
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.scheduling.quota_ledger import QuotaLedger
from marblestair.core.scheduling.quota_transfers import QuotaTransfers
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

#: time for a manager, and for the target, to reply, in seconds
MANAGER_S, TARGET_S = 1.5, 0.5
#: migrations under way at once, per node
MOST = 4
#: seconds for which what another part told of its room counts
SUMMARY_FRESH_S = 1.5
#: seconds that a slice waits in its part before it looks elsewhere
LEAST_WAIT_S = 0.3


def reserve_capacity(summary: ShardSummary, spec: JobSpec, n: int) -> None:
    """What is on its way to a part is not free there any more."""
    need = spec.resources
    share = summary.free_quota.get(spec.team, [0, 0])
    for i in range(2):
        share[i] -= n * need[i]
    for rooms in (summary.free_capacity, summary.preemptible_capacity):
        for k, told in enumerate(rooms):
            if n <= 0:
                return
            take = min(n, sum(capacity_by_zone(spec, need, [told]).values()))
            if take > 0:
                n -= take
                free = [f - take * x for f, x in zip(told[3:], need, strict=True)]
                rooms[k] = (told[0], told[1], told[2], free[0], free[1], free[2])


class ReportedCapacity:
    """What other parts told of their free room, counted once per shape of task.

    Many jobs have the same shape.
    """

    def __init__(self) -> None:
        self._known: dict[tuple[Any, ...], int] = {}

    def forget(self) -> None:
        """Something is on its way there: count anew."""
        self._known.clear()

    def fitting(self, summary: ShardSummary, job_slice: JobSlice) -> int:
        """How many tasks fit into a part's told rooms."""
        shape = (summary.shard_id, _kinds(job_slice.spec), job_slice.resources)
        count = self._known.get(shape)
        if count is None:
            count = sum(
                capacity_by_zone(
                    job_slice.spec, job_slice.resources, summary.free_capacity
                ).values()
            )
            self._known[shape] = count
        return count

    def fits_whole(
        self, summary: ShardSummary, job_slice: JobSlice, count: int, with_held: bool
    ) -> bool:
        """Whether so many tasks fit together, also by what may be stopped if ``with_held``."""
        spec = job_slice.spec
        how = (spec.single_zone, spec.spread_zones, spec.task_count, with_held)
        shape = (summary.shard_id, _kinds(spec), job_slice.resources, count, how)
        fits = self._known.get(shape)
        if fits is None:
            rooms = (
                summary.free_capacity + summary.preemptible_capacity
                if with_held
                else summary.free_capacity
            )
            fits = self._known[shape] = int(gang_fits(spec, job_slice.resources, rooms, count))
        return bool(fits)


def _kinds(spec: JobSpec) -> tuple[Any, ...]:
    """The kinds of machine that a job may run on."""
    types = None if spec.machine_types is None else tuple(spec.machine_types)
    return types, spec.zone, spec.allows_spot


def _is_whole(spec: JobSpec) -> bool:
    """Whether a job's tasks stay in one slice."""
    return spec.kind == JobKind.GANG or spec.single_zone or spec.spread_zones


def _most_share_left(others: list[ShardSummary]) -> dict[str, int]:
    """Team -> the most cpus that one of the other parts has left of its share."""
    left: dict[str, int] = {}
    for summary in others:
        for team, free in summary.free_quota.items():
            left[team] = max(left.get(team, 0), free[0])
    return left


class SliceMigrations:
    """The migrations from one node's parts."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        quotas: QuotaLedger,
        quota_transfers: QuotaTransfers,
        summaries: ReceivedSummaries,
        failures: FailureAttribution,
        arrivals: Arrivals,
        preemption: Preemption,
        dispatcher: Dispatcher,
        migration_locks: MigrationLocks,
        reader: RecordReader,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._quotas = quotas
        self._quota_transfers = quota_transfers
        self._summaries = summaries
        self._failures = failures
        self._arrivals = arrivals
        self._preemption = preemption
        self._dispatcher = dispatcher
        self._migration_locks = migration_locks
        self._reader = reader
        self.active_count = 0
        self.completed_count = 0
        self._count = 0

    # --- source ----------------------------------------------------------------------------

    def start(
        self, shard: Shard, job_slice: JobSlice, ranges: list[list[int]], target: int
    ) -> bool:
        """Begin to migrate pending tasks of a slice, unless too much is under way."""
        if (
            self.active_count >= MOST
            or job_slice.migrating_ranges
            or job_slice.is_cancelled
            or job_slice.is_unreconciled
        ):
            return False
        for a, b in ranges:
            for i in range(a, b):
                if not job_slice.pending.discard(i):
                    raise ValueError("only pending tasks migrate")
        self.active_count += 1
        self._count += 1
        holder = f"{self._context.node}-{self._context.incarnation}-{self._count}"
        job_slice.migrating_ranges = [list(r) for r in ranges]
        job_slice.migration_holder = holder
        self._context.spawn(self._migrate(shard, job_slice, target, holder))
        return True

    def migrate_pending(self, shard: Shard) -> None:
        """Find room elsewhere for what cannot start here."""
        others = [] if shard.unreconciled_machines else self._recent_summaries(shard)
        if not others:
            return
        rooms = ReportedCapacity()
        survey = self._preemption.survey(shard)
        #: team -> whether its share here is not all in use
        spare: dict[str, bool] = {}
        left = _most_share_left(others)
        for job_slice in self._dispatcher.pending_in_order(shard):
            if self.active_count >= MOST:
                return
            if not self._may_leave(job_slice):
                continue
            hurried = job_slice.spec.kind == JobKind.GANG and self._arrivals.is_latency_sensitive(
                job_slice.spec
            )
            if hurried:
                share = self._quotas.quota(shard, job_slice.spec.team)
                if self._preemption.can_preempt_for(shard, job_slice, share, survey):
                    continue
            best, count = None, 0
            if left.get(job_slice.spec.team, 0) >= job_slice.resources[0]:
                best, count = self._best_target(job_slice, others, rooms, hurried)
            if best is None:
                self._offer_quota(shard, job_slice, others, rooms, spare)
            elif self.start(shard, job_slice, job_slice.pending.tail(count), best.shard_id):
                reserve_capacity(best, job_slice.spec, count)
                rooms.forget()

    def _recent_summaries(self, shard: Shard) -> list[ShardSummary]:
        """What the owners of the other parts told just now."""
        shard_map = self._view.shard_map
        if shard_map is None:
            return []
        return [
            summary
            for number, (told_at, summary) in sorted(self._summaries.items())
            if number != shard.shard_id
            and self._context.now - told_at < SUMMARY_FRESH_S
            and number < len(shard_map.shards)
            and summary.term == shard_map.shards[number].term
        ]

    def _may_leave(self, job_slice: JobSlice) -> bool:
        """Whether tasks of a slice may look for room in another part."""
        if job_slice.is_unreconciled or job_slice.migrating_ranges or job_slice.is_stopping_gang:
            return False
        if self._failures.is_quarantined(job_slice.spec.id):
            return False
        if self._context.now - job_slice.pending_since < LEAST_WAIT_S:
            return False
        return not (_is_whole(job_slice.spec) and (job_slice.placed_on or job_slice.done_count))

    def _best_target(
        self,
        job_slice: JobSlice,
        others: list[ShardSummary],
        rooms: ReportedCapacity,
        hurried: bool,
    ) -> tuple[ShardSummary | None, int]:
        """Choose the part that takes most of a slice's waiting tasks, and how many."""
        best, most = None, 0
        for summary in others:
            count = self._most_accepted(job_slice, summary, rooms, hurried)
            if count > most:
                best, most = summary, count
        return best, most

    def _most_accepted(
        self, job_slice: JobSlice, summary: ShardSummary, rooms: ReportedCapacity, hurried: bool
    ) -> int:
        """How many of a slice's waiting tasks a part has room and share for."""
        spec = job_slice.spec
        count = len(job_slice.pending)
        share = summary.free_quota.get(spec.team, [0, 0])
        for have, amount in zip(share, job_slice.resources, strict=False):
            if amount > 0:
                count = min(count, have // amount)
        if _is_whole(spec):
            whole = count == len(job_slice.pending) and rooms.fits_whole(
                summary, job_slice, count, hurried
            )
            return count if whole else 0
        return min(count, rooms.fitting(summary, job_slice)) if count > 0 else 0

    def _offer_quota(
        self,
        shard: Shard,
        job_slice: JobSlice,
        others: list[ShardSummary],
        rooms: ReportedCapacity,
        spare: dict[str, bool],
    ) -> None:
        """Send share to a part with room for a slice's tasks, if some of it is not in use."""
        team = job_slice.spec.team
        if team not in spare:
            used, share = shard.usage(team), self._quotas.quota(shard, team)
            spare[team] = any(u < x for u, x in zip(used, share, strict=True))
        if spare[team] and not self._quotas.pending_releases:
            self._send_quota(shard, job_slice, others, rooms)

    def _send_quota(
        self, shard: Shard, job_slice: JobSlice, others: list[ShardSummary], rooms: ReportedCapacity
    ) -> None:
        """Send share to a part whose machines have room for the team's tasks.

        The tasks follow by migration. Room under the limit that no machine here can use
        would else be lost to the team.
        """
        team, need = job_slice.spec.team, job_slice.resources
        used, share = shard.usage(team), self._quotas.quota(shard, team)
        if job_slice.spec.kind != JobKind.GANG:
            share = (share[0] - self._quota_transfers.largest_gang(shard, team), share[1])
            if share[0] <= used[0]:
                return
        here = -1
        for summary in others:
            fitting = rooms.fitting(summary, job_slice)
            if fitting <= 0:
                continue
            if here < 0:
                here = placeable_tasks(shard, job_slice.spec, self._context.now)
            if _is_whole(job_slice.spec) and not rooms.fits_whole(
                summary, job_slice, len(job_slice.pending), False
            ):
                continue
            count = min(fitting, len(job_slice.pending) - here)
            there = summary.free_quota.get(team, [0, 0])
            give = [max(0, min(share[i] - used[i], count * need[i] - there[i])) for i in range(2)]
            if count > 0 and any(give):
                self._quotas.pending_releases[(shard.shard_id, team)] = give
                self._context.spawn(
                    self._quota_transfers.transfer(shard, summary.shard_id, team, give)
                )
                return

    def _ask_manager(
        self, message: LockSlices | UpdateSlices | ReleaseSlices
    ) -> Coroutine[UpdateReply]:
        """Ask the job's ServerManager, wherever it is."""
        record = self._view.jobs.get(message.job)
        if record is None:
            return None
        manager = self._leadership.leader_of(record.manager_shard)
        if manager == self._context.node:
            return (yield from self._migration_locks.handle(message))
        if manager is None:
            return None
        reply: UpdateReply = yield PeerRequest(manager, message, MANAGER_S)
        return reply

    def _migrate(
        self, shard: Shard, job_slice: JobSlice, target: int, holder: str
    ) -> Coroutine[None]:
        job = job_slice.spec.id
        try:
            locked = False
            for _ in range(8):
                locked = (yield from self._ask_manager(LockSlices(job, holder))) is True
                if locked or job_slice.is_cancelled or shard.slices.get(job) is not job_slice:
                    break
                yield Sleep(0.1)
            if not locked:
                self._restore(shard, job_slice, holder)
                yield from self._ask_manager(ReleaseSlices(job, holder))
                return
            if not job_slice.migrating_ranges or job_slice.migration_holder != holder:
                # The record no longer gives them to this part.
                yield from self._ask_manager(ReleaseSlices(job, holder))
                return
            left = Ranges(job_slice.ranges)
            for a, b in job_slice.migrating_ranges:
                for i in range(a, b):
                    left.discard(i)
            option = STAY if len(left) else LOG_OFF
            update = UpdateSlices(
                job,
                holder,
                shard.shard_id,
                shard.term,
                option,
                target,
                [list(pair) for pair in job_slice.migrating_ranges],
            )
            got = yield from self._ask_manager(update)
            if got is False:
                self._restore(shard, job_slice, holder)
                yield from self._ask_manager(ReleaseSlices(job, holder))
                return
            if isinstance(got, list):
                self.completed_count += 1
                yield from self._notify_target(job, target, int(got[0]))
            yield from self._await_outcome(shard, job_slice, holder)
        finally:
            self.active_count -= 1

    def _notify_target(self, job: str, target: int, version: int) -> Coroutine[None]:
        """Tell the target of a migration.

        It names the last change entry that it knows of the job, and gets only later ones
        (Algorithm 4).
        """
        owner = self._leadership.leader_of(target)
        if owner is None or owner == self._context.node:
            return
        known = yield PeerRequest(owner, AnnounceMigration(job, version), TARGET_S)
        record = self._view.jobs.get(job)
        if isinstance(known, int) and record is not None and len(record.change_list) > known:
            version_now = self._view.version(keys.JOBS + job)
            entries = record.change_list[known:]
            later = SendChangeEntries(job, known, entries, version_now)
            yield PeerRequest(owner, later, TARGET_S)

    def _await_outcome(self, shard: Shard, job_slice: JobSlice, holder: str) -> Coroutine[None]:
        """Wait until the record shows what became of the task numbers that were dropped.

        They may be pending here again only once the manager has given the holder's locks up, so
        that an update that is still on its way will be refused, and only after the record has
        been read afresh.
        """
        job = job_slice.spec.id
        released = False
        while True:
            released = (yield from self._ask_manager(ReleaseSlices(job, holder))) is True
            here = (
                self._leadership.shards.get(shard.shard_id) is shard
                and shard.slices.get(job) is job_slice
            )
            # Once this migration is settled, the slice may be in the middle of the next one,
            # whose dropped numbers are not this one's to restore.
            if not here or not job_slice.migrating_ranges or job_slice.migration_holder != holder:
                if released or not here:
                    return
            elif released and (yield from self._reader.refresh(job)):
                self._restore(shard, job_slice, holder)
                return
            if job not in self._view.jobs:
                return
            yield Sleep(0.2)

    def _restore(self, shard: Shard, job_slice: JobSlice, holder: str) -> None:
        """The task numbers that were dropped and are still this part's are pending again."""
        if job_slice.migration_holder != holder:
            return
        leaving, job_slice.migrating_ranges = job_slice.migrating_ranges, []
        if job_slice.is_cancelled or shard.slices.get(job_slice.spec.id) is not job_slice:
            return
        for a, b in leaving:
            for i in range(a, b):
                if (
                    job_slice.contains(i)
                    and i not in job_slice.placed_on
                    and not (job_slice.done_bits >> i) & 1
                ):
                    job_slice.pending.add(i, i + 1)
