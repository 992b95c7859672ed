"""Handling of malformed messages from other controllers."""

from __future__ import annotations

from tests.fakes.peer_wire import deliver
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.fakes.wire_message import WireMessage


def test_malformed_messages_do_not_end_the_controller() -> None:
    deployment = SimulatedDeployment(1)
    deployment.run(3.0)
    controller = deployment.nodes.controller("n0")
    for tag, arguments in (
        ("summaries", []),
        ("summaries", [controller.view.nodes["n1"], [["x"]]]),
        ("progress", [[1, 2]]),
        ("what", [1]),
    ):
        deliver(controller, "n1", WireMessage(tag, arguments))
    lines = controller.context.outbox.log_lines
    assert sum(line.level == "error" for line in lines) == 3
    lines.clear()
    deployment.run(1.0)
