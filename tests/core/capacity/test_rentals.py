"""Rentals that were recorded and not finished when their shard changed its leader."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.core.leadership import progress_pages
from marblestair.core.runtime.cloud_requests import RentMachines
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import owner, warm


def test_a_rental_in_doubt_is_finished_by_the_next_owner() -> None:
    world = warm(19)
    world.cloud_down = True
    world.submit(spec(1, task_count=6, estimated_run_s=30.0))
    # Kill every node after the intents were written and before the cloud answered.
    assert world.until(lambda: any("/h/" in k for k in world.state.data), 10.0)
    for x in world.node_names:
        world.kill(x, back_after=1.0)
    world.cloud_down = False
    assert world.finish("job-000001", 200.0)
    world.run(120.0)
    assert not [
        worker.name for worker in world.workers.values() if worker.up and not worker.deleted
    ]
    assert not [k for k in world.state.data if "/h/" in k]
    assert not world.broken


class Rentals:
    """Records the names of the rental requests that reach the cloud."""

    def __init__(self, world: World) -> None:
        self.names: list[str] = []
        self._plain = world.cloud
        world.cloud = self._cloud  # type: ignore[method-assign]

    def _cloud(self, call: Any) -> Any:
        if isinstance(call, RentMachines):
            self.names.append(call.name)
        return self._plain(call)


def test_what_is_of_no_use_is_deleted_however_busy_a_part_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(450, 1)
    world.run(4.0)
    world.submit(spec(1, task_count=4, estimated_run_s=300.0))
    world.run(15.0)
    controller = world.cores["n0"]
    assert controller is not None
    shard = controller.leadership.led_shards()[0]
    for number in range(20):
        world.state.rev += 1
        key = keys.rental_intent(shard.shard_id, f"r-0-{number}")
        world.state.data[key] = (
            ["t4", "a", False, 2, controller.context.wall_time],
            world.state.rev,
            None,
        )
        shard.obsolete_keys[key] = world.state.rev
    slices = list(shard.slices.values())
    # There is always progress to write.
    endless = [progress_pages.DirtyPage(slices[0], 0)]
    monkeypatch.setattr(progress_pages, "dirty_pages", lambda shard, now: endless)
    world.run(60.0)
    assert not [key for key in world.state.data if key.startswith(f"{keys.RENTAL_INTENTS}0/r-0-")]
    assert not world.broken


@pytest.mark.parametrize(("age_s", "sent"), [(300.0, False), (30.0, False), (5.0, True)])
def test_a_new_owner_does_not_send_old_refused_rentals_again(age_s: float, sent: bool) -> None:
    """Found on simulated days with a crash: a new owner sent every refused request of minutes
    before, one after the other, and got machines for them long after the need was over.
    """
    world = World(451, 3)
    world.capacity = 100
    world.run(4.0)
    controller = world.cores["n0"]
    assert controller is not None
    for number in range(20):
        intent = ["t4", "a", False, 2, controller.context.wall_time - age_s]
        world.state.rev += 1
        key = keys.rental_intent(0, f"r-1-{900 + number}")
        world.state.data[key] = (intent, world.state.rev, None)
    rentals = Rentals(world)
    world.kill(owner(world, 0), back_after=60.0)
    world.run(40.0)
    again = [name for name in rentals.names if name.startswith("r-1-9")]
    assert bool(again) is sent
    assert len(world.workers) == (40 if sent else 0)
    # None is left behind.
    assert not [key for key in world.state.data if key.startswith(f"{keys.RENTAL_INTENTS}0/r-1-9")]
    assert not world.broken


def test_a_rental_of_the_moment_of_a_fall_is_carried_out() -> None:
    world = World(452, 3)
    world.run(4.0)
    plain = world.cloud
    lost: list[str] = []

    def unanswered(call: Any) -> Any:
        result = plain(call)
        if isinstance(call, RentMachines) and call.name not in lost:
            # Carried out, but the process falls before it hears of it.
            lost.append(call.name)
            for name in world.node_names:
                if world.cores[name] is not None:
                    world.kill(name, back_after=1.0)
        return result

    world.cloud = unanswered  # type: ignore[method-assign]
    world.submit(spec(1, task_count=4, estimated_run_s=5.0))
    assert world.until(lambda: bool(lost), 20.0)
    world.cloud = plain  # type: ignore[method-assign]
    first = set(world.hires[lost[0]])
    assert world.finish("job-000001", 90.0)
    assert first & {name for _, _, _, name, _ in world.starts}
    assert not world.broken
