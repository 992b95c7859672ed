"""Context that all components of a controller share: its identity, settings, time and outputs."""

from __future__ import annotations

import random
from collections.abc import Callable

from marblestair.core.domain.settings import Settings, Team
from marblestair.core.runtime.coroutines import Coroutine, CoroutineRunner
from marblestair.core.runtime.decision_log import DecisionLog
from marblestair.core.runtime.outbox import LogLine, Outbox, OutgoingMessage
from marblestair.core.runtime.requests import PeerMessage

#: maximum number of changes in a batch transaction, as a share of the changes that a node may write
#: per second
MAX_BATCH_WRITE_SHARE = 0.5


class NodeContext:
    """Identity, settings, current time and outputs of one controller process.

    The time is set before each input; the core reads no clock.
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
        #: number that identifies this process among all past and future processes of the node
        self.incarnation = incarnation
        self.rng = rng
        #: monotonic time of the current input, in seconds
        self.now = now
        #: wall-clock time of the current input, in seconds since the epoch
        self.wall_time = wall_time
        #: monotonic time at which this process started
        self.started_at = now
        self.teams: dict[str, Team] = {team.name: team for team in settings.cluster.teams}
        self.outbox = Outbox()
        self.decisions = DecisionLog(self.log)
        self.coroutines = CoroutineRunner()
        self.coroutines.now = now
        self.coroutines.on_error = self._coroutine_failed

    @property
    def identity(self) -> tuple[str, int]:
        """Node and incarnation, which together identify this process."""
        return self.node, self.incarnation

    @property
    def max_batch_changes(self) -> int:
        """Maximum number of changes in one transaction that writes a batch of waiting changes.

        The limit leaves part of the node's writes per second to other transactions.
        """
        state = self.settings.cluster.state
        changes = MAX_BATCH_WRITE_SHARE * state.write_rps / len(self.settings.nodes)
        return max(1, min(state.txn_ops, int(changes)))

    def set_time(self, now: float, wall_time: float) -> None:
        """Set the current time; called before each input."""
        self.now = now
        self.wall_time = wall_time
        self.coroutines.now = now

    def log(self, level: str, text: str) -> None:
        """Add a log line to the outbox."""
        self.outbox.log_lines.append(LogLine(level, text))

    def send(self, node: str, message: PeerMessage) -> None:
        """Send a one-way message to another controller."""
        self.outbox.messages.append(OutgoingMessage(node, message))

    def broadcast(self, message: PeerMessage) -> None:
        """Send a one-way message to all other controllers."""
        for peer in self.settings.others:
            self.send(peer.node, message)

    def spawn(self, coroutine: Coroutine[None]) -> None:
        """Start a coroutine, which runs at once until its first request."""
        self.coroutines.spawn(coroutine)

    def supervise(self, factory: Callable[[], Coroutine[None]]) -> None:
        """Start a coroutine, and restart it whenever it fails."""
        self.coroutines.supervise(factory)

    def _coroutine_failed(self, error: BaseException) -> None:
        self.log("error", f"coroutine failed: {type(error).__name__}: {error}")
