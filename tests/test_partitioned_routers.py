"""Routers that are cut off from all endpoints and not from each other.

Three routers before the emulated platform, with datagrams between them. Callers
and the store still reach the routers that are cut off.
"""

import collections

import anyio
import testtools

from mustardfall.emulator import network
from tests import platformcase
from tests import test_gateway

_ROUTERS = 3
_SERVERS = tuple(f"i-{n}" for n in range(4))
_DETECTION_S = 3.0
"""Time from the begin of a cut in which requests may fail."""
_MEASURED_S = 2.0
_CALLS_PER_S = 8.0
"""Requests a second of the callers of each router."""
_MIN_RATIO = 0.95
"""Least that callers of cut routers are served, relative to the others."""


class Callers:
  """Callers that send requests at a steady rate to each router."""

  def __init__(self, env: platformcase.Environment, routers: list) -> None:
    self._env = env
    self._routers = routers
    self.statuses: dict[str, list[int]] = collections.defaultdict(list)
    """By the router's name."""

  async def run(self, seconds: float, path: str = "/look/a") -> None:
    """Sends requests for some time and waits for the responses."""
    self.statuses.clear()
    async with anyio.create_task_group() as tg:
      for number in range(int(seconds * _CALLS_PER_S)):
        for router in self._routers:
          id_ = f"{router.config.name}-{number}-{anyio.current_time()}"
          tg.start_soon(self._call, path, id_, router)
        await anyio.sleep(1 / _CALLS_PER_S)

  async def _call(self, path: str, id_: str, router) -> None:
    response = await self._env.call(path, id_, router)
    self.statuses[router.config.name].append(response.status)

  def served(self, routers: list) -> float:
    """Returns the share of requests that some routers have served."""
    statuses = [s for r in routers for s in self.statuses[r.config.name]]
    return statuses.count(200) / len(statuses)


class PartitionedRouterTest(testtools.TestCase):

  async def _check_cut(self, env, way, cut_count, path):
    """Cuts routers off, and checks that their callers are served."""
    routers = await env.add_routers(_ROUTERS)
    cut, others = routers[:cut_count], routers[cut_count:]
    callers = Callers(env, routers)
    await callers.run(1.0, path)
    for router in cut:
      env.network.cut(router.config.name, way)
    await callers.run(_DETECTION_S, path)
    await callers.run(_MEASURED_S, path)
    self.assertEqual(1.0, callers.served(others))
    served = callers.served(cut)
    self.assertTrue(served >= _MIN_RATIO, (served, dict(callers.statuses)))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_callers_of_a_silent_router_are_served(self, env):
    """Guards against 503 from a router whose connections to endpoints hang."""
    await self._check_cut(env, network.Cut.HANG, 1, "/look/a")

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_callers_of_a_reset_router_are_served(self, env):
    """Guards against 503 from a router whose connections are reset."""
    await self._check_cut(env, network.Cut.RESET, 1, "/book/a")

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_callers_of_a_refused_router_are_served(self, env):
    """Guards against 503 where only new connections are refused."""
    for server in env.servers.values():
      server.behaviour.close_delimited = True  # no connection is kept
    await self._check_cut(env, network.Cut.LIVE, 1, "/look/a")

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_one_router_serves_the_callers_of_all(self, env):
    """Guards against routers that ask only others which are cut off, too."""
    await self._check_cut(env, network.Cut.RESET, _ROUTERS - 1, "/look/a")
