"""Encoding and delivery of messages between controllers of either version."""

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
    """Encode a message; messages of the version in production are encoded already."""
    if isinstance(message, WireMessage):
        return message
    return WireMessage(tag_of(message), wire_round_trip(arguments_of(message)))


def deliver(controller: Any, sender: str, message: WireMessage) -> None:
    """Decode a one-way message and pass it to a controller."""
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
    """Decode a request and pass it to a controller."""
    if isinstance(controller, ProductionController):
        controller.receive_request(request, sender, message.tag, message.arguments)
    else:
        decoded = decode_request(message.tag, message.arguments)
        controller.peer_service.receive_request(request, sender, decoded)
