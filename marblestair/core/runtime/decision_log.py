"""Why this node started, stopped, answered or forgot something: bounded log lines, and counts.

Each line names the kind of decision, what was decided, and the facts that it rested on (revision
of the view, term, proof), so that a timeline can be drawn up afterwards. A decision is one line
for a job or a lease, never one for a task or a heartbeat: those are only counted.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

#: lines of one kind in one second, at the most; what is beyond that is counted
MAX_LINES_PER_S = 20


class Decision(enum.StrEnum):
    """Kinds of decisions that are logged and counted."""

    #: by what this node may act: its lease, promises of all the others, or not at all
    AUTHORITY = "authority"
    #: a promise given to another node
    PROMISE = "promise"
    #: a cancel became known here, was confirmed, or was forgotten
    CANCEL = "cancel"
    #: a change of a job's record that its manager has committed
    RECORD = "record"
    #: the final state of a job became known here
    END = "end"
    #: commands to start tasks
    LAUNCH = "launch"
    #: commands to stop tasks
    STOP = "stop"
    #: answers to users about a job, by their proof
    ANSWER = "answer"


class DecisionLog:
    """The decisions of one node."""

    def __init__(self, write: Callable[[str, str], None]) -> None:
        #: takes a level and a line
        self._write = write
        self.counts: Counter[str] = Counter()
        self._second: int | None = None
        self._written: Counter[Decision] = Counter()

    def count(self, kind: Decision, what: str, number: int = 1) -> None:
        """Count a decision without a line."""
        self.counts[f"{kind} {what}"] += number

    def log(self, now: float, kind: Decision, what: str, **facts: object) -> None:
        """Count a decision and leave a line with the facts that it rested on."""
        self.count(kind, what)
        if int(now) != self._second:
            self._begin_second(int(now))
        self._written[kind] += 1
        if self._written[kind] > MAX_LINES_PER_S:
            return
        described = " ".join(f"{name}={value}" for name, value in facts.items())
        self._write("info", f"{kind} {what}: {described}")

    def _begin_second(self, second: int) -> None:
        """Log how many lines of the last second were left out."""
        for kind, number in self._written.items():
            if number > MAX_LINES_PER_S:
                left_out = number - MAX_LINES_PER_S
                self._write("info", f"{kind}: {left_out} more lines in one second")
        self._written.clear()
        self._second = second
