"""Responses to agents' heartbeats."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from marblestair.core.domain.agents import TaskCommand


class HeartbeatResponse(NamedTuple):
    """The response to a heartbeat.

    A response with status 200 carries the shard's fencing token and commands. One with status 421
    names the node that leads the shard, if known. One with status 503 carries nothing.
    """

    status: int
    fencing_token: int = 0
    commands: Sequence[TaskCommand] = ()
    leader: str | None = None
