"""New connections to a router whose processor is too busy.

A load balancer hands most new connections to one router, which can serve only a
third of them.
"""

import functools
import statistics
import time

import anyio
import anyio.to_thread
import h11
import testtools

from mustardfall.bench import fleet
from mustardfall.proxy import http_server
from mustardfall.proxy import internal
from mustardfall.routing import configuration
from mustardfall.util import accept_queue
from mustardfall.util import clock as clock_lib

_WORK_S = 0.03
"""Processor time of a request."""
_CALLS_PER_S = 100
_SECONDS = 4.0
_SETTLED_S = 2.0
"""From then on requests that are read must be answered soon."""
_MAX_MEDIAN_S = 0.6


class _Outcome:
  """What callers got; each sends one request on a new connection."""

  def __init__(self) -> None:
    self.took_s: list[float] = []
    """Times of the requests answered that were sent once it had settled."""
    self.closed_s: list[float] = []
    """The same of connections that were closed without any answer."""


async def _handle(request, body, responder) -> None:
  del request, body
  time.sleep(_WORK_S)  # noqa: ASYNC251  it stands for work of the processor
  await responder.respond(200, [])


async def _call(port: int, began_at: float, outcome: _Outcome) -> None:
  parser = h11.Connection(h11.CLIENT)
  request = h11.Request(method="GET", target="/", headers=[("host", "x")])
  sent_at = anyio.current_time()
  answer = b""
  try:
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
      await stream.send(parser.send(request) + parser.send(h11.EndOfMessage()))
      answer = await stream.receive()
  except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
    pass
  if sent_at - began_at >= _SETTLED_S:
    times = outcome.took_s if answer else outcome.closed_s
    times.append(anyio.current_time() - sent_at)


async def _call_all(port: int, outcome: _Outcome) -> None:
  began_at = anyio.current_time()
  with anyio.move_on_after(_SECONDS + 4.0):
    async with anyio.create_task_group() as tasks:
      for _ in range(int(_SECONDS * _CALLS_PER_S)):
        tasks.start_soon(_call, port, began_at, outcome)
        await anyio.sleep(1 / _CALLS_PER_S)


async def _serve(sheds_connections: bool) -> _Outcome:
  outcome, port = _Outcome(), fleet.free_port()
  server = http_server.HttpServer(
      internal.Dialect(),
      _handle,
      lambda: configuration.DEFAULT_LIMITS,
      clock_lib.SystemClock(),
      sheds_connections=sheds_connections,
  )
  async with anyio.create_task_group() as tasks:
    await tasks.start(server.serve, "127.0.0.1", port)
    callers = functools.partial(anyio.run, _call_all, port, outcome)
    await anyio.to_thread.run_sync(callers)
    tasks.cancel_scope.cancel()
  return outcome


class AcceptQueueTest(testtools.TestCase):

  def test_requests_that_are_read_are_answered_soon(self):
    """Guards against one router whose callers all wait for its processor."""
    outcome = anyio.run(_serve, True)
    self.assertTrue(len(outcome.took_s) >= 30, len(outcome.took_s))
    took_s = statistics.median(outcome.took_s)
    self.assertTrue(took_s <= _MAX_MEDIAN_S, took_s)
    closed_s = statistics.median(outcome.closed_s)
    self.assertTrue(closed_s <= _MAX_MEDIAN_S, closed_s)

  def test_overload_is_told_from_a_pause(self):
    """Guards against callers turned away because of one pause."""
    cases = [(0.0, 0, False), (0.1, 50, False), (2.0, 3, False), (0.2, 9, True)]
    for standing_s, accepted, expected in cases:
      backlog = accept_queue.Backlog(standing_s, accepted)
      self.assertEqual(expected, accept_queue.is_overloaded(backlog), backlog)
