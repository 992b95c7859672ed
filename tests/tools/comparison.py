"""Compares two records and tells the first difference readably."""

from __future__ import annotations

import itertools
import pathlib
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from tests.tools.messages import FRAME_LENGTH_BYTES, HEAD_END, unpack
from tests.tools.recording import Entry, Event, read_record

#: entries shown before and after the first difference
ENTRIES_BEFORE, ENTRIES_AFTER = 5, 3
#: characters of one message, and differing fields, that are shown
MAX_MESSAGE_CHARACTERS, MAX_FIELDS = 2000, 10
#: characters of a message that is shown only for its place
MAX_CONTEXT_CHARACTERS = 200


@dataclass
class Comparison:
    """Two records compared."""

    #: messages that are the same in both, by the kind of their destination
    messages: Counter[str] = field(default_factory=Counter)
    #: lines about the first difference; none if there is none
    difference: list[str] = field(default_factory=list)

    @property
    def is_same(self) -> bool:
        """Whether the records do not differ."""
        return not self.difference

    def summary(self) -> str:
        """One line about the whole."""
        kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(self.messages.items()))
        result = "same" if self.is_same else "DIFFERENT"
        return f"{result}, {self.messages.total()} messages compared ({kinds})"


def compare_records(first: pathlib.Path, second: pathlib.Path) -> Comparison:
    """Compare two records entry by entry, up to the first difference."""
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
    """One line about an entry, with at most so many characters of its message."""
    text = describe_message(entry) if entry.event == Event.MESSAGE else entry.event
    if entry.event == Event.ENDED:
        text += f" by itself: {entry.data.decode()}"
    if len(text) > max_characters:
        text = f"{text[:max_characters]}... ({len(text)} characters)"
    place = f"{entry.time_s:.6f} s {entry.node} (run {entry.run})"
    return f"{place} -> {entry.kind} {entry.destination}: {text}"


def describe_message(entry: Entry) -> str:
    """A message with its decoded body."""
    head, body = _decode(entry)
    return f"{head} {body!r}".strip()


def _decode(entry: Entry) -> tuple[str, Any]:
    """Head and body of a message; a body that is not MessagePack stays as it is."""
    data = entry.data
    if not data.startswith((b"HTTP/", b"GET ", b"POST ", b"DELETE ")):
        return "frame", unpack(data[FRAME_LENGTH_BYTES:])
    head, _, body = data.partition(HEAD_END)
    decoded = unpack(body) if body else ""
    return head.decode("latin-1").replace("\r\n", " | "), body if decoded is None else decoded


def _differing_fields(one: Entry, other: Entry) -> Any:
    """Texts about the fields that differ."""
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
