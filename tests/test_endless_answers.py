"""Servers that send bytes without end, until the router closes.

They may stand in a head or a body, in an informational answer, in trailers, in
an answer that turns the request away, or be no answer at all; they come fast, or
a few at a time.
"""

import contextlib
import gc
import time
import tracemalloc

import anyio
import testtools

from mustardfall import errors
from mustardfall.emulator import server as server_lib
from mustardfall.platform import headers
from mustardfall.proxy import connection_pool
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import streams
from mustardfall.util import clock as clock_lib
from tests import platformcase
from tests import processcase
from tests import test_gateway

_HEADS = (
    "garbage",
    "blank",
    "header",
    "headers",
    "informational",
    "informational-headers",
    "other",
)
_REFUSALS = ("refusal", "refusal-close")
_BODIES = (
    "body",
    "small-chunks",
    "close",
    "length",
    "extension",
    "trailers",
)
_STREAMS = ("event", "event-small-chunks", "comments", "repeated")
_SERVERS = ("i-1", "i-2", "i-3", "i-4")
_SLOW_S = 0.02
"""Pause between bytes that come a few at a time."""
_CLOSED_S = 1.5
"""Time within which the router closes such an answer if the request may be sent
to another endpoint, or has not run."""
_MAX_BYTES = 12_000_000
"""Bytes of one such answer that the router may read."""
_MAX_GROWTH_BYTES = 40_000_000
_MAX_PROCESS_MB = 120
"""Resident memory of a router whose limit is 150 MB, beside such answers."""
_MAX_CPU_S = 0.5
"""Processor time that the router may spend on one such answer."""
_FED_BYTES = 65_536
_CPU_WINDOW_S = 0.2
"""Events that never end are broken off by time; so long they are read here."""
_MIN_CALLS = 12
_MIN_SERVED = 0.97
_USAGE = test_gateway.StreamTest.USAGE


def _set(env, kind: str, interval_s: float = 0.0) -> server_lib.Server:
  server = env.servers["i-1"]
  server.behaviour = server_lib.Behaviour(
      endless=kind, endless_interval_s=interval_s
  )
  server.endless_answers.clear()
  server.received.clear()
  return server


async def _prepare(env) -> None:
  """Fills the retry budget, and waits until earlier failures are forgotten."""
  env.servers["i-1"].behaviour = server_lib.Behaviour(
      events=env.servers["i-2"].behaviour.events
  )
  await test_gateway.fill_retry_budget(env)
  rows = env.gateway.directory.endpoints.rows.values()
  await env.wait_until(lambda: not any(row.failures for row in rows))


