"""The choice of a machine for a task: the best fit among a few sampled machines."""

from __future__ import annotations

import math
import random

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.scheduling.placement import tasks_that_fit
from marblestair.core.shard.machine import Machine

#: machines that are sampled; the design starts at 3 and leaves the size open
SAMPLE_SIZE = 6
#: weight of the share of its cpus that a machine has free afterwards, in seconds of waiting for an
#: image
FREE_CAPACITY_WEIGHT_S = 8.0
#: weight of the price, relative to an ordinary machine's, in seconds of waiting for an image
PRICE_WEIGHT_S = 8.0
#: image fetch rate assumed at least, in GB per second, whatever the cloud says of a type
MIN_FETCH_GB_PER_S = 1e-6


def placement_cost(
    spec: JobSpec, machine: Machine, resources: Resources, fetch_weight: float = 1.0
) -> tuple[float, str]:
    """Return the cost of placing a task on a machine, and the machine's name for equal costs.

    The wait for the image counts, what stays free, and the price. Full machines are filled first
    and expensive ones last, so that whole machines become idle and can be released.

    Parameters
    ----------
    spec
        The task's job.
    machine
        A machine that the task fits on.
    resources
        What the task takes.
    fetch_weight
        Weight of the wait for the image.
    """
    machine_type = machine.machine_type
    if machine_type is None:
        return math.inf, machine.name
    fetch_s = 0.0
    if spec.image not in machine.cached_images:
        fetch_s = spec.image_gb / max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    free_share = (machine.free[0] - resources[0]) / max(machine_type.capacity[0], 1)
    relative_price = 1.0
    if machine.spot and machine_type.price > 0:
        relative_price = machine_type.spot_price / machine_type.price
    cost_s = (
        fetch_weight * fetch_s
        + FREE_CAPACITY_WEIGHT_S * free_share
        + PRICE_WEIGHT_S * relative_price
    )
    return cost_s, machine.name


def choose_machine(
    spec: JobSpec,
    resources: Resources,
    candidates: list[Machine],
    fitting: list[Machine],
    rng: random.Random,
    fetch_weight: float = 1.0,
) -> Machine | None:
    """Choose the best fit among sampled machines; if a task fits on none, the first it fits on.

    Parameters
    ----------
    spec, resources
        The task's job, and what the task takes.
    candidates
        Machines to sample from, whether or not the task fits.
    fitting
        Those of them that the task fits on.
    rng
        Source of the sample. It is drawn only where there is a choice.
    fetch_weight
        Weight of the wait for the image.
    """
    if len(fitting) < 2:
        return fitting[0] if fitting else None
    sample = candidates if len(candidates) <= SAMPLE_SIZE else rng.sample(candidates, SAMPLE_SIZE)
    options = [machine for machine in sample if tasks_that_fit(machine, resources)]
    if not options:
        return fitting[0]
    return min(options, key=lambda machine: placement_cost(spec, machine, resources, fetch_weight))
