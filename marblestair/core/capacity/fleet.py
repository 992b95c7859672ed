"""The machines: types, renting, returning, strangers, and those that must go."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core.capacity import plan_inputs
from marblestair.core.capacity.arrivals import Arrivals
from marblestair.core.capacity.decommissioning import absent, broken, nearly_empty
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
from marblestair.core.leadership.shard_map import MachineRecord, even
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
from marblestair.core.scheduling.quota import hopeless
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

    type: str
    zone: str
    spot: bool
    count: int
    #: wall-clock time at which it was recorded
    at: float | None = None


class FleetManager:
    """What this node does about machines."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self.refused: dict[tuple[str, str, bool], float] = {}
        self._adopting: set[str] = set()
        self._returning: set[str] = set()
        self._hires = 0
        self.tuning = Tuning()
        #: machines kept free of arrays
        self.reserved: dict[str, str] = {}
        #: machines that are to fall idle, used only when there is no other room
        self.drained: set[str] = set()
        #: jobs put off, because their team's limit does not let all be done in time
        self.hopeless: set[str] = set()
        self.arrivals = Arrivals(controller)
        self._spending = Spending(controller)
        #: machines beyond the need, and since when without a break
        self._over: dict[str, float] = {}
        #: the arrays' need for capacity, averaged: when, and how much
        self._average: tuple[float, float | None] = (0.0, None)
        self._plan_logged_at = -1e9

    # --- types -----------------------------------------------------------------------------

    def learn_types(self) -> Coroutine:
        """Know the machine types, from the state service first: the cloud may be down."""
        controller = self.controller
        stored: dict[str, Any] = {}
        while True:
            r: StoreResponse = yield ListKeys(keys.TYPES, "", 1000)
            if r.status == 200:
                stored = {i.key[len(keys.TYPES) :]: i.value for i in r.items}
                if stored:
                    controller.set_types([msgspec.convert(v, MachineType) for v in stored.values()])
                break
            yield Sleep(0.3 + 0.3 * controller.rng.random())
        while True:
            got: CloudResponse = yield ListMachineTypes()
            if got.status == 200 and got.types:
                controller.set_types(got.types)
                fresh = [t for t in got.types if t.name not in stored]
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
                    (5.0 if controller.types else 0.8) * (0.8 + 0.4 * controller.rng.random())
                )

    # --- strangers -------------------------------------------------------------------------

    def stranger(self, rep: Heartbeat) -> tuple[int, int, list[TaskCommand], str | None]:
        """A report of a machine that belongs to no part."""
        controller = self.controller
        if rep.machine in controller.view.gone or rep.machine in self._returning:
            return 503, 0, [], None
        acting = controller.acting()
        s = controller.view.split
        if not acting or s is None:
            return 503, 0, [], None
        if rep.tasks:
            # Dropped from the split earlier, yet alive with tasks: it may not go on.
            self._returning.add(rep.machine)
            controller.spawn(self._return_strangers([rep.machine]))
            return 503, 0, [], None
        count = [0] * len(s.parts)
        for record in controller.view.machines.values():
            count[record.part] += 1
        best = min(acting, key=lambda p: (count[p.number], p.number))
        low = min(range(len(count)), key=lambda i: (count[i], i))
        if count[best.number] > count[low] + 1:
            return 421, 0, [], controller.owner(low)
        if rep.machine not in self._adopting:
            self._adopting.add(rep.machine)
            controller.spawn(self._take_in(rep, best))
        return 503, 0, [], None

    def _take_in(self, rep: Heartbeat, part: Shard) -> Coroutine:
        """Take in a machine that reports and belongs to nobody, if it is there.

        The report may be a late copy from a machine that was returned or taken.
        """
        got: Heartbeat | None = yield InspectAgent(rep.addr)
        if got is None or got.machine != rep.machine:
            yield Sleep(1.0)
            self._adopting.discard(rep.machine)
        else:
            yield from self._adopt(rep.machine, rep.type, rep.zone, rep.spot, part)

    def adopt(self, name: str, type_name: str, zone: str, spot: bool, part: Shard) -> None:
        """Take a machine that nobody has into a part."""
        if name not in self._adopting:
            self._adopting.add(name)
            self.controller.spawn(self._adopt(name, type_name, zone, spot, part))

    def _adopt(self, name: str, type_name: str, zone: str, spot: bool, part: Shard) -> Coroutine:
        controller = self.controller
        key = keys.MACHINES + name
        record = MachineRecord(part.number, type_name, zone, spot, round(controller.wall, 1))
        commit = CompareAndSwap(
            [(key, 0), controller.fence(part.number)], [Put(key, record)], [], SPLIT
        )
        r: StoreResponse = yield commit
        if r.status == 200:
            controller.view.committed(commit, r.rev)
            controller.sync()
        self._adopting.discard(name)

    def _return_strangers(self, names: list[str]) -> Coroutine:
        r: CloudResponse = yield ReleaseMachines(names)
        if r.status != 200:
            yield Sleep(1.0)
        self._returning.difference_update(names)

    def keep_list(self) -> Coroutine:
        """Look through the cloud's list for machines that nobody has."""
        controller = self.controller
        lag = controller.settings.cluster.cloud.list_lag_s
        first: dict[str, float] = {}
        pause = max(2.0, 1.2 * lag)
        while True:
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))
            silent = any(m.silent for p in controller.acting() for m in p.machines.values())
            if not controller.acts(0) and not silent:
                continue
            listed = yield from self._list()
            if listed is None:
                continue
            self._note_failed(listed)
            if not controller.acts(0):
                continue
            part = controller.parts[0]
            first = {m.name: first.get(m.name, controller.now) for m in listed}
            for m in listed:
                known = m.name in controller.view.machines or m.name in controller.view.gone
                # A rental under way is in nobody's part yet: leave its owner time to record it.
                if known or m.name in self._adopting or m.age_s < 15.0 + 2 * lag:
                    continue
                if controller.now - first[m.name] < 2 * lag:
                    # A machine that is gone is still listed for a while, and this process may
                    # not know that it went.
                    continue
                if m.state == "failed":
                    controller.spawn(self._return_strangers([m.name]))
                else:
                    self.adopt(m.name, m.type, m.zone, m.spot, part)

    def _note_failed(self, listed: list[ListedMachine]) -> None:
        """What has stopped by itself will not be back."""
        failed = {m.name for m in listed if m.state == "failed"}
        if failed:
            for p in self.controller.acting():
                for m in p.machines.values():
                    # A machine that still reports is judged by that.
                    m.failed = m.failed or (m.silent and m.name in failed)

    def _list(self) -> Step:
        out: list[ListedMachine] = []
        after = ""
        while True:
            r: CloudResponse = yield ListMachines(after)
            if r.status != 200:
                return None
            out += r.listed
            if not r.more or not r.listed:
                return out
            after = r.listed[-1].name

    # --- a part's fleet --------------------------------------------------------------------

    def keep_part(self, part: Shard) -> Coroutine:
        """Rent for the backlog, return what is idle or broken."""
        controller = self.controller
        controller.spawn(self._finish_hires(part))
        pause = 1.0
        while controller.parts.get(part.number) is part:
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))
            pause = 1.0
            if not controller.acts(part.number) or not controller.types:
                continue
            now = controller.now
            self._spending.account(part)
            lease_s = controller.settings.cluster.workers.lease_s
            for name in absent(part, lease_s, now):
                part.machines[name].awaited = True
            gone = broken(part, lease_s, now)
            plan = self._plan() if not part.suspects else Plan([], [])
            gone += [n for n in plan.release if n in part.machines and n not in gone]
            self._over = {n: self._over.get(n, now) for n in plan.empty}
            long = {
                n
                for n, since in self._over.items()
                if (m := part.machines.get(n)) is not None
                and m.type is not None
                and now - since > EMPTY_BOOTS * m.type.boot_s
            }
            for m in nearly_empty(part, long, now)[:1]:
                m.draining = m.returning = True
                part.stop(list(m.placed.values()), "returned")
                controller.log(
                    "info", f"emptying {m.name}: {len(m.placed)} tasks run again elsewhere"
                )
            leaving = [m for n in gone if not (m := part.machines[n]).releasing]
            if leaving:
                yield from self._release(part, leaving[:MAX_RELEASE])
                continue
            # All that is this part's to rent goes out in one turn, in as few requests as can be;
            # where a kind is refused, the next best is asked for at once if much is lacking.
            much = plan.target > plan.capacity * (1 + HASTY)
            full = True
            for want in plan.rent:
                count = min(self._portion(part, want), MAX_RENT)
                if count and controller.acts(part.number):
                    got = yield from self._rent(part, msgspec.structs.replace(want, count=count))
                    full = full and got == count
            pause = 0.1 if much and not full else 1.0

    def _portion(self, part: Shard, want: RentalRequest) -> int:
        """Count the machines of a rental that this part rents.

        That is its even share, the parts with fewest machines first, or all where a gang
        waits here.
        """
        controller = self.controller
        if want.part >= 0:
            return want.count if want.part == part.number else 0
        s = controller.view.split
        if s is None:
            return 0
        count = {n: 0 for n in range(len(s.parts)) if n in controller.summaries}
        for record in controller.view.machines.values():
            if record.part in count:
                count[record.part] += 1
        live = sorted(
            (n for n in count if controller.now - controller.summaries[n][0] < 3.0),
            key=lambda n: (count[n], n),
        )
        if part.number not in live:
            return 0
        return even(want.count, len(live))[live.index(part.number)]

    def _plan(self) -> Plan:
        controller = self.controller
        told = plan_inputs.ReportedState(controller)
        live = sorted(controller.view.jobs.values(), key=lambda r: (r.ready_at, r.spec.id))
        loads = plan_inputs.loads(controller, told, live, self.tuning.patience)
        machines = plan_inputs.machines(controller, told)
        self.arrivals.note(live)
        out = plan(
            loads,
            machines,
            controller.types,
            self._refused,
            self.arrivals.usual_cpus,
            self.arrivals.classes,
            self.tuning,
            self._smooth,
        )
        self.reserved, self.drained = out.reserved, out.drain
        self.hopeless = self._put_off(loads)
        self._log_plan(out, loads)
        return out

    def _log_plan(self, out: Plan, loads: list[JobLoad]) -> None:
        controller = self.controller
        if controller.now - self._plan_logged_at <= PLAN_LOG_S:
            return
        self._plan_logged_at = controller.now
        controller.log(
            "info",
            f"plan: arrays need {out.target:.0f} cpus of {out.capacity:.0f},"
            f" run on {sum(x.running * x.spec.cpus for x in loads):.0f}, wait for"
            f" {sum(x.wide * x.spec.cpus for x in loads):.0f} of"
            f" {sum(x.pending * x.spec.cpus for x in loads):.0f};"
            f" {len(out.reserved)} machines for gangs, rent {out.rent}",
        )

    def _put_off(self, loads: list[JobLoad]) -> set[str]:
        by_team: dict[str, list[tuple[float, float, str]]] = {}
        taken: dict[str, float] = {}
        for x in loads:
            team = x.spec.team
            if x.spec.deadline_s is None or x.spec.kind == GANG:
                # Gangs and undated work go first and leave the rest of the limit.
                taken[team] = taken.get(team, 0.0) + x.running * x.spec.cpus
            else:
                left = (x.pending + 0.5 * x.running) * x.spec.cpus * x.run_s
                by_team.setdefault(team, []).append((x.due, left, x.spec.id))
        out: set[str] = set()
        for team, work in by_team.items():
            limit = max(1.0, self.controller.teams[team].cpu_limit - taken.get(team, 0.0))
            out |= hopeless(work, 0.9 * limit)
        return out

    def _smooth(self, target: float) -> float:
        now = self.controller.now
        boot = min((t.boot_s for t in self.controller.types.values()), default=30.0)
        then, old = self._average
        if old is None:
            value = target
        else:
            weight = 1 - math.exp(-(now - then) / max(1e-6, self.tuning.smooth_boots * boot))
            value = old + weight * (target - old)
        self._average = (now, value)
        return value

    def _refused(self, k: MachineKind) -> bool:
        return self.controller.now < self.refused.get((k.type.name, k.zone, k.spot), -1e9)

    def refusals(self) -> list[tuple[str, str, bool, float]]:
        """List kinds that the cloud has none of, and for how long they are not asked for.

        They are told to the others, so that each does not have to learn it by a request of
        its own.
        """
        now = self.controller.now
        return [(*k, round(t - now, 2)) for k, t in sorted(self.refused.items()) if t > now]

    def told_refusals(self, told: list[Any]) -> None:
        """What another controller was refused."""
        for type_name, zone, spot, left in told:
            kind = (str(type_name), str(zone), bool(spot))
            until = self.controller.now + min(float(left), 300.0)
            self.refused[kind] = max(until, self.refused.get(kind, -1e9))

    def _rent(self, part: Shard, want: RentalRequest) -> Step:
        """Rent machines; how many the cloud gave, all of them where that is not known."""
        controller = self.controller
        self._hires += 1
        name = f"r-{part.term}-{self._hires}"
        key = keys.hire(part.number, name)
        intent = RentalIntent(
            want.type, want.zone, want.spot, want.count, round(controller.wall, 1)
        )
        r: StoreResponse = yield CompareAndSwap(
            [(key, 0), controller.fence(part.number)], [Put(key, intent)], [], SPLIT
        )
        if r.status != 200:
            if r.status == 0:
                part.obsolete_keys[key] = None
            return want.count
        return (yield from self._hire(part, name, want, r.rev))

    def _hire(self, part: Shard, name: str, want: RentalRequest, intent: int) -> Step:
        """Rent under a recorded name, for as long as it takes to know the answer; how many."""
        controller = self.controller
        key = keys.hire(part.number, name)
        pause = 0.5
        while True:
            got: CloudResponse = yield RentMachines(
                name, want.type, want.zone, want.spot, want.count
            )
            if got.status == 200:
                break
            if got.status in (400, 503) and (got.no_capacity or got.status == 400):
                t = controller.types.get(want.type)
                boot = t.boot_s if t is not None else 30.0
                self.refused[(want.type, want.zone, want.spot)] = controller.now + max(
                    5.0, 0.5 * boot
                )
                part.obsolete_keys[key] = intent
                return 0
            if controller.parts.get(part.number) is not part:
                return 0
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))
            pause = min(4.0, pause * 1.6)
        controller.log(
            "info", f"rented {got.machines} as {name}: {want.type} {want.zone} {want.spot}"
        )
        names = list(got.machines)
        count = len(names)
        ops = max(1, controller.batch - 1)
        if len(names) < want.count:
            t = controller.types.get(want.type)
            self.refused[(want.type, want.zone, want.spot)] = controller.now + 0.5 * (
                t.boot_s if t is not None else 30.0
            )
        while names:
            batch, rest = names[:ops], names[ops:]
            puts = [
                Put(
                    keys.MACHINES + n,
                    MachineRecord(
                        part.number, want.type, want.zone, want.spot, round(controller.wall, 1)
                    ),
                )
                for n in batch
            ]
            # A try that is carried out only after the machine was given back again leaves a
            # record of a machine that never reports: it is dropped like one that fell.
            guards = [(p.key, 0) for p in puts]
            guards += [controller.fence(part.number), (key, intent)]
            commit = CompareAndSwap(guards, puts, [] if rest else [key], SPLIT)
            r: StoreResponse = yield commit
            if r.status == 200:
                controller.view.committed(commit, r.rev)
                controller.sync()
                names = rest
                continue
            if controller.parts.get(part.number) is not part:
                return count
            if r.status == 409:
                # Recorded by an earlier try, or adopted by somebody in between.
                names = [
                    n
                    for n in names
                    if n not in controller.view.machines and n not in controller.view.gone
                ]
                if not names:
                    part.obsolete_keys[key] = None
                    return count
            yield Sleep(0.2 + 0.2 * controller.rng.random())
        return count

    def _finish_hires(self, part: Shard) -> Coroutine:
        """Carry out the rentals that an earlier owner recorded just before its end.

        The same name gives the same machines, so none is left unused and paid for. Older
        intents were refused, or their machines are recorded, listed or reporting by now;
        sending them again would rent machines that nobody needs any more.
        """
        controller = self.controller
        prefix = f"{keys.HIRES}{part.number}/"
        after = ""
        while controller.parts.get(part.number) is part:
            r: StoreResponse = yield ListKeys(prefix, after, 200)
            if r.status != 200:
                yield Sleep(0.5)
                continue
            for item in r.items:
                if controller.parts.get(part.number) is not part:
                    return
                name = item.key[len(prefix) :]
                if not name.startswith(f"r-{part.term}-"):
                    yield from self._finish_hire(part, name, item)
            if not r.more or not r.items:
                return
            after = r.items[-1].key

    def _finish_hire(self, part: Shard, name: str, item: StoredKey) -> Step:
        intent = msgspec.convert(item.value, RentalIntent)
        lease_s = self.controller.settings.cluster.workers.lease_s
        if intent.at is not None and self.controller.wall - intent.at > RECENT_LEASES * lease_s:
            part.obsolete_keys[item.key] = item.version
            return
        want = RentalRequest(intent.type, intent.zone, intent.spot, intent.count)
        yield from self._hire(part, name, want, item.version)

    def _release(self, part: Shard, machines: list[Machine]) -> Step:
        """Give machines back. Their tasks are gone once the cloud has said so, not before."""
        controller = self.controller
        for m in machines:
            m.releasing = True
        names = [m.name for m in machines]
        controller.log("info", f"releasing {names}")
        r: CloudResponse = yield ReleaseMachines(names)
        if r.status != 200:
            for m in machines:
                # A late copy of the request may still take the machine; it is asked for again.
                m.releasing = m.given_up
                m.idle_since = m.idle_since if m.placed else controller.now
            yield Sleep(0.5)
            return
        controller.spawn(self._drop(part, names))

    def _drop(self, part: Shard, names: list[str]) -> Coroutine:
        controller = self.controller
        now = controller.now
        for n in names:
            m = part.machines.get(n)
            if m is not None:
                part.forget_tasks(m, now)
            controller.view.gone[n] = None
        ops = controller.batch
        while names and controller.parts.get(part.number) is part:
            names = [n for n in names if n in controller.view.machines]
            drop = [keys.MACHINES + n for n in names[:ops]]
            guards = [(k, controller.view.version(k)) for k in drop]
            commit = CompareAndSwap([controller.fence(part.number), *guards], [], drop, FINAL)
            r: StoreResponse = yield commit
            if r.status == 200:
                controller.view.committed(commit, r.rev)
                controller.sync()
                names = names[ops:]
            else:
                if r.status in (0, 409):
                    for key in drop:
                        yield from controller.authority.refresh_machine(key)
                yield Sleep(0.3 + 0.3 * controller.rng.random())

    # --- cancels ---------------------------------------------------------------------------

    def guard_cancels(self, part: Shard) -> None:
        """Stop answering machines that hold a cancelled task for too long.

        Without 200 answers the worker's lease ends, and the machine is released, so that
        both the lease and the cloud end the task.
        """
        now = self.controller.now
        half = self.controller.settings.cluster.workers.cancel_s / 2
        for s in part.slices.values():
            if s.cancelled and s.placed and now - s.cancelled_at > half:
                for m in s.placed.values():
                    if not m.given_up:
                        m.given_up = True
                        self.controller.log("info", f"{m.name} does not stop a cancelled task")
