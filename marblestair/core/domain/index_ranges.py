"""Sets of task numbers, kept compact: no object per task that has not started."""

from __future__ import annotations

import base64
from collections.abc import Iterable, Iterator


class Ranges:
    """An ordered set of whole numbers kept as ranges [a, b)."""

    __slots__ = ("count", "items")

    def __init__(self, items: Iterable[Iterable[int]] = ()) -> None:
        self.items: list[list[int]] = []
        self.count = 0
        for a, b in items:
            self.add(a, b)

    def __len__(self) -> int:
        """Return how many numbers the set holds."""
        return self.count

    def __iter__(self) -> Iterator[int]:
        """Iterate over the numbers in ascending order."""
        for a, b in self.items:
            yield from range(a, b)

    def __contains__(self, i: int) -> bool:
        """Whether a number is in the set."""
        return any(a <= i < b for a, b in self.items)

    def add(self, a: int, b: int) -> None:
        """Add [a, b)."""
        if a >= b:
            return
        out: list[list[int]] = []
        placed = False
        for x, y in self.items:
            if y < a:
                out.append([x, y])
            elif x > b:
                if not placed:
                    out.append([a, b])
                    placed = True
                out.append([x, y])
            else:
                a, b = min(a, x), max(b, y)
        if not placed:
            out.append([a, b])
        self.items = out
        self.count = sum(y - x for x, y in out)

    def discard(self, i: int) -> bool:
        """Take out one number; whether it was there."""
        for k, (a, b) in enumerate(self.items):
            if a <= i < b:
                self.items[k : k + 1] = [r for r in ([a, i], [i + 1, b]) if r[0] < r[1]]
                self.count -= 1
                return True
        return False

    def pop(self) -> int:
        """Take out the smallest number."""
        a, b = self.items[0]
        if a + 1 == b:
            del self.items[0]
        else:
            self.items[0][0] = a + 1
        self.count -= 1
        return a

    def tail(self, n: int) -> list[list[int]]:
        """The last n numbers, as ranges, left in place."""
        out: list[list[int]] = []
        for a, b in reversed(self.items):
            if n <= 0:
                break
            take = min(n, b - a)
            out.append([b - take, b])
            n -= take
        return out[::-1]


#: task numbers in one page of progress
PAGE = 8192


def encode_bits(bits: int) -> str:
    """A set of small numbers, held as the bits of a whole number, as text."""
    raw = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    return base64.b64encode(raw).decode()


def decode_bits(text: str) -> int:
    """The inverse of :func:`encode_bits`."""
    return int.from_bytes(base64.b64decode(text, validate=True), "little")
