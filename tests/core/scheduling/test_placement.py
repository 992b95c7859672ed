"""Placement in one zone and across zones."""

from __future__ import annotations

from tests.fakes.samples import job_spec
from tests.helpers import start_deployment


def test_jobs_of_one_zone_and_gangs_spread_over_zones() -> None:
    deployment = start_deployment(10)
    users = deployment.users
    together = users.submit(job_spec(1, task_count=8, single_zone=True))
    spread = users.submit(job_spec(2, task_count=5, spread_zones=True, kind="gang", zone=None))
    in_zone_b = users.submit(job_spec(3, task_count=3, zone="b"))
    assert users.wait_until_done(together, 120.0)
    assert users.wait_until_done(in_zone_b, 120.0)
    assert users.wait_until_done(spread, 200.0)
    assert not deployment.rules.violations
    # Five tasks spread over zones: three at most in one, so two zones were used.
    machines = deployment.tasks.machines_of(spread)
    assert len({deployment.agents[name].zone for name in machines}) == 2
