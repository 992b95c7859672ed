"""What waits in a part and which of it starts next: the order of slices, and their placement.

The whole of what waits is gone through a few times a second (:meth:`Dispatcher.place_all`), and
leaves a queue. A heartbeat that brings capacity up fills the one machine it came from, from that
queue (:meth:`Dispatcher.fill_machine`): what an event costs does not grow with the machines of the
shard.
"""

from __future__ import annotations

from collections.abc import Collection, Container

from marblestair.core.domain.jobs import JobKind
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.best_effort import BestEffortTasks
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.placement import place_array, place_gang
from marblestair.core.scheduling.preemption import Preemption, PreemptionSurvey
from marblestair.core.scheduling.quota import priority_key
from marblestair.core.scheduling.quota_ledger import QuotaLedger
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: the largest jobs, too, are to begin within this time of the users' rules; work that has waited
#: for the second as long is helped ahead of everything else
BEGIN_S = 240.0
BOUND_S = 0.4 * BEGIN_S
#: work older than this is not only to begin but to go on
OLD_S = 2 * BEGIN_S
#: share of a team's room for what has waited for so long
OLD_SHARE = 0.25
#: a slice that has not begun gets this part of its tasks at first
FIRST = 16
#: work of which nothing runs may use what is kept for gangs that are expected after this time, and
#: what waits for a gang after twice as long: nobody waits long beside room
BESIDE_S = BEGIN_S / 8
#: weight of the image's fetch where a job is within its team's guarantee
HURRY = 3.0


class PendingQueue:
    """What waits in a part, as it was last gone through."""

    def __init__(self) -> None:
        #: slices that are helped ahead of everything else: how many tasks each may have at most,
        #: how many of them whatever else is helped, and what is left for all of a team
        self.helped: list[tuple[JobSlice, int, int]] = []
        self.remaining_help: dict[str, int] = {}
        #: all that waits, first things first
        self.order: list[JobSlice] = []
        #: least that a waiting task takes; more than any machine has when nothing waits
        self.least_cpus = 1 << 62
        #: team -> least that a waiting task of an array takes, and the least of any gang's
        self.least_team_cpus: dict[str, int] = {}
        self.least_gang_cpus = 1 << 62

    def set_order(self, order: list[JobSlice]) -> None:
        """Keep what waits, in the order in which it is gone through."""
        self.order = order
        self.least_cpus = min(job_slice.resources[0] for job_slice in order)
        for job_slice in order:
            if job_slice.spec.kind == JobKind.GANG:
                self.least_gang_cpus = min(self.least_gang_cpus, job_slice.resources[0])
            else:
                least = self.least_team_cpus.get(job_slice.spec.team, 1 << 62)
                self.least_team_cpus[job_slice.spec.team] = min(least, job_slice.resources[0])


class PlacementPass:
    """What is known during one look through all that waits in a part."""

    def __init__(
        self, usable: list[Machine], free: list[Machine], survey: PreemptionSurvey
    ) -> None:
        self.usable = usable
        #: those of them that may have room
        self.free = free
        self.survey = survey
        #: share that a gang further ahead waits for: what comes after it leaves that alone
        self.reserved_quota: dict[str, list[int]] = {}
        #: team -> least that found no room under its share
        self.exhausted_teams: dict[str, int] = {}

    def leave_out(self, names: Container[str]) -> None:
        """Some machines are not to be used any more."""
        self.usable = [machine for machine in self.usable if machine.name not in names]
        self.free = [machine for machine in self.free if machine.name not in names]


