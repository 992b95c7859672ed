"""Amounts of resources in fixed point, so that sums never drift from a limit."""

from __future__ import annotations

import math
from decimal import ROUND_CEILING, ROUND_FLOOR, Decimal
from functools import lru_cache
from typing import TypeAlias

#: units of fixed point in one cpu, gpu or GB
FIXED_POINT_UNIT = 1_000_000

#: cpus, gpus and memory in fixed point
Resources: TypeAlias = tuple[int, int, int]


@lru_cache(maxsize=4096)
def fixed_point_up(amount: float) -> int:
    """A requested amount as fixed point, rounded up."""
    return int((Decimal(repr(amount)) * FIXED_POINT_UNIT).to_integral_value(ROUND_CEILING))


@lru_cache(maxsize=4096)
def fixed_point_down(amount: float) -> int:
    """An available amount as fixed point, rounded down."""
    return int((Decimal(repr(amount)) * FIXED_POINT_UNIT).to_integral_value(ROUND_FLOOR))


def are_valid_amounts(*values: float | None) -> bool:
    """Whether every amount that is given is finite and not negative."""
    return all(value is None or (math.isfinite(value) and value >= 0) for value in values)
