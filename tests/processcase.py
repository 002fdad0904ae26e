"""A test fixture: the emulated platform and a router in a separate process.

It is for faults that could end the router's process. The test sees only what
callers, the load balancer and an on-call engineer see.
"""

import contextlib
import json
import os
import pathlib
import resource
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import anyio
import yaml

from mustardfall.bench import fleet
from mustardfall.emulator import server as server_lib
from mustardfall.emulator import store as store_lib
from mustardfall.util import clock as clock_lib
from tests import platformcase

_ROOT = pathlib.Path(__file__).parent.parent
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0


class Router:
  """A router in a process of its own."""

  def __init__(self, folder: pathlib.Path, store_port: int) -> None:
    self.settings_path = folder / "local.json"
    self.router_settings_path = folder / "router.yaml"
    self.log_path = folder / "log"
    self.settings = _settings(store_port)
    self.router_settings: dict[str, Any] = {
        **platformcase.ROUTER_SETTINGS,
        "proxy": {},
    }
    self.max_files: int | None = None
    """If set, the process's limit on open file descriptors."""
    self._popen: subprocess.Popen | None = None

  @property
  def port(self) -> int:
    """The port for callers."""
    return int(self.settings["listen"]["front"].rpartition(":")[2])

  @property
  def pid(self) -> int:
    """The process's id."""
    return self._popen.pid

  def write_settings(self, settings: Any) -> None:
    """Writes the platform's settings file."""
    self.settings_path.write_text(json.dumps(settings))

  def start(self) -> None:
    """Starts the process without waiting until it is ready."""
    if not self.settings_path.exists():
      self.write_settings(self.settings)
    self.router_settings_path.write_text(yaml.safe_dump(self.router_settings))
    command = [sys.executable, "-m", "mustardfall.platform"]
    command += ["--settings", str(self.settings_path)]
    command += ["--own", str(self.router_settings_path)]
    with open(self.log_path, "ab") as log:
      self._popen = subprocess.Popen(command, cwd=_ROOT, stdout=log, stderr=log)
    if self.max_files is not None:
      limits = (self.max_files, self.max_files)
      resource.prlimit(self.pid, resource.RLIMIT_NOFILE, limits)

  def signal(self, number: int) -> None:
    """Sends the process a signal."""
    os.kill(self.pid, number)

  def ignores(self, number: int) -> bool:
    """Whether the process ignores a signal."""
    status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
    mask = next(x for x in status.splitlines() if x.startswith("SigIgn:"))
    return bool(int(mask.split()[1], 16) >> (number - 1) & 1)

  @property
  def is_running(self) -> bool:
    """Whether the process has been started and has not ended."""
    return self._popen is not None and self._popen.poll() is None

  @property
  def log(self) -> str:
    """The process's log so far."""
    return self.log_path.read_text(errors="replace")

  @property
  def memory_mb(self) -> float:
    """The process's resident memory, in MB."""
    pages = int(pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6

  async def wait_until_ready(self, timeout_s: float = _START_TIMEOUT_S) -> None:
    """Waits until the router's readiness check succeeds."""
    host, _, port = self.settings["listen"]["ready"].rpartition(":")
    deadline = time.monotonic() + timeout_s
    while not await _responds_ok(host, int(port)):
      if not self.is_running or time.monotonic() > deadline:
        raise AssertionError(f"not ready:\n{self.log[-4000:]}")
      await anyio.sleep(0.05)

  async def wait_until_logged(self, text: str, timeout_s: float = 10.0) -> None:
    """Waits until the log contains `text`."""
    deadline = time.monotonic() + timeout_s
    while text not in self.log:
      if time.monotonic() > deadline:
        raise AssertionError(f"no {text!r} in:\n{self.log[-4000:]}")
      await anyio.sleep(0.05)

  async def stop(self) -> int:
    """Stops the process; returns its exit code."""
    if self._popen is None:
      return 0
    if self.is_running:
      self.signal(signal.SIGTERM)
    with anyio.CancelScope(shield=True):
      try:
        return await anyio.to_thread.run_sync(self._popen.wait, _STOP_TIMEOUT_S)
      except subprocess.TimeoutExpired:
        self._popen.kill()
        return await anyio.to_thread.run_sync(self._popen.wait)


async def _responds_ok(host: str, port: int) -> bool:
  try:
    with anyio.fail_after(1.0):
      async with await anyio.connect_tcp(host, port) as stream:
        await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        return b" 200 " in await stream.receive()
  except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
    return False


def _settings(store_port: int) -> dict[str, Any]:
  """Returns a complete settings file of the platform for a host."""
  listen = {
      role: f"127.0.0.1:{fleet.free_port()}"
      for role in ("front", "ready", "control")
  }
  return {
      "node": "front-1",
      "role": "router",
      "ip": "127.0.0.1",
      "zone": "dc",
      "region": "region",
      "listen": listen,
      "port_range": [fleet.free_port(), 32_000],
      "bootstrap": True,
      "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
      "bounds": {"retry_ratio": 0.2, "retry_slack": 58, "grace_s": 3},
      "platform": {"address": f"127.0.0.1:{store_port}"},
  }


class Environment:
  """The emulated store, one server and one router process."""

  def __init__(
      self,
      router: Router,
      store: store_lib.Store,
      server: server_lib.Server,
  ) -> None:
    self.router = router
    self.store = store
    self.server = server

  @contextlib.asynccontextmanager
  async def caller(self):
    """Yields a new connection of a caller."""
    where = ("127.0.0.1", self.router.port)
    async with await anyio.connect_tcp(*where) as stream:
      yield platformcase.Caller(stream)

  async def call(
      self, path: str, id_: str, body: bytes = b"", **more: str
  ) -> platformcase.Response:
    """Makes one request on a new connection."""
    async with self.caller() as caller:
      await caller.send(path, id_, body, **more)
      return await caller.receive()


@contextlib.asynccontextmanager
async def running(**limits: int):
  """Runs the platform; yields an `Environment` whose router is not started yet.

  Args:
    **limits: `limits` of the operator's configuration to override.
  """
  store = store_lib.Store(clock_lib.SystemClock())
  store_port = fleet.free_port()
  document = platformcase.configuration()
  for route in document["routes"]:
    # Many concurrent requests are slow on a busy machine.
    route["timeout_ms"] = 20_000
  document["limits"] |= limits
  store.put("op/config", document)
  server = server_lib.Server("i-1")
  server_port = fleet.free_port()
  store.put(
      "servers/i-1", server_lib.make_registration(f"127.0.0.1:{server_port}")
  )
  with tempfile.TemporaryDirectory() as folder:
    router = Router(pathlib.Path(folder), store_port)
    async with anyio.create_task_group() as tg:
      await tg.start(store.serve, store_port)
      await tg.start(server.serve, server_port)
      try:
        yield Environment(router, store, server)
      finally:
        await router.stop()
        tg.cancel_scope.cancel()


def in_environment(**limits: int):
  """Runs a test method inside `running(**limits)`."""

  def decorate(test):
    def run(self):
      async def go():
        with anyio.fail_after(120):
          async with running(**limits) as env:
            await test(self, env)

      anyio.run(go)

    run.__name__ = test.__name__
    return run

  return decorate


class RouterPair:
  """Two routers in processes of their own, before the emulated platform."""

  def __init__(self, tasks) -> None:
    self.store = store_lib.Store(clock_lib.SystemClock())
    self.routers: list[Router] = []
    self.servers: dict[str, server_lib.Server] = {}
    """By their ids."""
    self._tasks = tasks

  async def start(self, folder: pathlib.Path) -> None:
    """Starts the platform and the routers."""
    store_port = fleet.free_port()
    self.store.put("op/config", platformcase.configuration(prepaid=10**9))
    await self._tasks.start(self.store.serve, store_port)
    self.add_server("i-1", "v1")
    port_range = [fleet.free_port()]
    for number in range(2):
      place = folder / f"router-{number}"
      place.mkdir()
      router = Router(place, store_port)
      host = f"127.0.0.{number + 2}"
      ports = {
          role: f"{host}:{fleet.free_port()}"
          for role in ("front", "ready", "control")
      }
      router.settings |= {
          "node": f"front-{number}",
          "ip": host,
          "port_range": port_range,
          "listen": ports,
      }
      router.start()
      self.routers.append(router)
    for router in self.routers:
      await router.wait_until_ready()

  def add_server(self, id_: str, version: str) -> server_lib.Server:
    """Starts and lists a server."""
    server = server_lib.Server(id_, version)
    self.servers[id_] = server
    port = fleet.free_port()
    self._tasks.start_soon(server.serve, port)
    self.list_server(id_, port, version)
    return server

  def list_server(
      self, id_: str, port: int, version: str, state: str = "ready"
  ) -> None:
    """Writes a server's entry."""
    entry = server_lib.make_registration(
        f"127.0.0.1:{port}", state=state, version=version
    )
    self.store.put(f"servers/{id_}", entry)

  async def call(
      self, path: str, id_: str, router: Router, **more: str
  ) -> platformcase.Response:
    """Makes one request on a new connection."""
    host, _, port = router.settings["listen"]["front"].rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
      caller = platformcase.Caller(stream)
      await caller.send(path, id_, **more)
      return await caller.receive()


@contextlib.asynccontextmanager
async def running_pair():
  """Runs the platform and two routers; yields a `RouterPair`."""
  with tempfile.TemporaryDirectory() as folder:
    async with anyio.create_task_group() as tasks:
      pair = RouterPair(tasks)
      try:
        await pair.start(pathlib.Path(folder))
        yield pair
      finally:
        for router in pair.routers:
          router.signal(signal.SIGCONT)
          await router.stop()
        tasks.cancel_scope.cancel()
