"""Which machines are emptied for their return."""

from __future__ import annotations

import pytest

from marblestair.core.capacity.decommissioning import machines_to_release, nearly_empty_machines
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from tests.fakes.deployment import TYPES, WORKERS, spec
from tests.fakes.world import World
from tests.scenarios.large_machines import LARGE


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


def test_only_an_empty_faulty_machine_is_given_back() -> None:
    shard = Shard(0, 5, World(433, 1).settings[0].cluster, 0.0)
    machines = [Machine(name, "t4", "a", False, 0.0) for name in ("good", "bad", "bad-in-use")]
    for machine in machines:
        shard.add_machine(machine)
        machine.set_machine_type(TYPES[0])
        machine.agent_incarnation, machine.is_reconciled, machine.last_heartbeat_at = 1, True, 100.0
    shard.launch(machines[2], JobSlice(spec(9)), 0, 1)
    shard.failures.record_success("job", "good")
    for _ in range(3):
        for name in ("bad", "bad-in-use"):
            shard.failures.record_failure("job", name, True, 100.0)
    assert machines_to_release(shard, WORKERS.lease_s, 100.0) == ["bad"]


@pytest.mark.parametrize(("checkpoint_s", "emptied"), [(0.0, False), (30.0, True)])
def test_a_machine_is_emptied_for_its_free_room_if_its_tasks_can_save(
    checkpoint_s: float, emptied: bool
) -> None:
    """Found on simulated days with long tasks of guests: they kept whole machines for minutes."""
    shard = Shard(0, 5, World(405, 1).settings[0].cluster, 0.0)
    for name in ("almost-empty", "half-empty"):
        machine = Machine(name, "t8", "a", False, 0.0)
        shard.add_machine(machine)
        machine.set_machine_type(TYPES[1])
        machine.agent_incarnation, machine.is_reconciled, machine.last_heartbeat_at = 1, True, 200.0
    job = spec(
        1,
        cpus=4.0,
        estimated_run_s=300.0,
        checkpoint_interval_s=checkpoint_s,
        checkpoint_save_s=3.0,
    )
    shard.slices[job.id] = JobSlice(job)
    for index, name in enumerate(["almost-empty", "half-empty"]):
        shard.launch(shard.machines[name], shard.slices[job.id], index, index + 1)
        task = shard.machines[name].tasks[(job.id, index)]
        task.state, task.running_since = "running", 60.0
    found = nearly_empty_machines(shard, {"almost-empty"}, 200.0)
    assert [machine.name for machine in found] == (["almost-empty"] if emptied else [])
