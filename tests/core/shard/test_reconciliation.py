"""Reconciliation of heartbeats with what a leader knows of its machines."""

from __future__ import annotations

import msgspec

from marblestair.core.shard.heartbeats import receive_heartbeat
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.helpers import busy, owner, running, warm


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
