"""Kinds of machines that the cloud has no capacity for, and until when they are not requested."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeAlias

from marblestair.core.domain.machine_kinds import MachineKind
from marblestair.core.messaging.messages import CapacityRefusal
from marblestair.core.runtime.context import NodeContext

#: maximum time for which a refusal reported by another controller is valid, in seconds
MAX_REPORTED_REFUSAL_S = 300.0

#: name of the machine type, zone, and whether it is a spot machine
KindKey: TypeAlias = tuple[str, str, bool]


class CapacityRefusals:
    """Stores when refusals expire that this node received or that other nodes reported."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        #: kind -> monotonic time until which it is not requested
        self._refused_until: dict[KindKey, float] = {}

    def record_refusal(self, kind: KindKey, seconds: float) -> None:
        """Record that the cloud refused a kind, so that it is not requested for ``seconds``."""
        self._refused_until[kind] = self._context.now + seconds

    def is_refused(self, kind: MachineKind) -> bool:
        """Whether a refusal of a kind is still valid, so that it must not be requested now."""
        until = self._refused_until.get(kind.key)
        return until is not None and self._context.now < until

    def current(self) -> list[CapacityRefusal]:
        """Return the refusals that are still valid.

        They are sent to the other nodes, so that those do not request the same kinds in vain.
        """
        now = self._context.now
        return [
            CapacityRefusal(*kind, round(until - now, 2))
            for kind, until in sorted(self._refused_until.items())
            if until > now
        ]

    def receive(self, refusals: Iterable[CapacityRefusal]) -> None:
        """Record the refusals that another node reports; of two expiry times the later is kept."""
        for refusal in refusals:
            kind = (refusal.machine_type, refusal.zone, refusal.spot)
            until = self._context.now + min(refusal.remaining_s, MAX_REPORTED_REFUSAL_S)
            known = self._refused_until.get(kind)
            self._refused_until[kind] = until if known is None else max(until, known)
