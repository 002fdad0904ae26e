"""Endpoints that say in an answer that they leave, or ask for rest.

The list of endpoints says otherwise: the store is away, or read late.
"""

from unittest import mock

import anyio
import testtools

from mustardfall import errors
from mustardfall.emulator import network
from mustardfall.emulator import server as server_lib
from mustardfall.proxy import tunnels
from mustardfall.routing import statements
from mustardfall.util import sockets
from tests import platformcase
from tests import test_gateway

_SERVERS = ("i-1", "i-2", "i-3", "i-4")
_ROUTERS = 3
_CALLS_PER_S = 10.0
"""Requests a second of the callers of each router."""
_DRAIN_S = platformcase.DRAIN_S
"""Time after an answer in which its endpoint may get requests."""
_REST_SLACK_S = 0.5
"""Time after an answer in which its endpoint may get requests despite a rest."""
_MAX_IN_REST = 2
"""Requests of one router that may reach an endpoint during its rest."""
_MIN_SERVED = 0.97
_MAX_REFUSAL_S = 0.3
"""Time within which a request that cannot be served is refused."""
_USAGE = test_gateway.StreamTest.USAGE


def _arrivals(server: server_lib.Server, since: float = 0.0) -> list[str]:
  """Returns the ids of the requests that reached a server, also in vain."""
  return [
      request.headers["request-id"]
      for request in (*server.received, *server.turned_away)
      if request.received_at >= since
  ]


async def _call_until(env, *servers, path="/look/a", **more) -> float:
  """Makes requests until one has reached each server; returns when that was."""
  since = anyio.current_time()
  for number in range(100):
    await env.call(path, f"until{number}", **more)
    if all(_arrivals(server, since) for server in servers):
      return anyio.current_time()
  raise AssertionError("no request reached the server")


async def _call_for(env, seconds, path="/look/a", **more) -> list[int]:
  """Makes one request after the other for some time; returns the statuses."""
  statuses = []
  ends_at = anyio.current_time() + seconds
  while anyio.current_time() < ends_at:
    response = await env.call(path, f"for{anyio.current_time()}", **more)
    statuses.append(response.status)
    await anyio.sleep(0.01)
  return statuses


def _let_leave(server, **more) -> None:
  server.behaviour = server_lib.Behaviour(leaving="1", **more)


def _let_rest(server, rest: str, **more) -> None:
  server.behaviour = server_lib.Behaviour(
      not_run=True, retry_after=rest, **more
  )


