"""The fleet plan: which machines are rented, where, and for which jobs."""

from __future__ import annotations

from marblestair.core.capacity.planning import plan
from marblestair.core.capacity.provisioning import AvailableMachine, JobLoad, Tuning
from tests.core.jobs.pipelines import first_start
from tests.fakes.deployment import TYPES, spec
from tests.helpers import running, warm


def test_work_bound_to_a_zone_gets_machines_there_though_others_stand_elsewhere() -> None:
    kind = {machine_type.name: machine_type for machine_type in TYPES}
    have = [
        AvailableMachine(f"a{i}", kind["t8"], "a", False, False, 5.0, 100.0, 0) for i in range(5)
    ]
    have.append(
        AvailableMachine("b0", kind["t4"], "b", False, False, None, 100.0, 0, used_cpus=4_000_000)
    )
    load = JobLoad(spec(1, task_count=40, zone="b", estimated_run_s=10.0), 36, 4, 20.0, 10.0, 36)
    out = plan([load], have, kind, lambda k: False, 0.0, {}, Tuning())
    assert sum(kind[x.machine_type].cpus * x.count for x in out.rentals if x.zone == "b") >= 8
    assert all(x.zone == "b" for x in out.rentals)


def test_machines_are_rented_for_an_array_while_its_parents_run() -> None:
    world = warm()
    parent = world.submit(spec(1, task_count=2, estimated_run_s=8.0))
    far = world.submit(spec(2, task_count=2, estimated_run_s=1000.0))
    soon = world.submit(spec(3, task_count=4, depends_on=[parent]))
    world.submit(spec(4, task_count=4, depends_on=[soon]))
    world.submit(spec(5, task_count=4, depends_on=[parent, far]))
    world.submit(spec(6, kind="gang", task_count=2, depends_on=[parent]))

    def planned() -> dict[str, int]:
        controller = running(world, "n0")
        live = list(controller.view.jobs.values())
        inputs = controller.plan_inputs
        loads = inputs.loads(inputs.reported_state(), live, 2.0)
        return {load.spec.id: load.pending for load in loads}

    world.run(1.0)
    assert not {f"job-{n:06d}" for n in (3, 4, 5, 6)} & planned().keys()
    assert world.until(
        lambda: len([worker for worker in world.workers.values() if worker.live]) > 0, 30.0
    )
    assert world.until(lambda: soon in planned(), 5.0)
    assert first_start(world, soon) == -1.0
    assert planned()[soon] == 4
    # Not what waits for more than that, or would have machines set aside.
    assert not {f"job-{n:06d}" for n in (4, 5, 6)} & planned().keys()
    assert world.broken == []
