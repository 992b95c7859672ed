"""Fleets of hundreds and thousands of machines: the cost of an event does not grow with them."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.store_requests import ListKeys
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView
from marblestair.net.framing import MAX_FRAME
from marblestair.settings import Workers
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import cost
from tests.scenarios.fleets import STATE, WORKERS, fill, fleet, serving, settled


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
