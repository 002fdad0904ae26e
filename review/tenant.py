"""A model server and the callers of one tenant, shared by cases on budgets."""

import asyncio
import base64
import itertools
import json
import time
from typing import Any, NamedTuple

import standins

PROMPT = 2_000
MOST_OUTPUT = 80
EVENTS = 20
STRIDE = 4
EVENT_INTERVAL_S = 0.03
DEADLINE_MS = 5_000
SETTLE_S = 1.5
"""`settle_ms`: so long after its end a request counts at its most."""
FIT = 0.97
"""Part of the prepaid tokens into which a request must fit to be owed."""


class Server:
  """A model server that follows PROTOCOL.md."""

  def __init__(self, name: str, record: standins.Record) -> None:
    self.name = name
    self.port = standins.free_ports(1)[0]
    self._record = record
    self.ran: list[str] = []

  async def serve(self) -> None:
    """Serves until cancelled."""
    server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)
    async with server:
      await server.serve_forever()

  async def _connected(self, reader, writer) -> None:
    try:
      while True:
        _, headers = await standins.read_head(reader)
        await reader.readexactly(int(headers.get("content-length", "0")))
        await self._answer(headers, writer)
    except (asyncio.IncompleteReadError, ConnectionError):
      pass
    finally:
      writer.close()

  async def _answer(self, headers: dict[str, str], writer) -> None:
    id_ = headers.get("request-id", "")
    if headers.get("expect-instance", self.name) != self.name:
      writer.write(
          b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
          + self.name.encode()
          + b"\r\nContent-Length: 0\r\n\r\n"
      )
      return
    self.ran.append(id_)
    self._record.write(f"{self.name} runs {id_}")
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {id_}\r\nResponse-Signature: s.{id_}"
        "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        "\r\n\r\n"
    )
    writer.write(head.encode())
    for number in range(1, EVENTS + 1):
      await asyncio.sleep(EVENT_INTERVAL_S)
      event = f"id: {number}\ndata: {'x' * 16}\n\n".encode()
      writer.write(b"%x\r\n%b\r\n" % (len(event), event))
      await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Answer(NamedTuple):
  """What a caller got for one request."""

  sent_at: float
  """Monotonic seconds."""
  ended_at: float
  router: str
  status: str
  """The HTTP status; `none` without an answer."""
  events: int
  is_whole: bool
  fits: bool
  """Whether the request, at its most, fitted into 97 in 100 of the prepaid
  tokens when it was sent, beside all that the tenant could have got."""


class Tenant:
  """The callers of one tenant; each has one request at a time.

  Args:
    record: gets a line for each request.
    routers: the routers to which the callers connect in turn.
    servers: the model servers, which tell what ran.
    prepaid: the tenant's tokens.
  """

  def __init__(
      self,
      record: standins.Record,
      routers: list[standins.Router],
      servers: list[Server],
      prepaid: int,
  ) -> None:
    self._record = record
    self._routers = routers
    self._servers = servers
    self._prepaid = prepaid
    self._ids = itertools.count(1)
    self._in_flight: set[str] = set()
    self.answers: dict[str, Answer] = {}
    self.has_ended = False
    """Whether the callers stop after their present requests."""

  def most_used(self) -> int:
    """Returns the most that the tenant can have got so far.

    Requests that are in flight, or ended within `settle_ms`, count at their
    most. Others count with their prompt if a server ran them, and with the
    events that reached the caller.
    """
    now = time.monotonic()
    used = len(self._in_flight) * (PROMPT + MOST_OUTPUT)
    for id_ in itertools.chain(*(server.ran for server in self._servers)):
      if id_ in self._in_flight:
        continue
      answer = self.answers[id_]
      is_recent = now - answer.ended_at < SETTLE_S
      used += PROMPT + (MOST_OUTPUT if is_recent else answer.events * STRIDE)
    return used

  async def call(self, number: int, pause_s: float = 0.0) -> None:
    """Sends requests one after the other, until `has_ended`."""
    await asyncio.sleep(0.05 * number)
    for turn in itertools.count(number):
      if self.has_ended:
        return
      router = self._routers[turn % len(self._routers)]
      try:
        reader, writer = await asyncio.open_connection(*router.address("front"))
      except OSError:
        await asyncio.sleep(0.1)
        continue
      try:
        answer = await self._send(router, reader, writer)
      finally:
        writer.close()
      if answer.status not in ("200", "none"):
        await asyncio.sleep(0.25)
      await asyncio.sleep(pause_s)

  async def _send(self, router: standins.Router, reader, writer) -> Answer:
    id_ = f"r{next(self._ids):05d}"
    headers = {
        "Model": "m",
        "Token-Usage": f"{PROMPT},{MOST_OUTPUT}",
        "Prompt-Prefix": f"aa:{PROMPT - 500},{id_[1:]}:500",
    }
    most = self.most_used() + PROMPT + MOST_OUTPUT
    self._in_flight.add(id_)
    sent_at = time.monotonic()
    status, events, is_whole = "none", 0, False
    try:
      writer.write(
          standins.encode_request(
              "POST", "/text/1", id_, DEADLINE_MS, headers, b"x" * 100
          )
      )
      first, answer = await standins.read_head(reader)
      status = first.split()[1]
      if "content-length" in answer:
        await reader.readexactly(int(answer["content-length"]))
        is_whole = True
      else:
        events, is_whole = await _read_events(reader)
    except (OSError, asyncio.IncompleteReadError):
      pass
    self._in_flight.discard(id_)
    result = Answer(
        sent_at,
        time.monotonic(),
        router.settings["node"],
        status,
        events,
        is_whole,
        most <= FIT * self._prepaid,
    )
    self.answers[id_] = result
    self._record.write(
        f"{id_} {result.router} answered {status}, {events} events,"
        f" {'whole' if is_whole else 'cut'}; at most {most} tokens with it"
    )
    return result


