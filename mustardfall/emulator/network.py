"""Emulated partitions between routers and servers within one process.

While `installed`, connections that a router opens to a server pass through a
link of the router's host, which a test cuts and heals. Other connections are
left alone.
"""

from collections.abc import Callable, Iterator
import contextlib
import contextvars
import enum
import errno
import socket
from unittest import mock

import anyio
from anyio import abc

from mustardfall.emulator import balancer as balancer_lib
from mustardfall.util import sockets

current_host: contextvars.ContextVar[str] = contextvars.ContextVar("host")
"""The router's host on which the current task runs; inherited by its tasks."""

_USER_TIMEOUT_S = 1.5
"""Time after which a silent connection fails, as the routers' sockets do."""


class Cut(enum.Enum):
  """How a link is cut."""

  HANG = "hang"
  """Nothing arrives, on open connections as on new ones."""
  RESET = "reset"
  """Open connections are reset, and new ones refused."""
  LIVE = "live"
  """Open connections live on, and new ones are refused."""


class Network:
  """The links of the routers' hosts to the servers.

  Args:
    is_server: whether an address is that of a server.
  """

  def __init__(self, is_server: Callable[[str], bool]) -> None:
    self._is_server = is_server
    self._connect = sockets.connect
    self._cuts: dict[str, Cut] = {}
    self._streams: dict[str, set[_LinkStream]] = {}
    self._healed = anyio.Event()
    self._links: dict[str, balancer_lib.Link] = {}

  @contextlib.contextmanager
  def installed(self) -> Iterator[None]:
    """Leads the process's connections through this network."""
    with mock.patch.object(sockets, "connect", self.connect):
      yield

  def cut(self, host: str, way: Cut) -> None:
    """Cuts a host's link to all servers."""
    self._cuts[host] = way
    if way is Cut.RESET:
      for stream in list(self._streams.get(host, ())):
        stream.reset()

  def limit(self, host: str, link: balancer_lib.Link) -> None:
    """Has a host's connections to servers pass its link."""
    self._links[host] = link

  def heal(self, host: str) -> None:
    """Ends a cut."""
    del self._cuts[host]
    self._healed.set()
    self._healed = anyio.Event()

  def is_silent(self, host: str) -> bool:
    """Whether nothing arrives over a host's link."""
    return self._cuts.get(host) is Cut.HANG

  async def wait_until_heard(self, host: str) -> None:
    """Waits until a host's link is no longer silent.

    Raises:
      anyio.BrokenResourceError: it was silent for too long.
    """
    with anyio.move_on_after(_USER_TIMEOUT_S):
      while self.is_silent(host):
        await self._healed.wait()
      return
    raise anyio.BrokenResourceError

  async def connect(self, address: str, timeout_s: float) -> abc.SocketStream:
    """Opens a connection; see `sockets.connect`."""
    host = current_host.get("")
    if not self._is_server(address):
      return await self._connect(address, timeout_s)
    way = self._cuts.get(host)
    if way is Cut.HANG:
      await anyio.sleep(timeout_s)
      raise TimeoutError
    if way is not None:
      raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
    stream = _LinkStream(self, host, await self._connect(address, timeout_s))
    self._streams.setdefault(host, set()).add(stream)
    link = self._links.get(host)
    if link is not None:
      return balancer_lib.LinkedStream(stream, link, is_host=True)
    return stream

  def forget(self, stream: "_LinkStream") -> None:
    """Removes a closed connection."""
    self._streams[stream.host].discard(stream)


class _LinkStream(abc.ByteStream):
  """A connection over a host's link.

  Args:
    network: tells whether the link is cut.
    host: the router's host.
    inner: the connection itself.
  """

  def __init__(
      self, network: Network, host: str, inner: abc.SocketStream
  ) -> None:
    self._network = network
    self.host = host
    self._inner = inner
    self._was_reset = False

  @property
  def extra_attributes(self):
    """Those of the connection itself."""
    return self._inner.extra_attributes

  async def receive(self, max_bytes: int = 65_536) -> bytes:
    """Receives as over the link."""
    try:
      data = await self._inner.receive(max_bytes)
    except (anyio.EndOfStream, anyio.ClosedResourceError) as exc:
      if self._was_reset:
        raise anyio.BrokenResourceError from exc
      raise
    await self._network.wait_until_heard(self.host)
    return data

  async def send(self, item: bytes) -> None:
    """Sends as over the link; what is sent into a silent link is lost."""
    if not self._network.is_silent(self.host):
      await self._inner.send(item)

  async def send_eof(self) -> None:
    """Ends the sent bytes."""
    await self._inner.send_eof()

  def reset(self) -> None:
    """Resets the connection under its user."""
    self._was_reset = True
    raw = self._inner.extra(abc.SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):  # it has ended already
      raw.shutdown(socket.SHUT_RDWR)

  async def aclose(self) -> None:
    """Closes the connection."""
    self._network.forget(self)
    await self._inner.aclose()
