"""What a controller shows to operators: leadership, jobs, decisions and what waits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marblestair.core.domain.amounts import FIXED_POINT_UNIT

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: age shown of a view that was never filled
MOST_AGE_S = 1e6


def status(controller: Controller) -> dict[str, Any]:
    """What a node sees and does, for operators."""
    return {
        **_leadership(controller),
        **_jobs(controller),
        **_waiting(controller),
        "decisions": dict(sorted(controller.decisions.counts.items())),
        "parts": _parts(controller),
    }


def _leadership(controller: Controller) -> dict[str, Any]:
    now = controller.now
    authority = controller.leadership
    return {
        "node": controller.node,
        "acts_for": [shard.shard_id for shard in controller.led_shards()],
        "lease_s_left": round(max(0.0, authority.lease_expires_at - now), 1),
        "on_promises": authority.promises.are_held(now),
        "view_s_old": round(min(MOST_AGE_S, now - controller.view.fresh_as_of), 1),
    }


def _jobs(controller: Controller) -> dict[str, Any]:
    return {
        "live_jobs": len(controller.view.jobs),
        "managed_jobs": len(controller.job_managers.managed),
        "waiting_jobs": controller.dependencies.blocked_count,
        "waiting": controller.dependencies.status(),
        "migrations": controller.slice_migrations.completed_count,
        "refused_commits": controller.rejected_writes,
    }


def _waiting(controller: Controller) -> dict[str, Any]:
    """What is under way, and for how long it has been."""
    parts = controller.shards.values()
    managed = controller.job_managers.managed.values()
    return {
        "cancels_not_confirmed": controller.cancellations.unconfirmed_count,
        "oldest_not_confirmed_s": round(controller.cancellations.oldest_unconfirmed_s, 1),
        "changes_in_doubt": sum(not job.is_record_known for job in managed),
        "stops_waiting": sum(shard.pending_stop_count for shard in parts),
        "machines_with_unknown_tasks": sum(
            len(shard.machines_with_unknown_tasks) for shard in parts
        ),
    }


def _parts(controller: Controller) -> list[dict[str, Any]]:
    shard_map = controller.view.shard_map
    shown = []
    for number, record in enumerate(shard_map.shards if shard_map is not None else []):
        told_at, summary = controller.shard_summaries.get(number, (None, None))
        members = (m.shard_id == number for m in controller.view.machines.values())
        shown.append(
            {
                "part": number,
                "owner": record.leader,
                "term": record.term,
                "shares_cpus": {team: x[0] / FIXED_POINT_UNIT for team, x in record.quotas.items()},
                "backlog_cpus": summary.backlog_cpus / FIXED_POINT_UNIT
                if summary is not None
                else None,
                "told_s_ago": round(controller.now - told_at, 1) if told_at is not None else None,
                "machines": sum(members),
            }
        )
    return shown
