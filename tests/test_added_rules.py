"""Scenario tests of the rules and troubles that were added when the deployments grew."""

from __future__ import annotations

import itertools
from typing import Any

import msgspec
import pytest

from marblestair.core.domain.model import TaskStatus
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.worker import Worker
from tests.fakes.world import World
from tests.helpers import busy, owner, warm


def apart(w: World) -> None:
    """Controllers cannot reach one another, but everything else."""
    for a, b in itertools.combinations(w.node_names, 2):
        w.isolate(a, b)


# --- machines that do not hear -----------------------------------------------------------------


def test_a_deaf_machine_loses_its_work_to_others_and_gets_no_more() -> None:
    w = warm(50)
    first = w.submit(spec(1, task_count=12, estimated_run_s=30.0))
    w.run(14.0)
    m = busy(w)[0]
    mine = {(t.job, t.index) for t in m.live.values()}
    m.deaf, since = True, w.now
    w.run(2.5 * w.lease_s)
    # Its lease ran out, and what it held has begun elsewhere.
    again = {(j, i) for t, j, i, name, _ in w.starts if t > since and name != m.name}
    assert mine <= again
    jobs = [w.submit(spec(n, task_count=8, estimated_run_s=4.0)) for n in range(2, 6)]
    assert all(w.finish(j, 60.0) for j in [first, *jobs])
    # It was given back rather than kept and paid for.
    w.run(3 * w.lease_s)
    assert m.deleted
    assert not w.broken


def test_a_new_machine_that_never_hears_holds_nothing_up() -> None:
    w = warm(51, teams=[{"name": "red", "cpus": 24.0, "cpus_max": 24.0}])
    job = w.submit(spec(1, task_count=16, estimated_run_s=6.0))
    w.run(1.0)
    assert w.until(lambda: len(w.workers) >= 2, 10.0)
    m = next(iter(w.workers.values()))
    m.deaf = True
    assert w.finish(job, 70.0)
    assert not [1 for *_, name, _ in w.starts if name == m.name]
    assert not w.broken


def test_a_cancel_on_a_deaf_machine_is_settled_in_time() -> None:
    w = warm(52)
    job = w.submit(spec(1, task_count=12, estimated_run_s=200.0))
    w.run(14.0)
    for m in busy(w):
        m.deaf = True
    assert w.cancel(job) == "cancelled"
    w.run(w.cancel_s + 2.0)
    assert not [t for m in w.workers.values() if not m.deleted for t in m.live.values()]
    assert not w.broken


def test_a_takeover_of_a_deaf_machine_waits_for_its_lease_and_no_longer() -> None:
    w = World(53, 2)
    w.run(4.0)
    job = w.submit(spec(1, task_count=12, estimated_run_s=4.0))
    assert w.until(lambda: len(w.starts) >= 4, 20.0)
    m = busy(w)[0]
    m.deaf = True
    home = owner(w, w.state.data[keys.MACHINES + m.name][0][0])
    w.kill(home, back_after=90.0)
    # What it ran until then is not started elsewhere before its lease must have run out, and the
    # part is not stuck after that, though the machine goes on reporting.
    assert w.finish(job, 45.0)
    assert not w.broken


def test_a_deaf_machine_is_sent_no_launches_for_ever() -> None:
    w = World(54, 1)
    w.run(4.0)
    jobs = [w.submit(spec(n, task_count=8, estimated_run_s=10.0)) for n in (1, 2)]
    assert w.until(lambda: len(busy(w)) >= 2, 30.0)
    m = busy(w)[0]
    m.deaf = True
    w.run(w.lease_s + 8.0)
    core = w.cores["n0"]
    assert core is not None
    launches: list[Any] = []
    plain = core.receive_heartbeat

    def report(rep: Any) -> Any:
        out = plain(rep)
        if rep.machine == m.name:
            launches.extend(o for o in out[2] if o.verb == "start")
        return out

    core.receive_heartbeat = report  # type: ignore[method-assign]
    w.capacity = len([x for x in w.workers.values() if not x.deleted])
    jobs += [w.submit(spec(n, task_count=30, estimated_run_s=5.0)) for n in (3, 4)]
    w.run(2 * w.lease_s)
    assert not launches
    # It was given back, though it reported all the while and work waits.
    assert m.deleted
    assert all(w.finish(j, 200.0) for j in jobs)
    assert not w.broken


# --- late copies of reports --------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(60, 64))
def test_late_copies_of_reports_change_nothing(seed: int) -> None:
    w = warm(seed)
    w.copies = 0.6
    jobs = []
    for n in range(1, 7):
        jobs.append(w.submit(spec(n, task_count=9, estimated_run_s=w.rng.uniform(3.0, 20.0))))
        w.run(w.rng.uniform(2.0, 8.0))
        if n in (2, 4):
            w.kill(w.rng.choice(w.node_names), back_after=w.rng.choice([0.1, 6.0]))
        if n == 3:
            # A machine whose session moves on.
            for m in busy(w)[:1]:
                m.hung = True
                w.at(1.4 * w.lease_s, lambda m=m: setattr(m, "hung", False))
    assert all(w.finish(j, 300.0) for j in jobs)
    assert not w.broken


