"""A shard's progress on its jobs, kept in pages in the store.

Each page is written by one shard only, on condition of the shard's fence and of the page's version.
A finished task is forgotten by its agent only once its page holds it, so that a failover never
loses a result.
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

#: share of a node's changes that progress may take, so that it holds nothing else up
PROGRESS_SHARE = 0.35
#: of so many turns one is left to deleting what is of no use, however much progress there is
SWEEP_EVERY = 5
#: pause between two batches, at the least, and the random part of it
LEAST_PAUSE_S, RANDOM_PAUSE_S = 0.7, 0.2
#: a slice's progress is written so long after it was made; later where the slice is complete, since
#: that is about to be recorded with its job's end
WRITE_AFTER_S, WRITE_COMPLETE_AFTER_S = 0.5, 1.5
#: keys in one page of a listing
LISTED_KEYS = 500

_PAGE_MASK = (1 << TASKS_PER_PROGRESS_PAGE) - 1


class StoredPage(msgspec.Struct, frozen=True):
    """A page as the store holds it: the bits of what is done, and its version."""

    bits: int
    version: int


#: job -> number of the page -> page
StoredProgress: TypeAlias = dict[str, dict[int, StoredPage]]


class DirtyPage(msgspec.Struct, frozen=True):
    """A page of a slice's progress that is to be written."""

    job_slice: JobSlice
    page: int

    @property
    def bits(self) -> int:
        """The bits of what is done now."""
        return (self.job_slice.done_bits >> (self.page * TASKS_PER_PROGRESS_PAGE)) & _PAGE_MASK


class WrittenPage(msgspec.Struct, frozen=True):
    """A page that is being written, with the bits that were sent."""

    job_slice: JobSlice
    page: int
    bits: int


class ProgressPages:
    """The progress of the shards that one node leads."""

    def __init__(self, context: NodeContext, leadership: Leadership) -> None:
        self._context = context
        self._leadership = leadership

    def _is_current(self, shard: Shard) -> bool:
        return self._leadership.shards.get(shard.shard_id) is shard

    def load(self, shard: Shard) -> Coroutine[StoredProgress | None]:
        """All pages of a shard; None when the shard was lost meanwhile."""
        found: StoredProgress = {}
        prefix = f"{keys.PROGRESS}{shard.shard_id}/"
        after_key = ""
        while self._is_current(shard):
            # Until it is read no agent of the shard gets an answer: it must not wait behind users.
            response: StoreResponse = yield ListKeys(
                prefix, after_key, LISTED_KEYS, RequestPriority.LEASE
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
        """Write finished tasks in batches, about once a second or as the rate allows.

        The number of slices grows with the load, the store's rate does not. What is finished and
        not written yet is listed on by its agent, which is ordered to forget it only afterwards.
        """
        state = self._context.settings.cluster.state
        changes_per_s = PROGRESS_SHARE * state.write_rps / len(self._context.settings.nodes)
        spent = turn = 0
        while self._is_current(shard):
            ready = [shard for shard in self._leadership.shards.values() if shard.is_ready]
            pause_s = max(LEAST_PAUSE_S, spent * len(ready) / changes_per_s)
            spent = 0
            yield Sleep(pause_s + RANDOM_PAUSE_S * self._context.rng.random())
            if not self._leadership.is_leader(shard.shard_id):
                continue
            batch = dirty_pages(shard, self._context.now)[: self._context.max_batch_changes]
            turn += 1
            if shard.obsolete_keys and (not batch or turn % SWEEP_EVERY == 0):
                spent = yield from self._sweep(shard)
            elif batch:
                spent = len(batch)
                yield from self._write(shard, batch)

    def _sweep(self, shard: Shard) -> Coroutine[int]:
        """Delete keys that are of no use; returns the number of changes sent.

        Each is conditional on its version: a deletion that is carried out late must not take what
        has been written under the key since.
        """
        most = self._context.max_batch_changes
        yield from _read_versions(shard, most)
        _restore_pages_in_use(shard)
        known = {
            key: version for key, version in shard.obsolete_keys.items() if version is not None
        }
        deletions = dict(list(known.items())[:most])
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
        """Write pages in one commit, and take in what became of it."""
        written = [WrittenPage(dirty.job_slice, dirty.page, dirty.bits) for dirty in batch]
        preconditions = [self._leadership.fence_precondition(shard.shard_id)]
        puts = []
        for page in written:
            key = _key(shard, page)
            preconditions.append((key, page.job_slice.page_versions.get(page.page, 0)))
            puts.append(Put(key, encode_bits(page.bits)))
        response: StoreResponse = yield CompareAndSwap(
            preconditions, puts, [], RequestPriority.PROGRESS
        )
        if response.status == 200:
            for page in written:
                self._mark_durable(page, response.revision)
        elif response.status in (0, 409):
            # No response, or an earlier try was applied after all.
            yield from _read_back(shard, written)
        # A slice that ended meanwhile leaves pages behind.
        for page in written:
            if shard.slices.get(page.job_slice.spec.id) is not page.job_slice:
                shard.obsolete_keys[_key(shard, page)] = None

    def _mark_durable(self, page: WrittenPage, version: int) -> None:
        job_slice = page.job_slice
        job_slice.page_versions[page.page] = version
        job_slice.durable_bits |= page.bits << (page.page * TASKS_PER_PROGRESS_PAGE)
        is_dirty = bool(job_slice.done_bits & ~job_slice.durable_bits)
        job_slice.dirty_since = self._context.now if is_dirty else None


def dirty_pages(shard: Shard, now: float) -> list[DirtyPage]:
    """Pages that hold finished tasks which the store does not know, the oldest first."""
    found = []
    for job_slice in shard.slices.values():
        if job_slice.dirty_since is None or job_slice.is_cancelled:
            continue
        is_complete = job_slice.done_count == job_slice.size
        write_after_s = WRITE_COMPLETE_AFTER_S if is_complete else WRITE_AFTER_S
        if now - job_slice.dirty_since < write_after_s:
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


def _key(shard: Shard, page: WrittenPage) -> str:
    return keys.progress_page(shard.shard_id, page.job_slice.spec.id, page.page)


def _read_versions(shard: Shard, most: int) -> Coroutine[None]:
    """Read the versions of obsolete keys for which they are not known."""
    for key in [key for key, version in shard.obsolete_keys.items() if version is None][:most]:
        response: StoreResponse = yield Get(key, RequestPriority.PROGRESS)
        if response.status == 404:
            shard.obsolete_keys.pop(key, None)
        elif response.status == 200:
            shard.obsolete_keys[key] = response.version


def _restore_pages_in_use(shard: Shard) -> None:
    """A slice that has come back uses its pages again."""
    used = {
        keys.progress_page(shard.shard_id, job, page)
        for job, job_slice in shard.slices.items()
        for page in job_slice.page_versions
    }
    for key in used & shard.obsolete_keys.keys():
        del shard.obsolete_keys[key]


def _read_back(shard: Shard, written: list[WrittenPage]) -> Coroutine[None]:
    """Read the versions of pages; one that is read late fails the next write, and is read again."""
    for page in written:
        response: StoreResponse = yield Get(_key(shard, page), RequestPriority.PROGRESS)
        if response.status == 200:
            page.job_slice.page_versions[page.page] = response.version
            page.job_slice.durable_bits |= decode_bits(response.value) << (
                page.page * TASKS_PER_PROGRESS_PAGE
            )
        elif response.status == 404:
            page.job_slice.page_versions[page.page] = 0
