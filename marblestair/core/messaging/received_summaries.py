"""The latest summary of each shard, as received from its leader."""

from __future__ import annotations

from marblestair.core.messaging.shard_summary import ReceivedSummary, ShardSummary
from marblestair.core.runtime.context import NodeContext

#: maximum age of a shard's summary at which it still counts as recent, so that the shard may be
#: given newly accepted jobs
MAX_SUMMARY_AGE_S = 4.0


class ReceivedSummaries(dict[int, ReceivedSummary]):
    """The latest summary of each shard, with the monotonic time at which it was received."""

    def __init__(self, context: NodeContext) -> None:
        super().__init__()
        self._context = context

    def record(self, summary: ShardSummary) -> None:
        """Store a summary that this node received or created, with the current time."""
        self[summary.shard_id] = ReceivedSummary(self._context.now, summary)

    def is_recent(self, shard_id: int, term: int) -> bool:
        """Return whether the summary of a shard is recent and was made under the given term."""
        received = self.get(shard_id)
        if received is None or self._context.now - received.received_at > MAX_SUMMARY_AGE_S:
            return False
        return received.summary.term == term
