"""Operators' own settings: an optional Starlark script, read once at the start.

The script sees ``cluster`` (read only: ``size``, ``zones``, ``teams``) and calls

- ``tune(NAME = NUMBER, ...)`` to change weights of renting (see docs/operations.md);
- ``lead("CLASS", SECONDS)`` to serve a class of jobs as if it were due that much earlier.

A script that fails, or asks for what does not exist, is refused with its file and line.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from marblestair.core.capacity.provisioning import Tuning
from marblestair.settings import Settings


class Tunable(msgspec.Struct, frozen=True):
    """A weight that operators may set: its field, and the bounds of its values."""

    #: name of the field of Tuning
    field: str
    low: float
    high: float
    is_whole: bool = False


#: the operators' names of the weights of the plan
TUNABLES: dict[str, Tunable] = {
    "margin": Tunable("capacity_margin", 0.0, 5.0),
    "reserve": Tunable("headroom_jobs", 0.0, 20.0),
    "spare_gangs": Tunable("standby_gangs", 0, 100, is_whole=True),
    "spot_risk": Tunable("spot_risk_premium", 0.0, 100.0),
    "idle_boots": Tunable("min_idle_boot_times", 0.0, 100.0),
    "smooth_boots": Tunable("smoothing_boot_times", 0.0, 100.0),
    "keep": Tunable("release_surplus", 0.0, 100.0),
    "haste": Tunable("deadline_share", 0.05, 1.0),
    "patience": Tunable("undated_run_times", 1.0, 100.0),
}


class PolicyError(Exception):
    """A script that cannot be used; the text is one line with file and line."""


class Policy(msgspec.Struct, frozen=True):
    """What the script asks for."""

    tuning: Tuning = Tuning()
    #: class -> seconds by which it is served earlier
    lead_s: dict[str, float] = {}


def _one_line(path: str, error: Exception) -> str:
    text = str(error)
    where, what = "", ""
    for line in text.splitlines():
        line = line.strip()
        if line.startswith("-->"):
            where = line[3:].strip()
        elif line.startswith("error:"):
            what = line[6:].strip()
        elif not what and line and not line.startswith(("|", "Traceback", "*", "File")):
            what = line
    where = where or path
    return f"{where}: {what or text.splitlines()[0]}"


class Script:
    """What a script asks for, by the functions that it may call."""

    def __init__(self) -> None:
        #: field of Tuning -> its value
        self.tuned: dict[str, float] = {}
        self.lead_s: dict[str, float] = {}

    def tune(self, **values: Any) -> None:
        """Set weights of the plan of the fleet, by the operators' names."""
        for name, value in values.items():
            tunable = TUNABLES.get(name)
            if tunable is None:
                raise ValueError(f"tune: no such setting: {name}")
            low, high, is_whole = tunable.low, tunable.high, tunable.is_whole
            kinds = (int,) if is_whole else (int, float)
            if isinstance(value, bool) or not isinstance(value, kinds):
                raise ValueError(f"tune: {name} must be a {'whole ' if is_whole else ''}number")
            if not (math.isfinite(value) and low <= value <= high):
                raise ValueError(f"tune: {name} must be from {low} to {high}")
            self.tuned[tunable.field] = value if is_whole else float(value)

    def lead(self, cls: Any, seconds: Any) -> None:
        """Serve a class earlier by some seconds."""
        if not isinstance(cls, str) or not cls:
            raise ValueError("lead: the class must be a text")
        if isinstance(seconds, bool) or not isinstance(seconds, (int, float)):
            raise ValueError("lead: the seconds must be a number")
        if not (math.isfinite(seconds) and abs(seconds) <= 1e6):
            raise ValueError("lead: the seconds are out of range")
        self.lead_s[cls] = float(seconds)


def load(path: str, settings: Settings) -> Policy:
    """Run a script and return what it asks for."""
    try:
        with open(path, encoding="utf-8") as f:
            text = f.read()
    except OSError as e:
        raise PolicyError(f"{path}: {e.strerror}") from None
    except UnicodeDecodeError as e:
        raise PolicyError(f"{path}: {e}") from None
    # Only here: the interpreter takes memory that most deployments need not spend.
    import starlark

    script = Script()
    module = starlark.Module()
    module["cluster"] = {
        "size": settings.cluster.size,
        "zones": list(settings.cluster.zones),
        "teams": [team.name for team in settings.cluster.teams],
    }
    module.add_callable("tune", script.tune)
    module.add_callable("lead", script.lead)
    try:
        starlark.eval(module, starlark.parse(path, text), starlark.Globals.standard())
    except Exception as e:
        raise PolicyError(_one_line(path, e)) from None
    return Policy(msgspec.structs.replace(Tuning(), **script.tuned), script.lead_s)
