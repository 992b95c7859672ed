"""Outputs of a controller, which the I/O code around the core sends and logs."""

from __future__ import annotations

from typing import Any

import msgspec

from marblestair.core.domain.agents import TaskCommand
from marblestair.core.runtime.requests import PeerMessage


class UserReply(msgspec.Struct, frozen=True):
    """The reply to a user's request."""

    request_id: int
    status: int
    job: str = ""
    state: str = ""
    done: int | None = None
    running: int | None = None
    error: str = ""
    #: seconds after which the user may retry a refused request; 0: not specified
    retry_after_s: int = 0


class DirectCommand(msgspec.Struct, frozen=True):
    """Commands to send to an agent at once, rather than in the response to a heartbeat."""

    address: str
    fencing_token: int
    agent_incarnation: int
    commands: list[TaskCommand]


class OutgoingMessage(msgspec.Struct, frozen=True):
    """A one-way message to another controller."""

    node: str
    message: PeerMessage


class PeerReply(msgspec.Struct, frozen=True):
    """The reply to another controller's request; ``value`` is None if there is no answer."""

    request_id: int
    value: Any


class LogLine(msgspec.Struct, frozen=True):
    """A log line; its level is ``error``, ``info`` or ``debug``."""

    level: str
    text: str


class Outbox:
    """Everything that a controller has to send and to log, until the I/O code takes it."""

    def __init__(self) -> None:
        self.user_replies: list[UserReply] = []
        self.direct_commands: list[DirectCommand] = []
        self.messages: list[OutgoingMessage] = []
        self.peer_replies: list[PeerReply] = []
        self.log_lines: list[LogLine] = []
