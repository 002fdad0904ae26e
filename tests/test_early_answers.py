"""Answers without a length that break off while the request is being sent."""

import anyio
import testtools

from mustardfall import errors
from mustardfall.emulator import server as server_lib
from mustardfall.platform import headers
from mustardfall.proxy import connection_pool
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import tunnels
from mustardfall.util import clock as clock_lib
from mustardfall.util import tcp
from tests import test_gateway

_EXCHANGES = 60
_BODY = bytes(4_000_000)
_READ_BYTES = 1_000


async def _exchange(stream) -> bytes | None:
  """Returns the response to an upload, None if it did not arrive whole."""
  pool = connection_pool.ConnectionPool(clock_lib.SystemClock())
  connection = connection_pool.Connection("e:1", stream)
  pool.open_counts["e:1"] += 1
  exchange = exchange_lib.Exchange(
      pool,
      connection,
      b"POST",
      b"/book/a",
      [(b"host", b"e"), (b"request-id", b"r"), (b"expect-instance", b"i-1")],
      _BODY,
  )
  try:
    await exchange.start(headers.Dialect().decode_response, "r")
    return await exchange.read_body(10_000)
  except errors.InvalidResponseError:
    return None
  finally:
    await exchange.close()


class EarlyAnswerTest(testtools.TestCase):

  async def _check(self, env, connect) -> None:
    server = env.servers["i-1"]
    server.behaviour = server_lib.Behaviour(
        answer_after_bytes=_READ_BYTES, reset=True
    )
    answers = []
    with anyio.fail_after(25):
      for _ in range(_EXCHANGES):
        answers.append(await _exchange(await connect(server)))
    self.assertEqual(_EXCHANGES, server.early_answers)
    self.assertEqual([None] * _EXCHANGES, answers)

  @test_gateway.in_environment()
  async def test_reset_of_a_direct_connection(self, env):
    """Guards against a part of a response that is passed on as complete."""
    await self._check(env, lambda server: tcp.connect("127.0.0.1", server.port))

  @test_gateway.in_environment()
  async def test_reset_at_the_end_of_a_tunnel(self, env):
    """Guards against a reset that becomes an orderly end in a tunnel."""
    [router] = await env.add_routers(1)
    config = router.config
    address = f"{config.peer_listen.host}:{config.tunnel_port}"

    async def connect(server):
      return await tunnels.connect(
          address, f"127.0.0.1:{server.port}", "r", 1.0
      )

    await self._check(env, connect)
