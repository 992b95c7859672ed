"""Machines that boot late or never while jobs wait for them."""

from __future__ import annotations

import pytest

from marblestair.core.shard.machine import Machine
from marblestair.core.state.records import MachineRecord
from tests.fakes.deployment import TYPES, spec
from tests.fakes.worker import Worker
from tests.fakes.world import World
from tests.helpers import owner

KIND = TYPES[0]


class Boots:
    """Delays the boots of the first machines of a world; a delay of None is for ever."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, delay_boots: float | None) -> None:
        self.first: list[Worker] = []
        self.open = True
        plain = Worker.boot

        def boot(machine: Worker) -> None:
            if not self.open:
                plain(machine)
                return
            self.first.append(machine)
            if delay_boots is not None:
                late_s = delay_boots * machine.type.boot_s - (machine.world.now - machine.rented)
                machine.world.at(late_s, lambda: plain(machine))

        monkeypatch.setattr(Worker, "boot", boot)


def test_work_does_not_wait_for_machines_that_never_come(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(460, 3)
    world.run(4.0)
    boots = Boots(monkeypatch, None)
    job = world.submit(spec(1, task_count=8, estimated_run_s=4.0))
    assert world.until(lambda: bool(boots.first), 20.0)
    world.run(3.0)
    boots.open = False
    machine = boots.first[0]
    rented = set(world.workers)
    assert world.until(lambda: bool(world.workers.keys() - rented), 60.0)
    assert world.now - machine.rented < 2.2 * machine.type.boot_s
    assert world.finish(job, 40.0)
    # What never came is given back in the end.
    assert world.until(lambda: all(worker.deleted for worker in boots.first), 60.0)
    assert not world.broken


def test_a_machine_that_comes_late_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(461, 3)
    world.capacity = 1
    world.run(4.0)
    boots = Boots(monkeypatch, 2.6)
    job = world.submit(spec(1, task_count=4, estimated_run_s=3.0))
    assert world.finish(job, 60.0)
    assert {name for _, _, _, name, _ in world.starts} == {boots.first[0].name}
    assert not world.broken


def test_the_machines_of_a_part_that_changes_hands_are_counted_on() -> None:
    """Found by the full score: the others rented in place of a part whose new owner had not heard
    its machines yet.
    """
    world = World(462, 3, teams=[{"name": "red", "cpus": 40.0, "cpus_max": 80.0}])
    world.run(4.0)
    world.submit(spec(1, task_count=20, cpus=4.0, estimated_run_s=300.0))
    world.run(30.0)
    controller = world.cores["n0"]
    assert controller is not None
    machines = set(controller.view.machines)
    assert len(machines) >= 6
    dead = owner(world, 1)
    world.kill(dead, back_after=60.0)
    left: set[str] = set()
    for _ in range(40):
        world.run(0.25)
        for name, other in world.cores.items():
            if other is not None and name != dead:
                left |= {x for _, told in other.summaries.values() for x in told.leaving_machines}
    assert not left & machines
    assert not world.broken


def test_a_machine_that_has_just_moved_to_another_part_is_counted_on() -> None:
    world = World(463, 1)
    world.run(4.0)
    controller = world.cores["n0"]
    assert controller is not None
    world.set_time(controller)
    shard = controller.leadership.led_shards()[0]
    machine = Machine("host-900", KIND.name, "a", False, controller.context.now)
    shard.add_machine(machine)
    machine.set_machine_type(KIND)
    controller.view.machines["host-900"] = MachineRecord(shard.shard_id, KIND.name, "a", False, 0.0)
    assert controller.summarizer.summarize(shard).leaving_machines == []
    controller.set_time(controller.context.now + 1.7 * KIND.boot_s, controller.context.wall_time)
    assert controller.summarizer.summarize(shard).leaving_machines == ["host-900"]
