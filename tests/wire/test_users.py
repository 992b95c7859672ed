"""Decoding of users' requests."""

from __future__ import annotations

import math
from typing import Any

import pytest

from marblestair.wire.agents import decode_heartbeat
from marblestair.wire.codec import BadRequestError, pack
from marblestair.wire.users import RequestKind, Route, decode_submission, route_request

GOOD: dict[str, Any] = {
    "ref": "job-000412",
    "jobclass": "train",
    "owner": "red",
    "shape": "batch",
    "urgency": "high",
    "pieces": 4,
    "cpus": 2.0,
    "gpus": 0.0,
    "mem_gb": 4.0,
    "bundle": "img-07",
    "size_gb": 1.5,
    "builds": ["t4"],
    "room": None,
    "together": False,
    "scatter": False,
    "loaners": True,
    "expected_s": 20.0,
    "bookmark_s": 0.0,
    "bookmark_cost_s": 0.0,
    "due_s": 60.0,
}


def test_a_good_submission_with_unknown_and_omitted_fields() -> None:
    body = {k: v for k, v in GOOD.items() if k not in ("room", "builds", "due_s")}
    spec = decode_submission(pack({**body, "later_field": [1, 2]}))
    assert (spec.id, spec.kind, spec.machine_types, spec.deadline_s) == (
        "job-000412",
        "array",
        None,
        None,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"ref": "task-1"},
        {"ref": "job-1/../x"},
        {"ref": 7},
        {"pieces": 0},
        {"pieces": 100_001},
        {"pieces": -3},
        {"pieces": "many"},
        {"cpus": math.nan},
        {"mem_gb": math.inf},
        {"cpus": -1.0},
        {"cpus": 1e300},
        {"expected_s": "long"},
        {"due_s": -5.0},
        {"shape": "blob"},
        {"urgency": "now"},
        {"together": "yes"},
        {"builds": "t4"},
        {"bundle": "x" * 1000},
        {"owner": None},
    ],
)
def test_malformed_submissions(change: dict[str, Any]) -> None:
    with pytest.raises(BadRequestError):
        decode_submission(pack({**GOOD, **change}))


@pytest.mark.parametrize("field", sorted(set(GOOD) - {"builds", "room", "due_s"}))
def test_a_missing_field(field: str) -> None:
    with pytest.raises(BadRequestError):
        decode_submission(pack({k: v for k, v in GOOD.items() if k != field}))


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91" * 5000, b"{}"])
def test_bodies_that_are_no_map(body: bytes) -> None:
    with pytest.raises(BadRequestError):
        decode_submission(body)
    with pytest.raises(BadRequestError):
        decode_heartbeat(body)


def test_unknown_paths_and_methods() -> None:
    assert route_request("GET", "/nothing") == Route(RequestKind.UNKNOWN_PATH)
    assert route_request("GET", "/v1/jobs/job-1/other") == Route(RequestKind.UNKNOWN_PATH)
    assert route_request("DELETE", "/v1/jobs/job-1").kind is RequestKind.WRONG_METHOD
    assert route_request("GET", "/v1/jobs").kind is RequestKind.WRONG_METHOD
    assert route_request("GET", "/v1/report").kind is RequestKind.WRONG_METHOD
    assert route_request("POST", "/v1/jobs/job-1/withdraw") == Route(RequestKind.CANCEL, "job-1")