async def _read_events(reader) -> tuple[int, bool]:
  """Returns the events of a stream, and whether it is complete."""
  raw = b""
  while not raw.endswith(b"0\r\n\r\n"):
    data = await reader.read(65_536)
    if not data:
      break
    raw += data
  return raw.count(b"id: "), raw.endswith(b"0\r\n\r\n")


def find_holder(platform: standins.Platform, tenant: str) -> str:
  """Returns the router that holds most of a tenant's tokens in the store."""
  item = platform.store.items[f"budget/{tenant}"]
  grants = json.loads(base64.b64decode(item.value))["grants"]
  return max(grants, key=grants.get).split(":")[0]


def configuration(version: int, prepaid: int) -> dict[str, Any]:
  """Returns a configuration with one route and one tenant, `acme`."""
  route = {
      "name": "text",
      "host": standins.HOST,
      "prefix": "/text/",
      "kind": "streaming",
      "timeout_ms": DEADLINE_MS,
      "slo_ms": 600,
      "priority": 0,
      "service": "pool",
      "max_attempts": 1,
      "public": False,
      "resumable": False,
      "sticky": True,
  }
  engine = {"slots": 64, "kv_capacity": 384268, "stride": STRIDE}
  tenant = {"name": "acme", "api_keys": [standins.KEY], "prepaid": prepaid}
  return {
      "version": version,
      "routes": [route],
      "services": [{"name": "pool", "max_conns": 370, "engine": engine}],
      "limits": {
          "max_header_bytes": 8192,
          "max_body_bytes": 4194304,
          "header_timeout_ms": 2000,
          "idle_timeout_ms": 5000,
      },
      "tenants": [tenant],
  }


async def start(
    record: standins.Record,
    platform: standins.Platform,
    folder: str,
    routers: list[standins.Router],
    count: int,
    prepaid: int,
) -> list[Server] | None:
  """Starts two servers and some routers; None if one doesn't become ready."""
  servers = [Server(f"i-{number}", record) for number in range(2)]
  for server in servers:
    server.task = asyncio.create_task(server.serve())
    entry = standins.server_entry("pool", f"127.0.0.1:{server.port}", 64)
    platform.store.put(f"servers/{server.name}", entry)
  platform.store.put("op/config", configuration(1, prepaid))
  for number in range(1, count + 1):
    routers.append(new_router(number, platform, folder))
    routers[-1].start()
  for router in routers:
    if not await router.wait_until_ready():
      return None
  await asyncio.sleep(3)
  return servers


def new_router(
    number: int, platform: standins.Platform, folder: str, **fields: Any
) -> standins.Router:
  """Returns a router at an address of its own."""
  settings = standins.router_settings(
      number, platform.address, f"127.0.0.{number + 1}", **fields
  )
  return standins.Router(folder, settings)