class LeavingTest(testtools.TestCase):

  async def _check_left(self, env, path="/look/a", **more):
    """Checks that a server gets nothing once an answer said that it leaves."""
    server = env.servers["i-1"]
    told_at = await _call_until(env, server, path=path, **more)
    statuses = await _call_for(env, 1.0, path, **more)
    self.assertEqual([], _arrivals(server, told_at))
    served = statuses.count(200) / len(statuses)
    self.assertTrue(served >= _MIN_SERVED, statuses)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_answer_binds_though_the_list_has_the_endpoint_as_live(
      self, env
  ):
    """Guards against requests to an endpoint that has said that it leaves."""
    _let_leave(env.servers["i-1"])
    await self._check_left(env)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_lists_after_the_answer_do_not_undo_it(self, env):
    """Guards against an older list that is applied after the answer."""
    _let_leave(env.servers["i-1"])
    told_at = await _call_until(env, env.servers["i-1"])
    for id_, server in env.servers.items():
      env.list_server(id_, server.port)
    await anyio.sleep(0.5)
    await _call_for(env, 0.5)
    self.assertEqual([], _arrivals(env.servers["i-1"], told_at))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_head_of_a_stream_binds(self, env):
    """Guards against a stream whose head is not read for it."""
    for server in env.servers.values():
      server.behaviour.events = 2
    _let_leave(env.servers["i-1"], events=2)
    await self._check_left(env, "/text/a", **_USAGE)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_refusal_binds(self, env):
    """Guards against a 503 of which only the status is read."""
    _let_leave(env.servers["i-1"], not_run=True)
    await self._check_left(env)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_error_binds(self, env):
    """Guards against an error answer of which only the status is read."""
    _let_leave(env.servers["i-1"], status=500)
    await self._check_left(env)

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_retry_does_not_go_to_an_endpoint_that_leaves(self, env):
    """Guards against a retry that takes any endpoint that is left."""
    await test_gateway.fill_retry_budget(env)
    _let_leave(env.servers["i-1"])
    told_at = await _call_until(env, env.servers["i-1"])
    env.servers["i-2"].behaviour.reset_after_events = 0
    for number in range(4):
      await env.call("/look/a", f"retried{number}")
    self.assertEqual([], _arrivals(env.servers["i-1"], told_at))

  @test_gateway.in_environment(servers=("i-1",))
  async def test_stream_is_not_resumed_where_its_endpoint_has_left(self, env):
    """Guards against a stream bound to a version whose endpoints leave."""
    env.servers["i-1"].behaviour = server_lib.Behaviour(
        events=6, reset_after_events=2, leaving="1"
    )
    caller = platformcase.StreamCaller(env, "stream")
    await caller.attempt()
    told_at = anyio.current_time()
    await anyio.sleep(_DRAIN_S)
    for _ in range(3):
      await caller.attempt()
    late = _arrivals(env.servers["i-1"], told_at + _DRAIN_S)
    self.assertEqual([], late)
    self.assertEqual([503] * 3, caller.statuses[1:])
    self.assertTrue(caller.took_s < _MAX_REFUSAL_S, caller.took_s)

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_callers_are_refused_at_once_where_all_leave(self, env):
    """Guards against requests that wait where all endpoints leave."""
    for server in env.servers.values():
      _let_leave(server)
    await _call_until(env, *env.servers.values())
    told_at = anyio.current_time()
    response = await env.call("/look/a", "late")
    self.assertTrue(anyio.current_time() - told_at < _MAX_REFUSAL_S)
    self.assertEqual(503, response.status)
    self.assertTrue(float(response.headers["retry-after"]) > 0)
    self.assertEqual([], _arrivals(env.servers["i-1"], told_at))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_request_that_waits_for_its_connection_is_not_sent(self, env):
    """Guards against sends that were decided before the endpoint's answer."""
    acquire = env.gateway.paths.acquire

    async def acquire_late(row, request_id, force_new=False):
      if request_id.startswith("queued"):
        chosen.append(row.name)
        await anyio.sleep(0.5)
      return await acquire(row, request_id, force_new)

    chosen, statuses = [], []

    async def call(number):
      response = await env.call("/look/a", f"queued{number}")
      statuses.append(response.status)

    with mock.patch.object(env.gateway.paths, "acquire", acquire_late):
      async with anyio.create_task_group() as tasks:
        for number in range(24):
          tasks.start_soon(call, number)
        await anyio.sleep(0.2)
        server = env.servers[chosen[-1]]
        _let_leave(server)
        told_at = await _call_until(env, server)
    self.assertEqual([], _arrivals(server, told_at))
    self.assertEqual([200] * 24, statuses)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_new_life_begins_clean(self, env):
    """Guards against a restarted endpoint that gets no requests any more."""
    server = env.servers["i-1"]
    _let_leave(server)
    await _call_until(env, server)
    server.behaviour = server_lib.Behaviour()
    entry = server_lib.make_registration(
        f"127.0.0.1:{server.port}", started_ms=5
    )
    env.store.put("servers/i-1", entry)
    rows = env.gateway.directory.endpoints.rows
    await env.wait_until(lambda: rows["i-1"].started_ms == 5)
    again_at = anyio.current_time()
    await _call_for(env, 1.0)
    self.assertNotEqual([], _arrivals(server, again_at))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_all_routers_stay_away_from_an_endpoint_that_leaves(self, env):
    """Guards against detours to an endpoint that another router knows of."""
    routers = await env.add_routers(_ROUTERS)
    callers = platformcase.Callers(env, routers, _CALLS_PER_S)
    await callers.run(1.0)
    env.network.cut(routers[0].config.name, network.Cut.HANG)
    await callers.run(3.0)
    for server in env.servers.values():
      server.behaviour.events = 0
    _let_leave(env.servers["i-1"])
    told_at = await _call_until_told(env, callers, env.servers["i-1"])
    await callers.run(2.0)
    late = _arrivals(env.servers["i-1"], told_at + _REST_SLACK_S)
    self.assertEqual([], late)
    self.assertTrue(callers.served(routers) >= _MIN_SERVED, callers.statuses)


