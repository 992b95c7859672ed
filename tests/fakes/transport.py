"""A fake asyncio transport."""

from __future__ import annotations


class FakeTransport:
    """Records the bytes that a protocol writes and whether it closed the connection."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        """Record written bytes."""
        self.data += data

    def close(self) -> None:
        """Record that the connection is closed."""
        self.closed = True

    abort = close

    def pause_reading(self) -> None:
        """Do nothing: the tests pass all input at once."""

    def is_closing(self) -> bool:
        """Whether the connection is closed."""
        return self.closed
