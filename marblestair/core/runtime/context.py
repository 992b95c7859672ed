"""What all components of one controller share: its identity, settings, time and outputs."""

from __future__ import annotations

import random
from collections.abc import Callable

from marblestair.core.domain.settings import Settings, Team
from marblestair.core.runtime.coroutines import Coroutine, CoroutineRunner
from marblestair.core.runtime.decision_log import DecisionLog
from marblestair.core.runtime.outbox import LogLine, Outbox, OutgoingMessage
from marblestair.core.runtime.requests import PeerMessage

#: share of a node's changes in one second that one transaction may take
BATCH_SHARE = 0.5


class NodeContext:
    """One controller process: who it is, what time it is, and where its outputs go.

    Time comes with every input; nothing in the core reads a clock.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        rng: random.Random,
        now: float,
        wall_time: float,
    ) -> None:
        self.settings = settings
        self.node = settings.node
        #: number that no other process of this node has had or will have
        self.incarnation = incarnation
        self.rng = rng
        #: steady time of the present input, in seconds
        self.now = now
        #: time of day of the present input, in seconds since the epoch
        self.wall_time = wall_time
        #: steady time at which this process began
        self.started_at = now
        self.teams: dict[str, Team] = {team.name: team for team in settings.cluster.teams}
        self.outbox = Outbox()
        self.decisions = DecisionLog(self.log)
        self.coroutines = CoroutineRunner()
        self.coroutines.now = now
        self.coroutines.on_error = self._coroutine_failed

    @property
    def identity(self) -> tuple[str, int]:
        """Node and incarnation, which together name this process."""
        return self.node, self.incarnation

    @property
    def max_batch_changes(self) -> int:
        """Changes in one transaction that leave room for others within the same second."""
        state = self.settings.cluster.state
        changes = BATCH_SHARE * state.write_rps / len(self.settings.nodes)
        return max(1, min(state.txn_ops, int(changes)))

    def set_time(self, now: float, wall_time: float) -> None:
        """Every input comes with the time."""
        self.now = now
        self.wall_time = wall_time
        self.coroutines.now = now

    def log(self, level: str, text: str) -> None:
        """Leave a line for the log."""
        self.outbox.log_lines.append(LogLine(level, text))

    def send(self, node: str, message: PeerMessage) -> None:
        """Send a one-way message to another controller."""
        self.outbox.messages.append(OutgoingMessage(node, message))

    def broadcast(self, message: PeerMessage) -> None:
        """Send a one-way message to all other controllers."""
        for peer in self.settings.others:
            self.send(peer.node, message)

    def spawn(self, coroutine: Coroutine[None]) -> None:
        """Start a coroutine."""
        self.coroutines.spawn(coroutine)

    def supervise(self, make: Callable[[], Coroutine[None]]) -> None:
        """Start a coroutine that is to run for good."""
        self.coroutines.supervise(make)

    def _coroutine_failed(self, error: BaseException) -> None:
        self.log("error", f"a coroutine ended by {type(error).__name__}: {error}")
