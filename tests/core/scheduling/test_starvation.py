"""Large and old jobs begin in bounded time, whatever else is submitted."""

from __future__ import annotations

from marblestair.core.domain.machines import MachineType
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import start_deployment

#: task counts of the jobs of a flood, in turn
FLOOD_SIZES = [4, 4, 4, 4, 30]
#: time in which the largest jobs have to begin
MAX_WAIT_S = 240.0


def test_in_a_flood_the_largest_jobs_begin_and_every_job_stays_known() -> None:
    deployment = start_deployment(90)
    deployment.cloud.capacity = 3
    # Several times what the fleet can do, all with deadlines, which the large ones never meet.
    sizes = {}
    for number in range(1, 61):
        size = FLOOD_SIZES[number % 5]
        job = deployment.users.submit(
            job_spec(
                number,
                task_count=size,
                estimated_run_s=12.0,
                deadline_s=30.0,
                team=["red", "blue"][number % 2],
            )
        )
        sizes[job] = size
        deployment.run(2.0)
    deployment.run(200.0)
    accepted_at = deployment.rules.accepted_at
    large = [
        job
        for job, size in sizes.items()
        if size == 30 and deployment.now - accepted_at[job] > MAX_WAIT_S
    ]
    assert len(large) >= 8
    for job in large:
        assert deployment.tasks.starts_of(job)[0].at - accepted_at[job] < MAX_WAIT_S
    assert not deployment.users.unanswered_jobs()
    assert not deployment.rules.violations


def test_jobs_that_waited_long_share_a_quarter_of_the_free_capacity() -> None:
    """Found on simulated days of a team at its limit: large old jobs delayed all others.

    Each old slice could take the whole quarter from a machine whose heartbeat came.
    """
    deployment = SimulatedDeployment(25, 1, teams=[{"name": "red", "cpus": 0.0, "cpus_max": 64.0}])
    deployment.run(3.0)
    controller = deployment.nodes.current("n0")
    context = controller.context
    shard = controller.leadership.led_shards()[0]
    machine = Machine("host-1", "t64", "a", False, context.now)
    machine.set_machine_type(MachineType("t64", 64.0, 0.0, 256.0, 50.0, 1.0, 1.0, 0.3, 5.0, ["a"]))
    shard.add_machine(machine)
    machine.is_reconciled, machine.last_heartbeat_at = True, context.now
    for number in range(1, 9):
        spec = job_spec(number, task_count=160, accepted_at=context.wall_time - 200.0)
        job_slice = shard.slices[spec.id] = JobSlice(spec)
        job_slice.ranges, job_slice.size = [[0, 160]], 160
        job_slice.pending.add(0, 160)
    machine.free[0] = 0
    controller.scheduling_services.dispatcher.place_all(shard)
    assert not machine.tasks
    machine.free[0] = 30_000_000
    controller.scheduling_services.dispatcher.fill_machine(shard, machine)
    # A quarter of 64 goes to the first ones, a task to each that got none; then the usual order.
    placed = [len(job_slice.placed_on) for job_slice in shard.slices.values()]
    assert placed == [18, 6, 1, 1, 1, 1, 1, 1]
