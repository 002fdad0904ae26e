"""A UDP socket that sends and receives without waking a task.

With `anyio.create_udp_socket` each datagram takes two or three more turns of
the event loop, each of which is a system call: a lock and a checkpoint to send
it, a queue and an event to receive it.
"""

import asyncio
from collections.abc import Callable
import logging

logger = logging.getLogger(__name__)

_MAX_BUFFERED_BYTES = 1_000_000
"""Bytes waiting for a full socket from which further datagrams are dropped."""

Receiver = Callable[[bytes, tuple[str, int]], None]
"""Handles a datagram's content and its sender's address and port."""


class UdpSocket(asyncio.DatagramProtocol):
  """An open UDP socket; an async context manager that closes it.

  Args:
    receiver: called for each datagram, from the event loop.
  """

  def __init__(self, receiver: Receiver) -> None:
    self._receiver = receiver
    self._transport: asyncio.DatagramTransport | None = None
    self._ended: asyncio.Future[None] = (
        asyncio.get_running_loop().create_future()
    )

  def connection_made(self, transport: asyncio.DatagramTransport) -> None:
    """Called by the event loop once the socket is open."""
    self._transport = transport

  def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
    """Called by the event loop for each datagram."""
    try:
      self._receiver(data, addr)
    except Exception as exc:  # noqa: BLE001  raised by `wait_until_closed`
      if not self._ended.done():
        self._ended.set_exception(exc)

  def error_received(self, exc: Exception) -> None:
    """Called by the event loop if a datagram was not sent."""
    logger.debug("datagram not sent: %r", exc)

  def connection_lost(self, exc: Exception | None) -> None:
    """Called by the event loop once the socket is closed."""
    if self._ended.done():
      return
    if exc is None:
      self._ended.set_result(None)
    else:
      self._ended.set_exception(exc)

  def send(self, data: bytes, host: str, port: int) -> None:
    """Sends a datagram, or drops it if too many wait for the socket.

    Raises:
      OSError, ValueError: the address is invalid.
    """
    transport = self._transport
    if transport is None or transport.is_closing():
      return
    if transport.get_write_buffer_size() <= _MAX_BUFFERED_BYTES:
      transport.sendto(data, (host, port))

  async def wait_until_closed(self) -> None:
    """Waits until the socket is closed.

    Raises:
      Exception: the one that `receiver` raised, or that closed the socket.
    """
    await self._ended

  async def __aenter__(self) -> "UdpSocket":
    return self

  async def __aexit__(self, *exc_info: object) -> None:
    self._ended.cancel()
    if self._transport is not None:
      self._transport.close()


async def open_socket(host: str, port: int, receiver: Receiver) -> UdpSocket:
  """Opens a UDP socket.

  Args:
    host: the local address.
    port: the local port.
    receiver: called for each datagram.

  Raises:
    OSError: the port is not free.
  """
  loop = asyncio.get_running_loop()
  _, protocol = await loop.create_datagram_endpoint(
      lambda: UdpSocket(receiver), local_addr=(host, port)
  )
  return protocol
