"""Waits for slow endpoints, which may be ended to send a request elsewhere.

Under overload all endpoints are slow, and the retries of the fleet are used up.
"""

import anyio
import testtools

from tests import test_gateway

_USAGE = test_gateway.StreamTest.USAGE


async def _use_up_retries(env):
  """Makes requests whose endpoints fail until no retry is left."""
  for server in env.servers.values():
    server.behaviour.reset_after_events = 0
  for number in range(4):
    await env.call("/look/a", f"failed{number}")
  for server in env.servers.values():
    server.behaviour.reset_after_events = None


class SlowEndpointTest(testtools.TestCase):

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_paused_stream_goes_on_if_no_retry_is_left(self, env):
    """Guards against giving up a stream that cannot be resumed elsewhere."""
    await _use_up_retries(env)
    for server in env.servers.values():
      server.behaviour.events = 1
      server.behaviour.event_interval_s = 1.4
    response = await env.call("/text/a", "r1", deadline_ms="5000", **_USAGE)
    self.assertEqual((200, True), (response.status, response.is_complete))

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_slow_response_is_awaited_if_no_retry_is_left(self, env):
    """Guards against a 502 for a response that is on its way."""
    await _use_up_retries(env)
    for server in env.servers.values():
      server.behaviour.response_delay_s = 0.9
    response = await env.call("/look/a", "r1")
    self.assertEqual(200, response.status)

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_request_leaves_a_silent_endpoint_once_a_retry_is_earned(
      self, env
  ):
    """Guards against waiting for a silent endpoint until the deadline."""
    await _use_up_retries(env)
    env.servers["i-1"].behaviour.response_delay_s = 60.0
    statuses = []

    async def call(number):
      response = await env.call("/look/a", f"r{number}", deadline_ms="4000")
      statuses.append(response.status)

    async with anyio.create_task_group() as tg:
      for number in range(60):
        tg.start_soon(call, number)
        await anyio.sleep(0.05)
    self.assertEqual([200] * 60, statuses)

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_stalled_stream_is_resumed_at_another_endpoint(self, env):
    """Guards against a stream that stays at an endpoint that went silent."""
    await test_gateway.fill_retry_budget(env)
    for server in env.servers.values():
      server.behaviour.events = 2
    env.servers["i-1"].behaviour.event_interval_s = 60.0
    for number in range(4):
      response = await env.call(
          "/text/a", f"r{number}", deadline_ms="5000", **_USAGE
      )
      self.assertTrue(response.is_complete)
