"""Compatibility of records and messages between the version in production and this one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

import msgspec
import pytest

from marblestair.core.domain.machines import MachineType
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.state.records import JobRecord, MachineRecord, RentalIntent, ShardMap
from tests.fakes import production
from tests.fakes.samples import MACHINE_TYPES, job_spec

#: returns a struct type of one version, given its module and name in production
FindStruct: TypeAlias = Callable[[str, str], Any]


def production_struct(module: str, name: str) -> Any:
    return getattr(production.load().module(module), name)


def present_struct(module: str, name: str) -> Any:
    return production.present_struct(f"{module}.{name}")


def example_spec(find: FindStruct) -> Any:
    kind = find("core.model", "JobSpec")
    spec = job_spec(7, accepted_at=12.5, machine_types=["t4"], zone="a", deadline_s=30.0)
    values = msgspec.structs.astuple(spec)
    return kind(*values[: len(kind.__struct_fields__)])


def example_job_record(find: FindStruct) -> Any:
    slices = {"0": [[0, 3]], "2": [[3, 6]]}
    return find("core.model", "JobRecord")(example_spec(find), 2, slices, [["cancel", 1]], [0])


def example_shard_map(find: FindStruct) -> Any:
    shard = find("core.split", "PartRecord")("n0", 77, 9, {"red": [5, 0]}, 8)
    return find("core.split", "SplitRecord")(9, [shard])


def example_machine_record(find: FindStruct) -> Any:
    return find("core.split", "MachineRecord")(1, "t4", "a", True, 12.5)


def example_rental_intent(find: FindStruct) -> Any:
    return find("core.fleet", "RentalIntent")("t4", "a", False, 3, 12.5)


def example_machine_type(find: FindStruct) -> Any:
    return find("core.model", "MachineType")(*msgspec.structs.astuple(MACHINE_TYPES[0]))


def example_summary(find: FindStruct) -> Any:
    capacity = ("t4", "a", False, 1, 0, 2)
    return find("core.messages", "PartSummary")(
        1,
        4,
        [capacity],
        [capacity],
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


def readable_fields(value: Any, kind: Any) -> dict[str, Any]:
    """Encode a struct, decode it as another struct type, and return the fields of the result."""
    decoded = msgspec.convert(msgspec.msgpack.decode(msgspec.msgpack.encode(value)), kind)
    return {field: msgspec.to_builtins(getattr(decoded, field)) for field in kind.__struct_fields__}


@pytest.mark.parametrize(
    ("kind", "example"),
    [
        pytest.param(JobRecord, example_job_record, id="job record"),
        pytest.param(ShardMap, example_shard_map, id="shard map"),
        pytest.param(MachineRecord, example_machine_record, id="machine"),
        pytest.param(RentalIntent, example_rental_intent, id="rental intent"),
        pytest.param(MachineType, example_machine_type, id="machine type"),
        pytest.param(ShardSummary, example_summary, id="summary"),
    ],
)
def test_each_form_is_read_by_the_other_version(
    kind: type, example: Callable[[FindStruct], Any]
) -> None:
    by_production, by_present = example(production_struct), example(present_struct)
    production_kind = type(by_production)
    # This version decodes production's encoding without losing a field.
    assert readable_fields(by_production, kind) == readable_fields(by_present, kind)
    # Production decodes this version's encoding to the same fields as its own.
    assert readable_fields(by_present, production_kind) == readable_fields(
        by_production, production_kind
    )


def test_what_production_rewrites_of_a_released_job_can_start() -> None:
    """Production drops the dependencies, so a released job must be startable without them."""
    record = JobRecord(
        job_spec(1, depends_on=["job-000009"]), 0, {"0": [[0, 6]]}, [["release", 1, 5.0]]
    )
    production_kind = production_struct("core.model", "JobRecord")
    read = msgspec.convert(msgspec.to_builtins(record), production_kind)
    rewritten = msgspec.convert(msgspec.to_builtins(read), JobRecord)
    assert not rewritten.is_blocked
    assert rewritten.startable_since == 5.0
    assert not read.cancelled
