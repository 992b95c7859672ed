"""What a coroutine of the core can ask the outside for."""

from __future__ import annotations

from typing import Any, TypeAlias

import msgspec

from marblestair.core.runtime.cloud_requests import CloudRequest
from marblestair.core.runtime.store_requests import StoreRequest


class PeerRequest(msgspec.Struct, frozen=True):
    """Ask another controller; answered with its value, or None when none came in time."""

    node: str
    tag: str
    args: list[Any]
    timeout_s: float


class Sleep(msgspec.Struct, frozen=True):
    """Go on later."""

    seconds: float


class InspectAgent(msgspec.Struct, frozen=True):
    """Ask a worker for its report at once; None when it does not answer."""

    address: str


OutsideRequest: TypeAlias = StoreRequest | CloudRequest | PeerRequest | InspectAgent | Sleep
