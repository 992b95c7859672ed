"""Heartbeats of agents, and the commands to them.

An agent is the process on one machine that runs tasks. It sends heartbeats with the status of all
its tasks, and receives commands in the responses.
"""

from __future__ import annotations

import enum

import msgspec


class TaskState(enum.StrEnum):
    """State of a task on a machine, as its agent lists it or as its leader expects it."""

    #: its launch is decided, and in no response yet
    PLANNED = "planned"
    #: its launch was in a response, and no heartbeat lists it yet
    SENT = "sent"
    #: waits for its image
    FETCHING = "fetching"
    #: waits for the other tasks of its gang
    WAITING = "waiting"
    RUNNING = "running"
    #: received a command to stop, and saves a checkpoint
    SAVING = "saving"
    EXITED = "exited"
    #: a state that this version does not know
    UNRECOGNIZED = "unrecognized"


class ExitReason(enum.StrEnum):
    """Why a task ended."""

    #: it has not ended
    NONE = ""
    DONE = "done"
    #: stopped by a command
    STOPPED = "stopped"
    #: another task of its gang is gone
    PEER_LOST = "peers"
    #: its gang was not complete in time
    GANG_INCOMPLETE = "alone"
    ERROR = "error"
    #: start refused: not enough free resources
    INSUFFICIENT_RESOURCES = "no_room"
    #: start refused: the task is on the machine with another attempt
    OTHER_ATTEMPT_PRESENT = "busy"
    #: start refused: no such job or task
    UNKNOWN = "unknown"
    #: a reason that this version does not know
    UNRECOGNIZED = "unrecognized"


class CommandVerb(enum.StrEnum):
    """What an agent is to do with a task."""

    START = "start"
    STOP = "stop"
    #: leave an exited task out of further heartbeats
    FORGET = "forget"


class TaskStatus(msgspec.Struct, frozen=True):
    """The status of one task in a heartbeat."""

    job: str
    index: int
    attempt: int
    state: TaskState
    exit_reason: ExitReason = ExitReason.NONE
    is_checkpoint_saved: bool = False


class Heartbeat(msgspec.Struct, frozen=True):
    """A heartbeat of an agent, with the status of every task on its machine.

    The sequence numbers of one agent incarnation ascend; ``fencing_token`` is the last that
    the agent accepted.
    """

    machine: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    agent_incarnation: int
    sequence: int
    fencing_token: int
    reclaim_in_s: float | None
    tasks: list[TaskStatus]


class TaskCommand(msgspec.Struct, frozen=True):
    """A command to an agent about one task."""

    verb: CommandVerb
    job: str
    index: int
    attempt: int
    grace_s: float = 0.0
