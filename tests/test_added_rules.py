"""Scenario tests of the rules and troubles that were added when the deployments grew."""

from __future__ import annotations

import itertools
from typing import Any

import msgspec
import pytest

from marblestair.core.domain.agents import TaskStatus
from marblestair.core.shard.heartbeats import receive_heartbeat
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.worker import Worker
from tests.fakes.world import World
from tests.helpers import busy, owner, warm


def apart(world: World) -> None:
    """Controllers cannot reach one another, but everything else."""
    for a, b in itertools.combinations(world.node_names, 2):
        world.isolate(a, b)


# --- machines that do not hear -----------------------------------------------------------------


def test_a_deaf_machine_loses_its_work_to_others_and_gets_no_more() -> None:
    world = warm(50)
    first = world.submit(spec(1, task_count=12, estimated_run_s=30.0))
    world.run(14.0)
    worker = busy(world)[0]
    mine = {(task.job, task.index) for task in worker.live.values()}
    worker.deaf, since = True, world.now
    world.run(2.5 * world.lease_s)
    # Its lease ran out, and what it held has begun elsewhere.
    again = {(j, i) for t, j, i, name, _ in world.starts if t > since and name != worker.name}
    assert mine <= again
    jobs = [world.submit(spec(n, task_count=8, estimated_run_s=4.0)) for n in range(2, 6)]
    assert all(world.finish(j, 60.0) for j in [first, *jobs])
    # It was given back rather than kept and paid for.
    world.run(3 * world.lease_s)
    assert worker.deleted
    assert not world.broken


def test_a_new_machine_that_never_hears_holds_nothing_up() -> None:
    world = warm(51, teams=[{"name": "red", "cpus": 24.0, "cpus_max": 24.0}])
    job = world.submit(spec(1, task_count=16, estimated_run_s=6.0))
    world.run(1.0)
    assert world.until(lambda: len(world.workers) >= 2, 10.0)
    worker = next(iter(world.workers.values()))
    worker.deaf = True
    assert world.finish(job, 70.0)
    assert not [1 for *_, name, _ in world.starts if name == worker.name]
    assert not world.broken


def test_a_cancel_on_a_deaf_machine_is_settled_in_time() -> None:
    world = warm(52)
    job = world.submit(spec(1, task_count=12, estimated_run_s=200.0))
    world.run(14.0)
    for worker in busy(world):
        worker.deaf = True
    assert world.cancel(job) == "cancelled"
    world.run(world.cancel_s + 2.0)
    assert not [
        task
        for worker in world.workers.values()
        if not worker.deleted
        for task in worker.live.values()
    ]
    assert not world.broken


def test_a_takeover_of_a_deaf_machine_waits_for_its_lease_and_no_longer() -> None:
    world = World(53, 2)
    world.run(4.0)
    job = world.submit(spec(1, task_count=12, estimated_run_s=4.0))
    assert world.until(lambda: len(world.starts) >= 4, 20.0)
    worker = busy(world)[0]
    worker.deaf = True
    home = owner(world, world.state.data[keys.MACHINES + worker.name][0][0])
    world.kill(home, back_after=90.0)
    # What it ran until then is not started elsewhere before its lease must have run out, and the
    # part is not stuck after that, though the machine goes on reporting.
    assert world.finish(job, 45.0)
    assert not world.broken


def test_a_deaf_machine_is_sent_no_launches_for_ever() -> None:
    world = World(54, 1)
    world.run(4.0)
    jobs = [world.submit(spec(n, task_count=8, estimated_run_s=10.0)) for n in (1, 2)]
    assert world.until(lambda: len(busy(world)) >= 2, 30.0)
    worker = busy(world)[0]
    worker.deaf = True
    world.run(world.lease_s + 8.0)
    controller = world.cores["n0"]
    assert controller is not None
    launches: list[Any] = []
    plain = controller.receive_heartbeat

    def report(rep: Any) -> Any:
        out = plain(rep)
        if rep.machine == worker.name:
            launches.extend(command for command in out[2] if command.verb == "start")
        return out

    controller.receive_heartbeat = report  # type: ignore[method-assign]
    world.capacity = len([x for x in world.workers.values() if not x.deleted])
    jobs += [world.submit(spec(n, task_count=30, estimated_run_s=5.0)) for n in (3, 4)]
    world.run(2 * world.lease_s)
    assert not launches
    # It was given back, though it reported all the while and work waits.
    assert worker.deleted
    assert all(world.finish(j, 200.0) for j in jobs)
    assert not world.broken


