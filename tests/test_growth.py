"""Scenario tests of size: large fleets, the cost of an event, gangs of several whole machines."""

from __future__ import annotations

from typing import Any

from marblestair.core.capacity.decommissioning import nearly_empty_machines
from marblestair.core.domain.machines import MachineType
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import CordonReason, Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import cost

LARGE = [
    MachineType("m16", 16.0, 0.0, 64.0, 50.0, 1.0, 1.0, 0.35, 5.0, ["a", "b"]),
    MachineType("m32", 32.0, 0.0, 64.0, 50.0, 1.0, 1.8, 0.7, 5.0, ["a", "b"]),
]


def fleet(seed: int, nodes: int, machines: int, limit: float, **cluster: Any) -> World:
    """A world of larger machines, with teams' limits to match."""
    teams = [
        {"name": n, "cpus": limit / 4, "cpus_max": limit, "gpus": 0.0, "gpus_max": 0.0}
        for n in ("red", "blue")
    ]
    world = World(seed, nodes, teams=teams, **cluster)
    world.types, world.capacity = LARGE, machines
    world.run(4.0)
    return world


def load(world: World, first: int, jobs: int, tasks: tuple[int, int], every: float) -> list[str]:
    """Submit arrays, and now and then an urgent gang that takes a whole machine."""
    out = []
    for n in range(first, first + jobs):
        team = ["red", "blue"][n % 2]
        if n % 4 == 0:
            s = spec(
                n,
                kind="gang",
                job_class="g",
                task_count=1,
                cpus=30.0,
                mem_gb=20.0,
                estimated_run_s=20.0,
                priority="high",
                team=team,
            )
        else:
            s = spec(
                n,
                task_count=world.rng.randint(*tasks),
                mem_gb=0.5,
                estimated_run_s=15.0,
                deadline_s=60.0,
                allows_spot=True,
                team=team,
            )
        out.append(world.submit(s))
        world.run(every)
    return out


def test_a_large_fleet_keeps_every_rule_at_a_cost_per_event_that_does_not_grow() -> None:
    aims = [{"kind": "wait", "class": "g", "within_s": 8.0, "share": 0.9}]
    small = fleet(7, 5, 40, 300.0, objectives=aims)
    load(small, 1, 20, (20, 60), 1.0)
    before = cost(small, 6.0)

    state = dict(rps=100.0, write_rps=40.0, value_kb=4.0, txn_ops=12)
    world = fleet(7, 5, 170, 1300.0, objectives=aims, state=state)
    jobs = load(world, 1, 40, (100, 250), 0.8)
    up = [worker for worker in world.workers.values() if worker.up and not worker.deleted]
    live = sum(len(worker.live) for worker in up)
    assert len(up) >= 120 and live >= 1500
    writes, then = world.state.writes, world.now
    after = cost(world, 6.0)
    # Four times the machines and five times the tasks. A report costs what it lists, a tick what
    # its part holds; neither what the whole fleet and all jobs together are.
    assert after["heartbeat"] < 2.5 * before["heartbeat"]
    assert after["tick"] < 3.0 * before["tick"]
    assert after["message"] < 3.0 * before["message"]
    # Changes of the state service stay within its rate, whatever runs.
    assert (world.state.writes - writes) / (world.now - then) < 40.0
    # A node falls and comes back at once, and another for longer.
    world.kill("n1", back_after=0.2)
    world.kill("n3", back_after=12.0)
    world.run(20.0)
    assert not world.broken
    assert all(world.finish(j, 300.0) for j in jobs)
    assert not world.broken and not world.state.refused and world.state.largest <= 4096
    # Reports were answered in time all the while.
    assert all(
        worker.session == 1 for worker in world.workers.values() if worker.up and not worker.deleted
    )


