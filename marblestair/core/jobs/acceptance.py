"""Acceptance of jobs: what can never run is refused, the rest is cut into slices and recorded.

A job is accepted by the commit of its record, guarded on the absence of both its record and its
final state. So an id is accepted once, whoever is asked and however often.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core.domain.jobs import JobKind, JobSpec, JobState
from marblestair.core.jobs.admission import AdmissionStage
from marblestair.core.jobs.answers import UNKNOWN, JobStatus
from marblestair.core.jobs.parents import Parents, ParentsState, look_up_parents
from marblestair.core.leadership import shard_map
from marblestair.core.runtime.coroutines import Step
from marblestair.core.runtime.store_requests import CompareAndSwap, Lane, Put, StoreResponse
from marblestair.core.scheduling.placement import gang_fits
from marblestair.core.scheduling.quota import rejection_reason
from marblestair.core.scheduling.slice_migration import reserve_capacity
from marblestair.core.state import keys
from marblestair.core.state.records import DESCRIPTION_SHARE, JobRecord, exceeds_value_limit

if TYPE_CHECKING:
    from marblestair.core.controller import Controller
    from marblestair.core.runtime.outbox import ShardSummary

#: time for which what an owner told of its part is recent enough to accept jobs into it
SUMMARY_FRESH_S = 4.0
#: submissions under way at once: as many as a node's changes accept within this time
ADMITTED_S = 0.75
#: commits tried for one submission
MOST_TRIES = 3
#: seconds after which a user who was refused for now may come back: usually, without a part to
#: accept into, and when the state service refuses the record itself
RETRY_S, NO_PART_RETRY_S, REFUSED_RETRY_S = 1, 2, 5
#: awaited jobs named in a log line
LOGGED_PARENTS = 8


class Outcome(msgspec.Struct, frozen=True):
    """What a user's request is answered with."""

    http_status: int
    status: JobStatus = UNKNOWN
    error: str = ""
    retry_after_s: int = 0


