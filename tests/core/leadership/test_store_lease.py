"""The store lease that a controller's authority rests on."""

from __future__ import annotations

import pytest

from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.helpers import warm


@pytest.mark.parametrize("late", [1.4, 2.5, 3.8, 6.0])
def test_a_late_try_for_a_nodes_key_does_not_tie_it_to_an_older_lease(late: float) -> None:
    """The key would go with the older lease, and others take parts that their owner acts for."""
    world = warm(4100)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(12.0)
    left = [2]

    def first_tries(node: str, commit: CompareAndSwap) -> float | None:
        own = node == "n0" and any(put.key == keys.NODES + node for put in commit.puts)
        if own and left[0]:
            left[0] -= 1
            return late
        return None

    world.late = first_tries
    world.kill("n0", back_after=0.3)
    end = world.now + 30.0
    acted = False
    while world.now < end:
        world.run(0.1)
        controller = world.cores["n0"]
        if controller is not None:
            world.set_time(controller)
            if controller.leadership.led_shards():
                acted = True
                held = world.state.data[keys.NODES + "n0"]
                # What it counts on ends no later than the lease that its key goes with.
                until = controller.lease.expires_at / world.drift["n0"]
                assert until <= world.state.leases[held[2]][1]
    assert acted and not left[0]
    assert world.finish(job, 200.0)
    assert not world.broken
