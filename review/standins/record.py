"""The record of a run: what was sent, answered and run, with the seconds since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes ``record.txt`` line by line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
