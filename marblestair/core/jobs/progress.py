"""A part's progress on its jobs, kept in pages in the state service.

Each page is written by one part only, under a guard on the part's fence and on the page's
version. A finished task is reaped only once its page holds it, so that a takeover never loses
a result.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core.domain.index_ranges import PAGE, decode_bits, encode_bits
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Get,
    Lane,
    ListKeys,
    Put,
    StoreResponse,
)
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller


#: share of a node's changes that progress may take, so that it holds nothing else up
SHARE = 0.35
#: of so many turns one is left to deleting what is of no use, however much progress there is
SWEEP_EVERY = 5
#: pause between two batches, at the least
LEAST_PAUSE_S = 0.7


def load_progress(controller: Controller, shard: Shard) -> Step:
    """All pages of a part: job -> page -> (bits, version); None when the part was lost."""
    out: dict[str, dict[int, tuple[int, int]]] = {}
    prefix = f"{keys.PROGRESS}{shard.shard_id}/"
    after = ""
    while controller.shards.get(shard.shard_id) is shard:
        # Until it is read no worker of the part gets an answer: it must not wait behind users.
        response: StoreResponse = yield ListKeys(prefix, after, 500, Lane.LEASE)
        if response.status != 200:
            yield Sleep(0.1 + 0.2 * controller.rng.random())
            continue
        for item in response.items:
            job, _, page = item.key[len(prefix) :].rpartition("/")
            out.setdefault(job, {})[int(page)] = (decode_bits(item.value), item.version)
        if not response.has_more or not response.items:
            return out
        after = response.items[-1].key
    return None


def _dirty(shard: Shard, now: float) -> list[tuple[JobSlice, int]]:
    out = []
    for job_slice in shard.slices.values():
        if job_slice.dirty_since is None or job_slice.is_cancelled:
            continue
        # A slice that is complete is about to be recorded with its job's end.
        wait = 1.5 if job_slice.done_count == job_slice.size else 0.5
        if now - job_slice.dirty_since < wait:
            continue
        fresh = job_slice.done_bits & ~job_slice.durable_bits
        mask = (1 << PAGE) - 1
        page = 0
        while fresh:
            if fresh & mask:
                out.append((job_slice, page))
            fresh >>= PAGE
            page += 1
    out.sort(key=lambda x: x[0].dirty_since or 0.0)
    return out


def _sweep(controller: Controller, shard: Shard, ops: int) -> Step:
    """Delete keys that are of no use; returns the number of changes sent.

    Each is guarded on its version: a deletion that is carried out late must not take what has
    been written under the key since.
    """
    for key in [k for k, v in shard.obsolete_keys.items() if v is None][:ops]:
        read: StoreResponse = yield Get(key, Lane.PROGRESS)
        if read.status == 404:
            shard.obsolete_keys.pop(key, None)
        elif read.status == 200:
            shard.obsolete_keys[key] = read.version
    used = {
        keys.progress_page(shard.shard_id, job, page)
        for job, job_slice in shard.slices.items()
        for page in job_slice.page_versions
    }
    for key in used & shard.obsolete_keys.keys():
        # The slice has come back, and its page is in use again.
        del shard.obsolete_keys[key]
    drop = {k: v for k, v in shard.obsolete_keys.items() if v is not None}
    drop = dict(list(drop.items())[:ops])
    if not drop:
        return 0
    response: StoreResponse = yield CompareAndSwap(
        [controller.fence_precondition(shard.shard_id), *drop.items()],
        [],
        list(drop),
        Lane.PROGRESS,
    )
    for key in drop:
        if response.status == 200:
            shard.obsolete_keys.pop(key, None)
        elif response.status in (0, 409):
            shard.obsolete_keys[key] = None
    return len(drop)


class WrittenPage(msgspec.Struct, frozen=True):
    """A page of a slice's progress that is being written, with the bits of what is done."""

    owned: JobSlice
    page: int
    bits: int


def persist_progress(controller: Controller, part: Shard) -> Coroutine:
    """Write finished tasks in batches, about once a second or as the rate allows.

    The number of slices grows with the load, the state service's rate does not. What is
    finished and not written yet is kept by its worker, which is told to forget it only
    afterwards.
    """
    state = controller.settings.cluster.state
    rate = SHARE * state.write_rps / len(controller.settings.nodes)
    spent = turn = 0
    while controller.shards.get(part.shard_id) is part:
        held = [p for p in controller.shards.values() if p.is_ready]
        pause = max(LEAST_PAUSE_S, spent * len(held) / rate)
        spent = 0
        yield Sleep(pause + 0.2 * controller.rng.random())
        if not controller.is_leader(part.shard_id):
            continue
        batch = _dirty(part, controller.now)[: controller.max_batch_changes]
        turn += 1
        if part.obsolete_keys and (not batch or turn % SWEEP_EVERY == 0):
            spent = yield from _sweep(controller, part, controller.max_batch_changes)
        elif batch:
            spent = len(batch)
            yield from _write(controller, part, batch)


def _write(controller: Controller, shard: Shard, batch: list[tuple[JobSlice, int]]) -> Step:
    """Write pages in one commit, and take in what became of it."""
    mask = (1 << PAGE) - 1
    written = [
        WrittenPage(job_slice, page, (job_slice.done_bits >> (page * PAGE)) & mask)
        for job_slice, page in batch
    ]
    guards = [controller.fence_precondition(shard.shard_id)]
    puts = []
    for w in written:
        key = keys.progress_page(shard.shard_id, w.owned.spec.id, w.page)
        guards.append((key, w.owned.page_versions.get(w.page, 0)))
        puts.append(Put(key, encode_bits(w.bits)))
    response: StoreResponse = yield CompareAndSwap(guards, puts, [], Lane.PROGRESS)
    if response.status == 200:
        for w in written:
            w.owned.page_versions[w.page] = response.revision
            w.owned.durable_bits |= w.bits << (w.page * PAGE)
            is_dirty = bool(w.owned.done_bits & ~w.owned.durable_bits)
            w.owned.dirty_since = controller.now if is_dirty else None
    elif response.status in (0, 409):
        # No answer, or an earlier try was applied after all.
        yield from _read_back(shard, written)
    # A slice that ended meanwhile leaves pages behind.
    for w in written:
        if shard.slices.get(w.owned.spec.id) is not w.owned:
            shard.obsolete_keys[keys.progress_page(shard.shard_id, w.owned.spec.id, w.page)] = None


def _read_back(shard: Shard, written: list[WrittenPage]) -> Step:
    """Read the versions of pages; one that is read late fails the next guard, and is read again."""
    for w in written:
        read: StoreResponse = yield Get(
            keys.progress_page(shard.shard_id, w.owned.spec.id, w.page), Lane.PROGRESS
        )
        if read.status == 200:
            w.owned.page_versions[w.page] = read.version
            w.owned.durable_bits |= decode_bits(read.value) << (w.page * PAGE)
        elif read.status == 404:
            w.owned.page_versions[w.page] = 0
