"""Heartbeats of agents and the commands that controllers send them.

An agent is the process on a machine that runs the machine's tasks. It sends heartbeats with the
status of all its tasks and receives commands in the responses.
"""

from __future__ import annotations

import enum

import msgspec


class TaskState(enum.StrEnum):
    """State of a task on a machine, as reported by the agent or expected by the shard's leader."""

    #: the leader has assigned the task to the machine and has not sent the start command yet
    PLANNED = "planned"
    #: the start command was in a response, and no heartbeat has listed the task yet
    SENT = "sent"
    #: the agent is fetching the task's image
    FETCHING = "fetching"
    #: the task is ready, and waits for the other tasks of its gang
    WAITING = "waiting"
    RUNNING = "running"
    #: the task was commanded to stop, and saves a checkpoint
    SAVING = "saving"
    EXITED = "exited"
    #: the agent reported a state that this version does not know
    UNRECOGNIZED = "unrecognized"


class ExitReason(enum.StrEnum):
    """Why a task exited."""

    #: the task has not exited
    NONE = ""
    DONE = "done"
    #: the task was stopped by a command
    STOPPED = "stopped"
    #: another task of the task's gang is no longer running
    PEER_LOST = "peers"
    #: the task's gang did not become complete within ``Workers.gang_wait_s``
    GANG_INCOMPLETE = "alone"
    ERROR = "error"
    #: the agent rejected the start: the machine has too few free resources
    INSUFFICIENT_RESOURCES = "no_room"
    #: the agent rejected the start: another attempt of the task is on the machine
    OTHER_ATTEMPT_PRESENT = "busy"
    #: the agent rejected the start: no such job or task exists
    UNKNOWN = "unknown"
    #: the agent reported a reason that this version does not know
    UNRECOGNIZED = "unrecognized"


class CommandVerb(enum.StrEnum):
    """Operation that a command asks an agent to perform on a task."""

    START = "start"
    STOP = "stop"
    #: discard an exited task, so that further heartbeats do not list it
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

    Sequence numbers ascend within one agent incarnation. ``fencing_token`` is the latest token that
    the agent accepted. ``reclaim_in_s`` is the time in seconds until the cloud reclaims the
    machine, or None if the cloud has announced no reclaim.
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
    """A command to an agent concerning one attempt of a task."""

    verb: CommandVerb
    job: str
    index: int
    attempt: int
    #: time in seconds that a stopped task has to save a checkpoint
    grace_s: float = 0.0
