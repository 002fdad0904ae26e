"""Endpoints that name a request rate for all routers together.

Three routers before the emulated platform, with datagrams between them; one of
three servers names a limit far below what it is sent.
"""

import anyio
import testtools

from tests import platformcase
from tests import test_gateway

_RATE_PER_S = 1.0
"""The limit that the server names."""
_OVERSHOOT = 1.5
_SLACK_REQUESTS = 5
_WINDOW_S = 4.0
_ALLOWED = _RATE_PER_S * _WINDOW_S * _OVERSHOOT + _SLACK_REQUESTS
"""Requests that the server may get in any `_WINDOW_S`."""
_GRACE_S = 1.5
"""Time in which all routers have to learn of the limit, half of the platform's
bound."""
_ROUTERS = 3
_CALLS_PER_S = 8.0
"""Requests a second of the callers of each router."""


def most_in_a_window(times: list[float], window_s: float) -> int:
  """Returns the largest number of times within any span of `window_s`."""
  times = sorted(times)
  start = most = 0
  for end, time in enumerate(times):
    while times[start] <= time - window_s:
      start += 1
    most = max(most, end - start + 1)
  return most


def _arrivals(env: platformcase.Environment, name: str) -> list[float]:
  return [request.received_at for request in env.servers[name].received]


class LimitedEndpointTest(testtools.TestCase):

  @test_gateway.in_environment(servers=("i-1", "i-2", "i-3"))
  async def test_named_limit_binds_all_routers_together(self, env):
    """Guards against routers that each send as if no limit were named."""
    routers = await env.add_routers(_ROUTERS)
    callers = platformcase.Callers(env, routers, _CALLS_PER_S)
    env.servers["i-1"].behaviour.rate_limit = f"{_RATE_PER_S:g}"
    await callers.run(_GRACE_S)
    self.assertEqual(1.0, callers.served(routers))
    bound_since = anyio.current_time()
    await callers.run(_WINDOW_S + 1.0)
    bound = [at for at in _arrivals(env, "i-1") if at >= bound_since]
    self.assertTrue(
        most_in_a_window(bound, _WINDOW_S) <= _ALLOWED, (len(bound), _ALLOWED)
    )
    self.assertEqual(1.0, callers.served(routers))

  @test_gateway.in_environment(servers=("i-1",))
  async def test_limit_ends_at_routers_that_hear_from_no_other(self, env):
    """Guards against a limit that stays in force as no request finds out."""
    routers = await env.add_routers(_ROUTERS)
    callers = platformcase.Callers(env, routers, _CALLS_PER_S)
    for router in routers:
      for name in ("enqueue", "enqueue_to"):
        setattr(router.datagrams, name, lambda *args: None)
      router.datagrams.send = _send_nothing
    for server in env.servers.values():
      server.behaviour.rate_limit = "6"
    await callers.run(4.0)
    bound = [at for name in env.servers for at in _arrivals(env, name)]
    self.assertTrue(most_in_a_window(bound, 1.0) < 3 * _CALLS_PER_S)
    for server in env.servers.values():
      server.behaviour.rate_limit = None
    await callers.run(5.0)
    await callers.run(2.0)
    self.assertEqual(1.0, callers.served(routers))

  @test_gateway.in_environment(servers=("i-1", "i-2", "i-3"))
  async def test_limit_ends_at_routers_without_datagrams(self, env):
    """Guards against limits that last where datagrams are disabled."""
    routers = await env.add_routers(2 * _ROUTERS, (0,))
    callers = platformcase.Callers(env, routers, 1.5 * _CALLS_PER_S)
    rate_per_s = 2.0
    allowed = rate_per_s * _WINDOW_S * _OVERSHOOT + _SLACK_REQUESTS
    for server in env.servers.values():
      server.behaviour.rate_limit = f"{rate_per_s:g}"
    await callers.run(_GRACE_S)
    bound_since = anyio.current_time()
    await callers.run(_WINDOW_S + 1.0)
    for name in env.servers:
      bound = [at for at in _arrivals(env, name) if at >= bound_since]
      most = most_in_a_window(bound, _WINDOW_S)
      self.assertTrue(most <= allowed, (most, allowed))
    for server in env.servers.values():
      server.behaviour.rate_limit = None
    await callers.run(5.0)
    await callers.run(2.0)
    self.assertEqual(1.0, callers.served(routers))


async def _send_nothing(kind, content, receivers) -> None:
  del kind, content, receivers
