"""Scenario tests of two troubles at once; docs/overlapping_troubles.md lists them."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from marblestair.core.capacity.planning import plan
from marblestair.core.capacity.provisioning import AvailableMachine, JobLoad, Tuning
from marblestair.core.jobs.manager_steps import is_empty
from marblestair.core.messaging.messages import SliceProgress
from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.shard.heartbeats import receive_heartbeat
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from tests.fakes.deployment import TYPES, spec
from tests.fakes.worker import Worker
from tests.fakes.world import World
from tests.helpers import busy, manager, owner, running, warm


def leader(world: World, job: str) -> str:
    """The controller whose machines run most of a job."""
    owners = [
        owner(world, world.state.data[keys.MACHINES + worker.name][0][0])
        for worker in holders(world, job)
    ]
    return max(sorted(owners), key=owners.count)


def part_owners(world: World, job: str) -> set[str]:
    """The controllers on whose machines a job runs."""
    return {
        owner(world, world.state.data[keys.MACHINES + worker.name][0][0])
        for worker in holders(world, job)
    }


def holders(world: World, job: str) -> list[Worker]:
    return [
        worker for worker in busy(world) if any(task.job == job for task in worker.live.values())
    ]


def keep_asking(world: World, jobs: list[str], seconds: float, cancel: bool = True) -> None:
    """Users withdraw and poll at every node each second, as ``_judge`` and ``_check`` watch."""
    end = world.now + seconds
    while world.now < end:
        for job in jobs:
            for x in world.node_names:
                if world.cores[x] is not None:
                    world.ask(x, "query", job)
            if cancel:
                world.ask(world.rng.choice(world.node_names), "cancel", job)
        world.run(1.0)


# --- the gap: refused alone, cancels confirmed elsewhere, then an outage longer than cancel_s ----


def hang(world: World, worker: Worker) -> None:
    worker.hung = True
    world.at(0.6 * world.lease_s, lambda: setattr(worker, "hung", False))


MACHINE_TROUBLES: dict[str, Any] = {
    "": lambda w, m: None,
    "hung": hang,
    "deaf": lambda w, m: setattr(m, "deaf", True),
    "mute": lambda w, m: setattr(m, "mute", True),
}


@pytest.mark.parametrize("trouble", sorted(MACHINE_TROUBLES))
@pytest.mark.parametrize("after", ["", "restart", "cut", "cloud"])
@pytest.mark.parametrize("managed", ["refused", "elsewhere"])
def test_a_cancel_confirmed_while_the_leader_is_refused_alone_reaches_it(
    managed: str, after: str, trouble: str
) -> None:
    for seed in range(2):
        world = warm(4000 + seed)
        rng = random.Random(f"{managed} {after} {trouble} {seed}")
        kept = world.submit(spec(1, team="blue", task_count=6, estimated_run_s=70.0))
        job = world.submit(spec(2, task_count=9, estimated_run_s=300.0))
        world.run(16.0)
        # The refused controller has machines with the job, and manages it or does not.
        home = manager(world, job)
        owners = sorted(part_owners(world, job))
        assert home in owners and len(owners) >= 2
        name = home if managed == "refused" else rng.choice([x for x in owners if x != home])
        others = [x for x in world.node_names if x != name]
        world.state.refused_nodes.add(name)
        world.run(rng.uniform(0.1, 0.5))
        world.cancel_asked.add(job)
        # Long enough for the entry to be committed, and less than the refused one's lease.
        for _ in range(rng.randint(5, 12)):
            for x in others:
                world.ask(x, "cancel", job)
                world.ask(x, "query", job)
            world.run(0.25)
        if trouble:
            mine = [worker for worker in holders(world, job) or busy(world)]
            MACHINE_TROUBLES[trouble](world, mine[0])
        world.state.outage(True, world.now)
        if after == "restart":
            world.kill(others[0], back_after=rng.choice([0.2, 6.0]))
        elif after == "cut":
            world.isolate(others[0], "state", *(x for x in world.node_names if x != others[0]))
        elif after == "cloud":
            world.cloud_down = True
        keep_asking(world, [job], 1.4 * world.cancel_s)
        assert not world.broken, (seed, world.broken[:3])
        world.state.refused_nodes.clear()
        world.state.outage(False, world.now)
        world.cloud_down = False
        world.heal()
        for worker in world.workers.values():
            worker.deaf = worker.mute = False
        assert world.cancel(job) == "cancelled"
        assert world.finish(kept, 200.0)
        world.run(world.cancel_s)
        assert not world.unanswered()
        assert not world.broken, (seed, world.broken[:3])


def test_the_gap_leaves_other_running_work_where_it_is() -> None:
    world = warm(4010)
    kept = world.submit(spec(1, team="blue", task_count=9, estimated_run_s=60.0))
    gone = world.submit(spec(2, task_count=9, estimated_run_s=300.0))
    world.run(16.0)
    name = leader(world, gone)
    running = {(j, i): (m, a) for _, j, i, m, a in world.starts if j == kept}
    assert len(running) == 9
    world.state.refused_nodes.add(name)
    world.run(0.3)
    told = False
    world.cancel_asked.add(gone)
    for _ in range(6):
        outs = [world.ask(x, "cancel", gone) for x in world.node_names if x != name]
        world.run(0.25)
        told = told or any(o and o[0].status == 200 for o in outs)
    # The refused owner is reached by its peers, so nobody has to wait.
    assert told
    world.state.outage(True, world.now)
    world.run(3.0)
    assert not holders(world, gone)
    keep_asking(world, [gone], 1.2 * world.cancel_s, cancel=False)
    world.state.outage(False, world.now)
    world.state.refused_nodes.clear()
    assert world.finish(kept, 100.0)
    # Nothing of it was lost: each task started once.
    assert {(j, i): (m, a) for _, j, i, m, a in world.starts if j == kept} == running
    assert sum(j == kept for _, j, *_ in world.starts) == 9
    assert not world.broken


def test_a_cancel_that_only_its_giver_knows_comes_with_the_promise() -> None:
    """The owner is refused by the state service and not reached by the one that commits; what it
    then acts on, promises, brings the entry.
    """
    world = warm(4021)
    job = world.submit(spec(1, task_count=12, estimated_run_s=300.0))
    world.run(16.0)
    name = min(part_owners(world, job) - {manager(world, job)})
    others = [x for x in world.node_names if x != name]
    world.state.refused_nodes.add(name)
    for x in others:
        world.isolate(name, x)
    world.cancel_asked.add(job)
    for _ in range(5):
        outs = [world.ask(x, what, job) for x in others for what in ("cancel", "query")]
        committed = bool(world.state.data[keys.JOBS + job][0][3])
        world.run(0.3)
        # The owner may act, and nobody could tell it: nothing is told, and from the entry on
        # not "running" either.
        assert all(not o or o[0].state != "cancelled" for o in outs)
        assert not committed or all(not o or o[0].status == 503 for o in outs)
    assert committed
    world.state.outage(True, world.now)
    world.heal()
    controller = world.cores[name]
    assert controller is not None
    # While it acts on, it does so with the entry, though nobody asks it to apply it.
    world.lost = {"apply", "confirmed", "entries"}
    world.run(1.2 * world.cancel_s)
    assert controller.leadership.led_shards() and not holders(world, job)
    assert not world.broken
    world.state.outage(False, world.now)
    world.state.refused_nodes.clear()
    assert world.cancel(job) == "cancelled"
    assert not world.broken


def test_a_manager_without_a_slice_is_waited_for_too() -> None:
    """It is left with its users and workers, and would go on telling that the job runs."""
    world = warm(4030)
    n = 0
    while True:
        n += 1
        job = world.submit(spec(n, kind="gang", task_count=2, estimated_run_s=300.0))
        assert world.until(lambda j=job: bool(holders(world, j)), 40.0)
        name = manager(world, job)
        if name not in part_owners(world, job):
            break
    assert n < 12
    others = [x for x in world.node_names if x != name]
    world.isolate(name, "state", *others)
    world.cancel_asked.add(job)
    asked = world.now
    told: list[Any] = []
    while world.now < asked + world.cancel_s and not any(r.status == 200 for o in told for r in o):
        told += [world.ask(x, "cancel", job) for x in others]
        running = world.ask(name, "query", job)
        world.run(0.5)
        assert not world.broken
    assert any(r.state == "cancelled" for o in told for r in o)
    assert not running or running[0].status == 503
    keep_asking(world, [job], world.lease_s)
    assert not world.broken


def test_what_is_known_ahead_of_the_view_holds_and_is_not_told() -> None:
    """An entry heard of by message: the view is older, and slices may come by older records."""
    world = warm(4040)
    job = world.submit(spec(1, task_count=9, estimated_run_s=300.0))
    world.run(16.0)
    controller = running(world, manager(world, job))
    part = next(p for p in controller.leadership.led_shards() if job in p.slices)
    record = controller.view.jobs[job]
    rev = controller.view.revision + 5
    controller.cancels.record(job, rev)
    assert part.slices[job].is_cancelled and not part.slices[job].pending
    # Owners may have changed before the entry was committed, and this view would not show it.
    for number in record.slices:
        controller.cancels._entries[job].applied_terms[int(number)] = (
            controller.view.shard_map.shards[int(number)].term
        )
    assert controller.cancellations.shards_without_entry(
        job
    ) is None and not controller.cancellations.is_confirmed(job)
    assert controller.answers.status_from_memory(job) is None
    # The slice leaves, and comes again by a record that is older than the entry.
    del part.slices[job]
    controller.synchronizer.sync_slice(part, job)
    assert part.slices[job].is_cancelled and not part.slices[job].pending


def test_a_job_is_not_over_on_reports_from_before_its_cancel() -> None:
    world = warm(4041)
    job = world.submit(spec(1, task_count=9, estimated_run_s=300.0))
    world.run(16.0)
    controller = running(world, manager(world, job))
    assert controller.view.shard_map is not None
    mj, record = controller.managed_jobs[job], controller.view.jobs[job]
    for over in (False, True):
        for number in record.slices:
            term = controller.view.shard_map.shards[int(number)].term
            mj.progress_by_shard[int(number)] = SliceProgress(
                job, int(number), term, 0, 0, 0, 9, over
            )
        assert is_empty(mj, record, controller.view.shard_map) == over


def test_after_a_takeover_a_cancels_time_counts_from_before_it() -> None:
    world = warm(4042)
    job = world.submit(spec(1, task_count=9, estimated_run_s=300.0))
    world.run(16.0)
    name = min(part_owners(world, job))
    for worker in holders(world, job):
        worker.deaf = True
    assert world.cancel(job) == "cancelled"
    told = world.now
    world.kill(name, back_after=60.0)
    shard_id = world.node_names.index(name)
    assert world.until(lambda: owner(world, shard_id) != name, 20.0)
    world.run(1.0)
    controller = running(world, owner(world, shard_id))
    job_slice = controller.leadership.shards[shard_id].slices.get(job)
    here = (
        controller.context.now - world.now * world.drift[controller.context.node]
    ) + told * world.drift[controller.context.node]
    assert job_slice is not None and job_slice.cancelled_at <= here + 0.5
    world.run(world.cancel_s)
    assert not world.broken


# --- commits that come late, after newer ones of the same process ---------------------------------


@pytest.mark.parametrize("late", [1.4, 2.5, 3.8, 6.0])
def test_a_late_try_for_a_nodes_key_does_not_tie_it_to_an_older_lease(late: float) -> None:
    """The key would go with the older lease, and others take parts that their owner acts for."""
    world = warm(4100)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(12.0)
    left = [2]

    def first_tries(node: str, commit: CompareAndSwap) -> float | None:
        own = node == "n0" and any(put.key == keys.NODES + node for put in commit.puts)
        if own and left[0]:
            left[0] -= 1
            return late
        return None

    world.late = first_tries
    world.kill("n0", back_after=0.3)
    end = world.now + 30.0
    acted = False
    while world.now < end:
        world.run(0.1)
        controller = world.cores["n0"]
        if controller is not None:
            world.set_time(controller)
            if controller.leadership.led_shards():
                acted = True
                held = world.state.data[keys.NODES + "n0"]
                # What it counts on ends no later than the lease that its key goes with.
                until = controller.lease.expires_at / world.drift["n0"]
                assert until <= world.state.leases[held[2]][1]
    assert acted and not left[0]
    assert world.finish(job, 200.0)
    assert not world.broken


# --- overlapping troubles, at moments drawn at random --------------------------------------------
#
# Each begins with a mix of jobs under way, plays its troubles while users ask and cancel, and ends
# in quiet: then no rule may have been broken, every job is answered for, and what was not cancelled
# is done.


class Play:
    """One meeting under way: the world, its generator, and the jobs so far."""

    def __init__(self, seed: int) -> None:
        self.w = warm(seed)
        self.rng = random.Random(seed)
        self.jobs: list[str] = []

    def submit(self, n: int = 1, **changes: Any) -> list[str]:
        """Submit jobs, a mix by default."""
        out = []
        for _ in range(n):
            kind = self.rng.choice(["array", "array", "gang"])
            base: dict[str, Any] = dict(
                kind=kind,
                team=self.rng.choice(["red", "blue"]),
                task_count=self.rng.randint(1, 5 if kind == "gang" else 10),
                estimated_run_s=self.rng.uniform(4.0, 30.0),
                allows_spot=self.rng.random() < 0.5,
            )
            base.update(changes)
            out.append(self.w.submit(spec(len(self.jobs) + 1, **base)))
            self.jobs.append(out[-1])
        return out

    def wait(self, low: float, high: float) -> None:
        """A while, in which users ask and now and then cancel."""
        end = self.w.now + self.rng.uniform(low, high)
        while self.w.now < end:
            for job in self.rng.sample(self.jobs, min(3, len(self.jobs))):
                self.w.ask(self.rng.choice(self.w.node_names), "query", job)
            self.w.run(min(1.0, max(0.01, end - self.w.now)))

    def cancel(self, job: str, times: int = 1, every: float = 0.0) -> None:
        """A user's cancel, repeated like a submission."""
        self.w.cancel_asked.add(job)
        for n in range(times):
            node = self.rng.choice(self.w.node_names)
            self.w.at(n * every, lambda x=node: self.w.ask(x, "cancel", job))

    def cancel_now(self, count: int) -> list[str]:
        """Users call off that many jobs within a fifth of a second."""
        live = [j for j in self.jobs if j not in self.w.cancel_asked]
        chosen = self.rng.sample(live, min(count, len(live)))
        for job in chosen:
            self.cancel(job, times=40, every=1.5)
        return chosen

    def some(self, share: float = 0.4) -> list[Worker]:
        """Some of the machines with tasks."""
        found = busy(self.w)
        return self.rng.sample(found, max(1, int(share * len(found)))) if found else []

    def node(self) -> str:
        return self.rng.choice(self.w.node_names)

    def later(self, low: float, high: float, do: Any) -> None:
        self.w.at(self.rng.uniform(low, high) * self.w.lease_s, do)