def test_gangs_of_whole_machines_collect_them_from_all_parts_while_arrays_fill_the_fleet() -> None:
    world = fleet(8, 3, 9, 300.0)
    arrays = [
        world.submit(spec(n, task_count=60, estimated_run_s=12.0, mem_gb=0.5, team="red"))
        for n in range(1, 7)
    ]
    world.run(15.0)
    asked = world.now
    gangs = [
        world.submit(
            spec(
                n,
                kind="gang",
                team="blue",
                task_count=3,
                cpus=30.0,
                mem_gb=20.0,
                estimated_run_s=10.0,
            )
        )
        for n in (20, 21)
    ]
    assert world.until(lambda: sum(j in gangs for _, j, *_ in world.starts) == 6, 120.0)
    for g in gangs:
        at = [t for t, j, *_ in world.starts if j == g]
        assert len(at) == 3 and max(at) - min(at) < 3.0 and max(at) - asked < 120.0
    # The older one came first: they did not each hold half of what both need.
    first = {g: min(t for t, j, *_ in world.starts if j == g) for g in gangs}
    assert first[gangs[0]] <= first[gangs[1]]
    assert all(world.finish(j, 300.0) for j in arrays + gangs)
    assert not world.broken


def test_deployments_of_other_sizes_work() -> None:
    for nodes, machines in ((1, 6), (7, 60)):
        world = fleet(9, nodes, machines, 200.0)
        jobs = load(world, 1, 8, (5, 30), 1.0)
        world.kill("n0", back_after=2.0)
        assert all(world.finish(j, 200.0) for j in jobs), nodes
        assert not world.broken and not world.state.refused


def test_no_record_outgrows_a_value() -> None:
    state = dict(rps=100.0, write_rps=40.0, value_kb=0.5, txn_ops=8)
    world = World(10, state=state)
    world.run(4.0)
    # A description that leaves no room for the slices is refused for good, on every node.
    long = spec(1, machine_types=[f"type-{i:04d}-{'x' * 20}" for i in range(40)] + ["t8"])
    world.specs[long.id] = long
    for x in world.node_names:
        out = world.ask(x, "submit", long)
        assert world.until(lambda o=out: bool(o), 5.0)
        assert out[0].status == 422 and "larger" in out[0].error
    # Slices that go to and fro in small ranges stop before the record is too large.
    world.capacity = 1
    job = world.submit(spec(2, task_count=400, estimated_run_s=30.0))
    core, part = next(
        (c, p)
        for c in world.cores.values()
        if c
        for p in c.leadership.led_shards()
        if job in p.slices
    )
    target = next(i for i in range(3) if i != part.shard_id)
    for _ in range(150):
        job_slice = part.slices.get(job)
        if job_slice is None or len(job_slice.pending) < 10:
            break
        if job_slice.migrating_ranges:
            world.run(0.5)
            continue
        a, b = max(job_slice.pending.items, key=lambda r: r[1] - r[0])
        world.set_time(core)
        if b - a > 1 and core.slice_migrations.active_count < 4:
            core.slice_migrations.start(part, job_slice, [[a + 1, a + 2]], target)
        world.flush(core.context.node)
        world.run(0.6)
    assert not world.state.refused and world.state.largest <= 512
    world.capacity = 12
    assert world.finish(job, 1500.0)
    assert not world.broken


def test_a_nearly_empty_machine_beyond_the_need_is_emptied_for_its_return() -> None:
    """Found on a simulated steady day: when the need fell, one long task after another kept
    machines that were otherwise free for over a hundred seconds.
    """
    cluster = World(1).settings[0].cluster
    shard = Shard(0, 5, cluster, 0.0)
    machine_type = LARGE[0]

    def machine(name: str, tasks: int, ran: float, job: str) -> Machine:
        m = Machine(name, machine_type.name, "a", False, 0.0)
        m.set_machine_type(machine_type)
        shard.add_machine(m)
        m.is_reconciled, m.last_heartbeat_at = True, 100.0
        job_slice = shard.slices[job] = JobSlice(
            spec(int(job[4:]), task_count=tasks, estimated_run_s=60.0)
        )
        job_slice.ranges = [[0, tasks]]
        for i in range(tasks):
            shard.launch(m, job_slice, i, 1)
            task = m.tasks[(job, i)]
            task.state, task.running_since = "running", 100.0 - ran
        return m

    few = machine("host-1", 1, 20.0, "job-000001")
    many = machine("host-2", 14, 50.0, "job-000002")
    other = machine("host-3", 2, 20.0, "job-000003")
    names = {"host-1", "host-2"}
    assert nearly_empty_machines(shard, names, 100.0) == [few]
    # Not where the tasks would find no room, nor before the least rental is over.
    assert nearly_empty_machines(shard, {"host-1", "host-2", "host-3"}, 100.0) == []
    assert nearly_empty_machines(shard, names, 50.0) == []
    shard.stop_tasks(list(few.tasks.values()), "returned")
    assert nearly_empty_machines(shard, names, 100.0) == []
    assert many.tasks and other.tasks


