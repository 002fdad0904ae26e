"""HTTP server of the key-value stand-in (etcd v3 JSON gateway subset).

Besides the gateway paths it serves `/standin/faults` (POST, to inject
faults) and `/standin/stats` (GET, calls counted), used by tests and the
bench.
"""

from collections.abc import Callable
import json
import logging
import time
from typing import Any

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

_HISTORY = 20_000
"""Watch events kept for replay from an older start revision."""


class _Server:

  def __init__(self) -> None:
    self.store = kvstore.Store()
    self.faults = kvstore.Faults()
    self.history: list[dict[str, Any]] = []
    self.watchers: list[tuple[bytes, bytes, Any]] = []
    self.calls = 0

  def _publish(self, events: list[dict[str, Any]]) -> None:
    self.history.extend(events)
    del self.history[:-_HISTORY]
    for start, end, send in list(self.watchers):
      matched = [e for e in events if _matches(e, start, end)]
      if matched:
        try:
          send.send_nowait(matched)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
          pass

  async def _admit(
      self, request: requests.Request
  ) -> responses.Response | None:
    self.calls += 1
    self.store.expire(time.monotonic())
    if self.faults.delay_s:
      await anyio.sleep(self.faults.delay_s)
    who = request.headers.get(kv_client.CLIENT_HEADER, "")
    if self.faults.down or who in self.faults.blocked:
      return responses.JSONResponse({"error": "unavailable"}, status_code=503)
    return None

  def _reply(self, body: dict[str, Any], wrote: bool) -> responses.Response:
    if wrote and self.faults.lose_replies > 0:
      self.faults.lose_replies -= 1
      return responses.JSONResponse({"error": "reply lost"}, status_code=500)
    return responses.JSONResponse(body)


def _matches(event: dict[str, Any], start: bytes, end: bytes) -> bool:
  key = kvstore._unb64(event["kv"]["key"])  # noqa: SLF001
  return key == start if not end else start <= key < end


def _handler(
    server: _Server, fn: Callable[[dict[str, Any]], tuple[dict[str, Any], bool]]
):
  async def _handle(request: requests.Request) -> responses.Response:
    refused = await server._admit(request)  # noqa: SLF001
    if refused is not None:
      return refused
    body, wrote = fn(await request.json())
    return server._reply(body, wrote)  # noqa: SLF001

  return _handle


def create_app(server: _Server | None = None) -> applications.Starlette:
  """Returns the ASGI application of the stand-in."""
  server = server or _Server()
  store = server.store

  def _range(body):
    return store.range(body), False

  def _put(body):
    reply, event = store.put(body)
    store.writes += 1
    server._publish([event])  # noqa: SLF001
    return reply, True

  def _txn(body):
    reply, events = store.txn(body)
    server._publish(events)  # noqa: SLF001
    return reply, bool(events)

  def _delete(body):
    store.writes += 1
    return store.delete(body), True

  def _grant(body):
    ttl = int(body.get("TTL", 5))
    lease = store.grant(ttl, time.monotonic())
    return {"header": store.header(), "ID": str(lease), "TTL": str(ttl)}, True

  def _keepalive(body):
    lease = int(body.get("ID", 0))
    if lease not in store.leases:
      return {"result": {"ID": str(lease), "TTL": "0"}}, False
    ttl = 5
    store.leases[lease] = time.monotonic() + ttl
    return {"result": {"ID": str(lease), "TTL": str(ttl)}}, False

  def _revoke(body):
    store.leases[int(body.get("ID", 0))] = 0.0
    store.expire(time.monotonic())
    return {"header": store.header()}, True

  async def _watch(request: requests.Request) -> responses.Response:
    refused = await server._admit(request)  # noqa: SLF001
    if refused is not None:
      return refused
    create = (await request.json()).get("create_request", {})
    start = kvstore._unb64(create.get("key"))  # noqa: SLF001
    end = kvstore._unb64(create.get("range_end"))  # noqa: SLF001
    since = int(create.get("start_revision", 0) or 0)
    send, receive = anyio.create_memory_object_stream(1000)
    backlog = [
        e
        for e in server.history
        if int(e["kv"]["mod_revision"]) >= since and _matches(e, start, end)
    ]
    server.watchers.append((start, end, send))

    async def _lines():
      try:
        header = {"result": {"header": store.header(), "created": True}}
        yield json.dumps(header) + "\n"
        if backlog:
          yield json.dumps({"result": {"events": backlog}}) + "\n"
        async with receive:
          while True:
            with anyio.move_on_after(5):
              events = await receive.receive()
              yield json.dumps({"result": {"events": events}}) + "\n"
              continue
            yield "\n"
      finally:
        server.watchers.remove((start, end, send))

    return responses.StreamingResponse(_lines(), media_type="application/json")

  async def _faults(request: requests.Request) -> responses.Response:
    body = await request.json()
    server.faults.down = bool(body.get("down", server.faults.down))
    server.faults.delay_s = float(body.get("delay_s", server.faults.delay_s))
    server.faults.lose_replies = int(body.get("lose_replies", 0))
    if "blocked" in body:
      server.faults.blocked = frozenset(body["blocked"])
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
