"""Quarantine of a request that crashes the servers that run it.

The same request (path, caller and body) is sent repeatedly to any router. Each
server that begins to run it crashes and is replaced after a delay. Requests
that run at the same time or later must still be served.
"""

from unittest import mock

import anyio
import testtools

from mustardfall.emulator import server as server_lib
from mustardfall.routing import quarantine
from tests import platformcase
from tests import test_gateway

_MAX_CRASHES = 3
"""Servers that may crash before the request is quarantined."""
_POISON = b"crash"
_CRASH_INTERVAL_S = 0.4
_QUARANTINE_S = 1.0
"""First quarantine of requests that are alike, instead of 15 s."""


class CrashingRequestTest(testtools.TestCase):

  async def _send(self, env, number, body=_POISON, path="/look/a"):
    async with env.caller() as caller:
      await caller.send(path, f"r{number}", body)
      return await caller.receive()

  async def _send_repeatedly(self, env, times, body=_POISON, path="/look/a"):
    """Sends the same request repeatedly; returns the responses."""
    responses = []
    for number in range(times):
      responses.append(await self._send(env, number, body, path))
      await anyio.sleep(0.05)
    return responses

  def _poison(self, env):
    for server in env.servers.values():
      server.behaviour.crash_on = _POISON

  @test_gateway.in_environment(servers=tuple(f"i-{n}" for n in range(8)))
  async def test_few_servers_crash_before_the_quarantine(self, env):
    """Guards against a request that crashes one server after another."""
    self._poison(env)
    async with anyio.create_task_group() as tg:
      tg.start_soon(
          env.restart_crashed_servers, server_lib.Behaviour(crash_on=_POISON)
      )
      responses = await self._send_repeatedly(env, 12)
      tg.cancel_scope.cancel()
    self.assertTrue(env.crash_count <= _MAX_CRASHES, env.crash_count)
    self.assertEqual(503, responses[-1].status)
    self.assertTrue(float(responses[-1].headers["retry-after"]) > 1)

  @test_gateway.in_environment(servers=tuple(f"i-{n}" for n in range(8)))
  async def test_concurrent_requests_are_served(self, env):
    """Guards against refusing requests that only ran beside such a request."""
    await test_gateway.fill_retry_budget(env)
    self._poison(env)
    responses = []

    async def _send_others(number):
      for n in range(12):
        body = f"other{number}-{n}".encode()
        responses.append(await self._send(env, f"o{number}-{n}", body))
        await anyio.sleep(0.05)

    async with anyio.create_task_group() as tg:
      tg.start_soon(
          env.restart_crashed_servers, server_lib.Behaviour(crash_on=_POISON)
      )
      async with anyio.create_task_group() as callers:
        callers.start_soon(self._send_repeatedly, env, 12)
        for number in range(4):
          callers.start_soon(_send_others, number)
      tg.cancel_scope.cancel()
    self.assertTrue(env.crash_count <= _MAX_CRASHES, env.crash_count)
    served = sum(response.status == 200 for response in responses)
    self.assertTrue(served >= 0.95 * len(responses), served)
    self.assertEqual(1, len(env.gateway.quarantine.keys()))

  @test_gateway.in_environment(servers=("i-1", "i-2", "i-3"))
  async def test_lost_responses_of_running_servers_do_not_count(self, env):
    """Guards against a quarantine because of connections that break."""
    for server in env.servers.values():
      server.behaviour.reset_after_events = 0
    for response in await self._send_repeatedly(env, 6):
      self.assertEqual(502, response.status)
    for server in env.servers.values():
      server.behaviour.reset_after_events = None
    response = await self._send(env, "after")
    self.assertEqual(200, response.status)

  @test_gateway.in_environment(servers=tuple(f"i-{n}" for n in range(8)))
  async def test_request_with_another_prompt_is_not_quarantined(self, env):
    """Guards against a path whose bodies are alike that one prompt blocks."""

    def let_crash(server):
      server.behaviour.crash_on_part = "bad0"

    for server in env.servers.values():
      let_crash(server)
    async with env.caller() as caller:
      await caller.send("/look/a", "sound-before", prompt_prefix="s0:9,e0:1")
      self.assertEqual(200, (await caller.receive()).status)
    for number in range(6):
      async with env.caller() as caller:
        await caller.send(
            "/look/a", f"bad-{number}", prompt_prefix="bad0:90,e1:10"
        )
        last = await caller.receive()
    self.assertEqual(503, last.status)
    for number, more in enumerate(
        ({"prompt_prefix": "s0:90,e2:10"}, {"prompt_prefix": "s1:90,e1:10"})
    ):
      async with env.caller() as caller:
        await caller.send("/look/a", f"sound-{number}", **more)
        self.assertEqual(200, (await caller.receive()).status, more)


class LikeRequestsTest(testtools.TestCase):
  """A team's callers send the same request while servers crash by themselves."""

  async def _call(self, env, number, responses):
    async with env.caller() as caller:
      named = {"token_usage": "100,100", "model": "m"}
      await caller.send("/text/a", f"s{number}", **named)
      responses.append(await caller.receive())

  async def _crash_in_a_row(self, env, count):
    await anyio.sleep(_CRASH_INTERVAL_S)
    for server in list(env.servers.values())[:count]:
      await server.crash()
      env.store.remove(f"servers/{server.id}")
      await anyio.sleep(_CRASH_INTERVAL_S)

  async def _crash_under_like_requests(self, env, count, behaviour):
    """Crashes servers in a row that run a team's requests; the others are well."""
    for server in env.servers.values():
      server.behaviour = behaviour
    responses: list[platformcase.Response] = []
    async with anyio.create_task_group() as tasks:
      for number in range(24):
        tasks.start_soon(self._call, env, number, responses)
      await self._crash_in_a_row(env, count)
      tasks.cancel_scope.cancel()
    for server in env.servers.values():
      server.behaviour = server_lib.Behaviour(events=3)

  async def _check_served(self, env):
    responses: list[platformcase.Response] = []
    for number in range(24):
      await self._call(env, f"after{number}", responses)
    self.assertEqual([200] * 24, [response.status for response in responses])

  @test_gateway.in_environment(servers=tuple(f"i-{n}" for n in range(8)))
  async def test_team_is_served_after_crashes_amid_its_streams(self, env):
    """Guards against a team refused for minutes as its streams are alike."""
    streaming = server_lib.Behaviour(events=60, event_interval_s=0.1)
    await self._crash_under_like_requests(env, 4, streaming)
    await self._check_served(env)

  @test_gateway.in_environment(servers=tuple(f"i-{n}" for n in range(8)))
  async def test_team_is_served_soon_after_crashes_before_its_answers(
      self, env
  ):
    """Guards against a team refused for minutes as its requests are alike."""
    term = mock.patch.object(
        quarantine, "_FIRST_SHARED_QUARANTINE_S", _QUARANTINE_S
    )
    with term:
      reading = server_lib.Behaviour(events=3, response_delay_s=8.0)
      await self._crash_under_like_requests(env, 4, reading)
      self.assertEqual(1, len(env.gateway.quarantine.keys()))
      await anyio.sleep(_QUARANTINE_S * 4)
      await self._check_served(env)
    self.assertEqual([], env.gateway.quarantine.keys())
