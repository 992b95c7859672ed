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
from marblestair.core.domain.agents import Heartbeat, TaskCommand
from marblestair.core.domain.jobs import JobKind
from marblestair.core.domain.machines import MachineType
from marblestair.core.leadership.shard_map import split_evenly
from marblestair.core.runtime.cloud_requests import (
    CloudResponse,
    ListedMachine,
    ListMachines,
    ListMachineTypes,
    ReleaseMachines,
    RentMachines,
)
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.requests import InspectAgent, Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Lane,
    ListKeys,
    Put,
    StoredKey,
    StoreResponse,
)
from marblestair.core.scheduling.quota import infeasible_jobs
from marblestair.core.shard.machine import Machine, StopReason
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.records import MachineRecord, RentalIntent

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
            response: StoreResponse = yield ListKeys(keys.TYPES, "", 1000)
            if response.status == 200:
                stored = {item.key[len(keys.TYPES) :]: item.value for item in response.items}
                if stored:
                    controller.set_machine_types(
                        [msgspec.convert(v, MachineType) for v in stored.values()]
                    )
                break
            yield Sleep(0.3 + 0.3 * controller.rng.random())
        while True:
            answer: CloudResponse = yield ListMachineTypes()
            if answer.status == 200 and answer.machine_types:
                controller.set_machine_types(answer.machine_types)
                fresh = [
                    machine_type
                    for machine_type in answer.machine_types
                    if machine_type.name not in stored
                ]
                if fresh:
                    batch = fresh[: controller.settings.cluster.state.txn_ops]
                    puts = [
                        Put(keys.TYPES + machine_type.name, machine_type) for machine_type in batch
                    ]
                    # Each is written once, by whoever is first.
                    guards = [(put.key, 0) for put in puts]
                    done: StoreResponse = yield CompareAndSwap(guards, puts, [], Lane.SHARD_MAP)
                    if done.status == 409:
                        have: StoreResponse = yield ListKeys(keys.TYPES, "", 1000)
                        if have.status == 200:
                            stored = {
                                item.key[len(keys.TYPES) :]: item.value for item in have.items
                            }
                    if done.status == 200:
                        stored.update((machine_type.name, machine_type) for machine_type in batch)
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
        self, heartbeat: Heartbeat
    ) -> tuple[int, int, list[TaskCommand], str | None]:
        """A report of a machine that belongs to no part."""
        controller = self.controller
        if (
            heartbeat.machine in controller.view.gone_machines
            or heartbeat.machine in self._returning
        ):
            return 503, 0, [], None
        led_shards = controller.led_shards()
        shard_map = controller.view.shard_map
        if not led_shards or shard_map is None:
            return 503, 0, [], None
        if heartbeat.tasks:
            # Dropped from the split earlier, yet alive with tasks: it may not go on.
            self._returning.add(heartbeat.machine)
            controller.spawn(self._release_unregistered([heartbeat.machine]))
            return 503, 0, [], None
        count = [0] * len(shard_map.shards)
        for record in controller.view.machines.values():
            count[record.shard_id] += 1
        best = min(led_shards, key=lambda shard: (count[shard.shard_id], shard.shard_id))
        low = min(range(len(count)), key=lambda i: (count[i], i))
        if count[best.shard_id] > count[low] + 1:
            return 421, 0, [], controller.leader_of(low)
        if heartbeat.machine not in self._adopting:
            self._adopting.add(heartbeat.machine)
            controller.spawn(self._register_inspected(heartbeat, best))
        return 503, 0, [], None

    def _register_inspected(self, heartbeat: Heartbeat, shard: Shard) -> Coroutine:
        """Take in a machine that reports and belongs to nobody, if it is there.

        The report may be a late copy from a machine that was returned or taken.
        """
        got: Heartbeat | None = yield InspectAgent(heartbeat.address)
        if got is None or got.machine != heartbeat.machine:
            yield Sleep(1.0)
            self._adopting.discard(heartbeat.machine)
        else:
            yield from self._adopt(
                heartbeat.machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, shard
            )

    def adopt(self, name: str, type_name: str, zone: str, spot: bool, shard: Shard) -> None:
        """Take a machine that nobody has into a part."""
        if name not in self._adopting:
            self._adopting.add(name)
            self.controller.spawn(self._adopt(name, type_name, zone, spot, shard))

    def _adopt(self, name: str, type_name: str, zone: str, spot: bool, shard: Shard) -> Coroutine:
        controller = self.controller
        key = keys.MACHINES + name
        record = MachineRecord(
            shard.shard_id, type_name, zone, spot, round(controller.wall_time, 1)
        )
        commit = CompareAndSwap(
            [(key, 0), controller.fence_precondition(shard.shard_id)],
            [Put(key, record)],
            [],
            Lane.SHARD_MAP,
        )
        response: StoreResponse = yield commit
        if response.status == 200:
            controller.view.record_commit(commit, response.revision)
            controller.sync()
        self._adopting.discard(name)

    def _release_unregistered(self, names: list[str]) -> Coroutine:
        response: CloudResponse = yield ReleaseMachines(names)
        if response.status != 200:
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
            silent = any(
                machine.is_silent
                for p in controller.led_shards()
                for machine in p.machines.values()
            )
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
        failed = {
            listed_machine.name for listed_machine in listed if listed_machine.state == "failed"
        }
        if failed:
            for shard in self.controller.led_shards():
                for machine in shard.machines.values():
                    # A machine that still reports is judged by that.
                    machine.has_failed = machine.has_failed or (
                        machine.is_silent and machine.name in failed
                    )

    def _list(self) -> Step:
        out: list[ListedMachine] = []
        after = ""
        while True:
            response: CloudResponse = yield ListMachines(after)
            if response.status != 200:
                return None
            out += response.listed
            if not response.has_more or not response.listed:
                return out
            after = response.listed[-1].name

    # --- a part's fleet --------------------------------------------------------------------

    def manage_shard(self, shard: Shard) -> Coroutine:
        """Rent for the backlog, return what is idle or broken."""
        controller = self.controller
        controller.spawn(self._finish_rentals(shard))
        pause = 1.0
        while controller.shards.get(shard.shard_id) is shard:
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))
            pause = 1.0
            if not controller.is_leader(shard.shard_id) or not controller.machine_types:
                continue
            now = controller.now
            self._spending.account(shard)
            lease_s = controller.settings.cluster.workers.lease_s
            for name in absent_machines(shard, lease_s, now):
                shard.machines[name].is_awaited = True
            gone = machines_to_release(shard, lease_s, now)
            plan = self._plan() if not shard.unreconciled_machines else Plan([], [])
            gone += [n for n in plan.releases if n in shard.machines and n not in gone]
            self._surplus_since = {
                n: self._surplus_since.get(n, now) for n in plan.surplus_machines
            }
            long = {
                n
                for n, since in self._surplus_since.items()
                if (machine := shard.machines.get(n)) is not None
                and machine.machine_type is not None
                and now - since > EMPTY_BOOTS * machine.machine_type.boot_s
            }
            for machine in nearly_empty_machines(shard, long, now)[:1]:
                machine.is_draining = machine.is_returning = True
                shard.stop_tasks(list(machine.tasks.values()), StopReason.MACHINE_RETURNED)
                controller.log(
                    "info",
                    f"emptying {machine.name}: {len(machine.tasks)} tasks run again elsewhere",
                )
            leaving = [machine for n in gone if not (machine := shard.machines[n]).is_releasing]
            if leaving:
                yield from self._release(shard, leaving[:MAX_RELEASE])
                continue
            # All that is this part's to rent goes out in one turn, in as few requests as can be;
            # where a kind is refused, the next best is asked for at once if much is lacking.
            much = plan.target_cpus > plan.capacity_cpus * (1 + HASTY)
            full = True
            for rental in plan.rentals:
                count = min(self._rental_portion(shard, rental), MAX_RENT)
                if count and controller.is_leader(shard.shard_id):
                    got = yield from self._record_and_rent(
                        shard, msgspec.structs.replace(rental, count=count)
                    )
                    full = full and got == count
            pause = 0.1 if much and not full else 1.0

    def _rental_portion(self, shard: Shard, rental: RentalRequest) -> int:
        """Count the machines of a rental that this part rents.

        That is its even share, the parts with fewest machines first, or all where a gang
        waits here.
        """
        controller = self.controller
        if rental.shard_id >= 0:
            return rental.count if rental.shard_id == shard.shard_id else 0
        shard_map = controller.view.shard_map
        if shard_map is None:
            return 0
        count = {n: 0 for n in range(len(shard_map.shards)) if n in controller.shard_summaries}
        for record in controller.view.machines.values():
            if record.shard_id in count:
                count[record.shard_id] += 1
        live = sorted(
            (n for n in count if controller.now - controller.shard_summaries[n][0] < 3.0),
            key=lambda n: (count[n], n),
        )
        if shard.shard_id not in live:
            return 0
        return split_evenly(rental.count, len(live))[live.index(shard.shard_id)]

    def _plan(self) -> Plan:
        controller = self.controller
        told = plan_inputs.ReportedState(controller)
        live = sorted(
            controller.view.jobs.values(),
            key=lambda record: (record.startable_since, record.spec.id),
        )
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
            f" run on {sum(load.running * load.spec.cpus for load in loads):.0f}, wait for"
            f" {sum(load.allowed_tasks * load.spec.cpus for load in loads):.0f} of"
            f" {sum(load.pending * load.spec.cpus for load in loads):.0f};"
            f" {len(out.reserved_machines)} machines for gangs, rent {out.rentals}",
        )

    def _find_infeasible(self, loads: list[JobLoad]) -> set[str]:
        by_team: dict[str, list[tuple[float, float, str]]] = {}
        taken: dict[str, float] = {}
        for load in loads:
            team = load.spec.team
            if load.spec.deadline_s is None or load.spec.kind == JobKind.GANG:
                # Gangs and undated work go first and leave the rest of the limit.
                taken[team] = taken.get(team, 0.0) + load.running * load.spec.cpus
            else:
                left = (load.pending + 0.5 * load.running) * load.spec.cpus * load.run_s
                by_team.setdefault(team, []).append((load.due_in_s, left, load.spec.id))
        out: set[str] = set()
        for team, work in by_team.items():
            limit = max(1.0, self.controller.teams[team].cpu_limit - taken.get(team, 0.0))
            out |= infeasible_jobs(work, 0.9 * limit)
        return out

    def _smooth_target(self, target: float) -> float:
        now = self.controller.now
        boot = min(
            (machine_type.boot_s for machine_type in self.controller.machine_types.values()),
            default=30.0,
        )
        then, old = self._average
        if old is None:
            value = target
        else:
            weight = 1 - math.exp(-(now - then) / max(1e-6, self.tuning.smooth_boots * boot))
            value = old + weight * (target - old)
        self._average = (now, value)
        return value

    def _is_refused(self, kind: MachineKind) -> bool:
        return self.controller.now < self.refused_until.get(
            (kind.machine_type.name, kind.zone, kind.spot), -1e9
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

    def _record_and_rent(self, shard: Shard, rental: RentalRequest) -> Step:
        """Rent machines; how many the cloud gave, all of them where that is not known."""
        controller = self.controller
        self._rental_count += 1
        name = f"r-{shard.term}-{self._rental_count}"
        key = keys.rental_intent(shard.shard_id, name)
        intent = RentalIntent(
            rental.machine_type,
            rental.zone,
            rental.spot,
            rental.count,
            round(controller.wall_time, 1),
        )
        response: StoreResponse = yield CompareAndSwap(
            [(key, 0), controller.fence_precondition(shard.shard_id)],
            [Put(key, intent)],
            [],
            Lane.SHARD_MAP,
        )
        if response.status != 200:
            if response.status == 0:
                shard.obsolete_keys[key] = None
            return rental.count
        return (yield from self._rent_recorded(shard, name, rental, response.revision))

    def _rent_recorded(self, shard: Shard, name: str, rental: RentalRequest, intent: int) -> Step:
        """Rent under a recorded name, for as long as it takes to know the answer; how many."""
        controller = self.controller
        key = keys.rental_intent(shard.shard_id, name)
        pause = 0.5
        while True:
            answer: CloudResponse = yield RentMachines(
                name, rental.machine_type, rental.zone, rental.spot, rental.count
            )
            if answer.status == 200:
                break
            if answer.status in (400, 503) and (answer.no_capacity or answer.status == 400):
                machine_type = controller.machine_types.get(rental.machine_type)
                boot = machine_type.boot_s if machine_type is not None else 30.0
                self.refused_until[(rental.machine_type, rental.zone, rental.spot)] = (
                    controller.now + max(5.0, 0.5 * boot)
                )
                shard.obsolete_keys[key] = intent
                return 0
            if controller.shards.get(shard.shard_id) is not shard:
                return 0
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))
            pause = min(4.0, pause * 1.6)
        controller.log(
            "info",
            f"rented {answer.machines} as {name}:"
            f" {rental.machine_type} {rental.zone} {rental.spot}",
        )
        names = list(answer.machines)
        count = len(names)
        ops = max(1, controller.max_batch_changes - 1)
        if len(names) < rental.count:
            machine_type = controller.machine_types.get(rental.machine_type)
            self.refused_until[(rental.machine_type, rental.zone, rental.spot)] = (
                controller.now + 0.5 * (machine_type.boot_s if machine_type is not None else 30.0)
            )
        while names:
            batch, rest = names[:ops], names[ops:]
            puts = [
                Put(
                    keys.MACHINES + n,
                    MachineRecord(
                        shard.shard_id,
                        rental.machine_type,
                        rental.zone,
                        rental.spot,
                        round(controller.wall_time, 1),
                    ),
                )
                for n in batch
            ]
            # A try that is carried out only after the machine was given back again leaves a
            # record of a machine that never reports: it is dropped like one that fell.
            guards = [(put.key, 0) for put in puts]
            guards += [controller.fence_precondition(shard.shard_id), (key, intent)]
            commit = CompareAndSwap(guards, puts, [] if rest else [key], Lane.SHARD_MAP)
            response: StoreResponse = yield commit
            if response.status == 200:
                controller.view.record_commit(commit, response.revision)
                controller.sync()
                names = rest
                continue
            if controller.shards.get(shard.shard_id) is not shard:
                return count
            if response.status == 409:
                # Recorded by an earlier try, or adopted by somebody in between.
                names = [
                    n
                    for n in names
                    if n not in controller.view.machines and n not in controller.view.gone_machines
                ]
                if not names:
                    shard.obsolete_keys[key] = None
                    return count
            yield Sleep(0.2 + 0.2 * controller.rng.random())
        return count

    def _finish_rentals(self, shard: Shard) -> Coroutine:
        """Carry out the rentals that an earlier owner recorded just before its end.

        The same name gives the same machines, so none is left unused and paid for. Older
        intents were refused, or their machines are recorded, listed or reporting by now;
        sending them again would rent machines that nobody needs any more.
        """
        controller = self.controller
        prefix = f"{keys.RENTAL_INTENTS}{shard.shard_id}/"
        after = ""
        while controller.shards.get(shard.shard_id) is shard:
            response: StoreResponse = yield ListKeys(prefix, after, 200)
            if response.status != 200:
                yield Sleep(0.5)
                continue
            for item in response.items:
                if controller.shards.get(shard.shard_id) is not shard:
                    return
                name = item.key[len(prefix) :]
                if not name.startswith(f"r-{shard.term}-"):
                    yield from self._finish_rental(shard, name, item)
            if not response.has_more or not response.items:
                return
            after = response.items[-1].key

    def _finish_rental(self, shard: Shard, name: str, item: StoredKey) -> Step:
        intent = msgspec.convert(item.value, RentalIntent)
        lease_s = self.controller.settings.cluster.workers.lease_s
        if (
            intent.recorded_at is not None
            and self.controller.wall_time - intent.recorded_at > RECENT_LEASES * lease_s
        ):
            shard.obsolete_keys[item.key] = item.version
            return
        rental = RentalRequest(intent.machine_type, intent.zone, intent.spot, intent.count)
        yield from self._rent_recorded(shard, name, rental, item.version)

    def _release(self, shard: Shard, machines: list[Machine]) -> Step:
        """Give machines back. Their tasks are gone once the cloud has said so, not before."""
        controller = self.controller
        for machine in machines:
            machine.is_releasing = True
        names = [machine.name for machine in machines]
        controller.log("info", f"releasing {names}")
        response: CloudResponse = yield ReleaseMachines(names)
        if response.status != 200:
            for machine in machines:
                # A late copy of the request may still take the machine; it is asked for again.
                machine.is_releasing = machine.is_given_up
                machine.idle_since = machine.idle_since if machine.tasks else controller.now
            yield Sleep(0.5)
            return
        controller.spawn(self._remove_released(shard, names))

    def _remove_released(self, shard: Shard, names: list[str]) -> Coroutine:
        controller = self.controller
        now = controller.now
        for n in names:
            machine = shard.machines.get(n)
            if machine is not None:
                shard.forget_tasks(machine, now)
            controller.view.gone_machines[n] = None
        ops = controller.max_batch_changes
        while names and controller.shards.get(shard.shard_id) is shard:
            names = [n for n in names if n in controller.view.machines]
            drop = [keys.MACHINES + n for n in names[:ops]]
            guards = [(k, controller.view.version(k)) for k in drop]
            commit = CompareAndSwap(
                [controller.fence_precondition(shard.shard_id), *guards], [], drop, Lane.FINAL_STATE
            )
            response: StoreResponse = yield commit
            if response.status == 200:
                controller.view.record_commit(commit, response.revision)
                controller.sync()
                names = names[ops:]
            else:
                if response.status in (0, 409):
                    for key in drop:
                        yield from controller.leadership.refresh_machine(key)
                yield Sleep(0.3 + 0.3 * controller.rng.random())

    # --- cancels ---------------------------------------------------------------------------

    def enforce_cancel_deadline(self, shard: Shard) -> None:
        """Stop answering machines that hold a cancelled task for too long.

        Without 200 answers the worker's lease ends, and the machine is released, so that
        both the lease and the cloud end the task.
        """
        now = self.controller.now
        half = self.controller.settings.cluster.workers.cancel_s / 2
        for job_slice in shard.slices.values():
            if (
                job_slice.is_cancelled
                and job_slice.placed_on
                and now - job_slice.cancelled_at > half
            ):
                for machine in job_slice.placed_on.values():
                    if not machine.is_given_up:
                        machine.is_given_up = True
                        self.controller.log(
                            "info", f"{machine.name} does not stop a cancelled task"
                        )
