"""Fixed-point resource amounts, whose sums compare with limits without rounding errors."""

from __future__ import annotations

import math
from decimal import ROUND_CEILING, ROUND_FLOOR, Decimal
from functools import lru_cache
from typing import NamedTuple

#: fixed-point units in one cpu, one gpu or one GB
FIXED_POINT_SCALE = 1_000_000


class Resources(NamedTuple):
    """Amounts of cpus, gpus and memory, each in fixed point."""

    cpus: int
    gpus: int
    mem_gb: int


@lru_cache(maxsize=4096)
def fixed_point_up(amount: float) -> int:
    """Convert a requested amount to fixed point, rounded up."""
    return int((Decimal(repr(amount)) * FIXED_POINT_SCALE).to_integral_value(ROUND_CEILING))


@lru_cache(maxsize=4096)
def fixed_point_down(amount: float) -> int:
    """Convert an available amount to fixed point, rounded down."""
    return int((Decimal(repr(amount)) * FIXED_POINT_SCALE).to_integral_value(ROUND_FLOOR))


@lru_cache(maxsize=4096)
def requested_resources(cpus: float, gpus: float, mem_gb: float) -> Resources:
    """Convert requested amounts to fixed point, each rounded up."""
    return Resources(fixed_point_up(cpus), fixed_point_up(gpus), fixed_point_up(mem_gb))


@lru_cache(maxsize=4096)
def available_resources(cpus: float, gpus: float, mem_gb: float) -> Resources:
    """Convert available amounts to fixed point, each rounded down."""
    return Resources(fixed_point_down(cpus), fixed_point_down(gpus), fixed_point_down(mem_gb))


def are_valid_amounts(*values: float | None) -> bool:
    """Return whether every amount that is not None is finite and not negative."""
    return all(value is None or (math.isfinite(value) and value >= 0) for value in values)