class Dispatcher:
    """Placement on one node."""

    def __init__(
        self,
        context: NodeContext,
        quotas: QuotaLedger,
        failures: FailureAttribution,
        run_times: RunTimes,
        guarantees: Guarantees,
        arrivals: Arrivals,
        fleet_plan: FleetPlan,
        preemption: Preemption,
        dependencies: DependencyGraph,
        deadline_offsets_s: dict[str, float],
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._failures = failures
        self._run_times = run_times
        self._guarantees = guarantees
        self._arrivals = arrivals
        self._fleet_plan = fleet_plan
        self._preemption = preemption
        self._dependencies = dependencies
        #: class -> seconds by which it is served earlier, from the operators' policy
        self._deadline_offsets_s = deadline_offsets_s
        self._queues: dict[int, PendingQueue] = {}
        #: parts in which something new waits: the next report goes through all of it
        self.shards_with_new_work: set[int] = set()
        self._ordered: dict[int, tuple[float, list[JobSlice]]] = {}

    def pending_in_order(self, shard: Shard) -> list[JobSlice]:
        """Return the part's slices with pending tasks, in the order in which they are served.

        They are put in order once for all that ask at the same moment.
        """
        ordered = self._ordered.get(shard.shard_id)
        if ordered is not None and ordered[0] == self._context.now:
            return [job_slice for job_slice in ordered[1] if self._is_pending(shard, job_slice)]
        order = self._order(shard)
        self._ordered[shard.shard_id] = (self._context.now, order)
        return list(order)

    def _order(self, shard: Shard) -> list[JobSlice]:
        wall, run_times = self._context.wall_time, self._run_times
        guaranteed, hopeless, lead = (
            self._guarantees.jobs,
            self._fleet_plan.infeasible_jobs,
            self._deadline_offsets_s,
        )
        suspected = self._failures.is_quarantined
        waiting = [
            job_slice
            for job_slice in shard.slices.values()
            if job_slice.pending.count and not job_slice.is_cancelled
        ]
        waiting.sort(
            key=lambda job_slice: priority_key(
                job_slice.spec,
                job_slice.spec.id in guaranteed,
                job_slice.spec.id in hopeless,
                wall + lead.get(job_slice.spec.job_class, 0.0),
                run_times.ratio(job_slice.spec.job_class),
                suspected(job_slice.spec.id),
                self._context.teams[job_slice.spec.team].is_best_effort,
                job_slice.startable_since,
                self._dependencies.has_dependents(job_slice.spec.id),
            )
        )
        return waiting

    def place_all(self, shard: Shard) -> None:
        """Go through all that waits."""
        self.shards_with_new_work.discard(shard.shard_id)
        queue = self._queues[shard.shard_id] = PendingQueue()
        order = self.pending_in_order(shard)
        if not order:
            return
        now, claims = self._context.now, self._preemption.claims
        least = min(job_slice.resources[0] for job_slice in order)
        usable = [
            machine
            for machine in shard.machines.values()
            if machine.name not in claims and machine.is_usable(now)
        ]
        free = [machine for machine in usable if machine.free[0] >= least]
        queue.set_order(self._help_oldest(shard, order, usable, free, queue))
        look = PlacementPass(usable, free, self._preemption.survey(shard))
        guest_tasks = BestEffortTasks(self._context, shard)
        for job_slice in queue.order:
            if self._is_held_back(job_slice):
                continue
            if job_slice.spec.kind == JobKind.GANG:
                self._place_gang(shard, job_slice, look)
            else:
                self._place_array(shard, job_slice, look, queue.least_cpus, guest_tasks)

    def _help_oldest(
        self,
        shard: Shard,
        order: list[JobSlice],
        usable: list[Machine],
        free: list[Machine],
        queue: PendingQueue,
    ) -> list[JobSlice]:
        """Help what has waited for long; the order in which the rest is gone through."""
        wall = self._context.wall_time
        old = [job_slice for job_slice in order if wall - job_slice.startable_since > BOUND_S]
        if not old:
            return order
        self._help_starved(shard, old, usable, free, queue)
        suspected = self._failures.is_quarantined
        gangs = [
            job_slice
            for job_slice in old
            if job_slice.spec.kind == JobKind.GANG and not suspected(job_slice.spec.id)
        ]
        return (
            [*gangs, *(job_slice for job_slice in order if job_slice not in gangs)]
            if gangs
            else order
        )

    def _place_array(
        self,
        shard: Shard,
        job_slice: JobSlice,
        look: PlacementPass,
        least: int,
        guest_tasks: BestEffortTasks,
    ) -> None:
        """Launch what fits of an array, and make room for it if it is guaranteed."""
        need = job_slice.resources[0]
        if look.exhausted_teams.get(job_slice.spec.team, 1 << 62) <= need:
            return
        if look.free and self._place_array_tasks(
            shard, job_slice, look.usable, look.free, look.reserved_quota
        ):
            look.free = [machine for machine in look.free if machine.free[0] >= least]
        elif not self._has_quota_for_one(shard, job_slice, look.reserved_quota):
            look.exhausted_teams[job_slice.spec.team] = need
            return
        if job_slice.pending.count and job_slice.spec.id in self._guarantees:
            guest_tasks.preempt_for(
                job_slice, self._lacking_cpus(shard, job_slice, look.reserved_quota)
            )

    def _place_gang(self, shard: Shard, job_slice: JobSlice, look: PlacementPass) -> None:
        """Launch a gang, or hold share for it and clear machines if it is urgent."""
        if (
            self._place_whole_gang(shard, job_slice, look.free, look.reserved_quota)
            or job_slice.placed_on
        ):
            return
        if self._failures.is_quarantined(job_slice.spec.id):
            return
        held = look.reserved_quota.setdefault(job_slice.spec.team, [0, 0])
        if self._arrivals.is_latency_sensitive(job_slice.spec):
            share = self._quotas.quota(shard, job_slice.spec.team)
            ahead = (share[0] - held[0], share[1] - held[1])
            if self._preemption.make_room(shard, job_slice, ahead, True, look.survey):
                # What comes after it may not fill what is being cleared.
                look.leave_out(self._preemption.claims)
        held[0] += len(job_slice.pending) * job_slice.resources[0]
        held[1] += len(job_slice.pending) * job_slice.resources[1]

    def fill_machine(self, shard: Shard, machine: Machine) -> None:
        """Room has come up on a machine: fill it with the answer to this very report."""
        queue = self._queues.get(shard.shard_id)
        if (
            queue is None
            or machine.free[0] < queue.least_cpus
            or not machine.is_usable(self._context.now)
        ):
            return
        claim = self._preemption.claims.get(machine.name)
        if claim is not None:
            # What it was cleared for starts with this very answer, if all its machines are clear.
            gang = shard.slices.get(claim[0])
            if gang is not None and self._is_pending(shard, gang) and not gang.is_unreconciled:
                self._place_whole_gang(shard, gang, None, {})
            return
        if machine.name in self._fleet_plan.draining_machines:
            return
        self._fill_with_helped(shard, machine, queue)
        self._fill_in_order(shard, machine, queue)

    def _fill_with_helped(self, shard: Shard, machine: Machine, queue: PendingQueue) -> None:
        """Start what is helped ahead of everything else, within what it may have."""
        one = [machine]
        for k, (job_slice, most, least) in enumerate(queue.helped):
            cpus, left = job_slice.resources[0], queue.remaining_help.get(job_slice.spec.team, 0)
            n = max(least, min(most, left // cpus)) if cpus else most
            if n > 0 and cpus <= machine.free[0] and self._is_pending(shard, job_slice):
                got = self._place_array_tasks(shard, job_slice, one, one, {}, n)
                queue.helped[k] = (job_slice, most - got, max(0, least - got))
                queue.remaining_help[job_slice.spec.team] = left - got * cpus

    def _fill_in_order(self, shard: Shard, machine: Machine, queue: PendingQueue) -> None:
        """Start on one machine what waits, first things first, until it is full."""
        one = [machine]
        #: team -> least that found no room under its share, and how many teams have none at all
        full: dict[str, int] = {}
        closed = 0
        #: gangs come first for what the share holds; those whose place is not reached hold nothing
        held: dict[str, list[int]] = {}
        for job_slice in queue.order:
            free = machine.free[0]
            if free < queue.least_cpus:
                return
            if not self._is_pending(shard, job_slice) or self._is_held_back(job_slice):
                continue
            team, need = job_slice.spec.team, job_slice.resources
            if job_slice.spec.kind == JobKind.GANG:
                self._fill_gang(shard, job_slice, free, held)
            elif need[0] <= free and full.get(team, 1 << 62) > need[0]:
                if self._place_array_tasks(
                    shard, job_slice, one, one, held
                ) or self._has_quota_for_one(shard, job_slice, held):
                    continue
                full[team] = need[0]
                closed += need[0] <= queue.least_team_cpus.get(team, 0)
                if closed == len(queue.least_team_cpus) and free < queue.least_gang_cpus:
                    return

    def _fill_gang(
        self, shard: Shard, job_slice: JobSlice, free: int, held: dict[str, list[int]]
    ) -> None:
        """Start a gang if a machine's room is what it lacked; else hold share for it."""
        if job_slice.placed_on:
            return
        if free >= job_slice.resources[0] and self._place_whole_gang(shard, job_slice, None, held):
            return
        if self._failures.is_quarantined(job_slice.spec.id):
            return
        share = held.setdefault(job_slice.spec.team, [0, 0])
        share[0] += len(job_slice.pending) * job_slice.resources[0]
        share[1] += len(job_slice.pending) * job_slice.resources[1]

    def _is_held_back(self, job_slice: JobSlice) -> bool:
        """Whether a slice may not start anything now, whatever room there is."""
        return job_slice.is_unreconciled or self._failures.is_backing_off(
            job_slice.spec.id, self._context.now
        )

    def _is_pending(self, shard: Shard, job_slice: JobSlice) -> bool:
        """Whether a slice of the queue, which may be a moment old, still waits here."""
        return (
            bool(job_slice.pending.count)
            and not job_slice.is_cancelled
            and shard.slices.get(job_slice.spec.id) is job_slice
        )

    def _available_quota(
        self, shard: Shard, job_slice: JobSlice, held: dict[str, list[int]]
    ) -> tuple[int, int]:
        share = self._quotas.quota(shard, job_slice.spec.team)
        h = held.get(job_slice.spec.team)
        return share if h is None else (share[0] - h[0], share[1] - h[1])

    def _has_quota_for_one(
        self, shard: Shard, job_slice: JobSlice, held: dict[str, list[int]]
    ) -> bool:
        """Whether the team's share leaves room for one more of the slice's tasks."""
        share, used = (
            self._available_quota(shard, job_slice, held),
            shard.usage(job_slice.spec.team),
        )
        return (
            used[0] + job_slice.resources[0] <= share[0]
            and used[1] + job_slice.resources[1] <= share[1]
        )

    def _lacking_cpus(self, shard: Shard, job_slice: JobSlice, held: dict[str, list[int]]) -> int:
        """Cpus that a slice's waiting tasks may use beyond what they have."""
        room = (
            self._available_quota(shard, job_slice, held)[0] - shard.usage(job_slice.spec.team)[0]
        )
        return max(0, min(room, job_slice.pending.count * job_slice.resources[0]))

    def _place_array_tasks(
        self,
        shard: Shard,
        job_slice: JobSlice,
        usable: list[Machine],
        free: list[Machine],
        held: dict[str, list[int]],
        most: int = 1 << 30,
    ) -> int:
        hurry = HURRY if job_slice.spec.id in self._guarantees else 1.0
        share = self._available_quota(shard, job_slice, held)
        if self._failures.is_quarantined(job_slice.spec.id):
            if job_slice.placed_on:
                return 0
            # It tries with one task at a time.
            most = min(most, 1)
        keep: Collection[str] = self._fleet_plan.reserved_machines.keys()
        drain = self._fleet_plan.draining_machines
        waited = self._context.now - job_slice.pending_since
        if keep and not job_slice.placed_on and waited > BESIDE_S:
            kept = self._fleet_plan.reserved_machines
            keep = {n for n, job in kept.items() if job and waited <= 2 * BESIDE_S}
            if not any(
                machine.name not in kept and machine.free[0] >= job_slice.resources[0]
                for machine in free
            ):
                # One task is enough not to wait; the rest leaves the gang its machines.
                most = min(most, 1)
        avoided = self._failures.avoided_machines(job_slice.spec.id, self._context.now)
        if avoided:
            keep = avoided.union(keep)
        return place_array(
            shard,
            job_slice,
            share,
            usable,
            free,
            self._context.now,
            self._context.rng,
            keep,
            drain,
            hurry,
            most,
        )

    def _place_whole_gang(
        self,
        shard: Shard,
        job_slice: JobSlice,
        free: list[Machine] | None,
        held: dict[str, list[int]],
    ) -> int:
        """Start a gang whole, if there is room, on ``free`` machines or on any."""
        need = job_slice.resources[0]
        machines = shard.machines.values() if free is None else free
        avoided = self._failures.avoided_machines(job_slice.spec.id, self._context.now)
        options = [
            machine
            for machine in machines
            if machine.free[0] >= need and machine.name not in avoided
        ]
        if free is not None:
            # Those that are claimed for this gang are not among them.
            options += [
                machine
                for machine in self._preemption.machines_claimed_for(shard, job_slice.spec.id)
                if machine not in options
            ]
        n = place_gang(
            shard,
            job_slice,
            self._available_quota(shard, job_slice, held),
            self._context.now,
            options,
            self._preemption.is_claimed,
        )
        if n:
            waited_s = self._context.wall_time - job_slice.startable_since
            self._context.log(
                "info",
                f"shard {shard.shard_id} starts {job_slice.spec.id}:"
                f" gang of {job_slice.spec.job_class},"
                f" {waited_s:.1f} s after it could start",
            )
        return n

    def _help_starved(
        self,
        shard: Shard,
        old: list[JobSlice],
        usable: list[Machine],
        free: list[Machine],
        queue: PendingQueue,
    ) -> None:
        """Start work that has waited for long ahead of everything else.

        Of each team, what has not begun gets a few first tasks, and what is older still
        gets a share of the team's room.
        """
        held: dict[str, int] = {}
        left = queue.remaining_help
        #: teams that are owed a task of what is oldest
        owed: set[str] = set()
        for job_slice in shard.slices.values():
            if (
                job_slice.placed_on
                and self._context.wall_time - job_slice.startable_since > BOUND_S
                and job_slice.spec.kind != JobKind.GANG
            ):
                held[job_slice.spec.team] = (
                    held.get(job_slice.spec.team, 0)
                    + len(job_slice.placed_on) * job_slice.resources[0]
                )
        begun = {
            job_slice.spec.id: bool(job_slice.placed_on or job_slice.done_count)
            for job_slice in old
        }
        for job_slice in sorted(
            old,
            key=lambda job_slice: (
                begun[job_slice.spec.id],
                job_slice.startable_since,
                job_slice.spec.id,
            ),
        ):
            if (
                job_slice.spec.kind == JobKind.GANG
                or self._is_held_back(job_slice)
                or self._failures.is_quarantined(job_slice.spec.id)
            ):
                continue
            if (
                begun[job_slice.spec.id]
                and self._context.wall_time - job_slice.startable_since < OLD_S
            ):
                continue
            team, need = job_slice.spec.team, job_slice.resources[0]
            if team not in left:
                left[team] = int(OLD_SHARE * self._quotas.quota(shard, team)[0]) - held.get(team, 0)
            # A team of which nothing that old runs gets a task, however large.
            least = 0 if held.get(team) or team in owed else 1
            most = job_slice.size
            if not begun[job_slice.spec.id]:
                # Each begins before the oldest is done, if only with a few of its tasks.
                least, most = 1, max(1, job_slice.size // FIRST)
            n = max(least, min(most, left[team] // need)) if need else most
            got = (
                self._place_array_tasks(shard, job_slice, usable, free, {}, n)
                if n > 0 and free
                else 0
            )
            held[team] = held.get(team, 0) + got * need
            left[team] -= got * need
            if job_slice.pending.count and got < most:
                if begun[job_slice.spec.id]:
                    owed.add(team)
                queue.helped.append((job_slice, most - got, max(0, least - got)))
