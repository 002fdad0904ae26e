"""Tests of TCP connections that keep no bytes in the process."""

import socket
import struct

import anyio
from anyio import abc
import testtools

from mustardfall.util import tcp

_BUFFER_BYTES = 16_384
_SENT_BYTES = 20_000_000
_RAW_SOCKET = abc.SocketAttribute.raw_socket


class TcpStreamTest(testtools.TestCase):

  def _run(self, test):
    """Runs a test with a stream and the socket of its peer."""

    async def run():
      with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        with socket.socket() as peer, anyio.fail_after(10):
          peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
          peer.connect(listener.getsockname())
          peer.setblocking(False)
          stream = await tcp.accept(listener)
          async with stream:
            await test(stream, peer)

    anyio.run(run)

  async def _send_all(self, peer) -> int:
    """Sends until the connection takes no more; returns the bytes."""
    sent = 0
    while sent < _SENT_BYTES:
      try:
        sent += peer.send(b"x" * 65_536)
      except BlockingIOError:
        with anyio.move_on_after(0.2):
          await anyio.wait_writable(peer)
          continue
        break
    return sent

  def test_peer_that_never_stops_sending(self):
    """Guards against bytes that are read although nobody asked for them."""

    async def test(stream, peer):
      sent = await self._send_all(peer)
      self.assertTrue(sent < 10 * _BUFFER_BYTES, sent)
      self.assertEqual(b"x" * 10, await stream.receive(10))
      again = await self._send_all(peer)
      self.assertTrue(again < 10 * _BUFFER_BYTES, again)
      received = 10
      while received < sent + again:
        received += len(await stream.receive())
      self.assertEqual(sent + again, received)

    self._run(test)

  def test_cancelled_receive(self):
    """Guards against bytes that are lost when a receive is cancelled."""

    async def test(stream, peer):
      peer.setblocking(True)
      received = bytearray()
      for number in range(50):
        peer.send(b"%03d" % number)
        with anyio.CancelScope() as scope:
          scope.cancel()
          received += await stream.receive(2)
        with anyio.move_on_after(0.001 * (number % 3)):
          received += await stream.receive(2)
      while len(received) < 150:
        received += await stream.receive()
      self.assertEqual(b"".join(b"%03d" % n for n in range(50)), received)

    self._run(test)

  def test_cancelled_send_goes_on_while_bytes_are_waited_for(self):
    """Guards against a peer that responds early and misses the rest."""

    async def test(stream, peer):
      data = bytes(range(256)) * 10_000
      received = bytearray()

      async def read_and_respond():
        while len(received) < len(data):
          await anyio.wait_readable(peer)
          received.extend(peer.recv(50_000))
        peer.send(b"end")

      with anyio.move_on_after(0.05):
        await stream.send(data)
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_and_respond)
        self.assertEqual(b"end", await stream.receive())
      self.assertEqual(data, received)

    self._run(test)

  async def _receive_until_end(self, stream) -> tuple[bytes, type]:
    """Returns what is received, and the error that ends it."""
    received = bytearray()
    try:
      while True:
        received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError) as exc:
      return bytes(received), type(exc)

  def _reset_peer(self, peer) -> None:
    linger = struct.pack("ii", 1, 0)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    peer.close()

  def test_reset_that_a_send_reports(self):
    """Guards against a reset connection that seems to end in order."""

    async def test(stream, peer):
      peer.send(b"part")
      with anyio.move_on_after(0.02):
        await stream.send(b"x" * _SENT_BYTES)
      self._reset_peer(peer)
      await anyio.wait_readable(stream.extra(_RAW_SOCKET))
      with testtools.ExpectedException(anyio.BrokenResourceError):
        await stream.send(b"more")
      for _ in range(2):
        found = await self._receive_until_end(stream)
        self.assertEqual(anyio.BrokenResourceError, found[1])

    self._run(test)

  def test_reset_while_the_rest_is_sent(self):
    """Guards against the same where bytes are sent beside a receive."""

    async def test(stream, peer):
      with anyio.move_on_after(0.02):
        await stream.send(b"x" * _SENT_BYTES)
      peer.send(b"part")
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(self._reset_later, peer)
        received, error = await self._receive_until_end(stream)
      self.assertEqual(anyio.BrokenResourceError, error, received)

    for _ in range(20):
      self._run(test)

  async def _reset_later(self, peer) -> None:
    await anyio.sleep(0.005)
    self._reset_peer(peer)

  def test_orderly_end_after_all_was_sent(self):
    """Guards against an orderly end that is taken for a reset."""

    async def test(stream, peer):
      await stream.send(b"request")
      self.assertEqual(b"request", peer.recv(100))
      peer.send(b"response")
      peer.close()
      found = await self._receive_until_end(stream)
      self.assertEqual((b"response", anyio.EndOfStream), found)

    self._run(test)

  def test_peer_that_reads_slowly(self):
    """Guards against bytes that are lost, or sent twice, to a slow peer."""

    async def test(stream, peer):
      data = bytes(range(256)) * 4_000
      received = bytearray()

      async def read():
        while len(received) < len(data):
          await anyio.wait_readable(peer)
          received.extend(peer.recv(50_000))
          await anyio.sleep(0.002)

      async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await stream.send(data)
      self.assertEqual(data, received)

    self._run(test)

  def test_other_tasks_run_beside_a_busy_connection(self):
    """Guards against a connection that keeps the event loop to itself."""

    async def test(stream, peer):
      peer.send(b"x" * 1_000)
      turns = []

      async def take_turns():
        while True:
          turns.append(1)
          await anyio.sleep(0)

      async with anyio.create_task_group() as tasks:
        tasks.start_soon(take_turns)
        for _ in range(1_000):
          await stream.receive(1)
        tasks.cancel_scope.cancel()
      self.assertTrue(len(turns) >= 500, len(turns))

    self._run(test)

  def test_errors(self):
    """Guards against errors of the socket that callers do not expect."""

    async def test(stream, peer):
      await stream.send_eof()
      self.assertEqual(b"", peer.recv(1))
      peer.close()
      with testtools.ExpectedException(anyio.EndOfStream):
        await stream.receive()
      await stream.aclose()
      with testtools.ExpectedException(anyio.ClosedResourceError):
        await stream.receive()
      with testtools.ExpectedException(anyio.ClosedResourceError):
        await stream.send(b"x")

    self._run(test)

  def test_refused_connection(self):
    """Guards against a refused connection that looks like another failure."""

    async def run():
      with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        with testtools.ExpectedException(ConnectionRefusedError):
          await tcp.connect(*unused.getsockname())

    anyio.run(run)
