"""Client of the platform's key-value store; implements `kv.protocol.Store`."""

import base64
from collections.abc import AsyncIterator
import json
import logging
from typing import Any, NamedTuple, TypeVar
import urllib.parse

import anyio
import pydantic

from mustardfall import errors
from mustardfall.kv import circuit_breaker
from mustardfall.kv import protocol
from mustardfall.proxy import http_client as http_client_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_CALL_TIMEOUT_S = 0.45
"""Timeout of a call. One takes 4 ms, and 240 ms when the store is 60 times
slower than usual."""
_MAX_WATCH_S = 30.0
WATCH_INTERVAL_S = 0.15
"""Minimum time between the response of a watch and the next call. Routers that
start together register one after the other: without a pause, each registration
would cost a call of every router."""
_WATCH_TIMEOUT_MARGIN_S = 0.6
"""Added to the waiting time of a watch to get the timeout of its call. A
connection can go silent without being closed."""

_MAX_LOGGED_ERROR_CHARS = 200
"""Characters of an error in a log line on an item that is unreadable."""
_MAX_TXN_ENTRIES = 32
"""Maximum number of keys in one transaction."""

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_HISTORY_COMPACTED = 410
_NO_EFFECT = (403, 429, 503)
"""Statuses with which the store rejects a call without executing it."""


class _Response(pydantic.BaseModel):
  """A response of the store; unknown fields are ignored."""

  model_config = pydantic.ConfigDict(extra="ignore", strict=True)


class _Item(_Response):
  """The state of a key, or its removal."""

  key: str
  value: str | None = None
  """Base64."""
  rev: int = 0
  """Revision of the last change of the key; 0: the key does not exist."""
  removed: Any = None


class _RangeResponse(_Response):
  items: list[Any]
  """Each is decoded by itself, as an `_Item`."""
  has_more: Any = False
  store_revision: int


class _WatchResponse(_Response):
  events: list[Any]
  """As above."""
  store_revision: int


class _ConflictResponse(_Response):
  items: list[_Item] = []


class _TxnResponse(_Response):
  rev: int


class _LeaseResponse(_Response):
  lease: int


class _KeepAliveResponse(_Response):
  ttl_ms: float


_Model = TypeVar("_Model", bound=_Response)


class _DecodedItem(NamedTuple):
  """An item of a list, and the record in it."""

  item: _Item
  record: protocol.Record


def _decode_record(item: _Item) -> protocol.Record:
  """Decodes an item.

  Raises:
    errors.KvUnknownError: its value is not valid base64.
  """
  try:
    value = base64.b64decode(item.value or "", validate=True)
  except ValueError as exc:
    raise errors.KvUnknownError(
        f"value of key {item.key!r} is not valid base64: {exc}"
    ) from exc
  return protocol.Record(item.key, value, item.rev, 0)


def _decode_items(raw: list[Any], target: str) -> list[_DecodedItem]:
  """Decodes the items of a list; other writers' mistakes do not hide the rest.

  An item without a readable key is left out. One without a readable value is
  empty, so that what was at its key before does not stay in force.
  """
  items = []
  for one in raw:
    try:
      item = _Item.model_validate(one)
      items.append(_DecodedItem(item, _decode_record(item)))
      continue
    except (ValueError, errors.KvUnknownError) as exc:
      error = str(exc)[:_MAX_LOGGED_ERROR_CHARS]
    key = one.get("key") if isinstance(one, dict) else None
    logger.error(
        "item unreadable", extra={"call": target, "key": key, "error": error}
    )
    if isinstance(key, str):
      removed = _Item(key=key, removed=one.get("removed"))
      items.append(_DecodedItem(removed, protocol.Record(key, b"", 0, 0)))
  return items


def _build_target(path: str, **fields: object) -> str:
  return f"{path}?{urllib.parse.urlencode(fields)}"


