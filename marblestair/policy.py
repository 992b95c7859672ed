"""Policy script: an optional Starlark script of the operators, run once at the start.

The script can read ``cluster`` (``size``, ``zones``, ``teams``) and call

- ``tune(NAME = NUMBER, ...)`` to set parameters of scaling (see docs/operations.md);
- ``lead("CLASS", SECONDS)`` to schedule the jobs of a class as if they were due that many seconds
  earlier.

If the script fails or uses an unknown name, the error states the file and line of the failure.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from marblestair.core.capacity.provisioning import Tuning
from marblestair.settings import Settings


class Tunable(msgspec.Struct, frozen=True):
    """A scaling parameter that the script may set: its field and the range of its values."""

    #: name of the field of ``Tuning``
    field: str
    low: float
    high: float
    is_whole: bool = False


#: scaling parameters by their names in the script
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


#: maximum absolute offset of a deadline
MAX_DEADLINE_OFFSET_S = 1e6

#: prefixes of the lines of an interpreter's error: the line with the location, and the line with
#: the text
_LOCATION_PREFIX = "-->"
_ERROR_PREFIX = "error:"
#: prefixes of the lines of an interpreter's error to skip: the quoted script and the call stack
_SKIPPED_PREFIXES = ("|", "Traceback", "*", "File")


class PolicyError(Exception):
    """A policy script is invalid; the text is one line that names the script and the problem."""


class Policy(msgspec.Struct, frozen=True):
    """The scaling parameters and deadline offsets that a policy script has set."""

    tuning: Tuning = Tuning()
    #: job class -> seconds by which scheduling moves the class's deadlines earlier (negative:
    #: later)
    deadline_offsets_s: dict[str, float] = {}


class ScriptFunctions:
    """Provides the functions that a script may call, and collects the values that they set."""

    def __init__(self) -> None:
        #: field of ``Tuning`` -> its value
        self.tuned_values: dict[str, float] = {}
        self.deadline_offsets_s: dict[str, float] = {}

    def tune(self, **values: Any) -> None:
        """Set scaling parameters by their names in the script."""
        for name, value in values.items():
            tunable = TUNABLES.get(name)
            if tunable is None:
                raise ValueError(f"tune: no such setting: {name:.40}, known: {', '.join(TUNABLES)}")
            low, high, is_whole = tunable.low, tunable.high, tunable.is_whole
            kinds = (int,) if is_whole else (int, float)
            if isinstance(value, bool) or not isinstance(value, kinds):
                raise TypeError(
                    f"tune: {name} must be a {'whole ' if is_whole else ''}number,"
                    f" got {value!r:.40}"
                )
            if not (math.isfinite(value) and low <= value <= high):
                raise ValueError(f"tune: {name} must be from {low} to {high}, got {value!r:.40}")
            self.tuned_values[tunable.field] = value if is_whole else float(value)

    def lead(self, cls: Any, seconds: Any) -> None:
        """Schedule the jobs of a class as if they were due ``seconds`` earlier."""
        if not isinstance(cls, str) or not cls:
            raise TypeError(f"lead: the class must be a non-empty string, got {cls!r:.40}")
        if isinstance(seconds, bool) or not isinstance(seconds, (int, float)):
            raise TypeError(f"lead: the seconds must be a number, got {seconds!r:.40}")
        if not (math.isfinite(seconds) and abs(seconds) <= MAX_DEADLINE_OFFSET_S):
            raise ValueError(
                f"lead: the seconds must be from {-MAX_DEADLINE_OFFSET_S:g} to"
                f" {MAX_DEADLINE_OFFSET_S:g}, got {seconds!r:.40}"
            )
        self.deadline_offsets_s[cls] = float(seconds)


def load(path: str, settings: Settings) -> Policy:
    """Run a policy script and return the policy that it has set.

    Raises
    ------
    PolicyError
        When the file cannot be read, or the script fails.
    """
    text = _read(path)
    # Imported only if needed: the interpreter takes memory, and most deployments have no script.
    import starlark

    script = ScriptFunctions()
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
        # The interpreter raises its own errors and those of the functions that the script calls.
        raise PolicyError(_one_line(path, error)) from None
    tuning = msgspec.structs.replace(Tuning(), **script.tuned_values)
    return Policy(tuning, script.deadline_offsets_s)


def _read(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise PolicyError(f"{path}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise PolicyError(f"{path}: not valid UTF-8: {error}") from None


def _one_line(path: str, error: Exception) -> str:
    """Return the location and the text of an interpreter's error, which has several lines."""
    text = str(error)
    location, problem = "", ""
    for line in map(str.strip, text.splitlines()):
        if line.startswith(_LOCATION_PREFIX):
            location = line.removeprefix(_LOCATION_PREFIX).strip()
        elif line.startswith(_ERROR_PREFIX):
            problem = line.removeprefix(_ERROR_PREFIX).strip()
        elif not problem and line and not line.startswith(_SKIPPED_PREFIXES):
            problem = line
    return f"{location or path}: {problem or text.splitlines()[0]}"
