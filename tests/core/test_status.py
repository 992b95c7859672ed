"""What operators see of a controller."""

from __future__ import annotations

from typing import Any

from tests.fakes.deployment import spec
from tests.fakes.peer_wire import WireMessage, deliver_request
from tests.helpers import manager_of, running, warm


def test_the_status_view_shows_parts_terms_shares_and_backlog() -> None:
    world = warm(35)
    world.submit(spec(1, task_count=9, estimated_run_s=30.0))
    world.run(3.0)
    controller = world.cores["n1"]
    assert controller is not None
    out: list[Any] = []
    world._waiters[999_999] = out.append
    deliver_request(controller, 999_999, "operator", WireMessage("status", []))
    world.flush("n1")
    s = out[0]
    assert s["node"] == "n1" and s["acts_for"] == [1] and s["live_jobs"] == 1
    assert [p["owner"] for p in s["parts"]] == ["n0", "n1", "n2"]
    assert sum(p["shares_cpus"]["red"] for p in s["parts"]) == 24.0
    assert all(p["term"] > 0 and p["backlog_cpus"] is not None for p in s["parts"])
    assert "operator" not in controller.connectivity.last_received_at


def test_operators_see_what_a_waiting_job_waits_for() -> None:
    world = warm()
    parent = world.submit(spec(1, task_count=1, estimated_run_s=60.0))
    child = world.submit(spec(2, depends_on=[parent]))
    world.run(1.0)
    shown = running(world, manager_of(world, child)).status_report.collect()["waiting"]
    assert shown == [
        {"job": child, "awaits": [parent], "awaits_in_all": 1, "ancestor_cancelled": False}
    ]