def zone_bound(p: Play) -> None:
    p.submit(3, single_zone=True, kind="array", task_count=6, estimated_run_s=25.0)
    p.submit(1, single_zone=True, kind="gang", task_count=4)
    p.wait(8.0, 14.0)
    for _ in range(2):
        for worker in p.some(0.5):
            worker.hung = True
        p.wait(2.0, 14.0)


def cut_leader_that_users_reach(p: Play) -> None:
    name = p.node()
    p.w.isolate(name, "state", *(x for x in p.w.node_names if x != name))
    p.wait(0.0, 5.0)
    p.cancel_now(3)
    p.wait(1.2 * p.w.lease_s, 2.5 * p.w.lease_s)


def held_reports(p: Play) -> None:
    p.w.copies = 0.5
    for _ in range(2):
        name = p.node()
        for worker in p.some():
            p.w.isolate(worker.name, name, hold=True)
        p.wait(0.5, 4.0)
        p.w.kill(name, back_after=p.rng.choice([0.2, 8.0]))
        p.wait(4.0, 1.5 * p.w.lease_s)
        p.w.heal()
        p.wait(1.0, 3.0)


def more_work_than_room(p: Play) -> None:
    p.w.capacity, p.w.fetch_s = 3, 4.0
    for priority in ("low", "normal", "production", "high"):
        p.submit(2, priority=priority, kind="array", task_count=10, estimated_run_s=10.0)
        p.wait(0.5, 3.0)
    p.w.kill(p.node(), back_after=p.rng.choice([0.2, 6.0]))
    p.cancel_now(2)
    p.wait(10.0, 20.0)
    p.w.capacity = 12


