"""Frames between controllers have the same encoding in every version."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from marblestair.net.framing import (
    AckFrame,
    FramedConnection,
    MessageFrame,
    RequestFrame,
    ResponseFrame,
    encode_frame,
)


@pytest.mark.parametrize(
    ("content", "elements"),
    [
        (MessageFrame("n1", "summaries", [1, [2.5]]), ["note", "n1", "summaries", [1, [2.5]]]),
        (RequestFrame(7, "n1", "status", []), ["ask", 7, "n1", "status", []]),
        (ResponseFrame(7, {"a": None}), ["answer", 7, {"a": None}]),
        (ResponseFrame("as received", None), ["answer", "as received", None]),
        (AckFrame(), ["pong"]),
    ],
)
def test_a_frame_is_its_length_and_an_array_that_begins_with_its_kind(
    content: Any, elements: list[Any]
) -> None:
    payload = msgspec.msgpack.encode(elements)
    assert encode_frame(content) == len(payload).to_bytes(4, "big") + payload


def test_frames_that_arrive_in_any_pieces_are_passed_on_in_order() -> None:
    contents = [MessageFrame("n1", "progress", [[n]]) for n in range(20)]
    data = b"".join(encode_frame(content) for content in contents)
    for size in (1, 3, 7, len(data)):
        received: list[Any] = []
        connection = FramedConnection(lambda _, elements, into=received: into.append(elements))
        connection.connection_made(object())  # type: ignore[arg-type]
        for start in range(0, len(data), size):
            connection.data_received(data[start : start + size])
        assert received == [["note", "n1", "progress", [[n]]] for n in range(20)]
