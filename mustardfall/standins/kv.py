"""HTTP server of the key-value stand-in (subset of etcd's v3 JSON gateway).

Tests and the bench also use `POST /standin/faults`, which injects faults,
and `GET /standin/stats`, which returns counters.
"""

from collections.abc import Callable
import json
import logging
import time
from typing import Any, NamedTuple

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mustardfall import settings
from mustardfall.kv import client as kv_client
from mustardfall.standins import kvstore
from mustardfall.util import serving

logger = logging.getLogger(__name__)

_MAX_HISTORY_EVENTS = 20_000
"""Watch events kept for watches that start at an older revision."""
_SILENT_CALL_S = 30.0
"""Delay of the 503 response to a blocked client with the `silent` fault."""
_PROGRESS_INTERVAL_S = 2.0
"""Interval of progress notifications on a watch without events."""


class _Watcher(NamedTuple):
  """An open watch: its client, its key range and its event channel."""

  client: str
  first_key: bytes
  end_key: bytes
  send: Any


class Server:
  """The store, its watches and the injected faults."""

  def __init__(self) -> None:
    self.store = kvstore.Store()
    self.faults = kvstore.Faults()
    self.history: list[dict[str, Any]] = []
    self.watchers: list[_Watcher] = []
    self.calls = 0

  def _publish(self, events: list[dict[str, Any]]) -> None:
    if not events:
      return
    self.history.extend(events)
    del self.history[:-_MAX_HISTORY_EVENTS]
    for watcher in self.watchers:
      matched = [
          e for e in events if _matches(e, watcher.first_key, watcher.end_key)
      ]
      if matched and not self._is_blocked(watcher.client):
        try:
          watcher.send.send_nowait(matched)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
          pass

  def _is_blocked(self, client: str) -> bool:
    return self.faults.down or client in self.faults.blocked

  def change_faults(self, body: dict[str, Any]) -> None:
    """Sets the faults in `body`; closes watches of clients now blocked."""
    faults = self.faults
    faults.down = bool(body.get("down", faults.down))
    faults.delay_s = float(body.get("delay_s", faults.delay_s))
    faults.lose_replies = int(body.get("lose_replies", faults.lose_replies))
    faults.down_after_loss = bool(
        body.get("down_after_loss", faults.down_after_loss)
    )
    faults.silent = bool(body.get("silent", faults.silent))
    if "blocked" in body:
      faults.blocked = frozenset(body["blocked"])
    for watcher in self.watchers:
      if self._is_blocked(watcher.client) and not faults.silent:
        watcher.send.close()

  async def _apply_faults(
      self, request: requests.Request
  ) -> responses.Response | None:
    self.calls += 1
    self._publish(self.store.expire(time.monotonic()))
    if self.faults.delay_s:
      await anyio.sleep(self.faults.delay_s)
    client = request.headers.get(kv_client.CLIENT_HEADER, "")
    if self._is_blocked(client):
      if self.faults.silent:
        await anyio.sleep(_SILENT_CALL_S)
      return responses.JSONResponse({"error": "unavailable"}, status_code=503)
    return None

  def _reply(self, body: dict[str, Any], wrote: bool) -> responses.Response:
    if wrote and self.faults.lose_replies > 0:
      self.faults.lose_replies -= 1
      self.faults.down = self.faults.down_after_loss
      return responses.JSONResponse({"error": "reply lost"}, status_code=500)
    return responses.JSONResponse(body)


def _matches(event: dict[str, Any], first_key: bytes, end_key: bytes) -> bool:
  key = kvstore.decode_base64(event["kv"]["key"])
  return key == first_key if not end_key else first_key <= key < end_key


def _handler(
    server: Server,
    operation: Callable[[dict[str, Any]], tuple[dict[str, Any], bool]],
):
  async def _handle(request: requests.Request) -> responses.Response:
    refused = await server._apply_faults(request)  # noqa: SLF001
    if refused is not None:
      return refused
    body, wrote = operation(await request.json())
    return server._reply(body, wrote)  # noqa: SLF001

  return _handle


