"""What callers may hold of the process: connections and memory.

The host ends a process that takes more memory than it may, and with it all
requests at work; one that has no descriptor left reaches neither the store nor
an endpoint. So both are counted, and who finds no room is refused.
"""

import logging
import resource

import anyio

from mustardfall import settings

logger = logging.getLogger(__name__)

_BASE_PROCESS_BYTES = 72_000_000
"""Kept for the program itself, its tables and caches."""
_USABLE_MEMORY_SHARE = 0.85
"""Part of the host's limit that is planned with: allocators hold more than is
in use."""
_MIN_BYTES = 16_000_000
"""Room on the smallest hosts, where the above leaves less."""
_RESERVED_FILES = 400
"""Descriptors kept for the program's files (200 of them count as such), the
store, and other routers."""
_INTERNAL_CONNECTIONS = 150
"""Of those, for other routers' calls and the balancer's questions."""
_INTERNAL_BYTES = 24_000_000
"""Held for those, out of what is kept for the program itself."""
_RESERVED_FILES_SHARE = 0.3
"""The same where there are few, as a part of all."""
_REFUSED_CONNECTIONS_RATIO = 1.25
"""Times the connections that may be open up to which one more is told that it
is refused; each of these takes a descriptor for up to half a second."""
CONNECTION_BYTES = 16_384
"""Held by an idle connection: socket, buffers, a task that waits."""
REQUEST_OVERHEAD_BYTES = 65_536
"""Held by a request at work beside its bodies: tasks, parsers, a connection to
its endpoint, and what a caller who does not read leaves in buffers."""
BODIES_SHARE = 0.75
"""Part of the room that requests' bodies may fill, so that those without one
still find some."""
BODY_COPIES = 3
"""Times that a body is in memory at its peak: as received, as one piece, as
sent on."""


class ResourceLimiter:
  """Counts connections and bytes that are held for callers.

  Args:
    most_bytes: held at most.
    most_connections: open at most.
  """

  def __init__(self, max_bytes: float, max_connections: int) -> None:
    self._max_bytes = max_bytes
    self.max_connections = max_connections
    self.held_bytes = 0
    self.connections = 0
    self._freed = anyio.Event()

  @property
  def is_exhausted(self) -> bool:
    """Whether there is one connection too many, or none can be served."""
    if self.connections > self.max_connections:
      return True
    return not self.fits(REQUEST_OVERHEAD_BYTES)

  @property
  def is_refusal_limit_reached(self) -> bool:
    """Whether there are too many to tell each that there are."""
    return self.connections > self.max_connections * _REFUSED_CONNECTIONS_RATIO

  @property
  def log_fields(self) -> dict[str, int]:
    """What is held, for the log."""
    return {"connections": self.connections, "held_bytes": self.held_bytes}

  def new_allocation(self) -> "Allocation":
    """Returns what one connection holds, to be closed with it."""
    return Allocation(self)

  def fits(self, size: int, share: float = 1.0) -> bool:
    """Whether `size` more bytes may be held within a part of the room."""
    return self.held_bytes + size <= self._max_bytes * share

  def fits_when_empty(self, size: int) -> bool:
    """Whether `size` bytes would fit if nothing else were held."""
    return size <= self._max_bytes

  def adjust(self, size: int) -> None:
    """Counts `size` more bytes as held; fewer where it is negative."""
    self.held_bytes += size
    if size < 0:
      self._freed.set()
      self._freed = anyio.Event()

  async def wait(self) -> None:
    """Waits until somebody holds less."""
    await self._freed.wait()


class Allocation:
  """What one connection, or the request on it, holds; close it in the end."""

  def __init__(self, limiter: ResourceLimiter) -> None:
    self._resource_limiter = limiter
    self._bytes = 0
    self._is_connection = False
    self.evicted = False
    """Whether the connection was closed to make room for others."""

  def add_connection(self) -> None:
    """Counts a connection, which has been accepted already."""
    self._is_connection = True
    self._resource_limiter.connections += 1
    self._grow(CONNECTION_BYTES)

  def allocate(self, size: int, share: float = 1.0) -> bool:
    """Holds `size` more bytes; returns False, holding none, if they don't fit.

    Args:
      size: bytes.
      share: the part of the room that they must fit into.
    """
    if not self._resource_limiter.fits(size, share):
      return False
    self._grow(size)
    return True

  def _grow(self, size: int) -> None:
    self._bytes += size
    self._resource_limiter.adjust(size)

  def evict(self) -> None:
    """Holds nothing any more, in favour of others."""
    self.evicted = True
    self.close()

  def close(self) -> None:
    """Holds nothing any more; may be called again."""
    if self._is_connection:
      self._is_connection = False
      self._resource_limiter.connections -= 1
    self._grow(-self._bytes)


def new_caller_limiter(limits: settings.Limits) -> ResourceLimiter:
  """Returns the room that a host's limits leave for callers."""
  limiter = ResourceLimiter(_max_bytes(limits), _max_connections(limits))
  logger.info(
      "room for callers",
      extra={
          "memory_mb": limits.memory_mb,
          "bytes": _max_bytes(limits),
          "connections": _max_connections(limits),
      },
  )
  return limiter


def new_internal_limiter() -> ResourceLimiter:
  """Returns the room for other routers, the balancer and metrics."""
  return ResourceLimiter(_INTERNAL_BYTES, _INTERNAL_CONNECTIONS)


def _max_bytes(limits: settings.Limits) -> float:
  if not limits.memory_mb:
    return float("inf")
  return max(
      _MIN_BYTES,
      limits.memory_mb * 1e6 * _USABLE_MEMORY_SHARE - _BASE_PROCESS_BYTES,
  )


def _max_connections(limits: settings.Limits) -> int:
  """Returns how many connections callers may have open.

  Each request at work needs a second one, to its endpoint.
  """
  files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
  if limits.files:
    files = min(files, limits.files)
  reserved = min(_RESERVED_FILES, files * _RESERVED_FILES_SHARE)
  return int((files - reserved) / 2)
