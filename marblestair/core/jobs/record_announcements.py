"""Announces records that this node has committed to the others, ahead of their watches.

They can start what was released, and know an accepted job when another one depends on it.
"""

from __future__ import annotations

import msgspec

from marblestair.core.messaging.messages import RecordCommitted
from marblestair.core.runtime.context import NodeContext
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView


class RecordAnnouncements:
    """The announcements that one node sends and receives."""

    def __init__(self, context: NodeContext, view: StoreView) -> None:
        self._context = context
        self._view = view

    def announce(self, job: str) -> None:
        """Announce the record of a job that this node has just committed."""
        record = self._view.jobs.get(job)
        if record is not None:
            version = self._view.version(keys.JOBS + job)
            self._context.broadcast(RecordCommitted(job, record, version))

    def receive(self, message: RecordCommitted) -> None:
        """Another node has committed a job's record."""
        record = msgspec.to_builtins(message.record)
        self._view.apply_read(keys.JOBS + message.job, record, message.version)
        self._view.publish_changes()
