"""Reading and checking the settings file of a controller.

The types of the settings are in ``core.domain.settings``, so that the core does not import this
package.
"""

from marblestair.core.domain.settings import (
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
from marblestair.settings.addresses import split_address
from marblestair.settings.checks import SettingsError
from marblestair.settings.loading import load, parse

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
