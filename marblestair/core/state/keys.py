"""Keys in the state service. A tenant prefix comes first, so that more tenants can come later."""

from __future__ import annotations

TENANT = "main"

#: everything that every controller follows by its watch
VIEW = f"{TENANT}/w/"
SHARD_MAP = f"{VIEW}split"
NODES = f"{VIEW}node/"
#: one key per part, rewritten at each takeover: everything that an owner commits is guarded on
#: it, so that a transaction of an earlier owner that is applied late changes nothing
FENCES = f"{VIEW}fence/"
MACHINES = f"{VIEW}machine/"
JOBS = f"{VIEW}job/"

#: final states, kept for good
FINALS = f"{TENANT}/f/"
#: progress pages, by part
PROGRESS = f"{TENANT}/p/"
#: hire intents, by part
RENTAL_INTENTS = f"{TENANT}/h/"
#: last known machine types, one key each
TYPES = f"{TENANT}/t/"


def progress_page(shard_id: int, job: str, page: int) -> str:
    """Key of one page of a part's progress on a job."""
    return f"{PROGRESS}{shard_id}/{job}/{page}"


def rental_intent(shard_id: int, name: str) -> str:
    """Key of a hire intent."""
    return f"{RENTAL_INTENTS}{shard_id}/{name}"
