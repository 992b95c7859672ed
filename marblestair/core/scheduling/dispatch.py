"""What waits in a part and which of it starts next: the order of slices, and their placement.

The whole of what waits is gone through a few times a second (:meth:`Dispatcher.place_all`), and
leaves a queue. A heartbeat that brings capacity up fills the one machine it came from, from that
queue (:meth:`Dispatcher.fill_machine`): what an event costs does not grow with the machines of the
shard.
"""

from __future__ import annotations

from collections.abc import Collection, Container
from typing import TYPE_CHECKING

from marblestair.core.domain.model import GANG
from marblestair.core.scheduling.best_effort import BestEffortTasks
from marblestair.core.scheduling.placement import place_array, place_gang
from marblestair.core.scheduling.preemption import PreemptionSurvey
from marblestair.core.scheduling.quota import priority_key
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

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
        self.least_cpus = min(s.resources[0] for s in order)
        for s in order:
            if s.spec.kind == GANG:
                self.least_gang_cpus = min(self.least_gang_cpus, s.resources[0])
            else:
                least = self.least_team_cpus.get(s.spec.team, 1 << 62)
                self.least_team_cpus[s.spec.team] = min(least, s.resources[0])


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
        self.usable = [m for m in self.usable if m.name not in names]
        self.free = [m for m in self.free if m.name not in names]


