"""What an agent's heartbeat is answered with."""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.domain.agents import TaskCommand


class HeartbeatResponse(NamedTuple):
    """The status, and with a 200 the fencing token and commands, with a 421 the node to turn to."""

    status: int
    fencing_token: int = 0
    commands: tuple[TaskCommand, ...] | list[TaskCommand] = ()
    leader: str | None = None
