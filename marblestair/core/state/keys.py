"""Keys in the store. A tenant prefix comes first, so that more tenants can come later.

The keys themselves are as the version in production has them.
"""

from __future__ import annotations

TENANT = "main"

#: everything that every controller follows by its watch
WATCHED = f"{TENANT}/w/"
SHARD_MAP = f"{WATCHED}split"
NODES = f"{WATCHED}node/"
#: one key per shard, rewritten at each failover: everything that a leader commits is conditional
#: on it, so that a transaction of an earlier leader that is applied late changes nothing
FENCES = f"{WATCHED}fence/"
MACHINES = f"{WATCHED}machine/"
JOBS = f"{WATCHED}job/"

#: final states, for good
FINAL_STATES = f"{TENANT}/f/"
#: pages of progress, by shard
PROGRESS = f"{TENANT}/p/"
#: rental intents, by shard
RENTAL_INTENTS = f"{TENANT}/h/"
#: last known machine types, one key each
MACHINE_TYPES = f"{TENANT}/t/"


def progress_page(shard_id: int, job: str, page: int) -> str:
    """Key of one page of a shard's progress on a job."""
    return f"{PROGRESS}{shard_id}/{job}/{page}"


def rental_intent(shard_id: int, name: str) -> str:
    """Key of a rental intent."""
    return f"{RENTAL_INTENTS}{shard_id}/{name}"
