"""Attribution of task failures to the machine or to the job.

On a faulty machine every task fails; a faulty job fails on every machine. A single failure does not
show which of the two is at fault. A failure counts against the machine when a task of the same job
is known to have succeeded, or when other jobs fail on that machine too. A machine counts against a
job when the job failed there, none of the job's tasks is known to have succeeded, and no other job
fails there. Both rules ignore other jobs that are quarantined.

A job is quarantined when ``MIN_QUARANTINE_MACHINES`` machines count against it: only a few of its
tasks are retried, with exponential back-off, until one succeeds. The failure records are
bounded in number; the oldest one is evicted first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

from marblestair.core.domain.settings import Workers

#: minimum number of machines, in all shards together, that must count against a job for it to be
#: quarantined
MIN_QUARANTINE_MACHINES = 3
#: a machine is faulty when at least this many failures count against it
MIN_FAULTY_FAILURES = 3
#: maximum number of job records, and of machine records; more than the largest fleets have machines
MAX_TRACKED_ENTRIES = 10_000
#: maximum number of machines in the record of one job, and of jobs in the record of one machine
MAX_KEYS_PER_ENTRY = 8
#: first back-off of a quarantined job, in heartbeat intervals
INITIAL_BACKOFF_INTERVALS = 4.0
#: longest back-off of a job or a machine, as a multiple of the agents' lease
MAX_BACKOFF_LEASES = 2.5
#: factor by which a quarantined job's back-off grows with each failed retry
BACKOFF_FACTOR = 2.0
#: back-off of a machine per failure that counts against the machine, and back-off of one job on a
#: machine per failure of the job there, in heartbeat intervals
BACKOFF_INTERVALS_PER_FAILURE = 2.0
#: time for which the failing jobs that another shard's leader published are used, as a multiple of
#: the agents' lease
PUBLISHED_FAILURES_TTL_LEASES = 3.0


class FailingJob(NamedTuple):
    """A job without a known success, and the number of machines that count against it.

    The number is at least ``MIN_QUARANTINE_MACHINES`` for a quarantined job.
    """

    job: str
    machine_count: int


class JobFailures:
    """The failure record of one job."""

    __slots__ = ("failed_on", "backoff_s", "retry_at", "has_succeeded", "is_quarantined")

    def __init__(self) -> None:
        #: machines on which the job's tasks failed; the machine of the latest failure is last
        self.failed_on: OrderedDict[str, None] = OrderedDict()
        self.has_succeeded = False
        self.is_quarantined = False
        #: during quarantine: time of the next permitted retry, and the current back-off
        self.retry_at = 0.0
        self.backoff_s = 0.0


class MachineFailures:
    """The failures on one machine since a task last succeeded there."""

    __slots__ = ("failures", "retry_at")

    def __init__(self) -> None:
        #: job -> number of failed tasks
        self.failures: OrderedDict[str, int] = OrderedDict()
        #: job -> time until which the job's tasks are not placed on this machine
        self.retry_at: dict[str, float] = {}


class PublishedFailures(NamedTuple):
    """The failing jobs that the leader of another shard last published."""

    expires_at: float
    #: job -> number of machines on which only this job fails
    machine_counts: dict[str, int]


Entry = TypeVar("Entry", JobFailures, MachineFailures)
Value = TypeVar("Value")


class FailureAttribution:
    """Records task outcomes and decides whether jobs or machines are at fault."""

    def __init__(self, workers: Workers) -> None:
        self._initial_backoff_s = INITIAL_BACKOFF_INTERVALS * workers.report_s
        self._max_backoff_s = MAX_BACKOFF_LEASES * workers.lease_s
        self._backoff_per_failure_s = BACKOFF_INTERVALS_PER_FAILURE * workers.report_s
        self._published_failures_ttl_s = PUBLISHED_FAILURES_TTL_LEASES * workers.lease_s
        self._jobs: OrderedDict[str, JobFailures] = OrderedDict()
        self._machines: OrderedDict[str, MachineFailures] = OrderedDict()
        #: failing jobs last published for each shard, and for each job the sum of its published
        #: machine counts
        self._by_shard: dict[int, PublishedFailures] = {}
        self._published_counts: dict[str, int] = {}
        #: whether a quarantine may have begun or ended since the view synchronizer cleared this
        self.quarantine_changed = False

    # --- recording -------------------------------------------------------------------------

    def record_failure(self, job: str, machine: str, job_has_succeeded: bool, now: float) -> None:
        """Record a task that ended with an error.

        ``job_has_succeeded`` tells whether other tasks of the job are known to have succeeded.
        """
        job_entry = _get_or_add(self._jobs, job, JobFailures)
        machine_entry = _get_or_add(self._machines, machine, MachineFailures)
        job_entry.has_succeeded = job_entry.has_succeeded or job_has_succeeded
        _set_latest(job_entry.failed_on, machine, None)
        _set_latest(machine_entry.failures, job, machine_entry.failures.get(job, 0) + 1)
        backoff_s = min(
            self._max_backoff_s, machine_entry.failures[job] * self._backoff_per_failure_s
        )
        machine_entry.retry_at = {
            other: retry_at for other, retry_at in machine_entry.retry_at.items() if retry_at > now
        }
        machine_entry.retry_at[job] = now + backoff_s
        if job_entry.is_quarantined:
            if now >= job_entry.retry_at:
                self._back_off(job_entry, now)
        elif self._should_quarantine(job, job_entry):
            self._quarantine(job_entry, now)

    def record_success(self, job: str, machine: str) -> None:
        """Record that a task of a job succeeded on a machine."""
        self._machines.pop(machine, None)
        entry = self._jobs.get(job)
        if entry is not None:
            entry.has_succeeded = True
            self.quarantine_changed = self.quarantine_changed or entry.is_quarantined
            entry.is_quarantined = False

    def receive_failing_jobs(
        self, shard_id: int, failing: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Store the failing jobs that the leader of another shard published."""
        self._by_shard[shard_id] = PublishedFailures(
            now + self._published_failures_ttl_s, dict(failing)
        )
        self._by_shard = {
            other: entry for other, entry in self._by_shard.items() if entry.expires_at > now
        }
        before = self._published_counts
        self._published_counts = self._sum_published_counts()
        self.quarantine_changed = (
            self.quarantine_changed or before.keys() != self._published_counts.keys()
        )
        for job in self._published_counts:
            entry = self._jobs.get(job)
            if entry is not None and not entry.is_quarantined:
                if self._should_quarantine(job, entry):
                    self._quarantine(entry, now)

    def _sum_published_counts(self) -> dict[str, int]:
        sums: dict[str, int] = {}
        for entry in self._by_shard.values():
            for job, machine_count in entry.machine_counts.items():
                sums[job] = sums.get(job, 0) + machine_count
        return sums

    # --- assessment of jobs ----------------------------------------------------------------

    def failing_jobs(self) -> list[FailingJob]:
        """Return the failing jobs without a known success, for the other controllers.

        They are published because a job may fail on too few machines of each single shard to be
        quarantined, but on enough machines of all shards together. Jobs against which no machine
        counts are left out unless they are quarantined.
        """
        failing = []
        for job, entry in self._jobs.items():
            if entry.has_succeeded:
                continue
            machine_count = self._count_machines_against(job, entry)
            if entry.is_quarantined:
                machine_count = max(machine_count, MIN_QUARANTINE_MACHINES)
            if machine_count:
                failing.append(FailingJob(job, machine_count))
        return failing

    def quarantined_jobs(self) -> list[str]:
        """Return the jobs that this controller has quarantined itself."""
        return [job for job, entry in self._jobs.items() if entry.is_quarantined]

    def is_quarantined(self, job: str) -> bool:
        """Whether this controller or the published machine counts put a job into quarantine.

        The published counts are ignored if this controller knows of a success of the job.
        """
        entry = self._jobs.get(job)
        if entry is not None and (entry.is_quarantined or entry.has_succeeded):
            return entry.is_quarantined
        return self._published_counts.get(job, 0) >= MIN_QUARANTINE_MACHINES

    def is_backing_off(self, job: str, now: float) -> bool:
        """Whether a job that this controller has quarantined must wait before its next retry."""
        entry = self._jobs.get(job)
        return entry is not None and entry.is_quarantined and now < entry.retry_at

    def avoided_machines(self, job: str, now: float) -> set[str]:
        """Return the machines on which a job backs off; none if this controller quarantined it."""
        entry = self._jobs.get(job)
        if entry is None or entry.is_quarantined:
            # A quarantined job may be retried where it failed, since its image is cached there.
            return set()
        return {
            machine
            for machine in entry.failed_on
            if (machine_entry := self._machines.get(machine)) is not None
            and now < machine_entry.retry_at.get(job, 0.0)
        }

    def _should_quarantine(self, job: str, entry: JobFailures) -> bool:
        if entry.has_succeeded:
            return False
        published_count = self._published_counts.get(job, 0)
        return published_count + self._count_machines_against(job, entry) >= MIN_QUARANTINE_MACHINES

    def _count_machines_against(self, job: str, entry: JobFailures) -> int:
        """Count the machines where this job failed and all other failing jobs are quarantined."""
        return sum(self._is_only_failing_job(job, machine) for machine in entry.failed_on)

    def _is_only_failing_job(self, job: str, machine: str) -> bool:
        """Whether all other jobs that fail on a machine are quarantined."""
        machine_entry = self._machines.get(machine)
        if machine_entry is None:
            # A task succeeded on the machine after this job's failure, or the machine's record was
            # evicted.
            return True
        return all(other == job or self.is_quarantined(other) for other in machine_entry.failures)

    def _quarantine(self, entry: JobFailures, now: float) -> None:
        entry.is_quarantined = self.quarantine_changed = True
        entry.backoff_s = self._initial_backoff_s / BACKOFF_FACTOR
        self._back_off(entry, now)

    def _back_off(self, entry: JobFailures, now: float) -> None:
        entry.backoff_s = min(self._max_backoff_s, BACKOFF_FACTOR * entry.backoff_s)
        entry.retry_at = now + entry.backoff_s

    # --- assessment of machines ------------------------------------------------------------

    def is_faulty(self, machine: str) -> bool:
        """Whether at least ``MIN_FAULTY_FAILURES`` failures count against a machine."""
        return self._count_failures_against(machine) >= MIN_FAULTY_FAILURES

    def machine_backoff_s(self, machine: str) -> float:
        """Return the time in seconds for which a machine gets no task after its latest failure."""
        failure_count = self._count_failures_against(machine)
        return min(self._max_backoff_s, failure_count * self._backoff_per_failure_s)

    def _count_failures_against(self, machine: str) -> int:
        """Count the failures that are attributed to a machine rather than to jobs.

        Each failed task of a job with a known success counts as one failure. Each other job that is
        not quarantined counts as one failure, however many of its tasks failed. A job without a
        known success does not count if it is the only failing job on the machine apart from
        quarantined ones.
        """
        machine_entry = self._machines.get(machine)
        if machine_entry is None:
            return 0
        failures_of_succeeding_jobs = 0
        jobs_without_success = 0
        for job, failure_count in machine_entry.failures.items():
            entry = self._jobs.get(job)
            if entry is not None and entry.has_succeeded:
                failures_of_succeeding_jobs += failure_count
            elif not self.is_quarantined(job):
                jobs_without_success += 1
        # A single job without any known success may itself be at fault.
        return failures_of_succeeding_jobs + (
            jobs_without_success if jobs_without_success > 1 or failures_of_succeeding_jobs else 0
        )


def _get_or_add(entries: OrderedDict[str, Entry], key: str, make: Callable[[], Entry]) -> Entry:
    """Return a key's entry, created if missing; evict the oldest above ``MAX_TRACKED_ENTRIES``."""
    entry = entries.get(key)
    if entry is None:
        entry = entries[key] = make()
        while len(entries) > MAX_TRACKED_ENTRIES:
            entries.popitem(last=False)
    return entry


def _set_latest(latest: OrderedDict[str, Value], key: str, value: Value) -> None:
    """Set a key and move it to the end; evict the oldest keys above ``MAX_KEYS_PER_ENTRY``."""
    latest[key] = value
    latest.move_to_end(key)
    while len(latest) > MAX_KEYS_PER_ENTRY:
        latest.popitem(last=False)