def at_the_limit(p: Play) -> None:
    gone = p.submit(1, team="blue", kind="array", task_count=16, estimated_run_s=80.0)[0]
    p.submit(2, team="blue", kind="array", task_count=14, estimated_run_s=12.0)
    p.wait(8.0, 14.0)
    for worker in p.some():
        p.rng.choice(
            [
                lambda m=worker: setattr(m, "deaf", True),
                lambda m=worker: setattr(m, "mute", True),
                lambda m=worker: setattr(m, "hung", True),
                lambda m=worker: p.w.isolate(m.name, *p.w.node_names),
            ]
        )()
    p.w.kill(p.node(), back_after=p.rng.choice([0.2, 8.0, 20.0]))
    p.wait(0.0, 4.0)
    p.cancel(gone, times=40, every=1.5)
    p.wait(5.0, 2.0 * p.w.lease_s)


def ends(p: Play) -> None:
    jobs = p.submit(6, kind="array", task_count=2, estimated_run_s=4.0)
    for _ in range(150):
        p.w.run(0.2)
        for job in jobs:
            left = p.w.specs[job].task_count - sum(j == job for j, _ in p.w.results)
            if left <= 1 and p.rng.random() < 0.3:
                what = p.rng.choice(["query", "submit", "cancel", "query"])
                if what == "cancel" and p.rng.random() < 0.3:
                    p.cancel(job, times=20, every=1.0)
                elif what != "cancel":
                    arg = p.w.specs[job] if what == "submit" else job
                    p.w.ask(p.node(), what, arg)


