"""A pool of connections to endpoints, the store and other routers."""

import collections
from collections.abc import Awaitable, Callable
import dataclasses
import math
from typing import NamedTuple

import anyio
from anyio import abc

from mustardfall import errors
from mustardfall.util import clock as clock_lib
from mustardfall.util import sockets

_DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout of a connection whose server announced none. Servers close idle
connections after several seconds. A request sent while the server closes may
have run, as far as the sender can tell, so the pool closes first."""
_IDLE_MARGIN_S = 1.0
"""Subtracted from the idle timeout that the server announces: it is rounded to
whole seconds, and the next request takes time to arrive."""
_MAX_IDLE_PER_ADDRESS = 8
"""Most idle connections kept per address. A router seldom has more requests
than this at one endpoint, and each connection costs memory on both sides."""


_VIA = " via "


class Via(NamedTuple):
  """Another router through which connections to an address are opened."""

  router: str
  """Its name."""
  connect: Callable[[float], Awaitable[abc.ByteStream]]
  """Opens a connection; takes the timeout in seconds."""


@dataclasses.dataclass
class Connection:
  """A pooled connection, used by one request at a time."""

  address: str
  """`HOST:PORT`, and the router through which it is connected."""
  stream: abc.ByteStream
  via: str = ""
  """The name of that router; empty for a direct connection."""
  rest: bytes = b""
  """Bytes received after the end of the last response that was read."""
  idle_until: float = 0.0
  used: bool = False
  """Whether it has been released to the pool before."""

  async def close(self) -> None:
    """Closes at once, so that the server can abort its work on the request."""
    with anyio.CancelScope(shield=True):
      await anyio.aclose_forcefully(self.stream)


class ConnectionPool:
  """Keeps idle connections by address and bounds those that are open.

  Args:
    clock: the time source.
    max_open: number of open connections, idle ones included, from which a new
      one replaces an idle one.
  """

  def __init__(
      self, clock: clock_lib.Clock, max_open: float = math.inf
  ) -> None:
    self._clock = clock
    self._max_open = max_open
    self._idle: dict[str, collections.deque[Connection]] = {}
    self.open_counts: collections.Counter[str] = collections.Counter()
    """Number of open connections per address, idle ones included."""
    self.opened = 0

  async def acquire(
      self,
      address: str,
      timeout_s: float,
      force_new: bool = False,
      via: Via | None = None,
      receive_bytes: int | None = None,
  ) -> Connection:
    """Returns an idle connection to `address` that looks usable, or a new one.

    Args:
      address: `HOST:PORT`.
      timeout_s: timeout of opening a new connection, in seconds.
      force_new: whether to open a new connection even if one is idle.
      via: the router through which to connect; None to connect directly.
      receive_bytes: the receive buffer of a new direct connection; None: the
        system's default.

    Raises:
      errors.EndpointUnreachableError: no connection could be opened.
      errors.ExitUnavailableError: none could be opened through that router.
    """
    key = _key(address, via)
    while not force_new and (connection := self._pop(key)) is not None:
      if (
          self._clock.monotonic() < connection.idle_until
          and not sockets.is_readable(connection.stream)
      ):
        return connection
      # The connection is past its idle timeout, or readable: its server has
      # closed it or sent an unrequested response. It must not be reused.
      await self.discard(connection)
    await self._evict_idle()
    try:
      if via is not None:
        stream = await via.connect(timeout_s)
      else:
        stream = await sockets.connect(address, timeout_s)
        if receive_bytes is not None:
          sizes = sockets.BufferSizes(receive_bytes)
          sockets.set_buffer_sizes(stream, sizes)
    except OSError as exc:
      raise errors.EndpointUnreachableError(
          f"{address}: {exc!r}", sockets.is_refused(exc)
      ) from exc
    self.open_counts[key] += 1
    self.opened += 1
    return Connection(key, stream, via.router if via is not None else "")

  async def _evict_idle(self) -> None:
    """Closes idle connections while the number of open ones is at the limit.

    Connections in use are not closed: there are as many as requests, which
    `resource_limiter` bounds.
    """
    while self._idle and self.open_counts.total() >= self._max_open:
      address = next(iter(self._idle))
      connection = self._pop(address)
      if connection is not None:
        await self.discard(connection)

  def _pop(self, address: str) -> Connection | None:
    idle = self._idle.get(address)
    if not idle:
      return None
    connection = idle.pop()
    if not idle:
      del self._idle[address]
    return connection

  async def release(
      self, connection: Connection, idle_timeout_s: float | None
  ) -> None:
    """Returns a connection to the pool after a completely read response.

    Args:
      connection: the connection.
      idle_timeout_s: seconds for which the server keeps it idle; None if the
        server announced none.
    """
    keep_s = (
        _DEFAULT_IDLE_TIMEOUT_S
        if idle_timeout_s is None
        else idle_timeout_s - _IDLE_MARGIN_S
    )
    idle_count = len(self._idle.get(connection.address, ()))
    # The router at the other end of a tunnel may have announced its stop.
    is_spent = bool(connection.via) and sockets.is_readable(connection.stream)
    if keep_s <= 0 or is_spent or idle_count >= _MAX_IDLE_PER_ADDRESS:
      await self.discard(connection)
      return
    connection.used = True
    connection.idle_until = self._clock.monotonic() + keep_s
    idle = self._idle.setdefault(connection.address, collections.deque())
    idle.append(connection)

  async def discard(self, connection: Connection) -> None:
    """Closes a connection without returning it to the pool."""
    self.open_counts[connection.address] -= 1
    if not self.open_counts[connection.address]:
      del self.open_counts[connection.address]
    await connection.close()

  async def close_address(self, address: str) -> None:
    """Closes the idle connections to `address`, also through other routers."""
    keys = [key for key in self._idle if key.partition(_VIA)[0] == address]
    for connection in [c for key in keys for c in self._idle.pop(key)]:
      await self.discard(connection)

  async def close_direct(self, address: str) -> None:
    """Closes the idle connections to `address` that pass no other router."""
    for connection in self._idle.pop(address, ()):
      await self.discard(connection)

  async def close_expired(self) -> None:
    """Closes idle connections that are past their idle timeout."""
    now = self._clock.monotonic()
    expired = []
    # All are removed from the pool before the first is closed: closing yields
    # to requests, which could otherwise acquire one of them meanwhile.
    for address, idle in list(self._idle.items()):
      expired += [
          connection for connection in idle if now >= connection.idle_until
      ]
      unexpired = [
          connection for connection in idle if now < connection.idle_until
      ]
      if unexpired:
        self._idle[address] = collections.deque(unexpired)
      else:
        del self._idle[address]
    for connection in expired:
      await self.discard(connection)


def _key(address: str, via: Via | None) -> str:
  """Returns the key of the connections to an address, direct or not."""
  return address if via is None else f"{address}{_VIA}{via.router}"
