"""Requests that coroutines of the core can make."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from marblestair.core.runtime.cloud_requests import CloudRequest
from marblestair.core.runtime.store_requests import StoreRequest


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """A message from one controller to another; its subclasses are in ``core/messaging``.

    Messages are sent as arrays of their fields, and the deployed release of marblestair reads the
    same messages. Fields may therefore be renamed but not reordered, and new fields are appended
    with a default.
    """


class PeerRequest(msgspec.Struct, frozen=True):
    """Send a request to another controller.

    Response: the reply, which may be None, or None if no reply arrived within ``timeout_s``.
    """

    node: str
    message: PeerMessage
    timeout_s: float


class Sleep(msgspec.Struct, frozen=True):
    """Resume the coroutine after some seconds."""

    seconds: float


class InspectAgent(msgspec.Struct, frozen=True):
    """Request a heartbeat from an agent at once.

    Response: the heartbeat, or None if the agent does not answer.
    """

    address: str


CoroutineRequest: TypeAlias = StoreRequest | CloudRequest | PeerRequest | InspectAgent | Sleep
