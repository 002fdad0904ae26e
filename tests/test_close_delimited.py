"""Answers, streams too, that end with their connection.

They come with neither a length nor chunks. One that is reset on the way is not
complete, nor is a stream that ends inside an event.
"""

import testtools

from mustardfall.emulator import server as server_lib
from tests import platformcase
from tests import test_gateway

_USAGE = {"token_usage": "100,100", "model": "m"}
_EVENTS = 6


class CloseDelimitedTest(testtools.TestCase):

  def _set(self, env, **more):
    for server in env.servers.values():
      server.behaviour = server_lib.Behaviour(
          **{"events": _EVENTS, "close_delimited": True, **more}
      )

  def _ids(self, response):
    return [number for number, _ in platformcase.parse_events(response.body)]

  @test_gateway.in_environment()
  async def test_whole_stream_is_passed_on(self, env):
    """Guards against a whole stream that is taken for a broken one."""
    self._set(env)
    for n, path in enumerate(("/text/a", "/once/a")):
      response = await env.call(path, f"r{n}", **_USAGE)
      self.assertEqual((200, True), (response.status, response.is_complete))
      self.assertEqual([*range(1, _EVENTS + 1)], self._ids(response))

  @test_gateway.in_environment(servers=("i-1", "i-2"))
  async def test_stream_that_ends_inside_an_event_is_resumed(self, env):
    """Guards against a stream that was broken off and looks complete."""
    await test_gateway.fill_retry_budget(env)
    self._set(env)
    broken = env.servers["i-1"].behaviour
    broken.reset_after_events, broken.partial_event = 2, True
    for n in range(4):
      response = await env.call("/text/a", f"r{n}", **_USAGE)
      self.assertEqual((200, True), (response.status, response.is_complete))
      self.assertEqual([*range(1, _EVENTS + 1)], self._ids(response))

  @test_gateway.in_environment()
  async def test_stream_without_resuming_that_ends_inside_an_event(self, env):
    """Guards against the same where the rest cannot be had."""
    self._set(env, reset_after_events=2, partial_event=True)
    response = await env.call("/once/a", "r1", **_USAGE)
    self.assertEqual((200, False), (response.status, response.is_complete))

  @test_gateway.in_environment()
  async def test_stream_that_is_reset_is_not_complete(self, env):
    """Guards against a reset between two events that looks like the end."""
    self._set(env, reset=True, event_interval_s=0.02)
    response = await env.call("/once/a", "r1", **_USAGE)
    self.assertEqual((200, False), (response.status, response.is_complete))

  @test_gateway.in_environment()
  async def test_stream_without_any_event_is_not_complete(self, env):
    """Guards against a server that ends before it writes an event."""
    self._set(env, reset_after_events=0)
    env.servers["i-1"].behaviour.crash_on_part = "bad0"
    response = await env.call(
        "/once/a", "r1", prompt_prefix="bad0:90,e1:10", **_USAGE
    )
    self.assertEqual(502, response.status)

  @test_gateway.in_environment()
  async def test_plain_answer_that_is_reset_is_not_passed_on(self, env):
    """Guards against a part of an answer that looks complete."""
    self._set(env, events=0, padding=50_000, reset=True)
    response = await env.call("/book/a", "r1")
    self.assertEqual(502, response.status)
    self._set(env, events=0, padding=50_000)
    response = await env.call("/book/a", "r2")
    self.assertEqual((200, True), (response.status, response.is_complete))
    self.assertTrue(len(response.body) > 50_000, len(response.body))
