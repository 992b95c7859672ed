"""Wire format of the store's interface: keys, transactions, leases and watches."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeAlias
from urllib.parse import quote

import msgspec

from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Get,
    GrantLease,
    KeyChange,
    ListKeys,
    Put,
    RenewLease,
    StoredKey,
    StoreRequest,
    StoreResponse,
    Watch,
)
from marblestair.wire.codec import HttpRequest, pack

#: a decoded map; its fields are checked only where they are read
_Fields: TypeAlias = Mapping[str, Any]


class _Put(msgspec.Struct):
    set: str
    value: Any
    tenancy: int | msgspec.UnsetType = msgspec.UNSET


class _Delete(msgspec.Struct):
    delete: str


class _Guard(msgspec.Struct):
    path: str
    stamp: int


class _Transaction(msgspec.Struct):
    guards: list[_Guard]
    apply: list[_Put | _Delete] | msgspec.UnsetType = msgspec.UNSET


def encode_store_request(request: StoreRequest) -> HttpRequest:
    """Encode a request to the store as an HTTP request."""
    if isinstance(request, Get):
        return HttpRequest("GET", "/keys/" + request.key)
    if isinstance(request, ListKeys):
        return HttpRequest("GET", _list_path(request))
    if isinstance(request, CompareAndSwap):
        return HttpRequest("POST", "/commit", pack(_transaction(request)))
    if isinstance(request, GrantLease):
        return HttpRequest("POST", "/leases", pack({"ttl_ms": request.ttl_ms}))
    if isinstance(request, RenewLease):
        return HttpRequest("POST", f"/leases/{request.lease_id}/renew")
    return HttpRequest("GET", _watch_path(request))


def _list_path(request: ListKeys) -> str:
    path = f"/keys?starts={_quoted(request.prefix)}&limit={request.limit}"
    if request.after_key:
        path += "&from=" + _quoted(request.after_key)
    return path


def _watch_path(request: Watch) -> str:
    hold = f"&hold_ms={request.wait_ms}"
    return f"/watch?starts={_quoted(request.prefix)}&from={request.after_revision}{hold}"


def _quoted(key: str) -> str:
    return quote(key, safe="/")


def _transaction(request: CompareAndSwap) -> _Transaction:
    changes: list[_Put | _Delete] = [_put(put) for put in request.puts]
    changes += [_Delete(key) for key in request.deletes]
    guards = [_Guard(key, version) for key, version in request.preconditions]
    return _Transaction(guards, changes or msgspec.UNSET)


def _put(put: Put) -> _Put:
    lease_id = msgspec.UNSET if put.lease_id is None else put.lease_id
    return _Put(put.key, put.value, lease_id)


def _require_map(fields: Any) -> dict[str, Any]:
    """Return a decoded body if it is a map; raise TypeError otherwise."""
    if not isinstance(fields, dict):
        raise TypeError(f"response body must be a map, got {type(fields).__name__}")
    return fields


def decode_store_response(request: StoreRequest, status: int, body: bytes) -> StoreResponse:
    """Decode a response of the store.

    A malformed response keeps its status if that is 429 or at least 500, and otherwise gets status
    0, as if none had arrived.
    """
    try:
        fields = msgspec.msgpack.decode(body) if body else {}
        if status == 200:
            return _decode_success(request, _require_map(fields))
        return _decode_failure(request, status, _require_map(fields))
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError, KeyError, TypeError):
        # The statuses 429 and 5xx show without the body that the request was not carried out. With
        # any other status the request may have been carried out, which is what status 0 means.
        return StoreResponse(status if status == 429 or status >= 500 else 0)


def _decode_success(request: StoreRequest, fields: _Fields) -> StoreResponse:
    if isinstance(request, Get):
        return StoreResponse(200, value=fields["value"], version=int(fields["stamp"]))
    if isinstance(request, ListKeys):
        items = [_stored_key(item) for item in fields["items"]]
        has_more = bool(fields.get("more"))
        revision = int(fields["ledger_rev"])
        return StoreResponse(200, items=items, has_more=has_more, revision=revision)
    if isinstance(request, Watch):
        changes = [_key_change(change) for change in fields["log"]]
        return StoreResponse(200, events=changes, revision=int(fields["ledger_rev"]))
    if isinstance(request, GrantLease):
        return StoreResponse(200, lease_id=int(fields["tenancy"]))
    if isinstance(request, CompareAndSwap):
        # A response without a revision is malformed: the revision orders this commit relative to
        # reads of the same keys.
        return StoreResponse(200, revision=int(fields["ledger_rev"]))
    return _decode_status(200, fields)


def _decode_failure(request: StoreRequest, status: int, fields: _Fields) -> StoreResponse:
    if isinstance(request, Get) and status == 404:
        # A response without a revision is malformed: the revision orders this read, which found no
        # value, relative to changes of the key.
        return StoreResponse(404, revision=int(fields["ledger_rev"]))
    return _decode_status(status, fields)


def _decode_status(status: int, fields: _Fields) -> StoreResponse:
    failed_keys = list(fields.get("failed") or [])
    revision = int(fields.get("ledger_rev") or 0)
    return StoreResponse(status, revision=revision, failed_keys=failed_keys)


def _stored_key(fields: _Fields) -> StoredKey:
    return StoredKey(fields["path"], fields["value"], int(fields["stamp"]))


def _key_change(fields: _Fields) -> KeyChange:
    if fields.get("set") is not None:
        return KeyChange(fields["set"], fields["value"], int(fields["stamp"]))
    return KeyChange(fields["delete"], None, int(fields["stamp"]))
