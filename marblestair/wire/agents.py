"""Wire format of the agents' interface: heartbeats, direct commands and inspections."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from marblestair.core.domain.agents import (
    CommandVerb,
    ExitReason,
    Heartbeat,
    TaskCommand,
    TaskState,
    TaskStatus,
)
from marblestair.wire.codec import BadRequestError, pack

#: path on an agent that accepts direct commands
COMMAND_PATH = "/do"
#: path on an agent that returns its current heartbeat
INSPECT_PATH = "/inspect"

_TASK_STATES = {
    "pulling": TaskState.FETCHING,
    "waiting": TaskState.WAITING,
    "running": TaskState.RUNNING,
    "saving": TaskState.SAVING,
    "exited": TaskState.EXITED,
}
_EXIT_REASONS = {
    "": ExitReason.NONE,
    "done": ExitReason.DONE,
    "halted": ExitReason.STOPPED,
    "mates_gone": ExitReason.PEER_LOST,
    "alone": ExitReason.GANG_INCOMPLETE,
    "error": ExitReason.ERROR,
    "no_room": ExitReason.INSUFFICIENT_RESOURCES,
    "in_use": ExitReason.OTHER_ATTEMPT_PRESENT,
    "unknown": ExitReason.UNKNOWN,
}
_VERBS = {
    CommandVerb.START: "launch",
    CommandVerb.STOP: "stop",
    CommandVerb.FORGET: "reap",
}


class _Task(msgspec.Struct):
    piece: str
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    stored: bool | None = None


class _Heartbeat(msgspec.Struct):
    bench: str
    endpoint: str
    build: str
    room: str
    loaners: bool
    shift: int
    tally: int
    baton: int = 0
    recall_s: float | None = None
    pieces: list[_Task] = []


class _Command(msgspec.Struct):
    verb: str
    piece: str
    attempt: int = msgspec.field(name="try")
    wind_down_s: float | msgspec.UnsetType = msgspec.UNSET


class _HeartbeatResponse(msgspec.Struct):
    baton: int
    orders: list[_Command]


class _Redirect(msgspec.Struct):
    foreman: str | msgspec.UnsetType = msgspec.UNSET


class _DirectCommand(msgspec.Struct):
    baton: int
    shift: int
    orders: list[_Command]


_heartbeat_decoder = msgspec.msgpack.Decoder(_Heartbeat)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode an agent's heartbeat.

    Raises
    ------
    BadRequestError
        When the body is malformed.
    """
    try:
        heartbeat = _heartbeat_decoder.decode(body)
        tasks = [_task_status(task) for task in heartbeat.pieces]
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, ValueError) as error:
        raise BadRequestError(str(error)) from None
    return Heartbeat(
        machine=heartbeat.bench,
        address=heartbeat.endpoint,
        machine_type=heartbeat.build,
        zone=heartbeat.room,
        spot=heartbeat.loaners,
        agent_incarnation=heartbeat.shift,
        sequence=heartbeat.tally,
        fencing_token=heartbeat.baton,
        reclaim_in_s=heartbeat.recall_s,
        tasks=tasks,
    )


def _task_status(task: _Task) -> TaskStatus:
    job, _, index = task.piece.rpartition("/")
    return TaskStatus(
        job,
        int(index),
        task.attempt,
        _TASK_STATES.get(task.status, TaskState.UNRECOGNIZED),
        _EXIT_REASONS.get(task.cause or "", ExitReason.UNRECOGNIZED),
        bool(task.stored),
    )


def _command(command: TaskCommand) -> _Command:
    grace_s = command.grace_s if command.verb is CommandVerb.STOP else msgspec.UNSET
    piece = f"{command.job}/{command.index}"
    return _Command(_VERBS[command.verb], piece, command.attempt, grace_s)


def encode_heartbeat_response(fencing_token: int, commands: Sequence[TaskCommand]) -> bytes:
    """Encode the body of a 200 response to a heartbeat."""
    return pack(_HeartbeatResponse(fencing_token, [_command(command) for command in commands]))


def encode_redirect(node: str | None) -> bytes:
    """Encode the body of a 421 response to a heartbeat, which names the shard's leader if known."""
    return pack(_Redirect(node or msgspec.UNSET))


def encode_direct_command(
    fencing_token: int, agent_incarnation: int, commands: list[TaskCommand]
) -> bytes:
    """Encode the body of a request that sends commands directly to an agent."""
    encoded = [_command(command) for command in commands]
    return pack(_DirectCommand(fencing_token, agent_incarnation, encoded))
