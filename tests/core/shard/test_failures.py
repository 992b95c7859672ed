"""Attribution of a failed task to its job or to its machine."""

from __future__ import annotations

import pytest

from marblestair.core.shard.failures import REMEMBERED, FailureAttribution
from tests.fakes.deployment import WORKERS


def test_a_job_that_fails_on_several_machines_is_suspected_and_they_are_not() -> None:
    faults = FailureAttribution(WORKERS)
    for machine in ("m1", "m2", "m3"):
        assert not faults.is_quarantined("broken")
        for _ in range(20):
            faults.record_failure("broken", machine, False, 0.0)
    assert faults.is_quarantined("broken")
    assert faults.quarantined_jobs() == ["broken"]
    assert not any(faults.is_faulty(machine) for machine in ("m1", "m2", "m3"))
    assert not any(faults.machine_backoff_s(machine) for machine in ("m1", "m2", "m3"))


def test_a_machine_that_fails_several_jobs_is_faulty_and_they_are_not_suspected() -> None:
    faults = FailureAttribution(WORKERS)
    for job in ("a", "b", "c"):
        faults.record_failure(job, "bad", False, 0.0)
    assert faults.is_faulty("bad")
    # Each of them fails elsewhere once or twice more: not on enough machines of its own.
    for job in ("a", "b", "c"):
        faults.record_failure(job, "m1", False, 0.0)
        assert not faults.is_quarantined(job)


@pytest.mark.parametrize("proven", [False, True])
def test_a_machine_is_judged_by_jobs_that_succeed_elsewhere(proven: bool) -> None:
    faults = FailureAttribution(WORKERS)
    if not proven:
        faults.record_success("healthy", "good")
    for _ in range(3):
        faults.record_failure("healthy", "bad", proven, 0.0)
        faults.record_success("healthy", "good")
    assert faults.is_faulty("bad")
    assert not faults.is_quarantined("healthy")
    faults.record_success("healthy", "bad")
    assert not faults.is_faulty("bad")


def test_a_job_avoids_the_machine_that_failed_it_and_others_do_not() -> None:
    faults = FailureAttribution(WORKERS)
    faults.record_failure("a", "m1", False, 0.0)
    assert faults.avoided_machines("a", 1.0) == {"m1"}
    assert faults.avoided_machines("b", 1.0) == set()
    assert faults.machine_backoff_s("m1") == 0.0
    assert faults.avoided_machines("a", 30.0) == set()


def test_a_suspected_job_tries_at_growing_intervals_and_one_success_clears_it() -> None:
    faults = FailureAttribution(WORKERS)
    now = 0.0
    for machine in ("m1", "m2", "m3"):
        faults.record_failure("job", machine, False, now)
    pauses = []
    for _ in range(8):
        before = now
        while faults.is_backing_off("job", now):
            now += 0.5
        pauses.append(now - before)
        faults.record_failure("job", "m1", False, now)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(25.0)
    faults.record_success("job", "m2")
    assert not faults.is_quarantined("job")
    assert not faults.is_backing_off("job", now)


def test_what_another_controller_suspects_is_believed_for_a_while() -> None:
    faults = FailureAttribution(WORKERS)
    faults.record_success("mine", "m1")
    faults.record_failure("mine", "m1", True, 0.0)
    faults.receive_failing_jobs(1, [("broken", 2), ("mine", 3)], 0.0)
    assert not faults.is_quarantined("broken")
    faults.receive_failing_jobs(2, [("broken", 1)], 0.0)
    assert faults.is_quarantined("broken")
    assert not faults.is_quarantined("mine")
    # The first failure here is enough to go on where the other one was.
    faults.record_failure("broken", "m1", False, 1.0)
    assert faults.quarantined_jobs() == ["broken"]
    faults.receive_failing_jobs(1, [], 100.0)
    assert faults.is_quarantined("broken")


def test_parts_add_up_what_each_has_seen() -> None:
    here, there = FailureAttribution(WORKERS), FailureAttribution(WORKERS)
    here.record_failure("job", "m1", False, 0.0)
    there.record_failure("job", "m2", False, 0.0)
    there.record_failure("job", "m3", False, 0.0)
    assert not here.is_quarantined("job")
    here.receive_failing_jobs(1, there.failing_jobs(), 1.0)
    assert here.is_quarantined("job")
    assert here.is_backing_off("job", 1.5)


def test_evidence_is_bounded() -> None:
    faults = FailureAttribution(WORKERS)
    for number in range(2 * REMEMBERED):
        faults.record_failure(f"job-{number}", f"m{number % 7}", False, 0.0)
        faults.record_failure("one", f"machine-{number}", True, 0.0)
    assert len(faults._jobs) <= REMEMBERED
    assert len(faults._machines) <= REMEMBERED
    assert all(len(e.failed_on) <= 8 for e in faults._jobs.values())
    assert all(len(e.failures) <= 8 for e in faults._machines.values())