def zone_cut_off(p: Play) -> None:
    name = p.node()
    zone = [worker.name for worker in p.w.workers.values() if p.rng.random() < 0.5]
    p.w.cut_off([name, *zone])
    p.wait(0.0, 6.0)
    p.cancel_now(2)
    p.wait(1.2 * p.w.lease_s, 2.5 * p.w.lease_s)


def late_writes(p: Play) -> None:
    p.w.late_commits = 0.25
    for _ in range(3):
        p.submit(1)
        p.wait(1.0, 6.0)
        p.cancel_now(1)
        if p.rng.random() < 0.6:
            p.w.kill(p.node(), back_after=p.rng.choice([0.1, 0.3, 5.0]))
        p.wait(1.0, 8.0)


def tasks_far_apart(p: Play) -> None:
    for n in (2, 3, 2, 3):
        job = p.submit(1, kind="array", task_count=n)[0]
        for i in range(n):
            p.w.durations[(job, i)] = 3.0 + 14.0 * i
    for _ in range(3):
        p.wait(4.0, 9.0)
        p.w.kill(p.node(), back_after=p.rng.choice([0.2, 6.0]))


def slow_then_out(p: Play) -> None:
    p.w.state_slow = p.rng.uniform(0.2, 1.0)
    p.wait(1.0, 4.0)
    p.w.state.refused_nodes.add(p.node())
    p.cancel_now(3)
    p.wait(0.5, 3.5)
    p.w.state.outage(True, p.w.now)
    p.cancel_now(2)
    p.wait(p.w.cancel_s, 1.4 * p.w.cancel_s)


