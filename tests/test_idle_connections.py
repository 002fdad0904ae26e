"""Connections that wait for a request while all others are taken."""

import contextlib

import anyio
import h11
import testtools

from mustardfall.bench import fleet
from mustardfall.proxy import http_server
from mustardfall.proxy import internal
from mustardfall.proxy import resource_limiter
from mustardfall.routing import configuration
from mustardfall.util import clock as clock_lib

_CONNECTIONS = 4


async def _respond(request, body, responder) -> None:
  del request, body
  await responder.respond(200, [])


async def _call(stream) -> int:
  """Returns the status of a request, or 0 if there is no answer."""
  parser = h11.Connection(h11.CLIENT)
  request = h11.Request(method="GET", target="/", headers=[("host", "x")])
  try:
    await stream.send(parser.send(request) + parser.send(h11.EndOfMessage()))
    while (event := parser.next_event()) is h11.NEED_DATA:
      parser.receive_data(await stream.receive())
  except (anyio.EndOfStream, anyio.BrokenResourceError):
    return 0
  return event.status_code


class IdleConnectionsTest(testtools.TestCase):

  def _run(self, test):
    async def run():
      port = fleet.free_port()
      server = http_server.HttpServer(
          internal.Dialect(),
          _respond,
          lambda: configuration.DEFAULT_LIMITS,
          clock_lib.SystemClock(),
          resource_limiter=resource_limiter.ResourceLimiter(
              float("inf"), _CONNECTIONS
          ),
      )
      async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve, "127.0.0.1", port)
        await test(lambda: anyio.connect_tcp("127.0.0.1", port))
        tasks.cancel_scope.cancel()

    anyio.run(run)

  def test_new_connections_are_not_closed_for_later_ones(self):
    """Guards against callers cut off while their request is on its way."""

    async def test(connect):
      async with contextlib.AsyncExitStack() as stack:
        first = [
            await stack.enter_async_context(await connect())
            for _ in range(_CONNECTIONS)
        ]
        await anyio.sleep(0.05)
        later = await stack.enter_async_context(await connect())
        self.assertEqual(503, await _call(later))
        statuses = [await _call(stream) for stream in first]
        self.assertEqual([200] * _CONNECTIONS, statuses)

    self._run(test)

  def test_idle_connection_is_closed_for_a_new_one(self):
    """Guards against callers refused for the sake of idle connections."""

    async def test(connect):
      async with contextlib.AsyncExitStack() as stack:
        first, *others = [
            await stack.enter_async_context(await connect())
            for _ in range(_CONNECTIONS)
        ]
        for stream in others:
          self.assertEqual(200, await _call(stream))
        await anyio.sleep(1.0)
        later = await stack.enter_async_context(await connect())
        self.assertEqual(200, await _call(later))
        self.assertEqual(0, await _call(first))

    self._run(test)
