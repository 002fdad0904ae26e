"""Stand-ins for the platform, its servers and its clients, shared by the cases.

The store is the project's emulated one. Servers and clients are small asyncio
programs that follow PROTOCOL.md. Everything listens on loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from mustardfall.emulator import store as store_lib  # noqa: E402

HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
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
}
"""The bounds of rtv-lier, as DEPLOY.md shows them."""


class Record:
  """Writes what happens to `record.txt`, with the seconds since the start."""

  def __init__(self, folder: str) -> None:
    self._file = (pathlib.Path(folder) / "record.txt").open("w")
    self._began_at = time.monotonic()

  def now(self) -> float:
    """Returns the seconds since the start."""
    return time.monotonic() - self._began_at

  def write(self, text: str) -> None:
    """Appends a line."""
    print(f"{self.now():8.3f}  {text}", file=self._file, flush=True)


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
  """Returns free TCP ports."""
  with contextlib.ExitStack() as stack:
    found = []
    for _ in range(count):
      sock = stack.enter_context(socket.socket())
      sock.bind((host, 0))
      found.append(sock.getsockname()[1])
    return found


def router_settings(
    number: int, store_address: str, host: str, **fields: Any
) -> dict[str, Any]:
  """Returns a settings file like the one in DEPLOY.md."""
  front, ready, control, first = free_ports(4, host)
  return {
      "node": f"front-lier-a-{number}",
      "role": "router",
      "class": "front",
      "serves": ["front", "control"],
      "ip": host,
      "zone": "lier-a",
      "region": "be-antwerpen",
      "zones": {"lier-a": "be-antwerpen"},
      "listen": {
          "front": f"{host}:{front}",
          "ready": f"{host}:{ready}",
          "control": f"{host}:{control}",
      },
      "port_range": [first, first],
      "seeds": [f"{host}:{control}"],
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
      "tolerate": {"machines": 1, "zones": 0, "regions": 0},
      "bounds": BOUNDS,
      "platform": {
          "address": store_address,
          "form": "kv",
          "writes_per_s": 400,
          "reads_per_s": 2000,
          "history_s": 20,
          "value_bytes": 1048576,
          "min_ttl_ms": 1000,
      },
      **fields,
  }


class Router:
  """A router that runs as a process of its own, as the deploy file starts it."""

  def __init__(self, folder: str, settings: dict[str, Any]) -> None:
    self.settings = settings
    self._path = pathlib.Path(folder) / f"{settings['node']}.json"
    self.write_settings()
    self._log = pathlib.Path(folder) / f"{settings['node']}.log"
    self.process: subprocess.Popen | None = None

  def write_settings(self) -> None:
    """Writes the settings file."""
    self._path.write_text(json.dumps(self.settings))

  def start(self) -> None:
    """Starts the process."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    environment = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    environment["MUSTARDFALL_SETTINGS"] = str(self._path)
    environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    with self._log.open("ab") as log:
      self.process = subprocess.Popen(
          deploy["roles"]["router"]["run"].split(),
          cwd=ROOT,
          env=environment,
          stdin=subprocess.DEVNULL,
          stdout=log,
          stderr=log,
      )

  def address(self, name: str) -> tuple[str, int]:
    """Returns one of the addresses in `listen`."""
    host, _, port = self.settings["listen"][name].rpartition(":")
    return host, int(port)

  async def is_ready(self) -> bool:
    """Asks once, as the platform does every second."""
    try:
      reader, writer = await asyncio.open_connection(*self.address("ready"))
      writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
      answer = await asyncio.wait_for(reader.read(100), 1)
      writer.close()
    except (OSError, TimeoutError):
      return False
    return b" 200 " in answer

  async def wait_until_ready(self, timeout_s: float = 25) -> bool:
    """Waits until it is ready; returns whether it became ready."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until and self.process.poll() is None:
      if await self.is_ready():
        return True
      await asyncio.sleep(0.1)
    return False

  def signal(self, number: signal.Signals) -> None:
    """Sends the process a signal."""
    self.process.send_signal(number)

  def end(self) -> None:
    """Ends the process if it still runs."""
    if self.process is not None and self.process.poll() is None:
      self.process.kill()
    if self.process is not None:
      self.process.wait()


def server_entry(service: str, address: str, slots: int) -> dict[str, Any]:
  """Returns a server's entry in the list of servers."""
  return {
      "service": service,
      "address": address,
      "zone": "lier-a",
      "version": "v1",
      "slots": slots,
      "state": "ready",
      "cold_left_ms": 0,
      "seq": 1,
  }


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
  """Returns the first line and the headers of a message."""
  raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
  first, *lines = raw.split("\r\n")
  pairs = (line.split(":", 1) for line in lines if line)
  return first, {name.lower(): value.strip() for name, value in pairs}


def encode_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> bytes:
  """Returns a client's request."""
  named = {
      "Host": HOST,
      "Request-Id": request_id,
      "Deadline-Ms": str(deadline_ms),
      "Credential": KEY,
      **(headers or {}),
  }
  if body or method == "POST":
    named["Content-Length"] = str(len(body))
  lines = [f"{method} {path} HTTP/1.1"]
  lines += [f"{name}: {value}" for name, value in named.items()]
  return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Platform:
  """The store, with the operator's and the servers' entries."""

  def __init__(self) -> None:
    self.store = store_lib.Store()
    self.port = free_ports(1)[0]

  @property
  def address(self) -> str:
    """The address for the routers' settings."""
    return f"127.0.0.1:{self.port}"

  def start(self, tasks: asyncio.TaskGroup) -> asyncio.Task:
    """Serves until the task is cancelled."""
    return tasks.create_task(self.store.serve(self.port))


def run(folder: str, case) -> int:
  """Runs a case; returns the exit code of its script.

  Args:
    folder: the folder of the case, for `record.txt`.
    case: a coroutine function that takes the record, the platform, a temporary
      folder and a list of routers to be ended, and returns the exit code.
  """

  async def main() -> int:
    record = Record(folder)
    record.write(f"trouble: {'yes' if TROUBLE else 'no'}")
    routers: list[Router] = []
    platform = Platform()
    with tempfile.TemporaryDirectory() as temporary:
      try:
        async with asyncio.TaskGroup() as tasks:
          served = platform.start(tasks)
          code = await case(record, platform, temporary, routers)
          served.cancel()
          return code
      finally:
        for router in routers:
          router.end()

  try:
    code = asyncio.run(asyncio.wait_for(main(), 110))
  except Exception as exc:  # noqa: BLE001  the case could not run
    print(f"could not run: {exc!r}", file=sys.stderr)
    return NOT_RUN
  return code
