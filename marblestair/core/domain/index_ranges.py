"""Compact sets of task indexes, which hold no object for each index."""

from __future__ import annotations

import base64
from collections.abc import Iterable, Iterator


class IndexRanges:
    """An ordered set of integers, stored as disjoint ranges ``[start, end)``."""

    __slots__ = ("count", "items")

    def __init__(self, items: Iterable[Iterable[int]] = ()) -> None:
        #: the ranges, in ascending order
        self.items: list[list[int]] = []
        self.count = 0
        for start, end in items:
            self.add(start, end)

    def __len__(self) -> int:
        """Return the number of elements."""
        return self.count

    def __iter__(self) -> Iterator[int]:
        """Iterate over the elements in ascending order."""
        for start, end in self.items:
            yield from range(start, end)

    def __contains__(self, index: int) -> bool:
        """Return whether an index is in the set."""
        return any(start <= index < end for start, end in self.items)

    def add(self, start: int, end: int) -> None:
        """Add ``[start, end)``, merged with the ranges that it overlaps or touches."""
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
        """Remove an index, and return whether it was in the set."""
        for position, (start, end) in enumerate(self.items):
            if start <= index < end:
                rest = ([start, index], [index + 1, end])
                self.items[position : position + 1] = [pair for pair in rest if pair[0] < pair[1]]
                self.count -= 1
                return True
        return False

    def pop(self) -> int:
        """Remove the smallest index and return it.

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
        """Return the ``count`` largest indexes, or all if there are fewer, as ranges."""
        ranges: list[list[int]] = []
        for start, end in reversed(self.items):
            if count <= 0:
                break
            size = min(count, end - start)
            ranges.append([end - size, end])
            count -= size
        return ranges[::-1]


#: number of tasks whose progress is stored in one page
TASKS_PER_PROGRESS_PAGE = 8192


def encode_bits(bits: int) -> str:
    """Encode a bit set, given as an integer, as base64 of its little-endian bytes."""
    raw = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    return base64.b64encode(raw).decode()


def decode_bits(text: str) -> int:
    """Decode a bit set that :func:`encode_bits` encoded.

    Raises
    ------
    ValueError
        The text is not valid base64.
    """
    return int.from_bytes(base64.b64decode(text, validate=True), "little")
