"""Pages in the store that record which tasks of a shard's jobs are done.

Only the leader of a page's shard writes the page, conditional on the versions of the shard's fence
and of the page. An agent is told to discard a finished task only after the page that records the
task was written, so that a failover never loses a result.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from marblestair.core.domain.index_ranges import TASKS_PER_PROGRESS_PAGE, decode_bits, encode_bits
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Get,
    ListKeys,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

#: share of a node's write rate that progress pages may use, so that they do not delay other writes
PROGRESS_WRITE_SHARE = 0.35
#: one batch in this many deletes obsolete keys of the shard, if there are any, even while progress
#: waits to be written; each of the other batches does so only if no progress waits
BATCHES_PER_CLEANUP = 5
#: minimum pause between two batches, and the maximum random time added to each pause
MIN_BATCH_PAUSE_S, MAX_RANDOM_PAUSE_S = 0.7, 0.2
#: minimum time for which a slice must have had unwritten progress before its pages are written;
#: longer for a complete slice, since the final state of the job may be recorded first and make the
#: write unnecessary
WRITE_DELAY_S, COMPLETE_SLICE_WRITE_DELAY_S = 0.5, 1.5
#: maximum number of keys in one page of a listing
MAX_LIST_PAGE_KEYS = 500

_PAGE_MASK = (1 << TASKS_PER_PROGRESS_PAGE) - 1


class StoredPage(msgspec.Struct, frozen=True):
    """A page in the store: one bit for each task, set if the task is done, and its version."""

    bits: int
    version: int


#: job -> page number -> page
StoredProgress: TypeAlias = dict[str, dict[int, StoredPage]]


class DirtyPage(msgspec.Struct, frozen=True):
    """A page of a slice with finished tasks that are not in the store yet."""

    job_slice: JobSlice
    page: int

    @property
    def bits(self) -> int:
        """Bits of the tasks that are done now."""
        return (self.job_slice.done_bits >> (self.page * TASKS_PER_PROGRESS_PAGE)) & _PAGE_MASK


class InFlightPage(msgspec.Struct, frozen=True):
    """A page with an in-flight write, and the bits that were sent."""

    job_slice: JobSlice
    page: int
    bits: int


class ProgressPages:
    """Reads and writes the progress pages of the shards that one node leads."""

    def __init__(self, context: NodeContext, leadership: Leadership) -> None:
        self._context = context
        self._leadership = leadership

    def _is_current(self, shard: Shard) -> bool:
        return self._leadership.shards.get(shard.shard_id) is shard

    def load(self, shard: Shard) -> Coroutine[StoredProgress | None]:
        """Read all pages of a shard, with retries; return None if this node loses the shard."""
        found: StoredProgress = {}
        prefix = f"{keys.PROGRESS}{shard.shard_id}/"
        after_key = ""
        while self._is_current(shard):
            # The leader answers no agent of the shard until all pages are read, so these reads take
            # precedence over user requests.
            response: StoreResponse = yield ListKeys(
                prefix, after_key, MAX_LIST_PAGE_KEYS, RequestPriority.LEASE
            )
            if response.status != 200:
                yield Sleep(0.1 + 0.2 * self._context.rng.random())
                continue
            for item in response.items:
                job, _, page = item.key[len(prefix) :].rpartition("/")
                stored = StoredPage(decode_bits(item.value), item.version)
                found.setdefault(job, {})[int(page)] = stored
            if not response.has_more or not response.items:
                return found
            after_key = response.items[-1].key
        return None

    def persist(self, shard: Shard) -> Coroutine[None]:
        """Write progress and delete obsolete keys in batches until this node loses the shard.

        A batch is sent about once a second, or less often if ``PROGRESS_WRITE_SHARE`` requires it.

        The number of slices grows with the load, while the store's write rate is fixed. A delayed
        write is safe: an agent lists a finished task in its heartbeats until the leader tells the
        agent to discard the task, and the leader does so only after the write.
        """
        state = self._context.settings.cluster.state
        changes_per_s = PROGRESS_WRITE_SHARE * state.write_rps / len(self._context.settings.nodes)
        sent_changes = batch_count = 0
        while self._is_current(shard):
            ready = [shard for shard in self._leadership.shards.values() if shard.is_ready]
            pause_s = max(MIN_BATCH_PAUSE_S, sent_changes * len(ready) / changes_per_s)
            sent_changes = 0
            yield Sleep(pause_s + MAX_RANDOM_PAUSE_S * self._context.rng.random())
            if not self._leadership.is_leader(shard.shard_id):
                continue
            batch = dirty_pages(shard, self._context.now)[: self._context.max_batch_changes]
            batch_count += 1
            if shard.obsolete_keys and (not batch or batch_count % BATCHES_PER_CLEANUP == 0):
                sent_changes = yield from self._delete_obsolete_keys(shard)
            elif batch:
                sent_changes = len(batch)
                yield from self._write(shard, batch)

    def _delete_obsolete_keys(self, shard: Shard) -> Coroutine[int]:
        """Delete obsolete keys of a shard; return the number of changes sent.

        Each deletion is conditional on the key's version, so that a deletion that is applied late
        does not remove a newer value.
        """
        max_keys = self._context.max_batch_changes
        yield from _read_versions(shard, max_keys)
        _keep_pages_in_use(shard)
        known = {
            key: version for key, version in shard.obsolete_keys.items() if version is not None
        }
        deletions = dict(list(known.items())[:max_keys])
        if not deletions:
            return 0
        fence = self._leadership.fence_precondition(shard.shard_id)
        response: StoreResponse = yield CompareAndSwap(
            [fence, *deletions.items()], [], list(deletions), RequestPriority.PROGRESS
        )
        for key in deletions:
            if response.status == 200:
                shard.obsolete_keys.pop(key, None)
            elif response.status in (0, 409):
                shard.obsolete_keys[key] = None
        return len(deletions)

    def _write(self, shard: Shard, batch: list[DirtyPage]) -> Coroutine[None]:
        """Write pages in one commit, and update the slices from the result."""
        in_flight = [InFlightPage(dirty.job_slice, dirty.page, dirty.bits) for dirty in batch]
        preconditions = [self._leadership.fence_precondition(shard.shard_id)]
        puts = []
        for page in in_flight:
            key = _key(shard, page)
            preconditions.append((key, page.job_slice.page_versions.get(page.page, 0)))
            puts.append(Put(key, encode_bits(page.bits)))
        response: StoreResponse = yield CompareAndSwap(
            preconditions, puts, [], RequestPriority.PROGRESS
        )
        if response.status == 200:
            for page in in_flight:
                self._mark_durable(page, response.revision)
        elif response.status in (0, 409):
            # The write got no response, or a precondition failed, for example because an earlier
            # write without a response was applied.
            yield from _reread_pages(shard, in_flight)
        # The pages of a slice that left the shard meanwhile are obsolete.
        for page in in_flight:
            if shard.slices.get(page.job_slice.spec.id) is not page.job_slice:
                shard.obsolete_keys[_key(shard, page)] = None

    def _mark_durable(self, page: InFlightPage, version: int) -> None:
        job_slice = page.job_slice
        job_slice.page_versions[page.page] = version
        job_slice.durable_bits |= page.bits << (page.page * TASKS_PER_PROGRESS_PAGE)
        is_dirty = bool(job_slice.done_bits & ~job_slice.durable_bits)
        job_slice.dirty_since = self._context.now if is_dirty else None


def dirty_pages(shard: Shard, now: float) -> list[DirtyPage]:
    """Return the pages that are due to be written.

    Pages of the slice that has waited longest for a write come first. The slices of cancelled jobs
    are left out.
    """
    found = []
    for job_slice in shard.slices.values():
        if job_slice.dirty_since is None or job_slice.is_cancelled:
            continue
        is_complete = job_slice.done_count == job_slice.size
        write_delay_s = COMPLETE_SLICE_WRITE_DELAY_S if is_complete else WRITE_DELAY_S
        if now - job_slice.dirty_since < write_delay_s:
            continue
        not_durable = job_slice.done_bits & ~job_slice.durable_bits
        page = 0
        while not_durable:
            if not_durable & _PAGE_MASK:
                found.append(DirtyPage(job_slice, page))
            not_durable >>= TASKS_PER_PROGRESS_PAGE
            page += 1
    found.sort(key=lambda dirty: dirty.job_slice.dirty_since or 0.0)
    return found


def _key(shard: Shard, page: InFlightPage) -> str:
    return keys.progress_page(shard.shard_id, page.job_slice.spec.id, page.page)


def _read_versions(shard: Shard, max_keys: int) -> Coroutine[None]:
    """Read the versions of up to ``max_keys`` obsolete keys whose version is unknown.

    Keys that do not exist are dropped from the obsolete keys.
    """
    for key in [key for key, version in shard.obsolete_keys.items() if version is None][:max_keys]:
        response: StoreResponse = yield Get(key, RequestPriority.PROGRESS)
        if response.status == 404:
            shard.obsolete_keys.pop(key, None)
        elif response.status == 200:
            shard.obsolete_keys[key] = response.version


def _keep_pages_in_use(shard: Shard) -> None:
    """Remove from the obsolete keys the pages that a slice of the shard uses again."""
    used = {
        keys.progress_page(shard.shard_id, job, page)
        for job, job_slice in shard.slices.items()
        for page in job_slice.page_versions
    }
    for key in used & shard.obsolete_keys.keys():
        del shard.obsolete_keys[key]


def _reread_pages(shard: Shard, in_flight: list[InFlightPage]) -> Coroutine[None]:
    """Reread pages whose write failed or got no response.

    If a page changes after this read, the next write fails by its precondition on the page's
    version, and the page is reread.
    """
    for page in in_flight:
        response: StoreResponse = yield Get(_key(shard, page), RequestPriority.PROGRESS)
        if response.status == 200:
            page.job_slice.page_versions[page.page] = response.version
            page.job_slice.durable_bits |= decode_bits(response.value) << (
                page.page * TASKS_PER_PROGRESS_PAGE
            )
        elif response.status == 404:
            page.job_slice.page_versions[page.page] = 0
