"""Preemption: stops other tasks so that a latency-sensitive gang can start.

The gang gets a claim on each machine that is cleared for it. The claims keep arrays from using
freed capacity while other tasks are still being stopped, and keep two gangs from waiting for the
same machine.
"""

from __future__ import annotations

import math
from collections import Counter

import msgspec

from marblestair.core.domain.jobs import PRIORITY_RANKS
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.placement import FreeCapacity, may_run_on_machine, tasks_that_fit
from marblestair.core.scheduling.preemption_survey import (
    PreemptionSurvey,
    count_fitting_tasks,
    free_after_removal,
    preemptible_tasks,
)
from marblestair.core.scheduling.zone_rule import max_tasks_per_zone
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine, PlacedTask, StopReason
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: time after which a claim expires even if its gang has not started, in heartbeat intervals
CLAIM_TTL_INTERVALS = 6.0
#: number of times in a row that a gang's claims may expire before the gang has started; the gang
#: then makes no claims for as long as a claim lasts, so that other work gets the cleared machines
MAX_EXPIRED_ROUNDS = 2


class Claim(msgspec.Struct):
    """A gang's claim on a machine that is being cleared for it."""

    job: str
    #: monotonic time in seconds
    expires_at: float


class _ExpiredClaims(msgspec.Struct):
    """How often the claims of a gang that is still pending have expired."""

    rounds: int = 0
    #: monotonic time of the latest expiry
    latest_at: float = -math.inf
    #: monotonic time until which the gang makes no claims
    paused_until: float = -math.inf


class _ClearedMachine(msgspec.Struct):
    """A machine chosen for a gang, and the tasks to stop on it."""

    machine: Machine
    victims: list[PlacedTask]


class _PreemptionPlan(msgspec.Struct):
    """The machines chosen for a gang, and the tasks to stop so that it can start."""

    machines: list[_ClearedMachine]
    #: tasks of the gang's own team that are stopped to free quota
    quota_victims: list[PlacedTask]


class _CandidateMachine(msgspec.Struct):
    """A machine that a gang could use, and the work that preemption there would lose."""

    #: cpu seconds lost on the machine per task of the gang that fits there, in fixed point
    lost_work: float
    machine: Machine