async def _call_until_told(env, callers, server) -> float:
  """Runs callers until the server has answered; returns when that was."""
  since = anyio.current_time()
  for _ in range(20):
    await callers.run(0.2)
    if _arrivals(server, since):
      return anyio.current_time()
  raise AssertionError("no request reached the server")


class RestTest(testtools.TestCase):

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_endpoint_at_rest_gets_no_requests(self, env):
    """Guards against requests to an endpoint that has asked for rest."""
    server = env.servers["i-1"]
    _let_rest(server, "1.5")
    told_at = await _call_until(env, server)
    callers = platformcase.Callers(env, [env.gateway], 4 * _CALLS_PER_S)
    await callers.run(1.3)
    self.assertTrue(len(_arrivals(server, told_at)) <= _MAX_IN_REST)
    served = callers.served([env.gateway])
    self.assertTrue(served >= _MIN_SERVED, callers.statuses)
    server.behaviour = server_lib.Behaviour()
    await _call_for(env, 1.5)
    self.assertNotEqual([], server.received)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_rest_binds_each_router_that_was_asked(self, env):
    """Guards against a rest that ends early, amid load at several routers."""
    routers = await env.add_routers(_ROUTERS)
    callers = platformcase.Callers(env, routers, 2 * _CALLS_PER_S)
    server = env.servers["i-1"]
    _let_rest(server, "2")
    await callers.run(1.8)
    for router in routers:
      name = router.config.name
      of_router = [
          request.received_at
          for request in server.turned_away
          if request.headers["request-id"].startswith(name)
      ]
      late = [at for at in of_router if at > min(of_router) + _REST_SLACK_S]
      self.assertTrue(len(late) <= _MAX_IN_REST, (name, len(late)))
    self.assertTrue(callers.served(routers) >= _MIN_SERVED, callers.statuses)

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_callers_are_refused_at_once_where_all_rest(self, env):
    """Guards against a Retry-After that ends before the rest does."""
    for server in env.servers.values():
      _let_rest(server, "3")
    await _call_until(env, *env.servers.values())
    sent_at = anyio.current_time()
    response = await env.call("/look/a", "late")
    self.assertTrue(anyio.current_time() - sent_at < _MAX_REFUSAL_S)
    self.assertEqual(503, response.status)
    self.assertTrue(float(response.headers["retry-after"]) >= 2.0)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_endpoint_is_not_flooded_when_its_rest_ends(self, env):
    """Guards against requests of all routers at once after a rest."""
    routers = await env.add_routers(_ROUTERS)
    callers = platformcase.Callers(env, routers, 2 * _CALLS_PER_S)
    server = env.servers["i-1"]
    _let_rest(server, "1")
    await callers.run(0.5)
    rested_until = max(r.received_at for r in server.turned_away) + 1.0
    server.behaviour = server_lib.Behaviour(response_delay_s=0.2)
    await callers.run(2.0)
    first = [
        request.received_at
        for request in server.received
        if request.received_at < rested_until + 0.2
    ]
    self.assertTrue(len(first) <= _ROUTERS, len(first))
    await callers.run(1.0)
    self.assertTrue(callers.served(routers) >= _MIN_SERVED, callers.statuses)

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_unusable_rests_are_no_rests(self, env):
    """Guards against an endpoint that is lost for a value nobody can read."""
    for value in ("", "soon", "-3", "nan", "inf", "1e999x", "0"):
      for server in env.servers.values():
        _let_rest(server, value)
      await _call_until(env, *env.servers.values())
      for server in env.servers.values():
        server.behaviour = server_lib.Behaviour()
        server.turned_away.clear()
        server.received.clear()
      response = await env.call("/look/a", f"after-{value}")
      self.assertEqual(200, response.status, value)


