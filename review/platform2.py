"""Stand-ins of the platform for the scripts of review cases 6 to 10.

A key-value store, servers, clients, and the processes of the routers, on
loopback addresses and the real clock. Only the standard library is used. Each
part does what the users' pages say of a sound one, and nothing else, unless a
case sets one of its faults.
"""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-acme"
SERVICE = "pool"
_HISTORY = 20_000
_PAGE = 500
_MAX_S = 110.0
"""Time after which a case counts as one that could not run."""


def free_port(ip, kind=socket.SOCK_STREAM):
  """Returns a port that is free on a loopback address."""
  with socket.socket(socket.AF_INET, kind) as sock:
    sock.bind((ip, 0))
    return sock.getsockname()[1]


def free_ports(ip, count):
  """Returns the first of `count` successive free ports, for TCP and UDP."""
  while True:
    first = free_port(ip)
    if first + count > 65_000:
      continue
    with contextlib.ExitStack() as held:
      try:
        for number in range(first, first + count):
          for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            sock = held.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((ip, number))
      except OSError:
        continue
      return first


class Record:
  """Lines of `record.txt`: what was sent, answered and run."""

  def __init__(self, path):
    self._file = open(path, "w", encoding="utf-8")
    self._began = time.monotonic()

  def now(self):
    """Returns the seconds since the record began."""
    return time.monotonic() - self._began

  def write(self, text):
    """Writes one line with its time."""
    self._file.write(f"{self.now():9.3f} s  {text}\n")
    self._file.flush()


class Muted:
  """A record of which only the clock is used, for background traffic."""

  def __init__(self, record):
    self.now = record.now

  def write(self, text):
    """Writes nothing."""


async def read_head(reader):
  """Returns the first line and the headers of a message; None at the end."""
  try:
    raw = await reader.readuntil(b"\r\n\r\n")
  except (asyncio.IncompleteReadError, ConnectionError, OSError):
    return None
  lines = raw.decode("latin-1").split("\r\n")
  headers = {}
  for line in lines[1:]:
    name, sep, value = line.partition(":")
    if sep:
      headers[name.strip().lower()] = value.strip()
  return lines[0], headers


async def read_body(reader, headers):
  """Returns the body of a message that has a length or chunks."""
  if headers.get("transfer-encoding", "").lower() == "chunked":
    body = bytearray()
    while True:
      size = int((await reader.readline()).split(b";")[0], 16)
      body += (await reader.readexactly(size + 2))[:size]
      if not size:
        return bytes(body)
  return await reader.readexactly(int(headers.get("content-length", 0)))


@dataclasses.dataclass
class Item:
  """A key's value."""

  value: str
  rev: int
  created: int
  lease: int


