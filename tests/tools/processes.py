"""Simulated processes, and the process to which a callback belongs."""

from __future__ import annotations

import contextvars
from dataclasses import dataclass


@dataclass(frozen=True)
class Host:
    """A machine of the simulated network; its kind and its name say what runs there."""

    kind: str
    name: str
    address: str


class Process:
    """One run of a program on a host, from its start until it is killed."""

    def __init__(self, host: Host, run: int) -> None:
        self.host = host
        self.run = run
        self.is_alive = True

    def context(self) -> contextvars.Context:
        """A context whose callbacks and tasks belong to this process."""
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, self)
        return context


#: the process to which the running callback belongs; None: the outside systems and the network
CURRENT_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar(
    "current_process", default=None
)
