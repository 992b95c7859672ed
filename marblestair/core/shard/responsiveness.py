"""Whether heartbeats of an agent arrive, and whether responses and commands reach it."""

from __future__ import annotations

import enum

#: commands, terms or leases in a row without effect after which an agent counts as unresponsive
MAX_IGNORED = 2


class Reachability(enum.Enum):
    """Whether an agent and its leader reach each other.

    An agent begins as responsive. It becomes unresponsive when launches, terms or leases in a row
    show no effect, and silent when its lease must have expired. A heartbeat makes a silent agent
    unresponsive; it is responsive again once its heartbeats come as often as only an agent that
    receives responses sends them.
    """

    RESPONSIVE = "responsive"
    #: heartbeats arrive, but responses and commands seem not to reach the agent
    UNRESPONSIVE = "unresponsive"
    #: no heartbeat was answered for the time of its lease, so none of its tasks runs any more
    SILENT = "silent"


class Responsiveness:
    """The reachability of one agent, and the evidence for its changes."""

    __slots__ = (
        "frequent_since",
        "ignored_commands",
        "ignored_terms",
        "is_partitioned",
        "state",
        "unresponsive_since",
    )

    def __init__(self, now: float) -> None:
        self.state = Reachability.RESPONSIVE
        #: since when it has been unresponsive or silent, while it is
        self.unresponsive_since = now
        #: it fell silent together with many others, and is likely to be back
        self.is_partitioned = False
        #: commands or leases in a row that showed no effect
        self.ignored_commands = 0
        #: responses in a row to heartbeats that did not carry the shard's term
        self.ignored_terms = 0
        #: since when heartbeats have come, without a gap, as often as from an agent that receives
        #: responses
        self.frequent_since = now

    def mark_unresponsive(self, now: float) -> None:
        """Record that responses and commands do not seem to reach the agent."""
        if self.state is Reachability.RESPONSIVE:
            self.state, self.unresponsive_since = Reachability.UNRESPONSIVE, now

    def mark_lease_expired(self, now: float) -> None:
        """Record that the agent's lease has expired."""
        self.mark_unresponsive(now)
        self.state = Reachability.SILENT
        self.ignored_terms = 0

    def record_heartbeat(
        self, is_frequent: bool, is_new_incarnation: bool, recovery_s: float, now: float
    ) -> None:
        """Record that a heartbeat has come.

        Parameters
        ----------
        is_frequent
            Whether it came as soon after the last one as from an agent that receives responses.
        is_new_incarnation
            Whether it is the first of an agent incarnation.
        recovery_s
            Time of frequent heartbeats after which earlier ignored commands no longer count.
        now
            Steady time in seconds.
        """
        if is_frequent and not is_new_incarnation and self.ignored_commands < MAX_IGNORED:
            # An agent that gets no response within some seconds turns to another controller.
            self.state = Reachability.RESPONSIVE
        elif self.state is Reachability.SILENT:
            self.state = Reachability.UNRESPONSIVE
        if not is_frequent:
            self.frequent_since = now
        elif now - self.frequent_since > recovery_s:
            # Nothing is sent to an unresponsive agent that could show whether it responds again.
            self.ignored_commands = 0
        if self.is_partitioned:
            # Whether responses reach it is shown by the heartbeats that follow.
            self.unresponsive_since, self.is_partitioned = now, False