class Preemption:
    """Chooses the tasks to preempt in one node's shards, and holds the claims on machines."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        arrivals: Arrivals,
        fleet_plan: FleetPlan,
        failures: FailureAttribution,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._arrivals = arrivals
        self._fleet_plan = fleet_plan
        self._failures = failures
        #: machine -> its claim
        self.claims: dict[str, Claim] = {}
        #: gang -> its expired claims
        self._expired: dict[str, _ExpiredClaims] = {}

    # --- claims ----------------------------------------------------------------------------

    def is_claimed(self, machine: Machine, job: str = "") -> bool:
        """Whether a machine is claimed by a job other than ``job``.

        If the machine has no claim: whether the fleet plan reserves the machine for a live job
        other than ``job``.
        """
        claim = self.claims.get(machine.name)
        if claim is not None:
            return claim.job != job
        reserved_for = self._fleet_plan.reserved_machines.get(machine.name, "")
        return reserved_for not in ("", job) and reserved_for in self._view.jobs

    def machines_claimed_for(self, shard: Shard, job: str) -> list[Machine]:
        """Return the machines of a shard that a job claims."""
        names = [name for name, claim in self.claims.items() if claim.job == job]
        return [shard.machines[name] for name in names if name in shard.machines]

    def expire_claims(self) -> None:
        """Remove claims that have expired, and those of jobs that have started or ended.

        Claims are also removed if no shard of this node has both the machine and the gang.
        """
        for name, claim in list(self.claims.items()):
            is_pending = any(
                name in shard.machines and self._is_pending(shard, claim.job)
                for shard in self._leadership.shards.values()
            )
            if not is_pending:
                del self.claims[name]
            elif self._context.now > claim.expires_at:
                del self.claims[name]
                self._record_expiry(claim.job)
        for job in list(self._expired):
            if not any(self._is_pending(shard, job) for shard in self._leadership.shards.values()):
                del self._expired[job]

    def _is_pending(self, shard: Shard, gang: str) -> bool:
        """Whether a shard has a gang without placed tasks."""
        job_slice = shard.slices.get(gang)
        return job_slice is not None and not job_slice.placed_on

    def _record_expiry(self, gang: str) -> None:
        """Count a round of expired claims; all claims of a round expire at the same time."""
        now = self._context.now
        expired = self._expired.setdefault(gang, _ExpiredClaims())
        if expired.latest_at == now:
            return
        expired.latest_at = now
        expired.rounds += 1
        if expired.rounds >= MAX_EXPIRED_ROUNDS:
            expired.rounds = 0
            expired.paused_until = now + self._claim_ttl_s()
            self._context.log(
                "info",
                f"gang {gang} makes no claims for {self._claim_ttl_s():.0f} s:"
                f" its claims expired {MAX_EXPIRED_ROUNDS} times before it could start",
            )

    def _may_claim(self, gang: str) -> bool:
        expired = self._expired.get(gang)
        return expired is None or self._context.now >= expired.paused_until

    def _claim_ttl_s(self) -> float:
        return CLAIM_TTL_INTERVALS * self._context.settings.cluster.workers.report_s

    def _has_claims(self, job: str) -> bool:
        return any(claim.job == job for claim in self.claims.values())

    # --- preemption for gangs --------------------------------------------------------------

    def survey(self, shard: Shard) -> PreemptionSurvey:
        """Create a survey of a shard, for use during one pass over its pending slices."""
        return PreemptionSurvey(shard, self._context.now)

    def can_preempt_for(
        self, shard: Shard, gang: JobSlice, quota: tuple[int, int], survey: PreemptionSurvey
    ) -> bool:
        """Whether a gang has claims, or can get enough machines and quota by preemption.

        Parameters
        ----------
        shard
            The shard that has the gang.
        gang
            The slice that holds all tasks of the gang.
        quota
            Cpus and gpus that the team's tasks may use in the shard, in fixed point.
        survey
            The survey of the shard for the current pass.
        """
        return self._has_claims(gang.spec.id) or self._plan(shard, gang, quota, survey) is not None

    def preempt_for(
        self, shard: Shard, gang: JobSlice, quota: tuple[int, int], survey: PreemptionSurvey
    ) -> bool:
        """Stop other tasks and claim machines for a gang, unless it has claims already.

        The parameters are those of :meth:`can_preempt_for`. Returns whether the gang has claims.
        """
        job = gang.spec.id
        if self._has_claims(job):
            return True
        plan = self._plan(shard, gang, quota, survey)
        if plan is None:
            return False
        shard.stop_tasks(plan.quota_victims, StopReason.PREEMPTED)
        expires_at = self._context.now + self._claim_ttl_s()
        for cleared in plan.machines:
            self.claims[cleared.machine.name] = Claim(job, expires_at)
            shard.stop_tasks(cleared.victims, StopReason.PREEMPTED)
        survey.invalidate_team(gang.spec.team)
        return True

    def _plan(
        self, shard: Shard, gang: JobSlice, quota: tuple[int, int], survey: PreemptionSurvey
    ) -> _PreemptionPlan | None:
        """Choose the tasks to stop for a gang; return None if preemption does not suffice.

        The machines on which the least work would be lost are chosen first. If stopping their tasks
        frees too little cpu quota, more tasks of the gang's own team are chosen.
        """
        if not self._may_claim(gang.spec.id):
            return None
        team, rank = gang.spec.team, PRIORITY_RANKS[gang.spec.priority]
        used_cpus, used_gpus = shard.usage(team)[:2]
        if used_gpus + gang.pending.count * gang.resources[1] > quota[1]:
            # No tasks are stopped to free quota of gpus.
            return None
        needed_cpus = gang.pending.count * gang.resources[0]
        if quota[0] + survey.preemptible_cpus(team, rank) < used_cpus + needed_cpus:
            return None
        machines = self._cheapest_machines(shard, gang, rank, survey)
        if machines is None:
            return None
        victims = [task for cleared in machines for task in cleared.victims]
        # The quota shortfall, less the quota that the victims on the chosen machines free.
        lacking_cpus = needed_cpus - (quota[0] - used_cpus)
        lacking_cpus -= sum(task.resources[0] for task in victims if task.team == team)
        quota_victims = survey.choose_tasks_to_stop(team, rank, lacking_cpus, victims)
        if quota_victims is None:
            return None
        return _PreemptionPlan(machines, quota_victims)

    def _cheapest_machines(
        self, shard: Shard, gang: JobSlice, rank: int, survey: PreemptionSurvey
    ) -> list[_ClearedMachine] | None:
        """Choose machines on which the least work is lost, within the job's zone limits.

        For a job that needs a single zone, the first zone by name that suffices is used. Returns
        None if the gang does not fit on the candidate machines even after preemption.
        """
        candidates = self._candidate_machines(gang, rank, survey)
        candidates.sort(key=lambda candidate: (candidate.lost_work, candidate.machine.name))
        if not gang.spec.single_zone:
            return self._machines_among(candidates, shard, gang, rank)
        for zone in sorted({candidate.machine.zone for candidate in candidates}):
            in_zone = [candidate for candidate in candidates if candidate.machine.zone == zone]
            chosen = self._machines_among(in_zone, shard, gang, rank)
            if chosen is not None:
                return chosen
        return None

    def _machines_among(
        self, candidates: list[_CandidateMachine], shard: Shard, gang: JobSlice, rank: int
    ) -> list[_ClearedMachine] | None:
        """Choose the first machines that hold the gang after preemption; None if too few do."""
        lacking_tasks = gang.pending.count
        chosen: list[_ClearedMachine] = []
        max_per_zone = max_tasks_per_zone(gang.spec)
        chosen_by_zone: Counter[str] = Counter()
        for candidate in candidates:
            if lacking_tasks <= 0:
                break
            # The tasks that fit are counted again, since tasks may have been placed or stopped on
            # the machine after the survey.
            machine = candidate.machine
            victims: list[PlacedTask] = []
            fits = tasks_that_fit(machine, gang.resources)
            if not fits:
                if _has_stopping_tasks(machine):
                    continue
                victims = preemptible_tasks(shard, machine, rank)
                fits = count_fitting_tasks(free_after_removal(machine, victims), gang.resources)
            fits = min(fits, max_per_zone - chosen_by_zone[machine.zone])
            if fits > 0:
                chosen.append(_ClearedMachine(machine, victims))
                chosen_by_zone[machine.zone] += fits
                lacking_tasks -= fits
        return chosen if lacking_tasks <= 0 else None

    def _candidate_machines(
        self, gang: JobSlice, rank: int, survey: PreemptionSurvey
    ) -> list[_CandidateMachine]:
        """Return the machines that a gang could use according to the survey."""
        candidates: list[_CandidateMachine] = []
        spec, resources = gang.spec, gang.resources
        avoided = self._failures.avoided_machines(spec.id, self._context.now)
        for surveyed in survey.machines(rank):
            machine = surveyed.machine
            if (
                surveyed.free_after[0] < resources[0]
                or machine.name in avoided
                or self.is_claimed(machine, spec.id)
                or not may_run_on_machine(spec, machine)
            ):
                continue
            if tasks_that_fit(machine, resources):
                candidates.append(_CandidateMachine(0.0, machine))
            elif fits := count_fitting_tasks(surveyed.free_after, resources):
                candidates.append(_CandidateMachine(surveyed.lost_work / fits, machine))
        return candidates

    # --- summaries -------------------------------------------------------------------------

    def preemptible_capacity(self, shard: Shard) -> list[FreeCapacity]:
        """Return the free capacity that machines would have after preemption.

        All tasks that may be preempted by the expected latency-sensitive gangs of the highest
        priority are assumed to be stopped. Only machines that have such tasks, and would then have
        room for a task of an expected gang, are included. Machines that are claimed or have tasks
        being stopped are not. The amounts include what is free already.
        """
        specs = [
            gangs.spec
            for gangs in self._arrivals.expected_gangs.values()
            if gangs.is_latency_sensitive
        ]
        if not specs:
            return []
        rank = max(PRIORITY_RANKS[spec.priority] for spec in specs)
        capacities: list[FreeCapacity] = []
        for machine in shard.machines.values():
            if (
                not machine.tasks
                or not machine.is_usable(self._context.now)
                or self.is_claimed(machine)
                or not any(may_run_on_machine(spec, machine) for spec in specs)
            ):
                continue
            victims = preemptible_tasks(shard, machine, rank)
            if not victims or _has_stopping_tasks(machine):
                continue
            free = free_after_removal(machine, victims)
            if any(
                all(amount >= x for amount, x in zip(free, spec.resources, strict=True))
                for spec in specs
            ):
                cpus, gpus, memory = free
                capacities.append(
                    (machine.type_name, machine.zone, machine.spot, cpus, gpus, memory)
                )
        return capacities


def _has_stopping_tasks(machine: Machine) -> bool:
    """Whether any task on a machine is being stopped."""
    return any(task.stop_grace_s is not None for task in machine.tasks.values())
