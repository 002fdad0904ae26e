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

  @test_gateway.in_world(servers=tuple(f"i-{n}" for n in range(8)))
  async def test_others_are_served_beside_it(self, world):
    """Guards against refusing what only ran beside such a request."""
    await test_gateway.save_up_second_sends(world)
    self._poison(world)
    answers = []

    async def _send_others(number):
      for n in range(12):
        body = f"other{number}-{n}".encode()
        answers.append(await self._send(world, f"o{number}-{n}", body))
        await anyio.sleep(0.05)

    async with anyio.create_task_group() as tg:
      tg.start_soon(world.keep_servers, _POISON)
      async with anyio.create_task_group() as callers:
        callers.start_soon(self._send_often, world, 12)
        for number in range(4):
          callers.start_soon(_send_others, number)
      tg.cancel_scope.cancel()
    self.assertTrue(world.crashes <= _CRASHES, world.crashes)
    served = sum(answer.status == 200 for answer in answers)
    self.assertTrue(served >= 0.95 * len(answers), served)
    self.assertEqual(1, len(world.gateway.quarantine.verdicts()))

  @test_gateway.in_world(servers=("i-1", "i-2", "i-3"))
  async def test_lost_answers_of_servers_that_go_on_do_not_count(self, world):
    """Guards against refusing a request for connections that break."""
    for server in world.servers.values():
      server.behaviour.reset_after_events = 0
    for answer in await self._send_often(world, 6):
      self.assertEqual(502, answer.status)
    for server in world.servers.values():
      server.behaviour.reset_after_events = None
    answer = await self._send(world, "after")
    self.assertEqual(200, answer.status)
