"""Launches of the pending tasks of one slice, within its team's quota and the fleet's plan."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.array_placement import (
    ArrayConstraints,
    CandidateMachines,
    place_array,
)
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.gang_placement import place_gang
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: the users' rules: every job, also the largest, is to start within this time
MAX_START_DELAY_S = 240.0
#: time after which a slice of which nothing runs may use machines that are reserved for expected
#: gangs; after twice as long, also those that are reserved for gangs that wait
RESERVATION_LIMIT_S = MAX_START_DELAY_S / 8
#: weight of the wait for the image in the choice of a machine for guaranteed jobs
GUARANTEED_FETCH_WEIGHT = 3.0


class ReservedQuota(dict[str, list[int]]):
    """Team -> cpus and gpus in fixed point that are reserved for gangs ahead in the queue."""

    def reserve(self, gang: JobSlice) -> None:
        """Leave the quota for a gang's pending tasks to the gang."""
        amounts = self.setdefault(gang.spec.team, [0, 0])
        amounts[0] += gang.pending.count * gang.resources[0]
        amounts[1] += gang.pending.count * gang.resources[1]


class SlicePlacement:
    """Places slices of the shards that one node leads."""

    def __init__(
        self,
        context: NodeContext,
        quotas: EffectiveQuotas,
        failures: FailureAttribution,
        guarantees: Guarantees,
        fleet_plan: FleetPlan,
        preemption: Preemption,
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._failures = failures
        self._guarantees = guarantees
        self._fleet_plan = fleet_plan
        self._preemption = preemption

    def is_deferred(self, job_slice: JobSlice) -> bool:
        """Whether a slice may start nothing now, whatever capacity is free."""
        return job_slice.is_unreconciled or self._failures.is_backing_off(
            job_slice.spec.id, self._context.now
        )

    # --- quota -----------------------------------------------------------------------------

    def available_quota(
        self, shard: Shard, job_slice: JobSlice, reserved: ReservedQuota
    ) -> tuple[int, int]:
        """Cpus and gpus of its team's quota that are not reserved for gangs ahead of a slice."""
        quota = self._quotas.quota(shard, job_slice.spec.team)
        amounts = reserved.get(job_slice.spec.team)
        return quota if amounts is None else (quota[0] - amounts[0], quota[1] - amounts[1])

    def has_quota_for_one(self, shard: Shard, job_slice: JobSlice, reserved: ReservedQuota) -> bool:
        """Whether one more of the slice's tasks fits into its team's quota."""
        quota = self.available_quota(shard, job_slice, reserved)
        used = shard.usage(job_slice.spec.team)
        resources = job_slice.resources
        return used[0] + resources[0] <= quota[0] and used[1] + resources[1] <= quota[1]

    def pending_cpus_within_quota(
        self, shard: Shard, job_slice: JobSlice, reserved: ReservedQuota
    ) -> int:
        """Cpus in fixed point that a slice's pending tasks take, as far as the quota allows."""
        quota = self.available_quota(shard, job_slice, reserved)
        free_cpus = quota[0] - shard.usage(job_slice.spec.team)[0]
        return max(0, min(free_cpus, job_slice.pending.count * job_slice.resources[0]))

    # --- arrays ----------------------------------------------------------------------------

    def place_array(
        self,
        shard: Shard,
        job_slice: JobSlice,
        candidates: CandidateMachines,
        reserved: ReservedQuota,
        max_tasks: int | None = None,
    ) -> int:
        """Launch pending tasks of an array, up to ``max_tasks`` if given; return how many."""
        job = job_slice.spec.id
        if max_tasks is None:
            max_tasks = job_slice.pending.count
        if self._failures.is_quarantined(job):
            if job_slice.placed_on:
                return 0
            # It tries with one task at a time.
            max_tasks = min(max_tasks, 1)
        excluded: Collection[str] = self._fleet_plan.reserved_machines.keys()
        waited_s = self._context.now - job_slice.pending_since
        if excluded and not job_slice.placed_on and waited_s > RESERVATION_LIMIT_S:
            excluded = self._machines_reserved_after(waited_s)
            if not self._has_unreserved_machine(candidates.free, job_slice.resources[0]):
                # One task is enough to start; the rest leaves the gang its machines.
                max_tasks = min(max_tasks, 1)
        avoided = self._failures.avoided_machines(job, self._context.now)
        constraints = ArrayConstraints(
            quota=self.available_quota(shard, job_slice, reserved),
            max_tasks=max_tasks,
            excluded_machines=avoided.union(excluded) if avoided else excluded,
            draining_machines=self._fleet_plan.draining_machines,
            fetch_weight=GUARANTEED_FETCH_WEIGHT if job in self._guarantees.jobs else 1.0,
        )
        return place_array(shard, job_slice, candidates, constraints, self._context.rng)

    def _machines_reserved_after(self, waited_s: float) -> set[str]:
        """Machines that a slice leaves to gangs although it has waited for some time."""
        if waited_s > 2 * RESERVATION_LIMIT_S:
            return set()
        return {name for name, job in self._fleet_plan.reserved_machines.items() if job}

    def _has_unreserved_machine(self, machines: list[Machine], cpus: int) -> bool:
        """Whether a machine that is reserved for no gang has so many cpus free."""
        reserved = self._fleet_plan.reserved_machines
        return any(machine.name not in reserved and machine.free[0] >= cpus for machine in machines)

    # --- gangs -----------------------------------------------------------------------------

    def place_gang(
        self,
        shard: Shard,
        gang: JobSlice,
        reserved: ReservedQuota,
        free: list[Machine] | None = None,
    ) -> bool:
        """Launch a gang whole, if it fits; return whether it was launched.

        It is placed on ``free`` machines and those that are claimed for it, or else on any.
        """
        job, cpus = gang.spec.id, gang.resources[0]
        machines: Iterable[Machine] = shard.machines.values() if free is None else free
        avoided = self._failures.avoided_machines(job, self._context.now)
        options = [
            machine
            for machine in machines
            if machine.free[0] >= cpus and machine.name not in avoided
        ]
        if free is not None:
            options += [
                machine
                for machine in self._preemption.machines_claimed_for(shard, job)
                if machine not in options
            ]
        is_launched = place_gang(
            shard,
            gang,
            self.available_quota(shard, gang, reserved),
            options,
            self._preemption.is_claimed,
            self._context.now,
        )
        if is_launched:
            self._log_start(shard, gang)
        return is_launched

    def _log_start(self, shard: Shard, gang: JobSlice) -> None:
        waited_s = self._context.wall_time - gang.startable_since
        self._context.log(
            "info",
            f"shard {shard.shard_id} starts {gang.spec.id}: gang of {gang.spec.job_class},"
            f" {waited_s:.1f} s after it could start",
        )
