"""How long machines take to boot, learned per type, and which of them are overdue.

The cloud names a usual boot time. Now and then machines come several times as late, or never. A
machine that is overdue is not counted on any more, so that another is rented in its place; it is
used if it comes after all, and given up once it has become unlikely to come.
"""

from __future__ import annotations

from collections import deque

from marblestair.core.domain.machines import MachineType

#: boot times, as expected by now, after which a machine is not counted on
OVERDUE_BOOTS = 1.6
#: boot times, as expected by now, after which a machine is given up
GIVE_UP_BOOTS = 2.0
#: usual boot times after which a machine is given up, at the least
LEAST_GIVE_UP_BOOTS = 3.0
#: bounds of what is learned: expected against usual boot time
LEAST_RATIO, MOST_RATIO = 1.0, 4.0
#: boots that are remembered of a type, and for how many of its usual boot times
REMEMBERED_BOOTS, MEMORY_BOOTS = 16, 8.0
#: share of the remembered boots that took no longer than is expected
EXPECTED_SHARE = 0.75


class BootTimes:
    """Boot times seen by one controller."""

    def __init__(self) -> None:
        #: type -> when a machine came up, and its boot time against the usual one
        self._seen: dict[str, deque[tuple[float, float]]] = {}

    def record(self, machine_type: MachineType, took_s: float, now: float) -> None:
        """A machine has reported for the first time."""
        seen = self._seen.setdefault(machine_type.name, deque(maxlen=REMEMBERED_BOOTS))
        seen.append((now, took_s / max(machine_type.boot_s, 1e-6)))

    def expected_ratio(self, machine_type: MachineType, now: float) -> float:
        """How long a boot takes by now, against the usual time."""
        memory_s = MEMORY_BOOTS * machine_type.boot_s
        ratios = sorted(r for at, r in self._seen.get(machine_type.name, ()) if now - at < memory_s)
        if not ratios:
            return LEAST_RATIO
        ratio = ratios[int(EXPECTED_SHARE * (len(ratios) - 1))]
        return min(MOST_RATIO, max(LEAST_RATIO, ratio))

    def is_overdue(self, machine_type: MachineType, age_s: float, now: float) -> bool:
        """Whether a machine that has not reported is not to be counted on."""
        return age_s > OVERDUE_BOOTS * self.expected_ratio(machine_type, now) * machine_type.boot_s

    def give_up_after_s(self, machine_type: MachineType, now: float) -> float:
        """Age at which a machine that has not reported is given up."""
        boots = max(LEAST_GIVE_UP_BOOTS, GIVE_UP_BOOTS * self.expected_ratio(machine_type, now))
        return boots * machine_type.boot_s
