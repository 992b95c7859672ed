"""Whose fault a failed task is: the machine's or the job's.

A faulty machine fails whatever runs on it; a job that was submitted with a mistake fails wherever
it runs. A single failure tells neither. It counts against a machine once its job has succeeded
somewhere, or when several different jobs fail on that machine; it counts against a job when tasks
of it, and of no other job, fail on several machines and none of its tasks ever succeeded.

A suspected job keeps trying with a few tasks at growing intervals; one success clears it. All
evidence is bounded: what is oldest is forgotten first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from marblestair.settings.model import Workers

#: machines on which nothing but one job fails after which that job is suspected
JOB_MACHINES = 3
#: failures that count against a machine, by proven jobs or by distinct jobs, until it is faulty
MACHINE_FAILURES = 3
#: jobs and machines about which evidence is kept: more than the largest fleets have machines
REMEMBERED = 10_000
#: counterparts that are kept of each of them
COUNTERPARTS = 8
#: pause after the first attempt of a suspected job, in report intervals, and the longest pause, in
#: leases of a worker
FIRST_PAUSE_REPORTS = 4.0
LONGEST_PAUSE_LEASES = 2.5
#: growth of the pause from one attempt to the next
PAUSE_GROWTH = 2.0
#: pause per failure that counts against a machine, in report intervals
MACHINE_PAUSE_REPORTS = 2.0
#: what another controller said of a job is forgotten after this many leases of a worker
TOLD_LEASES = 3.0


class JobEvidence:
    """What is known of one job's tasks."""

    __slots__ = ("failed_on", "backoff_s", "retry_at", "has_succeeded", "is_quarantined")

    def __init__(self) -> None:
        #: machines on which its tasks failed, the latest last
        self.failed_on: OrderedDict[str, None] = OrderedDict()
        self.has_succeeded = False
        self.is_quarantined = False
        #: while it is suspected: when it may try again, and the pause before the latest try
        self.retry_at = 0.0
        self.backoff_s = 0.0


class MachineEvidence:
    """What failed on one machine since something last succeeded there."""

    __slots__ = ("failures", "retry_at")

    def __init__(self) -> None:
        #: job -> failed tasks
        self.failures: OrderedDict[str, int] = OrderedDict()
        #: job -> until when it is not tried here again
        self.retry_at: dict[str, float] = {}


Evidence = TypeVar("Evidence", JobEvidence, MachineEvidence)