# --- late copies of reports --------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(60, 64))
def test_late_copies_of_reports_change_nothing(seed: int) -> None:
    world = warm(seed)
    world.copies = 0.6
    jobs = []
    for n in range(1, 7):
        jobs.append(
            world.submit(spec(n, task_count=9, estimated_run_s=world.rng.uniform(3.0, 20.0)))
        )
        world.run(world.rng.uniform(2.0, 8.0))
        if n in (2, 4):
            world.kill(world.rng.choice(world.node_names), back_after=world.rng.choice([0.1, 6.0]))
        if n == 3:
            # A machine whose session moves on.
            for worker in busy(world)[:1]:
                worker.hung = True
                world.at(1.4 * world.lease_s, lambda m=worker: setattr(m, "hung", False))
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken


def test_a_late_copy_of_a_released_machine_revives_nothing() -> None:
    world = warm(65)
    world.submit(spec(1, task_count=6, estimated_run_s=3.0))
    assert world.finish("job-000001", 60.0)
    reports = {worker.name: worker.body() for worker in world.workers.values() if worker.up}
    assert world.until(lambda: all(worker.deleted for worker in world.workers.values()), 200.0)
    # The copies come at processes that know nothing of what was before.
    for x in world.node_names:
        world.kill(x, back_after=0.2)
    world.run(6.0)
    for x in world.node_names:
        for heartbeat in reports.values():
            world._copy(x, heartbeat)
            world.run(0.3)
    world.run(5.0)
    assert not [k for k in world.state.data if k.startswith(keys.MACHINES)]
    assert not world.broken


def test_a_late_copy_settles_no_task_after_a_takeover() -> None:
    world = warm(66)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(15.0)
    # Reports from before the launches: they list nothing.
    old = {
        worker.name: msgspec.structs.replace(worker.body(), sequence=1, fencing_token=0, tasks=[])
        for worker in busy(world)
    }
    held = {worker.name: dict(worker.live) for worker in busy(world)}
    assert held
    world.isolate("n0")
    for _ in range(240):
        # Again and again, so that some come right after the takeover, ahead of real reports.
        for heartbeat in old.values():
            for x in world.node_names:
                world._copy(x, heartbeat)
        world.run(0.05)
    world.heal()
    assert world.finish(job, 300.0)
    assert not world.broken


def test_an_old_copy_takes_no_notice_back_and_brings_none() -> None:
    world = warm(67)
    world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(14.0)
    worker = busy(world)[0]
    before = worker.body()
    world.run(1.0)
    core, part = next(
        (c, p)
        for c in world.cores.values()
        if c is not None
        for p in c.leadership.led_shards()
        if worker.name in p.machines
    )
    seen = part.machines[worker.name].last_heartbeat_at
    world._copy(core.context.node, before)
    world.set_time(core)
    done = [TaskStatus("job-000001", 0, 1, "exited", "done")]
    late = msgspec.structs.replace(before, reclaim_in_s=1.0, tasks=done)
    world._copy(core.context.node, late)
    k = part.machines[worker.name]
    assert k.reclaim_at is None and k.last_heartbeat_at >= seen and len(k.tasks) == len(worker.live)
    assert not part.slices["job-000001"].done_bits
    assert not world.broken


def test_an_earlier_owners_report_settles_nothing_for_the_next() -> None:
    world = warm(69)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(14.0)
    worker = busy(world)[0]
    shard = Shard(0, 99, world.settings[0].cluster, world.now)
    known = Machine(worker.name, worker.type.name, worker.zone, worker.spot, world.now)
    known.set_machine_type(worker.type)
    shard.add_machine(known)
    shard.unreconciled_machines.add(worker.name)
    job_slice = shard.slices[job] = JobSlice(world.specs[job])
    job_slice.ranges, job_slice.size, job_slice.is_unreconciled = [[0, 12]], 12, True
    before = msgspec.structs.replace(worker.body(), tasks=[])
    assert receive_heartbeat(shard, before, world.now) == []
    assert (
        not known.is_reconciled
        and job_slice.is_unreconciled
        and shard.usage("red")[0] == worker.type.capacity[0]
    )
    fenced = msgspec.structs.replace(worker.body(), fencing_token=99)
    assert receive_heartbeat(shard, fenced, world.now) is not None
    assert (
        known.is_reconciled
        and not job_slice.is_unreconciled
        and len(job_slice.placed_on) == len(worker.live)
    )


def test_a_copy_from_a_session_that_is_over_brings_no_task_back() -> None:
    world = warm(68)
    world.submit(spec(1, task_count=12, estimated_run_s=90.0))
    world.run(14.0)
    worker = busy(world)[0]
    core, part = next(
        (c, p)
        for c in world.cores.values()
        if c is not None
        for p in c.leadership.led_shards()
        if worker.name in p.machines
    )
    worker.hung = True
    # Its last report was lost on the way; a copy of it comes when its lease is long over.
    lost = worker.body()
    assert lost.tasks
    world.capacity = 0
    assert world.until(lambda: part.machines[worker.name].is_silent, 2 * world.lease_s)
    held = dict(part.slices["job-000001"].placed_on)
    world._copy(core.context.node, lost)
    assert not part.machines[worker.name].tasks and part.machines[worker.name].is_silent
    assert part.slices["job-000001"].placed_on == held
    assert not world.broken


