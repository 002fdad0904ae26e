"""Responses that are sent at the moment at which a deadline passes."""

import logging

import anyio
import testtools

from mustardfall.emulator import server as server_lib
from mustardfall.proxy import http_server
from tests import httpcase
from tests import platformcase

_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
_LARGE_BYTES = 1_000_000
"""More than the process buffers for a connection."""
_HUGE_BYTES = 16_000_000
"""More than the process and the kernel buffer for a connection."""


class PassedDeadlineTest(testtools.TestCase):
  """A handler whose deadline has passed when it begins to respond."""

  def _answer_to(self, respond) -> bytes:
    """Returns what a caller gets from a handler that has been cancelled."""

    async def handler(request, body, responder):
      del request, body
      with anyio.CancelScope() as scope:
        scope.cancel()
        await respond(responder)
      if not responder.started:
        await responder.respond(504, [], b"late")

    async def run():
      async with httpcase.serving(handler) as port:
        return await httpcase.call(port, _REQUEST)

    return anyio.run(run)

  def test_complete_response_is_sent(self):
    """Guards against a complete response replaced by a closed connection."""
    answer = self._answer_to(lambda r: r.respond(200, [], b"whole"))
    self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
    self.assertTrue(answer.endswith(b"whole"), answer[:200])

  def test_large_response_is_sent_completely(self):
    """Guards against a long response cut off while its caller reads it."""
    body = bytes(_LARGE_BYTES)
    answer = self._answer_to(lambda r: r.respond(200, [], body))
    self.assertTrue(answer.endswith(body), answer[:200])

  def test_stream_that_has_not_begun_gets_an_error_response(self):
    """Guards against a stream counted as begun before any byte of it is sent."""
    answer = self._answer_to(lambda r: r.start(200, []))
    self.assertTrue(answer.startswith(b"HTTP/1.1 504"), answer[:200])

  def test_end_of_a_stream_is_sent(self):
    """Guards against a stream cut off after its last event was sent."""

    async def respond(responder: http_server.Responder) -> None:
      with anyio.CancelScope(shield=True):
        await responder.start(200, [])
        await responder.write(b"all of it")
      await responder.end()

    answer = self._answer_to(respond)
    self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
    self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer[:200])

  def test_caller_that_does_not_read_holds_nothing_up(self):
    """Guards against a cancelled request that waits for its caller for ever."""
    ended = anyio.Event()

    async def handler(request, body, responder):
      del request, body
      with anyio.move_on_after(0.1):
        await responder.respond(200, [], bytes(_HUGE_BYTES))
      ended.set()

    async def run():
      async with httpcase.serving(handler) as port:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
          await stream.send(_REQUEST)
          with anyio.fail_after(2):
            await ended.wait()

    anyio.run(run)


class RouteTimeoutTest(testtools.TestCase):
  """A router whose endpoint answers when the route's timeout ends."""

  _TIMEOUT_MS = 90
  _DELAYS_S = [0.055 + 0.0005 * step for step in range(20)]
  """Around the moment at which the router gives a request up."""
  _ROUNDS = 10

  def test_each_request_gets_an_answer(self):
    """Guards against connections closed after the endpoint has answered.

    If the process stands still meanwhile, a request may not have been sent when its
    time is over: the answer is 503 then, which guarantees that it does not run.
    """
    responses: dict[str, platformcase.Response] = {}
    received: set[str] = set()

    async def call(env, id_):
      responses[id_] = await env.call("/look/a", id_)

    async def run():
      async with platformcase.running() as env:
        given = platformcase.configuration(version=2)
        for route in given["routes"]:
          route["timeout_ms"] = self._TIMEOUT_MS
        env.store.put("op/config", given)
        config = env.gateway.directory
        await env.wait_until(lambda: config.configuration.version == 2)  # noqa: PLR2004
        for number in range(self._ROUNDS):
          async with anyio.create_task_group() as tasks:
            for delay_s in self._DELAYS_S:
              env.servers["i-1"].behaviour = server_lib.Behaviour(
                  response_delay_s=delay_s
              )
              tasks.start_soon(call, env, f"r{number}-{delay_s}")
              await anyio.sleep(0.01)
        requests = env.servers["i-1"].received
        received.update(request.headers["request-id"] for request in requests)

    with self.assertLogs(http_server.logger, logging.INFO) as logs:
      http_server.logger.info("requests are sent")
      anyio.run(run)
    statuses = {id_: response.status for id_, response in responses.items()}
    unsent = {id_ for id_, status in statuses.items() if status == 503}  # noqa: PLR2004
    self.assertEqual({200, 504}, set(statuses.values()) - {503})
    reasons = {responses[id_].body for id_ in unsent}
    self.assertTrue(reasons <= {b"not sent in time"}, reasons)
    self.assertEqual(set(), unsent & received)
    self.assertTrue(all(r.is_complete for r in responses.values()))
    cut_off = [r for r in logs.records if r.msg == "response cut off"]
    self.assertEqual([], cut_off)
