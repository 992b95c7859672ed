"""Simulated hosts and processes, and the process to which the running callback belongs."""

from __future__ import annotations

import contextvars
from dataclasses import dataclass


@dataclass(frozen=True)
class Host:
    """A host of the simulated network; its kind and name tell which program runs on it."""

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
        """Return a context; callbacks and tasks that run in it belong to this process."""
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, self)
        return context


#: process to which the running callback belongs; None for outside systems and the network
CURRENT_PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar(
    "current_process", default=None
)
