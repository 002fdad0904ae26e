"""Routers that are cut off from all endpoints and not from each other.

Three routers before the emulated platform, with datagrams between them. Callers
and the store still reach the routers that are cut off.
"""

import time

import anyio
import testtools

from mustardfall import errors
from mustardfall.emulator import network
from mustardfall.proxy import tunnels
from tests import platformcase
from tests import test_gateway

_ROUTERS = 3
_SERVERS = tuple(f"i-{n}" for n in range(4))
_DETECTION_S = 3.0
"""Time from the begin of a cut in which requests may fail."""
_MEASURED_S = 2.0
_CALLS_PER_S = 8.0
"""Requests a second of the callers of each router."""
_WAY_BACK_S = 2.0
"""Time from the end of a cut in which direct connections are used again."""
_MIN_RATIO = 0.95
"""Least that callers of cut routers are served, relative to the others."""


async def _fail_to_connect(router, row) -> None:
  network.current_host.set(router.config.name)
  try:
    await router.paths.acquire_directly(row)
  except errors.EndpointUnreachableError:
    return
  raise AssertionError("connected over a cut link")


class PartitionedRouterTest(testtools.TestCase):

  async def _check_cut(self, env, way, cut_count, path):
    """Cuts routers off, and checks that their callers are served."""
    routers = await env.add_routers(_ROUTERS)
    cut, others = routers[:cut_count], routers[cut_count:]
    callers = platformcase.Callers(env, routers, _CALLS_PER_S)
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

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_requests_are_refused_at_once_if_all_are_cut(self, env):
    """Guards against callers that wait for connections which nobody can open."""
    routers = await env.add_routers(_ROUTERS)
    callers = platformcase.Callers(env, routers, _CALLS_PER_S)
    for router in (*routers, env.gateway):
      env.network.cut(router.config.name, network.Cut.HANG)
    await callers.run(_DETECTION_S)
    began_at = anyio.current_time()
    response = await env.call("/look/a", "late", routers[0])
    self.assertEqual(503, response.status)
    self.assertTrue(0 < float(response.headers["retry-after"]) < 1)
    self.assertTrue(anyio.current_time() - began_at < 0.3)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_direct_connections_are_used_again(self, env):
    """Guards against a router that uses others long after the cut has ended."""
    routers = await env.add_routers(_ROUTERS)
    callers = platformcase.Callers(env, routers, _CALLS_PER_S)
    env.network.cut("router-2", network.Cut.HANG)
    await callers.run(_DETECTION_S)
    self.assertEqual(["pool"], routers[0].reach.cut_kinds)
    env.network.heal("router-2")
    await callers.run(_WAY_BACK_S)
    self.assertEqual(1.0, callers.served(routers))
    rows = routers[0].directory.endpoints.rows.values()
    self.assertFalse(any(routers[0].reach.is_detoured(row) for row in rows))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_paused_router_is_not_cut_off(self, env):
    """Guards against a detour because the router itself stood still."""
    router, *_ = await env.add_routers(_ROUTERS)
    rows = list(router.directory.endpoints.rows.values())
    env.network.cut("router-2", network.Cut.HANG)
    async with anyio.create_task_group() as tg:
      for row in rows:
        tg.start_soon(_fail_to_connect, router, row)
      await anyio.sleep(0.05)
      time.sleep(1.0)
    self.assertEqual(0, router.reach.describe("pool")["unreached"])
    self.assertEqual([], router.reach.cut_kinds)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_silent_endpoint_does_not_cut_the_router_off(self, env):
    """Guards against a detour because an endpoint is silent for a second."""
    (router, *_), second = await env.add_routers(_ROUTERS), 1.0
    for server in env.servers.values():
      server.behaviour.response_delay_s = second
    async with anyio.create_task_group() as tg:
      for number in range(6):
        tg.start_soon(env.call, "/look/a", f"r{number}", router)
    self.assertEqual([], router.reach.cut_kinds)