def create_app(server: Server | None = None) -> applications.Starlette:
  """Returns the ASGI application of the key-value stand-in."""
  server = server or Server()
  store = server.store

  def _range(body):
    store.reads += 1
    return store.range(body), False

  def _put(body):
    reply, event = store.put(body)
    store.writes += 1
    server._publish([event])  # noqa: SLF001
    return reply, True

  def _txn(body):
    reply, events = store.txn(body)
    # A transaction with writes counts as a write even if its compare fails.
    if any("request_range" not in op for op in body.get("success") or []):
      store.writes += 1
    else:
      store.reads += 1
    server._publish(events)  # noqa: SLF001
    return reply, bool(events)

  def _delete(body):
    store.writes += 1
    reply, events = store.delete(body)
    server._publish(events)  # noqa: SLF001
    return reply, True

  def _grant(body):
    store.writes += 1
    ttl = int(body.get("TTL", 5))
    lease = store.grant(ttl, time.monotonic())
    return {"header": store.header(), "ID": str(lease), "TTL": str(ttl)}, True

  def _keepalive(body):
    store.writes += 1
    lease = int(body.get("ID", 0))
    ttl = store.keep_alive(lease, time.monotonic())
    return {"result": {"ID": str(lease), "TTL": str(ttl)}}, False

  def _revoke(body):
    store.writes += 1
    store.revoke(int(body.get("ID", 0)))
    server._publish(store.expire(time.monotonic()))  # noqa: SLF001
    return {"header": store.header()}, True

  async def _watch(request: requests.Request) -> responses.Response:
    refused = await server._apply_faults(request)  # noqa: SLF001
    if refused is not None:
      return refused
    create = (await request.json()).get("create_request", {})
    first_key = kvstore.decode_base64(create.get("key"))
    end_key = kvstore.decode_base64(create.get("range_end"))
    start_revision = int(create.get("start_revision", 0) or 0)
    send, receive = anyio.create_memory_object_stream(1000)
    backlog = [
        e
        for e in server.history
        if int(e["kv"]["mod_revision"]) >= start_revision
        and _matches(e, first_key, end_key)
    ]
    client = request.headers.get(kv_client.CLIENT_HEADER, "")
    watcher = _Watcher(client, first_key, end_key, send)
    server.watchers.append(watcher)

    async def _lines():
      try:
        header = {"result": {"header": store.header(), "created": True}}
        yield json.dumps(header) + "\n"
        if backlog:
          yield json.dumps({"result": {"events": backlog}}) + "\n"
        async with receive:
          while True:
            with anyio.move_on_after(_PROGRESS_INTERVAL_S):
              try:
                events = await receive.receive()
              except anyio.EndOfStream:
                return
              yield json.dumps({"result": {"events": events}}) + "\n"
              continue
            if not server._is_blocked(client):  # noqa: SLF001
              yield json.dumps({"result": {"header": store.header()}}) + "\n"
      finally:
        server.watchers.remove(watcher)

    return responses.StreamingResponse(_lines(), media_type="application/json")

  async def _faults(request: requests.Request) -> responses.Response:
    body = await request.json()
    server.change_faults(body)
    logger.info("faults changed", extra={"faults": body})
    return responses.JSONResponse({"ok": True})

  async def _stats(_: requests.Request) -> responses.Response:
    return responses.JSONResponse(
        {
            "calls": server.calls,
            "writes": store.writes,
            "reads": store.reads,
            "revision": store.revision,
            "keys": len(store.entries),
        }
    )

  async def _health(_: requests.Request) -> responses.Response:
    return responses.JSONResponse({"ok": True})

  routes = [
      routing.Route("/v3/kv/range", _handler(server, _range), methods=["POST"]),
      routing.Route("/v3/kv/put", _handler(server, _put), methods=["POST"]),
      routing.Route("/v3/kv/txn", _handler(server, _txn), methods=["POST"]),
      routing.Route(
          "/v3/kv/deleterange", _handler(server, _delete), methods=["POST"]
      ),
      routing.Route(
          "/v3/lease/grant", _handler(server, _grant), methods=["POST"]
      ),
      routing.Route(
          "/v3/lease/keepalive", _handler(server, _keepalive), methods=["POST"]
      ),
      routing.Route(
          "/v3/lease/revoke", _handler(server, _revoke), methods=["POST"]
      ),
      routing.Route("/v3/watch", _watch, methods=["POST"]),
      routing.Route("/standin/faults", _faults, methods=["POST"]),
      routing.Route("/standin/stats", _stats, methods=["GET"]),
      routing.Route("/healthz", _health, methods=["GET"]),
  ]
  return applications.Starlette(routes=routes)


async def run(config: settings.KvStandin) -> None:
  """Serves the stand-in until SIGTERM."""
  await serving.serve(create_app(), config.listen.host, config.listen.port, 1)
