"""What the leaders of slices report to the managers of their jobs."""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.messages import ProgressReport, SliceProgress
from marblestair.core.runtime.context import NodeContext
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: an unchanged report of a slice is repeated after this time
REPEAT_S = 2.0
#: reports remembered as sent, for each live job and in addition
MOST_SENT_PER_JOB, MOST_SENT = 4, 200
#: tasks on machines, where that is not known
NOT_KNOWN = -1


class SentReport(NamedTuple):
    """A report that was sent to a manager elsewhere."""

    sent_at: float
    progress: SliceProgress


class ProgressReports:
    """The reports that one node sends as leader of slices, and receives as manager of jobs."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        managed_jobs: dict[str, ManagedJob],
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._managed_jobs = managed_jobs
        #: shard and job -> the latest report to a manager elsewhere
        self._sent: dict[tuple[int, str], SentReport] = {}

    def forget_sent(self) -> None:
        """Managers may have moved: report all slices again."""
        self._sent.clear()

    def receive(self, report: ProgressReport) -> None:
        """The leader of a shard reports its slices."""
        for progress in report.slices:
            self._record(progress)

    def _record(self, progress: SliceProgress) -> None:
        shard_map = self._view.shard_map
        managed = self._managed_jobs.get(progress.job)
        if managed is None or shard_map is None:
            return
        if not 0 <= progress.shard_id < len(shard_map.shards):
            return
        # Only the present leader's report counts: an earlier leader's count may include tasks that
        # have since moved to another shard.
        if shard_map.shards[progress.shard_id].term == progress.term:
            managed.progress_by_shard[progress.shard_id] = progress

    def send(self, led_shards: list[Shard]) -> None:
        """Report the slices of the shards here, each to its job's manager, when they changed."""
        reports: dict[str, list[SliceProgress]] = {}
        for shard in led_shards:
            for job, job_slice in shard.slices.items():
                record = self._view.jobs.get(job)
                if record is None:
                    continue
                progress = slice_progress(shard, job_slice)
                manager = self._leadership.leader_of(record.manager_shard)
                if manager == self._context.node:
                    self._record_if_changed(shard, job, progress)
                elif manager is not None and self._is_due(shard, job, progress):
                    self._sent[(shard.shard_id, job)] = SentReport(self._context.now, progress)
                    reports.setdefault(manager, []).append(progress)
        for node, slices in reports.items():
            self._context.send(node, ProgressReport(slices))
        if len(self._sent) > MOST_SENT_PER_JOB * len(self._view.jobs) + MOST_SENT:
            self._sent.clear()

    def _record_if_changed(self, shard: Shard, job: str, progress: SliceProgress) -> None:
        managed = self._managed_jobs.get(job)
        if managed is None or managed.progress_by_shard.get(shard.shard_id) != progress:
            self._record(progress)

    def _is_due(self, shard: Shard, job: str, progress: SliceProgress) -> bool:
        """Whether a slice has to be reported to a manager elsewhere now."""
        sent = self._sent.get((shard.shard_id, job))
        if sent is None:
            return True
        return sent.progress != progress or self._context.now - sent.sent_at > REPEAT_S


def slice_progress(shard: Shard, job_slice: JobSlice) -> SliceProgress:
    """What is to be reported of a slice."""
    is_unknown = job_slice.is_unreconciled or bool(shard.unreconciled_machines)
    return SliceProgress(
        job=job_slice.spec.id,
        shard_id=shard.shard_id,
        term=shard.term,
        done=job_slice.done_count,
        running=job_slice.running_count,
        placed_tasks=NOT_KNOWN if is_unknown else len(job_slice.placed_on),
        size=job_slice.size,
        is_cancelled=job_slice.is_cancelled,
    )