def all_away(p: Play) -> None:
    p.cancel_now(2)
    p.wait(0.0, 2.0)
    for x in p.w.node_names:
        p.w.kill(x, back_after=p.rng.uniform(1.1, 2.0) * p.w.lease_s)
    p.w.run(1.1 * p.w.lease_s)
    p.wait(p.w.lease_s, 2.0 * p.w.lease_s)


def mute_machines(p: Play) -> None:
    for worker in p.some(0.6):
        worker.mute = True
        p.later(0.3, 3.0, lambda m=worker: setattr(m, "mute", False))
    p.wait(0.5, 6.0)
    p.cancel_now(2)
    if p.rng.random() < 0.5:
        p.w.kill(p.node(), back_after=p.rng.choice([0.2, 6.0]))
    p.wait(1.0, 2.0 * p.w.lease_s)


def old_reports(p: Play) -> None:
    p.w.copies = 0.7
    for _ in range(4):
        for worker in p.some(0.3):
            worker.back_at_once()
        p.wait(1.0, 6.0)
        p.w.kill(p.node(), back_after=p.rng.choice([0.1, 3.0]))
        p.cancel_now(1)


def held_commands(p: Play) -> None:
    for _ in range(2):
        for worker in p.some():
            for x in p.w.node_names:
                p.w.isolate(worker.name, x, hold=True)
            if p.rng.random() < 0.5:
                worker.hung = True
                p.later(0.2, 0.9, lambda m=worker: setattr(m, "hung", False))
        p.cancel_now(2)
        p.wait(1.0, 9.0)
        p.w.heal()
        p.wait(1.0, 5.0)


