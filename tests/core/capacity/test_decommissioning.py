"""Selection of the machines to empty and of the machines to release."""

from __future__ import annotations

import pytest

from marblestair.core.capacity.decommissioning import machines_to_empty, machines_to_release
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from tests.fakes.samples import AGENT_SETTINGS, MACHINE_TYPES, job_spec, node_settings
from tests.scenarios.fleets import TWO_ZONE_TYPES


@pytest.fixture
def shard() -> Shard:
    """Return a shard without machines."""
    return Shard(0, 5, node_settings(0).cluster, 0.0)


def add_machine(shard: Shard, name: str, machine_type: MachineType, heartbeat_at: float) -> Machine:
    """Add a machine that has sent a heartbeat."""
    machine = Machine(name, machine_type.name, "a", False, 0.0)
    shard.add_machine(machine)
    machine.set_machine_type(machine_type)
    machine.agent_incarnation, machine.is_reconciled = 1, True
    machine.last_heartbeat_at = heartbeat_at
    return machine


def run_task(
    shard: Shard, machine: Machine, spec: JobSpec, index: int, attempt: int, since: float
) -> None:
    """Place a task of a job on a machine, as running since a given time."""
    job_slice = shard.slices.setdefault(spec.id, JobSlice(spec))
    shard.launch(machine, job_slice, index, attempt)
    task = machine.tasks[(spec.id, index)]
    task.state, task.running_since = "running", since


def test_a_nearly_empty_machine_beyond_the_demand_is_emptied_for_its_return(shard: Shard) -> None:
    """Once demand falls, a few long tasks must not keep nearly empty machines rented.

    Otherwise successive long tasks keep such machines in use for more than 100 s.
    """

    def machine_with(name: str, number: int, tasks: int, ran_s: float) -> Machine:
        machine = add_machine(shard, name, TWO_ZONE_TYPES[0], 100.0)
        spec = job_spec(number, task_count=tasks, estimated_run_s=60.0)
        for index in range(tasks):
            run_task(shard, machine, spec, index, 1, 100.0 - ran_s)
        shard.slices[spec.id].ranges = [[0, tasks]]
        return machine

    nearly_empty = machine_with("host-1", 1, tasks=1, ran_s=20.0)
    nearly_full = machine_with("host-2", 2, tasks=14, ran_s=50.0)
    other = machine_with("host-3", 3, tasks=2, ran_s=20.0)
    names = {"host-1", "host-2"}
    assert machines_to_empty(shard, names, 100.0) == [nearly_empty]
    # No machine is emptied if its tasks fit on no other machine, or in its minimum rental period.
    assert machines_to_empty(shard, {"host-1", "host-2", "host-3"}, 100.0) == []
    assert machines_to_empty(shard, names, 50.0) == []
    shard.stop_tasks(list(nearly_empty.tasks.values()), "returned")
    assert machines_to_empty(shard, names, 100.0) == []
    assert nearly_full.tasks
    assert other.tasks


def test_only_an_empty_faulty_machine_is_returned(shard: Shard) -> None:
    for name in ("good", "bad", "bad-in-use"):
        add_machine(shard, name, MACHINE_TYPES[0], 100.0)
    shard.launch(shard.machines["bad-in-use"], JobSlice(job_spec(9)), 0, 1)
    shard.failures.record_success("job", "good")
    for _ in range(3):
        for name in ("bad", "bad-in-use"):
            shard.failures.record_failure("job", name, True, 100.0)
    assert machines_to_release(shard, AGENT_SETTINGS.lease_s, 100.0) == ["bad"]


@pytest.mark.parametrize(("checkpoint_s", "is_emptied"), [(0.0, False), (30.0, True)])
def test_a_machine_is_emptied_for_its_free_capacity_if_its_tasks_have_checkpoints(
    shard: Shard, checkpoint_s: float, is_emptied: bool
) -> None:
    """A machine is emptied if its tasks lose little run time, since they save checkpoints.

    Otherwise long best-effort tasks occupy whole machines for minutes.
    """
    spec = job_spec(
        1,
        cpus=4.0,
        estimated_run_s=300.0,
        checkpoint_interval_s=checkpoint_s,
        checkpoint_save_s=3.0,
    )
    for index, name in enumerate(["almost-empty", "half-empty"]):
        machine = add_machine(shard, name, MACHINE_TYPES[1], 200.0)
        run_task(shard, machine, spec, index, index + 1, 60.0)
    found = machines_to_empty(shard, {"almost-empty"}, 200.0)
    assert [machine.name for machine in found] == (["almost-empty"] if is_emptied else [])
