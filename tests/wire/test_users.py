"""Decoding of users' requests, and rejection of bodies that are not a map."""

from __future__ import annotations

import math
from typing import Any

import pytest

from marblestair.wire.agents import decode_heartbeat
from marblestair.wire.codec import BadRequestError, pack
from marblestair.wire.users import RequestKind, Route, decode_submission, route_request

SUBMISSION: dict[str, Any] = {
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
OPTIONAL_FIELDS = {"builds", "room", "due_s"}


def without(*fields: str) -> dict[str, Any]:
    """Return the submission without some fields."""
    return {field: value for field, value in SUBMISSION.items() if field not in fields}


def test_a_submission_with_unknown_and_without_optional_fields_is_decoded() -> None:
    spec = decode_submission(pack({**without(*OPTIONAL_FIELDS), "later_field": [1, 2]}))
    assert (spec.id, spec.kind) == ("job-000412", "array")
    assert spec.machine_types is None
    assert spec.deadline_s is None


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
def test_a_submission_with_a_malformed_field_is_refused(change: dict[str, Any]) -> None:
    body = pack({**SUBMISSION, **change})
    with pytest.raises(BadRequestError):
        decode_submission(body)


@pytest.mark.parametrize("field", sorted(set(SUBMISSION) - OPTIONAL_FIELDS))
def test_a_submission_without_a_field_is_refused(field: str) -> None:
    body = pack(without(field))
    with pytest.raises(BadRequestError):
        decode_submission(body)


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91" * 5000, b"{}"])
def test_bodies_that_are_no_map_are_refused(body: bytes) -> None:
    with pytest.raises(BadRequestError):
        decode_submission(body)
    with pytest.raises(BadRequestError):
        decode_heartbeat(body)


def test_unknown_paths_and_wrong_methods_are_told_apart() -> None:
    assert route_request("GET", "/nothing") == Route(RequestKind.UNKNOWN_PATH)
    assert route_request("GET", "/v1/jobs/job-1/other") == Route(RequestKind.UNKNOWN_PATH)
    assert route_request("DELETE", "/v1/jobs/job-1").kind is RequestKind.WRONG_METHOD
    assert route_request("GET", "/v1/jobs").kind is RequestKind.WRONG_METHOD
    assert route_request("GET", "/v1/report").kind is RequestKind.WRONG_METHOD
    assert route_request("POST", "/v1/jobs/job-1/withdraw") == Route(RequestKind.CANCEL, "job-1")
