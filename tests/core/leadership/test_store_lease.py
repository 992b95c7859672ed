"""The store lease that a controller's authority rests on."""

from __future__ import annotations

import pytest

from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.helpers import start_deployment

N0_KEY = keys.NODES + "n0"


@pytest.mark.parametrize("late_s", [1.4, 2.5, 3.8, 6.0])
def test_a_late_commit_of_a_nodes_key_does_not_tie_it_to_an_older_lease(late_s: float) -> None:
    """The key would end with the older lease, and others would take shards that are led."""
    deployment = start_deployment(4100)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(12.0)
    delays = iter([late_s, late_s])

    def delay_first_commits(node: str, commit: CompareAndSwap) -> float | None:
        is_own_key = node == "n0" and any(put.key == N0_KEY for put in commit.puts)
        return next(delays, None) if is_own_key else None

    deployment.store_link.commit_delay_s = delay_first_commits
    deployment.nodes.kill("n0", restart_after_s=0.3)
    end = deployment.now + 30.0
    has_led = False
    while deployment.now < end:
        deployment.run(0.1)
        controller = deployment.nodes.controllers["n0"]
        if controller is None:
            continue
        deployment.nodes.set_time(controller)
        if controller.leadership.led_shards():
            has_led = True
            lease_id = deployment.store.data[N0_KEY].lease_id
            assert lease_id is not None
            # The authority ends no later than the lease that the key is tied to.
            expires_at = (
                controller.leadership_services.lease.expires_at / deployment.nodes.clock_rate["n0"]
            )
            assert expires_at <= deployment.store.leases[lease_id].expires_at
    assert has_led
    assert next(delays, None) is None
    assert deployment.users.wait_until_done(job, 200.0)
    assert not deployment.rules.violations