def test_machines_on_their_way_to_a_gang_are_not_rented_once_more() -> None:
    """Found on simulated rough days: while machines moved to a gang's part the plan missed them."""
    world = fleet(12, 3, 40, 300.0)
    job = world.submit(
        spec(1, kind="gang", task_count=4, cpus=30.0, mem_gb=20.0, estimated_run_s=30.0)
    )
    world.run(12.0)
    core, part = next(
        (c, p) for c in world.cores.values() if c for p in c.leadership.led_shards() if p.machines
    )
    machine = next(iter(part.machines.values()))
    machine.cordon = CordonReason.TRANSFER
    told = core.summarizer.summarize(part)
    assert machine.name not in told.leaving_machines and machine.name not in [
        n for n, _ in told.idle_machines
    ]
    machine.cordon = CordonReason.RETURN
    assert machine.name in core.summarizer.summarize(part).leaving_machines
    machine.cordon = None
    assert world.finish(job, 90.0)
    assert sum(x.type.name == "m32" for x in world.workers.values()) == 4
    assert not world.broken


def test_a_gang_of_a_team_at_its_limit_gets_share_and_machine() -> None:
    """Found on a simulated steady day: a gang larger than its part's share waited for 450 s. Its
    team's arrays held the whole limit, so no machine was planned for it, and share that came free
    in its part was sent to where arrays had room.
    """
    world = World(13)
    world.run(4.0)
    arrays = [
        world.submit(spec(n, team="blue", task_count=150, estimated_run_s=4.0)) for n in (1, 2)
    ]
    assert world.until(lambda: len(world.starts) >= 30, 60.0)
    asked = world.now
    gang = world.submit(
        spec(
            3,
            kind="gang",
            team="blue",
            task_count=1,
            cpus=6.0,
            estimated_run_s=5.0,
            priority="high",
        )
    )
    assert world.until(lambda: any(j == gang for _, j, *_ in world.starts), 40.0), world.now - asked
    assert all(world.finish(j, 500.0) for j in (*arrays, gang))
    split = world.state.data[keys.SHARD_MAP][0]
    assert sum(p[3]["blue"][0] for p in split[1]) == 12_000_000
    assert not world.broken


def test_a_machine_set_aside_for_one_gang_is_no_room_for_another() -> None:
    world = fleet(14, 3, 9, 300.0)
    held = world.submit(
        spec(1, kind="gang", task_count=1, cpus=30.0, mem_gb=20.0, estimated_run_s=4.0)
    )
    assert world.finish(held, 60.0)
    older = world.submit(spec(2, task_count=8, estimated_run_s=60.0))
    world.run(12.0)
    core, part, machine = next(
        (c, p, machine)
        for c in world.cores.values()
        if c is not None
        for p in c.leadership.led_shards()
        for machine in p.machines.values()
        if machine.is_usable(c.context.now) and machine.free[0] > 0
    )
    world.set_time(core)
    core.fleet_plan.reserved_machines = {machine.name: older}
    free = machine.free[0]
    rooms = core.summarizer.summarize(part).free_capacity
    assert core.preemption.is_claimed(machine, "job-000003") and not core.preemption.is_claimed(
        machine, older
    )
    core.fleet_plan.reserved_machines = {}
    # Told to the others, too, only once it is nobody's.
    now = core.summarizer.summarize(part).free_capacity
    assert len(now) == len(rooms) + 1 and free in [r[3] for r in now]
    assert world.finish(older, 200.0)
    assert not world.broken