class Store:
  """The platform's key-value store, as PROTOCOL.md describes it."""

  def __init__(self, record):
    self._record = record
    self.items = {}
    self.revision = 10
    self._history = []
    self._leases = {}
    self._ids = itertools.count(1000)
    self._changed = asyncio.Event()
    self._server = None
    self.address = ""
    self.delay_s = 0.004
    self.silent_for = set()
    """Source addresses whose calls get no response."""

  async def start(self, ip):
    """Listens on a free port."""
    self._server = await asyncio.start_server(self._serve, ip, 0)
    port = self._server.sockets[0].getsockname()[1]
    self.address = f"{ip}:{port}"

  def put(self, key, value, lease=0):
    """Writes a JSON value as the operator or a server does."""
    text = base64.b64encode(json.dumps(value).encode()).decode()
    self._write(key, text, lease)

  def remove(self, key):
    """Removes a key."""
    if self.items.pop(key, None) is not None:
      self.revision += 1
      self._note(key, None)

  def read(self, key):
    """Returns the JSON value of a key; None if there is none."""
    item = self.items.get(key)
    return None if item is None else json.loads(base64.b64decode(item.value))

  def _write(self, key, value, lease):
    self.revision += 1
    before = self.items.get(key)
    created = before.created if before else self.revision
    self.items[key] = Item(value, self.revision, created, lease)
    self._note(key, self.items[key])

  def _note(self, key, item):
    self._history.append((self.revision, key, item))
    del self._history[:-_HISTORY]
    self._changed.set()
    self._changed = asyncio.Event()

  def _expire(self):
    now = time.monotonic()
    for lease, (_, until) in list(self._leases.items()):
      if until < now:
        self._end(lease)

  def _end(self, lease):
    del self._leases[lease]
    for key, item in list(self.items.items()):
      if item.lease == lease:
        self.remove(key)

  def _row(self, key):
    item = self.items.get(key)
    if item is None:
      return {"key": key, "rev": 0}
    return {"key": key, **dataclasses.asdict(item)}

  async def _serve(self, reader, writer):
    peer = writer.get_extra_info("peername")[0]
    try:
      while (head := await read_head(reader)) is not None:
        body = await read_body(reader, head[1])
        if peer in self.silent_for:
          await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        method, target, _ = head[0].split(" ")
        status, answer = await self._answer(method, target, body)
        raw = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
            f"content-length: {len(raw)}\r\n\r\n".encode() + raw
        )
        await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
      pass
    finally:
      writer.close()

  async def _answer(self, method, target, body):
    self._expire()
    path, _, query = target.partition("?")
    fields = dict(urllib.parse.parse_qsl(query))
    data = json.loads(body) if body else {}
    last = path.rpartition("/")[2]
    if path == "/-/kv-key":
      if fields["key"] not in self.items:
        return 404, {}
      row = self._row(fields["key"])
      return 200, {**row, "store_revision": self.revision}
    if path == "/-/kv-range":
      return 200, self._range(fields)
    if path == "/-/kv-watch":
      return 200, await self._watch(fields)
    if path == "/-/kv-txn":
      return self._txn(data)
    if path == "/-/kv-lease":
      lease = next(self._ids)
      ttl_ms = min(max(1000, data["ttl_ms"]), 600_000)
      self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
      return 200, {"lease": lease, "ttl_ms": ttl_ms}
    if path.startswith("/-/kv-keep/"):
      if int(last) not in self._leases:
        return 404, {}
      ttl_ms, _ = self._leases[int(last)]
      self._leases[int(last)] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
      return 200, {"lease": int(last), "ttl_ms": ttl_ms}
    if path.startswith("/-/kv-lease-end/"):
      if int(last) in self._leases:
        self._end(int(last))
      return 200, {}
    return 404, {}

  def _range(self, fields):
    prefix, after = fields["prefix"], fields.get("after", "")
    keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
    return {
        "items": [self._row(key) for key in keys[:_PAGE]],
        "has_more": len(keys) > _PAGE,
        "store_revision": self.revision,
    }

  async def _watch(self, fields):
    after, prefix = int(fields["after"]), fields["prefix"]
    until = time.monotonic() + int(fields["wait_ms"]) / 1000
    while True:
      events = []
      for rev, key, item in self._history:
        if rev <= after or not key.startswith(prefix):
          continue
        if item is None:
          events.append({"key": key, "rev": rev, "removed": True})
        else:
          events.append({"key": key, **dataclasses.asdict(item)})
      left_s = until - time.monotonic()
      if events or left_s <= 0:
        return {"events": events, "store_revision": self.revision}
      with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(self._changed.wait(), min(left_s, 0.2))
      self._expire()

  def _txn(self, data):
    rows = data.get("precondition", [])
    for row in rows:
      item = self.items.get(row["key"])
      if (item.rev if item else 0) != row["rev"]:
        return 412, {"items": [self._row(r["key"]) for r in rows]}
    puts = data.get("set_keys", [])
    for put in puts:
      if put["key"].startswith(("op/", "servers/")):
        return 403, {}
      if put.get("lease", 0) and put["lease"] not in self._leases:
        return 404, {}
    for put in puts:
      self._write(put["key"], put["value"], put.get("lease", 0))
    for key in data.get("delete", []):
      self.remove(key)
    return 200, {"rev": self.revision}