class Store:
  """Client of the platform's store.

  Args:
    address: `HOST:PORT` of the store.
    http_client: sends the HTTP requests.
    clock: the time source.
  """

  def __init__(
      self,
      address: str,
      http_client: http_client_lib.HttpClient,
      clock: clock_lib.Clock,
  ) -> None:
    self._address = address
    self._http_client = http_client
    self._breaker = circuit_breaker.CircuitBreaker(clock)

  @property
  def calls(self) -> int:
    """Number of calls made so far."""
    return self._http_client.calls

  @property
  def reachable(self) -> bool:
    """Whether calls are answered: False after repeated failures."""
    return not self._breaker.is_open

  async def close(self) -> None:
    """Does nothing: `http_client` owns the connections."""

  async def _call(
      self,
      method: str,
      target: str,
      body: dict[str, Any] | None = None,
      timeout_s: float = _CALL_TIMEOUT_S,
      bypass_breaker: bool = False,
      is_renewal: bool = False,
  ) -> http_client_lib.Response:
    """Makes one call.

    Args:
      method: the HTTP method.
      target: path and query.
      body: sent as JSON.
      timeout_s: seconds.
      bypass_breaker: send the call even while the store counts as
        unreachable. Followers do, since they limit their own rate.
      is_renewal: whether the call renews a lease; see `CircuitBreaker`.

    Raises:
      errors.KvUnavailableError: the call had no effect.
      errors.KvUnknownError: the call may have had an effect.
    """
    if not bypass_breaker and not self._breaker.allows_call(is_renewal):
      raise errors.KvUnavailableError(
          f"{method} {target}: not sent, store {self._address} is unreachable"
      )
    content = b"" if body is None else json.dumps(body).encode()
    try:
      reply = await self._http_client.call(
          self._address, method, target, content, timeout_s
      )
    except errors.EndpointUnreachableError as exc:
      self._breaker.record(str(exc))
      raise errors.KvUnavailableError(str(exc)) from exc
    except errors.InvalidResponseError as exc:
      self._breaker.record(str(exc))
      raise errors.KvUnknownError(str(exc)) from exc
    if reply.status in _NO_EFFECT:
      self._breaker.record(f"status {reply.status}")
      raise errors.KvUnavailableError(f"{target}: status {reply.status}")
    self._breaker.record(None)
    return reply

  def _parse(
      self, reply: http_client_lib.Response, target: str, model: type[_Model]
  ) -> _Model:
    """Decodes a response.

    Raises:
      errors.KvUnknownError: the call failed or its response is invalid, so
        that its effect is unknown.
    """
    if reply.status != _OK:
      raise errors.KvUnknownError(f"{target}: status {reply.status}")
    try:
      return model.model_validate_json(reply.body)
    except ValueError as exc:
      logger.warning("answer unreadable", extra={"call": target})
      raise errors.KvUnknownError(f"{target}: {exc}") from exc

  async def get(self, key: str) -> protocol.Record | None:
    """Returns the record at `key`, or None when there is none."""
    target = _build_target("/-/kv-key", key=key)
    reply = await self._call("GET", target)
    if reply.status == _NOT_FOUND:
      return None
    return _decode_record(self._parse(reply, target, _Item))

  async def get_many(self, keys: list[str]) -> dict[str, protocol.Record]:
    """Returns the records found at `keys`.

    Up to 32 keys are read with one call: a transaction without changes, with
    the precondition that none of them exists, returns those that do.
    """
    found = {}
    if len(keys) == 1:
      record = await self.get(keys[0])
      return {keys[0]: record} if record is not None else {}
    for start in range(0, len(keys), _MAX_TXN_ENTRIES):
      absent = [
          protocol.Compare(key, "MOD", 0)
          for key in keys[start : start + _MAX_TXN_ENTRIES]
      ]
      result = await self.txn(absent, [])
      found |= {record.key: record for record in result.records}
    return found

  async def get_prefix(self, prefix: str) -> tuple[int, list[protocol.Record]]:
    """Returns the first page's revision and all records under `prefix`."""
    records: list[protocol.Record] = []
    revision = 0
    after = ""
    while True:
      fields = (
          {"prefix": prefix, "after": after} if after else {"prefix": prefix}
      )
      target = _build_target("/-/kv-range", **fields)
      reply = await self._call("GET", target, bypass_breaker=True)
      page = self._parse(reply, target, _RangeResponse)
      revision = revision or page.store_revision
      found = [one.record for one in _decode_items(page.items, target)]
      records += found
      if not page.has_more or not found or found[-1].key <= after:
        return revision, records
      after = found[-1].key

  async def put(self, key: str, value: bytes, lease: int = 0) -> int:
    """Writes `value` at `key`; returns the new revision."""
    result = await self.txn([], [protocol.Put(key, value, lease)])
    return result.revision

  async def txn(
      self,
      compares: list[protocol.Compare],
      success: list[protocol.Op],
      failure: list[protocol.Op] | None = None,
  ) -> protocol.TxnResult:
    """Runs a compare-and-swap transaction.

    `failure` is ignored: if a precondition fails, the store returns the records
    of its keys in any case.
    """
    del failure
    puts = [op for op in success if isinstance(op, protocol.Put)]
    body = {
        "precondition": [{"key": c.key, "rev": c.expected} for c in compares],
        "set_keys": [
            {
                "key": op.key,
                "value": base64.b64encode(op.value).decode(),
                "lease": op.lease,
            }
            for op in puts
        ],
        "delete": [op.key for op in success if isinstance(op, protocol.Delete)],
    }
    reply = await self._call("POST", "/-/kv-txn", body)
    if reply.status == _NOT_FOUND:
      raise errors.KvUnavailableError(
          "/-/kv-txn: a lease of the transaction has expired or was revoked"
      )
    if reply.status == _CONFLICT:
      answer = reply._replace(status=_OK)
      items = self._parse(answer, "txn", _ConflictResponse).items
      records = [_decode_record(item) for item in items if item.rev]
      return protocol.TxnResult(False, 0, records)
    committed = self._parse(reply, "txn", _TxnResponse)
    return protocol.TxnResult(True, committed.rev, [])

  async def grant_lease(self, ttl_s: int) -> int:
    """Grants a lease of `ttl_s` seconds; returns its id."""
    body = {"ttl_ms": ttl_s * 1000}
    reply = await self._call("POST", "/-/kv-lease", body)
    return self._parse(reply, "lease", _LeaseResponse).lease

  async def keep_alive(self, lease: int) -> int:
    """Renews `lease`; returns its TTL in seconds, 0 if it has expired."""
    reply = await self._call("POST", f"/-/kv-keep/{lease}", is_renewal=True)
    if reply.status == _NOT_FOUND:
      return 0
    return max(
        1, int(self._parse(reply, "keep", _KeepAliveResponse).ttl_ms / 1000)
    )

  async def revoke_lease(self, lease: int) -> None:
    """Revokes `lease`; the store deletes the keys attached to it."""
    await self._call("DELETE", f"/-/kv-lease-end/{lease}")

  async def watch(
      self, prefix: str, start_revision: int, idle_s: float
  ) -> AsyncIterator[protocol.Event]:
    """Yields the changes under `prefix`, from `start_revision` on.

    Each call waits for `idle_s` at most, so that a connection that has
    gone silent is detected soon after.

    Raises:
      errors.KvUnavailableError, errors.KvUnknownError: the call failed, or the
        store no longer has the changes since then; read the prefix again
        before watching it.
    """
    after = start_revision - 1
    while True:
      after, events = await self.poll(prefix, after, idle_s)
      for event in events:
        yield event
      if events:
        await anyio.sleep(WATCH_INTERVAL_S)

  async def poll(
      self, prefix: str, after: int, wait_s: float
  ) -> tuple[int, list[protocol.Event]]:
    """Waits once for changes under `prefix` after the revision `after`.

    Returns:
      The revision to pass as `after` next time, and the changes up to it;
      no changes if there were none within `wait_s`.

    Raises:
      errors.KvUnavailableError, errors.KvUnknownError: the call failed, or the
        store no longer has the changes since `after`; read the prefix again.
    """
    wait_s = min(wait_s, _MAX_WATCH_S)
    target = _build_target(
        "/-/kv-watch",
        prefix=prefix,
        after=after,
        wait_ms=int(wait_s * 1000),
    )
    reply = await self._call(
        "GET",
        target,
        timeout_s=wait_s + _WATCH_TIMEOUT_MARGIN_S,
        bypass_breaker=True,
    )
    if reply.status == _HISTORY_COMPACTED:
      raise errors.KvUnavailableError(
          f"watch of {prefix!r}: changes after revision {after} are compacted"
      )
    changes = self._parse(reply, target, _WatchResponse)
    events = [
        protocol.Event(bool(one.item.removed), one.record)
        for one in _decode_items(changes.events, target)
    ]
    return max(after, changes.store_revision), events
