"""A client of the platform's store; serves `kv.protocol.Store`."""

import base64
from collections.abc import AsyncIterator
import json
import logging
from typing import Any, TypeVar
import urllib.parse

import anyio
import pydantic

from mustardfall import errors
from mustardfall.kv import contact
from mustardfall.kv import protocol
from mustardfall.proxy import calls as calls_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_CALL_S = 0.45
"""A call takes 4 ms, and 240 ms when the store is slow sixtyfold."""
_WATCH_MOST_S = 30.0
WATCH_PACE_S = 0.15
"""Least time from one watch's answer to the next call. Routers that start
together register one by one: without it, each router would call for each."""
_WATCH_SLACK_S = 0.6
"""How much later than asked a watch may answer before it is taken for
dead: connections can go silent for good."""

_MOST_ENTRIES = 32
"""Of one transaction."""

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_HISTORY_GONE = 410
_NOT_DONE = (403, 429, 503)
"""The store did nothing."""


class _Answer(pydantic.BaseModel):
  """What the store answers; other fields are of no use here."""

  model_config = pydantic.ConfigDict(extra="ignore", strict=True)


class _Item(_Answer):
  """A key as it is, or was removed."""

  key: str
  value: str | None = None
  """Base64 text."""
  rev: int = 0
  """The revision of its last change; 0: there is no such key."""
  removed: Any = None


class _Page(_Answer):
  items: list[_Item]
  has_more: Any = False
  store_revision: int


class _Changes(_Answer):
  events: list[_Item]
  store_revision: int


class _Conflict(_Answer):
  items: list[_Item] = []


class _Written(_Answer):
  rev: int


class _Granted(_Answer):
  lease: int


class _Kept(_Answer):
  ttl_ms: float


_Model = TypeVar("_Model", bound=_Answer)


def _record(item: _Item) -> protocol.Record:
  """Decodes an item.

  Raises:
    errors.KvUnknownError: its value is no base64 text.
  """
  try:
    value = base64.b64decode(item.value or "")
  except ValueError as exc:
    raise errors.KvUnknownError(f"{item.key}: {exc}") from exc
  return protocol.Record(item.key, value, item.rev, 0)


def _query(path: str, **fields: object) -> str:
  return f"{path}?{urllib.parse.urlencode(fields)}"


