"""The controllers' own interface: which tag each message has, and how it is laid out.

A message is sent as its tag and a list of arguments: its fields in order. Both stay as the version
in production has them.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from marblestair.core.messaging.messages import (
    AnnounceMigration,
    ApplyCancel,
    CancelConfirmed,
    CancelJob,
    JobEnded,
    LockSlices,
    ProgressReport,
    QueryJob,
    RecordCommitted,
    ReleaseSlices,
    RequestPromise,
    RequestStatus,
    SendChangeEntries,
    ShardSummaries,
    SliceProgress,
    UpdateSlices,
)
from marblestair.core.runtime.requests import PeerMessage

_Kind = TypeVar("_Kind")

#: one-way messages by their tags
_MESSAGES: dict[str, type[PeerMessage]] = {
    "summaries": ShardSummaries,
    "progress": ProgressReport,
    "confirmed": CancelConfirmed,
    "ended": JobEnded,
    "record": RecordCommitted,
}
#: requests by their tags
_REQUESTS: dict[str, type[PeerMessage]] = {
    "query": QueryJob,
    "cancel": CancelJob,
    "apply": ApplyCancel,
    "lock": LockSlices,
    "update": UpdateSlices,
    "release": ReleaseSlices,
    "status": RequestStatus,
    "promise": RequestPromise,
    "arrive": AnnounceMigration,
    "entries": SendChangeEntries,
}
_TAGS = {kind: tag for tag, kind in (_MESSAGES | _REQUESTS).items()}


class MalformedMessageError(Exception):
    """A message of another controller cannot be decoded; the text names its tag."""


def tag_of(message: PeerMessage) -> str:
    """The tag of a message on the wire."""
    return _TAGS[type(message)]


def arguments_of(message: PeerMessage) -> PeerMessage | list[SliceProgress]:
    """What is encoded as the arguments of a message on the wire: an array."""
    if isinstance(message, ProgressReport):
        # One argument for each slice.
        return message.slices
    return message


def decode_message(tag: str, arguments: list[object]) -> PeerMessage | None:
    """Decode a one-way message; None for a tag that this version does not know.

    Raises
    ------
    MalformedMessageError
        When the arguments are not those of the tag.
    """
    if tag == "progress":
        return ProgressReport(_converted(tag, arguments, list[SliceProgress]))
    return _decode(_MESSAGES, tag, arguments)


def decode_request(tag: str, arguments: list[object]) -> PeerMessage | None:
    """Decode a request; None for a tag that this version does not know.

    Raises
    ------
    MalformedMessageError
        When the arguments are not those of the tag.
    """
    return _decode(_REQUESTS, tag, arguments)


def _decode(
    kinds: dict[str, type[PeerMessage]], tag: str, arguments: list[object]
) -> PeerMessage | None:
    kind = kinds.get(tag)
    return None if kind is None else _converted(tag, arguments, kind)


def _converted(tag: str, arguments: list[object], kind: type[_Kind]) -> _Kind:
    try:
        return msgspec.convert(arguments, kind)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"malformed {tag}: {error}") from None
