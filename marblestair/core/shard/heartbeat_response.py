"""Responses to agents' heartbeats."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from marblestair.core.domain.agents import TaskCommand


class HeartbeatResponse(NamedTuple):
    """The response to a heartbeat.

    With status 200 it carries the shard's fencing token and commands, with 421 the node that leads
    the shard, if known, and with 503 nothing.
    """

    status: int
    fencing_token: int = 0
    commands: Sequence[TaskCommand] = ()
    leader: str | None = None
