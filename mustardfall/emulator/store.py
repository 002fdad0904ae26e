"""Emulated platform store: transactions, leases, watches and faults."""

import asyncio
import base64
import dataclasses
import itertools
import json
from typing import Any
import urllib.parse

import anyio
from anyio import abc

from mustardfall.proxy import http_server
from mustardfall.proxy import internal
from mustardfall.proxy import messages
from mustardfall.routing import configuration
from mustardfall.util import clock as clock_lib

HOST_HEADER = b"x-host"
"""Names the calling host: on loopback, all hosts have one address."""
_PAGE_SIZE = 50
"""Items in a range response; small, so that tests read several pages."""
_WATCH_POLL_S = 0.01
_INVALID_RESPONSES = (
    b"",
    b"null",
    b"[]",
    b"3",
    b'"text"',
    b"{}",
    b"\xff\x00",
    b"[" * 20_000,
    b'{"items": null, "events": null, "rev": null, "lease": null}',
    b'{"items": [3], "events": [3], "rev": "x", "lease": [], "ttl_ms": "x"}',
    b'{"items": [{"key": 3, "value": "?", "rev": {}}], "has_more": true,'
    b' "events": [{"key": "op/config", "value": 3}], "store_revision": "x",'
    b' "lease": -1, "ttl_ms": {}, "rev": []}',
)
"""Malformed response bodies, sent in turn during a `nonsense` fault."""


_ENDLESS_PIECE_BYTES = 16_384


@dataclasses.dataclass
class Item:
  """The value and the revisions of one key, as written on the wire."""

  value: str
  """Base64 text."""
  rev: int
  created: int
  lease: int = 0


@dataclasses.dataclass
class Faults:
  """Injected faults; set by tests."""

  failure_mode: str = ""
  """`silent`, `busy` (503), `reset`, `nonsense` or `endless`; empty: no
  failure."""
  lose_responses: int = 0
  """How many of the next writes are applied but get no response."""
  apply_delay_s: float = 0.0
  """Delay after which writes with a lost response are applied."""
  rejected_hosts: set[str] = dataclasses.field(default_factory=set)
  """Hosts, by their `HOST_HEADER`, whose calls get status 503."""


