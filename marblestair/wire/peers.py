"""Wire format of messages between controllers: the tag and the arguments of each message.

A message is sent as its tag and a list of arguments: the message's fields in order, or the slices
of a progress report. Tags and the order of fields must not change, since controllers that still run
the deployed version use the same ones.
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

#: one-way messages by tag
_MESSAGES: dict[str, type[PeerMessage]] = {
    "summaries": ShardSummaries,
    "progress": ProgressReport,
    "confirmed": CancelConfirmed,
    "ended": JobEnded,
    "record": RecordCommitted,
}
#: requests by tag
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
    """A message's arguments are malformed; the text names the message's tag and the error."""


def tag_of(message: PeerMessage) -> str:
    """Return the tag of a message on the wire."""
    return _TAGS[type(message)]


def arguments_of(message: PeerMessage) -> PeerMessage | list[SliceProgress]:
    """Return the value whose MessagePack encoding is the array of a message's arguments."""
    if isinstance(message, ProgressReport):
        # Each slice is one argument.
        return message.slices
    return message


def decode_message(tag: str, arguments: list[object]) -> PeerMessage | None:
    """Decode a one-way message; return None for a tag that this version does not know.

    Raises
    ------
    MalformedMessageError
        When the arguments do not match the fields of the message with this tag.
    """
    if tag == "progress":
        return ProgressReport(_convert_arguments(tag, arguments, list[SliceProgress]))
    return _decode(_MESSAGES, tag, arguments)


def decode_request(tag: str, arguments: list[object]) -> PeerMessage | None:
    """Decode a request; return None for a tag that this version does not know.

    Raises
    ------
    MalformedMessageError
        When the arguments do not match the fields of the message with this tag.
    """
    return _decode(_REQUESTS, tag, arguments)


def _decode(
    kinds: dict[str, type[PeerMessage]], tag: str, arguments: list[object]
) -> PeerMessage | None:
    kind = kinds.get(tag)
    return None if kind is None else _convert_arguments(tag, arguments, kind)


def _convert_arguments(tag: str, arguments: list[object], kind: type[_Kind]) -> _Kind:
    try:
        return msgspec.convert(arguments, kind)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"malformed arguments of {tag!r:.40}: {error}") from None
