"""Attribution of failed tasks to their machine or to their job.

A faulty machine fails whatever runs on it; a job that was submitted with a mistake fails wherever
it runs. A single failure shows neither. It counts against a machine once its job has succeeded
somewhere, or when several different jobs fail on that machine; it counts against a job when its
tasks, and those of no other job, fail on several machines and none of its tasks ever succeeded.

A job against which enough counts is quarantined: it retries with a few tasks at growing intervals,
and one success ends the quarantine. All evidence is bounded: the oldest is dropped first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

from marblestair.core.domain.settings import Workers

#: machines on which nothing but one job fails after which that job is quarantined
JOB_MACHINES = 3
#: failures that count against a machine, by proven jobs or by distinct jobs, until it is faulty
MACHINE_FAILURES = 3
#: jobs and machines with evidence: more than the largest fleets have machines
MAX_TRACKED_ENTRIES = 10_000
#: machines that are remembered of each job, and jobs of each machine
COUNTERPARTS = 8
#: back-off of a job whose quarantine begins, in heartbeat intervals
FIRST_BACKOFF_INTERVALS = 4.0
#: longest back-off of a job or a machine, in agents' leases
LONGEST_BACKOFF_LEASES = 2.5
#: growth of a quarantined job's back-off from one retry to the next
BACKOFF_GROWTH = 2.0
#: back-off for each failure that counts against a machine, in heartbeat intervals
MACHINE_BACKOFF_INTERVALS = 2.0
#: agents' leases for which the evidence of another shard counts
SHARD_EVIDENCE_LEASES = 3.0


class FailingJob(NamedTuple):
    """A job of which nothing succeeded, and on how many machines nothing else fails."""

    job: str
    machine_count: int


class JobEvidence:
    """What is known of one job's tasks."""

    __slots__ = ("failed_on", "backoff_s", "retry_at", "has_succeeded", "is_quarantined")

    def __init__(self) -> None:
        #: machines on which its tasks failed, the latest last
        self.failed_on: OrderedDict[str, None] = OrderedDict()
        self.has_succeeded = False
        self.is_quarantined = False
        #: while it is quarantined: when it may retry, and the back-off before that
        self.retry_at = 0.0
        self.backoff_s = 0.0


class MachineEvidence:
    """What failed on one machine since something last succeeded there."""

    __slots__ = ("failures", "retry_at")

    def __init__(self) -> None:
        #: job -> number of failed tasks
        self.failures: OrderedDict[str, int] = OrderedDict()
        #: job -> until when it is not started here again
        self.retry_at: dict[str, float] = {}


class ShardEvidence(NamedTuple):
    """What the leader of another shard last published."""

    expires_at: float
    #: job -> number of machines on which nothing else fails
    machine_counts: dict[str, int]


Evidence = TypeVar("Evidence", JobEvidence, MachineEvidence)
Value = TypeVar("Value")


