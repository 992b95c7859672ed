"""Progress reports from the leaders of slices to the managers of the jobs."""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.messages import ProgressReport, SliceProgress
from marblestair.core.runtime.context import NodeContext
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: time after which unchanged progress is sent again to a manager on another node
REPEAT_INTERVAL_S = 2.0
#: maximum number of sent reports kept for comparison: the first number for each live job, plus the
#: second number; if there are more, all sent reports are dropped
MAX_SENT_REPORTS_PER_JOB, MAX_EXTRA_SENT_REPORTS = 4, 200
#: value of ``placed_tasks`` while the number is not known
PLACED_TASKS_UNKNOWN = -1


class SentReport(NamedTuple):
    """Progress that was sent to a manager on another node."""

    sent_at: float
    progress: SliceProgress


class ProgressReports:
    """Sends one node's reports as leader of slices, and receives reports as manager of jobs."""

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
        #: shard and job -> the latest report to a manager on another node
        self._sent: dict[tuple[int, str], SentReport] = {}

    def clear_sent(self) -> None:
        """Forget the sent reports, so that all slices are reported again to other nodes."""
        self._sent.clear()

    def receive(self, report: ProgressReport) -> None:
        """Record the progress that the leader of some slices reports."""
        for progress in report.slices:
            self._record(progress)

    def _record(self, progress: SliceProgress) -> None:
        shard_map = self._view.shard_map
        managed = self._managed_jobs.get(progress.job)
        if managed is None or shard_map is None:
            return
        if not 0 <= progress.shard_id < len(shard_map.shards):
            return
        # Reports from terms other than the shard's current one are dropped: the counts of an
        # earlier leader may include tasks that have since moved to another shard.
        if shard_map.shards[progress.shard_id].term == progress.term:
            managed.progress_by_shard[progress.shard_id] = progress

    def send(self, led_shards: list[Shard]) -> None:
        """Report the progress of the slices in the led shards to the managers of the slices' jobs.

        A manager on another node gets the progress that has changed or is due to be repeated.
        """
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
        if (
            len(self._sent)
            > MAX_SENT_REPORTS_PER_JOB * len(self._view.jobs) + MAX_EXTRA_SENT_REPORTS
        ):
            self._sent.clear()

    def _record_if_changed(self, shard: Shard, job: str, progress: SliceProgress) -> None:
        managed = self._managed_jobs.get(job)
        if managed is None or managed.progress_by_shard.get(shard.shard_id) != progress:
            self._record(progress)

    def _is_due(self, shard: Shard, job: str, progress: SliceProgress) -> bool:
        """Return whether the progress of a slice has to be sent to another node now."""
        sent = self._sent.get((shard.shard_id, job))
        if sent is None:
            return True
        return sent.progress != progress or self._context.now - sent.sent_at > REPEAT_INTERVAL_S


def slice_progress(shard: Shard, job_slice: JobSlice) -> SliceProgress:
    """Return the progress of a slice for a report to the job's manager."""
    is_unknown = job_slice.is_unreconciled or bool(shard.unreconciled_machines)
    return SliceProgress(
        job=job_slice.spec.id,
        shard_id=shard.shard_id,
        term=shard.term,
        done=job_slice.done_count,
        running=job_slice.running_count,
        placed_tasks=PLACED_TASKS_UNKNOWN if is_unknown else len(job_slice.placed_on),
        size=job_slice.size,
        is_cancelled=job_slice.is_cancelled,
    )
