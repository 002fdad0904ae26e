"""TCP connections that keep no bytes in the process.

A stream of asyncio reads on while nobody receives, and keeps what arrives. Here
bytes are read once they are asked for, and sending ends once the system has
taken all of them, so that what is not read stays with the peer.
"""

from collections.abc import Mapping
import contextlib
import errno
import ipaddress
import os
import socket
from typing import Any

import anyio
from anyio import abc
from anyio import lowlevel

_RECEIVE_BYTES = 65_536


class TcpStream(abc.ByteStream):
  """One TCP connection.

  Args:
    sock: the connected socket, which the stream owns.
  """

  def __init__(self, sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    self._socket = sock
    self._is_closed = False
    self._has_failed = False
    """Whether the system has reported an error of the connection. It reports each
    only once, to sending or receiving, and an orderly end afterwards."""
    self._unsent = memoryview(b"")
    """Bytes that were passed to `send` and not taken by the system."""
    self._send_lock = anyio.Lock(fast_acquire=True)
    self._has_waited = True
    """Whether the last call of `receive` had to wait for its bytes."""

  @property
  def extra_attributes(self) -> Mapping[Any, Any]:
    """The socket and its addresses."""
    return {
        abc.SocketAttribute.raw_socket: lambda: self._socket,
        abc.SocketAttribute.local_address: self._socket.getsockname,
        abc.SocketAttribute.remote_address: self._socket.getpeername,
    }

  async def receive(self, max_bytes: int = _RECEIVE_BYTES) -> bytes:
    """Returns the next bytes.

    Raises:
      anyio.EndOfStream: the peer has ended the connection.
      anyio.BrokenResourceError: the connection failed, now or before.
      anyio.ClosedResourceError: `aclose` was called.
    """
    if self._has_waited:
      await lowlevel.checkpoint_if_cancelled()
    else:
      # Lets other tasks run, before bytes are taken that a cancellation loses.
      await lowlevel.checkpoint()
    self._has_waited = False
    while True:
      try:
        data = self._socket.recv(max_bytes)
        break
      except BlockingIOError:
        await self._wait_until_readable()
        self._has_waited = True
      except OSError as exc:
        raise self._error() from exc
    if data:
      return data
    if self._has_failed:
      raise anyio.BrokenResourceError
    raise anyio.EndOfStream

  async def _wait_until_readable(self) -> None:
    """Waits for bytes; meanwhile sends what a cancelled `send` has left.

    A peer may respond before it has received all, and need the rest to go on.
    """
    if not self._unsent:
      await anyio.wait_readable(self._socket)
      return
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._send_rest)
      with contextlib.suppress(anyio.ClosedResourceError):
        await anyio.wait_readable(self._socket)
      tasks.cancel_scope.cancel()

  async def _send_rest(self) -> None:
    # `receive` raises the error after the bytes that have arrived.
    with contextlib.suppress(
        anyio.BrokenResourceError, anyio.ClosedResourceError
    ):
      async with self._send_lock:
        await self._flush()

  async def send(self, item: bytes) -> None:
    """Sends all bytes; returns once the system has taken them.

    If it is cancelled, the rest is sent while bytes are waited for.

    Raises:
      anyio.BrokenResourceError: the connection failed.
      anyio.ClosedResourceError: `aclose` was called.
    """
    await lowlevel.checkpoint_if_cancelled()
    async with self._send_lock:
      rest = self._unsent
      self._unsent = memoryview(b"".join((rest, item)) if rest else item)
      has_waited = await self._flush()
    if not has_waited:
      await lowlevel.cancel_shielded_checkpoint()

  async def _flush(self) -> bool:
    """Sends what was not sent yet; returns whether it had to wait."""
    has_waited = False
    while self._unsent:
      try:
        self._unsent = self._unsent[self._socket.send(self._unsent) :]
      except BlockingIOError:
        await anyio.wait_writable(self._socket)
        has_waited = True
      except OSError as exc:
        self._unsent = memoryview(b"")
        raise self._error() from exc
    return has_waited

  async def send_eof(self) -> None:
    """Ends the sent bytes; the connection can still be received from."""
    with contextlib.suppress(OSError):
      self._socket.shutdown(socket.SHUT_WR)

  async def aclose(self) -> None:
    """Closes the connection at once."""
    if not self._is_closed:
      self._is_closed = True
      anyio.notify_closing(self._socket)
      self._socket.close()
    await lowlevel.checkpoint()

  def _error(self) -> Exception:
    if self._is_closed:
      return anyio.ClosedResourceError()
    self._has_failed = True
    return anyio.BrokenResourceError()


async def accept(listener: socket.socket) -> TcpStream:
  """Waits for a connection at a listening socket, which must not block.

  Raises:
    OSError: no connection can be accepted.
  """
  await lowlevel.checkpoint()
  while True:
    try:
      sock, _ = listener.accept()
      return TcpStream(sock)
    except BlockingIOError:
      await anyio.wait_readable(listener)


def accept_waiting(listener: socket.socket) -> list[TcpStream]:
  """Returns the connections that wait at a listening socket.

  Closing the socket would reset them.
  """
  streams = []
  with contextlib.suppress(OSError):
    while True:
      streams.append(TcpStream(listener.accept()[0]))
  return streams


async def connect(host: str, port: int) -> TcpStream:
  """Opens a connection.

  Raises:
    OSError: the connection failed.
  """
  family, address = await _resolve(host, port)
  sock = socket.socket(family, socket.SOCK_STREAM)
  try:
    sock.setblocking(False)
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
      await anyio.wait_writable(sock)
      code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
      raise OSError(code, os.strerror(code))
    return TcpStream(sock)
  except BaseException:
    sock.close()
    raise


async def _resolve(host: str, port: int) -> tuple[int, Any]:
  """Returns the address family and the address of a host."""
  try:
    version = ipaddress.ip_address(host).version
  except ValueError:
    found = await anyio.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return found[0][0], found[0][4]
  family = socket.AF_INET if version == 4 else socket.AF_INET6
  return family, (host, port)
