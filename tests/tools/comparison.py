"""Compares two records and describes the first difference."""

from __future__ import annotations

import itertools
import pathlib
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from tests.tools.messages import FRAME_LENGTH_BYTES, HEAD_END, unpack
from tests.tools.recording import Entry, Event, read_record

#: number of entries shown before and after the first difference
ENTRIES_BEFORE, ENTRIES_AFTER = 5, 3
#: maximum number of characters shown of a differing message, and of differing fields
MAX_MESSAGE_CHARACTERS, MAX_FIELDS = 2000, 10
#: maximum number of characters shown of a message before or after the difference
MAX_CONTEXT_CHARACTERS = 200


@dataclass
class Comparison:
    """Result of the comparison of two records."""

    #: number of messages that are the same in both, by the kind of their destination
    messages: Counter[str] = field(default_factory=Counter)
    #: lines that describe the first difference; empty if the records are equal
    difference: list[str] = field(default_factory=list)

    @property
    def is_same(self) -> bool:
        """Whether the records are equal."""
        return not self.difference

    def summary(self) -> str:
        """Return the result and the numbers of messages in one line."""
        kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(self.messages.items()))
        result = "same" if self.is_same else "DIFFERENT"
        return f"{result}, {self.messages.total()} messages compared ({kinds})"


def compare_records(first: pathlib.Path, second: pathlib.Path) -> Comparison:
    """Compare two records entry by entry; stop at the first difference."""
    comparison = Comparison()
    before: deque[Entry] = deque(maxlen=ENTRIES_BEFORE)
    left, right = read_record(first), read_record(second)
    for one, other in itertools.zip_longest(left, right):
        if one != other:
            comparison.difference = _describe_difference(one, other, before)
            comparison.difference += _describe_following("first", left)
            comparison.difference += _describe_following("second", right)
            break
        before.append(one)
        if one.event == Event.MESSAGE:
            comparison.messages[one.kind] += 1
    return comparison


def _describe_difference(one: Entry | None, other: Entry | None, before: deque[Entry]) -> list[str]:
    lines = ["  before, the same in both:"]
    lines += [f"    {describe_entry(entry, MAX_CONTEXT_CHARACTERS)}" for entry in before]
    for name, entry in (("first", one), ("second", other)):
        text = "the record ends" if entry is None else describe_entry(entry, MAX_MESSAGE_CHARACTERS)
        lines.append(f"  {name + ':':8}{text}")
    if one is not None and other is not None:
        fields = list(itertools.islice(_differing_fields(one, other), MAX_FIELDS))
        lines += [f"  differs in {text}" for text in fields]
    return lines


def _describe_following(name: str, entries: Any) -> list[str]:
    following = list(itertools.islice(entries, ENTRIES_AFTER))
    lines = [f"    {describe_entry(entry, MAX_CONTEXT_CHARACTERS)}" for entry in following]
    return [f"  then in the {name}:", *lines] if lines else []


def describe_entry(entry: Entry, max_characters: int) -> str:
    """Describe an entry in one line; its message is truncated to ``max_characters``."""
    text = describe_message(entry) if entry.event == Event.MESSAGE else entry.event
    if entry.event == Event.ENDED:
        text += f" by itself: {entry.data.decode()}"
    if len(text) > max_characters:
        text = f"{text[:max_characters]}... ({len(text)} characters)"
    place = f"{entry.time_s:.6f} s {entry.node} (run {entry.run})"
    return f"{place} -> {entry.kind} {entry.destination}: {text}"


def describe_message(entry: Entry) -> str:
    """Return a message's head and decoded body as text."""
    head, body = _decode(entry)
    return f"{head} {body!r}".strip()


def _decode(entry: Entry) -> tuple[str, Any]:
    """Return head and body of a message; a body that is not MessagePack is not decoded."""
    data = entry.data
    if not data.startswith((b"HTTP/", b"GET ", b"POST ", b"DELETE ")):
        return "frame", unpack(data[FRAME_LENGTH_BYTES:])
    head, _, body = data.partition(HEAD_END)
    decoded = unpack(body) if body else ""
    return head.decode("latin-1").replace("\r\n", " | "), body if decoded is None else decoded


def _differing_fields(one: Entry, other: Entry) -> Any:
    """Yield one text for each field that differs."""
    for name in Entry.__struct_fields__:
        values = getattr(one, name), getattr(other, name)
        if name != "data" and values[0] != values[1]:
            yield f"{name}: {values[0]!r} / {values[1]!r}"
    if one.data != other.data and one.event == other.event == Event.MESSAGE:
        (head, body), (other_head, other_body) = _decode(one), _decode(other)
        if head != other_head:
            yield f"head: {head!r} / {other_head!r}"
        yield from _differing_values("body", body, other_body)


def _differing_values(path: str, one: Any, other: Any) -> Any:
    if isinstance(one, dict) and isinstance(other, dict):
        for key in sorted({*one, *other}, key=str):
            yield from _differing_values(f"{path}.{key}", one.get(key), other.get(key))
        if list(one) != list(other) and one == other:
            yield f"{path}, order of keys: {list(one)} / {list(other)}"
    elif isinstance(one, list) and isinstance(other, list) and len(one) == len(other):
        for index, (value, other_value) in enumerate(zip(one, other, strict=True)):
            yield from _differing_values(f"{path}[{index}]", value, other_value)
    elif one != other:
        yield f"{path}: {one!r} / {other!r}"
