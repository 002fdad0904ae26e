"""Responses without end from the store and from other routers."""

import contextlib
import tracemalloc

import anyio
import testtools

from mustardfall import errors
from mustardfall import overhead
from mustardfall.emulator import server as server_lib
from mustardfall.proxy import connection_pool
from mustardfall.proxy import http_client
from mustardfall.util import clock as clock_lib
from tests import processcase
from tests import test_gateway

_CALLS = 40
_MAX_GROWTH_BYTES = 40_000_000
_MAX_CALL_S = 6.0
_KINDS = (
    "garbage",
    "header",
    "headers",
    "informational",
    "informational-headers",
    "body",
    "close",
    "length",
    "extension",
    "trailers",
)
_MAX_PROCESS_MB = 120
_MEMORY_MB = 150


class _Overhead(overhead.Overhead):

  def __init__(self) -> None:
    pass

  def record(self, *args) -> None:
    """Counts nothing."""


class CallTest(testtools.TestCase):

  async def _call_often(self, kind: str) -> None:
    request = server_lib.ReceivedRequest("GET", "/", {}, b"")
    first, again = server_lib.endless_bytes(kind, request)

    async def serve(stream):
      with contextlib.suppress(anyio.BrokenResourceError):
        async with stream:
          await stream.receive()
          await stream.send(first)
          while True:
            await stream.send(again * 200)

    client = http_client.HttpClient(
        connection_pool.ConnectionPool(clock_lib.SystemClock()), _Overhead()
    )

    async def call(address):
      with testtools.ExpectedException(errors.InvalidResponseError):
        await client.call(address, "GET", "/", b"", 1.0)

    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
      port = listener.extra(anyio.abc.SocketAttribute.local_port)
      tasks.start_soon(listener.serve, serve)
      with anyio.fail_after(_MAX_CALL_S):
        async with anyio.create_task_group() as calls:
          for _ in range(_CALLS):
            calls.start_soon(call, f"127.0.0.1:{port}")
      tasks.cancel_scope.cancel()

  def test_memory_of_many_calls(self):
    """Guards against calls whose responses together take all memory."""
    for kind in _KINDS:
      tracemalloc.start()
      anyio.run(self._call_often, kind)
      growth = tracemalloc.get_traced_memory()[1]
      tracemalloc.stop()
      self.assertTrue(growth < _MAX_GROWTH_BYTES, (kind, growth))


class StoreTest(testtools.TestCase):

  @test_gateway.in_environment()
  async def test_callers_beside_an_endless_store(self, env):
    """Guards against callers who wait for a router that reads without end."""
    env.store.faults.failure_mode = "endless"
    for number in range(20):
      with anyio.fail_after(1.0):
        response = await env.call("/book/a", f"r{number}")
      self.assertEqual(200, response.status)
      await anyio.sleep(0.1)
    env.store.faults.failure_mode = ""
    await env.wait_until(lambda: env.gateway.kv.reachable)

  @processcase.in_environment()
  async def test_process_beside_an_endless_store(self, env):
    """Guards against a process that ends for the memory of such responses."""
    env.router.settings["limits"]["memory_mb"] = _MEMORY_MB
    env.router.start()
    await env.router.wait_until_ready()
    env.store.faults.failure_mode = "endless"
    most_mb = 0.0
    for number in range(40):
      response = await env.call("/book/a", f"r{number}")
      self.assertEqual(200, response.status)
      most_mb = max(most_mb, env.router.memory_mb)
      await anyio.sleep(0.1)
    self.assertTrue(most_mb < _MAX_PROCESS_MB, most_mb)
    env.store.faults.failure_mode = ""
    self.assertEqual(0, await env.router.stop(), env.router.log[-3000:])
