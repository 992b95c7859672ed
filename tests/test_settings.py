"""Invalid or unworkable settings are rejected with an error that names the field."""

from __future__ import annotations

import math
import pathlib
from typing import Any

import msgspec
import pytest

from marblestair import cli
from marblestair.settings import SettingsError, parse
from tests.fakes.samples import node_settings


def with_field(path: tuple[str, ...], value: object) -> dict[str, Any]:
    """Return valid settings, as plain values, with one field replaced."""
    settings: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(node_settings(0)))
    section = settings
    *parents, field = path
    for parent in parents:
        section = section[parent]
    section[field] = value
    return settings


def test_settings_errors_name_the_field(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    parse(msgspec.to_builtins(node_settings(0)))
    for path, value, name in (
        (("public_addr",), "nowhere", "public_addr"),
        (("cluster", "workers", "lease_s"), 0.0, "cluster.workers.lease_s"),
        (("cluster", "size"), "three", "cluster.size"),
        (("cluster", "state", "rps"), math.nan, "cluster.state.rps"),
        (("external",), {"cloud": "1.2.3.4:5"}, "external"),
    ):
        settings = with_field(path, value)
        with pytest.raises(SettingsError, match=name):
            parse(settings)
    malformed = tmp_path / "s.toml"
    malformed.write_text("node = \n")
    assert cli.main(["--check", str(malformed)]) == 2
    assert cli.main(["--config", str(tmp_path / "absent.toml")]) == 2
    lines = capsys.readouterr().err.strip().splitlines()
    assert len(lines) == 2
    assert all(line.startswith("marblestair: ") for line in lines)


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("cluster.size", {"size": 5000}),
        (
            "cluster.teams",
            {
                "teams": [
                    {"name": f"team-{number}", "cpus": 1.0, "cpus_max": 2.0}
                    for number in range(400)
                ]
            },
        ),
        ("cluster.machine_limits.core_share", {"machine_limits": dict(core_share=-0.3)}),
        ("cluster.machine_limits.mem_mb", {"machine_limits": dict(mem_mb=0.0)}),
        ("cluster.state.txn_ops", {"state": dict(rps=9.0, write_rps=9.0, value_kb=4.0, txn_ops=1)}),
        (
            "cluster.workers.lease_s",
            {
                "workers": dict(
                    report_s=5.0, lease_s=6.0, gang_wait_s=9.0, gang_peer_s=5.0, cancel_s=30.0
                )
            },
        ),
    ],
)
def test_settings_that_cannot_work_are_refused_with_their_field(
    field: str, changes: dict[str, Any]
) -> None:
    with pytest.raises(SettingsError, match=field.replace(".", r"\.")):
        node_settings(0, 3, **changes)