class Acceptance:
    """Submissions at one node."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        state = controller.settings.cluster.state
        # Half of a node's changes are for other things, but submissions come first.
        changes_per_s = state.write_rps / len(controller.settings.nodes)
        self._stage = AdmissionStage(
            max(2, round(ADMITTED_S * changes_per_s)), max(1.0, changes_per_s / 2)
        )

    def submit(self, spec: JobSpec) -> Step:
        """Accept or refuse a job, or tell the state of one that is known; an Outcome."""
        controller = self._controller
        if spec.id in controller.answers.final_states or spec.id in controller.view.jobs:
            return (yield from self._known(spec.id))
        if not controller.machine_types:
            return Outcome(503, UNKNOWN, "machine types are not known yet", RETRY_S)
        reason = self._refusal(spec)
        if reason is not None:
            return (yield from self._refused(spec, reason))
        if spec.depends_on:
            return (yield from self._submit_waiting(spec))
        return (yield from self._admit(spec))

    def _submit_waiting(self, spec: JobSpec) -> Step:
        """Accept or refuse a job that awaits others."""
        found: Parents = yield from look_up_parents(self._controller, spec.depends_on)
        if found.state is ParentsState.UNDECIDED:
            return Outcome(503, UNKNOWN, f"nothing known of {found.deciding} yet", RETRY_S)
        if found.state is ParentsState.UNKNOWN:
            reason = f"it awaits {found.deciding}, which was never accepted"
            return (yield from self._refused(spec, reason))
        # What is done stays done: only the others need be remembered.
        awaiting = msgspec.structs.replace(spec, depends_on=found.unfinished)
        if found.state is ParentsState.CANCELLED:
            return (yield from self._accept_cancelled(awaiting, found.deciding))
        if self._is_too_large(awaiting):
            # Fewer are left to await before long.
            error = "it awaits more unfinished jobs than can be kept"
            return Outcome(503, UNKNOWN, error, REFUSED_RETRY_S)
        return (yield from self._admit(awaiting))

    def _admit(self, spec: JobSpec) -> Step:
        """Accept a job if the stage of commits has a place for it."""
        manager = self._manager_part()
        if manager is None:
            return Outcome(503, UNKNOWN, "no part to accept into", NO_PART_RETRY_S)
        if not self._stage.enter():
            return Outcome(429, UNKNOWN, "too many submissions", self._stage.retry_after())
        try:
            return (yield from self._accept(spec, manager))
        finally:
            self._stage.leave()

    def _known(self, job: str) -> Step:
        status: JobStatus | None = yield from self._controller.answers.lookup(job)
        if status is None or status == UNKNOWN:
            return Outcome(503, UNKNOWN, "state not available", RETRY_S)
        return Outcome(200, status)

    def _refusal(self, spec: JobSpec) -> str | None:
        """Why a job can never run; None if it can."""
        controller = self._controller
        reason = rejection_reason(spec, controller.teams, list(controller.machine_types.values()))
        if reason is not None:
            return reason
        if self._is_too_large(msgspec.structs.replace(spec, depends_on=[])):
            return "the description is larger than what can be kept"
        return None

    def _is_too_large(self, spec: JobSpec) -> bool:
        value_kb = self._controller.settings.cluster.state.value_kb
        return exceeds_value_limit(JobRecord(spec, 0, {}, []), value_kb, DESCRIPTION_SHARE)

    def _refused(self, spec: JobSpec, reason: str) -> Step:
        """Refuse a job for good, unless it was accepted before: then it is known."""
        status: JobStatus | None = yield from self._controller.answers.lookup(spec.id)
        if status is None:
            return Outcome(503, UNKNOWN, "state service unavailable", RETRY_S)
        if status != UNKNOWN:
            return Outcome(200, status)
        self._controller.log(
            "info", f"refused {spec.id} of {spec.job_class} for {spec.team}: {reason}"
        )
        return Outcome(422, UNKNOWN, reason)

    def _manager_part(self) -> int | None:
        """Choose the part whose owner is to run a new job's ServerManager.

        It is one that this node acts for or, where it has none, one whose owner was heard
        just now. A job is accepted by the commit of its record, which needs no authority
        over the part; its owner finds the record by its watch.
        """
        controller = self._controller
        record = controller.view.shard_map
        numbers = [shard.shard_id for shard in controller.led_shards()]
        if (
            not numbers
            and controller.leadership.is_authorized(controller.now)
            and record is not None
        ):
            numbers = [i for i, shard in enumerate(record.shards) if self._is_heard(i, shard.term)]
        return numbers[controller.rng.randrange(len(numbers))] if numbers else None

    def _is_heard(self, number: int, term: int) -> bool:
        """Whether a part's present owner has told of it within the last seconds."""
        told_at, summary = self._controller.shard_summaries.get(number, (-1e9, None))
        fresh = self._controller.now - told_at <= SUMMARY_FRESH_S
        return summary is not None and fresh and summary.term == term

    def _accept(self, spec: JobSpec, manager: int) -> Step:
        controller = self._controller
        dated = msgspec.structs.replace(spec, accepted_at=round(controller.wall_time, 3))
        record = JobRecord(dated, manager, self._assign(spec, manager), [])
        key = keys.JOBS + spec.id
        for _ in range(MOST_TRIES):
            if not controller.leadership.is_authorized(controller.now):
                return Outcome(503, UNKNOWN, "no authority", RETRY_S)
            guards = [(key, 0), (keys.FINALS + spec.id, 0), controller.fence_precondition(manager)]
            commit = CompareAndSwap(guards, [Put(key, record)], [], Lane.ACCEPTANCE)
            response: StoreResponse = yield commit
            if response.status == 200:
                controller.view.record_commit(commit, response.revision)
                controller.sync()
                controller.job_managers.announce_record(spec.id)
                self._log_accepted(spec, record)
                return Outcome(201, JobStatus(JobState.QUEUED, 0, 0))
            if response.status == 400:
                return Outcome(503, UNKNOWN, "not accepted", REFUSED_RETRY_S)
            if response.status not in (0, 409):
                break
            # Perhaps an earlier try of ours, or of the user by way of another node.
            status: JobStatus | None = yield from controller.answers.read_status(spec.id)
            if status is None:
                break
            if status != UNKNOWN:
                return Outcome(200, status)
        return Outcome(503, UNKNOWN, "state service unavailable", RETRY_S)

    def _accept_cancelled(self, spec: JobSpec, parent: str) -> Step:
        """Accept a job that awaits a cancelled one: it is over from the start."""
        controller = self._controller
        if not controller.leadership.is_authorized(controller.now):
            return Outcome(503, UNKNOWN, "no authority", RETRY_S)
        final_key = keys.FINALS + spec.id
        guards = [(keys.JOBS + spec.id, 0), (final_key, 0)]
        commit = CompareAndSwap(guards, [Put(final_key, JobState.CANCELLED)], [], Lane.ACCEPTANCE)
        response: StoreResponse = yield commit
        if response.status == 200:
            controller.answers.record_final(spec.id, JobState.CANCELLED)
            controller.log("info", f"accepted {spec.id} as cancelled, like {parent} before it")
            return Outcome(201, JobStatus(JobState.CANCELLED))
        if response.status in (0, 409):
            # Perhaps an earlier try of ours, or of the user by way of another node.
            status: JobStatus | None = yield from controller.answers.read_status(spec.id)
            if status is not None and status != UNKNOWN:
                return Outcome(200, status)
        return Outcome(503, UNKNOWN, "not accepted yet", RETRY_S)

    def _log_accepted(self, spec: JobSpec, record: JobRecord) -> None:
        sizes = {
            part: sum(end - start for start, end in ranges)
            for part, ranges in record.slices.items()
        }
        guaranteed = spec.id in self._controller.guaranteed_jobs
        self._controller.log(
            "info",
            f"accepted {spec.id}: {spec.kind} of {spec.job_class} for {spec.team}, tasks by part"
            f" {sizes}{', within its guarantee' if guaranteed else ''}{_awaiting(spec)}",
        )

    # --- slices ----------------------------------------------------------------------------

    def _assign(self, spec: JobSpec, manager: int) -> dict[str, list[list[int]]]:
        """Which part gets which slice at first; unstarted ones can migrate later."""
        load = self._load_by_part(manager)
        able = self._parts_with_share(spec, load) or [manager]
        whole = spec.kind == JobKind.GANG or spec.single_zone or spec.spread_zones
        if whole or spec.task_count < 2 * len(able):
            shard_id = self._part_for_whole(spec, able, load, manager)
            return {str(shard_id): [[0, spec.task_count]]}
        slices: dict[str, list[list[int]]] = {}
        start = 0
        for shard_id, size in zip(
            sorted(able), shard_map.split_evenly(spec.task_count, len(able)), strict=True
        ):
            slices[str(shard_id)] = [[start, start + size]]
            start += size
        return slices

    def _summary(self, shard_id: int) -> ShardSummary | None:
        told = self._controller.shard_summaries.get(shard_id)
        return told[1] if told is not None else None

    def _load_by_part(self, manager: int) -> dict[int, float]:
        """Work that waits, less free room, of the manager's part and those heard lately."""
        record = self._controller.view.shard_map
        assert record is not None
        load: dict[int, float] = {}
        for number, shard in enumerate(record.shards):
            if number != manager and not self._is_heard(number, shard.term):
                continue
            summary = self._summary(number)
            load[number] = 0.0
            if summary is not None:
                load[number] = summary.backlog_cpus - sum(room[3] for room in summary.free_capacity)
        return load

    def _parts_with_share(self, spec: JobSpec, load: dict[int, float]) -> list[int]:
        """Parts whose share of the team's limit holds a task, or the whole gang."""
        record = self._controller.view.shard_map
        assert record is not None
        unit = spec.task_count if spec.kind == JobKind.GANG else 1
        able = []
        for number in load:
            cpus, gpus = record.shards[number].quotas.get(spec.team, [0, 0])
            if cpus >= unit * spec.resources[0] and gpus >= unit * spec.resources[1]:
                able.append(number)
        return able

    def _part_for_whole(
        self, spec: JobSpec, able: list[int], load: dict[int, float], manager: int
    ) -> int:
        """Choose the part for a job that stays one slice: one with room, and of least load."""
        controller = self._controller
        whole = spec.kind == JobKind.GANG or spec.single_zone or spec.spread_zones
        count = spec.task_count if whole else 1
        told = {
            shard_id: summary
            for shard_id in able
            if (summary := self._summary(shard_id)) is not None
        }
        fitting = [
            p
            for p, summary in told.items()
            if gang_fits(spec, spec.resources, summary.free_capacity, count)
        ]
        if not fitting and controller.fleet.arrivals.is_latency_sensitive(spec):
            # Else where it may stop what runs there.
            fitting = [
                shard_id
                for shard_id, summary in told.items()
                if gang_fits(
                    spec,
                    spec.resources,
                    summary.free_capacity + summary.preemptible_capacity,
                    count,
                )
            ]
        candidates = fitting or able
        best = min(candidates, key=lambda shard_id: (load[shard_id], shard_id != manager, shard_id))
        if best in told and spec.kind == JobKind.GANG:
            # Several that come at once are not all sent to the same machine.
            reserve_capacity(told[best], spec, count)
        return best


def _awaiting(spec: JobSpec) -> str:
    """What a job waits for, for the log."""
    if not spec.depends_on:
        return ""
    more = ", ..." if len(spec.depends_on) > LOGGED_PARENTS else ""
    return f", waits for {', '.join(spec.depends_on[:LOGGED_PARENTS])}{more}"
