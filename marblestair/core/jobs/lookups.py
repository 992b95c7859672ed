"""Limits on the queries that a node cannot answer from memory.

Users may query far more often than jobs change, and also ids that were never submitted. Queries
that need another controller or the store therefore share one search per job at a time. Their reads
have the lowest priority: they use the rate of store requests that leases, submissions, cancels
and progress leave free. A query beyond the limit of concurrent reads is refused at once, and the
user retries.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from marblestair.core.jobs.job_status import JobStatus
from marblestair.core.runtime.coroutines import Coroutine, CoroutineRunner, Signal

#: concurrent reads are limited to the requests that a node may send to the store in this time
READ_LIMIT_WINDOW_S = 0.5
#: lower bound of the limit on concurrent reads
MIN_READ_LIMIT = 4

#: finds the status of a job; its result is None when the status is not available now
Search: TypeAlias = Callable[[str], Coroutine[JobStatus | None]]


class Lookups:
    """Runs one node's searches and reads for jobs that it does not manage."""

    def __init__(self, coroutines: CoroutineRunner, requests_per_s: float) -> None:
        self._coroutines = coroutines
        self.max_concurrent_reads = max(MIN_READ_LIMIT, int(READ_LIMIT_WINDOW_S * requests_per_s))
        self._reads_in_flight = 0
        #: job being searched -> signal for the callers that came after the search began
        self._searches: dict[str, Signal] = {}

    def find(self, job: str, search: Search) -> Coroutine[JobStatus | None]:
        """Return the status of a job by a search that concurrent callers share."""
        next_search = self._searches.get(job)
        if next_search is not None:
            # The running search may have read a status that is older than an answer this user got
            # from another node before asking here. Only a search that starts later may answer.
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
