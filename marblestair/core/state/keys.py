"""Keys in the store. All begin with a tenant prefix, so that further tenants can be added.

The keys must not change, because the deployed release of marblestair uses the same keys.
"""

from __future__ import annotations

TENANT = "main"

#: prefix of all keys that every controller watches
WATCHED = f"{TENANT}/w/"
SHARD_MAP = f"{WATCHED}split"
NODES = f"{WATCHED}node/"
#: one key per shard, rewritten whenever the shard gets a new leader. The key's version is a
#: precondition of the commits that a leader makes for the shard, so a late transaction of a former
#: leader fails.
FENCES = f"{WATCHED}fence/"
MACHINES = f"{WATCHED}machine/"
JOBS = f"{WATCHED}job/"

#: final states of jobs, which are never deleted
FINAL_STATES = f"{TENANT}/f/"
#: progress pages, by shard
PROGRESS = f"{TENANT}/p/"
#: rental intents, by shard
RENTAL_INTENTS = f"{TENANT}/h/"
#: last known machine types, one key per type
MACHINE_TYPES = f"{TENANT}/t/"


def progress_page(shard_id: int, job: str, page: int) -> str:
    """Return the key of a progress page of a job's slice in a shard."""
    return f"{PROGRESS}{shard_id}/{job}/{page}"


def rental_intent(shard_id: int, name: str) -> str:
    """Return the key of a rental intent."""
    return f"{RENTAL_INTENTS}{shard_id}/{name}"
