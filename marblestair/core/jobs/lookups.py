"""Limits on the queries that a node cannot answer from memory.

Users may query far more often than jobs change, and may query ids that were never submitted. So the
queries that need another controller or the store share one search per job at a time. The reads of a
search have the lowest priority: they use the rate of store requests that leases, submissions,
cancels and progress leave free. A query that needs a read beyond the limit on concurrent reads is
refused at once, and the user retries.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from marblestair.core.jobs.job_status import JobStatus
from marblestair.core.runtime.coroutines import Coroutine, CoroutineRunner, Signal

#: the limit on concurrent reads is the number of requests that a node may send to the store in this
#: time
READ_LIMIT_WINDOW_S = 0.5
#: lower bound of the limit on concurrent reads
MIN_READ_LIMIT = 4

#: finds the status of a job; its result is None when the status is not available now
Search: TypeAlias = Callable[[str], Coroutine[JobStatus | None]]


class Lookups:
    """Runs searches and reads for jobs whose status one node may not return from memory."""

    def __init__(self, coroutines: CoroutineRunner, requests_per_s: float) -> None:
        self._coroutines = coroutines
        self.max_concurrent_reads = max(MIN_READ_LIMIT, int(READ_LIMIT_WINDOW_S * requests_per_s))
        self._reads_in_flight = 0
        #: job being searched -> signal that passes the result of the next search to the callers
        #: that came after the present search began
        self._searches: dict[str, Signal] = {}

    def find(self, job: str, search: Search) -> Coroutine[JobStatus | None]:
        """Return the status of a job by a search.

        Callers that come while a search for the job runs share the next search.
        """
        next_search = self._searches.get(job)
        if next_search is not None:
            # The running search may already have read a status that is older than an answer which
            # this user got from another node. Only a search that starts after the call may be used.
            status: JobStatus | None = yield next_search
            return status
        return (yield from self._search(job, search))

    def read_within_limit(self, read: Coroutine[JobStatus | None]) -> Coroutine[JobStatus | None]:
        """Return the result of a read, or None at once when too many reads are in flight."""
        if self._reads_in_flight >= self.max_concurrent_reads:
            return None
        self._reads_in_flight += 1
        try:
            return (yield from read)
        finally:
            self._reads_in_flight -= 1

    def _search(self, job: str, search: Search) -> Coroutine[JobStatus | None]:
        next_search = self._searches[job] = Signal()
        try:
            return (yield from search(job))
        finally:
            del self._searches[job]
            if next_search.waiting_requests:
                self._coroutines.spawn(self._search_for_waiting(job, search, next_search))

    def _search_for_waiting(self, job: str, search: Search, waiting: Signal) -> Coroutine[None]:
        found = None
        try:
            found = yield from self._search(job, search)
        finally:
            self._coroutines.fire(waiting, found)