class FailureAttribution:
    """The evidence of one controller, and its judgement."""

    def __init__(self, workers: Workers) -> None:
        self._first_backoff_s = FIRST_BACKOFF_INTERVALS * workers.report_s
        self._longest_backoff_s = LONGEST_BACKOFF_LEASES * workers.lease_s
        self._machine_backoff_s = MACHINE_BACKOFF_INTERVALS * workers.report_s
        self._shard_evidence_s = SHARD_EVIDENCE_LEASES * workers.lease_s
        self._jobs: OrderedDict[str, JobEvidence] = OrderedDict()
        self._machines: OrderedDict[str, MachineEvidence] = OrderedDict()
        #: shard -> what its leader last published, and the sum of that by job
        self._by_shard: dict[int, ShardEvidence] = {}
        self._published_counts: dict[str, int] = {}
        #: quarantines have begun or ended since the reader of this last cleared it
        self.quarantine_changed = False

    # --- evidence --------------------------------------------------------------------------

    def record_failure(self, job: str, machine: str, proven: bool, now: float) -> None:
        """Record a task that ended with an error; ``proven`` if its job is known to succeed."""
        by_job = _get_or_add(self._jobs, job, JobEvidence)
        by_machine = _get_or_add(self._machines, machine, MachineEvidence)
        by_job.has_succeeded = by_job.has_succeeded or proven
        _set_latest(by_job.failed_on, machine, None)
        _set_latest(by_machine.failures, job, by_machine.failures.get(job, 0) + 1)
        backoff_s = min(self._longest_backoff_s, by_machine.failures[job] * self._machine_backoff_s)
        by_machine.retry_at = {
            other: retry_at for other, retry_at in by_machine.retry_at.items() if retry_at > now
        }
        by_machine.retry_at[job] = now + backoff_s
        if by_job.is_quarantined:
            if now >= by_job.retry_at:
                self._back_off(by_job, now)
        elif self._fails_everywhere(job, by_job):
            self._quarantine(by_job, now)

    def record_success(self, job: str, machine: str) -> None:
        """Record a task that was completed on a machine."""
        self._machines.pop(machine, None)
        evidence = self._jobs.get(job)
        if evidence is not None:
            evidence.has_succeeded = True
            self.quarantine_changed = self.quarantine_changed or evidence.is_quarantined
            evidence.is_quarantined = False

    def receive_failing_jobs(
        self, shard_id: int, failing: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Receive what the leader of another shard published (see :meth:`failing_jobs`)."""
        self._by_shard[shard_id] = ShardEvidence(now + self._shard_evidence_s, dict(failing))
        self._by_shard = {
            other: evidence
            for other, evidence in self._by_shard.items()
            if evidence.expires_at > now
        }
        before = self._published_counts
        self._published_counts = self._sum_published_counts()
        self.quarantine_changed = (
            self.quarantine_changed or before.keys() != self._published_counts.keys()
        )
        for job in self._published_counts:
            evidence = self._jobs.get(job)
            if evidence is not None and not evidence.is_quarantined:
                if self._fails_everywhere(job, evidence):
                    self._quarantine(evidence, now)

    def _sum_published_counts(self) -> dict[str, int]:
        sums: dict[str, int] = {}
        for evidence in self._by_shard.values():
            for job, machine_count in evidence.machine_counts.items():
                sums[job] = sums.get(job, 0) + machine_count
        return sums

    # --- judgement of jobs -----------------------------------------------------------------

    def failing_jobs(self) -> list[FailingJob]:
        """List jobs of which nothing succeeded, for publication to the other controllers.

        The machines of one shard alone may not show enough of a job.
        """
        failing = []
        for job, evidence in self._jobs.items():
            if evidence.has_succeeded:
                continue
            machine_count = self._count_machines_against(job, evidence)
            if evidence.is_quarantined:
                machine_count = max(machine_count, JOB_MACHINES)
            if machine_count:
                failing.append(FailingJob(job, machine_count))
        return failing

    def quarantined_jobs(self) -> list[str]:
        """List jobs that are quarantined because of what happened here."""
        return [job for job, evidence in self._jobs.items() if evidence.is_quarantined]

    def is_quarantined(self, job: str) -> bool:
        """Whether a job probably fails on every machine."""
        evidence = self._jobs.get(job)
        if evidence is not None and (evidence.is_quarantined or evidence.has_succeeded):
            return evidence.is_quarantined
        return self._published_counts.get(job, 0) >= JOB_MACHINES

    def is_backing_off(self, job: str, now: float) -> bool:
        """Whether a quarantined job may not retry yet."""
        evidence = self._jobs.get(job)
        return evidence is not None and evidence.is_quarantined and now < evidence.retry_at

    def avoided_machines(self, job: str, now: float) -> set[str]:
        """Machines on which a job is not started for now, because its tasks failed there."""
        evidence = self._jobs.get(job)
        if evidence is None or evidence.is_quarantined:
            # What fails everywhere retries where its image is already.
            return set()
        return {
            machine
            for machine in evidence.failed_on
            if (by_machine := self._machines.get(machine)) is not None
            and now < by_machine.retry_at.get(job, 0.0)
        }

    def _fails_everywhere(self, job: str, evidence: JobEvidence) -> bool:
        if evidence.has_succeeded:
            return False
        published_count = self._published_counts.get(job, 0)
        return published_count + self._count_machines_against(job, evidence) >= JOB_MACHINES

    def _count_machines_against(self, job: str, evidence: JobEvidence) -> int:
        """Count the machines on which this job fails and nothing else does."""
        return sum(self._fails_alone(job, machine) for machine in evidence.failed_on)

    def _fails_alone(self, job: str, machine: str) -> bool:
        """Whether nothing but this job, and jobs that are quarantined, fails on a machine."""
        by_machine = self._machines.get(machine)
        if by_machine is None:
            # Something has succeeded there since.
            return True
        return all(other == job or self.is_quarantined(other) for other in by_machine.failures)

    def _quarantine(self, evidence: JobEvidence, now: float) -> None:
        evidence.is_quarantined = self.quarantine_changed = True
        evidence.backoff_s = self._first_backoff_s / BACKOFF_GROWTH
        self._back_off(evidence, now)

    def _back_off(self, evidence: JobEvidence, now: float) -> None:
        evidence.backoff_s = min(self._longest_backoff_s, BACKOFF_GROWTH * evidence.backoff_s)
        evidence.retry_at = now + evidence.backoff_s

    # --- judgement of machines -------------------------------------------------------------

    def is_faulty(self, machine: str) -> bool:
        """Whether a machine is to be given up."""
        return self._count_failures_against(machine) >= MACHINE_FAILURES

    def machine_backoff_s(self, machine: str) -> float:
        """For how long nothing is placed on a machine after a failure."""
        failure_count = self._count_failures_against(machine)
        return min(self._longest_backoff_s, failure_count * self._machine_backoff_s)

    def _count_failures_against(self, machine: str) -> int:
        """Count the failures that speak against a machine rather than against jobs."""
        by_machine = self._machines.get(machine)
        if by_machine is None:
            return 0
        proven_failures = 0
        unproven_jobs = 0
        for job, failure_count in by_machine.failures.items():
            evidence = self._jobs.get(job)
            if evidence is not None and evidence.has_succeeded:
                proven_failures += failure_count
            elif not self.is_quarantined(job):
                unproven_jobs += 1
        # A single job of which nothing is known says nothing about the machine.
        return proven_failures + (unproven_jobs if unproven_jobs > 1 or proven_failures else 0)


def _get_or_add(
    evidence: OrderedDict[str, Evidence], key: str, make: Callable[[], Evidence]
) -> Evidence:
    """Return the evidence under a key, new if there is none; of too many, the oldest goes."""
    known = evidence.get(key)
    if known is None:
        known = evidence[key] = make()
        while len(evidence) > MAX_TRACKED_ENTRIES:
            evidence.popitem(last=False)
    return known


def _set_latest(latest: OrderedDict[str, Value], key: str, value: Value) -> None:
    """Set a key and move it to the end; of too many, the oldest goes."""
    latest[key] = value
    latest.move_to_end(key)
    while len(latest) > COUNTERPARTS:
        latest.popitem(last=False)