class _EndlessStream:
  """A connection on which an answer without end arrives at full speed."""

  def __init__(self, kind: str) -> None:
    request = server_lib.ReceivedRequest("GET", "/", {"request-id": "r"}, b"")
    first, again = server_lib.endless_bytes(kind, request)
    self._first, self._again = first, again * (_FED_BYTES // len(again))

  async def receive(self, max_bytes: int) -> bytes:
    """Returns the next bytes."""
    del max_bytes
    data, self._first = self._first or self._again, b""
    return data

  async def send(self, data: bytes) -> None:
    """Accepts the request."""


async def _read_without_end(kind: str) -> None:
  """Reads an answer as the forwarder does, until it is broken off."""
  exchange = exchange_lib.Exchange(
      connection_pool.ConnectionPool(clock_lib.SystemClock()),
      connection_pool.Connection("e:1", _EndlessStream(kind)),
      b"GET",
      b"/",
      [(b"host", b"e")],
      b"",
  )
  parser = streams.EventParser()
  with contextlib.suppress(errors.InvalidResponseError, ValueError):
    head = await exchange.start(headers.Dialect().decode_response, "r")
    if head.not_run:
      await exchange.drain()
    elif head.is_event_stream:
      with anyio.move_on_after(_CPU_WINDOW_S):
        async for data in exchange.body():
          parser.feed(data)
    else:
      await exchange.read_body(_MAX_BYTES)


class EndlessAnswerTest(testtools.TestCase):

  async def _check_served(self, env, kind, interval_s, path, **more):
    """Checks that requests are served, and that all such answers are closed."""
    server = _set(env, kind, interval_s)
    statuses = []
    for number in range(60):
      if number >= _MIN_CALLS and server.received:
        break
      response = await env.call(
          path, f"{kind}-{interval_s}-{number}", deadline_ms="4000", **more
      )
      statuses.append((response.status, response.is_complete))
    what = (kind, interval_s)
    self.assertEqual([(200, True)] * len(statuses), statuses, what)
    self.assertNotEqual([], server.received, what)
    await env.wait_until(
        lambda: len(server.endless_answers) == len(server.received)
    )
    for answer in server.endless_answers:
      self.assertTrue(answer.took_s < _CLOSED_S, (what, answer))
      self.assertTrue(answer.sent < _MAX_BYTES, (what, answer))

  async def _check_kinds(self, env, kinds, path, **more):
    for kind in kinds:
      for interval_s in (0.0, _SLOW_S):
        await _prepare(env)
        await self._check_served(env, kind, interval_s, path, **more)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_heads_without_end(self, env):
    """Guards against a request that waits for the end of a head."""
    await self._check_kinds(env, _HEADS, "/look/a")

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_bodies_without_end(self, env):
    """Guards against a request that waits for the end of a body."""
    await self._check_kinds(env, _BODIES, "/look/a")

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_refusals_without_end(self, env):
    """Guards against waiting for the end of an answer that ran nothing."""
    await self._check_kinds(env, _REFUSALS, "/look/a")
    await self._check_kinds(env, _REFUSALS, "/book/a")

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_streams_without_events(self, env):
    """Guards against a stream that is kept for bytes that are no event."""
    for server in env.servers.values():
      server.behaviour.events = 2
    await self._check_kinds(env, _STREAMS, "/text/a", **_USAGE)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_bytes_that_are_no_answer_are_closed_at_once(self, env):
    """Guards against waiting for the deadline where no answer can come."""
    for kind in ("garbage", "blank"):
      server = _set(env, kind, _SLOW_S)
      response = await env.call("/book/a", f"r-{kind}", deadline_ms="4000")
      self.assertEqual(502, response.status)
      await env.wait_until(lambda s=server: s.endless_answers)
      self.assertTrue(server.endless_answers[0].took_s < _CLOSED_S)

  def test_processor_time_of_one_answer_is_bounded(self):
    """Guards against a router that parses an answer for as long as it comes."""
    for kind in (*_HEADS, *_BODIES, *_REFUSALS, *_STREAMS):
      cpu_s = time.process_time()
      anyio.run(_read_without_end, kind)
      took_s = time.process_time() - cpu_s
      self.assertTrue(took_s < _MAX_CPU_S, (kind, took_s))

  @processcase.in_environment()
  async def test_events_that_do_not_end(self, env):
    """Guards against events that nobody counts and that fill the memory."""
    env.router.settings["limits"]["memory_mb"] = 150
    env.router.start()
    await env.router.wait_until_ready()
    env.server.behaviour = server_lib.Behaviour(
        events=1, unfinished_event_bytes=250_000
    )
    most_mb = 0.0
    async with anyio.create_task_group() as tasks:
      for number in range(400):
        tasks.start_soon(env.call, "/once/a", f"r{number}")
        await anyio.sleep(0.005)
      for _ in range(20):
        most_mb = max(most_mb, env.router.memory_mb)
        await anyio.sleep(0.05)
      tasks.cancel_scope.cancel()
    self.assertTrue(len(env.server.received) > 100, len(env.server.received))
    self.assertTrue(most_mb < _MAX_PROCESS_MB, most_mb)

  @test_gateway.in_environment(servers=_SERVERS)
  async def test_others_are_served_beside_many_of_them(self, env):
    """Guards against a router that is kept busy, or whose memory runs full."""
    for kind in ("body", "small-chunks", "informational", "event"):
      await _prepare(env)
      _set(env, kind)
      gc.collect()
      tracemalloc.start()
      callers = platformcase.Callers(env, [env.gateway], 20.0)
      path = "/text/a" if kind == "event" else "/look/a"
      with anyio.move_on_after(20):
        await callers.run(2.0, path)
      growth = tracemalloc.get_traced_memory()[1]
      tracemalloc.stop()
      self.assertTrue(growth < _MAX_GROWTH_BYTES, (kind, growth))
      served = callers.served([env.gateway])
      self.assertTrue(served >= _MIN_SERVED, (kind, callers.statuses))