def test_a_late_copy_of_a_released_machine_revives_nothing() -> None:
    w = warm(65)
    w.submit(spec(1, task_count=6, estimated_run_s=3.0))
    assert w.finish("job-000001", 60.0)
    reports = {m.name: m.body() for m in w.workers.values() if m.up}
    assert w.until(lambda: all(m.deleted for m in w.workers.values()), 200.0)
    # The copies come at processes that know nothing of what was before.
    for x in w.node_names:
        w.kill(x, back_after=0.2)
    w.run(6.0)
    for x in w.node_names:
        for rep in reports.values():
            w._copy(x, rep)
            w.run(0.3)
    w.run(5.0)
    assert not [k for k in w.state.data if k.startswith(keys.MACHINES)]
    assert not w.broken


def test_a_late_copy_settles_no_task_after_a_takeover() -> None:
    w = warm(66)
    job = w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(15.0)
    # Reports from before the launches: they list nothing.
    old = {
        m.name: msgspec.structs.replace(m.body(), sequence=1, fencing_token=0, tasks=[])
        for m in busy(w)
    }
    held = {m.name: dict(m.live) for m in busy(w)}
    assert held
    w.isolate("n0")
    for _ in range(240):
        # Again and again, so that some come right after the takeover, ahead of real reports.
        for rep in old.values():
            for x in w.node_names:
                w._copy(x, rep)
        w.run(0.05)
    w.heal()
    assert w.finish(job, 300.0)
    assert not w.broken


def test_an_old_copy_takes_no_notice_back_and_brings_none() -> None:
    w = warm(67)
    w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(14.0)
    m = busy(w)[0]
    before = m.body()
    w.run(1.0)
    core, part = next(
        (c, p)
        for c in w.cores.values()
        if c is not None
        for p in c.led_shards()
        if m.name in p.machines
    )
    seen = part.machines[m.name].last_heartbeat_at
    w._copy(core.node, before)
    w.set_time(core)
    done = [TaskStatus("job-000001", 0, 1, "exited", "done")]
    late = msgspec.structs.replace(before, reclaim_in_s=1.0, tasks=done)
    w._copy(core.node, late)
    k = part.machines[m.name]
    assert k.reclaim_at is None and k.last_heartbeat_at >= seen and len(k.tasks) == len(m.live)
    assert not part.slices["job-000001"].done_bits
    assert not w.broken


def test_an_earlier_owners_report_settles_nothing_for_the_next() -> None:
    w = warm(69)
    job = w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(14.0)
    m = busy(w)[0]
    part = Shard(0, 99, w.settings[0].cluster, w.now)
    known = Machine(m.name, m.type.name, m.zone, m.spot, w.now)
    known.set_machine_type(m.type)
    part.add_machine(known)
    part.unreconciled_machines.add(m.name)
    s = part.slices[job] = JobSlice(w.specs[job])
    s.ranges, s.size, s.is_unreconciled = [[0, 12]], 12, True
    before = msgspec.structs.replace(m.body(), tasks=[])
    assert part.receive_heartbeat(before, w.now) == []
    assert (
        not known.is_reconciled and s.is_unreconciled and part.usage("red")[0] == m.type.capacity[0]
    )
    fenced = msgspec.structs.replace(m.body(), fencing_token=99)
    assert part.receive_heartbeat(fenced, w.now) is not None
    assert known.is_reconciled and not s.is_unreconciled and len(s.placed_on) == len(m.live)


def test_a_copy_from_a_session_that_is_over_brings_no_task_back() -> None:
    w = warm(68)
    w.submit(spec(1, task_count=12, estimated_run_s=90.0))
    w.run(14.0)
    m = busy(w)[0]
    core, part = next(
        (c, p)
        for c in w.cores.values()
        if c is not None
        for p in c.led_shards()
        if m.name in p.machines
    )
    m.hung = True
    # Its last report was lost on the way; a copy of it comes when its lease is long over.
    lost = m.body()
    assert lost.tasks
    w.capacity = 0
    assert w.until(lambda: part.machines[m.name].is_silent, 2 * w.lease_s)
    held = dict(part.slices["job-000001"].placed_on)
    w._copy(core.node, lost)
    assert not part.machines[m.name].tasks and part.machines[m.name].is_silent
    assert part.slices["job-000001"].placed_on == held
    assert not w.broken


# --- controllers apart -------------------------------------------------------------------------


