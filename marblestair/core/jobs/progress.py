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
from marblestair.core.runtime.requests import (
    LEASE,
    PROGRESS,
    CompareAndSwap,
    Get,
    ListKeys,
    Put,
    Sleep,
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


def load_progress(controller: Controller, part: Shard) -> Step:
    """All pages of a part: job -> page -> (bits, version); None when the part was lost."""
    out: dict[str, dict[int, tuple[int, int]]] = {}
    prefix = f"{keys.PROGRESS}{part.shard_id}/"
    after = ""
    while controller.shards.get(part.shard_id) is part:
        # Until it is read no worker of the part gets an answer: it must not wait behind users.
        r: StoreResponse = yield ListKeys(prefix, after, 500, LEASE)
        if r.status != 200:
            yield Sleep(0.1 + 0.2 * controller.rng.random())
            continue
        for i in r.items:
            job, _, page = i.key[len(prefix) :].rpartition("/")
            out.setdefault(job, {})[int(page)] = (decode_bits(i.value), i.version)
        if not r.has_more or not r.items:
            return out
        after = r.items[-1].key
    return None


def _dirty(part: Shard, now: float) -> list[tuple[JobSlice, int]]:
    out = []
    for s in part.slices.values():
        if s.dirty_since is None or s.is_cancelled:
            continue
        # A slice that is complete is about to be recorded with its job's end.
        wait = 1.5 if s.done_count == s.size else 0.5
        if now - s.dirty_since < wait:
            continue
        fresh = s.done_bits & ~s.durable_bits
        mask = (1 << PAGE) - 1
        page = 0
        while fresh:
            if fresh & mask:
                out.append((s, page))
            fresh >>= PAGE
            page += 1
    out.sort(key=lambda x: x[0].dirty_since or 0.0)
    return out


def _sweep(controller: Controller, part: Shard, ops: int) -> Step:
    """Delete keys that are of no use; returns the number of changes sent.

    Each is guarded on its version: a deletion that is carried out late must not take what has
    been written under the key since.
    """
    for key in [k for k, v in part.obsolete_keys.items() if v is None][:ops]:
        got: StoreResponse = yield Get(key, PROGRESS)
        if got.status == 404:
            part.obsolete_keys.pop(key, None)
        elif got.status == 200:
            part.obsolete_keys[key] = got.version
    used = {
        keys.progress_page(part.shard_id, job, page)
        for job, s in part.slices.items()
        for page in s.page_versions
    }
    for key in used & part.obsolete_keys.keys():
        # The slice has come back, and its page is in use again.
        del part.obsolete_keys[key]
    drop = {k: v for k, v in part.obsolete_keys.items() if v is not None}
    drop = dict(list(drop.items())[:ops])
    if not drop:
        return 0
    r: StoreResponse = yield CompareAndSwap(
        [controller.fence_precondition(part.shard_id), *drop.items()], [], list(drop), PROGRESS
    )
    for key in drop:
        if r.status == 200:
            part.obsolete_keys.pop(key, None)
        elif r.status in (0, 409):
            part.obsolete_keys[key] = None
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


def _write(controller: Controller, part: Shard, batch: list[tuple[JobSlice, int]]) -> Step:
    """Write pages in one commit, and take in what became of it."""
    mask = (1 << PAGE) - 1
    written = [WrittenPage(s, page, (s.done_bits >> (page * PAGE)) & mask) for s, page in batch]
    guards = [controller.fence_precondition(part.shard_id)]
    puts = []
    for w in written:
        key = keys.progress_page(part.shard_id, w.owned.spec.id, w.page)
        guards.append((key, w.owned.page_versions.get(w.page, 0)))
        puts.append(Put(key, encode_bits(w.bits)))
    result: StoreResponse = yield CompareAndSwap(guards, puts, [], PROGRESS)
    if result.status == 200:
        for w in written:
            w.owned.page_versions[w.page] = result.revision
            w.owned.durable_bits |= w.bits << (w.page * PAGE)
            is_dirty = bool(w.owned.done_bits & ~w.owned.durable_bits)
            w.owned.dirty_since = controller.now if is_dirty else None
    elif result.status in (0, 409):
        # No answer, or an earlier try was applied after all.
        yield from _read_back(part, written)
    # A slice that ended meanwhile leaves pages behind.
    for w in written:
        if part.slices.get(w.owned.spec.id) is not w.owned:
            part.obsolete_keys[keys.progress_page(part.shard_id, w.owned.spec.id, w.page)] = None


def _read_back(part: Shard, written: list[WrittenPage]) -> Step:
    """Read the versions of pages; one that is read late fails the next guard, and is read again."""
    for w in written:
        got: StoreResponse = yield Get(
            keys.progress_page(part.shard_id, w.owned.spec.id, w.page), PROGRESS
        )
        if got.status == 200:
            w.owned.page_versions[w.page] = got.version
            w.owned.durable_bits |= decode_bits(got.value) << (w.page * PAGE)
        elif got.status == 404:
            w.owned.page_versions[w.page] = 0
