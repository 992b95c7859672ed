"""Writes that the store rejected as malformed or too large, which indicates a defect."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marblestair.core.runtime.store_requests import CompareAndSwap


class RejectedWrites:
    """Counts and logs rejected writes."""

    def __init__(self, log: Callable[[str, str], None]) -> None:
        #: writes a log line, given its level and text
        self._log = log
        self.count = 0

    def record(self, swap: CompareAndSwap) -> None:
        """Count and log a rejected write, unless it attaches a key to a lease.

        If the lease has expired, the store rejects such a write with the same status as a malformed
        one, and this rejection indicates no defect.
        """
        if any(put.lease_id is not None for put in swap.puts):
            return
        self.count += 1
        sizes = {put.key: len(msgspec.msgpack.encode(put.value)) for put in swap.puts}
        self._log(
            "error",
            f"commit refused: store rejected {swap.change_count} changes, bytes by key {sizes}",
        )
