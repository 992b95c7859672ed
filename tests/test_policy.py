"""The operators' policy script, and how a bad one is refused."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec
import pytest

from marblestair import cli
from marblestair.core.scheduling.service_order import priority_key
from marblestair.policy import PolicyError, load
from tests.fakes.deployment import settings, spec


def test_a_script_tunes_and_leads(tmp_path: pathlib.Path) -> None:
    f = tmp_path / "policy.star"
    f.write_text(
        "tune(margin = 0.2, spare_gangs = 2)\n"
        'tune(reserve = 1.0 if cluster["size"] > 2 else 0.0)\n'
        'lead("urgent", 30)\n'
    )
    p = load(str(f), settings(0))
    tuning = p.tuning
    assert (tuning.capacity_margin, tuning.headroom_jobs, tuning.standby_gangs) == (0.2, 1.0, 2)
    assert p.deadline_offsets_s == {"urgent": 30.0}
    # A class with a lead is served as if it were due that much earlier.
    a, b = spec(1, deadline_s=100.0), spec(2, deadline_s=110.0)
    key_a = priority_key(a, wall_time=0.0, run_time_ratio=1.0)
    assert key_a < priority_key(b, wall_time=0.0, run_time_ratio=1.0)
    assert priority_key(b, wall_time=30.0, run_time_ratio=1.0) < key_a


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
    f = tmp_path / "bad.star"
    f.write_text(text)
    with pytest.raises(PolicyError) as e:
        load(str(f), settings(0))
    assert str(f) + where in str(e.value) and what in str(e.value)
    assert "\n" not in str(e.value)


def test_the_program_checks_settings_and_script(tmp_path: pathlib.Path, capsys: Any) -> None:
    good = tmp_path / "s.toml"
    good.write_text(_toml(msgspec.to_builtins(settings(0))))
    script = tmp_path / "p.star"
    script.write_text("tune(haste = 0.5)")
    assert cli.main(["--policy", str(script), "--check", str(good)]) == 0
    assert "ok" in capsys.readouterr().out
    script.write_text("tune(haste = 5)")
    assert cli.main(["--policy", str(script), "--config", str(good)]) == 2
    err = capsys.readouterr().err
    assert err.count("\n") == 1 and "p.star:1:1" in err


def _toml(data: dict[str, Any], prefix: str = "") -> str:
    """Just enough TOML for settings."""
    plain, tables = [], []
    for k, v in data.items():
        if isinstance(v, dict):
            tables.append(f"[{prefix}{k}]\n{_toml(v, f'{prefix}{k}.')}")
        elif isinstance(v, list) and v and isinstance(v[0], dict):
            tables += [f"[[{prefix}{k}]]\n{_toml(x, f'{prefix}{k}.')}" for x in v]
        else:
            plain.append(f"{k} = {msgspec.json.encode(v).decode()}")
    return "\n".join([*plain, *tables]) + "\n"
