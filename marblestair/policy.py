"""Operators' own settings: an optional Starlark script, read once at the start.

The script sees ``cluster`` (read only: ``size``, ``zones``, ``teams``) and calls

- ``tune(NAME = NUMBER, ...)`` to change weights of scaling (see docs/operations.md);
- ``lead("CLASS", SECONDS)`` to serve a class of jobs as if it were due that much earlier.

A script that fails, or names what does not exist, is refused with its file and line.
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
    "patience": Tunable("default_deadline_run_times", 1.0, 100.0),
}


#: largest offset of a deadline, in seconds, earlier or later
MAX_DEADLINE_OFFSET_S = 1e6

#: how the interpreter marks, in the lines of an error, its place and its text
_PLACE_MARK = "-->"
_ERROR_MARK = "error:"
#: how the lines begin that are neither: the quoted script and the call stack
_OTHER_LINES = ("|", "Traceback", "*", "File")


class PolicyError(Exception):
    """A script cannot be used; the text is one line with file and line."""


class Policy(msgspec.Struct, frozen=True):
    """What the script has set."""

    tuning: Tuning = Tuning()
    #: job class -> seconds by which its deadlines count as earlier
    deadline_offsets_s: dict[str, float] = {}


class Script:
    """The functions that a script may call, and what its calls have set."""

    def __init__(self) -> None:
        #: field of Tuning -> its value
        self.tuned: dict[str, float] = {}
        self.deadline_offsets_s: dict[str, float] = {}

    def tune(self, **values: Any) -> None:
        """Set weights of the plan of the fleet, by the operators' names."""
        for name, value in values.items():
            tunable = TUNABLES.get(name)
            if tunable is None:
                raise ValueError(f"tune: no such setting: {name}")
            low, high, is_whole = tunable.low, tunable.high, tunable.is_whole
            kinds = (int,) if is_whole else (int, float)
            if isinstance(value, bool) or not isinstance(value, kinds):
                raise TypeError(f"tune: {name} must be a {'whole ' if is_whole else ''}number")
            if not (math.isfinite(value) and low <= value <= high):
                raise ValueError(f"tune: {name} must be from {low} to {high}")
            self.tuned[tunable.field] = value if is_whole else float(value)

    def lead(self, cls: Any, seconds: Any) -> None:
        """Serve a class earlier by some seconds."""
        if not isinstance(cls, str) or not cls:
            raise TypeError("lead: the class must be a text")
        if isinstance(seconds, bool) or not isinstance(seconds, (int, float)):
            raise TypeError("lead: the seconds must be a number")
        if not (math.isfinite(seconds) and abs(seconds) <= MAX_DEADLINE_OFFSET_S):
            raise ValueError("lead: the seconds are out of range")
        self.deadline_offsets_s[cls] = float(seconds)


def load(path: str, settings: Settings) -> Policy:
    """Run a script and return what it has set.

    Raises
    ------
    PolicyError
        When the file cannot be read, or the script fails.
    """
    text = _read(path)
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
    except Exception as error:
        # The interpreter raises errors of its own and those of the functions above.
        raise PolicyError(_one_line(path, error)) from None
    tuning = msgspec.structs.replace(Tuning(), **script.tuned)
    return Policy(tuning, script.deadline_offsets_s)


def _read(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise PolicyError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise PolicyError(f"{path}: {error}") from None


def _one_line(path: str, error: Exception) -> str:
    """The place and the text of an interpreter's error, which has several lines."""
    text = str(error)
    place, problem = "", ""
    for line in map(str.strip, text.splitlines()):
        if line.startswith(_PLACE_MARK):
            place = line.removeprefix(_PLACE_MARK).strip()
        elif line.startswith(_ERROR_MARK):
            problem = line.removeprefix(_ERROR_MARK).strip()
        elif not problem and line and not line.startswith(_OTHER_LINES):
            problem = line
    return f"{place or path}: {problem or text.splitlines()[0]}"
