"""An asyncio transport that records what a protocol writes."""

from __future__ import annotations


class FakeTransport:
    """Records what a protocol writes."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.data += data

    def close(self) -> None:
        self.closed = True

    abort = close

    def pause_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closed
