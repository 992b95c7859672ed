"""The rebuilding of a part by its new owner: from records and pages of progress, before it acts.

Tasks that were held before start elsewhere only once every machine of the part has reported
under the new term, or surely lost its lease; until then the machines count as suspect.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from marblestair.core.jobs.progress import load_progress, persist_progress
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: pause between two looks at whether the view has reached the takeover
LOOK_S = 0.02


def recover_shard(controller: Controller, shard: Shard, taken_at: int) -> Coroutine:
    """Rebuild a part that was taken by a commit of the split at a revision."""
    # Everything committed before the takeover must be in the view first: jobs, cancels, machines.
    while controller.view.revision < taken_at:
        yield Sleep(LOOK_S)
        if controller.shards.get(shard.shard_id) is not shard:
            return
    pages = yield from load_progress(controller, shard)
    if pages is None:
        return
    _take_machines(controller, shard)
    for job in controller.view.jobs:
        controller.sync_slice(shard, job)
    _take_progress(shard, pages)
    for job_slice in shard.slices.values():
        # What awaits other jobs never had a task: it may start as soon as it is released.
        job_slice.is_unreconciled = bool(shard.unreconciled_machines) and not job_slice.is_blocked
        if job_slice.is_cancelled:
            # Users may have been told before the earlier owner fell.
            job_slice.cancelled_at = controller.now - controller.leadership.failover_s
    shard.is_ready = True
    controller.log(
        "info",
        f"part {shard.shard_id} ready, term {shard.term}: {len(shard.machines)} machines,"
        f" {len(shard.slices)} jobs, {controller.now - shard.acquired_at:.2f} s after the takeover",
    )
    controller.job_managers.shards_changed()
    controller.coroutines.supervise(partial(persist_progress, controller, shard))
    controller.coroutines.supervise(partial(controller.fleet.manage_shard, shard))


def _take_machines(controller: Controller, shard: Shard) -> None:
    """Every machine of the part is suspect: what runs there is not known."""
    for name, member in controller.view.machines.items():
        if member.shard_id == shard.shard_id:
            controller.sync_machine(name, shard)
            shard.unreconciled_machines.add(name)


def _take_progress(shard: Shard, pages: dict[str, dict[int, tuple[int, int]]]) -> None:
    """What was recorded as done is done; pages of jobs that are over are of no use."""
    for job, numbered in pages.items():
        job_slice = shard.slices.get(job)
        for page, (bits, version) in numbered.items():
            if job_slice is None:
                shard.obsolete_keys[keys.progress_page(shard.shard_id, job, page)] = version
                continue
            job_slice.page_versions[page] = version
            job_slice.load_done_page(page, bits)
