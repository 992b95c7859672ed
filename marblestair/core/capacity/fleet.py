"""The machines: types, renting, returning, strangers, and those that must go."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core.capacity import plan_inputs
from marblestair.core.capacity.arrivals import Arrivals
from marblestair.core.capacity.decommissioning import (
    absent_machines,
    machines_to_release,
    nearly_empty_machines,
)
from marblestair.core.capacity.planning import plan
from marblestair.core.capacity.provisioning import (
    JobLoad,
    MachineKind,
    Plan,
    RentalRequest,
    Tuning,
)
from marblestair.core.capacity.spending import Spending
from marblestair.core.domain.model import GANG, Heartbeat, MachineType, TaskCommand
from marblestair.core.leadership.shard_map import MachineRecord, split_evenly
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.requests import (
    FINAL,
    SPLIT,
    CloudResponse,
    CompareAndSwap,
    InspectAgent,
    ListedMachine,
    ListKeys,
    ListMachines,
    ListMachineTypes,
    Put,
    ReleaseMachines,
    RentMachines,
    Sleep,
    StoredKey,
    StoreResponse,
)
from marblestair.core.scheduling.quota import infeasible_jobs
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: names in one release
MAX_RELEASE = 100
#: seconds between two log lines of the plan
PLAN_LOG_S = 10.0
#: only what has been beyond the need for this many of its boot times is emptied: need that comes
#: back sooner would have to wait for boots
EMPTY_BOOTS = 2.0
#: share of the capacity that must lack before what is refused is asked for elsewhere at
#: once, and not only with the next plan
HASTY = 0.1
#: leases of a worker within which a new owner carries out what an earlier one meant to rent
RECENT_LEASES = 2.0
#: machines in one rental, at most, by the cloud's interface
MAX_RENT = 50


class RentalIntent(msgspec.Struct, array_like=True, frozen=True):
    """A rental request, recorded before it is sent."""

    machine_type: str
    zone: str
    spot: bool
    count: int
    #: wall-clock time at which it was recorded
    recorded_at: float | None = None


class FleetManager:
    """What this node does about machines."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self.refused_until: dict[tuple[str, str, bool], float] = {}
        self._adopting: set[str] = set()
        self._returning: set[str] = set()
        self._rental_count = 0
        self.tuning = Tuning()
        #: machines kept free of arrays
        self.reserved_machines: dict[str, str] = {}
        #: machines that are to fall idle, used only when there is no other room
        self.draining_machines: set[str] = set()
        #: jobs put off, because their team's limit does not let all be done in time
        self.infeasible_jobs: set[str] = set()
        self.arrivals = Arrivals(controller)
        self._spending = Spending(controller)
        #: machines beyond the need, and since when without a break
        self._surplus_since: dict[str, float] = {}
        #: the arrays' need for capacity, averaged: when, and how much
        self._average: tuple[float, float | None] = (0.0, None)
        self._plan_logged_at = -1e9

    # --- types -----------------------------------------------------------------------------

    def learn_machine_types(self) -> Coroutine:
        """Know the machine types, from the state service first: the cloud may be down."""
        controller = self.controller
        stored: dict[str, Any] = {}
        while True:
            r: StoreResponse = yield ListKeys(keys.TYPES, "", 1000)
            if r.status == 200:
                stored = {i.key[len(keys.TYPES) :]: i.value for i in r.items}
                if stored:
                    controller.set_machine_types(
                        [msgspec.convert(v, MachineType) for v in stored.values()]
                    )
                break
            yield Sleep(0.3 + 0.3 * controller.rng.random())
        while True:
            got: CloudResponse = yield ListMachineTypes()
            if got.status == 200 and got.machine_types:
                controller.set_machine_types(got.machine_types)
                fresh = [t for t in got.machine_types if t.name not in stored]
                if fresh:
                    batch = fresh[: controller.settings.cluster.state.txn_ops]
                    puts = [Put(keys.TYPES + t.name, t) for t in batch]
                    # Each is written once, by whoever is first.
                    guards = [(p.key, 0) for p in puts]
                    done: StoreResponse = yield CompareAndSwap(guards, puts, [], SPLIT)
                    if done.status == 409:
                        have: StoreResponse = yield ListKeys(keys.TYPES, "", 1000)
                        if have.status == 200:
                            stored = {i.key[len(keys.TYPES) :]: i.value for i in have.items}
                    if done.status == 200:
                        stored.update((t.name, t) for t in batch)
                    yield Sleep(1.0)
                    continue
                yield Sleep(60.0 + 30.0 * controller.rng.random())
            else:
                yield Sleep(
                    (5.0 if controller.machine_types else 0.8)
                    * (0.8 + 0.4 * controller.rng.random())
                )

    # --- strangers -------------------------------------------------------------------------

    def receive_unregistered(
        self, rep: Heartbeat
    ) -> tuple[int, int, list[TaskCommand], str | None]:
        """A report of a machine that belongs to no part."""
        controller = self.controller
        if rep.machine in controller.view.gone_machines or rep.machine in self._returning:
            return 503, 0, [], None
        acting = controller.led_shards()
        s = controller.view.shard_map
        if not acting or s is None:
            return 503, 0, [], None
        if rep.tasks:
            # Dropped from the split earlier, yet alive with tasks: it may not go on.
            self._returning.add(rep.machine)
            controller.spawn(self._release_unregistered([rep.machine]))
            return 503, 0, [], None
        count = [0] * len(s.shards)
        for record in controller.view.machines.values():
            count[record.shard_id] += 1
        best = min(acting, key=lambda p: (count[p.shard_id], p.shard_id))
        low = min(range(len(count)), key=lambda i: (count[i], i))
        if count[best.shard_id] > count[low] + 1:
            return 421, 0, [], controller.leader_of(low)
        if rep.machine not in self._adopting:
            self._adopting.add(rep.machine)
            controller.spawn(self._register_inspected(rep, best))
        return 503, 0, [], None

    def _register_inspected(self, rep: Heartbeat, part: Shard) -> Coroutine:
        """Take in a machine that reports and belongs to nobody, if it is there.

        The report may be a late copy from a machine that was returned or taken.
        """
        got: Heartbeat | None = yield InspectAgent(rep.address)
        if got is None or got.machine != rep.machine:
            yield Sleep(1.0)
            self._adopting.discard(rep.machine)
        else:
            yield from self._adopt(rep.machine, rep.machine_type, rep.zone, rep.spot, part)

    def adopt(self, name: str, type_name: str, zone: str, spot: bool, part: Shard) -> None:
        """Take a machine that nobody has into a part."""
        if name not in self._adopting:
            self._adopting.add(name)
            self.controller.spawn(self._adopt(name, type_name, zone, spot, part))

    def _adopt(self, name: str, type_name: str, zone: str, spot: bool, part: Shard) -> Coroutine:
        controller = self.controller
        key = keys.MACHINES + name
        record = MachineRecord(part.shard_id, type_name, zone, spot, round(controller.wall_time, 1))
        commit = CompareAndSwap(
            [(key, 0), controller.fence_precondition(part.shard_id)], [Put(key, record)], [], SPLIT
        )
        r: StoreResponse = yield commit
        if r.status == 200:
            controller.view.record_commit(commit, r.revision)
            controller.sync()
        self._adopting.discard(name)

    def _release_unregistered(self, names: list[str]) -> Coroutine:
        r: CloudResponse = yield ReleaseMachines(names)
        if r.status != 200:
            yield Sleep(1.0)
        self._returning.difference_update(names)

    def watch_machine_list(self) -> Coroutine:
        """Look through the cloud's list for machines that nobody has."""
        controller = self.controller
        lag = controller.settings.cluster.cloud.list_lag_s
        first: dict[str, float] = {}
        pause = max(2.0, 1.2 * lag)
        while True:
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))
            silent = any(m.is_silent for p in controller.led_shards() for m in p.machines.values())
            if not controller.is_leader(0) and not silent:
                continue
            listed = yield from self._list()
            if listed is None:
                continue
            self._mark_failed(listed)
            if not controller.is_leader(0):
                continue
            part = controller.shards[0]
            first = {m.name: first.get(m.name, controller.now) for m in listed}
            for m in listed:
                known = (
                    m.name in controller.view.machines or m.name in controller.view.gone_machines
                )
                # A rental under way is in nobody's part yet: leave its owner time to record it.
                if known or m.name in self._adopting or m.age_s < 15.0 + 2 * lag:
                    continue
                if controller.now - first[m.name] < 2 * lag:
                    # A machine that is gone is still listed for a while, and this process may
                    # not know that it went.
                    continue
                if m.state == "failed":
                    controller.spawn(self._release_unregistered([m.name]))
                else:
                    self.adopt(m.name, m.type, m.zone, m.spot, part)

    def _mark_failed(self, listed: list[ListedMachine]) -> None:
        """What has stopped by itself will not be back."""
        failed = {m.name for m in listed if m.state == "failed"}
        if failed:
            for p in self.controller.led_shards():
                for m in p.machines.values():
                    # A machine that still reports is judged by that.
                    m.has_failed = m.has_failed or (m.is_silent and m.name in failed)

    def _list(self) -> Step:
        out: list[ListedMachine] = []
        after = ""
        while True:
            r: CloudResponse = yield ListMachines(after)
            if r.status != 200:
                return None
            out += r.listed
            if not r.has_more or not r.listed:
                return out
            after = r.listed[-1].name

    # --- a part's fleet --------------------------------------------------------------------

    def manage_shard(self, part: Shard) -> Coroutine:
        """Rent for the backlog, return what is idle or broken."""
        controller = self.controller
        controller.spawn(self._finish_rentals(part))
        pause = 1.0
        while controller.shards.get(part.shard_id) is part:
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))
            pause = 1.0
            if not controller.is_leader(part.shard_id) or not controller.machine_types:
                continue
            now = controller.now
            self._spending.account(part)
            lease_s = controller.settings.cluster.workers.lease_s
            for name in absent_machines(part, lease_s, now):
                part.machines[name].is_awaited = True
            gone = machines_to_release(part, lease_s, now)
            plan = self._plan() if not part.unreconciled_machines else Plan([], [])
            gone += [n for n in plan.releases if n in part.machines and n not in gone]
            self._surplus_since = {
                n: self._surplus_since.get(n, now) for n in plan.surplus_machines
            }
            long = {
                n
                for n, since in self._surplus_since.items()
                if (m := part.machines.get(n)) is not None
                and m.machine_type is not None
                and now - since > EMPTY_BOOTS * m.machine_type.boot_s
            }
            for m in nearly_empty_machines(part, long, now)[:1]:
                m.is_draining = m.is_returning = True
                part.stop_tasks(list(m.tasks.values()), "returned")
                controller.log(
                    "info", f"emptying {m.name}: {len(m.tasks)} tasks run again elsewhere"
                )
            leaving = [m for n in gone if not (m := part.machines[n]).is_releasing]
            if leaving:
                yield from self._release(part, leaving[:MAX_RELEASE])
                continue
            # All that is this part's to rent goes out in one turn, in as few requests as can be;
            # where a kind is refused, the next best is asked for at once if much is lacking.
            much = plan.target_cpus > plan.capacity_cpus * (1 + HASTY)
            full = True
            for want in plan.rentals:
                count = min(self._rental_portion(part, want), MAX_RENT)
                if count and controller.is_leader(part.shard_id):
                    got = yield from self._record_and_rent(
                        part, msgspec.structs.replace(want, count=count)
                    )
                    full = full and got == count
            pause = 0.1 if much and not full else 1.0

    def _rental_portion(self, part: Shard, want: RentalRequest) -> int:
        """Count the machines of a rental that this part rents.

        That is its even share, the parts with fewest machines first, or all where a gang
        waits here.
        """
        controller = self.controller
        if want.shard_id >= 0:
            return want.count if want.shard_id == part.shard_id else 0
        s = controller.view.shard_map
        if s is None:
            return 0
        count = {n: 0 for n in range(len(s.shards)) if n in controller.shard_summaries}
        for record in controller.view.machines.values():
            if record.shard_id in count:
                count[record.shard_id] += 1
        live = sorted(
            (n for n in count if controller.now - controller.shard_summaries[n][0] < 3.0),
            key=lambda n: (count[n], n),
        )
        if part.shard_id not in live:
            return 0
        return split_evenly(want.count, len(live))[live.index(part.shard_id)]

    def _plan(self) -> Plan:
        controller = self.controller
        told = plan_inputs.ReportedState(controller)
        live = sorted(controller.view.jobs.values(), key=lambda r: (r.startable_since, r.spec.id))
        loads = plan_inputs.loads(controller, told, live, self.tuning.patience)
        machines = plan_inputs.machines(controller, told)
        self.arrivals.record_jobs(live)
        out = plan(
            loads,
            machines,
            controller.machine_types,
            self._is_refused,
            self.arrivals.usual_array_cpus,
            self.arrivals.expected_gangs,
            self.tuning,
            self._smooth_target,
        )
        self.reserved_machines, self.draining_machines = (
            out.reserved_machines,
            out.draining_machines,
        )
        self.infeasible_jobs = self._find_infeasible(loads)
        self._log_plan(out, loads)
        return out

    def _log_plan(self, out: Plan, loads: list[JobLoad]) -> None:
        controller = self.controller
        if controller.now - self._plan_logged_at <= PLAN_LOG_S:
            return
        self._plan_logged_at = controller.now
        controller.log(
            "info",
            f"plan: arrays need {out.target_cpus:.0f} cpus of {out.capacity_cpus:.0f},"
            f" run on {sum(x.running * x.spec.cpus for x in loads):.0f}, wait for"
            f" {sum(x.allowed_tasks * x.spec.cpus for x in loads):.0f} of"
            f" {sum(x.pending * x.spec.cpus for x in loads):.0f};"
            f" {len(out.reserved_machines)} machines for gangs, rent {out.rentals}",
        )

    def _find_infeasible(self, loads: list[JobLoad]) -> set[str]:
        by_team: dict[str, list[tuple[float, float, str]]] = {}
        taken: dict[str, float] = {}
        for x in loads:
            team = x.spec.team
            if x.spec.deadline_s is None or x.spec.kind == GANG:
                # Gangs and undated work go first and leave the rest of the limit.
                taken[team] = taken.get(team, 0.0) + x.running * x.spec.cpus
            else:
                left = (x.pending + 0.5 * x.running) * x.spec.cpus * x.run_s
                by_team.setdefault(team, []).append((x.due_in_s, left, x.spec.id))
        out: set[str] = set()
        for team, work in by_team.items():
            limit = max(1.0, self.controller.teams[team].cpu_limit - taken.get(team, 0.0))
            out |= infeasible_jobs(work, 0.9 * limit)
        return out

    def _smooth_target(self, target: float) -> float:
        now = self.controller.now
        boot = min((t.boot_s for t in self.controller.machine_types.values()), default=30.0)
        then, old = self._average
        if old is None:
            value = target
        else:
            weight = 1 - math.exp(-(now - then) / max(1e-6, self.tuning.smooth_boots * boot))
            value = old + weight * (target - old)
        self._average = (now, value)
        return value

    def _is_refused(self, k: MachineKind) -> bool:
        return self.controller.now < self.refused_until.get(
            (k.machine_type.name, k.zone, k.spot), -1e9
        )

    def capacity_refusals(self) -> list[tuple[str, str, bool, float]]:
        """List kinds that the cloud has none of, and for how long they are not asked for.

        They are told to the others, so that each does not have to learn it by a request of
        its own.
        """
        now = self.controller.now
        return [(*k, round(t - now, 2)) for k, t in sorted(self.refused_until.items()) if t > now]

    def receive_refusals(self, told: list[Any]) -> None:
        """What another controller was refused."""
        for type_name, zone, spot, left in told:
            kind = (str(type_name), str(zone), bool(spot))
            until = self.controller.now + min(float(left), 300.0)
            self.refused_until[kind] = max(until, self.refused_until.get(kind, -1e9))

    def _record_and_rent(self, part: Shard, want: RentalRequest) -> Step:
        """Rent machines; how many the cloud gave, all of them where that is not known."""
        controller = self.controller
        self._rental_count += 1
        name = f"r-{part.term}-{self._rental_count}"
        key = keys.rental_intent(part.shard_id, name)
        intent = RentalIntent(
            want.machine_type, want.zone, want.spot, want.count, round(controller.wall_time, 1)
        )
        r: StoreResponse = yield CompareAndSwap(
            [(key, 0), controller.fence_precondition(part.shard_id)], [Put(key, intent)], [], SPLIT
        )
        if r.status != 200:
            if r.status == 0:
                part.obsolete_keys[key] = None
            return want.count
        return (yield from self._rent_recorded(part, name, want, r.revision))

    def _rent_recorded(self, part: Shard, name: str, want: RentalRequest, intent: int) -> Step:
        """Rent under a recorded name, for as long as it takes to know the answer; how many."""
        controller = self.controller
        key = keys.rental_intent(part.shard_id, name)
        pause = 0.5
        while True:
            got: CloudResponse = yield RentMachines(
                name, want.machine_type, want.zone, want.spot, want.count
            )
            if got.status == 200:
                break
            if got.status in (400, 503) and (got.no_capacity or got.status == 400):
                t = controller.machine_types.get(want.machine_type)
                boot = t.boot_s if t is not None else 30.0
                self.refused_until[(want.machine_type, want.zone, want.spot)] = (
                    controller.now + max(5.0, 0.5 * boot)
                )
                part.obsolete_keys[key] = intent
                return 0
            if controller.shards.get(part.shard_id) is not part:
                return 0
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))
            pause = min(4.0, pause * 1.6)
        controller.log(
            "info", f"rented {got.machines} as {name}: {want.machine_type} {want.zone} {want.spot}"
        )
        names = list(got.machines)
        count = len(names)
        ops = max(1, controller.max_batch_changes - 1)
        if len(names) < want.count:
            t = controller.machine_types.get(want.machine_type)
            self.refused_until[(want.machine_type, want.zone, want.spot)] = controller.now + 0.5 * (
                t.boot_s if t is not None else 30.0
            )
        while names:
            batch, rest = names[:ops], names[ops:]
            puts = [
                Put(
                    keys.MACHINES + n,
                    MachineRecord(
                        part.shard_id,
                        want.machine_type,
                        want.zone,
                        want.spot,
                        round(controller.wall_time, 1),
                    ),
                )
                for n in batch
            ]
            # A try that is carried out only after the machine was given back again leaves a
            # record of a machine that never reports: it is dropped like one that fell.
            guards = [(p.key, 0) for p in puts]
            guards += [controller.fence_precondition(part.shard_id), (key, intent)]
            commit = CompareAndSwap(guards, puts, [] if rest else [key], SPLIT)
            r: StoreResponse = yield commit
            if r.status == 200:
                controller.view.record_commit(commit, r.revision)
                controller.sync()
                names = rest
                continue
            if controller.shards.get(part.shard_id) is not part:
                return count
            if r.status == 409:
                # Recorded by an earlier try, or adopted by somebody in between.
                names = [
                    n
                    for n in names
                    if n not in controller.view.machines and n not in controller.view.gone_machines
                ]
                if not names:
                    part.obsolete_keys[key] = None
                    return count
            yield Sleep(0.2 + 0.2 * controller.rng.random())
        return count

    def _finish_rentals(self, part: Shard) -> Coroutine:
        """Carry out the rentals that an earlier owner recorded just before its end.

        The same name gives the same machines, so none is left unused and paid for. Older
        intents were refused, or their machines are recorded, listed or reporting by now;
        sending them again would rent machines that nobody needs any more.
        """
        controller = self.controller
        prefix = f"{keys.RENTAL_INTENTS}{part.shard_id}/"
        after = ""
        while controller.shards.get(part.shard_id) is part:
            r: StoreResponse = yield ListKeys(prefix, after, 200)
            if r.status != 200:
                yield Sleep(0.5)
                continue
            for item in r.items:
                if controller.shards.get(part.shard_id) is not part:
                    return
                name = item.key[len(prefix) :]
                if not name.startswith(f"r-{part.term}-"):
                    yield from self._finish_rental(part, name, item)
            if not r.has_more or not r.items:
                return
            after = r.items[-1].key

    def _finish_rental(self, part: Shard, name: str, item: StoredKey) -> Step:
        intent = msgspec.convert(item.value, RentalIntent)
        lease_s = self.controller.settings.cluster.workers.lease_s
        if (
            intent.recorded_at is not None
            and self.controller.wall_time - intent.recorded_at > RECENT_LEASES * lease_s
        ):
            part.obsolete_keys[item.key] = item.version
            return
        want = RentalRequest(intent.machine_type, intent.zone, intent.spot, intent.count)
        yield from self._rent_recorded(part, name, want, item.version)

    def _release(self, part: Shard, machines: list[Machine]) -> Step:
        """Give machines back. Their tasks are gone once the cloud has said so, not before."""
        controller = self.controller
        for m in machines:
            m.is_releasing = True
        names = [m.name for m in machines]
        controller.log("info", f"releasing {names}")
        r: CloudResponse = yield ReleaseMachines(names)
        if r.status != 200:
            for m in machines:
                # A late copy of the request may still take the machine; it is asked for again.
                m.is_releasing = m.is_given_up
                m.idle_since = m.idle_since if m.tasks else controller.now
            yield Sleep(0.5)
            return
        controller.spawn(self._remove_released(part, names))

    def _remove_released(self, part: Shard, names: list[str]) -> Coroutine:
        controller = self.controller
        now = controller.now
        for n in names:
            m = part.machines.get(n)
            if m is not None:
                part.forget_tasks(m, now)
            controller.view.gone_machines[n] = None
        ops = controller.max_batch_changes
        while names and controller.shards.get(part.shard_id) is part:
            names = [n for n in names if n in controller.view.machines]
            drop = [keys.MACHINES + n for n in names[:ops]]
            guards = [(k, controller.view.version(k)) for k in drop]
            commit = CompareAndSwap(
                [controller.fence_precondition(part.shard_id), *guards], [], drop, FINAL
            )
            r: StoreResponse = yield commit
            if r.status == 200:
                controller.view.record_commit(commit, r.revision)
                controller.sync()
                names = names[ops:]
            else:
                if r.status in (0, 409):
                    for key in drop:
                        yield from controller.leadership.refresh_machine(key)
                yield Sleep(0.3 + 0.3 * controller.rng.random())

    # --- cancels ---------------------------------------------------------------------------

    def enforce_cancel_deadline(self, part: Shard) -> None:
        """Stop answering machines that hold a cancelled task for too long.

        Without 200 answers the worker's lease ends, and the machine is released, so that
        both the lease and the cloud end the task.
        """
        now = self.controller.now
        half = self.controller.settings.cluster.workers.cancel_s / 2
        for s in part.slices.values():
            if s.is_cancelled and s.placed_on and now - s.cancelled_at > half:
                for m in s.placed_on.values():
                    if not m.is_given_up:
                        m.is_given_up = True
                        self.controller.log("info", f"{m.name} does not stop a cancelled task")