def leaders_in_a_row(p: Play) -> None:
    for n in range(10):
        if n == 4:
            p.w.state.outage(True, p.w.now)
        if n == 6:
            p.w.state.outage(False, p.w.now)
        if n % 4 == 2:
            p.cancel_now(1)
        p.w.kill(p.w.node_names[n % 3], back_after=p.rng.choice([0.1, 0.4, 4.0]))
        p.wait(3.0, 14.0)


def leader_ends_while_machines_are_away(p: Play) -> None:
    p.submit(2, kind="array", task_count=8, estimated_run_s=60.0)
    p.wait(8.0, 12.0)
    for worker in p.some(0.5):
        if p.rng.random() < 0.5:
            p.w.isolate(worker.name, *p.w.node_names, hold=p.rng.random() < 0.5)
        else:
            worker.deaf = True
            p.later(0.5, 2.5, lambda m=worker: setattr(m, "deaf", False))
    p.w.kill(p.node(), back_after=p.rng.choice([0.2, 25.0]))
    p.cancel_now(1)
    p.wait(0.5 * p.w.lease_s, 2.0 * p.w.lease_s)
    p.w.heal()
    p.wait(1.0, 5.0)


def over_and_back(p: Play) -> None:
    name = p.node()
    p.w.kill(name, back_after=0.3)
    p.wait(0.5, 2.0)
    p.w.kill(name, back_after=p.rng.choice([0.1, 9.0]))
    p.wait(2.0, 9.0)
    for x in p.w.node_names:
        p.w.kill(x, back_after=0.3 if x == name else p.rng.uniform(5.0, 15.0))
    p.cancel_now(1)
    p.wait(1.0, 9.0)
    if p.rng.random() < 0.5 and p.w.cores[name] is not None:
        p.w.kill(name, back_after=0.5)
    p.wait(15.0, 18.0)