def test_controllers_that_cannot_reach_each_other_serve_by_the_state_service() -> None:
    w = warm(70)
    old = [w.submit(spec(n, task_count=9, estimated_run_s=8.0)) for n in range(1, 4)]
    w.run(10.0)
    apart(w)
    w.run(4.0)
    new = [
        w.submit(spec(10 + i, task_count=6, estimated_run_s=5.0), x)
        for i, x in enumerate(w.node_names)
    ]
    # Every node tells of every job, and a job whose slices lie in several parts is done.
    for job in old + new:
        assert all(w.state_of(job, x) for x in w.node_names)
    assert all(w.finish(j, 60.0) for j in old + new)
    long = [w.submit(spec(20 + i, task_count=6, estimated_run_s=300.0), "n0") for i in range(3)]
    w.run(8.0)
    for job, x in zip(long, w.node_names, strict=True):
        w.cancel_asked.add(job)
        told: list[Any] = []
        asked = w.now
        while not (told and told[0].status == 200):
            told = w.ask(x, "cancel", job)
            w.until(lambda o=told: bool(o), 5.0)
            w.run(1.0)
            assert w.now - asked < 30.0
        assert told[0].state == "cancelled"
    w.run(w.cancel_s + 2.0)
    assert not w.broken
    w.heal()
    assert not w.unanswered()
    assert not w.broken


def test_a_controller_left_with_its_workers_only_is_relieved() -> None:
    w = warm(71)
    job = w.submit(spec(1, task_count=12, estimated_run_s=40.0))
    w.run(12.0)
    core = w.cores["n1"]
    assert core is not None and core.is_healthy()
    w.isolate("n1", "state", "n0", "n2")
    w.run(8.0)
    assert owner(w, 1) != "n1" and not core.led_shards() and not core.is_healthy()
    # Workers and users are refused at once: no 200, no name, nothing held back.
    m = busy(w)[0]
    w.set_time(core)
    status, _, orders, _ = core.receive_heartbeat(m.body())
    assert status in (421, 503) and not orders
    for what, arg in (("submit", spec(2)), ("query", job), ("cancel", job)):
        w.specs["job-000002"] = spec(2)
        asked = w.now
        out = w.ask("n1", what, arg)
        assert out and out[0].status == 503 and w.now == asked and out[0].retry_after_s
    w.heal()
    assert w.finish(job, 200.0)
    w.run(15.0)
    assert core.is_healthy() and core.led_shards()
    assert w.state_of(job, "n1") == "done"
    assert not w.broken


# --- back at once ------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(80, 83))
def test_processes_back_at_once_amid_takeovers_with_late_messages(seed: int) -> None:
    w = warm(seed)
    w.late_commits, w.lose_answers, w.copies = 0.1, 0.05, 0.2
    jobs = [w.submit(spec(n, task_count=9, estimated_run_s=10.0)) for n in range(1, 5)]
    for n in range(10):
        w.heal()
        x = w.node_names[n % 3]
        w.isolate(x, hold=True)
        w.run(w.rng.uniform(0.5, 5.0))
        # The one that would take over dies in the middle of it, and so does the cut one.
        for y in w.node_names:
            if w.rng.random() < 0.6:
                w.kill(y, back_after=w.rng.uniform(0.05, 0.4))
        w.run(w.rng.uniform(0.1, 1.5))
        assert not w.broken
    w.heal()
    w.late_commits = w.lose_answers = w.copies = 0.0
    assert not w.unanswered()
    assert all(w.finish(j, 300.0) for j in jobs)
    assert not w.broken


# --- nobody is given up ------------------------------------------------------------------------


def test_in_a_flood_the_largest_jobs_begin_and_every_job_stays_known() -> None:
    w = warm(90)
    w.capacity = 3
    sizes = [4, 4, 4, 4, 30]
    jobs: dict[str, int] = {}
    # Several times what the fleet can do, all of it dated, the large ones hopeless from the start.
    for n in range(1, 61):
        size = sizes[n % 5]
        s = spec(
            n, task_count=size, estimated_run_s=12.0, deadline_s=30.0, team=["red", "blue"][n % 2]
        )
        jobs[w.submit(s)] = size
        w.run(2.0)
    w.run(200.0)
    began: dict[str, float] = {}
    for t, job, *_ in w.starts:
        began.setdefault(job, t)
    large = [j for j, n in jobs.items() if n == 30 and w.now - w.accepted[j] > 240.0]
    assert len(large) >= 8
    assert all(began.get(j, 1e9) - w.accepted[j] < 240.0 for j in large)
    assert not w.unanswered()
    assert not w.broken


# --- everything, alone and overlapping ---------------------------------------------------------


