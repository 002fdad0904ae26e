"""Connections to endpoints, the store and other routers, kept for reuse."""

import collections
import dataclasses
import math

import anyio
from anyio import abc

from mustardfall import errors
from mustardfall.util import clock as clock_lib
from mustardfall.util import sockets

_DEFAULT_IDLE_TIMEOUT_S = 4.0
"""How long an idle connection is kept when its server names no time.
Servers close idle ones after several seconds; a request that crosses such
a close may have run, as far as the sender can tell."""
_IDLE_MARGIN_S = 1.0
"""Kept this much shorter than the server says: it says whole seconds, and
the request takes time to arrive."""
_MAX_IDLE_PER_ADDRESS = 8
"""Idle connections kept per address; a router seldom has more requests
than this at one endpoint, and each costs memory on both sides."""


@dataclasses.dataclass
class Connection:
  """One connection, used by one request at a time."""

  address: str
  stream: abc.SocketStream
  rest: bytes = b""
  """Bytes received beyond the answers read so far."""
  idle_until: float = 0.0
  used: bool = False
  """Whether it has carried a request before."""

  async def close(self) -> None:
    """Closes at once, so that the server sees that nobody waits."""
    with anyio.CancelScope(shield=True):
      await anyio.aclose_forcefully(self.stream)


class ConnectionPool:
  """Connections by address.

  Args:
    clock: the time source.
    most: connections open at a time, idle ones included.
  """

  def __init__(
      self, clock: clock_lib.Clock, max_open: float = math.inf
  ) -> None:
    self._clock = clock
    self._max_open = max_open
    self._idle: dict[str, collections.deque[Connection]] = {}
    self.open: collections.Counter[str] = collections.Counter()
    """Connections per address, idle ones included."""
    self.opened = 0

  async def acquire(
      self, address: str, timeout_s: float, force_new: bool = False
  ) -> Connection:
    """Returns a connection to `address` that is thought to be sound.

    Args:
      address: `HOST:PORT`.
      timeout_s: how long a new connection may take, seconds.
      force_new: open a new one even if an idle one is there.

    Raises:
      errors.EndpointUnreachableError: no connection could be made.
    """
    while not force_new and (connection := self._pop(address)) is not None:
      if (
          self._clock.monotonic() < connection.idle_until
          and not sockets.is_readable(connection.stream)
      ):
        return connection
      # Closed by its server, past its time, or an answer that nobody
      # asked for is waiting on it: never to be used again.
      await self.discard(connection)
    await self._evict_idle()
    try:
      stream = await sockets.connect(address, timeout_s)
    except OSError as exc:
      raise errors.EndpointUnreachableError(f"{address}: {exc!r}") from exc
    self.open[address] += 1
    self.opened += 1
    return Connection(address, stream)

  async def _evict_idle(self) -> None:
    """Closes idle connections while too many are open.

    Those at work are as many as the requests, which are bounded elsewhere.
    """
    while self._idle and self.open.total() >= self._max_open:
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
    """Keeps a connection whose last answer ended cleanly."""
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
    """Closes a connection for good."""
    self.open[connection.address] -= 1
    if not self.open[connection.address]:
      del self.open[connection.address]
    await connection.close()

  async def close_address(self, address: str) -> None:
    """Closes the idle connections to `address`."""
    for connection in self._idle.pop(address, ()):
      await self.discard(connection)

  async def close_idle(self) -> None:
    """Closes idle connections that are past their time."""
    now = self._clock.monotonic()
    expired = []
    # All are taken off before the first is closed: closing lets requests run,
    # which would take others of them meanwhile.
    for address, idle in list(self._idle.items()):
      expired += [
          connection for connection in idle if now >= connection.idle_until
      ]
      kept = [connection for connection in idle if now < connection.idle_until]
      if kept:
        self._idle[address] = collections.deque(kept)
      else:
        del self._idle[address]
    for connection in expired:
      await self.discard(connection)
