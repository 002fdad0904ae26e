"""A pool of connections to endpoints, the store and other routers."""

import collections
import dataclasses
import math

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


@dataclasses.dataclass
class Connection:
  """A pooled connection, used by one request at a time."""

  address: str
  stream: abc.SocketStream
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
      self, address: str, timeout_s: float, force_new: bool = False
  ) -> Connection:
    """Returns an idle connection to `address` that looks usable, or a new one.

    Args:
      address: `HOST:PORT`.
      timeout_s: timeout of opening a new connection, in seconds.
      force_new: whether to open a new connection even if one is idle.

    Raises:
      errors.EndpointUnreachableError: no connection could be opened.
    """
    while not force_new and (connection := self._pop(address)) is not None:
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
      stream = await sockets.connect(address, timeout_s)
    except OSError as exc:
      raise errors.EndpointUnreachableError(f"{address}: {exc!r}") from exc
    self.open_counts[address] += 1
    self.opened += 1
    return Connection(address, stream)

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
    idle = self._idle.setdefault(connection.address, collections.deque())
    if keep_s <= 0 or len(idle) >= _MAX_IDLE_PER_ADDRESS:
      await self.discard(connection)
      return
    connection.used = True
    connection.idle_until = self._clock.monotonic() + keep_s
    idle.append(connection)

  async def discard(self, connection: Connection) -> None:
    """Closes a connection without returning it to the pool."""
    self.open_counts[connection.address] -= 1
    if not self.open_counts[connection.address]:
      del self.open_counts[connection.address]
    await connection.close()

  async def close_address(self, address: str) -> None:
    """Closes the idle connections to `address`."""
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
