"""An async client for the subset of the etcd v3 JSON gateway in use.

Keys and values are base64-encoded, as the gateway requires. Failures are
classified by their effect on a write: `errors.KvUnavailableError` when the
request cannot have reached the service, `errors.KvUnknownError` when it may
have taken effect although no answer arrived.
"""

import base64
from collections.abc import AsyncIterator
import functools
import json
from typing import Any

import httpx

from mustardfall import errors
from mustardfall.kv import protocol

CLIENT_HEADER = "x-mustardfall-client"
"""Identifies the caller to the stand-in, which can simulate a partition."""


def _b64(text: str | bytes) -> str:
  raw = text.encode() if isinstance(text, str) else text
  return base64.b64encode(raw).decode()


def _unb64(text: str) -> bytes:
  return base64.b64decode(text) if text else b""


def _prefix_end(prefix: str) -> str:
  raw = bytearray(prefix.encode())
  raw[-1] += 1
  return _b64(bytes(raw))


def _record(kv: dict[str, Any]) -> protocol.Record:
  return protocol.Record(
      key=_unb64(kv["key"]).decode(),
      value=_unb64(kv.get("value", "")),
      mod_revision=int(kv.get("mod_revision", 0)),
      version=int(kv.get("version", 0)),
  )


@functools.singledispatch
def _encode_op(op: protocol.Op) -> dict[str, Any]:
  """Returns `op` in the gateway's JSON form."""
  raise TypeError(f"not a KV operation: {op!r}")


@_encode_op.register
def _(op: protocol.Put) -> dict[str, Any]:
  fields: dict[str, Any] = {"key": _b64(op.key), "value": _b64(op.value)}
  if op.lease:
    fields["lease"] = str(op.lease)
  return {"request_put": fields}


@_encode_op.register
def _(op: protocol.Delete) -> dict[str, Any]:
  return {"request_delete_range": {"key": _b64(op.key)}}


@_encode_op.register
def _(op: protocol.Read) -> dict[str, Any]:
  return {"request_range": {"key": _b64(op.key)}}


