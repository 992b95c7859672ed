"""Compact sets of task indexes: no object for each task that has not started."""

from __future__ import annotations

import base64
from collections.abc import Iterable, Iterator


class IndexRanges:
    """An ordered set of whole numbers, stored as disjoint ranges ``[start, end)``."""

    __slots__ = ("count", "items")

    def __init__(self, items: Iterable[Iterable[int]] = ()) -> None:
        #: the ranges in ascending order
        self.items: list[list[int]] = []
        self.count = 0
        for start, end in items:
            self.add(start, end)

    def __len__(self) -> int:
        """Return how many numbers are in the set."""
        return self.count

    def __iter__(self) -> Iterator[int]:
        """Iterate over the numbers in ascending order."""
        for start, end in self.items:
            yield from range(start, end)

    def __contains__(self, index: int) -> bool:
        """Whether a number is in the set."""
        return any(start <= index < end for start, end in self.items)

    def add(self, start: int, end: int) -> None:
        """Add the numbers of ``[start, end)``, merged with the ranges that they overlap or meet."""
        if start >= end:
            return
        merged: list[list[int]] = []
        is_placed = False
        for other_start, other_end in self.items:
            if other_end < start:
                merged.append([other_start, other_end])
            elif other_start > end:
                if not is_placed:
                    merged.append([start, end])
                    is_placed = True
                merged.append([other_start, other_end])
            else:
                start, end = min(start, other_start), max(end, other_end)
        if not is_placed:
            merged.append([start, end])
        self.items = merged
        self.count = sum(last - first for first, last in merged)

    def discard(self, index: int) -> bool:
        """Remove one number, and return whether it was in the set."""
        for position, (start, end) in enumerate(self.items):
            if start <= index < end:
                rest = ([start, index], [index + 1, end])
                self.items[position : position + 1] = [pair for pair in rest if pair[0] < pair[1]]
                self.count -= 1
                return True
        return False

    def pop(self) -> int:
        """Remove the smallest number and return it.

        Raises
        ------
        IndexError
            The set is empty.
        """
        start, end = self.items[0]
        if start + 1 == end:
            del self.items[0]
        else:
            self.items[0][0] = start + 1
        self.count -= 1
        return start

    def tail(self, count: int) -> list[list[int]]:
        """Return the last numbers, up to a count, as ranges; they stay in the set."""
        ranges: list[list[int]] = []
        for start, end in reversed(self.items):
            if count <= 0:
                break
            size = min(count, end - start)
            ranges.append([end - size, end])
            count -= size
        return ranges[::-1]


#: tasks whose progress is in one page of the store
TASKS_PER_PROGRESS_PAGE = 8192


def encode_bits(bits: int) -> str:
    """Encode a set of small numbers, given as the bits of a whole number, as text."""
    raw = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    return base64.b64encode(raw).decode()


def decode_bits(text: str) -> int:
    """Decode what :func:`encode_bits` returned.

    Raises
    ------
    ValueError
        The text is not base64.
    """
    return int.from_bytes(base64.b64decode(text, validate=True), "little")