class FailureAttribution:
    """The evidence of one controller, and its judgement."""

    def __init__(self, workers: Workers) -> None:
        self._first_backoff_s = FIRST_PAUSE_REPORTS * workers.report_s
        self._longest_backoff_s = LONGEST_PAUSE_LEASES * workers.lease_s
        self._machine_backoff_s = MACHINE_PAUSE_REPORTS * workers.report_s
        self._report_lifetime_s = TOLD_LEASES * workers.lease_s
        self._jobs: OrderedDict[str, JobEvidence] = OrderedDict()
        self._machines: OrderedDict[str, MachineEvidence] = OrderedDict()
        #: what was last told of other parts: until when it counts, and by job the number of
        #: machines on which nothing else fails
        self._reported: dict[int, tuple[float, dict[str, int]]] = {}
        self._reported_machines: dict[str, int] = {}
        #: jobs that came under suspicion or were cleared since this was last taken
        self.quarantine_changed = False

    # --- evidence --------------------------------------------------------------------------

    def record_failure(self, job: str, machine: str, proven: bool, now: float) -> None:
        """A task ended with an error; ``proven`` if the job is known to have succeeded before."""
        by_job, by_machine = self._job(job), self._machine(machine)
        by_job.has_succeeded = by_job.has_succeeded or proven
        _keep(by_job.failed_on, machine, None)
        _keep(by_machine.failures, job, by_machine.failures.get(job, 0) + 1)
        pause_s = min(self._longest_backoff_s, by_machine.failures[job] * self._machine_backoff_s)
        by_machine.retry_at = {j: t for j, t in by_machine.retry_at.items() if t > now}
        by_machine.retry_at[job] = now + pause_s
        if by_job.is_quarantined:
            if now >= by_job.retry_at:
                self._back_off(by_job, now)
        elif self._fails_everywhere(job, by_job):
            self._quarantine(by_job, now)

    def record_success(self, job: str, machine: str) -> None:
        """A task of a job was completed on a machine."""
        self._machines.pop(machine, None)
        evidence = self._jobs.get(job)
        if evidence is not None:
            evidence.has_succeeded = True
            self.quarantine_changed = self.quarantine_changed or evidence.is_quarantined
            evidence.is_quarantined = False

    def receive_failing_jobs(
        self, shard_id: int, failing: Iterable[tuple[str, int]], now: float
    ) -> None:
        """What the owner of another part knows of failing jobs (see :meth:`failing`)."""
        self._reported[shard_id] = now + self._report_lifetime_s, dict(failing)
        self._reported = {p: told for p, told in self._reported.items() if told[0] > now}
        before = self._reported_machines
        self._reported_machines = {}
        for _, machines in self._reported.values():
            for job, count in machines.items():
                self._reported_machines[job] = self._reported_machines.get(job, 0) + count
        self.quarantine_changed = (
            self.quarantine_changed or before.keys() != self._reported_machines.keys()
        )
        for job in self._reported_machines:
            evidence = self._jobs.get(job)
            if evidence is not None and not evidence.is_quarantined:
                if self._fails_everywhere(job, evidence):
                    self._quarantine(evidence, now)

    # --- judgement -------------------------------------------------------------------------

    def failing_jobs(self) -> list[tuple[str, int]]:
        """List jobs of which nothing succeeded, with the machines on which nothing else fails.

        The number of machines is told to the other controllers, whose own machines may show
        no more of a job than these.
        """
        out = []
        for job, evidence in self._jobs.items():
            if evidence.has_succeeded:
                continue
            count = self._machines_against(job, evidence)
            if evidence.is_quarantined:
                count = max(count, JOB_MACHINES)
            if count:
                out.append((job, count))
        return out

    def quarantined_jobs(self) -> list[str]:
        """Jobs that are suspected by what happened here."""
        return [job for job, evidence in self._jobs.items() if evidence.is_quarantined]

    def is_quarantined(self, job: str) -> bool:
        """Whether a job probably fails on every machine."""
        evidence = self._jobs.get(job)
        if evidence is not None and (evidence.is_quarantined or evidence.has_succeeded):
            return evidence.is_quarantined
        return self._reported_machines.get(job, 0) >= JOB_MACHINES

    def is_backing_off(self, job: str, now: float) -> bool:
        """Whether a suspected job may not try again yet."""
        evidence = self._jobs.get(job)
        return evidence is not None and evidence.is_quarantined and now < evidence.retry_at

    def avoided_machines(self, job: str, now: float) -> set[str]:
        """Machines that a job is not started on for now, because its tasks failed there."""
        evidence = self._jobs.get(job)
        if evidence is None or evidence.is_quarantined:
            # What fails everywhere tries where its image is already.
            return set()
        return {
            machine
            for machine in evidence.failed_on
            if (by_machine := self._machines.get(machine)) is not None
            and now < by_machine.retry_at.get(job, 0.0)
        }

    def is_faulty(self, machine: str) -> bool:
        """Whether a machine is to be given up."""
        return self._against(machine) >= MACHINE_FAILURES

    def machine_backoff_s(self, machine: str) -> float:
        """For how long a machine is not used after a failure."""
        return min(self._longest_backoff_s, self._against(machine) * self._machine_backoff_s)

    def _against(self, machine: str) -> int:
        """Failures that count against a machine."""
        by_machine = self._machines.get(machine)
        if by_machine is None:
            return 0
        proven = 0
        open_jobs = 0
        for job, count in by_machine.failures.items():
            evidence = self._jobs.get(job)
            if evidence is not None and evidence.has_succeeded:
                proven += count
            elif not self.is_quarantined(job):
                open_jobs += 1
        # A single job of which nothing is known says nothing about the machine.
        return proven + (open_jobs if open_jobs > 1 or proven else 0)

    def _fails_everywhere(self, job: str, evidence: JobEvidence) -> bool:
        if evidence.has_succeeded:
            return False
        told = self._reported_machines.get(job, 0)
        return told + self._machines_against(job, evidence) >= JOB_MACHINES

    def _machines_against(self, job: str, evidence: JobEvidence) -> int:
        return sum(self._fails_alone(job, machine) for machine in evidence.failed_on)

    def _fails_alone(self, job: str, machine: str) -> bool:
        """Whether nothing but this job, and jobs that are suspected, fails on a machine."""
        by_machine = self._machines.get(machine)
        if by_machine is None:
            # Something has succeeded there since.
            return True
        return all(j == job or self.is_quarantined(j) for j in by_machine.failures)

    def _quarantine(self, evidence: JobEvidence, now: float) -> None:
        evidence.is_quarantined = self.quarantine_changed = True
        evidence.backoff_s = self._first_backoff_s / PAUSE_GROWTH
        self._back_off(evidence, now)

    def _back_off(self, evidence: JobEvidence, now: float) -> None:
        evidence.backoff_s = min(self._longest_backoff_s, PAUSE_GROWTH * evidence.backoff_s)
        evidence.retry_at = now + evidence.backoff_s

    def _job(self, job: str) -> JobEvidence:
        return _entry(self._jobs, job, JobEvidence)

    def _machine(self, machine: str) -> MachineEvidence:
        return _entry(self._machines, machine, MachineEvidence)


def _entry(
    evidence: OrderedDict[str, Evidence], key: str, make: Callable[[], Evidence]
) -> Evidence:
    """Return what is known under a key, made new if need be; of too many the oldest is dropped."""
    known = evidence.get(key)
    if known is None:
        known = evidence[key] = make()
        while len(evidence) > REMEMBERED:
            evidence.popitem(last=False)
    return known


def _keep(latest: OrderedDict[str, Any], key: str, value: Any) -> None:
    """Set a key and move it to the end; of too many the oldest is dropped."""
    latest[key] = value
    latest.move_to_end(key)
    while len(latest) > COUNTERPARTS:
        latest.popitem(last=False)