class ExitTest(testtools.TestCase):

  async def _open(self, router, server):
    config = router.config
    return await tunnels.connect(
        f"{config.peer_listen.host}:{config.tunnel_port}",
        f"127.0.0.1:{server.port}",
        "r1",
        1.0,
    )

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_exit_opens_no_tunnel_to_an_endpoint_that_leaves(self, env):
    """Guards against detours through a router that was told."""
    exit_router, *_ = await env.add_routers(_ROUTERS)
    row = exit_router.directory.endpoints.rows["i-1"]
    exit_router.statements.note_leaving(row, "r0", 200, 0.0)
    tunnel = await self._open(exit_router, env.servers["i-1"])
    await tunnel.aclose()
    await anyio.sleep(exit_router.config.proxy.leaving_use_s)
    with self.assertRaises(errors.EndpointWithheldError) as caught:
      await self._open(exit_router, env.servers["i-1"])
    self.assertTrue(caught.exception.is_leaving)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_exit_opens_no_tunnel_to_an_endpoint_at_rest(self, env):
    """Guards against the same during a rest that the exit was asked for."""
    exit_router, *_ = await env.add_routers(_ROUTERS)
    row = exit_router.directory.endpoints.rows["i-1"]
    rest = statements.NamedRest(5.0, "5")
    exit_router.statements.note_rest(row, "r0", 503, rest)
    with self.assertRaises(errors.EndpointWithheldError) as caught:
      await self._open(exit_router, env.servers["i-1"])
    self.assertFalse(caught.exception.is_leaving)
    self.assertTrue(4.0 < caught.exception.rest_s < 8.0)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_open_tunnel_is_not_used_again_once_the_exit_is_told(self, env):
    """Guards against requests on a tunnel that was opened before."""
    exit_router, *_ = await env.add_routers(_ROUTERS)
    tunnel = await self._open(exit_router, env.servers["i-1"])
    self.assertFalse(sockets.is_readable(tunnel))
    _let_leave(env.servers["i-1"])
    env.gateway = exit_router
    listen = exit_router.config.listen
    for number in range(20):
      async with await anyio.connect_tcp(listen.host, listen.port) as stream:
        caller = platformcase.Caller(stream)
        await caller.send("/look/a", f"told{number}")
        await caller.receive()
    with anyio.fail_after(1):
      while not sockets.is_readable(tunnel):
        await anyio.sleep(0.01)
    await tunnel.aclose()

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_exit_is_told_of_a_rest_that_it_did_not_read(self, env):
    """Guards against an exit that sends more to an endpoint that asked it."""
    routers = await env.add_routers(_ROUTERS)
    callers = platformcase.Callers(env, routers, _CALLS_PER_S)
    await callers.run(0.5)
    env.network.cut(routers[0].config.name, network.Cut.RESET)
    await callers.run(3.0)
    _let_rest(env.servers["i-1"], "5")
    await platformcase.Callers(env, routers[:1], 4 * _CALLS_PER_S).run(1.0)
    self.assertNotEqual([], env.servers["i-1"].turned_away)
    exits = [
        router
        for router in routers[1:]
        if router.statements.is_withheld(router.directory.endpoints.rows["i-1"])
    ]
    self.assertNotEqual([], exits)
