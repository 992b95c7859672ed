"""Estimation of boot times for each machine type, and detection of overdue boots.

The cloud names a nominal boot time for each type. Machines occasionally take several times as long,
or never boot. A machine that is overdue no longer counts as expected capacity, so that a
replacement is rented. The machine is still used if it boots before the boot timeout, and is
released otherwise.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from marblestair.core.domain.machines import MachineType

#: maximum age of a booting machine that is not overdue, as a multiple of the expected boot time
OVERDUE_EXPECTED_BOOT_TIMES = 1.6
#: the boot timeout is this many expected boot times, or this many nominal ones if that is longer
TIMEOUT_EXPECTED_BOOT_TIMES, MIN_TIMEOUT_NOMINAL_BOOT_TIMES = 2.0, 3.0
#: bounds of the expected boot time, in nominal boot times
MIN_BOOT_RATIO, MAX_BOOT_RATIO = 1.0, 4.0
#: maximum number of recorded boots of one machine type, and time for which a boot is used after it
#: ended, as a multiple of the type's nominal boot time
MAX_RETAINED_BOOTS, RETENTION_NOMINAL_BOOT_TIMES = 16, 8.0
#: the expected boot time is this quantile of the retained boot times
EXPECTED_QUANTILE = 0.75
#: minimum by which a boot's duration is divided, since a cloud may name a nominal boot time of zero
MIN_NOMINAL_BOOT_S = 1e-6


class Boot(NamedTuple):
    """A completed boot."""

    #: monotonic time of the machine's first heartbeat, in seconds
    ended_at: float
    #: duration of the boot in nominal boot times
    ratio: float


class BootTimes:
    """Records completed boots and derives the expected boot time of each machine type."""

    def __init__(self) -> None:
        #: name of the machine type -> its latest boots
        self._boots: dict[str, deque[Boot]] = {}

    def record(self, machine_type: MachineType, boot_s: float, now: float) -> None:
        """Record a boot that took ``boot_s`` seconds and ends now, at the first heartbeat."""
        boots = self._boots.setdefault(machine_type.name, deque(maxlen=MAX_RETAINED_BOOTS))
        boots.append(Boot(now, boot_s / max(machine_type.boot_s, MIN_NOMINAL_BOOT_S)))

    def expected_ratio(self, machine_type: MachineType, now: float) -> float:
        """Return the expected duration of a boot, in nominal boot times; 1 without recent boots."""
        retention_s = RETENTION_NOMINAL_BOOT_TIMES * machine_type.boot_s
        boots = self._boots.get(machine_type.name, ())
        ratios = sorted(boot.ratio for boot in boots if now - boot.ended_at < retention_s)
        if not ratios:
            return MIN_BOOT_RATIO
        ratio = ratios[int(EXPECTED_QUANTILE * (len(ratios) - 1))]
        return min(MAX_BOOT_RATIO, max(MIN_BOOT_RATIO, ratio))

    def is_overdue(self, machine_type: MachineType, age_s: float, now: float) -> bool:
        """Whether a machine of this age should have sent its first heartbeat by now."""
        limit = OVERDUE_EXPECTED_BOOT_TIMES * self.expected_ratio(machine_type, now)
        return age_s > limit * machine_type.boot_s

    def boot_timeout_s(self, machine_type: MachineType, now: float) -> float:
        """Return the age in seconds at which a machine that sent no heartbeat is released."""
        limit = TIMEOUT_EXPECTED_BOOT_TIMES * self.expected_ratio(machine_type, now)
        return max(MIN_TIMEOUT_NOMINAL_BOOT_TIMES, limit) * machine_type.boot_s
