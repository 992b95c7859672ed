"""Writes that the store has rejected as malformed or too large: defects of this program."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marblestair.core.runtime.store_requests import CompareAndSwap


class RejectedWrites:
    """Counts and logs rejected writes."""

    def __init__(self, log: Callable[[str, str], None]) -> None:
        #: takes a level and a line
        self._log = log
        self.count = 0

    def record(self, swap: CompareAndSwap) -> None:
        """The store has rejected a write.

        A key whose lease has expired is rejected likewise, and is no defect.
        """
        if any(put.lease_id is not None for put in swap.puts):
            return
        self.count += 1
        sizes = {put.key: len(msgspec.msgpack.encode(put.value)) for put in swap.puts}
        self._log("error", f"commit refused: {swap.change_count} changes, bytes by key {sizes}")
