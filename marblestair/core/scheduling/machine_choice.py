"""Choice of a machine for a task: the one with the lowest cost among a few sampled machines."""

from __future__ import annotations

import math
import random

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.scheduling.placement import tasks_that_fit
from marblestair.core.shard.machine import Machine

#: number of machines sampled for one choice
SAMPLE_SIZE = 6
#: cost of leaving all cpus of the machine free, in seconds of image fetch time; the cost of a
#: placement is proportional to the share of the machine's cpus that it leaves free
FREE_CAPACITY_WEIGHT_S = 8.0
#: cost of using a regular machine, in seconds of image fetch time; for a spot machine, this
#: cost is multiplied by the ratio of the spot price to the regular price of the same type
PRICE_WEIGHT_S = 8.0
#: lower bound on the image fetch rate, in case the cloud lists a machine type with a rate of 0
MIN_FETCH_GB_PER_S = 1e-6


def placement_cost(
    spec: JobSpec, machine: Machine, resources: Resources, fetch_weight: float = 1.0
) -> tuple[float, str]:
    """Return the cost of placing a task on a machine, with the machine's name to break ties.

    The cost grows with the image fetch time, with the share of cpus left free, and with the ratio
    of the machine's price to the regular price of its type; prices of different types are not
    compared. Nearly full machines are preferred, so that whole machines become idle and can be
    released. The cost is infinite if the machine's type is unknown.

    Parameters
    ----------
    spec
        The task's job.
    machine
        A machine that the task fits on.
    resources
        The resources that the task uses.
    fetch_weight
        Weight of the image fetch time.
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
    """Return the machine with the lowest placement cost among sampled machines that fit a task.

    If the task fits on no sampled machine, or ``fitting`` lists one machine only, the first machine
    of ``fitting`` is returned. Returns None if ``fitting`` is empty.

    Parameters
    ----------
    spec, resources
        The task's job, and the resources that the task uses.
    candidates
        Machines to sample from, including those on which the task does not fit.
    fitting
        The candidates on which the task fits.
    rng
        Generator for the sample; not used if all candidates are compared or fewer than two fit.
    fetch_weight
        Weight of the image fetch time.
    """
    if len(fitting) < 2:
        return fitting[0] if fitting else None
    sample = candidates if len(candidates) <= SAMPLE_SIZE else rng.sample(candidates, SAMPLE_SIZE)
    options = [machine for machine in sample if tasks_that_fit(machine, resources)]
    if not options:
        return fitting[0]
    return min(options, key=lambda machine: placement_cost(spec, machine, resources, fetch_weight))