class Store:
  """The store's state and its HTTP API; `serve` listens for connections."""

  def __init__(self, clock: clock_lib.Clock | None = None) -> None:
    self._clock = clock or clock_lib.SystemClock()
    self.items: dict[str, Item] = {}
    self.faults = Faults()
    self._invalid_responses = itertools.cycle(_INVALID_RESPONSES)
    self.revision = 1
    self.writes = 0
    self._history: list[tuple[int, str]] = []
    self._compacted_revision = 0
    self._leases: dict[int, tuple[float, float]] = {}
    self._lease_ids = itertools.count(100)
    self.odd_items: list[Any] = []
    """Added as they are to lists of items and changes; set by tests."""

  # Direct access for tests.

  def put(self, key: str, value: dict[str, Any]) -> None:
    """Writes a JSON value, as an operator or a server would."""
    self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

  def put_encoded(self, key: str, value: str) -> None:
    """Writes a value in base64, or a text that is none, as others may."""
    self._write(key, value, 0)

  def remove(self, key: str) -> None:
    """Removes a key."""
    self.revision += 1
    self.items.pop(key, None)
    self._history.append((self.revision, key))

  def read(self, key: str) -> Any:
    """Returns the JSON value of a key; None if absent."""
    item = self.items.get(key)
    return None if item is None else json.loads(base64.b64decode(item.value))

  def compact_history(self) -> None:
    """Drops the watch history: older watches get status 410."""
    self._history.clear()
    self._compacted_revision = self.revision

  # State.

  def _write(self, key: str, value: str, lease: int) -> None:
    self.revision += 1
    old = self.items.get(key)
    created = old.created if old else self.revision
    self.items[key] = Item(value, self.revision, created, lease)
    self._history.append((self.revision, key))

  def _expire(self) -> None:
    now = self._clock.monotonic()
    for lease, (_, until) in list(self._leases.items()):
      if until < now:
        self._revoke_lease(lease)

  def _revoke_lease(self, lease: int) -> None:
    del self._leases[lease]
    for key, item in list(self.items.items()):
      if item.lease == lease:
        self.remove(key)

  def _describe(self, key: str) -> dict[str, Any]:
    item = self.items.get(key)
    if item is None:
      return {"key": key, "rev": 0}
    return {"key": key, **dataclasses.asdict(item)}

  # HTTP calls.

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: http_server.Responder,
  ) -> None:
    """Handles one call, with the faults that `faults` injects."""
    if self.faults.failure_mode == "silent":
      await anyio.sleep_forever()
    if self.faults.failure_mode == "reset":
      raise anyio.BrokenResourceError
    if self.faults.failure_mode == "nonsense":
      await responder.respond(200, [], next(self._invalid_responses))
      return
    if self.faults.failure_mode == "endless":
      await responder.start(200, [])
      while True:
        await responder.write(bytes(_ENDLESS_PIECE_BYTES))
    host = dict(request.headers).get(HOST_HEADER, b"").decode()
    if self.faults.failure_mode == "busy" or host in self.faults.rejected_hosts:
      await responder.respond(503, [])
      return
    self._expire()
    query = request.target.decode().partition("?")[2]
    fields = dict(urllib.parse.parse_qsl(query))
    path, _, last = request.path.rpartition("/")
    lease = int(last) if last.isdigit() else 0
    data = json.loads(body) if body else {}
    if request.path == "/-/kv-txn" and self.faults.lose_responses:
      await self._lose_response(data)
    status, answer = await self._answer(
        path if lease else request.path, fields, data, lease
    )
    await responder.respond(status, [], json.dumps(answer).encode())

  async def _lose_response(self, data: dict[str, Any]) -> None:
    self.faults.lose_responses -= 1
    if self.faults.apply_delay_s:
      loop = asyncio.get_running_loop()
      loop.call_later(self.faults.apply_delay_s, self._commit, data)
    else:
      self._commit(data)
    raise anyio.BrokenResourceError

  async def _answer(
      self, path: str, fields: dict[str, str], data: dict, lease: int
  ) -> tuple[int, dict[str, Any]]:
    if path == "/-/kv-key":
      found = fields["key"] in self.items
      return (200, self._describe(fields["key"])) if found else (404, {})
    if path == "/-/kv-range":
      return 200, self._range(fields)
    if path == "/-/kv-watch":
      return await self._watch(fields)
    if path == "/-/kv-txn":
      return self._commit(data)
    if path == "/-/kv-lease":
      return 200, self._grant(data["ttl_ms"] / 1000)
    if path == "/-/kv-keep":
      return self._keep_alive(lease)
    if path == "/-/kv-lease-end" and lease in self._leases:
      self._revoke_lease(lease)
      return 200, {}
    return 404, {}

  def _range(self, fields: dict[str, str]) -> dict[str, Any]:
    prefix, after = fields["prefix"], fields.get("after", "")
    keys = sorted(
        key for key in self.items if key.startswith(prefix) and key > after
    )
    items = [self._describe(key) for key in keys[:_PAGE_SIZE]]
    return {
        "items": [*items[:1], *self.odd_items, *items[1:]],
        "has_more": len(keys) > _PAGE_SIZE,
        "store_revision": self.revision,
    }

  async def _watch(self, fields: dict[str, str]) -> tuple[int, dict]:
    after = int(fields["after"])
    until = self._clock.monotonic() + int(fields["wait_ms"]) / 1000
    while True:
      if after < self._compacted_revision:
        return 410, {}
      events = [
          self._event(rev, key)
          for rev, key in self._history
          if rev > after and key.startswith(fields["prefix"])
      ]
      if events or self._clock.monotonic() >= until:
        events[1:1] = self.odd_items
        return 200, {"events": events, "store_revision": self.revision}
      await anyio.sleep(_WATCH_POLL_S)

  def _event(self, rev: int, key: str) -> dict[str, Any]:
    if key not in self.items:
      return {"key": key, "rev": rev, "removed": True}
    return self._describe(key)

  def _commit(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    self.writes += 1
    rows = data.get("precondition", [])
    for row in rows:
      item = self.items.get(row["key"])
      if (item.rev if item else 0) != row["rev"]:
        return 412, {"items": [self._describe(r["key"]) for r in rows]}
    for put in data.get("set_keys", []):
      lease = put.get("lease", 0)
      if lease and lease not in self._leases:
        return 404, {}
    for put in data.get("set_keys", []):
      self._write(put["key"], put["value"], put.get("lease", 0))
    for key in data.get("delete", []):
      self.remove(key)
    return 200, {"rev": self.revision}

  def _grant(self, ttl_s: float) -> dict[str, Any]:
    lease = next(self._lease_ids)
    self._leases[lease] = (ttl_s, self._clock.monotonic() + ttl_s)
    return {"lease": lease, "ttl_ms": int(ttl_s * 1000)}

  def _keep_alive(self, lease: int) -> tuple[int, dict[str, Any]]:
    if lease not in self._leases:
      return 404, {}
    ttl_s, _ = self._leases[lease]
    self._leases[lease] = (ttl_s, self._clock.monotonic() + ttl_s)
    return 200, {"ttl_ms": int(ttl_s * 1000)}

  async def serve(
      self,
      port: int,
      *,
      task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
  ) -> None:
    """Serves on the loopback interface until cancelled.

    Reports as started once the port is open: calls that fail before that make a
    router wait before it grants tokens.
    """
    served = http_server.HttpServer(
        internal.Dialect(),
        self.handle,
        lambda: configuration.DEFAULT_LIMITS,
        clock_lib.SystemClock(),
    )
    await served.serve("127.0.0.1", port, task_status=task_status)
