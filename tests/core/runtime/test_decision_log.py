"""The log of decisions: it tells one cause of a broken rule from another, and stays bounded."""

from __future__ import annotations

from marblestair.core.runtime.decision_log import LINES_PER_S, Decision, DecisionLog
from tests.fakes.deployment import spec
from tests.helpers import manager, running, warm


def test_lines_are_bounded_and_what_is_left_out_is_counted() -> None:
    lines: list[str] = []
    log = DecisionLog(lambda _level, text: lines.append(text))
    for n in range(5 * LINES_PER_S):
        log.note(10.2, Decision.CANCEL, "known", job=n)
    log.count(Decision.LAUNCH, "in an answer", 7)
    assert len(lines) == LINES_PER_S
    log.note(11.0, Decision.CANCEL, "known", job="last")
    assert lines[LINES_PER_S:] == [
        f"cancel: {4 * LINES_PER_S} more lines in one second",
        "cancel known: job=last",
    ]
    assert log.counts == {"cancel known": 5 * LINES_PER_S + 1, "launch in an answer": 7}


def test_the_log_tells_who_had_a_cancel_before_it_was_told_and_why_it_could_be() -> None:
    """By answers at once, or by time where an owner could not be asked."""
    world = warm()
    jobs = [world.submit(spec(n, task_count=6, estimated_run_s=100.0)) for n in (1, 2)]
    world.until(lambda: len(world.starts) == 12, 30.0)
    assert world.cancel(jobs[0]) == "cancelled"
    told = world.now
    known = world.logged("cancel known", jobs[0])
    confirmed = world.logged("cancel confirmed", jobs[0])
    assert {name for at, name, _ in known if at <= told} == set(world.node_names)
    assert "by=answers" in confirmed[0][2] and confirmed[0][0] <= told
    # The second by time only: what asks the owners to apply it is lost.
    world.lost.add("apply")
    away = next(name for name in world.node_names if name != manager(world, jobs[1]))
    world.watch_lag[away] = 1000.0
    world.run(3.0)
    world.cancel(jobs[1])
    told = world.now
    assert "by=time" in world.logged("cancel confirmed", jobs[1])[0][2]
    # By then the owner with an old view acts no more, and its log says so.
    assert [at for at, name, _ in world.logged("authority none") if name == away and at <= told]


def test_the_log_tells_a_release_from_an_end_and_counts_starts_and_stops() -> None:
    world = warm()
    parent = world.submit(spec(1, task_count=1, estimated_run_s=2.0))
    child = world.submit(spec(2, task_count=1, estimated_run_s=60.0, depends_on=[parent]))
    assert world.until(lambda: any(job == child for _, job, *_ in world.starts), 60.0)
    released = world.logged("record release", child)
    finished = world.logged("record finish", parent)
    assert finished[0][0] <= released[0][0] <= world.starts[-1][0]
    assert "depends_on=1" in released[0][2]
    world.cancel(child)
    world.run(5.0)
    counts = [
        running(world, name).status_report.collect()["decisions"] for name in world.node_names
    ]
    assert sum(c.get("launch in an answer", 0) for c in counts) == 2
    assert sum(c.get("stop in an answer", 0) + c.get("stop direct", 0) for c in counts) >= 1
    shown = running(world, "n0").status_report.collect()
    assert shown["cancels_not_confirmed"] == 0 and shown["stops_waiting"] == 0
    assert world.broken == []
