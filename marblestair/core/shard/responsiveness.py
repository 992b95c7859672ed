"""Tracking of whether an agent's heartbeats arrive and whether responses reach it."""

from __future__ import annotations

import enum

#: an agent is marked unresponsive when ``ignored_commands`` reaches this number or
#: ``ignored_terms`` exceeds it
MAX_IGNORED_MESSAGES = 2


class Reachability(enum.Enum):
    """Whether an agent and its leader can reach each other.

    An agent is responsive at first. It becomes unresponsive when several responses had no effect,
    or when its lease expired although its heartbeats arrived. Its state is ``LEASE_EXPIRED`` once
    its lease must have expired. An agent in either state becomes responsive again when its
    heartbeats arrive as frequently as those of an agent that receives responses, and
    ``ignored_commands`` is below ``MAX_IGNORED_MESSAGES``. Otherwise, the next heartbeat changes
    ``LEASE_EXPIRED`` to ``UNRESPONSIVE``.
    """

    RESPONSIVE = "responsive"
    #: heartbeats arrive, but responses and commands seem not to reach the agent
    UNRESPONSIVE = "unresponsive"
    #: no heartbeat of the agent was answered for the duration of its lease, so the agent has
    #: stopped all its tasks
    LEASE_EXPIRED = "lease expired"


class Responsiveness:
    """The reachability of one agent, and the counters from which it is derived."""

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
        #: time since which the agent has not been responsive; not used while it is responsive
        self.unresponsive_since = now
        #: the agent lost contact together with many others and is presumed partitioned
        self.is_partitioned = False
        #: number of responses whose launches had no effect, plus leases that expired although
        #: heartbeats arrived; reset by a confirmed launch or by a period of frequent heartbeats
        self.ignored_commands = 0
        #: number of responses, since the last lease expiry, to heartbeats whose fencing token was
        #: older than the term in which the machine joined the shard
        self.ignored_terms = 0
        #: time of the last heartbeat that was not frequent; initially, when the machine was added
        self.frequent_since = now

    def mark_unresponsive(self, now: float) -> None:
        """Record that responses and commands seem not to reach the agent."""
        if self.state is Reachability.RESPONSIVE:
            self.state, self.unresponsive_since = Reachability.UNRESPONSIVE, now

    def mark_lease_expired(self, now: float) -> None:
        """Record that the agent's lease has expired."""
        self.mark_unresponsive(now)
        self.state = Reachability.LEASE_EXPIRED
        self.ignored_terms = 0

    def record_heartbeat(
        self, is_frequent: bool, is_new_incarnation: bool, recovery_s: float, now: float
    ) -> None:
        """Update the reachability after a heartbeat.

        Parameters
        ----------
        is_frequent
            Whether the heartbeat arrived so soon after the previous one that the agent can be
            presumed to receive responses.
        is_new_incarnation
            Whether the heartbeat is the first one of an agent incarnation.
        recovery_s
            Duration of frequent heartbeats, in seconds, after which ``ignored_commands`` is reset.
        now
            Monotonic time in seconds.
        """
        if is_frequent and not is_new_incarnation and self.ignored_commands < MAX_IGNORED_MESSAGES:
            # An agent that receives no response sends its next heartbeat to another controller, so
            # frequent heartbeats show that responses arrive.
            self.state = Reachability.RESPONSIVE
        elif self.state is Reachability.LEASE_EXPIRED:
            self.state = Reachability.UNRESPONSIVE
        if not is_frequent:
            self.frequent_since = now
        elif now - self.frequent_since > recovery_s:
            # An unresponsive agent gets no launches, so no confirmed launch can reset the count.
            self.ignored_commands = 0
        if self.is_partitioned:
            # The heartbeats from now on show whether responses reach the agent.
            self.unresponsive_since, self.is_partitioned = now, False
