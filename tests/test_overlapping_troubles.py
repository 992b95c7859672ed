"""Scenario tests of two troubles at once; docs/overlapping_troubles.md lists them."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from marblestair.core.capacity.planning import plan
from marblestair.core.capacity.provisioning import AvailableMachine, JobLoad, Tuning
from marblestair.core.jobs.managed_job import SliceProgress
from marblestair.core.runtime.requests import CompareAndSwap
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from tests.fakes.deployment import TYPES, spec
from tests.fakes.worker import Worker
from tests.fakes.world import World
from tests.helpers import busy, manager, owner, running, warm


def leader(w: World, job: str) -> str:
    """The controller whose machines run most of a job."""
    owners = [owner(w, w.state.data[keys.MACHINES + m.name][0][0]) for m in holders(w, job)]
    return max(sorted(owners), key=owners.count)


def part_owners(w: World, job: str) -> set[str]:
    """The controllers on whose machines a job runs."""
    return {owner(w, w.state.data[keys.MACHINES + m.name][0][0]) for m in holders(w, job)}


def holders(w: World, job: str) -> list[Worker]:
    return [m for m in busy(w) if any(t.job == job for t in m.live.values())]


def keep_asking(w: World, jobs: list[str], seconds: float, cancel: bool = True) -> None:
    """Users withdraw and poll at every node each second, as ``_judge`` and ``_check`` watch."""
    end = w.now + seconds
    while w.now < end:
        for job in jobs:
            for x in w.node_names:
                if w.cores[x] is not None:
                    w.ask(x, "query", job)
            if cancel:
                w.ask(w.rng.choice(w.node_names), "cancel", job)
        w.run(1.0)


# --- the gap: refused alone, cancels confirmed elsewhere, then an outage longer than cancel_s ----


def hang(w: World, m: Worker) -> None:
    m.hung = True
    w.at(0.6 * w.lease_s, lambda: setattr(m, "hung", False))


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
        w = warm(4000 + seed)
        rng = random.Random(f"{managed} {after} {trouble} {seed}")
        kept = w.submit(spec(1, team="blue", task_count=6, estimated_run_s=70.0))
        job = w.submit(spec(2, task_count=9, estimated_run_s=300.0))
        w.run(16.0)
        # The refused controller has machines with the job, and manages it or does not.
        home = manager(w, job)
        owners = sorted(part_owners(w, job))
        assert home in owners and len(owners) >= 2
        name = home if managed == "refused" else rng.choice([x for x in owners if x != home])
        others = [x for x in w.node_names if x != name]
        w.state.refused_nodes.add(name)
        w.run(rng.uniform(0.1, 0.5))
        w.cancel_asked.add(job)
        # Long enough for the entry to be committed, and less than the refused one's lease.
        for _ in range(rng.randint(5, 12)):
            for x in others:
                w.ask(x, "cancel", job)
                w.ask(x, "query", job)
            w.run(0.25)
        if trouble:
            mine = [m for m in holders(w, job) or busy(w)]
            MACHINE_TROUBLES[trouble](w, mine[0])
        w.state.outage(True, w.now)
        if after == "restart":
            w.kill(others[0], back_after=rng.choice([0.2, 6.0]))
        elif after == "cut":
            w.isolate(others[0], "state", *(x for x in w.node_names if x != others[0]))
        elif after == "cloud":
            w.cloud_down = True
        keep_asking(w, [job], 1.4 * w.cancel_s)
        assert not w.broken, (seed, w.broken[:3])
        w.state.refused_nodes.clear()
        w.state.outage(False, w.now)
        w.cloud_down = False
        w.heal()
        for m in w.workers.values():
            m.deaf = m.mute = False
        assert w.cancel(job) == "cancelled"
        assert w.finish(kept, 200.0)
        w.run(w.cancel_s)
        assert not w.unanswered()
        assert not w.broken, (seed, w.broken[:3])


def test_the_gap_leaves_other_running_work_where_it_is() -> None:
    w = warm(4010)
    kept = w.submit(spec(1, team="blue", task_count=9, estimated_run_s=60.0))
    gone = w.submit(spec(2, task_count=9, estimated_run_s=300.0))
    w.run(16.0)
    name = leader(w, gone)
    running = {(j, i): (m, a) for _, j, i, m, a in w.starts if j == kept}
    assert len(running) == 9
    w.state.refused_nodes.add(name)
    w.run(0.3)
    told = False
    w.cancel_asked.add(gone)
    for _ in range(6):
        outs = [w.ask(x, "cancel", gone) for x in w.node_names if x != name]
        w.run(0.25)
        told = told or any(o and o[0].status == 200 for o in outs)
    # The refused owner is reached by its peers, so nobody has to wait.
    assert told
    w.state.outage(True, w.now)
    w.run(3.0)
    assert not holders(w, gone)
    keep_asking(w, [gone], 1.2 * w.cancel_s, cancel=False)
    w.state.outage(False, w.now)
    w.state.refused_nodes.clear()
    assert w.finish(kept, 100.0)
    # Nothing of it was lost: each task started once.
    assert {(j, i): (m, a) for _, j, i, m, a in w.starts if j == kept} == running
    assert sum(j == kept for _, j, *_ in w.starts) == 9
    assert not w.broken


def test_a_cancel_that_only_its_giver_knows_comes_with_the_promise() -> None:
    """The owner is refused by the state service and not reached by the one that commits; what it
    then acts on, promises, brings the entry.
    """
    w = warm(4021)
    job = w.submit(spec(1, task_count=12, estimated_run_s=300.0))
    w.run(16.0)
    name = min(part_owners(w, job) - {manager(w, job)})
    others = [x for x in w.node_names if x != name]
    w.state.refused_nodes.add(name)
    for x in others:
        w.isolate(name, x)
    w.cancel_asked.add(job)
    for _ in range(5):
        outs = [w.ask(x, what, job) for x in others for what in ("cancel", "query")]
        committed = bool(w.state.data[keys.JOBS + job][0][3])
        w.run(0.3)
        # The owner may act, and nobody could tell it: nothing is told, and from the entry on
        # not "running" either.
        assert all(not o or o[0].state != "cancelled" for o in outs)
        assert not committed or all(not o or o[0].status == 503 for o in outs)
    assert committed
    w.state.outage(True, w.now)
    w.heal()
    core = w.cores[name]
    assert core is not None
    # While it acts on, it does so with the entry, though nobody asks it to apply it.
    w.lost = {"apply", "confirmed", "entries"}
    w.run(1.2 * w.cancel_s)
    assert core.led_shards() and not holders(w, job)
    assert not w.broken
    w.state.outage(False, w.now)
    w.state.refused_nodes.clear()
    assert w.cancel(job) == "cancelled"
    assert not w.broken


def test_a_manager_without_a_slice_is_waited_for_too() -> None:
    """It is left with its users and workers, and would go on telling that the job runs."""
    w = warm(4030)
    n = 0
    while True:
        n += 1
        job = w.submit(spec(n, kind="gang", task_count=2, estimated_run_s=300.0))
        assert w.until(lambda j=job: bool(holders(w, j)), 40.0)
        name = manager(w, job)
        if name not in part_owners(w, job):
            break
    assert n < 12
    others = [x for x in w.node_names if x != name]
    w.isolate(name, "state", *others)
    w.cancel_asked.add(job)
    asked = w.now
    told: list[Any] = []
    while w.now < asked + w.cancel_s and not any(r.status == 200 for o in told for r in o):
        told += [w.ask(x, "cancel", job) for x in others]
        running = w.ask(name, "query", job)
        w.run(0.5)
        assert not w.broken
    assert any(r.state == "cancelled" for o in told for r in o)
    assert not running or running[0].status == 503
    keep_asking(w, [job], w.lease_s)
    assert not w.broken


def test_what_is_known_ahead_of_the_view_holds_and_is_not_told() -> None:
    """An entry heard of by message: the view is older, and slices may come by older records."""
    w = warm(4040)
    job = w.submit(spec(1, task_count=9, estimated_run_s=300.0))
    w.run(16.0)
    core = running(w, manager(w, job))
    part = next(p for p in core.led_shards() if job in p.slices)
    rec = core.view.jobs[job]
    rev = core.view.revision + 5
    core.cancellations.record(job, rev)
    assert part.slices[job].is_cancelled and not part.slices[job].pending
    # Owners may have changed before the entry was committed, and this view would not show it.
    for number in rec.slices:
        core.cancellations._entries[job].applied_terms[int(number)] = core.view.shard_map.shards[
            int(number)
        ].term
    assert core.cancellations.shards_without_entry(
        job
    ) is None and not core.cancellations.is_confirmed(job)
    assert core.answers.status_from_memory(job) is None
    # The slice leaves, and comes again by a record that is older than the entry.
    del part.slices[job]
    core.sync_slice(part, job)
    assert part.slices[job].is_cancelled and not part.slices[job].pending


def test_a_job_is_not_over_on_reports_from_before_its_cancel() -> None:
    w = warm(4041)
    job = w.submit(spec(1, task_count=9, estimated_run_s=300.0))
    w.run(16.0)
    core = running(w, manager(w, job))
    assert core.view.shard_map is not None
    mj, rec = core.job_managers.managed[job], core.view.jobs[job]
    for over in (False, True):
        for number in rec.slices:
            term = core.view.shard_map.shards[int(number)].term
            mj.progress_by_shard[int(number)] = SliceProgress(
                job, int(number), term, 0, 0, 0, 9, over
            )
        assert core.job_managers._is_empty(mj, rec, core.view.shard_map) == over


def test_after_a_takeover_a_cancels_time_counts_from_before_it() -> None:
    w = warm(4042)
    job = w.submit(spec(1, task_count=9, estimated_run_s=300.0))
    w.run(16.0)
    name = min(part_owners(w, job))
    for m in holders(w, job):
        m.deaf = True
    assert w.cancel(job) == "cancelled"
    told = w.now
    w.kill(name, back_after=60.0)
    part = w.node_names.index(name)
    assert w.until(lambda: owner(w, part) != name, 20.0)
    w.run(1.0)
    core = running(w, owner(w, part))
    s = core.shards[part].slices.get(job)
    here = (core.now - w.now * w.drift[core.node]) + told * w.drift[core.node]
    assert s is not None and s.cancelled_at <= here + 0.5
    w.run(w.cancel_s)
    assert not w.broken


# --- commits that come late, after newer ones of the same process ---------------------------------


@pytest.mark.parametrize("late", [1.4, 2.5, 3.8, 6.0])
def test_a_late_try_for_a_nodes_key_does_not_tie_it_to_an_older_lease(late: float) -> None:
    """The key would go with the older lease, and others take parts that their owner acts for."""
    w = warm(4100)
    job = w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(12.0)
    left = [2]

    def first_tries(node: str, commit: CompareAndSwap) -> float | None:
        own = node == "n0" and any(p.key == keys.NODES + node for p in commit.puts)
        if own and left[0]:
            left[0] -= 1
            return late
        return None

    w.late = first_tries
    w.kill("n0", back_after=0.3)
    end = w.now + 30.0
    acted = False
    while w.now < end:
        w.run(0.1)
        core = w.cores["n0"]
        if core is not None:
            w.set_time(core)
            if core.led_shards():
                acted = True
                held = w.state.data[keys.NODES + "n0"]
                # What it counts on ends no later than the lease that its key goes with.
                until = core.leadership.lease_expires_at / w.drift["n0"]
                assert until <= w.state.leases[held[2]][1]
    assert acted and not left[0]
    assert w.finish(job, 200.0)
    assert not w.broken


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
        for m in p.some(0.5):
            m.hung = True
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
        for m in p.some():
            p.w.isolate(m.name, name, hold=True)
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
    for m in p.some():
        p.rng.choice(
            [
                lambda m=m: setattr(m, "deaf", True),
                lambda m=m: setattr(m, "mute", True),
                lambda m=m: setattr(m, "hung", True),
                lambda m=m: p.w.isolate(m.name, *p.w.node_names),
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
    zone = [m.name for m in p.w.workers.values() if p.rng.random() < 0.5]
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
    for m in p.some(0.6):
        m.mute = True
        p.later(0.3, 3.0, lambda m=m: setattr(m, "mute", False))
    p.wait(0.5, 6.0)
    p.cancel_now(2)
    if p.rng.random() < 0.5:
        p.w.kill(p.node(), back_after=p.rng.choice([0.2, 6.0]))
    p.wait(1.0, 2.0 * p.w.lease_s)


def old_reports(p: Play) -> None:
    p.w.copies = 0.7
    for _ in range(4):
        for m in p.some(0.3):
            m.back_at_once()
        p.wait(1.0, 6.0)
        p.w.kill(p.node(), back_after=p.rng.choice([0.1, 3.0]))
        p.cancel_now(1)


def held_commands(p: Play) -> None:
    for _ in range(2):
        for m in p.some():
            for x in p.w.node_names:
                p.w.isolate(m.name, x, hold=True)
            if p.rng.random() < 0.5:
                m.hung = True
                p.later(0.2, 0.9, lambda m=m: setattr(m, "hung", False))
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
    for m in p.some(0.5):
        if p.rng.random() < 0.5:
            p.w.isolate(m.name, *p.w.node_names, hold=p.rng.random() < 0.5)
        else:
            m.deaf = True
            p.later(0.5, 2.5, lambda m=m: setattr(m, "deaf", False))
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
    w = p.w
    done = p.submit(1, kind="array", task_count=1, estimated_run_s=1.0)[0]
    assert w.finish(done, 60.0)
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
        w.specs[s.id] = s
    outage = p.rng.uniform(0.5, 3.0)
    w.at(outage, lambda: w.state.outage(True, w.now))
    w.at(outage + 8.0, lambda: w.state.outage(False, w.now))
    assert changed.id == live
    mine = w.specs[live]
    told: dict[str, set[int]] = {}
    for _ in range(14):
        for x in w.node_names:
            asked = [(s.id, w.ask(x, "submit", s)) for s in bad]
            asked.append(("live", w.ask(x, "submit", msgspec.structs.replace(mine, task_count=5))))
            w.cancel_asked.add(done)
            asked.append(("done", w.ask(x, "cancel", done)))
            w.run(0.3)
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
    w.cancel_asked.discard(done)
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
    w = p.w
    if meeting != "odd_requests":
        p.submit(5)
        p.wait(6.0, 14.0)
    MEETINGS[meeting](p)
    assert not w.broken, w.broken[:3]
    w.calm()
    w.run(20.0)
    assert not w.unanswered(), "forgotten"
    for job in p.jobs:
        if job in w.cancel_asked:
            assert w.cancel(job) in ("cancelled", "done")
        else:
            assert w.finish(job, 400.0), job
    w.run(w.cancel_s)
    assert not w.unserved()
    assert not w.broken, w.broken[:3]
    held = [t for m in w.workers.values() if not m.deleted for t in m.live.values()]
    assert not held


# --- nobody waits beside room; what is over is stopped whoever asks -------------------------------


def test_machines_that_were_all_deaf_serve_again_once_they_hear() -> None:
    w = World(4200, 1)
    w.run(4.0)
    w.capacity = 3
    w.submit(spec(1, task_count=36, estimated_run_s=8.0))
    assert w.until(lambda: len(busy(w)) == 3, 60.0)
    machines = busy(w)
    for m in machines:
        m.deaf = True
    # What is launched now is not heard, and shows in no report.
    job = w.submit(spec(2, task_count=24, estimated_run_s=4.0))
    part = running(w, "n0").shards[0]
    assert w.until(lambda: all(m.ignored_commands >= 2 for m in part.machines.values()), 60.0)
    for m in machines:
        m.deaf = False
    w.quiet_since = w.now
    assert w.finish(job, 80.0)
    assert not w.broken


def test_work_does_not_wait_beside_a_machine_that_is_kept_for_gangs() -> None:
    aims = [{"kind": "wait", "class": "g", "within_s": 6.0, "share": 0.9}]
    w = warm(4210, objectives=aims)
    w.capacity = 1
    gang = w.submit(
        spec(1, kind="gang", job_class="g", task_count=1, cpus=4.0, estimated_run_s=3.0)
    )
    assert w.finish(gang, 60.0)
    w.quiet_since = w.now
    # The class may come again, and once the first array is done the only machine is kept for it.
    w.submit(spec(2, task_count=4, estimated_run_s=8.0, deadline_s=1000.0))
    job = w.submit(spec(3, task_count=4, estimated_run_s=3.0, deadline_s=1000.0))
    assert w.finish("job-000002", 30.0)
    assert all("" in c.fleet.reserved_machines.values() for c in w.cores.values() if c is not None)
    # It goes on a task at a time, so that most of the machine stays the gang's.
    assert w.until(lambda: any(j == job for _, j, *_ in w.starts), 75.0)
    w.run(60.0)
    assert sum(j == job for _, j, *_ in w.starts) >= 2
    assert w.finish(job, 150.0)
    assert not w.broken


def test_an_answer_to_a_machine_that_is_not_settled_stops_what_is_over() -> None:
    w = warm(4220)
    job = w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(14.0)
    m = busy(w)[0]
    part = Shard(0, 99, w.settings[0].cluster, w.now)
    known = Machine(m.name, m.type.name, m.zone, m.spot, w.now)
    known.set_machine_type(m.type)
    part.add_machine(known)
    s = part.slices[job] = JobSlice(w.specs[job])
    s.ranges, s.size = [[0, 12]], 12
    assert part.receive_heartbeat(m.body(), w.now) == []
    s.is_cancelled = True
    orders = part.receive_heartbeat(m.body(), w.now)
    assert orders and {(o.verb, o.index) for o in orders} == {("stop", i) for _, i in m.live}
    # Settled at last, what it lists of jobs that are not known counts against every team.
    del part.slices[job]
    stopped = part.receive_heartbeat(msgspec.structs.replace(m.body(), fencing_token=99), w.now)
    assert stopped and all(o.verb == "stop" for o in stopped)
    assert part.usage("red")[0] == part.usage("blue")[0] == m.type.capacity[0]
    assert (
        part.receive_heartbeat(msgspec.structs.replace(m.body(), fencing_token=99, tasks=[]), w.now)
        == []
    )
    assert part.usage("red")[0] == 0


def test_work_bound_to_a_zone_gets_machines_there_though_others_stand_elsewhere() -> None:
    kind = {t.name: t for t in TYPES}
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
    w = warm(4230)
    job = w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(14.0)
    m = busy(w)[0]
    part = running(w, owner(w, w.state.data[keys.MACHINES + m.name][0][0])).led_shards()[0]
    index = next(i for _, i in m.live)
    m.tasks[(job, index)].state, m.tasks[(job, index)].why = "exited", "done"
    forgotten: list[bool] = []
    for durable in (0, 1 << index):
        part.slices[job].durable_bits = durable
        orders = part.receive_heartbeat(m.body(), part.machines[m.name].last_heartbeat_at + 1.0)
        assert orders is not None
        forgotten.append(any(o.verb == "forget" and o.index == index for o in orders))
    assert forgotten == [False, True]