class Server:
  """A sound server of the platform; registers itself while it runs."""

  def __init__(self, record, store, id_, ip, service=SERVICE, work_s=0.09):
    self._record = record
    self._store = store
    self.id = id_
    self._ip = ip
    self._service = service
    self.work_s = work_s
    self.events = 0
    """Events of a streamed response; 0: plain responses."""
    self.event_s = 0.05
    self.keep_alive_s = 15
    self.runs = {}
    """By request id: begin and end of its run; the end is None while it runs."""
    self._server = None
    self.address = ""
    self._seq = itertools.count(1)
    self.zone = "zone-a"

  async def start(self):
    """Listens on a free port and registers."""
    self._server = await asyncio.start_server(self._serve, self._ip, 0)
    port = self._server.sockets[0].getsockname()[1]
    self.address = f"{self._ip}:{port}"
    self.register()

  def register(self, state="ready"):
    """Writes the server's entry."""
    self._store.put(
        f"servers/{self.id}",
        {
            "service": self._service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_left_ms": 0,
            "seq": next(self._seq),
        },
    )

  async def heartbeat(self):
    """Repeats the entry until cancelled."""
    while True:
      await asyncio.sleep(1.2)
      self.register()

  async def _serve(self, reader, writer):
    try:
      while (head := await read_head(reader)) is not None:
        body = await read_body(reader, head[1])
        gone = asyncio.ensure_future(reader.read(1))
        run = asyncio.ensure_future(self._answer(head, body, writer))
        await asyncio.wait((gone, run), return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
          run.cancel()
          self._record.write(
              f"server {self.id}: connection closed under request"
              f" {head[1].get('request-id')}"
          )
          return
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
          await gone
        run.result()
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
      pass
    finally:
      writer.close()

  async def _answer(self, head, body, writer):
    line, headers = head
    id_ = headers.get("request-id", "")
    if line.startswith("GET /health"):
      writer.write(
          f"HTTP/1.1 200 OK\r\ninstance-id: {self.id}\r\n"
          "content-length: 0\r\n\r\n".encode()
      )
      return await writer.drain()
    if headers.get("expect-instance") != self.id:
      self._record.write(f"server {self.id}: 421 for request {id_}")
      writer.write(
          f"HTTP/1.1 421 X\r\nrequest-id: {id_}\r\nnot-executed: 1\r\n"
          "content-length: 0\r\n\r\n".encode()
      )
      return await writer.drain()
    self._record.write(f"server {self.id}: runs request {id_}, {line}")
    run = self.runs.setdefault(id_, [])
    run.append([self._record.now(), None, headers, body])
    named = (
        f"request-id: {id_}\r\nresponse-signature: sig.{self.id}.{id_}\r\n"
        f"server-load: 1,0,64\r\nkeep-alive: timeout={self.keep_alive_s}\r\n"
    )
    if self.events:
      await self._stream(headers, writer, named)
    else:
      await asyncio.sleep(self.work_s)
      text = b"x" * 800
      writer.write(
          f"HTTP/1.1 200 OK\r\n{named}content-length: {len(text)}"
          "\r\n\r\n".encode() + text
      )
      await writer.drain()
    run[-1][1] = self._record.now()
    self._record.write(f"server {self.id}: answered request {id_}")

  async def _stream(self, headers, writer, named):
    await asyncio.sleep(self.work_s)
    writer.write(
        f"HTTP/1.1 200 OK\r\n{named}content-type: text/event-stream\r\n"
        "transfer-encoding: chunked\r\n\r\n".encode()
    )
    first = int(headers.get("last-event-id", 0)) + 1
    for number in range(first, self.events + 1):
      data = f"id: {number}\ndata: {number}\n\n".encode()
      writer.write(b"%x\r\n%b\r\n" % (len(data), data))
      await writer.drain()
      await asyncio.sleep(self.event_s)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


@dataclasses.dataclass
class Answer:
  """What a client got for one request."""

  status: int | None = None
  """None: the connection ended before a head."""
  headers: dict = dataclasses.field(default_factory=dict)
  body: bytes = b""
  is_complete: bool = False
  sent_at: float = 0.0
  """When its last byte was sent, seconds of the record."""
  ended_at: float = 0.0


class Client:
  """A client's connection, which it keeps for further requests."""

  def __init__(self, record, name):
    self._record = record
    self._name = name
    self._reader = self._writer = None

  @property
  def is_open(self):
    """Whether the connection may be used again."""
    return self._writer is not None and not self._reader.at_eof()

  async def open(self, address):
    """Opens the connection."""
    host, port = address.split(":")
    self._reader, self._writer = await asyncio.open_connection(host, int(port))

  def close(self):
    """Closes the connection."""
    if self._writer is not None:
      self._writer.close()
    self._writer = self._reader = None

  async def request(self, method, path, id_, body=b"", pause_s=0.0, **more):
    """Sends a request and returns its answer.

    Args:
      method: the method.
      path: the path.
      id_: the request's id.
      body: the body.
      pause_s: how long the sending of the body takes.
      **more: further headers, with `_` for `-`.
    """
    headers = {
        "host": HOST,
        "request-id": id_,
        "credential": KEY,
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    if body or method == "POST":
      headers["content-length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in headers.items()
    )
    answer = Answer()
    try:
      self._writer.write(head.encode() + b"\r\n")
      pieces = 10 if pause_s else 1
      size = -(-len(body) // pieces) or 1
      for at in range(0, len(body), size):
        self._writer.write(body[at : at + size])
        await self._writer.drain()
        if at + size < len(body):
          await asyncio.sleep(pause_s / (pieces - 1))
      answer.sent_at = answer.ended_at = self._record.now()
      self._record.write(f"client {self._name}: sent request {id_} whole")
      await self._receive(answer)
    except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
      pass
    answer.ended_at = self._record.now()
    what = f"{answer.status}" if answer.status else "connection ended"
    if answer.status and not answer.is_complete:
      what += ", then the connection ended early"
    self._record.write(f"client {self._name}: request {id_}: {what}")
    if not answer.is_complete or answer.headers.get("connection") == "close":
      self.close()
    return answer

  async def _receive(self, answer):
    head = await read_head(self._reader)
    if head is None:
      return
    answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
    answer.body = await read_body(self._reader, head[1])
    answer.is_complete = True


class Router:
  """One router: its settings and its process."""

  def __init__(self, record, folder, store, name, ip, zone="zone-a", **more):
    self._record = record
    self.name = name
    self.ip = ip
    first = free_ports(ip, 16)
    self.front = f"{ip}:{free_port(ip)}"
    self.ready = f"{ip}:{free_port(ip)}"
    control = f"{ip}:{free_port(ip)}"
    self._settings = {
        "node": name,
        "role": "router",
        "class": "front",
        "serves": ["front", "control"],
        "ip": ip,
        "zone": zone,
        "region": "region",
        "zones": {"zone-a": "region", "zone-b": "region", "zone-c": "region"},
        "listen": {
            "front": self.front,
            "ready": self.ready,
            "control": control,
        },
        "port_range": [first, first + 15],
        "seeds": [control],
        "bootstrap": True,
        "loss_counts": False,
        "limits": {
            "cpu_share": 0.537,
            "cores": 2,
            "memory_mb": 150,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "data_dir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat_ms": 1200,
        "contracts": [
            "base",
            "drain",
            "config",
            "cost",
            "retry",
            "recover",
            "engine",
            "stream",
            "tenants",
            "platform",
        ],
        "tolerate": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": {
            "seed_lag_s": 3,
            "reuse_after_s": 2,
            "contact_ms": 3000,
            "ack_ms": 4000,
            "catch_up_s": 4,
            "drain_ms": 2000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_ms": 2000,
            "rollback_slack_ms": 250,
            "stretch_ms": 5000,
            "strict_revoke": False,
            "revoke_ms": 5000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 58,
            "recovery_s": 12,
            "pass_ms": 120,
            "reuse_window_s": 9.2,
            "settle_ms": 1500,
        },
        "platform": {
            "address": store.address,
            "form": "kv",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "value_bytes": 1048576,
            "min_ttl_ms": 1000,
        },
        **more,
    }
    self._path = folder / f"{name}.json"
    self._log_path = folder / f"{name}.log"
    self.process = None

  def start(self):
    """Starts the process with the command of the deploy file."""
    self._path.write_text(json.dumps(self._settings), encoding="utf-8")
    deploy = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)[1].split(" ")
    env = {
        k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
    }
    env["MUSTARDFALL_SETTINGS"] = str(self._path)
    env["PYTHONPATH"] = str(ROOT / "target/deps")
    with open(self._log_path, "ab") as log:
      self.process = subprocess.Popen(
          command, cwd=ROOT, env=env, stdout=log, stderr=log
      )
    self._record.write(f"router {self.name}: started")
    self._settings["bootstrap"] = False

  def signal(self, number):
    """Sends a signal to the process."""
    self._record.write(f"router {self.name}: {signal.Signals(number).name}")
    self.process.send_signal(number)

  async def wait_exit(self, timeout_s):
    """Waits until the process has ended; returns whether it has."""
    until = time.monotonic() + timeout_s
    while self.process.poll() is None and time.monotonic() < until:
      await asyncio.sleep(0.005)
    has_ended = self.process.poll() is not None
    if has_ended:
      code = self.process.returncode
      self._record.write(f"router {self.name}: ended with {code}")
    return has_ended

  async def is_ready(self):
    """Asks the router as the platform does."""
    host, port = self.ready.split(":")
    try:
      reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
      return False
    try:
      writer.write(b"GET /-/ready HTTP/1.1\r\nhost: x\r\n\r\n")
      head = await asyncio.wait_for(read_head(reader), 1.0)
      return head is not None and " 200 " in head[0] + " "
    except (ConnectionError, OSError, TimeoutError):
      return False
    finally:
      writer.close()

  async def wait_ready(self, timeout_s=20.0):
    """Waits until the router says that it is ready."""
    until = time.monotonic() + timeout_s
    while not await self.is_ready():
      if time.monotonic() > until:
        raise RuntimeError(f"router {self.name} not ready")
      await asyncio.sleep(0.05)
    self._record.write(f"router {self.name}: ready")

  def kill(self):
    """Ends the process at once."""
    if self.process is not None and self.process.poll() is None:
      self.process.send_signal(signal.SIGCONT)
      self.process.kill()
      self.process.wait()


def route(name, prefix, kind, **more):
  """Returns a route of the operator's configuration."""
  return {
      "name": name,
      "host": HOST,
      "prefix": prefix,
      "kind": kind,
      "timeout_ms": 1500,
      "slo_ms": 400,
      "priority": 1,
      "service": SERVICE,
      "max_attempts": 2,
      "public": False,
      **more,
  }


def configuration(version, routes, prepaid=None, **more):
  """Returns the operator's configuration."""
  tenant = {"name": "acme", "api_keys": [KEY]}
  if prepaid is not None:
    tenant["prepaid"] = prepaid
  return {
      "version": version,
      "routes": routes,
      "services": [
          {"name": SERVICE, "max_conns": 370, "health_path": "/health"}
      ],
      "limits": {
          "max_header_bytes": 16384,
          "max_body_bytes": 4194304,
          "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000,
      },
      "tenants": [tenant],
      **more,
  }


def run(case, record_path):
  """Runs `await case(record, folder, routers)` and exits with its outcome.

  The case returns whether the rule held. Exits with 0 if it held, 1 if it was
  broken, 2 if the case could not run.
  """
  record = Record(record_path)
  folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
  routers = []

  def end(outcome, status):
    for router in routers:
      router.kill()
    if os.environ.get("KEEP_LOGS"):
      print(folder)
    else:
      shutil.rmtree(folder, ignore_errors=True)
    record.write(f"outcome: {outcome}")
    print(outcome, flush=True)
    # Open connections and their tasks end with the process.
    os._exit(status)

  async def timed():
    try:
      held = await asyncio.wait_for(case(record, folder, routers), _MAX_S)
    except Exception as exc:  # noqa: BLE001  the case could not run
      record.write(f"the case could not run: {exc!r}")
      end("not run", 2)
    end(*(("held", 0) if held else ("broken", 1)))

  asyncio.run(timed())
