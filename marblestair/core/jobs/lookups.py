"""Queries that a node cannot answer from memory: shared per job, few at once, and last in line.

Users may ask many times as often as jobs change, also about jobs that nobody submitted. A query
that needs another controller or the state service therefore costs at most one search per job at a
time, and its reads take only the requests to the state service that leases, submissions, cancels
and progress leave free. What is beyond that is refused at once; the user asks again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.runtime.coroutines import Coroutine, CoroutineRunner, Signal, Step
from marblestair.core.runtime.store_requests import Lane

if TYPE_CHECKING:
    from marblestair.core.jobs.answers import Answers

#: reads under way at once: what a node may ask of the state service within this many seconds
READ_AHEAD_S = 0.5
#: reads under way at once, at the least
LEAST_READS = 4


class Lookups:
    """The searches of one node for states of jobs that it does not manage."""

    def __init__(self, runner: CoroutineRunner, answers: Answers, requests_per_s: float) -> None:
        self._runner = runner
        self._answers = answers
        self.max_reads = max(LEAST_READS, int(READ_AHEAD_S * requests_per_s))
        self._reads = 0
        #: job under search -> what those wait for who asked after the search began
        self._searches: dict[str, Signal] = {}

    def find_status(self, job: str) -> Step:
        """The state of a job, or None when it cannot be told now."""
        following = self._searches.get(job)
        if following is not None:
            # What the search under way has read may be older than what this user was told by
            # another node before asking here: only a search that begins later may answer.
            return (yield following)
        return (yield from self._search(job))

    def read_status(self, job: str) -> Step:
        """The state of a job by a fresh read, or None at once when too many are under way."""
        return (yield from self._bounded(self._answers.read_status(job, Lane.LOOKUP)))

    def find_final(self, job: str) -> Step:
        """The final state of a job that the view lacks, else what its record says.

        None at once when too many reads are under way.
        """
        return (yield from self._bounded(self._answers.read_final_first(job, Lane.LOOKUP)))

    def _bounded(self, read: Step) -> Step:
        if self._reads >= self.max_reads:
            return None
        self._reads += 1
        try:
            return (yield from read)
        finally:
            self._reads -= 1

    def _search(self, job: str) -> Step:
        following = self._searches[job] = Signal()
        try:
            return (yield from self._answers.search(job))
        finally:
            del self._searches[job]
            if following.waiters:
                self._runner.spawn(self._search_for(job, following))

    def _search_for(self, job: str, waiting: Signal) -> Coroutine:
        found = None
        try:
            found = yield from self._search(job)
        finally:
            self._runner.fire(waiting, found)
