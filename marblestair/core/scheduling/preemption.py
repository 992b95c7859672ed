"""Preemption: stops other tasks so that a latency-sensitive gang can start.

The gang claims each machine that is cleared for it (``GangClaims``).
"""

from __future__ import annotations

from collections import Counter

import msgspec

from marblestair.core.domain.jobs import PRIORITY_RANKS
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.gang_claims import GangClaims
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
    """Chooses the tasks to preempt in one node's shards."""

    def __init__(
        self,
        context: NodeContext,
        arrivals: Arrivals,
        failures: FailureAttribution,
        claims: GangClaims,
    ) -> None:
        self._context = context
        self._arrivals = arrivals
        self._failures = failures
        self._claims = claims

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
        return (
            self._claims.has_claims(gang.spec.id)
            or self._plan(shard, gang, quota, survey) is not None
        )

    def preempt_for(
        self, shard: Shard, gang: JobSlice, quota: tuple[int, int], survey: PreemptionSurvey
    ) -> bool:
        """Stop other tasks and claim machines for a gang, unless it has claims already.

        The parameters are those of :meth:`can_preempt_for`. Returns whether the gang has claims.
        """
        job = gang.spec.id
        if self._claims.has_claims(job):
            return True
        plan = self._plan(shard, gang, quota, survey)
        if plan is None:
            return False
        shard.stop_tasks(plan.quota_victims, StopReason.PREEMPTED)
        self._claims.claim(job, [cleared.machine for cleared in plan.machines])
        for cleared in plan.machines:
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
        if not self._claims.may_claim(gang.spec.id):
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
                or self._claims.is_claimed(machine, spec.id)
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
                or self._claims.is_claimed(machine)
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
