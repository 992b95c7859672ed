"""Expected boot times, derived from recent boots."""

from __future__ import annotations

import pytest

from marblestair.core.shard.boot_times import MAX_BOOT_RATIO, BootTimes
from tests.fakes.samples import MACHINE_TYPES

SMALL_TYPE, LARGE_TYPE = MACHINE_TYPES


def test_a_machine_is_overdue_after_the_usual_time_and_a_half() -> None:
    boot_times = BootTimes()
    assert not boot_times.is_overdue(SMALL_TYPE, 1.5 * SMALL_TYPE.boot_s, 0.0)
    assert boot_times.is_overdue(SMALL_TYPE, 1.7 * SMALL_TYPE.boot_s, 0.0)
    assert boot_times.boot_timeout_s(SMALL_TYPE, 0.0) == 3.0 * SMALL_TYPE.boot_s


def test_slow_boots_are_expected_for_a_while_after_some_were_slow() -> None:
    boot_times = BootTimes()
    for second in range(8):
        boot_times.record(SMALL_TYPE, 3.0 * SMALL_TYPE.boot_s, float(second))
    assert not boot_times.is_overdue(SMALL_TYPE, 4.0 * SMALL_TYPE.boot_s, 10.0)
    assert boot_times.boot_timeout_s(SMALL_TYPE, 10.0) == pytest.approx(6.0 * SMALL_TYPE.boot_s)
    # Other machine types are not affected, and recorded boots expire.
    assert boot_times.is_overdue(LARGE_TYPE, 4.0 * LARGE_TYPE.boot_s, 10.0)
    assert boot_times.is_overdue(SMALL_TYPE, 4.0 * SMALL_TYPE.boot_s, 100.0)


def test_what_is_learned_is_bounded() -> None:
    boot_times = BootTimes()
    boot_times.record(SMALL_TYPE, 1000.0 * SMALL_TYPE.boot_s, 0.0)
    assert boot_times.expected_ratio(SMALL_TYPE, 1.0) == MAX_BOOT_RATIO
    boot_times = BootTimes()
    boot_times.record(SMALL_TYPE, 0.0, 0.0)
    assert boot_times.expected_ratio(SMALL_TYPE, 1.0) == 1.0