def odd_requests(p: Play) -> None:
    world = p.w
    done = p.submit(1, kind="array", task_count=1, estimated_run_s=1.0)[0]
    assert world.finish(done, 60.0)
    # Longer than anything here goes on, so that its state is "queued" or "running".
    live = p.submit(1, kind="array", team="red", task_count=3, estimated_run_s=200.0)[0]
    changed = spec(2, task_count=5, estimated_run_s=1.0)
    bad = [
        spec(90, machine_types=["none"]),
        spec(91, cpus=9.0),
        spec(92, team="green"),
        spec(93, team="blue", kind="gang", task_count=13),
        spec(94, zone="z"),
        spec(95, kind="gang", spread_zones=True, single_zone=True, task_count=4),
        spec(96, kind="gang", spread_zones=True, zone="a", task_count=4),
    ]
    for s in bad:
        world.specs[s.id] = s
    outage = p.rng.uniform(0.5, 3.0)
    world.at(outage, lambda: world.state.outage(True, world.now))
    world.at(outage + 8.0, lambda: world.state.outage(False, world.now))
    assert changed.id == live
    mine = world.specs[live]
    told: dict[str, set[int]] = {}
    for _ in range(14):
        for x in world.node_names:
            asked = [(s.id, world.ask(x, "submit", s)) for s in bad]
            asked.append(
                ("live", world.ask(x, "submit", msgspec.structs.replace(mine, task_count=5)))
            )
            world.cancel_asked.add(done)
            asked.append(("done", world.ask(x, "cancel", done)))
            world.run(0.3)
            for name, out in asked:
                for r in out:
                    told.setdefault(name, set()).add(r.status)
                    assert r.status != 503 or r.retry_after_s
                    if r.status == 200:
                        assert r.state == "done" if name == "done" else r.state != "done"
    for s in bad:
        assert told[s.id] <= {422, 503} and 422 in told[s.id]
    assert 200 in told["live"] and told["live"] <= {200, 503}
    assert told["done"] <= {200, 503} and 200 in told["done"]
    world.cancel_asked.discard(done)
    p.cancel(live, times=40, every=1.5)


MEETINGS = {
    f.__name__: f
    for f in (
        zone_bound,
        cut_leader_that_users_reach,
        held_reports,
        more_work_than_room,
        at_the_limit,
        ends,
        zone_cut_off,
        late_writes,
        tasks_far_apart,
        slow_then_out,
        all_away,
        mute_machines,
        old_reports,
        held_commands,
        leaders_in_a_row,
        leader_ends_while_machines_are_away,
        over_and_back,
        odd_requests,
    )
}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("meeting", sorted(MEETINGS))
def test_overlapping_troubles_break_no_rule(meeting: str, seed: int) -> None:
    p = Play(5000 + 100 * sorted(MEETINGS).index(meeting) + seed)
    world = p.w
    if meeting != "odd_requests":
        p.submit(5)
        p.wait(6.0, 14.0)
    MEETINGS[meeting](p)
    assert not world.broken, world.broken[:3]
    world.calm()
    world.run(20.0)
    assert not world.unanswered(), "forgotten"
    for job in p.jobs:
        if job in world.cancel_asked:
            assert world.cancel(job) in ("cancelled", "done")
        else:
            assert world.finish(job, 400.0), job
    world.run(world.cancel_s)
    assert not world.unserved()
    assert not world.broken, world.broken[:3]
    held = [
        task
        for worker in world.workers.values()
        if not worker.deleted
        for task in worker.live.values()
    ]
    assert not held


# --- nobody waits beside room; what is over is stopped whoever asks -------------------------------


def test_machines_that_were_all_deaf_serve_again_once_they_hear() -> None:
    world = World(4200, 1)
    world.run(4.0)
    world.capacity = 3
    world.submit(spec(1, task_count=36, estimated_run_s=8.0))
    assert world.until(lambda: len(busy(world)) == 3, 60.0)
    machines = busy(world)
    for worker in machines:
        worker.deaf = True
    # What is launched now is not heard, and shows in no report.
    job = world.submit(spec(2, task_count=24, estimated_run_s=4.0))
    shard = running(world, "n0").leadership.shards[0]
    assert world.until(
        lambda: all(
            machine.responsiveness.ignored_commands >= 2 for machine in shard.machines.values()
        ),
        60.0,
    )
    for worker in machines:
        worker.deaf = False
    world.quiet_since = world.now
    assert world.finish(job, 80.0)
    assert not world.broken


