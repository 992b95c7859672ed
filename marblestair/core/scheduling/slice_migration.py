"""Migration of unstarted slices between parts: the paper's Algorithms 1, 2 and 4.

The source drops the task numbers first, then asks the job's ServerManager for the shared and the
short-term lock in one call, reports the change of ActiveServers (``stay`` or ``log_off``), tells
the target, and releases the shared lock. The manager commits the change of the record before it
answers, so the target starts nothing that the record does not give it. Without an answer the task
numbers belong to nobody here until the record has been read back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marblestair.core.domain.index_ranges import Ranges
from marblestair.core.domain.model import GANG, JobSpec
from marblestair.core.jobs.server_manager import LOG_OFF, STAY
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.requests import PeerRequest, Sleep
from marblestair.core.scheduling.placement import capacity_by_zone, gang_fits, placeable_tasks
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller
    from marblestair.core.runtime.outbox import ShardSummary

#: migrations under way at once, per node
MOST = 4
#: seconds for which what another part told of its room counts
SUMMARY_FRESH_S = 1.5
#: seconds that a slice waits in its part before it looks elsewhere
LEAST_WAIT_S = 0.3


def reserve_capacity(g: ShardSummary, spec: JobSpec, n: int) -> None:
    """What is on its way to a part is not free there any more."""
    need = spec.resources
    share = g.free_quota.get(spec.team, [0, 0])
    for i in range(2):
        share[i] -= n * need[i]
    for rooms in (g.free_capacity, g.preemptible_capacity):
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

    def fitting(self, summary: ShardSummary, s: JobSlice) -> int:
        """How many tasks fit into a part's told rooms."""
        shape = (summary.shard_id, _kinds(s.spec), s.resources)
        count = self._known.get(shape)
        if count is None:
            count = sum(capacity_by_zone(s.spec, s.resources, summary.free_capacity).values())
            self._known[shape] = count
        return count

    def fits_whole(self, summary: ShardSummary, s: JobSlice, count: int, with_held: bool) -> bool:
        """Whether so many tasks fit together, also by what may be stopped if ``with_held``."""
        spec = s.spec
        how = (spec.single_zone, spec.spread_zones, spec.task_count, with_held)
        shape = (summary.shard_id, _kinds(spec), s.resources, count, how)
        fits = self._known.get(shape)
        if fits is None:
            rooms = (
                summary.free_capacity + summary.preemptible_capacity
                if with_held
                else summary.free_capacity
            )
            fits = self._known[shape] = int(gang_fits(spec, s.resources, rooms, count))
        return bool(fits)


def _kinds(spec: JobSpec) -> tuple[Any, ...]:
    """The kinds of machine that a job may run on."""
    types = None if spec.machine_types is None else tuple(spec.machine_types)
    return types, spec.zone, spec.allows_spot


def _is_whole(spec: JobSpec) -> bool:
    """Whether a job's tasks stay in one slice."""
    return spec.kind == GANG or spec.single_zone or spec.spread_zones


def _most_share_left(others: list[ShardSummary]) -> dict[str, int]:
    """Team -> the most cpus that one of the other parts has left of its share."""
    left: dict[str, int] = {}
    for summary in others:
        for team, free in summary.free_quota.items():
            left[team] = max(left.get(team, 0), free[0])
    return left