class Store:
  """Talks to the platform's store.

  Args:
    address: `HOST:PORT`.
    caller: makes the calls.
    clock: the time source.
  """

  def __init__(
      self, address: str, caller: calls_lib.Caller, clock: clock_lib.Clock
  ) -> None:
    self._address = address
    self._caller = caller
    self._contact = contact.Contact(clock)

  @property
  def calls(self) -> int:
    """Calls made."""
    return self._caller.calls

  @property
  def reachable(self) -> bool:
    """Whether the last call was answered."""
    return not self._contact.lost

  async def close(self) -> None:
    """Does nothing: the connections are the caller's."""

  async def _call(
      self,
      method: str,
      target: str,
      body: dict[str, Any] | None = None,
      timeout_s: float = _CALL_S,
      eager: bool = False,
  ) -> calls_lib.Reply:
    """Makes one call.

    Args:
      method: the HTTP method.
      target: path and query.
      body: sent as JSON.
      timeout_s: seconds.
      eager: try even while the store is away; followers do, at a pace of
        their own.

    Raises:
      errors.KvUnavailableError: it had no effect.
      errors.KvUnknownError: it may have had.
    """
    if not eager and not self._contact.may_try():
      raise errors.KvUnavailableError("store away")
    content = b"" if body is None else json.dumps(body).encode()
    try:
      reply = await self._caller.call(
          self._address, method, target, content, timeout_s
      )
    except errors.EndpointUnreachableError as exc:
      self._contact.note(str(exc))
      raise errors.KvUnavailableError(str(exc)) from exc
    except errors.BadResponseError as exc:
      self._contact.note(str(exc))
      raise errors.KvUnknownError(str(exc)) from exc
    if reply.status in _NOT_DONE:
      self._contact.note(f"status {reply.status}")
      raise errors.KvUnavailableError(f"{target}: status {reply.status}")
    self._contact.note(None)
    return reply

  def _parse(
      self, reply: calls_lib.Reply, target: str, model: type[_Model]
  ) -> _Model:
    """Decodes an answer; one that makes no sense says nothing."""
    if reply.status != _OK:
      raise errors.KvUnknownError(f"{target}: status {reply.status}")
    try:
      return model.model_validate_json(reply.body)
    except ValueError as exc:
      logger.warning("answer unreadable", extra={"call": target})
      raise errors.KvUnknownError(f"{target}: {exc}") from exc

  async def get(self, key: str) -> protocol.Record | None:
    """Returns the record at `key`, or None when there is none."""
    target = _query("/-/kv-key", key=key)
    reply = await self._call("GET", target)
    if reply.status == _NOT_FOUND:
      return None
    return _record(self._parse(reply, target, _Item))

  async def get_many(self, keys: list[str]) -> dict[str, protocol.Record]:
    """Returns the records found at `keys`.

    A transaction without changes, on condition that none of them exists, tells
    of up to 32 in one call.
    """
    found = {}
    if len(keys) == 1:
      record = await self.get(keys[0])
      return {keys[0]: record} if record is not None else {}
    for begin in range(0, len(keys), _MOST_ENTRIES):
      absent = [
          protocol.Compare(key, "MOD", 0)
          for key in keys[begin : begin + _MOST_ENTRIES]
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
      target = _query("/-/kv-range", **fields)
      reply = await self._call("GET", target, eager=True)
      page = self._parse(reply, target, _Page)
      revision = revision or page.store_revision
      records += [_record(item) for item in page.items]
      if not page.has_more or not page.items or records[-1].key <= after:
        return revision, records
      after = records[-1].key

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

    The store always returns what the conditions found when they fail, so
    the reads in `failure` need not be sent.
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
      raise errors.KvUnavailableError("the lease has ended")
    if reply.status == _CONFLICT:
      answer = reply._replace(status=_OK)
      items = self._parse(answer, "txn", _Conflict).items
      records = [_record(item) for item in items if item.rev]
      return protocol.TxnResult(False, 0, records)
    written = self._parse(reply, "txn", _Written)
    return protocol.TxnResult(True, written.rev, [])

  async def grant_lease(self, ttl_s: int) -> int:
    """Grants a lease of `ttl_s` seconds; returns its id."""
    body = {"ttl_ms": ttl_s * 1000}
    reply = await self._call("POST", "/-/kv-lease", body)
    return self._parse(reply, "lease", _Granted).lease

  async def keep_alive(self, lease: int) -> int:
    """Renews `lease`; returns the TTL left, 0 when it has lapsed."""
    reply = await self._call("POST", f"/-/kv-keep/{lease}")
    if reply.status == _NOT_FOUND:
      return 0
    return max(1, int(self._parse(reply, "keep", _Kept).ttl_ms / 1000))

  async def revoke_lease(self, lease: int) -> None:
    """Ends `lease`; the keys under it are deleted."""
    await self._call("DELETE", f"/-/kv-lease-end/{lease}")

  async def watch(
      self, prefix: str, start_revision: int, idle_s: float
  ) -> AsyncIterator[protocol.Event]:
    """Yields every change under `prefix` from `start_revision` on.

    Each call waits for `idle_s` at most, so that a connection that has
    gone silent is noticed soon after.

    Raises:
      errors.KvUnavailableError: the watch broke, or the history is gone;
        read again, then watch.
    """
    after = start_revision - 1
    while True:
      after, events = await self.poll(prefix, after, idle_s)
      for event in events:
        yield event
      if events:
        await anyio.sleep(WATCH_PACE_S)

  async def poll(
      self, prefix: str, after: int, wait_s: float
  ) -> tuple[int, list[protocol.Event]]:
    """Waits once for changes under `prefix` after a revision.

    Returns:
      The revision to go on from, and the changes up to it; none when there
      was none within `wait_s`.

    Raises:
      errors.KvUnavailableError, errors.KvUnknownError: the watch broke, or
        the history is gone; read again.
    """
    wait_s = min(wait_s, _WATCH_MOST_S)
    target = _query(
        "/-/kv-watch",
        prefix=prefix,
        after=after,
        wait_ms=int(wait_s * 1000),
    )
    reply = await self._call(
        "GET", target, timeout_s=wait_s + _WATCH_SLACK_S, eager=True
    )
    if reply.status == _HISTORY_GONE:
      raise errors.KvUnavailableError("watch: history gone")
    changes = self._parse(reply, target, _Changes)
    events = [
        protocol.Event(bool(event.removed), _record(event))
        for event in changes.events
    ]
    return max(after, changes.store_revision), events
