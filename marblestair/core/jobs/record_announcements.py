"""Announces committed job records to the other nodes before their watches deliver the records.

On the announcement of a release, another node can start the job's tasks at once. On the
announcement of a new job, another node can accept submissions that depend on the job without a read
of the store.
"""

from __future__ import annotations

import msgspec

from marblestair.core.messaging.messages import RecordCommitted
from marblestair.core.runtime.context import NodeContext
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView


class RecordAnnouncements:
    """Sends and receives announcements of committed job records."""

    def __init__(self, context: NodeContext, view: StoreView) -> None:
        self._context = context
        self._view = view

    def announce(self, job: str) -> None:
        """Broadcast the record of a job that this node has just committed."""
        record = self._view.jobs.get(job)
        if record is not None:
            version = self._view.version(keys.JOBS + job)
            self._context.broadcast(RecordCommitted(job, record, version))

    def receive(self, message: RecordCommitted) -> None:
        """Apply a job's record that another node has committed."""
        record = msgspec.to_builtins(message.record)
        self._view.apply_read(keys.JOBS + message.job, record, message.version)
        self._view.publish_changes()
