"""Launches of an array's tasks, each wherever one fits."""

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
    """The machines of a shard that tasks may be placed on."""

    #: machines that samples are drawn from, also those that are full
    usable: list[Machine]
    #: those of them that may have free capacity; the same list if no sample is needed
    free: list[Machine]


class ArrayConstraints(msgspec.Struct):
    """What limits the launches of one array."""

    #: cpus and gpus that the team's tasks may use in the shard, in fixed point
    quota: tuple[int, int]
    #: tasks to launch at most
    max_tasks: int
    #: names of machines that are not used
    excluded_machines: Container[str]
    #: names of machines that are used only when no other has free capacity
    draining_machines: set[str]
    #: weight of the wait for the image in the choice of a machine
    fetch_weight: float


def place_array(
    shard: Shard,
    job_slice: JobSlice,
    candidates: CandidateMachines,
    constraints: ArrayConstraints,
    rng: random.Random,
) -> int:
    """Launch as many pending tasks of an array as fit; return how many."""
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
    launches = _ArrayLaunches(
        shard, job_slice, ZoneRule.for_slice(job_slice), constraints.fetch_weight, rng
    )
    draining = constraints.draining_machines
    if draining:
        return launches.launch_draining_last(allowed, fitting, budget, draining)
    return launches.launch(allowed, fitting, budget)


class _ArrayLaunches(msgspec.Struct):
    """The launches of one array's tasks at one moment."""

    shard: Shard
    job_slice: JobSlice
    zone_rule: ZoneRule | None
    fetch_weight: float
    rng: random.Random

    def launch(self, allowed: list[Machine], fitting: list[Machine], budget: int) -> int:
        """Launch up to ``budget`` tasks on machines that they fit on; return how many.

        Samples are drawn from all the ``allowed`` machines.
        """
        job_slice, resources, zone_rule = self.job_slice, self.job_slice.resources, self.zone_rule
        started = 0
        while started < budget and fitting:
            options, open_machines = allowed, fitting
            if zone_rule is not None:
                options = [machine for machine in allowed if zone_rule.is_open(machine)]
                open_machines = [machine for machine in fitting if zone_rule.is_open(machine)]
            machine = choose_machine(
                job_slice.spec, resources, options, open_machines, self.rng, self.fetch_weight
            )
            if machine is None:
                break
            count = min(tasks_that_fit(machine, resources), budget - started)
            if zone_rule is not None:
                count = zone_rule.allowed_tasks(machine, count)
                zone_rule.add(machine, count)
            self._launch_on(machine, count)
            started += count
            if started < budget and not tasks_that_fit(machine, resources):
                fitting = [other for other in fitting if other is not machine]
        return started

    def launch_draining_last(
        self, allowed: list[Machine], fitting: list[Machine], budget: int, draining: set[str]
    ) -> int:
        """Launch as :meth:`launch` does, on ``draining`` machines only what fits on no other."""
        last = [machine for machine in fitting if machine.name in draining]
        fitting = [machine for machine in fitting if machine.name not in draining]
        allowed = [machine for machine in allowed if machine.name not in draining]
        started = self.launch(allowed, fitting, budget)
        return started + self.launch(last, last, budget - started)

    def _launch_on(self, machine: Machine, count: int) -> None:
        shard, job_slice = self.shard, self.job_slice
        for _ in range(count):
            shard.launch(machine, job_slice, job_slice.pending.pop(), shard.new_attempt())
