"""Emulated load balancer, and network links of the hosts behind it.

The balancer maps each caller to one host by a hash, as long as the host's
readiness checks succeed. Open connections stay with their host.
"""

from collections.abc import Callable, Mapping
import zlib

import anyio
from anyio import abc

_READ_BYTES = 16_384
_CHECK_INTERVAL_S = 1.0
_MAX_FAILED_CHECKS = 2
_QUEUE_S = 0.6
"""Longest time that bytes wait for a link; senders then wait themselves."""


class Link:
  """A host's network link; both directions carry the same rate.

  Args:
    bytes_per_s: the rate of each direction.
  """

  def __init__(self, bytes_per_s: float) -> None:
    self._bytes_per_s = bytes_per_s
    self._free_at = {"in": 0.0, "out": 0.0}

  async def carry_in(self, size: int) -> None:
    """Waits until bytes have arrived at the host."""
    await self._carry("in", size)

  async def carry_out(self, size: int) -> None:
    """Waits until bytes have left the host."""
    await self._carry("out", size)

  async def _carry(self, way: str, size: int) -> None:
    while self._free_at[way] > anyio.current_time() + _QUEUE_S:
      await anyio.sleep_until(self._free_at[way] - _QUEUE_S)
    begin = max(anyio.current_time(), self._free_at[way])
    self._free_at[way] = begin + size / self._bytes_per_s
    await anyio.sleep_until(self._free_at[way])


class Host:
  """A host behind the balancer.

  Args:
    address: host and port that serve callers.
    is_ready: the readiness check.
    link: the host's link; None: it is never full.
  """

  def __init__(
      self,
      address: tuple[str, int],
      is_ready: Callable[[], bool],
      link: Link | None = None,
  ) -> None:
    self.address = address
    self.is_ready = is_ready
    self.link = link
    self.failed_checks = 0
    self.opened = 0
    """Connections that were opened to it."""


class Balancer:
  """Opens callers' connections to hosts.

  Args:
    hosts: by name.
  """

  def __init__(self, hosts: Mapping[str, Host]) -> None:
    self.hosts = hosts

  async def run(self) -> None:
    """Checks at intervals whether hosts are ready, until cancelled."""
    while True:
      for host in self.hosts.values():
        host.failed_checks = 0 if host.is_ready() else host.failed_checks + 1
      await anyio.sleep(_CHECK_INTERVAL_S)

  def host_of(self, caller: str) -> Host:
    """Returns the host to which a caller's new connections go now."""
    in_rotation = [
        name
        for name, host in self.hosts.items()
        if host.failed_checks < _MAX_FAILED_CHECKS
    ]
    names = in_rotation or list(self.hosts)
    return self.hosts[max(names, key=lambda name: _hash(caller, name))]

  async def connect(self, caller: str) -> abc.ByteStream:
    """Opens a caller's new connection, which the caller closes."""
    host = self.host_of(caller)
    host.opened += 1
    stream = await anyio.connect_tcp(*host.address)
    return stream if host.link is None else LinkedStream(stream, host.link)


class LinkedStream(abc.ByteStream):
  """A connection to a host over its link, as the other end sees it.

  Args:
    inner: the connection.
    link: the host's link.
    is_host: whether this is the host's own end.
  """

  def __init__(
      self, inner: abc.ByteStream, link: Link, is_host: bool = False
  ) -> None:
    self._inner = inner
    to_host, from_host = link.carry_in, link.carry_out
    self._sent, self._received = to_host, from_host
    if is_host:
      self._sent, self._received = from_host, to_host

  @property
  def extra_attributes(self):
    """Those of the connection itself."""
    return self._inner.extra_attributes

  async def send(self, item: bytes) -> None:
    """Sends bytes as the link carries them."""
    await self._sent(len(item))
    await self._inner.send(item)

  async def receive(self, max_bytes: int = _READ_BYTES) -> bytes:
    """Receives bytes once the link has carried them."""
    data = await self._inner.receive(max_bytes)
    await self._received(len(data))
    return data

  async def send_eof(self) -> None:
    """Ends the sent bytes."""
    await self._inner.send_eof()

  async def aclose(self) -> None:
    """Closes the connection."""
    await self._inner.aclose()


def _hash(caller: str, host: str) -> int:
  return zlib.crc32(f"{caller}/{host}".encode())