# --- controllers apart -------------------------------------------------------------------------


def test_controllers_that_cannot_reach_each_other_serve_by_the_state_service() -> None:
    world = warm(70)
    old = [world.submit(spec(n, task_count=9, estimated_run_s=8.0)) for n in range(1, 4)]
    world.run(10.0)
    apart(world)
    world.run(4.0)
    new = [
        world.submit(spec(10 + i, task_count=6, estimated_run_s=5.0), x)
        for i, x in enumerate(world.node_names)
    ]
    # Every node tells of every job, and a job whose slices lie in several parts is done.
    for job in old + new:
        assert all(world.state_of(job, x) for x in world.node_names)
    assert all(world.finish(j, 60.0) for j in old + new)
    long = [world.submit(spec(20 + i, task_count=6, estimated_run_s=300.0), "n0") for i in range(3)]
    world.run(8.0)
    for job, x in zip(long, world.node_names, strict=True):
        world.cancel_asked.add(job)
        told: list[Any] = []
        asked = world.now
        while not (told and told[0].status == 200):
            told = world.ask(x, "cancel", job)
            world.until(lambda o=told: bool(o), 5.0)
            world.run(1.0)
            assert world.now - asked < 30.0
        assert told[0].state == "cancelled"
    world.run(world.cancel_s + 2.0)
    assert not world.broken
    world.heal()
    assert not world.unanswered()
    assert not world.broken


def test_a_controller_left_with_its_workers_only_is_relieved() -> None:
    world = warm(71)
    job = world.submit(spec(1, task_count=12, estimated_run_s=40.0))
    world.run(12.0)
    controller = world.cores["n1"]
    assert controller is not None and controller.is_healthy()
    world.isolate("n1", "state", "n0", "n2")
    world.run(8.0)
    assert (
        owner(world, 1) != "n1"
        and not controller.leadership.led_shards()
        and not controller.is_healthy()
    )
    # Workers and users are refused at once: no 200, no name, nothing held back.
    worker = busy(world)[0]
    world.set_time(controller)
    status, _, commands, _ = controller.receive_heartbeat(worker.body())
    assert status in (421, 503) and not commands
    for what, arg in (("submit", spec(2)), ("query", job), ("cancel", job)):
        world.specs["job-000002"] = spec(2)
        asked = world.now
        out = world.ask("n1", what, arg)
        assert out and out[0].status == 503 and world.now == asked and out[0].retry_after_s
    world.heal()
    assert world.finish(job, 200.0)
    world.run(15.0)
    assert controller.is_healthy() and controller.leadership.led_shards()
    assert world.state_of(job, "n1") == "done"
    assert not world.broken


# --- back at once ------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(80, 83))
def test_processes_back_at_once_amid_takeovers_with_late_messages(seed: int) -> None:
    world = warm(seed)
    world.late_commits, world.lose_answers, world.copies = 0.1, 0.05, 0.2
    jobs = [world.submit(spec(n, task_count=9, estimated_run_s=10.0)) for n in range(1, 5)]
    for n in range(10):
        world.heal()
        x = world.node_names[n % 3]
        world.isolate(x, hold=True)
        world.run(world.rng.uniform(0.5, 5.0))
        # The one that would take over dies in the middle of it, and so does the cut one.
        for y in world.node_names:
            if world.rng.random() < 0.6:
                world.kill(y, back_after=world.rng.uniform(0.05, 0.4))
        world.run(world.rng.uniform(0.1, 1.5))
        assert not world.broken
    world.heal()
    world.late_commits = world.lose_answers = world.copies = 0.0
    assert not world.unanswered()
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken


# --- nobody is given up ------------------------------------------------------------------------


def test_in_a_flood_the_largest_jobs_begin_and_every_job_stays_known() -> None:
    world = warm(90)
    world.capacity = 3
    sizes = [4, 4, 4, 4, 30]
    jobs: dict[str, int] = {}
    # Several times what the fleet can do, all of it dated, the large ones hopeless from the start.
    for n in range(1, 61):
        size = sizes[n % 5]
        s = spec(
            n, task_count=size, estimated_run_s=12.0, deadline_s=30.0, team=["red", "blue"][n % 2]
        )
        jobs[world.submit(s)] = size
        world.run(2.0)
    world.run(200.0)
    began: dict[str, float] = {}
    for t, job, *_ in world.starts:
        began.setdefault(job, t)
    large = [j for j, n in jobs.items() if n == 30 and world.now - world.accepted[j] > 240.0]
    assert len(large) >= 8
    assert all(began.get(j, 1e9) - world.accepted[j] < 240.0 for j in large)
    assert not world.unanswered()
    assert not world.broken


