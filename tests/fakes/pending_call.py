"""A pending request of a controller's coroutine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marblestair.core.controller import Controller

if TYPE_CHECKING:
    from tests.fakes.nodes import SimulatedNodes


class PendingCall:
    """Completes one request of a controller's coroutine; later results are ignored."""

    def __init__(self, nodes: SimulatedNodes, controller: Controller, number: int) -> None:
        self.is_completed = False
        self._nodes = nodes
        self._controller = controller
        self._number = number

    def complete(self, result: Any) -> None:
        """Pass a result to the controller, unless the request is completed."""
        if not self.is_completed:
            self.is_completed = True
            self._nodes.complete(self._controller, self._number, result)
