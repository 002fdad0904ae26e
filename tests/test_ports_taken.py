"""Routers whose port for other routers is taken by another process.

In production that is the process before, which still drains after a restart,
or any other program on the host.
"""

import contextlib
import socket

import testtools

from mustardfall.bench import fleet
from mustardfall.emulator import network
from tests import platformcase
from tests import test_gateway

_ROUTERS = 3
_HOSTS = tuple(f"127.0.0.{n}" for n in range(2, 2 + _ROUTERS))
_SERVERS = tuple(f"i-{n}" for n in range(4))
_RANGE_PORTS = 16
_DETECTION_S = 3.0
_MEASURED_S = 2.0
_CALLS_PER_S = 8.0
_MIN_SERVED = 0.95


@contextlib.contextmanager
def _taken(hosts, port, kinds):
  """Holds a port on some hosts as another process would."""
  with contextlib.ExitStack() as stack:
    for host in hosts:
      for kind in kinds:
        taken = stack.enter_context(socket.socket(socket.AF_INET, kind))
        taken.bind((host, port))
        if kind == socket.SOCK_STREAM:
          taken.listen()
    yield


class TakenPortTest(testtools.TestCase):

  async def _check_cut(self, env, hosts, kinds):
    """Checks that callers of cut routers are served though ports are taken."""
    port = fleet.free_port()
    with _taken(hosts, port, kinds):
      routers = await env.add_routers(_ROUTERS, (port, port + _RANGE_PORTS))
      await env.wait_until(lambda: all(r.datagrams.is_open for r in routers))
      callers = platformcase.Callers(env, routers, _CALLS_PER_S)
      await callers.run(1.0, "/look/a")
      env.network.cut(routers[0].config.name, network.Cut.RESET)
      await callers.run(_DETECTION_S, "/look/a")
      await callers.run(_MEASURED_S, "/look/a")
    served = callers.served(routers[:1])
    self.assertTrue(served >= _MIN_SERVED, (served, dict(callers.statuses)))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_cut_router_without_its_ports_is_served(self, env):
    """Guards against a router that hears no other since its port is taken."""
    kinds = (socket.SOCK_DGRAM, socket.SOCK_STREAM)
    await self._check_cut(env, _HOSTS[:1], kinds)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_routers_without_their_ports_serve_a_cut_one(self, env):
    """Guards against exits that are not reached where their ports are taken."""
    await self._check_cut(env, _HOSTS[1:], (socket.SOCK_STREAM,))

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_all_ports_are_taken(self, env):
    """Guards against a fleet that is silent as all its routers restart."""
    kinds = (socket.SOCK_DGRAM, socket.SOCK_STREAM)
    await self._check_cut(env, _HOSTS, kinds)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_stream_is_known_to_routers_on_other_ports(self, env):
    """Guards against records that are sent to ports which nobody reads."""
    port = fleet.free_port()
    with _taken(_HOSTS, port, (socket.SOCK_DGRAM,)):
      routers = await env.add_routers(_ROUTERS, (port, port + _RANGE_PORTS))
      await env.wait_until(lambda: all(r.datagrams.is_open for r in routers))
      env.servers["i-1"].behaviour.events = 4
      await env.call("/text/a", "s", routers[0], token_usage="100,100")
      tables = [router.stream_keepers.table for router in routers]
      await env.wait_until(lambda: all(len(table) for table in tables))