# --- everything, alone and overlapping ---------------------------------------------------------


@pytest.mark.parametrize("seed", range(300, 310))
# One branch for each trouble, so that the draws of a seed stay what they are.
def test_all_troubles_drawn_at_random_break_no_rule_and_leave_every_job_known(seed: int) -> None:  # noqa: C901, PLR0912
    world = warm(seed)
    rng = world.rng
    jobs: list[str] = []
    world.lose_answers, world.late_commits, world.copies = 0.02, 0.02, 0.2

    def up() -> list[Worker]:
        return [worker for worker in world.workers.values() if worker.up and not worker.deleted]

    def deaf() -> None:
        for worker in rng.sample(up(), min(2, len(up()))):
            worker.deaf = True
            world.at(rng.uniform(3.0, 40.0), lambda m=worker: setattr(m, "deaf", False))

    def hang() -> None:
        for worker in up()[:1]:
            worker.hung = True
            world.at(rng.uniform(2.0, 25.0), lambda m=worker: setattr(m, "hung", False))

    def machine_back() -> None:
        if up():
            rng.choice(up()).back_at_once()

    def only_workers() -> None:
        x = rng.choice(world.node_names)
        world.isolate(x, "state", "users", *(y for y in world.node_names if y != x))

    def outage() -> None:
        world.state.outage(True, world.now)
        world.at(rng.uniform(2.0, 20.0), lambda: world.state.outage(False, world.now))

    def cancel() -> None:
        job = rng.choice(jobs)
        world.cancel_asked.add(job)
        world.ask(rng.choice(world.node_names), "cancel", job)

    def restart() -> None:
        for x in rng.sample(world.node_names, rng.randint(1, 3)):
            world.kill(x, back_after=rng.choice([0.05, 0.3, 5.0]))

    troubles = [
        deaf,
        hang,
        machine_back,
        only_workers,
        outage,
        cancel,
        restart,
        lambda: apart(world),
        lambda: world.isolate(rng.choice(world.node_names), hold=True),
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
        world.specs[s.id] = s
        world.ask(rng.choice(world.node_names), "submit", s)
        jobs.append(s.id)
        for trouble in rng.sample(troubles, rng.randint(1, 3)):
            trouble()
        world.run(rng.uniform(0.5, 8.0))
        if rng.random() < 0.4:
            world.heal()
        assert not world.broken
    world.heal()
    world.run(25.0)
    world.lose_answers = world.late_commits = 0.0
    for worker in up():
        worker.deaf = worker.hung = False
    assert not world.unanswered()
    for job in world.accepted:
        if job not in world.cancel_asked:
            assert world.finish(job, 400.0), job
    world.run(world.cancel_s)
    assert not world.broken


def test_a_zone_cut_off_a_slow_state_service_and_all_nodes_crashing_in_the_middle() -> None:
    world = warm(91)
    jobs = [world.submit(spec(n, task_count=9, estimated_run_s=15.0)) for n in range(1, 5)]
    world.run(10.0)
    # Half of the machines cannot reach any controller, and the state service takes 0.3 s.
    for worker in busy(world)[::2]:
        world.isolate(worker.name, *world.node_names)
    world.state_slow = 0.3
    world.run(8.0)
    jobs.append(world.submit(spec(5, task_count=6, estimated_run_s=5.0)))
    for x in world.node_names:
        world.kill(x, back_after=world.rng.uniform(0.1, 3.0))
    world.run(12.0)
    # Slow as it is, parts have owners, and users are served.
    assert all(
        controller is not None and controller.leadership.led_shards()
        for controller in world.cores.values()
    )
    jobs.append(world.submit(spec(6, task_count=6, estimated_run_s=5.0)))
    assert not world.broken
    world.heal()
    world.state_slow = 0.0
    assert not world.unanswered()
    assert all(world.finish(j, 200.0) for j in jobs)
    assert not world.broken


def test_a_cancel_by_the_record_waits_for_an_owner_that_may_still_act() -> None:
    world = warm(72)
    controller = world.cores["n0"]
    assert controller is not None
    job = world.submit(spec(1, task_count=12, estimated_run_s=120.0), "n0")
    world.run(14.0)
    # n0 still answers its workers while its lease lasts, and cannot see the entry.
    world.isolate("n0", "state", "n1", "n2")
    world.cancel_asked.add(job)
    outs: list[list[Any]] = []
    while not any(o and o[0].status == 200 for o in outs):
        assert len(outs) < 200
        outs.append(world.ask("n1", "cancel", job))
        world.run(0.25)
        if any(o and o[0].status == 200 for o in outs):
            assert not controller.leadership.led_shards()
    world.heal()
    world.run(world.cancel_s + 2.0)
    assert not world.broken
