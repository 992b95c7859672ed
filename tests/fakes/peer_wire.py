"""Messages between controllers as they are on the wire, also those of the version in production."""

from __future__ import annotations

from typing import Any

from marblestair.core.runtime.requests import PeerMessage
from marblestair.wire.peers import (
    MalformedMessageError,
    arguments_of,
    decode_message,
    decode_request,
    tag_of,
)
from tests.fakes.production import ProductionController
from tests.fakes.wire_message import WireMessage, wire_round_trip


def encode(message: PeerMessage) -> WireMessage:
    """A message as it goes over the wire; one of production's is that already."""
    if isinstance(message, WireMessage):
        return message
    return WireMessage(tag_of(message), wire_round_trip(arguments_of(message)))


def deliver(controller: Any, sender: str, message: WireMessage) -> None:
    """A one-way message arrives at a controller."""
    if isinstance(controller, ProductionController):
        controller.receive_message(sender, message.tag, message.arguments)
        return
    try:
        decoded = decode_message(message.tag, message.arguments)
    except MalformedMessageError as error:
        controller.peer_service.reject_message(sender, str(error))
    else:
        controller.peer_service.receive(sender, decoded)


def deliver_request(controller: Any, request: int, sender: str, message: WireMessage) -> None:
    """A request arrives at a controller."""
    if isinstance(controller, ProductionController):
        controller.receive_request(request, sender, message.tag, message.arguments)
    else:
        decoded = decode_request(message.tag, message.arguments)
        controller.peer_service.receive_request(request, sender, decoded)
