"""Expected boot times, learned from recent boots."""

from __future__ import annotations

import pytest

from marblestair.core.shard.boot_times import MOST_RATIO, BootTimes
from tests.fakes.deployment import TYPES

KIND = TYPES[0]


def test_a_machine_is_overdue_after_the_usual_time_and_a_half() -> None:
    boots = BootTimes()
    assert not boots.is_overdue(KIND, 1.5 * KIND.boot_s, 0.0)
    assert boots.is_overdue(KIND, 1.7 * KIND.boot_s, 0.0)
    assert boots.give_up_after_s(KIND, 0.0) == 3.0 * KIND.boot_s


def test_boots_that_take_longer_are_expected_to_for_a_while() -> None:
    boots = BootTimes()
    for at in range(8):
        boots.record(KIND, 3.0 * KIND.boot_s, float(at))
    assert not boots.is_overdue(KIND, 4.0 * KIND.boot_s, 10.0)
    assert boots.give_up_after_s(KIND, 10.0) == pytest.approx(6.0 * KIND.boot_s)
    # Other types are not concerned, and it is forgotten.
    assert boots.is_overdue(TYPES[1], 4.0 * TYPES[1].boot_s, 10.0)
    assert boots.is_overdue(KIND, 4.0 * KIND.boot_s, 100.0)


def test_what_is_learned_is_bounded() -> None:
    boots = BootTimes()
    boots.record(KIND, 1000.0 * KIND.boot_s, 0.0)
    assert boots.expected_ratio(KIND, 1.0) == MOST_RATIO
    boots = BootTimes()
    boots.record(KIND, 0.0, 0.0)
    assert boots.expected_ratio(KIND, 1.0) == 1.0
