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


def recover_shard(controller: Controller, part: Shard, taken_at: int) -> Coroutine:
    """Rebuild a part that was taken by a commit of the split at a revision."""
    # Everything committed before the takeover must be in the view first: jobs, cancels, machines.
    while controller.view.revision < taken_at:
        yield Sleep(LOOK_S)
        if controller.shards.get(part.shard_id) is not part:
            return
    pages = yield from load_progress(controller, part)
    if pages is None:
        return
    _take_machines(controller, part)
    for job in controller.view.jobs:
        controller.sync_slice(part, job)
    _take_progress(part, pages)
    for s in part.slices.values():
        # What awaits other jobs never had a task: it may start as soon as it is released.
        s.is_unreconciled = bool(part.unreconciled_machines) and not s.is_blocked
        if s.is_cancelled:
            # Users may have been told before the earlier owner fell.
            s.cancelled_at = controller.now - controller.leadership.failover_s
    part.is_ready = True
    controller.log(
        "info",
        f"part {part.shard_id} ready, term {part.term}: {len(part.machines)} machines,"
        f" {len(part.slices)} jobs, {controller.now - part.acquired_at:.2f} s after the takeover",
    )
    controller.job_managers.shards_changed()
    controller.coroutines.supervise(partial(persist_progress, controller, part))
    controller.coroutines.supervise(partial(controller.fleet.manage_shard, part))


def _take_machines(controller: Controller, part: Shard) -> None:
    """Every machine of the part is suspect: what runs there is not known."""
    for name, member in controller.view.machines.items():
        if member.shard_id == part.shard_id:
            controller.sync_machine(name, part)
            part.unreconciled_machines.add(name)


def _take_progress(part: Shard, pages: dict[str, dict[int, tuple[int, int]]]) -> None:
    """What was recorded as done is done; pages of jobs that are over are of no use."""
    for job, numbered in pages.items():
        s = part.slices.get(job)
        for page, (bits, version) in numbered.items():
            if s is None:
                part.obsolete_keys[keys.progress_page(part.shard_id, job, page)] = version
                continue
            s.page_versions[page] = version
            s.load_done_page(page, bits)
