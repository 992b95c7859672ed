"""Kinds of machines that the cloud recently refused to rent, and until when not to request them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeAlias

from marblestair.core.domain.machine_kinds import MachineKind
from marblestair.core.messaging.messages import CapacityRefusal
from marblestair.core.runtime.context import NodeContext

#: maximum time for which a refusal reported by another controller is valid, in seconds
MAX_REPORTED_REFUSAL_S = 300.0
#: time after the end of a refusal for which it is doubtful that the cloud has the kind again, in
#: seconds; until then, the kind has been requested once more and the cloud has answered
DOUBTFUL_S = 20.0

#: name of the machine type, zone, and whether it is a spot machine
KindKey: TypeAlias = tuple[str, str, bool]


class CapacityRefusals:
    """Stores until when each kind of machine that the cloud refused must not be requested.

    The refusals are those that the cloud sent to this node and those that other nodes reported.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        #: kind -> monotonic time until which this node does not request the kind; the entry stays
        #: until a rental of the kind is granted
        self._refused_until: dict[KindKey, float] = {}

    def record_refusal(self, kind: KindKey, seconds: float) -> None:
        """Record that the cloud refused a kind, which is then not requested for ``seconds``."""
        self._refused_until[kind] = self._context.now + seconds

    def record_grant(self, kind: KindKey) -> None:
        """Record that the cloud rented all requested machines of a kind."""
        self._refused_until.pop(kind, None)

    def is_doubtful(self, kind: MachineKind) -> bool:
        """Whether a kind is refused or was until recently, and none was granted since."""
        until = self._refused_until.get(kind.key)
        return until is not None and self._context.now < until + DOUBTFUL_S

    def is_refused(self, kind: MachineKind) -> bool:
        """Whether a refusal of a kind is still valid, so that it must not be requested now."""
        until = self._refused_until.get(kind.key)
        return until is not None and self._context.now < until

    def current(self) -> list[CapacityRefusal]:
        """Return the refusals that are still valid.

        This node reports them to the other nodes, which then do not request the same kinds either.
        """
        now = self._context.now
        return [
            CapacityRefusal(*kind, round(until - now, 2))
            for kind, until in sorted(self._refused_until.items())
            if until > now
        ]

    def receive(self, refusals: Iterable[CapacityRefusal]) -> None:
        """Record refusals that another node reports; keep the later end if a kind has two."""
        for refusal in refusals:
            kind = (refusal.machine_type, refusal.zone, refusal.spot)
            until = self._context.now + min(refusal.remaining_s, MAX_REPORTED_REFUSAL_S)
            known = self._refused_until.get(kind)
            self._refused_until[kind] = until if known is None else max(until, known)
