"""State machine of the key-value stand-in, without HTTP.

It is separate from the server so that property tests can call it directly.
`Faults` lists the faults of the real service that the server injects:
outages, lost responses of applied writes, and partitioned clients.
"""

import base64
import dataclasses
from typing import Any


@dataclasses.dataclass
class _Entry:
  value: bytes
  create_revision: int
  mod_revision: int
  version: int
  lease: int = 0


@dataclasses.dataclass
class Faults:
  """Faults that the stand-in injects; tests change them at run time."""

  down: bool = False
  """All calls fail with 503 and change nothing."""
  delay_s: float = 0.0
  """Delay before each call is processed."""
  lose_replies: int = 0
  """The next N writes are applied but return an error (lost response)."""
  down_after_loss: bool = False
  """Sets `down` when the next response is lost."""
  blocked: frozenset[str] = frozenset()
  """Names of partitioned clients, whose calls fail without being applied."""
  silent: bool = False
  """Calls of blocked clients hang; their watches stay open without data."""


def _encode_base64(raw: bytes) -> str:
  return base64.b64encode(raw).decode()


def decode_base64(text: str | None) -> bytes:
  """Decodes a key or a value of the JSON gateway; absent means empty."""
  return base64.b64decode(text) if text else b""


class Store:
  """Keys, revisions and leases, as in etcd v3.

  Unlike in etcd, each operation of a transaction gets its own revision.
  """

  def __init__(self) -> None:
    self.revision = 1
    self.entries: dict[bytes, _Entry] = {}
    self.leases: dict[int, tuple[float, int]] = {}
    """Maps a lease id to its deadline (monotonic seconds) and its TTL."""
    self._next_lease = 0x1000
    self.writes = 0
    self.reads = 0

  def _kv(self, key: bytes) -> dict[str, Any]:
    entry = self.entries[key]
    return {
        "key": _encode_base64(key),
        "value": _encode_base64(entry.value),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
        "lease": str(entry.lease),
    }

  def header(self) -> dict[str, str]:
    """Returns the response header with the current revision."""
    return {"revision": str(self.revision)}

  def _keys(self, op: dict[str, Any]) -> list[bytes]:
    key = decode_base64(op.get("key"))
    end = decode_base64(op.get("range_end"))
    if not end:
      return [key] if key in self.entries else []
    return sorted(k for k in self.entries if key <= k < end)

  def range(self, op: dict[str, Any]) -> dict[str, Any]:
    """Handles a range request."""
    keys = self._keys(op)
    limit = int(op.get("limit", 0) or 0) or len(keys)
    return {
        "header": self.header(),
        "kvs": [self._kv(k) for k in keys[:limit]],
        "count": str(len(keys)),
        "more": limit < len(keys),
    }

  def put(self, op: dict[str, Any]) -> tuple[dict[str, Any], dict[str, Any]]:
    """Applies a put; returns the response and the watch event."""
    key = decode_base64(op.get("key"))
    self.revision += 1
    old = self.entries.get(key)
    self.entries[key] = _Entry(
        value=decode_base64(op.get("value")),
        create_revision=old.create_revision if old else self.revision,
        mod_revision=self.revision,
        version=(old.version + 1) if old else 1,
        lease=int(op.get("lease", 0) or 0),
    )
    return {"header": self.header()}, {"type": "PUT", "kv": self._kv(key)}

  def delete(
      self, op: dict[str, Any]
  ) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Applies a delete-range; returns the response and watch events."""
    events = self._remove(self._keys(op))
    return {"header": self.header(), "deleted": str(len(events))}, events

  def _remove(self, keys: list[bytes]) -> list[dict[str, Any]]:
    if keys:
      self.revision += 1
    for k in keys:
      del self.entries[k]
    tombstone = {"mod_revision": str(self.revision)}
    return [
        {"type": "DELETE", "kv": {"key": _encode_base64(k), **tombstone}}
        for k in keys
    ]

  def _is_satisfied(self, comparison: dict[str, Any]) -> bool:
    entry = self.entries.get(decode_base64(comparison.get("key")))
    target = comparison.get("target", "VERSION")
    if target == "MOD":
      actual = entry.mod_revision if entry else 0
      expected = int(comparison.get("mod_revision", 0))
    elif target == "CREATE":
      actual = entry.create_revision if entry else 0
      expected = int(comparison.get("create_revision", 0))
    elif target == "VALUE":
      return (entry.value if entry else b"") == decode_base64(
          comparison.get("value")
      )
    else:
      actual = entry.version if entry else 0
      expected = int(comparison.get("version", 0))
    result = comparison.get("result", "EQUAL")
    if result == "EQUAL":
      return actual == expected
    if result == "GREATER":
      return actual > expected
    if result == "LESS":
      return actual < expected
    return actual != expected

  def txn(
      self, body: dict[str, Any]
  ) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Applies a transaction; returns the response and watch events."""
    succeeded = all(self._is_satisfied(c) for c in body.get("compare") or [])
    ops = body.get("success" if succeeded else "failure") or []
    responses, events = [], []
    for op in ops:
      if "request_put" in op:
        reply, event = self.put(op["request_put"])
        responses.append({"response_put": reply})
        events.append(event)
      elif "request_range" in op:
        responses.append({"response_range": self.range(op["request_range"])})
      elif "request_delete_range" in op:
        reply, removed = self.delete(op["request_delete_range"])
        events.extend(removed)
        responses.append({"response_delete_range": reply})
    return {
        "header": self.header(),
        "succeeded": succeeded,
        "responses": responses,
    }, events

  def grant(self, ttl_s: int, now: float) -> int:
    """Grants a lease; returns its id."""
    self._next_lease += 1
    self.leases[self._next_lease] = (now + ttl_s, ttl_s)
    return self._next_lease

  def keep_alive(self, lease: int, now: float) -> int:
    """Renews `lease` for its full TTL; returns the TTL, 0 if it expired."""
    if lease not in self.leases:
      return 0
    _, ttl_s = self.leases[lease]
    self.leases[lease] = (now + ttl_s, ttl_s)
    return ttl_s

  def revoke(self, lease: int) -> None:
    """Makes `lease` expire at the next call of `expire`."""
    if lease in self.leases:
      self.leases[lease] = (0.0, self.leases[lease][1])

  def expire(self, now: float) -> list[dict[str, Any]]:
    """Removes expired leases and their keys; returns the watch events."""
    expired = {i for i, (deadline, _) in self.leases.items() if deadline <= now}
    for lease in expired:
      del self.leases[lease]
    if not expired:
      return []
    return self._remove(
        [k for k, entry in self.entries.items() if entry.lease in expired]
    )
