"""Log of a node's decisions, as counts and as log lines at a bounded rate.

Each line names the kind of the decision, the outcome and the facts behind the decision (such as the
revision of the view, a term or a proof), so that operators can reconstruct the order of events.
Lines are written per job or per lease; decisions per task or per heartbeat are only counted.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

#: maximum number of lines per second for one kind of decision; further decisions are only counted
MAX_LINES_PER_S = 20


class Decision(enum.StrEnum):
    """Kinds of decisions that are logged and counted."""

    #: the basis of this node's authority changed: its lease, promises of all other nodes, or none
    AUTHORITY = "authority"
    #: this node gave a promise to another node
    PROMISE = "promise"
    #: a cancel became known to this node, was confirmed, or was removed from the cancel registry
    CANCEL = "cancel"
    #: this node, as manager of a job, committed a change of the job's record
    RECORD = "record"
    #: the final state of a job on which other jobs depend became known to this node
    END = "end"
    #: commands to start tasks were sent
    LAUNCH = "launch"
    #: commands to stop tasks were sent
    STOP = "stop"
    #: a user's query was answered (counted by proof), or refused because there was no proof
    ANSWER = "answer"


class DecisionLog:
    """Counts and logs the decisions of one node."""

    def __init__(self, write: Callable[[str, str], None]) -> None:
        #: writes a log line, given its level and text
        self._write = write
        #: number of decisions by kind and outcome
        self.counts: Counter[str] = Counter()
        self._second: int | None = None
        self._line_counts: Counter[Decision] = Counter()

    def count(self, kind: Decision, outcome: str, number: int = 1) -> None:
        """Count a decision without logging it."""
        self.counts[f"{kind} {outcome}"] += number

    def log(self, now: float, kind: Decision, outcome: str, **facts: object) -> None:
        """Count a decision, and log it with the facts that it is based on.

        It is only counted once its kind has ``MAX_LINES_PER_S`` lines in the current second.
        """
        self.count(kind, outcome)
        if int(now) != self._second:
            self._begin_second(int(now))
        self._line_counts[kind] += 1
        if self._line_counts[kind] > MAX_LINES_PER_S:
            return
        described = " ".join(f"{name}={value}" for name, value in facts.items())
        self._write("info", f"{kind} {outcome}: {described}")

    def _begin_second(self, second: int) -> None:
        """Log how many lines were suppressed in the counted second, and reset the line counts."""
        for kind, number in self._line_counts.items():
            if number > MAX_LINES_PER_S:
                suppressed = number - MAX_LINES_PER_S
                self._write("info", f"{kind}: {suppressed} log lines suppressed within one second")
        self._line_counts.clear()
        self._second = second
