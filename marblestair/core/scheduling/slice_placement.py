"""Launches of a slice's pending tasks, within its team's quota and the fleet plan."""

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
from marblestair.core.scheduling.gang_claims import GangClaims
from marblestair.core.scheduling.gang_placement import place_gang
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.quota_precedence import QuotaPrecedence
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: maximum time within which, as the users require, every job must start, even the largest
MAX_START_DELAY_S = 240.0
#: maximum time for which an array without placed tasks is kept off machines that are reserved for
#: expected gangs; for pending gangs, the fleet plan bounds the reservations itself
MAX_RESERVATION_WAIT_S = MAX_START_DELAY_S / 8
#: weight of the image fetch time when a machine is chosen for a guaranteed array; 1 for others
GUARANTEED_FETCH_WEIGHT = 3.0


class ReservedQuota(dict[str, list[int]]):
    """Quota reserved for gangs ahead in the queue: team -> cpus and gpus, in fixed point."""

    def reserve(self, gang: JobSlice) -> None:
        """Reserve the quota that a gang's pending tasks need."""
        amounts = self.setdefault(gang.spec.team, [0, 0])
        amounts[0] += gang.pending.count * gang.resources[0]
        amounts[1] += gang.pending.count * gang.resources[1]


class SlicePlacement:
    """Places tasks of the slices in the shards that one node leads."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        quotas: EffectiveQuotas,
        failures: FailureAttribution,
        guarantees: Guarantees,
        fleet_plan: FleetPlan,
        claims: GangClaims,
        precedence: QuotaPrecedence,
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._failures = failures
        self._guarantees = guarantees
        self._fleet_plan = fleet_plan
        self._claims = claims
        self._precedence = precedence

    def is_deferred(self, job_slice: JobSlice) -> bool:
        """Whether a slice is deferred: it is not reconciled yet, or its job is backing off."""
        return job_slice.is_unreconciled or self._failures.is_backing_off(
            job_slice.spec.id, self._context.now
        )

    # --- quota -----------------------------------------------------------------------------

    def available_quota(
        self, shard: Shard, job_slice: JobSlice, reserved: ReservedQuota
    ) -> tuple[int, int]:
        """Return the quota of a slice's team less what gangs ahead in the queue have reserved.

        The amounts are cpus and gpus in fixed point, and include what the team's tasks already use.
        They are no more than that if the slice must yield to an older job in another shard.
        """
        quota = self._quotas.quota(shard, job_slice.spec.team)
        if self._precedence.must_yield(shard, job_slice):
            used = shard.usage(job_slice.spec.team)
            quota = min(quota[0], used[0]), min(quota[1], used[1])
        amounts = reserved.get(job_slice.spec.team)
        return quota if amounts is None else (quota[0] - amounts[0], quota[1] - amounts[1])

    def has_quota_for_one(self, shard: Shard, job_slice: JobSlice, reserved: ReservedQuota) -> bool:
        """Whether one more task of a slice fits into its team's available quota."""
        quota = self.available_quota(shard, job_slice, reserved)
        used = shard.usage(job_slice.spec.team)
        resources = job_slice.resources
        return used[0] + resources[0] <= quota[0] and used[1] + resources[1] <= quota[1]

    def reserve_quota(self, gang: JobSlice, reserved: ReservedQuota) -> None:
        """Reserve the quota of a pending gang, unless the fleet plan keeps nothing for it now."""
        if self._fleet_plan.keeps_quota_for(gang.spec.id):
            reserved.reserve(gang)

    def pending_cpus_within_quota(
        self, shard: Shard, job_slice: JobSlice, reserved: ReservedQuota
    ) -> int:
        """Return the cpus of a slice's pending tasks, up to the unused quota, in fixed point."""
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
        """Launch pending tasks of an array, ``max_tasks`` at most; return the number launched."""
        job = job_slice.spec.id
        if max_tasks is None:
            max_tasks = job_slice.pending.count
        if self._failures.is_quarantined(job):
            if job_slice.placed_on:
                return 0
            # A quarantined job retries with one task at a time.
            max_tasks = min(max_tasks, 1)
        excluded: Collection[str] = self._fleet_plan.reserved_machines.keys()
        waited_s = self._context.now - job_slice.pending_since
        if excluded and not job_slice.placed_on and waited_s > MAX_RESERVATION_WAIT_S:
            excluded = self._reserved_for_pending()
            if not self._has_unreserved_machine(candidates.free, job_slice.resources[0]):
                # One task is enough for the job to start; gangs keep their other reserved machines.
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

    def _reserved_for_pending(self) -> set[str]:
        """Return the machines that are reserved for pending gangs, not for expected ones."""
        return {name for name, job in self._fleet_plan.reserved_machines.items() if job}

    def _has_unreserved_machine(self, machines: list[Machine], cpus: int) -> bool:
        """Whether any machine that is not reserved for a gang has this many cpus free."""
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
        """Launch all tasks of a gang if they fit; return whether they were launched.

        The gang is placed on machines of the list ``free`` and on those claimed for the gang, or,
        if ``free`` is None, on any machines of the shard.
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
                for machine in self._claims.machines_claimed_for(shard, job)
                if machine not in options
            ]
        is_launched = place_gang(
            shard,
            gang,
            self.available_quota(shard, gang, reserved),
            options,
            self._claims.is_claimed,
            self._context.now,
        )
        if is_launched:
            self._log_launch(shard, gang)
        return is_launched

    def _log_launch(self, shard: Shard, gang: JobSlice) -> None:
        waited_s = self._context.wall_time - gang.startable_since
        self._context.log(
            "info",
            f"shard {shard.shard_id} launched gang {gang.spec.id}:"
            f" class={gang.spec.job_class} waited_s={waited_s:.1f}",
        )
