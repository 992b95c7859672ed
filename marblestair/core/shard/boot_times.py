"""How long machines take to boot, learned for each type, and which of them are overdue.

The cloud names a usual boot time. Now and then machines take several times as long, or never come
up. A machine that is overdue is not counted on any more, so that another is rented in its place; it
is used if it comes up after all, and given up once that has become unlikely.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from marblestair.core.domain.machines import MachineType

#: age at which a machine is overdue, in expected boot times
OVERDUE_BOOT_TIMES = 1.6
#: age at which a machine is given up, in expected boot times, and at least, in usual boot times
GIVE_UP_BOOT_TIMES, LEAST_GIVE_UP_BOOT_TIMES = 2.0, 3.0
#: bounds of the expected boot time, in usual boot times
LEAST_RATIO, MAX_BOOT_RATIO = 1.0, 4.0
#: boot times of one type that are remembered: their number, and for how many usual boot times
REMEMBERED_BOOTS, MEMORY_BOOT_TIMES = 16, 8.0
#: fraction of the remembered boot times that took no longer than the expected boot time
EXPECTED_QUANTILE = 0.75
#: least usual boot time that ratios are formed with: a cloud may name none
LEAST_BOOT_S = 1e-6


class Boot(NamedTuple):
    """A boot that was seen."""

    #: steady time of the machine's first heartbeat, in seconds
    ended_at: float
    #: the time that it took, in usual boot times
    ratio: float


class BootTimes:
    """The boot times that one controller has seen."""

    def __init__(self) -> None:
        #: name of the type -> its last boot times
        self._boots: dict[str, deque[Boot]] = {}

    def record(self, machine_type: MachineType, boot_s: float, now: float) -> None:
        """Record how long a machine took until its first heartbeat, which has come now."""
        boots = self._boots.setdefault(machine_type.name, deque(maxlen=REMEMBERED_BOOTS))
        boots.append(Boot(now, boot_s / max(machine_type.boot_s, LEAST_BOOT_S)))

    def expected_ratio(self, machine_type: MachineType, now: float) -> float:
        """How long a boot is now expected to take, in usual boot times."""
        memory_s = MEMORY_BOOT_TIMES * machine_type.boot_s
        boots = self._boots.get(machine_type.name, ())
        ratios = sorted(boot.ratio for boot in boots if now - boot.ended_at < memory_s)
        if not ratios:
            return LEAST_RATIO
        ratio = ratios[int(EXPECTED_QUANTILE * (len(ratios) - 1))]
        return min(MAX_BOOT_RATIO, max(LEAST_RATIO, ratio))

    def is_overdue(self, machine_type: MachineType, age_s: float, now: float) -> bool:
        """Whether a machine without a heartbeat is not to be counted on at its age."""
        limit = OVERDUE_BOOT_TIMES * self.expected_ratio(machine_type, now)
        return age_s > limit * machine_type.boot_s

    def boot_timeout_s(self, machine_type: MachineType, now: float) -> float:
        """Age at which a machine without a heartbeat is given up, in seconds."""
        limit = GIVE_UP_BOOT_TIMES * self.expected_ratio(machine_type, now)
        return max(LEAST_GIVE_UP_BOOT_TIMES, limit) * machine_type.boot_s
