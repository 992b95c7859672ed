"""Malformed messages between controllers."""

from __future__ import annotations

from tests.fakes.peer_wire import WireMessage, deliver


def test_malformed_notes_do_not_end_the_core() -> None:
    from tests.fakes.world import World

    world = World(1)
    world.run(3.0)
    controller = world.cores["n0"]
    assert controller is not None
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
    world.run(1.0)
