"""The operators' policy script, and how a bad one is refused."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec
import pytest

from marblestair import cli
from marblestair.core.scheduling.scheduling_order import priority_key
from marblestair.policy import PolicyError, load
from tests.fakes.samples import job_spec, node_settings


def test_a_script_tunes_and_sets_deadline_offsets(tmp_path: pathlib.Path) -> None:
    script = tmp_path / "policy.star"
    script.write_text(
        "tune(margin = 0.2, spare_gangs = 2)\n"
        'tune(reserve = 1.0 if cluster["size"] > 2 else 0.0)\n'
        'lead("urgent", 30)\n'
    )
    policy = load(str(script), node_settings(0))
    tuning = policy.tuning
    assert (tuning.capacity_margin, tuning.headroom_jobs, tuning.standby_gangs) == (0.2, 1.0, 2)
    assert policy.deadline_offsets_s == {"urgent": 30.0}
    # A class with an offset is served as if it were due that much earlier.
    earlier, later = job_spec(1, deadline_s=100.0), job_spec(2, deadline_s=110.0)
    earlier_key = priority_key(earlier, wall_time=0.0, run_time_ratio=1.0)
    assert earlier_key < priority_key(later, wall_time=0.0, run_time_ratio=1.0)
    assert priority_key(later, wall_time=30.0, run_time_ratio=1.0) < earlier_key


@pytest.mark.parametrize(
    ("text", "where", "what"),
    [
        ("# one\ntune(spare = 3)", ":2:1:", "no such setting: spare"),
        ("x = = 2", ":1:5:", "Parse error"),
        ("\n\nfoo()", ":3:1:", "not found"),
        ("tune(margin = 'a')", ":1:1:", "must be a number"),
        ("tune(spare_gangs = 1.5)", ":1:1:", "whole number"),
        ("tune(margin = 9)", ":1:1:", "from 0.0 to 5.0"),
        ("lead(3, 4)", ":1:1:", "must be a text"),
        ("def f():\n    return 1 / 0\nf()", ":2:12:", "division by zero"),
    ],
)
def test_a_bad_script_is_refused_with_file_and_line(
    tmp_path: pathlib.Path, text: str, where: str, what: str
) -> None:
    script = tmp_path / "bad.star"
    script.write_text(text)
    with pytest.raises(PolicyError) as caught:
        load(str(script), node_settings(0))
    message = str(caught.value)
    assert str(script) + where in message
    assert what in message
    assert "\n" not in message


def test_the_program_checks_settings_and_script(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = tmp_path / "s.toml"
    settings.write_text(encode_toml(msgspec.to_builtins(node_settings(0))))
    script = tmp_path / "p.star"
    script.write_text("tune(haste = 0.5)")
    assert cli.main(["--policy", str(script), "--check", str(settings)]) == 0
    assert "ok" in capsys.readouterr().out
    script.write_text("tune(haste = 5)")
    assert cli.main(["--policy", str(script), "--config", str(settings)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert "p.star:1:1" in error


def encode_toml(data: dict[str, Any], prefix: str = "") -> str:
    """Just enough TOML for settings."""
    plain, tables = [], []
    for key, value in data.items():
        if isinstance(value, dict):
            tables.append(f"[{prefix}{key}]\n{encode_toml(value, f'{prefix}{key}.')}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [
                f"[[{prefix}{key}]]\n{encode_toml(item, f'{prefix}{key}.')}" for item in value
            ]
        else:
            plain.append(f"{key} = {msgspec.json.encode(value).decode()}")
    return "\n".join([*plain, *tables]) + "\n"
