"""Attribution of a failed task to its job or to its machine."""

from __future__ import annotations

import pytest

from marblestair.core.shard.failures import MAX_TRACKED_ENTRIES, FailureAttribution
from tests.fakes.samples import AGENT_SETTINGS


@pytest.fixture
def failures() -> FailureAttribution:
    """Return an attribution without recorded failures."""
    return FailureAttribution(AGENT_SETTINGS)


def test_a_job_that_fails_on_several_machines_is_quarantined_and_they_are_not_faulty(
    failures: FailureAttribution,
) -> None:
    for machine in ("m1", "m2", "m3"):
        assert not failures.is_quarantined("broken")
        for _ in range(20):
            failures.record_failure("broken", machine, False, 0.0)
    assert failures.is_quarantined("broken")
    assert failures.quarantined_jobs() == ["broken"]
    assert not any(failures.is_faulty(machine) for machine in ("m1", "m2", "m3"))
    assert not any(failures.machine_backoff_s(machine) for machine in ("m1", "m2", "m3"))


def test_a_machine_that_fails_several_jobs_is_faulty_and_they_are_not_quarantined(
    failures: FailureAttribution,
) -> None:
    for job in ("a", "b", "c"):
        failures.record_failure(job, "bad", False, 0.0)
    assert failures.is_faulty("bad")
    # Each job then fails on one more machine, which is not enough to quarantine it.
    for job in ("a", "b", "c"):
        failures.record_failure(job, "m1", False, 0.0)
        assert not failures.is_quarantined(job)


@pytest.mark.parametrize("proven", [False, True])
def test_a_machine_is_judged_by_jobs_that_succeed_elsewhere(
    failures: FailureAttribution, proven: bool
) -> None:
    if not proven:
        failures.record_success("healthy", "good")
    for _ in range(3):
        failures.record_failure("healthy", "bad", proven, 0.0)
        failures.record_success("healthy", "good")
    assert failures.is_faulty("bad")
    assert not failures.is_quarantined("healthy")
    failures.record_success("healthy", "bad")
    assert not failures.is_faulty("bad")


def test_a_job_avoids_the_machine_that_failed_it_and_others_do_not(
    failures: FailureAttribution,
) -> None:
    failures.record_failure("a", "m1", False, 0.0)
    assert failures.avoided_machines("a", 1.0) == {"m1"}
    assert failures.avoided_machines("b", 1.0) == set()
    assert failures.machine_backoff_s("m1") == 0.0
    assert failures.avoided_machines("a", 30.0) == set()


def test_a_quarantined_job_backs_off_ever_longer_and_one_success_clears_it(
    failures: FailureAttribution,
) -> None:
    now = 0.0
    for machine in ("m1", "m2", "m3"):
        failures.record_failure("job", machine, False, now)
    backoffs_s = []
    for _ in range(8):
        failed_at = now
        while failures.is_backing_off("job", now):
            now += 0.5
        backoffs_s.append(now - failed_at)
        failures.record_failure("job", "m1", False, now)
    assert backoffs_s == sorted(backoffs_s)
    assert backoffs_s[-1] == pytest.approx(25.0)
    failures.record_success("job", "m2")
    assert not failures.is_quarantined("job")
    assert not failures.is_backing_off("job", now)


def test_evidence_of_another_controller_counts_for_a_while(failures: FailureAttribution) -> None:
    failures.record_success("mine", "m1")
    failures.record_failure("mine", "m1", True, 0.0)
    failures.receive_failing_jobs(1, [("broken", 2), ("mine", 3)], 0.0)
    assert not failures.is_quarantined("broken")
    failures.receive_failing_jobs(2, [("broken", 1)], 0.0)
    assert failures.is_quarantined("broken")
    assert not failures.is_quarantined("mine")
    # Added to the published counts, the first failure here quarantines the job.
    failures.record_failure("broken", "m1", False, 1.0)
    assert failures.quarantined_jobs() == ["broken"]
    failures.receive_failing_jobs(1, [], 100.0)
    assert failures.is_quarantined("broken")


def test_shards_add_up_the_evidence_of_each(failures: FailureAttribution) -> None:
    other = FailureAttribution(AGENT_SETTINGS)
    failures.record_failure("job", "m1", False, 0.0)
    other.record_failure("job", "m2", False, 0.0)
    other.record_failure("job", "m3", False, 0.0)
    assert not failures.is_quarantined("job")
    failures.receive_failing_jobs(1, other.failing_jobs(), 1.0)
    assert failures.is_quarantined("job")
    assert failures.is_backing_off("job", 1.5)


def test_evidence_is_bounded(failures: FailureAttribution) -> None:
    for number in range(2 * MAX_TRACKED_ENTRIES):
        failures.record_failure(f"job-{number}", f"m{number % 7}", False, 0.0)
        failures.record_failure("one", f"machine-{number}", True, 0.0)
    assert len(failures._jobs) <= MAX_TRACKED_ENTRIES
    assert len(failures._machines) <= MAX_TRACKED_ENTRIES
    assert all(len(entry.failed_on) <= 8 for entry in failures._jobs.values())
    assert all(len(entry.failures) <= 8 for entry in failures._machines.values())
