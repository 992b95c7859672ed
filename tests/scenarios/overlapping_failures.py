"""Overlapping failures, at moments drawn at random; docs/overlapping_troubles.md lists them.

Each begins with a mix of jobs under way, plays its troubles while users ask and cancel, and ends
in quiet: then no rule may have been broken, every job is answered for, and what was not cancelled
is done.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec

from tests.fakes.deployment import spec
from tests.fakes.worker import Worker
from tests.helpers import busy, warm


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
