"""Servers whose answers are not valid HTTP: status, field names, chunks."""

import itertools
import time

import anyio
import testtools

from mustardfall import errors
from mustardfall import overhead
from mustardfall.emulator import malformed
from mustardfall.emulator import server as server_lib
from mustardfall.platform import headers
from mustardfall.proxy import connection_pool
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import heads
from mustardfall.proxy import http_client
from mustardfall.util import clock as clock_lib
from tests import httpcase
from tests import test_gateway

_MAX_CPU_S = 0.3
"""Processor time that the router may spend on one answer, or one request."""
_PATHS = ("/look/a", "/book/a", "/text/a")
_SIZES = (1_000_000, 1_000, 7)
"""Sizes of the pieces in which an answer arrives, bytes."""


class _Stream:
  """A connection on which an answer arrives in pieces."""

  def __init__(self, answer: bytes, size: int) -> None:
    starts = range(0, len(answer), size)
    self._pieces = [answer[start : start + size] for start in starts]

  async def receive(self, max_bytes: int) -> bytes:
    """Returns the next piece, of `max_bytes` at most."""
    if not self._pieces:
      raise anyio.EndOfStream
    piece = self._pieces.pop(0)
    if len(piece) > max_bytes:
      self._pieces.insert(0, piece[max_bytes:])
    return piece[:max_bytes]

  async def send(self, data: bytes) -> None:
    """Accepts the request."""

  async def aclose(self) -> None:
    """Closes the connection."""


async def _read(kind: str, size: int) -> bytes:
  """Returns the body of an answer, read as the forwarder does."""
  pool = connection_pool.ConnectionPool(clock_lib.SystemClock())
  stream = _Stream(malformed.encode(kind, "r"), size)
  connection = connection_pool.Connection("e:1", stream)
  exchange = exchange_lib.Exchange(
      pool, connection, b"GET", b"/", [(b"host", b"e")], b""
  )
  await exchange.start(headers.Dialect().decode_response, "r")
  return await exchange.read_body(10_000)


class ExchangeTest(testtools.TestCase):

  def test_invalid_answers(self):
    """Guards against an answer whose status, names or chunks are invalid."""
    for kind in malformed.KINDS:
      for size in _SIZES:
        with testtools.ExpectedException(
            errors.InvalidResponseError, msg=f"{kind} {size}"
        ):
          anyio.run(_read, kind, size)

  def test_invalid_trailers(self):
    """Guards against a body that is not the server's."""
    for kind in malformed.TRAILER_KINDS:
      for size in _SIZES:
        try:
          self.assertEqual(b"body", anyio.run(_read, kind, size), kind)
        except errors.InvalidResponseError:
          pass

  def test_processor_time(self):
    """Guards against one line that stops the process for seconds."""
    for kind in (*malformed.KINDS, *malformed.TRAILER_KINDS):
      for size in _SIZES[:2]:
        began_s = time.process_time()
        try:
          anyio.run(_read, kind, size)
        except errors.InvalidResponseError:
          pass
        took_s = time.process_time() - began_s
        self.assertTrue(took_s < _MAX_CPU_S, (kind, size, took_s))

  def test_section_in_pieces(self):
    """Guards against a fault that is missed at the border of two pieces."""
    for head in (
        b"a: b\r\n c: d\r\n\r\n",
        b"a: b\rc\r\n\r\n",
        b"a: \0\r\n\r\n",
    ):
      for size in range(1, len(head)):
        section = heads.Section()
        starts = range(0, len(head), size)
        faults = [section.find_fault(head[at : at + size]) for at in starts]
        self.assertTrue(any(faults), (head, size))

  def test_bytes_behind_a_section(self):
    """Guards against a request that is rejected for the bytes of its body."""
    section = heads.Section()
    for data in (b"a: b\r\n", b"\r\n\0", b"\0 \n \r"):
      self.assertEqual("", section.find_fault(data))


class GatewayTest(testtools.TestCase):

  @test_gateway.in_environment()
  async def test_invalid_answers_are_not_passed_on(self, env):
    """Guards against callers who get an answer that is none."""
    server = env.servers["i-1"]
    for kind, path in zip(malformed.KINDS, itertools.cycle(_PATHS)):
      server.behaviour = server_lib.Behaviour(malformed=kind)
      response = await env.call(path, f"r-{kind}")
      seen = (kind, path, response)
      self.assertTrue(response.status in (502, 503), seen)
      self.assertNotIn("response-signature", response.headers)
    server.behaviour = server_lib.Behaviour()

  @test_gateway.in_environment(servers=("i-1", "i-2", "i-3"))
  async def test_one_faulty_server(self, env):
    """Guards against answers that another answer's bytes were mixed into."""
    await test_gateway.fill_retry_budget(env)
    for kind in (*malformed.KINDS, *malformed.TRAILER_KINDS):
      env.servers["i-1"].behaviour = server_lib.Behaviour(malformed=kind)
      response = await env.call("/look/a", f"r-{kind}")
      if response.status == 200:
        bodies = [f"i-{n} /look/a".encode() for n in (2, 3)]
        if kind in malformed.TRAILER_KINDS:
          bodies.append(b"body")
        self.assertIn(response.body, bodies, kind)


class HttpClientTest(testtools.TestCase):

  async def _call(self, answer: bytes) -> http_client.Response | None:
    """Makes a call as to the store; returns None if it has no valid answer."""

    async def serve(stream):
      async with stream:
        await stream.receive()
        await stream.send(answer)

    pool = connection_pool.ConnectionPool(clock_lib.SystemClock())
    client = http_client.HttpClient(pool, _Overhead())
    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
      port = listener.extra(anyio.abc.SocketAttribute.local_port)
      tasks.start_soon(listener.serve, serve)
      try:
        return await client.call(f"127.0.0.1:{port}", "GET", "/", b"", 2.0)
      except errors.InvalidResponseError:
        return None
      finally:
        tasks.cancel_scope.cancel()

  def test_invalid_answers(self):
    """Guards against the same from the store and from other routers."""
    for kind in malformed.KINDS:
      response = anyio.run(self._call, malformed.encode(kind, "r"))
      self.assertIsNone(response, kind)


class _Overhead(overhead.Overhead):

  def __init__(self) -> None:
    pass

  def record(self, *args) -> None:
    """Counts nothing."""


class CallerTest(testtools.TestCase):

  async def _call(self, request: bytes) -> bytes:
    async def respond(request, body, responder):
      del request, body
      await responder.respond(200, [])

    async with httpcase.serving(respond) as port:
      return await httpcase.call(port, request)

  def test_blanks_in_a_head(self):
    """Guards against one request that stops the process for a second."""
    head = b"GET / HTTP/1.1\r\nhost: x\r\nx-a:" + b" " * 16_000
    chunked = (
        b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    trailers = chunked + b"0\r\nx-a:" + b" " * 16_000
    for request in (head, trailers):
      for end in (b"\0\r\n\r\n", b"\rx\r\n\r\n", b"\f\r\n\r\n"):
        began_s = time.process_time()
        answer = anyio.run(self._call, request + end)
        took_s = time.process_time() - began_s
        self.assertTrue(answer.startswith(b"HTTP/1.1 4"), answer[:100])
        self.assertTrue(took_s < _MAX_CPU_S, (end, took_s))

  def test_folded_lines(self):
    """Guards against fields that vanish in the value of another."""
    for blank in (b" ", b"\t"):
      head = b"GET / HTTP/1.1\r\nhost: x\r\n" + blank + b"x-a: b\r\n\r\n"
      answer = anyio.run(self._call, head)
      self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer[:100])
