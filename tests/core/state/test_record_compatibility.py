"""Records and messages of the version in production and the present one, read by each other."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from marblestair.core.domain.machines import MachineType
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.state.records import JobRecord, MachineRecord, RentalIntent, ShardMap
from tests.fakes import production
from tests.fakes.deployment import TYPES, spec


def old(name: str, kind: str) -> Any:
    return getattr(production.load().module(name), kind)


def example_spec(kind: Any, **changes: Any) -> Any:
    job = spec(7, accepted_at=12.5, machine_types=["t4"], zone="a", deadline_s=30.0, **changes)
    values = [getattr(job, field) for field in job.__struct_fields__]
    return kind(*values[: len(kind.__struct_fields__)])


def example_record(spec_kind: Any, record_kind: Any) -> Any:
    job = example_spec(spec_kind)
    return record_kind(job, 2, {"0": [[0, 3]], "2": [[3, 6]]}, [["cancel", 1]], [0])


def example_summary(kind: Any) -> Any:
    room = ("t4", "a", False, 1, 0, 2)
    return kind(
        1,
        4,
        [room],
        [room],
        5,
        {"red": [1, 2]},
        {"red": [3, 4]},
        [("job-000001", 2, 3)],
        [("host-000001", 6)],
        [("host-000002", 1.5)],
        ["job-000002"],
        ["host-000003"],
        ["host-000004"],
        ["host-000005"],
        {"blue": [1, 0]},
        [("job-000003", 2)],
    )


def example_split(record_kind: Any, part_kind: Any) -> Any:
    return record_kind(9, [part_kind("n0", 77, 9, {"red": [5, 0]}, 8)])


#: name, module, and how the present and the production struct of each kept or sent form is made
FORMS: list[tuple[str, type, Callable[[Callable[[str, str], Any]], Any]]] = [
    (
        "job record",
        JobRecord,
        lambda find: example_record(find("core.model", "JobSpec"), find("core.model", "JobRecord")),
    ),
    (
        "split",
        ShardMap,
        lambda find: example_split(
            find("core.split", "SplitRecord"), find("core.split", "PartRecord")
        ),
    ),
    (
        "machine",
        MachineRecord,
        lambda find: find("core.split", "MachineRecord")(1, "t4", "a", True, 12.5),
    ),
    (
        "rental intent",
        RentalIntent,
        lambda find: find("core.fleet", "RentalIntent")("t4", "a", False, 3, 12.5),
    ),
    (
        "machine type",
        MachineType,
        lambda find: find("core.model", "MachineType")(
            *(getattr(TYPES[0], f) for f in TYPES[0].__struct_fields__)
        ),
    ),
    ("summary", ShardSummary, lambda find: example_summary(find("core.messages", "PartSummary"))),
]


def present(name: str, kind: str) -> Any:
    return production.present_struct(f"{name}.{kind}")


def readable(value: Any, kind: Any) -> dict[str, Any]:
    """What a decoder of plain values, as they come from outside, makes of an encoded struct."""
    decoded = msgspec.convert(msgspec.msgpack.decode(msgspec.msgpack.encode(value)), kind)
    return {f: msgspec.to_builtins(getattr(decoded, f)) for f in kind.__struct_fields__}


@pytest.mark.parametrize("name, kind, make", FORMS, ids=[form[0] for form in FORMS])
def test_each_form_is_read_by_the_other_version(name: str, kind: type, make: Any) -> None:
    written_old, written_now = make(old), make(present)
    old_kind = type(written_old)
    # Written by production, read here: nothing is lost.
    assert readable(written_old, kind) == readable(written_now, kind)
    # Written here, read by production's own decoder: the same as if it had written it.
    assert readable(written_now, old_kind) == readable(written_old, old_kind)


def test_what_production_rewrites_of_a_released_job_can_start() -> None:
    """It drops the awaited jobs, which no rule may depend on once the job is released."""
    record = JobRecord(
        spec(1, depends_on=["job-000009"]), 0, {"0": [[0, 6]]}, [["release", 1, 5.0]]
    )
    old_kind = old("core.model", "JobRecord")
    read = msgspec.convert(msgspec.to_builtins(record), old_kind)
    again = msgspec.convert(msgspec.to_builtins(read), JobRecord)
    assert not again.is_blocked and again.startable_since == 5.0
    assert not read.cancelled
