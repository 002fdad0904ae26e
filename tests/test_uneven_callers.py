"""Teams whose few callers are all mapped to one router with a small host.

Routers are processes of their own. One of them gets only a part of a processor,
as a host whose processor share is a quota: it is stopped for a part of each tenth
of a second. A load balancer sends all connections of a team there. What is
refused comes back to the same router.
"""

import collections
import contextlib
import pathlib
import signal
import tempfile

import anyio
import testtools

from mustardfall.bench import fleet
from mustardfall.emulator import server as server_lib
from mustardfall.emulator import store as store_lib
from mustardfall.util import clock as clock_lib
from tests import platformcase
from tests import processcase

_ROUTERS = 4
_PERIOD_S = 0.1
_PROCESSOR_SHARE = 0.08
"""Part of a processor that the small host has."""
_SECONDS = 8.0
_LEAST_RATIO = 0.25
"""Least that a team is served, relative to all requests."""
_DEADLINE_S = 2.0
_TOKENS = "300,10"


class _Fleet:
  """The emulated platform and router processes on addresses of their own."""

  def __init__(self, folder: pathlib.Path, store_port: int) -> None:
    port_range = [fleet.free_port(), fleet.free_port()]
    self.routers = []
    for number in range(_ROUTERS):
      host = f"127.0.0.{number + 2}"
      place = folder / f"router-{number}"
      place.mkdir()
      router = processcase.Router(place, store_port)
      router.settings |= {
          "node": f"front-{number}",
          "ip": host,
          "port_range": port_range[:1],
          "listen": {
              role: f"{host}:{fleet.free_port()}"
              for role in ("front", "ready", "control")
          },
      }
      self.routers.append(router)

  async def start(self) -> None:
    """Starts the processes; returns when all are ready and know each other."""
    for router in self.routers:
      router.start()
    for router in self.routers:
      await router.wait_until_ready()
    await anyio.sleep(2.0)

  async def throttle(self, router: processcase.Router) -> None:
    """Lets a process run for a part of each period until cancelled."""
    try:
      while True:
        router.signal(signal.SIGSTOP)
        await anyio.sleep(_PERIOD_S * (1 - _PROCESSOR_SHARE))
        router.signal(signal.SIGCONT)
        await anyio.sleep(_PERIOD_S * _PROCESSOR_SHARE)
    finally:
      router.signal(signal.SIGCONT)


class _Team:
  """The callers of a team, all of whose connections go to some routers."""

  def __init__(self, name: str, routers: list[processcase.Router]) -> None:
    self._name = name
    self._routers = routers
    self.asked = 0
    self.served = 0
    self.statuses: list[int] = []

  @property
  def served_share(self) -> float:
    """Part of the requests that were served within their deadline."""
    return self.served / self.asked

  async def run(self, per_s: float, path: str) -> None:
    """Sends requests at a steady rate for some time."""
    async with anyio.create_task_group() as tasks:
      for number in range(int(per_s * _SECONDS)):
        router = self._routers[number % len(self._routers)]
        tasks.start_soon(self._ask, router, f"{self._name}-{number}", path)
        await anyio.sleep(1 / per_s)

  async def _ask(self, router, id_: str, path: str) -> None:
    """Sends a request, and once more if it is refused."""
    self.asked += 1
    ends_at = anyio.current_time() + _DEADLINE_S
    with anyio.move_on_at(ends_at):
      for attempt in range(2):
        response = await self._attempt(router, f"{id_}-{attempt}", path)
        self.statuses.append(response.status)
        if response.status == 200 and response.is_complete:
          self.served += 1
        if response.status not in (429, 503):
          return
        await anyio.sleep(float(response.headers.get("retry-after", 0.5)))
      return
    self.statuses.append(0)

  async def _attempt(self, router, id_: str, path: str):
    host, _, port = router.settings["listen"]["front"].rpartition(":")
    try:
      async with await anyio.connect_tcp(host, int(port)) as stream:
        caller = platformcase.Caller(stream)
        await caller.send(
            path,
            id_,
            b"x" * 2_000,
            credential=f"key-of-{self._name}",
            token_usage=_TOKENS,
            model="m",
            deadline_ms=str(int(_DEADLINE_S * 1000)),
        )
        return await caller.receive()
    except OSError:
      return platformcase.Response(0, {}, b"", False)


@contextlib.asynccontextmanager
async def _running(servers: int = 6):
  """Runs the platform and the routers; yields the `_Fleet`."""
  store = store_lib.Store(clock_lib.SystemClock())
  store_port = fleet.free_port()
  teams = ("acme", "other")
  configuration = platformcase.configuration(prepaid=10**9, teams=teams)
  store.put("op/config", configuration)
  with tempfile.TemporaryDirectory() as folder:
    async with anyio.create_task_group() as tasks:
      await tasks.start(store.serve, store_port)
      for number in range(servers):
        server = server_lib.Server(f"i-{number}")
        server.behaviour.events = 6
        server.behaviour.event_interval_s = 0.01
        port = fleet.free_port()
        await tasks.start(server.serve, port)
        entry = server_lib.make_registration(f"127.0.0.1:{port}")
        store.put(f"servers/i-{number}", entry)
      routers = _Fleet(pathlib.Path(folder), store_port)
      try:
        await routers.start()
        yield routers
      finally:
        for router in routers.routers:
          await router.stop()
        tasks.cancel_scope.cancel()


class UnevenCallersTest(testtools.TestCase):

  def test_team_on_one_small_host_is_served(self):
    """Guards against a team that is hardly served as its host is saturated."""

    async def go():
      with anyio.fail_after(90):
        async with _running() as found:
          small, *others = found.routers
          starved, other = _Team("acme", [small]), _Team("other", others)
          async with anyio.create_task_group() as tasks:
            tasks.start_soon(found.throttle, small)
            async with anyio.create_task_group() as callers:
              callers.start_soon(starved.run, 60.0, "/text/a")
              callers.start_soon(other.run, 120.0, "/text/a")
            tasks.cancel_scope.cancel()
          self._check(starved, other)

    anyio.run(go)

  def _check(self, starved: _Team, other: _Team) -> None:
    asked = starved.asked + other.asked
    least = _LEAST_RATIO * (starved.served + other.served) / asked
    answers = collections.Counter(starved.statuses)
    found = (starved.served_share, other.served_share, answers)
    self.assertTrue(starved.served_share >= least, found)
    self.assertTrue(other.served_share > 0.9, found)
