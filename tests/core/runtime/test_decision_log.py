"""The log of decisions: it shows the cause of a broken rule, and stays bounded."""

from __future__ import annotations

from marblestair.core.runtime.decision_log import MAX_LINES_PER_S, Decision, DecisionLog
from tests.fakes.samples import job_spec
from tests.helpers import manager_of, start_deployment


def test_lines_are_bounded_and_what_is_left_out_is_counted() -> None:
    lines: list[str] = []
    log = DecisionLog(lambda _level, text: lines.append(text))
    for number in range(5 * MAX_LINES_PER_S):
        log.log(10.2, Decision.CANCEL, "known", job=number)
    log.count(Decision.LAUNCH, "in an answer", 7)
    assert len(lines) == MAX_LINES_PER_S
    log.log(11.0, Decision.CANCEL, "known", job="last")
    assert lines[MAX_LINES_PER_S:] == [
        f"cancel: {4 * MAX_LINES_PER_S} more lines in one second",
        "cancel known: job=last",
    ]
    assert log.counts == {"cancel known": 5 * MAX_LINES_PER_S + 1, "launch in an answer": 7}


def test_the_log_shows_who_knew_a_cancel_before_its_confirmation_and_what_allowed_it() -> None:
    """Answers at once, or time where a leader could not be asked."""
    deployment = start_deployment()
    first, second = (
        deployment.users.submit(job_spec(number, task_count=6, estimated_run_s=100.0))
        for number in (1, 2)
    )
    deployment.run_until(lambda: len(deployment.tasks.starts) == 12, 30.0)
    assert deployment.users.cancel(first) == "cancelled"
    known = deployment.logged("cancel known", first)
    assert {line.node for line in known if line.at <= deployment.now} == set(deployment.nodes.names)
    confirmed = deployment.logged("cancel confirmed", first)[0]
    assert "by=answers" in confirmed.text
    assert confirmed.at <= deployment.now
    # The second by time only: the request to apply it is lost.
    deployment.network.dropped_tags.add("apply")
    manager = manager_of(deployment, second)
    lagging = next(name for name in deployment.nodes.names if name != manager)
    deployment.store_link.watch_lag_s[lagging] = 1000.0
    deployment.run(3.0)
    deployment.users.cancel(second)
    assert "by=time" in deployment.logged("cancel confirmed", second)[0].text
    # By then the leader with an old view leads no more, and its log says so.
    assert [line for line in deployment.logged("authority none") if line.node == lagging]


def test_the_log_tells_a_release_from_an_end_and_counts_starts_and_stops() -> None:
    deployment = start_deployment()
    users = deployment.users
    parent = users.submit(job_spec(1, task_count=1, estimated_run_s=2.0))
    child = users.submit(job_spec(2, task_count=1, estimated_run_s=60.0, depends_on=[parent]))
    assert deployment.run_until(lambda: deployment.tasks.has_started(child), 60.0)
    released = deployment.logged("record release", child)[0]
    finished = deployment.logged("record finish", parent)[0]
    assert finished.at <= released.at <= deployment.tasks.starts[-1].at
    assert "depends_on=1" in released.text
    users.cancel(child)
    deployment.run(5.0)
    counts = [
        deployment.nodes.current(name).status_report.collect()["decisions"]
        for name in deployment.nodes.names
    ]
    assert sum(count.get("launch in an answer", 0) for count in counts) == 2
    stops = [count.get("stop in an answer", 0) + count.get("stop direct", 0) for count in counts]
    assert sum(stops) >= 1
    shown = deployment.nodes.current("n0").status_report.collect()
    assert shown["cancels_not_confirmed"] == 0
    assert shown["stops_waiting"] == 0
    assert not deployment.rules.violations
