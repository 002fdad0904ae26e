"""Datagrams are received in the event loop itself, without a task.

A fault of a handler must still end the receiving loop, so that it is logged and
the port is reopened; it was lost in the event loop otherwise.
"""

import anyio
import testtools

from mustardfall.bench import fleet
from mustardfall.util import udp


class UdpSocketTest(testtools.TestCase):

  def test_datagrams_arrive_with_their_sender(self):
    """Guards against datagrams that are left in the socket or lose their sender."""
    received = []

    async def go():
      ports = [fleet.free_port(), fleet.free_port()]

      def _receive(data, sender):
        received.append((data, sender))
        if len(received) == 3:
          done.set()

      done = anyio.Event()
      async with (
          await udp.open_socket("127.0.0.1", ports[0], _receive),
          await udp.open_socket("127.0.0.1", ports[1], _receive) as sender,
      ):
        for data in (b"a", b"b", b"c"):
          sender.send(data, "127.0.0.1", ports[0])
        with anyio.fail_after(5.0):
          await done.wait()
      return ports[1]

    port = anyio.run(go)
    expected = [(data, ("127.0.0.1", port)) for data in (b"a", b"b", b"c")]
    self.assertEqual(expected, sorted(received))

  def test_fault_of_the_receiver_ends_the_wait(self):
    """Guards against a handler's fault that nobody learns of."""

    def _receive(data, sender):
      raise ZeroDivisionError

    async def go():
      port = fleet.free_port()
      async with await udp.open_socket("127.0.0.1", port, _receive) as sock:
        sock.send(b"a", "127.0.0.1", port)
        with anyio.fail_after(5.0):
          await sock.wait_until_closed()

    self.assertRaises(ZeroDivisionError, anyio.run, go)

  def test_port_is_free_after_the_socket_is_closed(self):
    """Guards against a socket that is left open when the loop restarts."""

    async def go():
      port = fleet.free_port()
      for _ in range(2):
        async with await udp.open_socket("127.0.0.1", port, print) as sock:
          sock.send(b"", "127.0.0.1", port)
        await anyio.sleep(0.01)
        sock.send(b"dropped", "127.0.0.1", port)

    anyio.run(go)
