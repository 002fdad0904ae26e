"""The open connections of a server, and what is held for their peers.

It closes connections of peers that take no response, and makes room for others
by closing those that hold most; see `eviction` for the decision.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import logging
import math

import anyio
from anyio import abc

from mustardfall import settings
from mustardfall.proxy import eviction
from mustardfall.proxy import resource_limiter as resource_limiter_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_CHECK_INTERVAL_S = 1.0
"""Time between two searches for peers that take nothing."""


@dataclasses.dataclass(eq=False)
class Row:
  """One open connection.

  Its scope is cancelled to close the connection.
  """

  stream: abc.ByteStream
  allocation: resource_limiter_lib.Allocation
  """Memory of the connection itself."""
  pipelined: resource_limiter_lib.Allocation
  """Memory of requests that were sent ahead."""
  request: resource_limiter_lib.Allocation
  """Memory of the request that is being read or served."""
  scope: anyio.CancelScope = dataclasses.field(
      default_factory=anyio.CancelScope
  )
  waiting: anyio.CancelScope | None = None
  """Ends the wait for a request; None: a request is being served."""
  is_new: bool = True
  """Whether it has brought no request."""
  idle_since: float = 0.0
  """When it began to wait for a request, monotonic seconds."""
  sending_since: float | None = None
  """When the peer last took a part of its response, monotonic seconds; None: no
  part waits to be sent."""
  unsent_bytes: int = 0
  """Bytes of the response that wait to be sent."""

  def free(self) -> None:
    """Frees all that is allocated."""
    for allocation in (self.allocation, self.pipelined, self.request):
      allocation.close()


class ConnectionTable:
  """The open connections of one server.

  Args:
    name: whom the server serves, for the log.
    resource_limiter: limits connections and memory.
    clock: the time source.
    config: limits of each connection.
  """

  def __init__(
      self,
      name: str,
      resource_limiter: resource_limiter_lib.ResourceLimiter,
      clock: clock_lib.Clock,
      config: settings.Connections,
  ) -> None:
    self._name = name
    self._resource_limiter = resource_limiter
    self._clock = clock
    self._config = config
    self._idle: dict[Row, None] = {}
    """Connections that wait for a request, longest waiting first."""
    self._holders: dict[Row, None] = {}
    """Connections with bytes sent ahead, or a response that is being sent."""
    self._pipelined_bytes = 0
    """Bytes sent ahead on all connections."""
    self.new_count = 0
    """Connections that have brought no request."""

  async def run(self) -> None:
    """Closes connections whose peers take nothing, until cancelled."""
    while True:
      await anyio.sleep(_CHECK_INTERVAL_S)
      self.close_stalled(self._config.send_timeout_s)

  def open(self, stream: abc.ByteStream) -> Row:
    """Adds a connection that was accepted."""
    limiter = self._resource_limiter
    allocations = [limiter.new_allocation() for _ in range(3)]
    row = Row(stream, *allocations)
    row.allocation.add_connection()
    self.new_count += 1
    return row

  def note_request(self, row: Row) -> None:
    """Records that a connection has brought a request."""
    if row.is_new:
      row.is_new = False
      self.new_count -= 1

  def remove(self, row: Row) -> None:
    """Removes a connection that has ended."""
    self.note_request(row)
    self._forget(row)
    row.free()

  def admit_connection(self, row: Row) -> bool:
    """Whether there is room for a connection, closing others as needed."""
    while self._resource_limiter.is_exhausted:
      if not self._close_largest(row):
        return False
    return True

  def allocate(
      self,
      row: Row,
      allocation: resource_limiter_lib.Allocation,
      size: int,
      share: float = 1.0,
  ) -> bool:
    """Allocates `size` more bytes, closing other connections as needed.

    Args:
      row: the connection for which they are allocated.
      allocation: one of its allocations.
      size: bytes.
      share: the share of the memory limit into which they must fit.

    Returns:
      False if they do not fit although no other connection may be closed.
    """
    while not allocation.allocate(size, share):
      if not self._close_largest(row):
        return False
    return True

  def note_pipelined(self, row: Row, size: int) -> None:
    """Records how many bytes a connection has sent ahead."""
    self._pipelined_bytes += size - row.pipelined.size
    row.pipelined.resize(size)
    if size:
      self._holders[row] = None
    elif row.sending_since is None:
      self._holders.pop(row, None)

  def may_read_ahead(self, row: Row) -> bool:
    """Whether more may be read of a connection whose request is served.

    If all connections together have sent too much ahead, the one that has sent
    most is closed.
    """
    if row.pipelined.size >= self._config.pipelined_bytes:
      return False
    limit = self._resource_limiter.max_bytes * self._config.pipelined_share
    while self._pipelined_bytes >= limit:
      rows = list(self._holders)
      index = eviction.find_largest_pipelined(self._holdings(rows))
      if index is None or rows[index] is row:
        return False
      self._evict(rows[index], "sends ahead")
    return True

  @contextlib.contextmanager
  def waiting_for_request(self, row: Row, timeout_s: float) -> Iterator[None]:
    """Limits the wait for a request; the connection may be closed meanwhile."""
    with anyio.move_on_after(timeout_s) as scope:
      row.waiting = scope
      row.idle_since = self._clock.monotonic()
      self._idle[row] = None
      try:
        yield
      finally:
        self._idle.pop(row, None)
        row.waiting = None

  def note_sending(self, row: Row, size: int) -> None:
    """Records that a part of a response is sent, `size` bytes being left."""
    row.sending_since = self._clock.monotonic()
    row.unsent_bytes = size
    self._holders[row] = None

  def note_sent(self, row: Row) -> None:
    """Records that nothing more waits to be sent."""
    row.sending_since = None
    row.unsent_bytes = 0
    if not row.pipelined.size:
      self._holders.pop(row, None)

  def end_waits(self) -> None:
    """Ends the wait for a further request of each connection."""
    for row in list(self._idle):
      if row.waiting is not None and not row.is_new:
        row.waiting.cancel()

  def close_stalled(self, timeout_s: float | None = None) -> None:
    """Closes connections whose peers have taken nothing for some time.

    Args:
      timeout_s: seconds; None: `stall_s` of the settings.
    """
    rows = list(self._holders)
    timeout_s = self._config.stall_s if timeout_s is None else timeout_s
    for index in eviction.find_stalled(self._holdings(rows), timeout_s):
      self._evict(rows[index], "reads nothing")

  def _close_largest(self, own: Row) -> bool:
    """Closes the connection that holds most.

    Returns:
      False if there is none, or it is `own`.
    """
    # All idle connections hold the same, so the longest waiting one is enough.
    rows = [*self._holders, *([next(iter(self._idle))] if self._idle else ())]
    index = eviction.find_largest(self._holdings(rows), self._config)
    if index is None or rows[index] is own:
      return False
    self._evict(rows[index], "holds most")
    return True

  def _holdings(self, rows: list[Row]) -> list[eviction.Holding]:
    now = self._clock.monotonic()
    holdings = []
    for row in rows:
      sending_since = now if row.sending_since is None else row.sending_since
      holding = eviction.Holding(
          idle_s=now - row.idle_since if row in self._idle else None,
          stalled_s=now - sending_since,
          pipelined_bytes=row.pipelined.size,
          unsent_bytes=row.unsent_bytes,
      )
      holdings.append(holding)
    return holdings

  def _evict(self, row: Row, reason: str) -> None:
    """Closes a connection; what it holds is free at once."""
    if row not in self._idle:
      self._log_eviction(row, reason)
    self._forget(row)
    row.free()
    row.scope.cancel()

  def _forget(self, row: Row) -> None:
    self._pipelined_bytes -= row.pipelined.size
    self._idle.pop(row, None)
    self._holders.pop(row, None)

  def _log_eviction(self, row: Row, reason: str) -> None:
    [holding] = self._holdings([row])
    limit = self._resource_limiter.max_bytes
    extra = {
        "serves": self._name,
        "peer": _peer_address(row.stream),
        "reason": reason,
        **holding._asdict(),
        "max_bytes": None if math.isinf(limit) else int(limit),
        **self._resource_limiter.log_fields,
    }
    logger.info("connection closed", extra=extra)


def _peer_address(stream: abc.ByteStream) -> str | None:
  """Returns `HOST:PORT` of a peer, None if it has disconnected."""
  try:
    address = stream.extra(abc.SocketAttribute.remote_address, None)
  except OSError:
    return None
  return None if address is None else f"{address[0]}:{address[1]}"
