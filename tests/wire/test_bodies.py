"""Encoded bodies have exactly the fields of the interfaces, in order."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from marblestair.core.domain.agents import CommandVerb, TaskCommand
from marblestair.core.domain.jobs import JobState
from marblestair.core.runtime.cloud_requests import ReleaseMachines, RentMachines
from marblestair.core.runtime.store_requests import CompareAndSwap, GrantLease, Put
from marblestair.wire.agents import (
    encode_direct_command,
    encode_heartbeat_response,
    encode_redirect,
)
from marblestair.wire.cloud import encode_cloud_request
from marblestair.wire.codec import encode_error
from marblestair.wire.store import encode_store_request
from marblestair.wire.users import encode_job_status

LAUNCH = TaskCommand(CommandVerb.START, "job-1", 3, 2)
STOP = TaskCommand(CommandVerb.STOP, "job-1", 4, 1, 2.5)
STOP_AT_ONCE = TaskCommand(CommandVerb.STOP, "job-1", 4, 1)
FORGET = TaskCommand(CommandVerb.FORGET, "job-1", 5, 1, 9.0)
ORDERS = [
    {"verb": "launch", "piece": "job-1/3", "try": 2},
    {"verb": "stop", "piece": "job-1/4", "try": 1, "wind_down_s": 2.5},
    {"verb": "stop", "piece": "job-1/4", "try": 1, "wind_down_s": 0.0},
    {"verb": "reap", "piece": "job-1/5", "try": 1},
]
COMMANDS = [LAUNCH, STOP, STOP_AT_ONCE, FORGET]


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (encode_heartbeat_response(9, COMMANDS), {"baton": 9, "orders": ORDERS}),
        (encode_heartbeat_response(9, ()), {"baton": 9, "orders": []}),
        (encode_redirect("n2"), {"foreman": "n2"}),
        (encode_redirect(""), {}),
        (encode_redirect(None), {}),
        (encode_direct_command(9, 7, COMMANDS), {"baton": 9, "shift": 7, "orders": ORDERS}),
        (encode_job_status("job-1", JobState.QUEUED), {"ref": "job-1", "status": "queued"}),
        (
            encode_job_status("job-1", "running", 0, None),
            {"ref": "job-1", "status": "running", "done": 0, "running": 0},
        ),
        (
            encode_job_status("job-1", "running", 2, 3),
            {"ref": "job-1", "status": "running", "done": 2, "running": 3},
        ),
        (encode_error("no such job"), {"error": "no such job"}),
        (
            encode_cloud_request(RentMachines("r1", "t4", "a", True, 2)).body,
            {"hire": "r1", "build": "t4", "room": "a", "loaners": True, "how_many": 2},
        ),
        (encode_cloud_request(ReleaseMachines(["m1", "m2"])).body, {"benches": ["m1", "m2"]}),
        (encode_store_request(GrantLease(2500)).body, {"ttl_ms": 2500}),
        (
            encode_store_request(CompareAndSwap([("a", 0), ("b", 3)])).body,
            {"guards": [{"path": "a", "stamp": 0}, {"path": "b", "stamp": 3}]},
        ),
        (
            encode_store_request(
                CompareAndSwap([], [Put("a", [1, None]), Put("b", "x", lease_id=0)], ["c"])
            ).body,
            {
                "guards": [],
                "apply": [
                    {"set": "a", "value": [1, None]},
                    {"set": "b", "value": "x", "tenancy": 0},
                    {"delete": "c"},
                ],
            },
        ),
    ],
)
def test_bodies_have_the_fields_of_the_interfaces_in_order(body: bytes, expected: Any) -> None:
    assert body == msgspec.msgpack.encode(expected)
