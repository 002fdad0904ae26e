"""Endpoints that have ended stay listed for some seconds.

Most of a service's servers crash; their entries remain in the list, as that is
updated only when several of their heartbeats are missing.
"""

import collections

import anyio
import testtools

from mustardfall.emulator import server as server_lib
from tests import test_gateway

_SERVERS = tuple(f"i-{n}" for n in range(8))
_CRASHED = 6
_REQUESTS = 40


class EndedEndpointsTest(testtools.TestCase):

  async def _call(self, env, router, number):
    parts = f"a{number % 7}:9000,b{number % 11}:3000,c{number}:100"
    return await env.call(
        "/text/a",
        f"r{number}-{router.config.name}",
        router,
        body=b"%d" % number,
        prompt_prefix=parts,
        token_usage="12100,10",
        model="m",
    )

  @test_gateway.in_environment(servers=_SERVERS, prepaid=100_000_000)
  async def test_ended_endpoints_are_not_tried_again_and_again(self, env):
    """Guards against requests refused after tries of ended endpoints only."""
    routers = await env.add_routers(3)
    for server in env.servers.values():
      server.behaviour = server_lib.Behaviour(events=2)
    for number in range(24):
      await self._call(env, routers[number % 3], number)
    for server in list(env.servers.values())[:_CRASHED]:
      await server.crash()
    statuses = []
    with self.assertLogs("mustardfall.proxy.request_log", "INFO") as logs:
      for number in range(_REQUESTS):
        for router in routers:
          response = await self._call(env, router, number)
          statuses.append(response.status)
        await anyio.sleep(0.05)
    messages = [record.getMessage() for record in logs.records]
    failed = messages.count("try failed")
    self.assertEqual(
        {200: len(statuses)}, collections.Counter(statuses), failed
    )
    self.assertTrue(failed <= len(routers) * _CRASHED, failed)
