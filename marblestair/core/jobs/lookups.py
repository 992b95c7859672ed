"""Queries that a node cannot answer from memory: shared per job, few at once, and last in line.

Users may ask many times as often as jobs change, also about jobs that nobody submitted. A query
that needs another controller or the store therefore costs at most one search per job at a time,
and its reads take only the requests to the store that leases, submissions, cancels and progress
leave free. What is beyond that is refused at once; the user asks again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from marblestair.core.jobs.job_status import JobStatus
from marblestair.core.runtime.coroutines import Coroutine, CoroutineRunner, Signal

#: reads under way at once: what a node may ask of the store within this many seconds
READ_AHEAD_S = 0.5
#: reads under way at once, at the least
LEAST_READS = 4

#: finds the status of a job; None when it cannot be given now
Search: TypeAlias = Callable[[str], Coroutine[JobStatus | None]]


class Lookups:
    """The searches and reads of one node for jobs that it does not manage."""

    def __init__(self, coroutines: CoroutineRunner, requests_per_s: float) -> None:
        self._coroutines = coroutines
        self.max_concurrent_reads = max(LEAST_READS, int(READ_AHEAD_S * requests_per_s))
        self._reads = 0
        #: job under search -> what those wait for who asked after the search began
        self._searches: dict[str, Signal] = {}

    def find(self, job: str, search: Search) -> Coroutine[JobStatus | None]:
        """The status of a job by a search, which those who ask at the same time share."""
        following = self._searches.get(job)
        if following is not None:
            # What the search under way has read may be older than what another node answered this
            # user before it asked here: only a search that begins later may answer.
            status: JobStatus | None = yield following
            return status
        return (yield from self._search(job, search))

    def read_within_limit(self, read: Coroutine[JobStatus | None]) -> Coroutine[JobStatus | None]:
        """The result of a read, or None at once when too many are under way."""
        if self._reads >= self.max_concurrent_reads:
            return None
        self._reads += 1
        try:
            return (yield from read)
        finally:
            self._reads -= 1

    def _search(self, job: str, search: Search) -> Coroutine[JobStatus | None]:
        following = self._searches[job] = Signal()
        try:
            return (yield from search(job))
        finally:
            del self._searches[job]
            if following.waiting_requests:
                self._coroutines.spawn(self._search_for(job, search, following))

    def _search_for(self, job: str, search: Search, waiting: Signal) -> Coroutine[None]:
        found = None
        try:
            found = yield from self._search(job, search)
        finally:
            self._coroutines.fire(waiting, found)