class TunnelledRequestTest(testtools.TestCase):
  """What holds for a direct attempt holds through another router."""

  async def _cut(self, env, way=network.Cut.RESET):
    """Cuts a router off until it has noticed; returns it."""
    routers = await env.add_routers(_ROUTERS)
    env.network.cut("router-2", way)
    async with anyio.create_task_group() as tg:
      for number in range(8):
        tg.start_soon(env.call, "/look/a", f"warm{number}", routers[0])
    self.assertEqual(["pool"], routers[0].reach.cut_kinds)
    for server in env.servers.values():
      server.received.clear()
    return routers[0]

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_broken_stream_is_resumed(self, env):
    """Guards against streams that end where the connection is cut."""
    routers = await env.add_routers(_ROUTERS)
    await test_gateway.fill_retry_budget(env, routers[0])
    for server in env.servers.values():
      server.behaviour.events = 20
      server.behaviour.event_interval_s = 0.05
    responses = []

    async def _call():
      usage = {"token_usage": "1000,100", "model": "m", "deadline_ms": "9000"}
      response = await env.call("/text/a", "r1", routers[0], **usage)
      responses.append(response)

    async with anyio.create_task_group() as tg:
      tg.start_soon(_call)
      await anyio.sleep(0.5)
      env.network.cut("router-2", network.Cut.RESET)
    (response,) = responses
    ids = [n for n in range(1, 21) if f"id: {n}\n".encode() in response.body]
    self.assertTrue(response.is_complete)
    self.assertEqual(list(range(1, 21)), ids)
    self.assertEqual(20, response.body.count(b"id: "))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_tokens_are_billed_once(self, env):
    """Guards against a bill at both routers that a request passes."""
    router = await self._cut(env)
    for server in env.servers.values():
      server.behaviour.events = 5
    usage = {"token_usage": "1000,100", "model": "m"}
    response = await env.call("/once/a", "r1", router, **usage)
    self.assertEqual((200, True), (response.status, response.is_complete))
    used = [
        row.used
        for one in env.gateways
        for row in one.accounts.pool.table.rows.values()
        if row.used
    ]
    self.assertEqual([1020], used)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_unsafe_request_is_sent_once(self, env):
    """Guards against a second send after a tunnel broke."""
    router = await self._cut(env)
    for server in env.servers.values():
      server.behaviour.reset_after_events = 0
    response = await env.call("/book/a", "r1", router)
    self.assertEqual(502, response.status)
    received = [r for s in env.servers.values() for r in s.received]
    self.assertEqual(1, len(received))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_request_that_was_turned_away_has_not_run(self, env):
    """Guards against 502 for a request that no endpoint has run."""
    router = await self._cut(env)
    for server in env.servers.values():
      server.behaviour.not_run = True
    response = await env.call("/book/a", "r1", router)
    self.assertEqual(503, response.status)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_endpoint_stops_when_the_caller_leaves(self, env):
    """Guards against work for a caller that has left."""
    router = await self._cut(env)
    for server in env.servers.values():
      server.behaviour.response_delay_s = 1.0
    async with env.caller(router) as caller:
      await caller.send("/look/a", "r1")
      await env.wait_until(
          lambda: any(s.received for s in env.servers.values())
      )
    (received,) = [r for s in env.servers.values() for r in s.received]
    await env.wait_until(lambda: received.cancelled, 0.4)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_reset_connections_condemn_no_request(self, env):
    """Guards against a quarantine of requests that a cut broke off."""
    routers = await env.add_routers(_ROUTERS)
    for server in env.servers.values():
      server.behaviour.response_delay_s = 0.4
    for _ in range(4):
      async with anyio.create_task_group() as tg:
        for _ in range(8):
          tg.start_soon(env.call, "/look/a", "same", routers[0])
        await anyio.sleep(0.2)
        env.network.cut("router-2", network.Cut.RESET)
      env.network.heal("router-2")
      await anyio.sleep(0.6)
    self.assertEqual([], routers[0].quarantine.keys())

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_exit_of_an_unknown_address_is_refused(self, env):
    """Guards against tunnels to addresses that are no endpoints."""
    routers = await env.add_routers(_ROUTERS)
    config = routers[0].config
    with self.assertRaises(errors.ExitUnavailableError):
      await tunnels.connect(
          f"{config.peer_listen.host}:{config.tunnel_port}",
          f"127.0.0.1:{env.store_port}",
          "r1",
          1.0,
      )
