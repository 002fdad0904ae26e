"""Limits on the responses of engines and services of the own interface."""

from unittest import mock

import anyio
import httpx
import testtools

from mustardfall.api import bodies
from mustardfall.api import relay


async def _without_end(interval_s, data=b"a" * 65_536):
  while True:
    yield data
    await anyio.sleep(interval_s)


def _answer(content):
  return httpx.MockTransport(
      lambda request: httpx.Response(200, content=content)
  )


async def _read(content):
  async with httpx.AsyncClient(transport=_answer(content)) as http:
    request = http.build_request("GET", "http://e/")
    return await bodies.read(await bodies.send(http, request))


class BodyTest(testtools.TestCase):

  def test_whole_body_is_returned(self):
    self.assertEqual(b"abc", anyio.run(_read, b"abc"))

  def test_fast_body_without_end_is_broken_off(self):
    """Guards against a body that fills the memory."""
    self.assertRaises(httpx.HTTPError, anyio.run, _read, _without_end(0))

  def test_slow_body_without_end_is_broken_off(self):
    """Guards against a body of which a few bytes arrive at a time."""
    with mock.patch.object(bodies, "_BODY_TIMEOUT_S", 0.2):
      self.assertRaises(
          httpx.HTTPError, anyio.run, _read, _without_end(0.01, b"a")
      )

  def test_head_that_does_not_arrive_is_given_up(self):
    """Guards against a head of which a few bytes arrive at a time."""

    async def hang(request):
      del request
      await anyio.sleep(5)

    async def send():
      transport = httpx.MockTransport(hang)
      async with httpx.AsyncClient(transport=transport) as http:
        await bodies.send(http, http.build_request("GET", "http://e/"))

    with mock.patch.object(bodies, "HEAD_TIMEOUT_S", 0.2):
      self.assertRaises(httpx.HTTPError, anyio.run, send)


class StreamTest(testtools.TestCase):

  async def _relay(self, content):
    reply = httpx.Response(200, content=content)
    with anyio.fail_after(5):
      return [block async for block in relay.Stream(reply, False).relay()]

  def test_event_without_end_is_broken_off(self):
    """Guards against an event that fills the memory."""
    self.assertRaises(ValueError, anyio.run, self._relay, _without_end(0))

  def test_bytes_that_complete_no_event_are_broken_off(self):
    """Guards against a stream that is kept for bytes that are no event."""
    with mock.patch.object(relay, "_MAX_GAP_S", 0.2):
      self.assertRaises(
          ValueError, anyio.run, self._relay, _without_end(0.01, b"a")
      )
