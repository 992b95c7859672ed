"""The fleet plan: which machines are rented, in which zones, and for which jobs."""

from __future__ import annotations

import inspect
from collections.abc import Callable

from marblestair.core.capacity.planning import plan
from marblestair.core.capacity.provisioning import AvailableMachine, JobLoad, Plan, Tuning
from tests.fakes.samples import MACHINE_TYPES, job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import start_deployment


def test_work_bound_to_a_zone_gets_machines_there_though_other_zones_have_some() -> None:
    types = {machine_type.name: machine_type for machine_type in MACHINE_TYPES}
    available = [
        AvailableMachine(f"a{index}", types["t8"], "a", False, False, 5.0, 100.0, 0)
        for index in range(5)
    ]
    available.append(
        AvailableMachine("b0", types["t4"], "b", False, False, None, 100.0, 0, used_cpus=4_000_000)
    )
    spec = job_spec(1, task_count=40, zone="b", estimated_run_s=10.0)
    load = JobLoad(spec, 36, 4, 20.0, 10.0, 36)
    fleet_plan = plan([load], available, types, lambda kind: False, 0.0, {}, Tuning())
    rentals = fleet_plan.rentals
    assert all(rental.zone == "b" for rental in rentals)
    assert sum(types[rental.machine_type].cpus * rental.count for rental in rentals) >= 8


def planned_tasks(deployment: SimulatedDeployment) -> dict[str, int]:
    """Return the number of pending tasks for which n0 plans machines, by job."""
    controller = deployment.nodes.current("n0")
    inputs = controller.capacity_services.plan_inputs
    jobs = list(controller.view.jobs.values())
    loads = inputs.loads(inputs.reported_state(), jobs, 2.0)
    return {load.spec.id: load.pending for load in loads}


def test_machines_are_rented_for_an_array_while_its_dependencies_run() -> None:
    deployment = start_deployment()
    users = deployment.users
    parent = users.submit(job_spec(1, task_count=2, estimated_run_s=8.0))
    long_parent = users.submit(job_spec(2, task_count=2, estimated_run_s=1000.0))
    startable_soon = users.submit(job_spec(3, task_count=4, depends_on=[parent]))
    not_startable_soon = {
        users.submit(job_spec(4, task_count=4, depends_on=[startable_soon])),
        users.submit(job_spec(5, task_count=4, depends_on=[parent, long_parent])),
        users.submit(job_spec(6, kind="gang", task_count=2, depends_on=[parent])),
    }
    deployment.run(1.0)
    assert not {startable_soon, *not_startable_soon} & planned_tasks(deployment).keys()
    assert deployment.run_until(
        lambda: any(agent.live_tasks for agent in deployment.agents.values()), 30.0
    )
    assert deployment.run_until(lambda: startable_soon in planned_tasks(deployment), 5.0)
    assert not deployment.tasks.has_started(startable_soon)
    assert planned_tasks(deployment)[startable_soon] == 4
    # No machines are planned for arrays whose dependencies take longer, nor for gangs, whose
    # machines would be reserved and idle.
    assert not not_startable_soon & planned_tasks(deployment).keys()
    assert not deployment.rules.violations


def test_the_first_plan_is_made_by_the_scaling_cycle() -> None:
    """Guards against an early first plan without any demand.

    The target of arrays is averaged over time. An average that begins at 0 before the first jobs
    arrive lets the fleet grow one machine at a time.
    """
    deployment = SimulatedDeployment(5)
    assert deployment.run_until(
        lambda: any(controller.leadership.led_shards() for controller in deployment.nodes.running),
        10.0,
    )
    led_at = deployment.now
    planners = [
        controller.capacity_services.fleet_planner for controller in deployment.nodes.running
    ]
    compute_calls: list[float] = []
    for planner in planners:
        compute = planner.compute

        def record(compute: Callable[[], Plan] = compute) -> Plan:
            frame = inspect.stack()[1].function
            if frame == "_keep_plan_current":
                compute_calls.append(deployment.now)
            return compute()

        planner.compute = record  # type: ignore[method-assign]
    deployment.run(10.0)
    assert all(planner.computed_at is not None for planner in planners)
    assert deployment.now - led_at > 9.0
    assert not compute_calls
