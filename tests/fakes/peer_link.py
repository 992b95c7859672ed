"""The way between controllers: one-way messages, requests and their replies."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from marblestair.core.runtime.outbox import OutgoingMessage, PeerReply
from marblestair.core.runtime.requests import PeerRequest
from tests.fakes.peer_wire import deliver, deliver_request, encode
from tests.fakes.pending_call import PendingCall
from tests.fakes.wire_message import WireMessage, wire_round_trip

if TYPE_CHECKING:
    from tests.fakes.simulated_deployment import SimulatedDeployment


class PeerLink:
    """Carries what goes between controllers, in the form that it has on the wire."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        #: request -> takes its reply
        self._pending: dict[int, Callable[[Any], None]] = {}
        #: request -> tag of its message
        self._tags: dict[int, str] = {}
        #: has a one-way message arrive; a test may put another function in its place
        self.deliver: Callable[[str, str, WireMessage], None] = self._deliver

    def send_messages(self, node: str, outgoing: list[OutgoingMessage]) -> None:
        """Carry one-way messages of a node."""
        network = self._deployment.network
        for item in outgoing:
            message = encode(item.message)
            if message.tag not in network.dropped_tags:
                self._send_message(node, item.node, message)

    def _send_message(self, sender: str, receiver: str, message: WireMessage) -> None:
        self._deployment.network.send(
            sender, receiver, lambda: self.deliver(sender, receiver, message)
        )

    def _deliver(self, sender: str, node: str, message: WireMessage) -> None:
        nodes = self._deployment.nodes
        if nodes.defer_while_frozen(node, lambda: self._deliver(sender, node, message)):
            return
        controller = nodes.controllers.get(node)
        if controller is not None:
            nodes.set_time(controller)
            deliver(controller, sender, message)
            nodes.flush(node)

    def request(self, node: str, request: PeerRequest, call: PendingCall) -> None:
        """Carry a request of a node to another, and the reply back."""
        deployment = self._deployment
        deployment.schedule(request.timeout_s, lambda: call.complete(None))
        dropped_tags = deployment.network.dropped_tags
        if dropped_tags and encode(request.message).tag in dropped_tags:
            return

        def arrive() -> None:
            if deployment.nodes.defer_while_frozen(request.node, arrive):
                return
            peer = deployment.nodes.controllers.get(request.node)
            if peer is None:
                return
            message = encode(request.message)
            number = self.expect_reply(
                lambda reply: deployment.network.send(
                    request.node, node, lambda: call.complete(reply)
                ),
                message.tag,
            )
            deployment.nodes.set_time(peer)
            deliver_request(peer, number, node, message)
            deployment.nodes.flush(request.node)

        deployment.network.send(node, request.node, arrive)

    def expect_reply(self, receive: Callable[[Any], None], tag: str) -> int:
        """The number of a new request, whose reply is to go to a function."""
        number = next(self._deployment.request_numbers)
        self._pending[number] = receive
        self._tags[number] = tag
        return number

    def send_replies(self, node: str, replies: list[PeerReply]) -> None:
        """Carry replies of a node to who asked."""
        for reply in replies:
            receive = self._pending.pop(reply.request_id, None)
            if receive is not None:
                tag = self._tags.pop(reply.request_id)
                self._reply(node, tag, wire_round_trip(reply.value), receive)

    def _reply(self, node: str, tag: str, value: Any, receive: Callable[[Any], None]) -> None:
        nodes = self._deployment.nodes
        nodes.report_peer_reply(node, tag, value)
        if not nodes.defer_while_frozen(node, lambda: receive(value)):
            receive(value)
