"""Decoding of responses of the store and the cloud."""

from __future__ import annotations

from marblestair.core.runtime.cloud_requests import RentMachines
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, Watch
from marblestair.wire.cloud import decode_cloud_response
from marblestair.wire.codec import pack
from marblestair.wire.store import decode_store_response


def test_malformed_responses_count_as_failed_requests() -> None:
    rental = RentMachines("r", "t", "z", False, 1)
    for body in (b"", b"\xc1", pack([1]), pack({"benches": 3})):
        assert decode_cloud_response(rental, 200, body).status == 0
        assert decode_store_response(Get("k"), 200, body).status == 0
        assert decode_store_response(Watch("k", 1, 1), 200, body).status == 0
        # Without a revision, an absent key or a commit cannot be ordered among other changes.
        assert decode_store_response(Get("k"), 404, body).status == 0
        assert decode_store_response(CompareAndSwap([], [], ["k"]), 200, body).status == 0
