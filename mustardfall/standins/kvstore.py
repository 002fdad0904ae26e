"""The state machine of the key-value stand-in, without HTTP.

Kept apart from the server so that property tests can drive it directly
and inject the faults of the real service: outages, lost replies after
the write took effect, and clients cut off from it.
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
  """Faults the stand-in injects; changed at run time by tests."""

  down: bool = False
  """Every call fails with 503 and changes nothing."""
  delay_s: float = 0.0
  """Every call waits this long first."""
  lose_replies: int = 0
  """The next N writes take effect, then fail as if the reply was lost."""
  down_after_loss: bool = False
  """The service goes down with the next reply that it loses."""
  blocked: frozenset[str] = frozenset()
  """Clients (by name) whose calls fail unapplied: a partition."""
  silent: bool = False
  """Cut-off calls hang, and cut-off watches stay open without a word."""


def _b64(raw: bytes) -> str:
  return base64.b64encode(raw).decode()


def _unb64(text: str | None) -> bytes:
  return base64.b64decode(text) if text else b""


class Store:
  """Keys, revisions and leases, as etcd v3 keeps them."""

  def __init__(self) -> None:
    self.revision = 1
    self.entries: dict[bytes, _Entry] = {}
    self.leases: dict[int, tuple[float, int]] = {}
    """Lease id to its deadline (monotonic seconds) and its TTL."""
    self._next_lease = 0x1000
    self.writes = 0
    self.reads = 0

  def _kv(self, key: bytes) -> dict[str, Any]:
    e = self.entries[key]
    return {
        "key": _b64(key),
        "value": _b64(e.value),
        "create_revision": str(e.create_revision),
        "mod_revision": str(e.mod_revision),
        "version": str(e.version),
        "lease": str(e.lease),
    }

  def header(self) -> dict[str, str]:
    """Returns the response header with the current revision."""
    return {"revision": str(self.revision)}

  def _keys(self, op: dict[str, Any]) -> list[bytes]:
    key = _unb64(op.get("key"))
    end = _unb64(op.get("range_end"))
    if not end:
      return [key] if key in self.entries else []
    return sorted(k for k in self.entries if key <= k < end)

  def range(self, op: dict[str, Any]) -> dict[str, Any]:
    """Answers a range request."""
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
    key = _unb64(op.get("key"))
    self.revision += 1
    old = self.entries.get(key)
    self.entries[key] = _Entry(
        value=_unb64(op.get("value")),
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
        {"type": "DELETE", "kv": {"key": _b64(k), **tombstone}} for k in keys
    ]

  def _holds(self, cmp: dict[str, Any]) -> bool:
    entry = self.entries.get(_unb64(cmp.get("key")))
    target = cmp.get("target", "VERSION")
    if target == "MOD":
      actual = entry.mod_revision if entry else 0
      expected = int(cmp.get("mod_revision", 0))
    elif target == "CREATE":
      actual = entry.create_revision if entry else 0
      expected = int(cmp.get("create_revision", 0))
    elif target == "VALUE":
      return (entry.value if entry else b"") == _unb64(cmp.get("value"))
    else:
      actual = entry.version if entry else 0
      expected = int(cmp.get("version", 0))
    result = cmp.get("result", "EQUAL")
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
    succeeded = all(self._holds(c) for c in body.get("compare") or [])
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
        reply, gone = self.delete(op["request_delete_range"])
        events.extend(gone)
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
    """Renews `lease` to its full term; returns its TTL, 0 when lapsed."""
    if lease not in self.leases:
      return 0
    _, ttl_s = self.leases[lease]
    self.leases[lease] = (now + ttl_s, ttl_s)
    return ttl_s

  def revoke(self, lease: int) -> None:
    """Makes `lease` lapse at the next `expire`."""
    if lease in self.leases:
      self.leases[lease] = (0.0, self.leases[lease][1])

  def expire(self, now: float) -> list[dict[str, Any]]:
    """Drops lapsed leases and their keys; returns the watch events."""
    lapsed = {i for i, (deadline, _) in self.leases.items() if deadline <= now}
    for lease in lapsed:
      del self.leases[lease]
    if not lapsed:
      return []
    return self._remove(
        [k for k, e in self.entries.items() if e.lease in lapsed]
    )
