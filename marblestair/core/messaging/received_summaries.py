"""The latest summaries of all shards, as their leaders sent them."""

from __future__ import annotations

from marblestair.core.messaging.shard_summary import ReceivedSummary, ShardSummary
from marblestair.core.runtime.context import NodeContext

#: time for which a summary is recent enough to accept jobs into its shard, in seconds
RECENT_S = 4.0


class ReceivedSummaries(dict[int, ReceivedSummary]):
    """Summaries by shard, with the steady time at which each came."""

    def __init__(self, context: NodeContext) -> None:
        super().__init__()
        self._context = context

    def record(self, summary: ShardSummary) -> None:
        """Take in a summary, received or made here."""
        self[summary.shard_id] = ReceivedSummary(self._context.now, summary)

    def is_recent(self, shard_id: int, term: int) -> bool:
        """Whether a summary of a shard's present leader has come within the last seconds."""
        received = self.get(shard_id)
        if received is None or self._context.now - received.received_at > RECENT_S:
            return False
        return received.summary.term == term