class SliceMigrations:
    """The migrations from one node's parts."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self.active_count = 0
        self.completed_count = 0
        self._count = 0

    # --- source ----------------------------------------------------------------------------

    def start(self, part: Shard, s: JobSlice, ranges: list[list[int]], target: int) -> bool:
        """Begin to migrate pending tasks of a slice, unless too much is under way."""
        if self.active_count >= MOST or s.migrating_ranges or s.is_cancelled or s.is_unreconciled:
            return False
        for a, b in ranges:
            for i in range(a, b):
                if not s.pending.discard(i):
                    raise ValueError("only pending tasks migrate")
        self.active_count += 1
        self._count += 1
        holder = f"{self.controller.node}-{self.controller.incarnation}-{self._count}"
        s.migrating_ranges = [list(r) for r in ranges]
        s.migration_holder = holder
        self.controller.spawn(self._migrate(part, s, target, holder))
        return True

    def migrate_pending(self, part: Shard) -> None:
        """Find room elsewhere for what cannot start here."""
        controller = self.controller
        others = [] if part.unreconciled_machines else self._recent_summaries(part)
        if not others:
            return
        rooms = ReportedCapacity()
        survey = controller.preemption.survey(part)
        #: team -> whether its share here is not all in use
        spare: dict[str, bool] = {}
        left = _most_share_left(others)
        for s in controller.dispatcher.pending_in_order(part):
            if self.active_count >= MOST:
                return
            if not self._may_leave(s):
                continue
            hurried = s.spec.kind == GANG and controller.fleet.arrivals.is_latency_sensitive(s.spec)
            if hurried:
                share = controller.quota(part, s.spec.team)
                if controller.preemption.make_room(part, s, share, False, survey):
                    continue
            best, count = None, 0
            if left.get(s.spec.team, 0) >= s.resources[0]:
                best, count = self._best_target(s, others, rooms, hurried)
            if best is None:
                self._offer_quota(part, s, others, rooms, spare)
            elif self.start(part, s, s.pending.tail(count), best.shard_id):
                reserve_capacity(best, s.spec, count)
                rooms.forget()

    def _recent_summaries(self, part: Shard) -> list[ShardSummary]:
        """What the owners of the other parts told just now."""
        controller = self.controller
        split = controller.view.shard_map
        if split is None:
            return []
        return [
            summary
            for number, (told_at, summary) in sorted(controller.shard_summaries.items())
            if number != part.shard_id
            and controller.now - told_at < SUMMARY_FRESH_S
            and number < len(split.shards)
            and summary.term == split.shards[number].term
        ]

    def _may_leave(self, s: JobSlice) -> bool:
        """Whether tasks of a slice may look for room in another part."""
        controller = self.controller
        if s.is_unreconciled or s.migrating_ranges or s.is_stopping_gang:
            return False
        if controller.failures.is_quarantined(s.spec.id):
            return False
        if controller.now - s.pending_since < LEAST_WAIT_S:
            return False
        return not (_is_whole(s.spec) and (s.placed_on or s.done_count))

    def _best_target(
        self, s: JobSlice, others: list[ShardSummary], rooms: ReportedCapacity, hurried: bool
    ) -> tuple[ShardSummary | None, int]:
        """Choose the part that takes most of a slice's waiting tasks, and how many."""
        best, most = None, 0
        for summary in others:
            count = self._most_accepted(s, summary, rooms, hurried)
            if count > most:
                best, most = summary, count
        return best, most

    def _most_accepted(
        self, s: JobSlice, summary: ShardSummary, rooms: ReportedCapacity, hurried: bool
    ) -> int:
        """How many of a slice's waiting tasks a part has room and share for."""
        spec = s.spec
        count = len(s.pending)
        share = summary.free_quota.get(spec.team, [0, 0])
        for have, amount in zip(share, s.resources, strict=False):
            if amount > 0:
                count = min(count, have // amount)
        if _is_whole(spec):
            whole = count == len(s.pending) and rooms.fits_whole(summary, s, count, hurried)
            return count if whole else 0
        return min(count, rooms.fitting(summary, s)) if count > 0 else 0

    def _offer_quota(
        self,
        part: Shard,
        s: JobSlice,
        others: list[ShardSummary],
        rooms: ReportedCapacity,
        spare: dict[str, bool],
    ) -> None:
        """Send share to a part with room for a slice's tasks, if some of it is not in use."""
        controller = self.controller
        team = s.spec.team
        if team not in spare:
            used, share = part.usage(team), controller.quota(part, team)
            spare[team] = any(u < x for u, x in zip(used, share, strict=True))
        if spare[team] and not controller.pending_quota_releases:
            self._send_quota(part, s, others, rooms)

    def _send_quota(
        self, part: Shard, s: JobSlice, others: list[ShardSummary], rooms: ReportedCapacity
    ) -> None:
        """Send share to a part whose machines have room for the team's tasks.

        The tasks follow by migration. Room under the limit that no machine here can use
        would else be lost to the team.
        """
        controller = self.controller
        team, need = s.spec.team, s.resources
        used, share = part.usage(team), controller.quota(part, team)
        if s.spec.kind != GANG:
            share = (share[0] - controller.quota_transfers.largest_gang(part, team), share[1])
            if share[0] <= used[0]:
                return
        here = -1
        for summary in others:
            fitting = rooms.fitting(summary, s)
            if fitting <= 0:
                continue
            if here < 0:
                here = placeable_tasks(part, s.spec, controller.now)
            if _is_whole(s.spec) and not rooms.fits_whole(summary, s, len(s.pending), False):
                continue
            count = min(fitting, len(s.pending) - here)
            there = summary.free_quota.get(team, [0, 0])
            give = [max(0, min(share[i] - used[i], count * need[i] - there[i])) for i in range(2)]
            if count > 0 and any(give):
                controller.pending_quota_releases[(part.shard_id, team)] = give
                controller.spawn(
                    controller.quota_transfers.transfer(part, summary.shard_id, team, give)
                )
                return

    def _ask_manager(self, job: str, tag: str, args: list[Any]) -> Step:
        """Ask the job's ServerManager, wherever it is."""
        controller = self.controller
        record = controller.view.jobs.get(job)
        owner = controller.leader_of(record.manager_shard) if record is not None else None
        if owner == controller.node:
            return (yield from controller.migration_locks.handle(tag, args))
        if owner is None:
            return None
        return (yield PeerRequest(owner, tag, args, 1.5))

    def _migrate(self, part: Shard, s: JobSlice, target: int, holder: str) -> Coroutine:
        job = s.spec.id
        try:
            locked = False
            for _ in range(8):
                locked = (yield from self._ask_manager(job, "lock", [job, holder])) is True
                if locked or s.is_cancelled or part.slices.get(job) is not s:
                    break
                yield Sleep(0.1)
            if not locked:
                self._restore(part, s, holder)
                yield from self._ask_manager(job, "release", [job, holder])
                return
            if not s.migrating_ranges or s.migration_holder != holder:
                # The record no longer gives them to this part.
                yield from self._ask_manager(job, "release", [job, holder])
                return
            left = Ranges(s.ranges)
            for a, b in s.migrating_ranges:
                for i in range(a, b):
                    left.discard(i)
            option = STAY if len(left) else LOG_OFF
            args = [job, holder, part.shard_id, part.term, option, target, s.migrating_ranges]
            got = yield from self._ask_manager(job, "update", args)
            if got is False:
                self._restore(part, s, holder)
                yield from self._ask_manager(job, "release", [job, holder])
                return
            if isinstance(got, list):
                self.completed_count += 1
                yield from self._notify_target(job, target, int(got[0]))
            yield from self._await_outcome(part, s, holder)
        finally:
            self.active_count -= 1

    def _notify_target(self, job: str, target: int, version: int) -> Step:
        """Tell the target of a migration.

        It names the last change entry that it knows of the job, and gets only later ones
        (Algorithm 4).
        """
        controller = self.controller
        owner = controller.leader_of(target)
        if owner is None or owner == controller.node:
            return
        known = yield PeerRequest(owner, "arrive", [job, version], 0.5)
        record = controller.view.jobs.get(job)
        if isinstance(known, int) and record is not None and len(record.change_list) > known:
            later = [
                job,
                known,
                record.change_list[known:],
                controller.view.version(keys.JOBS + job),
            ]
            yield PeerRequest(owner, "entries", later, 0.5)

    def _await_outcome(self, part: Shard, s: JobSlice, holder: str) -> Step:
        """Wait until the record shows what became of the task numbers that were dropped.

        They may be pending here again only once the manager has given the holder's locks up, so
        that an update that is still on its way will be refused, and only after the record has
        been read afresh.
        """
        controller = self.controller
        job = s.spec.id
        released = False
        while True:
            released = (yield from self._ask_manager(job, "release", [job, holder])) is True
            here = controller.shards.get(part.shard_id) is part and part.slices.get(job) is s
            # Once this migration is settled, the slice may be in the middle of the next one,
            # whose dropped numbers are not this one's to restore.
            if not here or not s.migrating_ranges or s.migration_holder != holder:
                if released or not here:
                    return
            elif released and (yield from controller.answers.refresh_record(job)):
                self._restore(part, s, holder)
                return
            if job not in controller.view.jobs:
                return
            yield Sleep(0.2)

    def _restore(self, part: Shard, s: JobSlice, holder: str) -> None:
        """The task numbers that were dropped and are still this part's are pending again."""
        if s.migration_holder != holder:
            return
        leaving, s.migrating_ranges = s.migrating_ranges, []
        if s.is_cancelled or part.slices.get(s.spec.id) is not s:
            return
        for a, b in leaving:
            for i in range(a, b):
                if s.contains(i) and i not in s.placed_on and not (s.done_bits >> i) & 1:
                    s.pending.add(i, i + 1)