def test_work_does_not_wait_beside_a_machine_that_is_kept_for_gangs() -> None:
    aims = [{"kind": "wait", "class": "g", "within_s": 6.0, "share": 0.9}]
    world = warm(4210, objectives=aims)
    world.capacity = 1
    gang = world.submit(
        spec(1, kind="gang", job_class="g", task_count=1, cpus=4.0, estimated_run_s=3.0)
    )
    assert world.finish(gang, 60.0)
    world.quiet_since = world.now
    # The class may come again, and once the first array is done the only machine is kept for it.
    world.submit(spec(2, task_count=4, estimated_run_s=8.0, deadline_s=1000.0))
    job = world.submit(spec(3, task_count=4, estimated_run_s=3.0, deadline_s=1000.0))
    assert world.finish("job-000002", 30.0)
    assert all(
        "" in controller.fleet_plan.reserved_machines.values()
        for controller in world.cores.values()
        if controller is not None
    )
    # It goes on a task at a time, so that most of the machine stays the gang's.
    assert world.until(lambda: any(j == job for _, j, *_ in world.starts), 75.0)
    world.run(60.0)
    assert sum(j == job for _, j, *_ in world.starts) >= 2
    assert world.finish(job, 150.0)
    assert not world.broken


def test_an_answer_to_a_machine_that_is_not_settled_stops_what_is_over() -> None:
    world = warm(4220)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(14.0)
    worker = busy(world)[0]
    shard = Shard(0, 99, world.settings[0].cluster, world.now)
    known = Machine(worker.name, worker.type.name, worker.zone, worker.spot, world.now)
    known.set_machine_type(worker.type)
    shard.add_machine(known)
    job_slice = shard.slices[job] = JobSlice(world.specs[job])
    job_slice.ranges, job_slice.size = [[0, 12]], 12
    assert receive_heartbeat(shard, worker.body(), world.now) == []
    job_slice.is_cancelled = True
    orders = receive_heartbeat(shard, worker.body(), world.now)
    assert orders and {(command.verb, command.index) for command in orders} == {
        ("stop", i) for _, i in worker.live
    }
    # Settled at last, what it lists of jobs that are not known counts against every team.
    del shard.slices[job]
    stopped = receive_heartbeat(
        shard, msgspec.structs.replace(worker.body(), fencing_token=99), world.now
    )
    assert stopped and all(command.verb == "stop" for command in stopped)
    assert shard.usage("red")[0] == shard.usage("blue")[0] == worker.type.capacity[0]
    assert (
        receive_heartbeat(
            shard, msgspec.structs.replace(worker.body(), fencing_token=99, tasks=[]), world.now
        )
        == []
    )
    assert shard.usage("red")[0] == 0


def test_work_bound_to_a_zone_gets_machines_there_though_others_stand_elsewhere() -> None:
    kind = {machine_type.name: machine_type for machine_type in TYPES}
    have = [AvailableMachine(f"a{i}", kind["t8"], "a", False, False, 5.0, 100.0) for i in range(5)]
    have.append(
        AvailableMachine("b0", kind["t4"], "b", False, False, -1.0, 100.0, used_cpus=4_000_000)
    )
    load = JobLoad(spec(1, task_count=40, zone="b", estimated_run_s=10.0), 36, 4, 20.0, 10.0, 36)
    out = plan([load], have, kind, lambda k: False, 0.0, {}, Tuning())
    assert sum(kind[x.machine_type].cpus * x.count for x in out.rentals if x.zone == "b") >= 8
    assert all(x.zone == "b" for x in out.rentals)


def test_a_result_is_forgotten_only_once_a_page_holds_it() -> None:
    """Else it would be with this process alone, which may end."""
    world = warm(4230)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(14.0)
    worker = busy(world)[0]
    shard = running(
        world, owner(world, world.state.data[keys.MACHINES + worker.name][0][0])
    ).leadership.led_shards()[0]
    index = next(i for _, i in worker.live)
    worker.tasks[(job, index)].state, worker.tasks[(job, index)].why = "exited", "done"
    forgotten: list[bool] = []
    for durable in (0, 1 << index):
        shard.slices[job].durable_bits = durable
        orders = receive_heartbeat(
            shard, worker.body(), shard.machines[worker.name].last_heartbeat_at + 1.0
        )
        assert orders is not None
        forgotten.append(
            any(command.verb == "forget" and command.index == index for command in orders)
        )
    assert forgotten == [False, True]
