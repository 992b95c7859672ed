"""Placement of arrays: each task is launched on its own, on any machine that it fits on."""

from __future__ import annotations

import random
from collections.abc import Container

import msgspec

from marblestair.core.scheduling.machine_choice import choose_machine
from marblestair.core.scheduling.placement import tasks_that_fit, tasks_within_quota
from marblestair.core.scheduling.zone_rule import ZoneRule
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard


class CandidateMachines(msgspec.Struct):
    """Machines of a shard on which tasks may be placed."""

    #: all usable machines, full ones included; samples are drawn from this list
    usable: list[Machine]
    #: usable machines that may have free capacity. If this is the same object as ``usable``,
    #: :func:`place_array` draws samples only from machines on which a task fits.
    free: list[Machine]


class ArrayConstraints(msgspec.Struct):
    """The limits on where, and how many, tasks of one array are launched."""

    #: cpus and gpus that the team's tasks may use in the shard, in fixed point
    quota: tuple[int, int]
    #: maximum number of tasks to launch
    max_tasks: int
    #: names of machines on which no task is placed
    excluded_machines: Container[str]
    #: names of machines that are used only for tasks that could not be launched on other machines
    draining_machines: set[str]
    #: weight of the image fetch time in the choice of a machine
    fetch_weight: float


def place_array(
    shard: Shard,
    job_slice: JobSlice,
    candidates: CandidateMachines,
    constraints: ArrayConstraints,
    rng: random.Random,
) -> int:
    """Launch as many pending tasks of an array as fit; return the number launched."""
    spec, resources = job_slice.spec, job_slice.resources
    budget = min(
        tasks_within_quota(shard, job_slice, constraints.quota),
        job_slice.pending.count,
        constraints.max_tasks,
    )
    if budget <= 0:
        return 0
    excluded = constraints.excluded_machines
    fitting = [
        machine
        for machine in candidates.free
        if machine.name not in excluded
        and spec.may_run_on(machine.type_name, machine.zone, machine.spot)
        and tasks_that_fit(machine, resources)
    ]
    if not fitting:
        return 0
    allowed = fitting
    if candidates.usable is not candidates.free:
        allowed = [
            machine
            for machine in candidates.usable
            if machine.name not in excluded
            and spec.may_run_on(machine.type_name, machine.zone, machine.spot)
        ]
    launcher = _ArrayLauncher(
        shard, job_slice, ZoneRule.for_slice(job_slice), constraints.fetch_weight, rng
    )
    draining = constraints.draining_machines
    if draining:
        return launcher.launch_draining_last(allowed, fitting, budget, draining)
    return launcher.launch(allowed, fitting, budget)


class _ArrayLauncher(msgspec.Struct):
    """Launches tasks of one array."""

    shard: Shard
    job_slice: JobSlice
    zone_rule: ZoneRule | None
    fetch_weight: float
    rng: random.Random

    def launch(self, allowed: list[Machine], fitting: list[Machine], budget: int) -> int:
        """Launch up to ``budget`` tasks on ``fitting`` machines; return the number launched.

        Samples are drawn from ``allowed``, which also lists machines on which no task fits.
        """
        job_slice, resources, zone_rule = self.job_slice, self.job_slice.resources, self.zone_rule
        launched = 0
        while launched < budget and fitting:
            options, open_machines = allowed, fitting
            if zone_rule is not None:
                options = [machine for machine in allowed if zone_rule.is_open(machine)]
                open_machines = [machine for machine in fitting if zone_rule.is_open(machine)]
            machine = choose_machine(
                job_slice.spec, resources, options, open_machines, self.rng, self.fetch_weight
            )
            if machine is None:
                break
            count = min(tasks_that_fit(machine, resources), budget - launched)
            if zone_rule is not None:
                count = zone_rule.allowed_tasks(machine, count)
                zone_rule.add(machine, count)
            self._launch_on(machine, count)
            launched += count
            if launched < budget and not tasks_that_fit(machine, resources):
                fitting = [other for other in fitting if other is not machine]
        return launched

    def launch_draining_last(
        self, allowed: list[Machine], fitting: list[Machine], budget: int, draining: set[str]
    ) -> int:
        """Launch tasks like :meth:`launch`, first on machines whose names are not in ``draining``.

        Only the tasks that then remain of ``budget`` are launched on draining machines.
        """
        last = [machine for machine in fitting if machine.name in draining]
        fitting = [machine for machine in fitting if machine.name not in draining]
        allowed = [machine for machine in allowed if machine.name not in draining]
        launched = self.launch(allowed, fitting, budget)
        return launched + self.launch(last, last, budget - launched)

    def _launch_on(self, machine: Machine, count: int) -> None:
        shard, job_slice = self.shard, self.job_slice
        for _ in range(count):
            shard.launch(machine, job_slice, job_slice.pending.pop(), shard.new_attempt())