@pytest.mark.parametrize("seed", range(300, 310))
# One branch for each trouble, so that the draws of a seed stay what they are.
def test_all_troubles_drawn_at_random_break_no_rule_and_leave_every_job_known(seed: int) -> None:  # noqa: C901, PLR0912
    w = warm(seed)
    rng = w.rng
    jobs: list[str] = []
    w.lose_answers, w.late_commits, w.copies = 0.02, 0.02, 0.2

    def up() -> list[Worker]:
        return [m for m in w.workers.values() if m.up and not m.deleted]

    def deaf() -> None:
        for m in rng.sample(up(), min(2, len(up()))):
            m.deaf = True
            w.at(rng.uniform(3.0, 40.0), lambda m=m: setattr(m, "deaf", False))

    def hang() -> None:
        for m in up()[:1]:
            m.hung = True
            w.at(rng.uniform(2.0, 25.0), lambda m=m: setattr(m, "hung", False))

    def machine_back() -> None:
        if up():
            rng.choice(up()).back_at_once()

    def only_workers() -> None:
        x = rng.choice(w.node_names)
        w.isolate(x, "state", "users", *(y for y in w.node_names if y != x))

    def outage() -> None:
        w.state.outage(True, w.now)
        w.at(rng.uniform(2.0, 20.0), lambda: w.state.outage(False, w.now))

    def cancel() -> None:
        job = rng.choice(jobs)
        w.cancel_asked.add(job)
        w.ask(rng.choice(w.node_names), "cancel", job)

    def restart() -> None:
        for x in rng.sample(w.node_names, rng.randint(1, 3)):
            w.kill(x, back_after=rng.choice([0.05, 0.3, 5.0]))

    troubles = [
        deaf,
        hang,
        machine_back,
        only_workers,
        outage,
        cancel,
        restart,
        lambda: apart(w),
        lambda: w.isolate(rng.choice(w.node_names), hold=True),
    ]
    for n in range(1, 13):
        kind = rng.choice(["array", "array", "gang"])
        s = spec(
            n,
            kind=kind,
            team=rng.choice(["red", "blue"]),
            task_count=rng.randint(1, 6 if kind == "gang" else 14),
            estimated_run_s=rng.uniform(2.0, 15.0),
            allows_spot=rng.random() < 0.5,
        )
        w.specs[s.id] = s
        w.ask(rng.choice(w.node_names), "submit", s)
        jobs.append(s.id)
        for trouble in rng.sample(troubles, rng.randint(1, 3)):
            trouble()
        w.run(rng.uniform(0.5, 8.0))
        if rng.random() < 0.4:
            w.heal()
        assert not w.broken
    w.heal()
    w.run(25.0)
    w.lose_answers = w.late_commits = 0.0
    for m in up():
        m.deaf = m.hung = False
    assert not w.unanswered()
    for job in w.accepted:
        if job not in w.cancel_asked:
            assert w.finish(job, 400.0), job
    w.run(w.cancel_s)
    assert not w.broken


def test_a_zone_cut_off_a_slow_state_service_and_all_nodes_crashing_in_the_middle() -> None:
    w = warm(91)
    jobs = [w.submit(spec(n, task_count=9, estimated_run_s=15.0)) for n in range(1, 5)]
    w.run(10.0)
    # Half of the machines cannot reach any controller, and the state service takes 0.3 s.
    for m in busy(w)[::2]:
        w.isolate(m.name, *w.node_names)
    w.state_slow = 0.3
    w.run(8.0)
    jobs.append(w.submit(spec(5, task_count=6, estimated_run_s=5.0)))
    for x in w.node_names:
        w.kill(x, back_after=w.rng.uniform(0.1, 3.0))
    w.run(12.0)
    # Slow as it is, parts have owners, and users are served.
    assert all(c is not None and c.led_shards() for c in w.cores.values())
    jobs.append(w.submit(spec(6, task_count=6, estimated_run_s=5.0)))
    assert not w.broken
    w.heal()
    w.state_slow = 0.0
    assert not w.unanswered()
    assert all(w.finish(j, 200.0) for j in jobs)
    assert not w.broken


def test_a_cancel_by_the_record_waits_for_an_owner_that_may_still_act() -> None:
    w = warm(72)
    core = w.cores["n0"]
    assert core is not None
    job = w.submit(spec(1, task_count=12, estimated_run_s=120.0), "n0")
    w.run(14.0)
    # n0 still answers its workers while its lease lasts, and cannot see the entry.
    w.isolate("n0", "state", "n1", "n2")
    w.cancel_asked.add(job)
    outs: list[list[Any]] = []
    while not any(o and o[0].status == 200 for o in outs):
        assert len(outs) < 200
        outs.append(w.ask("n1", "cancel", job))
        w.run(0.25)
        if any(o and o[0].status == 200 for o in outs):
            assert not core.led_shards()
    w.heal()
    w.run(w.cancel_s + 2.0)
    assert not w.broken
