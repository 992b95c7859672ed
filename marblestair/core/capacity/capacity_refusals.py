"""Kinds of machines of which the cloud has none, and until when they are not requested."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeAlias

from marblestair.core.domain.machine_kinds import MachineKind
from marblestair.core.messaging.messages import CapacityRefusal
from marblestair.core.runtime.context import NodeContext

#: the longest time for which a refusal that another controller reports counts, in seconds
MAX_REPORTED_S = 300.0

#: type, zone, and whether spot
KindKey: TypeAlias = tuple[str, str, bool]


class CapacityRefusals:
    """The refusals that one node received from the cloud, or that other nodes reported."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._until: dict[KindKey, float] = {}

    def refuse(self, kind: KindKey, seconds: float) -> None:
        """The cloud has refused a kind to this node, which requests it again after some time."""
        self._until[kind] = self._context.now + seconds

    def is_refused(self, kind: MachineKind) -> bool:
        """Whether a kind is not to be requested now."""
        until = self._until.get(kind.key)
        return until is not None and self._context.now < until

    def current(self) -> list[CapacityRefusal]:
        """List the refusals that count now.

        They are sent to the others, so that each does not have to learn them by a request of its
        own.
        """
        now = self._context.now
        return [
            CapacityRefusal(*kind, round(until - now, 2))
            for kind, until in sorted(self._until.items())
            if until > now
        ]

    def receive(self, refusals: Iterable[CapacityRefusal]) -> None:
        """Record the refusals that another controller reports."""
        for refusal in refusals:
            kind = (refusal.machine_type, refusal.zone, refusal.spot)
            until = self._context.now + min(refusal.remaining_s, MAX_REPORTED_S)
            known = self._until.get(kind)
            self._until[kind] = until if known is None else max(until, known)
