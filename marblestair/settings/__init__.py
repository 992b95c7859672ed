"""The settings file of a controller: its types, its checks, and how it is read.

``model`` has the types only and imports nothing of the program, so that every package can use it.
"""

from marblestair.settings.addresses import split_address
from marblestair.settings.checks import SettingsError
from marblestair.settings.loading import load, parse
from marblestair.settings.model import (
    UNLIMITED,
    CloudLimits,
    Cluster,
    External,
    MachineLimits,
    NextStateLimits,
    Objective,
    Peer,
    Settings,
    StateLimits,
    Team,
    Workers,
)

__all__ = [
    "UNLIMITED",
    "CloudLimits",
    "Cluster",
    "External",
    "MachineLimits",
    "NextStateLimits",
    "Objective",
    "Peer",
    "Settings",
    "SettingsError",
    "StateLimits",
    "Team",
    "Workers",
    "load",
    "parse",
    "split_address",
]
