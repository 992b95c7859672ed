"""What a coroutine of the core can ask the outside for."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from marblestair.core.runtime.cloud_requests import CloudRequest
from marblestair.core.runtime.store_requests import StoreRequest


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """What one controller sends to another; each kind is a struct in ``core/messaging``.

    Their fields are sent in order: names may change, the order may not, and new fields come at the
    end with a default (the version in production reads them too).
    """


class PeerRequest(msgspec.Struct, frozen=True):
    """Ask another controller; answered with its reply, or None when none came in time."""

    node: str
    message: PeerMessage
    timeout_s: float


class Sleep(msgspec.Struct, frozen=True):
    """Go on later."""

    seconds: float


class InspectAgent(msgspec.Struct, frozen=True):
    """Ask an agent for its heartbeat at once; None when it does not answer."""

    address: str


CoroutineRequest: TypeAlias = StoreRequest | CloudRequest | PeerRequest | InspectAgent | Sleep
