"""A request that ends the servers that run it is kept from the others.

Pattern: one request, the same path, caller and body, comes again and again at
any router; each server that begins to run it ends and is back after a while.
Those that run beside it, and those that come after it, are the ones to serve.
"""

import anyio
import testtools

from tests import test_gateway

_CRASHES = 3
"""Servers that may end before the request is known."""
_POISON = b"crash"


class CrashingRequestTest(testtools.TestCase):

  async def _send(self, world, number, body=_POISON, path="/look/a"):
    async with world.caller() as caller:
      await caller.send(path, f"r{number}", body)
      return await caller.receive()

  async def _send_often(self, world, times, body=_POISON, path="/look/a"):
    """Sends the same request again and again; returns the answers."""
    answers = []
    for number in range(times):
      answers.append(await self._send(world, number, body, path))
      await anyio.sleep(0.05)
    return answers

  def _poison(self, world):
    for server in world.servers.values():
      server.behaviour.crash_on = _POISON

  @test_gateway.in_world(servers=tuple(f"i-{n}" for n in range(8)))
  async def test_no_more_servers_end_than_it_takes_to_know(self, world):
    """Guards against a request that ends one server after the other."""
    self._poison(world)
    async with anyio.create_task_group() as tg:
      tg.start_soon(world.keep_servers, _POISON)
      answers = await self._send_often(world, 12)
      tg.cancel_scope.cancel()
    self.assertTrue(world.crashes <= _CRASHES, world.crashes)
    self.assertEqual(503, answers[-1].status)
    self.assertTrue(float(answers[-1].headers["retry-after"]) > 1)
