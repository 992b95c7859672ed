"""Scenario tests of fleets of hundreds of machines: cost of an event, many falling at once."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from marblestair.core.domain.machines import MachineType
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.store_requests import ListKeys
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView
from marblestair.net.framing import MAX_FRAME
from marblestair.settings import Workers
from tests.fakes.deployment import spec
from tests.fakes.worker import Worker
from tests.fakes.world import World
from tests.helpers import cost

KINDS = [
    MachineType("m16", 16.0, 0.0, 64.0, 50.0, 1.0, 1.0, 0.35, 4.0, ["a", "b", "c"]),
    MachineType("m32", 32.0, 0.0, 64.0, 50.0, 1.0, 1.8, 0.7, 4.0, ["a", "b", "c"]),
]
#: reports and leases of another ratio than on the small deployments, and their rates
WORKERS = dict(report_s=2.5, lease_s=15.25, gang_wait_s=30.0, gang_peer_s=5.0, cancel_s=40.25)
STATE = dict(rps=400.0, write_rps=150.0, value_kb=4.0, txn_ops=12)


def fleet(seed: int, machines: int, nodes: int = 3, **cluster: Any) -> World:
    """A deployment whose teams may use all of so many machines together."""
    teams = [
        {"name": n, "cpus": 4.0 * machines, "cpus_max": 8.0 * machines} for n in ("red", "blue")
    ]
    base: dict[str, Any] = dict(
        teams=teams,
        workers=WORKERS,
        state=STATE,
        cloud=dict(rps=8.0, list_lag_s=5.0),
        machine_limits=dict(core_share=1.0, mem_mb=400.0, sockets=2000.0),
    )
    base.update(cluster)
    world = World(seed, nodes, **base)
    world.types, world.capacity = KINDS, machines
    world.run(4.0)
    return world


def fill(world: World, first: int, jobs: int, tasks: int, **more: Any) -> list[str]:
    """Submit arrays for both teams, without waiting for the answers."""
    out = []
    for n in range(first, first + jobs):
        team = ("red", "blue")[n % 2]
        changes = {
            "estimated_run_s": 12.0,
            "deadline_s": 90.0,
            "allows_spot": True,
            "mem_gb": 0.5,
            **more,
        }
        s = spec(n, task_count=tasks, team=team, image=f"i{n % 9}", **changes)
        world.specs[s.id] = s
        world.ask(world.rng.choice(world.node_names), "submit", s)
        out.append(s.id)
        world.run(0.05)
    return out


def serving(world: World) -> list[Worker]:
    return [worker for worker in world.workers.values() if worker.up and not worker.deleted]


def test_an_event_costs_the_same_on_nine_hundred_machines() -> None:
    """Found on simulated fleet days that were not over in time: each report that brought room up
    went through all machines and all slices of its part.
    """
    seen = {}
    for machines, jobs in ((300, 60), (900, 180), (300, 180)):
        world = fleet(7, machines)
        fill(world, 1, jobs, 160, estimated_run_s=15.0, deadline_s=40.0)
        world.run(22.0)
        assert len(serving(world)) >= 0.5 * machines
        before, then = world.state.writes, world.now
        seen[machines, jobs] = cost(world, 3.0)
        # Changes of the state service stay within its rate, whatever runs.
        assert (world.state.writes - before) / (world.now - then) < STATE["write_rps"]
        assert not world.broken and not world.state.refused and world.state.largest <= 4096
    small, large, busy = seen[300, 60], seen[900, 180], seen[300, 180]
    # A report and what it starts or ends: neither the machines nor the jobs beside it count.
    assert large["heartbeat"] < 1.5 * small["heartbeat"], seen
    assert busy["heartbeat"] < 1.5 * small["heartbeat"], seen
    # What is done twice a second may go once through the part, which is three times as large.
    assert large["tick"] < 3.5 * small["tick"], seen
    assert large["message"] < 3.5 * small["message"], seen


def test_four_thousand_machines_cost_each_event_no_more_than_nine_hundred() -> None:
    """Steps of a report, a tick and a note, and changes of the state service."""
    workers = {**WORKERS, "report_s": 10.0, "lease_s": 61.0, "cancel_s": 130.0}
    seen, changes = {}, {}
    for machines, jobs in ((900, 45), (4000, 200)):
        world = fleet(7, machines, workers=workers, cloud=dict(rps=16.0, list_lag_s=5.0))
        fill(world, 1, jobs, 40, estimated_run_s=60.0, deadline_s=60.0, cpus=14.0)
        world.run(30.0)
        assert len(serving(world)) >= 0.95 * machines
        assert sum(bool(worker.live) for worker in serving(world)) >= 0.9 * machines
        before, then = world.state.writes, world.now
        seen[machines] = cost(world, 4.0)
        changes[machines] = (world.state.writes - before) / (world.now - then)
        assert not world.broken and not world.state.refused and world.state.largest <= 4096
    assert seen[4000]["heartbeat"] < 1.2 * seen[900]["heartbeat"], seen
    # What is done twice a second goes through the part, which is 4.4 times as large.
    assert seen[4000]["tick"] < 1.2 * 4.5 * seen[900]["tick"], seen
    assert seen[4000]["message"] < 1.2 * 4.5 * seen[900]["message"], seen
    assert max(changes.values()) < STATE["write_rps"], changes


def test_nothing_remembered_or_told_stops_short_of_four_thousand_machines() -> None:
    names = [f"host-{n:06d}" for n in range(4000)]
    view = StoreView()
    for name in names:
        view.record_read(keys.MACHINES + name, [0, "m16", "a", False, 0.0], 1)
    for name in names:
        view.record_absence(keys.MACHINES + name, 2)
    assert set(view.gone_machines) == set(names)
    faults = FailureAttribution(Workers(**WORKERS))
    for number, name in enumerate(names):
        faults.record_failure(f"job-{number % 50}", name, True, 0.0)
    assert all(faults.machine_backoff_s(name) > 0 for name in names)
    # One node owns all of them, each in each list of the summary, and promises all cancels.
    room = ("a-long-name-of-a-type", "a-long-name-of-a-zone", False, 1 << 40, 1 << 40, 1 << 40)
    summary = ShardSummary(
        shard_id=0,
        term=1 << 32,
        free_capacity=[room] * 4000,
        preemptible_capacity=[room] * 4000,
        backlog_cpus=1 << 60,
        free_quota={},
        lacking_quota={},
        pending_jobs=[(f"job-{n:06d}", 100_000, 100_000) for n in range(4000)],
        busy_machines=[(name, 1 << 40) for name in names],
        idle_machines=[(name, 1234.56) for name in names],
        jobs_lacking_capacity=[f"job-{n:06d}" for n in range(4000)],
        gang_machines=names,
        leaving_machines=names,
        absent_machines=names,
        starved_teams={},
    )
    assert len(msgspec.msgpack.encode(summary)) < MAX_FRAME
    world = World(1)
    world.run(4.0)
    controller = world.cores["n0"]
    assert controller is not None
    for number in range(4000):
        controller.cancels.record(f"job-{number:06d}", 1_000_000)
    entries = controller.cancels.entries_after(0)
    assert entries is not None and len(entries) == 4000
    assert len(msgspec.msgpack.encode(entries)) < MAX_FRAME


def test_a_cleared_machine_takes_its_gang_with_the_report_that_shows_it() -> None:
    """Found on simulated days: once reports filled their own machine, one that was being cleared
    for an urgent gang was passed over, and the gang waited for a tick and one more report.
    """
    aims = [{"kind": "wait", "class": "g", "within_s": 6.0, "share": 0.9}]
    teams = [{"name": n, "cpus": 90.0, "cpus_max": 200.0} for n in ("red", "blue")]
    world = fleet(26, 6, 1, objectives=aims, teams=teams)
    arrays = fill(world, 1, 6, 200, estimated_run_s=30.0, deadline_s=None, allows_spot=False)
    world.run(40.0)
    waits = []
    for n in range(50, 56):
        s = spec(
            n,
            kind="gang",
            job_class="g",
            task_count=1,
            cpus=15.0,
            mem_gb=20.0,
            estimated_run_s=15.0,
        )
        s = msgspec.structs.replace(s, priority="high", team=("red", "blue")[n % 2])
        gang, asked = world.submit(s), world.now
        world.run(20.0)
        waits += [t - asked for t, j, *_ in world.starts if j == gang]
    assert len(waits) == 6, "each found room by stopping arrays"
    # The stop goes out at once, the worker reports the change half a second later.
    assert sorted(waits)[3] < 0.4 * WORKERS["report_s"], waits
    assert all(world.finish(j, 600.0) for j in arrays) and not world.broken


# --- everything at once ------------------------------------------------------------------------


def running(world: World) -> dict[tuple[str, int], str]:
    """Tasks that run, and where."""
    return {
        (task.job, task.index): worker.name
        for worker in serving(world)
        for task in worker.live.values()
        if task.state == "running"
    }


def settled(world: World, jobs: list[str], most: float) -> None:
    """All jobs are done in time, and no rule was broken on the way."""
    assert world.until(lambda: not world.unanswered(), 1.0)
    assert all(world.finish(j, most) for j in jobs)
    assert not world.broken and not world.state.refused


def starts_again(world: World, most: float) -> None:
    """Service is there again: a small job starts within the time."""
    n = 900_000 + len(world.specs)
    s = spec(n, task_count=3, team="red", mem_gb=0.5, estimated_run_s=2.0, allows_spot=True)
    job = world.submit(s)
    assert world.until(lambda: any(j == job for _, j, *_ in world.starts), most)


@pytest.mark.parametrize("back_after", [0.2, 1.0, 8.0])
def test_all_nodes_fall_at_once_and_every_worker_comes_back(back_after: float) -> None:
    world = fleet(20, 150)
    jobs = fill(world, 1, 24, 60, estimated_run_s=40.0, deadline_s=60.0)
    world.run(20.0)
    before = running(world)
    assert len(before) > 600
    for x in world.node_names:
        world.kill(x, back_after=back_after * world.rng.uniform(0.8, 1.0))
    asked = world.now
    world.run(back_after + 6.0)
    # What ran goes on: nothing lost its lease, and the first answers came well inside it.
    late = [
        worker.name
        for worker in serving(world)
        if worker.live and world.now - worker.renewed > 0.9 * world.lease_s
    ]
    assert not late and all(worker.session == 1 for worker in serving(world))
    after = running(world)
    assert sum(after.get(k) == m for k, m in before.items()) > 0.7 * len(before)
    starts_again(world, 10.0)
    assert world.now - asked < back_after + 20.0
    settled(world, jobs, 300.0)


@pytest.mark.parametrize("how", ["die", "hang", "cut"])
def test_a_fifth_of_the_machines_falls_and_the_rest_goes_on(how: str) -> None:
    world = fleet(21, 150)
    jobs = fill(world, 1, 24, 60, estimated_run_s=40.0, deadline_s=60.0)
    world.run(20.0)
    up = serving(world)
    fallen = world.rng.sample(up, len(up) // 5)
    names = {worker.name for worker in fallen}
    before = {k: m for k, m in running(world).items() if m not in names}
    for worker in fallen:
        if how == "cut":
            world.isolate(worker.name, hold=True)
        else:
            worker.hung = True
    rented = len(world.workers)
    # Longer than a lease: what they held starts elsewhere, and late packets follow.
    world.run(1.2 * world.lease_s)
    left = running(world)
    ended = [k for k, m in before.items() if k not in left and k not in world.results]
    assert not ended, "work on other machines was touched"
    world.run(0.8 * world.lease_s)
    if how == "die":
        # Not waited for beyond a bound.
        assert world.until(lambda: all(worker.deleted for worker in fallen), 2.5 * world.lease_s)
    else:
        for worker in fallen:
            worker.hung = False
        world.heal()
    world.run(3.0)
    if how != "die":
        # They are back: no second fleet was rented, and they serve.
        assert sum(worker.deleted for worker in fallen) <= len(fallen) // 4
        assert len(world.workers) - rented <= len(fallen) // 4
    starts_again(world, 10.0)
    settled(world, jobs, 300.0)


def test_a_wave_of_notices_and_a_zone_cut_off_from_everything() -> None:
    world = fleet(22, 150)
    jobs = fill(world, 1, 20, 60, estimated_run_s=40.0, deadline_s=60.0)
    gangs = fill(
        world,
        50,
        6,
        2,
        kind="gang",
        cpus=30.0,
        mem_gb=20.0,
        checkpoint_interval_s=20.0,
        checkpoint_save_s=2.0,
        estimated_run_s=60.0,
        deadline_s=None,
    )
    world.run(20.0)
    for worker in serving(world):
        if world.rng.random() < 0.25:
            worker.notice = world.now + 20.0
            world.at(20.0, lambda m=worker: (m.tasks.clear(), setattr(m, "deleted", True)))
    world.run(22.0)
    zone = [worker for worker in serving(world) if worker.zone == serving(world)[0].zone]
    for worker in zone:
        world.isolate(worker.name, hold=True)
    starts = len(world.starts)
    world.run(2.0 * world.lease_s)
    assert len(world.starts) > starts or not any(world.state_of(j) != "done" for j in jobs)
    world.heal()
    starts_again(world, 20.0)
    settled(world, [*jobs, *gangs], 400.0)


def test_a_burst_of_jobs_during_a_rolling_restart() -> None:
    world = fleet(23, 150)
    jobs = fill(world, 1, 10, 40, estimated_run_s=20.0, deadline_s=60.0)
    world.run(15.0)
    for i, x in enumerate(world.node_names):
        world.at(12.0 * i, lambda x=x: world.kill(x, back_after=3.0))
    more = []
    for n in range(100, 130):
        s = spec(
            n,
            task_count=40,
            team=("red", "blue")[n % 2],
            mem_gb=0.5,
            allows_spot=True,
            estimated_run_s=15.0,
        )
        more.append(world.submit(s))
        world.run(0.6)
    assert all(worker.session == 1 for worker in serving(world))
    settled(world, jobs + more, 300.0)


def test_the_largest_array_is_cancelled_while_its_machines_are_cut() -> None:
    world = fleet(24, 150)
    largest = fill(world, 1, 1, 700, estimated_run_s=300.0, deadline_s=None)[0]
    others = fill(world, 2, 6, 40, estimated_run_s=20.0, deadline_s=60.0)
    world.run(25.0)
    holders = [
        worker
        for worker in serving(world)
        if any(task.job == largest for task in worker.live.values())
    ]
    assert len(holders) > 20
    for worker in holders[::2]:
        world.isolate(worker.name, hold=True)
    assert world.cancel(largest) == "cancelled"
    told = world.now
    world.run(world.cancel_s * 0.6)
    world.heal()
    assert world.until(
        lambda: (
            not any(
                task.job == largest for worker in serving(world) for task in worker.live.values()
            )
        ),
        world.cancel_s - (world.now - told),
    )
    settled(world, others, 200.0)
    assert world.state_of(largest) == "cancelled"


def test_what_has_waited_long_shares_its_quarter_of_the_room() -> None:
    """Found on simulated days of a team at its limit: each old slice could take the whole quarter
    from a machine that reported, and so large old jobs kept the rest from ending in time.
    """
    world = World(25, 1, teams=[{"name": "red", "cpus": 0.0, "cpus_max": 64.0}])
    world.run(3.0)
    controller = world.cores["n0"]
    assert controller is not None
    world.set_time(controller)
    shard = controller.leadership.led_shards()[0]
    machine = Machine("host-1", "t64", "a", False, controller.context.now)
    machine.set_machine_type(MachineType("t64", 64.0, 0.0, 256.0, 50.0, 1.0, 1.0, 0.3, 5.0, ["a"]))
    shard.add_machine(machine)
    machine.is_reconciled, machine.last_heartbeat_at = True, controller.context.now
    for n in range(1, 9):
        job_slice = JobSlice(
            spec(n, task_count=160, accepted_at=controller.context.wall_time - 200.0)
        )
        job_slice.ranges, job_slice.size = [[0, 160]], 160
        job_slice.pending.add(0, 160)
        shard.slices[job_slice.spec.id] = job_slice
    machine.free[0] = 0
    controller.dispatcher.place_all(shard)
    assert not machine.tasks
    machine.free[0] = 30_000_000
    controller.dispatcher.fill_machine(shard, machine)
    # A quarter of 64 for the first helpings, a task for each that got none; then the usual order.
    assert [len(job_slice.placed_on) for job_slice in shard.slices.values()] == [
        18,
        6,
        1,
        1,
        1,
        1,
        1,
        1,
    ]


@pytest.mark.parametrize("over", [0, 5000])
def test_starting_does_not_read_the_jobs_that_are_over(over: int) -> None:
    world = fleet(27, 60)
    jobs = fill(world, 1, 12, 40, estimated_run_s=40.0)
    world.run(15.0)
    for n in range(500_000, 500_000 + over):
        world.state.rev += 1
        world.state.data[f"{keys.FINALS}job-{n:06d}"] = ("done", world.state.rev, None)
    reads: list[Any] = []
    plain = world.state.execute

    def execute(call: Any, node: str, now: float, order: Any = None) -> Any:
        out = plain(call, node, now, order)
        if isinstance(call, ListKeys):
            reads.append(len(out.items))
        return out

    world.state.execute = execute  # type: ignore[method-assign]
    for x in world.node_names:
        world.kill(x, back_after=1.0)
    world.run(4.0)
    # Ready in a bounded time, from what is live only.
    assert {
        shard.shard_id
        for controller in world.cores.values()
        if controller
        for shard in controller.leadership.led_shards()
    } == {0, 1, 2}
    assert len(reads) < 40 and sum(reads) < 1500, (len(reads), sum(reads))
    # What is over is read when somebody asks for it.
    if over:
        world.specs["job-500007"] = spec(500_007, task_count=0)
        assert world.state_of("job-500007") == "done"
    settled(world, jobs, 300.0)


def test_the_state_service_sees_a_bounded_number_of_changes_a_job() -> None:
    seen = {}
    for machines in (60, 240):
        world = fleet(28, machines)
        fill(world, 900, 4, 100, estimated_run_s=6.0)
        world.run(40.0)
        before, rented = world.state.writes, len(world.workers)
        jobs = fill(world, 1, 30, 60, estimated_run_s=6.0, deadline_s=60.0)
        assert all(world.finish(j, 200.0) for j in jobs)
        world.run(10.0)
        # Beside the jobs: two changes of a machine's own key, and of a rental's.
        others = 4 * (len(world.workers) - rented) + sum(
            worker.deleted for worker in world.workers.values()
        )
        seen[machines] = (world.state.writes - before - others) / len(jobs)
        assert not world.broken and not world.state.refused
    # Accepted once, ended in two; what each of three parts has done, a few times, and its removal.
    assert max(seen.values()) < 3 + 3 * 6, seen
    assert seen[240] < 1.3 * max(seen[60], 6.0), seen


@pytest.mark.parametrize(
    ("nodes", "machines", "report_s", "lease_s"),
    [(1, 1, 1.0, 4.0), (2, 5, 5.0, 12.0), (5, 40, 0.5, 20.0), (7, 120, 2.5, 15.25)],
)
def test_deployments_of_any_sane_size_and_pace(
    nodes: int, machines: int, report_s: float, lease_s: float
) -> None:
    pace = dict(WORKERS, report_s=report_s, lease_s=lease_s)
    world = fleet(
        29, machines, nodes, workers=pace, teams=[{"name": "red", "cpus": 8, "cpus_max": 999}]
    )
    jobs = [
        world.submit(spec(n, task_count=machines + 3, estimated_run_s=3.0, mem_gb=0.5))
        for n in range(1, 5)
    ]
    world.run(10.0)
    world.kill("n0", back_after=2.0)
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken and not world.state.refused
