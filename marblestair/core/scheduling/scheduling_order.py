"""The order in which the pending slices of a shard are scheduled."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from marblestair.core.domain.jobs import PRIORITY_RANKS, JobSpec, Priority
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard

#: penalties of a job; jobs are ordered by the sum of their penalties first, smallest sum first
QUARANTINED_PENALTY = 8
BEST_EFFORT_PENALTY = 4
OVERDUE_PENALTY = 2
INFEASIBLE_PENALTY = 1
#: maximum expected delay past a job's deadline before the job counts as overdue, as a share of the
#: time from acceptance to the deadline
OVERDUE_TOLERANCE_SHARE = 0.5
#: slack of a job without a deadline at the time when it becomes startable
NO_DEADLINE_SLACK_S = 120.0

#: sort key of a job: sum of the penalties; 0 if the job is guaranteed or of at least high priority,
#: else 1; negative rank of the priority; slack in seconds; job id. The key is a plain tuple, since
#: one is built for each sorted slice and a NamedTuple would cost one more call each time.
PriorityKey: TypeAlias = tuple[int, int, int, float, str]


def priority_key(  # noqa: PLR0913 - the inputs of the key
    spec: JobSpec,
    *,
    wall_time: float,
    run_time_ratio: float,
    startable_since: float | None = None,
    is_guaranteed: bool = False,
    is_infeasible: bool = False,
    is_quarantined: bool = False,
    is_best_effort: bool = False,
    has_dependents: bool = False,
) -> PriorityKey:
    """Return the sort key of a job; the job with the smallest key is scheduled first.

    Jobs are ordered by their penalties first: infeasible, overdue and best-effort jobs come after
    jobs without a penalty, in this order, and quarantined jobs, which will probably fail, come
    last. Among jobs with the same penalties, guaranteed jobs and those of at least high priority
    come first. Jobs are then ordered by priority, and then by slack. The slack is the time until
    the job's deadline less the job's corrected run time estimate, or, without a deadline,
    ``NO_DEADLINE_SLACK_S`` less the job's age. A job with dependents gets no penalty for its
    deadline. That deadline may be inherited; an inherited deadline only says when a dependent
    should start.

    Parameters
    ----------
    spec
        The job, with its inherited priority and deadline applied.
    wall_time
        Wall-clock time in seconds, plus the seconds by which the operators' policy reduces the
        slack of the job's class.
    run_time_ratio
        Factor that corrects the estimated run time.
    startable_since
        Wall-clock time from which the age counts; by default the time of acceptance.
    is_guaranteed
        Whether the job is within its team's guaranteed quota.
    is_infeasible
        Whether the fleet plan lists the job in ``FleetPlan.infeasible_jobs``.
    is_quarantined, is_best_effort, has_dependents
        Whether the job is quarantined, whether its team has no guaranteed quota, and whether other
        jobs depend on it.
    """
    penalty = QUARANTINED_PENALTY * is_quarantined + BEST_EFFORT_PENALTY * is_best_effort
    if spec.deadline_s is not None:
        slack_s = spec.accepted_at + spec.deadline_s - wall_time
        slack_s -= spec.estimated_run_s * run_time_ratio
        if not has_dependents:
            is_overdue = slack_s + OVERDUE_TOLERANCE_SHARE * spec.deadline_s < 0
            penalty += INFEASIBLE_PENALTY * is_infeasible + OVERDUE_PENALTY * is_overdue
    else:
        age_since = spec.accepted_at if startable_since is None else startable_since
        slack_s = age_since - wall_time + NO_DEADLINE_SLACK_S
    rank = PRIORITY_RANKS[spec.priority]
    is_urgent = is_guaranteed or rank >= PRIORITY_RANKS[Priority.HIGH]
    return (penalty, 0 if is_urgent else 1, -rank, slack_s, spec.id)


def is_pending(shard: Shard, job_slice: JobSlice) -> bool:
    """Whether a slice that was pending at an earlier sort still has pending tasks in a shard."""
    return (
        job_slice.pending.count > 0
        and not job_slice.is_cancelled
        and shard.slices.get(job_slice.spec.id) is job_slice
    )


class _SortedSlices(NamedTuple):
    """The pending slices of a shard, as sorted at a monotonic time."""

    sorted_at: float
    slices: list[JobSlice]


class SchedulingOrder:
    """Sorts the pending slices of the shards that one node leads."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        failures: FailureAttribution,
        run_times: RunTimes,
        guarantees: Guarantees,
        fleet_plan: FleetPlan,
        dependencies: DependencyGraph,
        deadline_offsets_s: dict[str, float],
    ) -> None:
        self._context = context
        self._failures = failures
        self._run_times = run_times
        self._guarantees = guarantees
        self._fleet_plan = fleet_plan
        self._dependencies = dependencies
        #: class -> seconds by which the operators' policy reduces the slack of the class's jobs
        self._deadline_offsets_s = deadline_offsets_s
        #: shard -> the result of its latest sort
        self._latest: dict[int, _SortedSlices] = {}

    def pending_slices(self, shard: Shard) -> list[JobSlice]:
        """Return a shard's slices with pending tasks, in scheduling order.

        The slices are sorted once, and the result is reused for calls at the same monotonic time.
        """
        latest = self._latest.get(shard.shard_id)
        if latest is not None and latest.sorted_at == self._context.now:
            return [job_slice for job_slice in latest.slices if is_pending(shard, job_slice)]
        slices = self._sorted_slices(shard)
        self._latest[shard.shard_id] = _SortedSlices(self._context.now, slices)
        return list(slices)

    def _sorted_slices(self, shard: Shard) -> list[JobSlice]:
        wall_time, teams = self._context.wall_time, self._context.teams
        offsets_s, run_time_ratio = self._deadline_offsets_s, self._run_times.ratio
        guaranteed, infeasible = self._guarantees.jobs, self._fleet_plan.infeasible_jobs
        is_quarantined = self._failures.is_quarantined
        has_dependents = self._dependencies.has_dependents

        def sort_key(job_slice: JobSlice) -> PriorityKey:
            spec = job_slice.spec
            return priority_key(
                spec,
                wall_time=wall_time + offsets_s.get(spec.job_class, 0.0),
                run_time_ratio=run_time_ratio(spec.job_class),
                startable_since=job_slice.startable_since,
                is_guaranteed=spec.id in guaranteed,
                is_infeasible=spec.id in infeasible,
                is_quarantined=is_quarantined(spec.id),
                is_best_effort=teams[spec.team].is_best_effort,
                has_dependents=has_dependents(spec.id),
            )

        slices = [
            job_slice
            for job_slice in shard.slices.values()
            if job_slice.pending.count and not job_slice.is_cancelled
        ]
        slices.sort(key=sort_key)
        return slices