class Client:
  """Talks to one KV endpoint over HTTP/JSON.

  Args:
    url: base URL of the gateway, e.g. `http://127.0.0.1:2379`.
    name: sent in `CLIENT_HEADER` on every call.
    timeout_s: seconds before a call is abandoned.
    transport: an httpx transport, e.g. to an in-process stand-in.
  """

  def __init__(
      self,
      url: str,
      name: str,
      timeout_s: float = 2.0,
      transport: httpx.AsyncBaseTransport | None = None,
  ) -> None:
    self._http = httpx.AsyncClient(
        base_url=url,
        timeout=timeout_s,
        headers={CLIENT_HEADER: name},
        transport=transport,
    )
    self.calls = 0
    """Number of calls made; a watch counts once."""
    self.reachable = True
    """Whether the store answered the last call."""

  async def close(self) -> None:
    """Closes the connection pool."""
    await self._http.aclose()

  async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
    self.calls += 1
    self.reachable = False
    try:
      reply = await self._http.post(path, json=body)
    except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
      raise errors.KvUnavailableError(f"{path}: {exc!r}") from exc
    except httpx.HTTPError as exc:
      raise errors.KvUnknownError(f"{path}: {exc!r}") from exc
    if reply.status_code == 503:
      raise errors.KvUnavailableError(f"{path}: status 503, unavailable")
    if reply.status_code >= 500:
      raise errors.KvUnknownError(f"{path}: status {reply.status_code}")
    self.reachable = True
    reply.raise_for_status()
    return reply.json()

  async def get(self, key: str) -> protocol.Record | None:
    """Returns the record at `key`, or None when there is none."""
    body = await self._call("/v3/kv/range", {"key": _b64(key)})
    kvs = body.get("kvs") or []
    return _record(kvs[0]) if kvs else None

  async def get_many(self, keys: list[str]) -> dict[str, protocol.Record]:
    """Returns the records found at `keys`, read in one call."""
    result = await self.txn([], [protocol.Read(k) for k in keys])
    return {record.key: record for record in result.records}

  async def get_prefix(self, prefix: str) -> tuple[int, list[protocol.Record]]:
    """Returns the revision and all records whose key starts with `prefix`."""
    body = await self._call(
        "/v3/kv/range", {"key": _b64(prefix), "range_end": _prefix_end(prefix)}
    )
    revision = int(body.get("header", {}).get("revision", 0))
    return revision, [_record(kv) for kv in body.get("kvs") or []]

  async def get_pages(
      self, prefix: str, limit: int
  ) -> AsyncIterator[tuple[int, list[protocol.Record]]]:
    """Yields what `get_prefix` returns, `limit` records at a time.

    Pages may be read at different revisions. For a consistent state, watch
    the prefix from the revision of the first page on.
    """
    start, end = _b64(prefix), _prefix_end(prefix)
    while True:
      body = await self._call(
          "/v3/kv/range",
          {"key": start, "range_end": end, "limit": str(limit)},
      )
      records = [_record(kv) for kv in body.get("kvs") or []]
      yield int(body.get("header", {}).get("revision", 0)), records
      if not body.get("more"):
        return
      start = _b64(records[-1].key + "\0")

  async def put(self, key: str, value: bytes, lease: int = 0) -> int:
    """Writes `value` at `key`; returns the new revision."""
    op = _encode_op(protocol.Put(key, value, lease))["request_put"]
    body = await self._call("/v3/kv/put", op)
    return int(body.get("header", {}).get("revision", 0))

  async def txn(
      self,
      compares: list[protocol.Compare],
      success: list[protocol.Op],
      failure: list[protocol.Op] | None = None,
  ) -> protocol.TxnResult:
    """Runs a compare-and-swap transaction.

    Returns:
      Whether the compares held, the revision after the transaction, and the
      records of any range operations in the branch that ran.
    """
    body = {
        "compare": [
            {
                "key": _b64(c.key),
                "result": "EQUAL",
                "target": c.target,
                ("mod_revision" if c.target == "MOD" else "version"): str(
                    c.expected
                ),
            }
            for c in compares
        ],
        "success": [_encode_op(op) for op in success],
        "failure": [_encode_op(op) for op in failure or []],
    }
    reply = await self._call("/v3/kv/txn", body)
    records = []
    for response in reply.get("responses") or []:
      for kv in response.get("response_range", {}).get("kvs") or []:
        records.append(_record(kv))
    return protocol.TxnResult(
        succeeded=bool(reply.get("succeeded", False)),
        revision=int(reply.get("header", {}).get("revision", 0)),
        records=records,
    )

  async def grant_lease(self, ttl_s: int) -> int:
    """Grants a lease of `ttl_s` seconds; returns its id."""
    body = await self._call("/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"})
    return int(body["ID"])

  async def keep_alive(self, lease: int) -> int:
    """Renews `lease`; returns the remaining TTL, 0 when it has expired."""
    body = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
    return int(body.get("result", {}).get("TTL", 0))

  async def revoke_lease(self, lease: int) -> None:
    """Revokes `lease`; the keys attached to it are deleted."""
    await self._call("/v3/lease/revoke", {"ID": str(lease)})

  async def watch(
      self, prefix: str, start_revision: int, idle_s: float
  ) -> AsyncIterator[protocol.Event]:
    """Yields every change under `prefix` from `start_revision` on.

    The watch requests progress notifications, so a healthy one is never
    idle for long. It is closed as broken after `idle_s` without a byte: a
    partition that drops packets without a reset would otherwise leave it
    open for ever, and its reader with outdated state.

    Raises:
      errors.KvUnavailableError: the watch broke; read again, then watch.
    """
    self.calls += 1
    body = {
        "create_request": {
            "key": _b64(prefix),
            "range_end": _prefix_end(prefix),
            "start_revision": str(start_revision),
            "progress_notify": True,
        }
    }
    timeout = httpx.Timeout(idle_s)
    try:
      async with self._http.stream(
          "POST", "/v3/watch", json=body, timeout=timeout
      ) as reply:
        if reply.status_code != 200:
          raise errors.KvUnavailableError(f"watch: status {reply.status_code}")
        async for line in reply.aiter_lines():
          if not line.strip():
            continue
          result = json.loads(line).get("result", {})
          if result.get("canceled"):
            raise errors.KvUnavailableError(
                "watch: cancelled, history compacted"
            )
          for event in result.get("events") or []:
            deleted = event.get("type", "PUT") == "DELETE"
            yield protocol.Event(deleted, _record(event["kv"]))
    except httpx.HTTPError as exc:
      raise errors.KvUnavailableError(f"watch: {exc!r}") from exc