class Dispatcher:
    """Placement on one node."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self._queues: dict[int, PendingQueue] = {}
        #: parts in which something new waits: the next report goes through all of it
        self.shards_with_new_work: set[int] = set()
        self._ordered: dict[int, tuple[float, list[JobSlice]]] = {}

    def pending_in_order(self, part: Shard) -> list[JobSlice]:
        """Return the part's slices with pending tasks, in the order in which they are served.

        They are put in order once for all that ask at the same moment.
        """
        at, order = self._ordered.get(part.shard_id, (-1e9, []))
        if at == self.controller.now:
            return [s for s in order if self._is_pending(part, s)]
        order = self._order(part)
        self._ordered[part.shard_id] = (self.controller.now, order)
        return list(order)

    def _order(self, part: Shard) -> list[JobSlice]:
        wall, f = self.controller.wall_time, self.controller.run_time_ratios
        guaranteed, hopeless, lead = (
            self.controller.guaranteed_jobs,
            self.controller.fleet.infeasible_jobs,
            self.controller.deadline_offsets_s,
        )
        suspected = self.controller.failures.is_quarantined
        waiting = [s for s in part.slices.values() if s.pending.count and not s.is_cancelled]
        waiting.sort(
            key=lambda s: priority_key(
                s.spec,
                s.spec.id in guaranteed,
                s.spec.id in hopeless,
                wall + lead.get(s.spec.job_class, 0.0),
                f.get(s.spec.job_class, 1.0),
                suspected(s.spec.id),
                self.controller.teams[s.spec.team].is_best_effort,
                s.startable_since,
                self.controller.dependencies.has_dependents(s.spec.id),
            )
        )
        return waiting

    def place_all(self, part: Shard) -> None:
        """Go through all that waits."""
        self.shards_with_new_work.discard(part.shard_id)
        queue = self._queues[part.shard_id] = PendingQueue()
        order = self.pending_in_order(part)
        if not order:
            return
        now, claims = self.controller.now, self.controller.preemption.claims
        least = min(s.resources[0] for s in order)
        usable = [m for m in part.machines.values() if m.name not in claims and m.is_usable(now)]
        free = [m for m in usable if m.free[0] >= least]
        queue.set_order(self._help_oldest(part, order, usable, free, queue))
        look = PlacementPass(usable, free, self.controller.preemption.survey(part))
        guest_tasks = BestEffortTasks(self.controller, part)
        for s in queue.order:
            if self._is_held_back(s):
                continue
            if s.spec.kind == GANG:
                self._place_gang(part, s, look)
            else:
                self._place_array(part, s, look, queue.least_cpus, guest_tasks)

    def _help_oldest(
        self,
        part: Shard,
        order: list[JobSlice],
        usable: list[Machine],
        free: list[Machine],
        queue: PendingQueue,
    ) -> list[JobSlice]:
        """Help what has waited for long; the order in which the rest is gone through."""
        wall = self.controller.wall_time
        old = [s for s in order if wall - s.startable_since > BOUND_S]
        if not old:
            return order
        self._help_starved(part, old, usable, free, queue)
        suspected = self.controller.failures.is_quarantined
        gangs = [s for s in old if s.spec.kind == GANG and not suspected(s.spec.id)]
        return [*gangs, *(s for s in order if s not in gangs)] if gangs else order

    def _place_array(
        self,
        part: Shard,
        s: JobSlice,
        look: PlacementPass,
        least: int,
        guest_tasks: BestEffortTasks,
    ) -> None:
        """Launch what fits of an array, and make room for it if it is guaranteed."""
        need = s.resources[0]
        if look.exhausted_teams.get(s.spec.team, 1 << 62) <= need:
            return
        if look.free and self._place_array_tasks(
            part, s, look.usable, look.free, look.reserved_quota
        ):
            look.free = [m for m in look.free if m.free[0] >= least]
        elif not self._has_quota_for_one(part, s, look.reserved_quota):
            look.exhausted_teams[s.spec.team] = need
            return
        if s.pending.count and s.spec.id in self.controller.guaranteed_jobs:
            guest_tasks.preempt_for(s, self._lacking_cpus(part, s, look.reserved_quota))

    def _place_gang(self, part: Shard, s: JobSlice, look: PlacementPass) -> None:
        """Launch a gang, or hold share for it and clear machines if it is urgent."""
        controller = self.controller
        if self._place_whole_gang(part, s, look.free, look.reserved_quota) or s.placed_on:
            return
        if controller.failures.is_quarantined(s.spec.id):
            return
        held = look.reserved_quota.setdefault(s.spec.team, [0, 0])
        if controller.fleet.arrivals.is_latency_sensitive(s.spec):
            share = controller.quota(part, s.spec.team)
            ahead = (share[0] - held[0], share[1] - held[1])
            if controller.preemption.make_room(part, s, ahead, True, look.survey):
                # What comes after it may not fill what is being cleared.
                look.leave_out(controller.preemption.claims)
        held[0] += len(s.pending) * s.resources[0]
        held[1] += len(s.pending) * s.resources[1]

    def fill_machine(self, part: Shard, m: Machine) -> None:
        """Room has come up on a machine: fill it with the answer to this very report."""
        queue = self._queues.get(part.shard_id)
        if queue is None or m.free[0] < queue.least_cpus or not m.is_usable(self.controller.now):
            return
        claim = self.controller.preemption.claims.get(m.name)
        if claim is not None:
            # What it was cleared for starts with this very answer, if all its machines are clear.
            gang = part.slices.get(claim[0])
            if gang is not None and self._is_pending(part, gang) and not gang.is_unreconciled:
                self._place_whole_gang(part, gang, None, {})
            return
        if m.name in self.controller.fleet.draining_machines:
            return
        self._fill_with_helped(part, m, queue)
        self._fill_in_order(part, m, queue)

    def _fill_with_helped(self, part: Shard, m: Machine, queue: PendingQueue) -> None:
        """Start what is helped ahead of everything else, within what it may have."""
        one = [m]
        for k, (s, most, least) in enumerate(queue.helped):
            cpus, left = s.resources[0], queue.remaining_help.get(s.spec.team, 0)
            n = max(least, min(most, left // cpus)) if cpus else most
            if n > 0 and cpus <= m.free[0] and self._is_pending(part, s):
                got = self._place_array_tasks(part, s, one, one, {}, n)
                queue.helped[k] = (s, most - got, max(0, least - got))
                queue.remaining_help[s.spec.team] = left - got * cpus

    def _fill_in_order(self, part: Shard, m: Machine, queue: PendingQueue) -> None:
        """Start on one machine what waits, first things first, until it is full."""
        one = [m]
        #: team -> least that found no room under its share, and how many teams have none at all
        full: dict[str, int] = {}
        closed = 0
        #: gangs come first for what the share holds; those whose place is not reached hold nothing
        held: dict[str, list[int]] = {}
        for s in queue.order:
            free = m.free[0]
            if free < queue.least_cpus:
                return
            if not self._is_pending(part, s) or self._is_held_back(s):
                continue
            team, need = s.spec.team, s.resources
            if s.spec.kind == GANG:
                self._fill_gang(part, s, free, held)
            elif need[0] <= free and full.get(team, 1 << 62) > need[0]:
                if self._place_array_tasks(part, s, one, one, held) or self._has_quota_for_one(
                    part, s, held
                ):
                    continue
                full[team] = need[0]
                closed += need[0] <= queue.least_team_cpus.get(team, 0)
                if closed == len(queue.least_team_cpus) and free < queue.least_gang_cpus:
                    return

    def _fill_gang(self, part: Shard, s: JobSlice, free: int, held: dict[str, list[int]]) -> None:
        """Start a gang if a machine's room is what it lacked; else hold share for it."""
        if s.placed_on:
            return
        if free >= s.resources[0] and self._place_whole_gang(part, s, None, held):
            return
        if self.controller.failures.is_quarantined(s.spec.id):
            return
        share = held.setdefault(s.spec.team, [0, 0])
        share[0] += len(s.pending) * s.resources[0]
        share[1] += len(s.pending) * s.resources[1]

    def _is_held_back(self, s: JobSlice) -> bool:
        """Whether a slice may not start anything now, whatever room there is."""
        return s.is_unreconciled or self.controller.failures.is_backing_off(
            s.spec.id, self.controller.now
        )

    def _is_pending(self, part: Shard, s: JobSlice) -> bool:
        """Whether a slice of the queue, which may be a moment old, still waits here."""
        return bool(s.pending.count) and not s.is_cancelled and part.slices.get(s.spec.id) is s

    def _available_quota(
        self, part: Shard, s: JobSlice, held: dict[str, list[int]]
    ) -> tuple[int, int]:
        share = self.controller.quota(part, s.spec.team)
        h = held.get(s.spec.team)
        return share if h is None else (share[0] - h[0], share[1] - h[1])

    def _has_quota_for_one(self, part: Shard, s: JobSlice, held: dict[str, list[int]]) -> bool:
        """Whether the team's share leaves room for one more of the slice's tasks."""
        share, used = self._available_quota(part, s, held), part.usage(s.spec.team)
        return used[0] + s.resources[0] <= share[0] and used[1] + s.resources[1] <= share[1]

    def _lacking_cpus(self, part: Shard, s: JobSlice, held: dict[str, list[int]]) -> int:
        """Cpus that a slice's waiting tasks may use beyond what they have."""
        room = self._available_quota(part, s, held)[0] - part.usage(s.spec.team)[0]
        return max(0, min(room, s.pending.count * s.resources[0]))

    def _place_array_tasks(
        self,
        part: Shard,
        s: JobSlice,
        usable: list[Machine],
        free: list[Machine],
        held: dict[str, list[int]],
        most: int = 1 << 30,
    ) -> int:
        controller = self.controller
        hurry = HURRY if s.spec.id in controller.guaranteed_jobs else 1.0
        share = self._available_quota(part, s, held)
        if controller.failures.is_quarantined(s.spec.id):
            if s.placed_on:
                return 0
            # It tries with one task at a time.
            most = min(most, 1)
        keep: Collection[str] = controller.fleet.reserved_machines.keys()
        drain = controller.fleet.draining_machines
        waited = controller.now - s.pending_since
        if keep and not s.placed_on and waited > BESIDE_S:
            kept = controller.fleet.reserved_machines
            keep = {n for n, job in kept.items() if job and waited <= 2 * BESIDE_S}
            if not any(m.name not in kept and m.free[0] >= s.resources[0] for m in free):
                # One task is enough not to wait; the rest leaves the gang its machines.
                most = min(most, 1)
        avoided = controller.failures.avoided_machines(s.spec.id, controller.now)
        if avoided:
            keep = avoided.union(keep)
        return place_array(
            part, s, share, usable, free, controller.now, controller.rng, keep, drain, hurry, most
        )

    def _place_whole_gang(
        self, part: Shard, s: JobSlice, free: list[Machine] | None, held: dict[str, list[int]]
    ) -> int:
        """Start a gang whole, if there is room, on ``free`` machines or on any."""
        controller = self.controller
        need = s.resources[0]
        machines = part.machines.values() if free is None else free
        avoided = controller.failures.avoided_machines(s.spec.id, controller.now)
        options = [m for m in machines if m.free[0] >= need and m.name not in avoided]
        if free is not None:
            # Those that are claimed for this gang are not among them.
            options += [
                m
                for m in controller.preemption.machines_claimed_for(part, s.spec.id)
                if m not in options
            ]
        n = place_gang(
            part,
            s,
            self._available_quota(part, s, held),
            controller.now,
            options,
            controller.preemption.is_claimed,
        )
        if n:
            controller.log(
                "info",
                f"part {part.shard_id} starts {s.spec.id}: gang of {s.spec.job_class},"
                f" {controller.wall_time - s.startable_since:.1f} s after it could start",
            )
        return n

    def _help_starved(
        self,
        part: Shard,
        old: list[JobSlice],
        usable: list[Machine],
        free: list[Machine],
        queue: PendingQueue,
    ) -> None:
        """Start work that has waited for long ahead of everything else.

        Of each team, what has not begun gets a few first tasks, and what is older still
        gets a share of the team's room.
        """
        controller = self.controller
        held: dict[str, int] = {}
        left = queue.remaining_help
        #: teams that are owed a task of what is oldest
        owed: set[str] = set()
        for s in part.slices.values():
            if (
                s.placed_on
                and controller.wall_time - s.startable_since > BOUND_S
                and s.spec.kind != GANG
            ):
                held[s.spec.team] = held.get(s.spec.team, 0) + len(s.placed_on) * s.resources[0]
        begun = {s.spec.id: bool(s.placed_on or s.done_count) for s in old}
        for s in sorted(old, key=lambda s: (begun[s.spec.id], s.startable_since, s.spec.id)):
            if (
                s.spec.kind == GANG
                or self._is_held_back(s)
                or controller.failures.is_quarantined(s.spec.id)
            ):
                continue
            if begun[s.spec.id] and controller.wall_time - s.startable_since < OLD_S:
                continue
            team, need = s.spec.team, s.resources[0]
            if team not in left:
                left[team] = int(OLD_SHARE * controller.quota(part, team)[0]) - held.get(team, 0)
            # A team of which nothing that old runs gets a task, however large.
            least = 0 if held.get(team) or team in owed else 1
            most = s.size
            if not begun[s.spec.id]:
                # Each begins before the oldest is done, if only with a few of its tasks.
                least, most = 1, max(1, s.size // FIRST)
            n = max(least, min(most, left[team] // need)) if need else most
            got = self._place_array_tasks(part, s, usable, free, {}, n) if n > 0 and free else 0
            held[team] = held.get(team, 0) + got * need
            left[team] -= got * need
            if s.pending.count and got < most:
                if begun[s.spec.id]:
                    owed.add(team)
                queue.helped.append((s, most - got, max(0, least - got)))
