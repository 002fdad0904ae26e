"""Resource-based admission control: limits callers' connections and memory.

The host kills a process that exceeds its memory limit, and with it all requests
in flight. A process without free file descriptors can reach neither the store
nor an endpoint. So both are counted, and callers beyond the limits are refused.
"""

import logging
import os
import resource
from typing import NamedTuple

import anyio

from mustardfall import settings

logger = logging.getLogger(__name__)

_BASE_PROCESS_BYTES = 72_000_000
"""Memory reserved for the program itself, its tables and caches."""
_USABLE_MEMORY_SHARE = 0.85
"""Share of the host's memory limit that may be in use; allocators hold more
memory than the program uses."""
_HOST_MEMORY_SHARE = 0.5
"""Share of the host's memory that a process may take if no limit is set."""
_MIN_BYTES = 16_000_000
"""Minimum memory for callers, on hosts whose limit leaves less."""
_RESERVED_FILES = 400
"""File descriptors reserved for the program's own files (200 of them), the
store and other routers."""
_MIN_INTERNAL_CONNECTIONS = 4
"""Least connections of an internal service, for processes that have few
descriptors."""
_RESERVED_FILES_SHARE = 0.3
"""Upper limit of `_RESERVED_FILES` as a share of all descriptors, for processes
that have few."""
_REFUSED_CONNECTIONS_RATIO = 1.25
"""Multiple of the connection limit up to which further connections get a 503;
beyond it they are closed without a response. Sending a refusal takes a
descriptor for up to half a second."""
CONNECTION_BYTES = 32_768
"""Memory of an idle connection: a waiting task, its buffers, and the socket with
the end of a response that the peer has not acknowledged."""
REQUEST_OVERHEAD_BYTES = 65_536
"""Memory of a request in flight besides its bodies: tasks, parsers, the
connection to its endpoint, and the sockets' buffers, filled by a caller that
sends ahead and does not read."""
BODIES_SHARE = 0.75
"""Share of the memory that request bodies may take, so that requests without a
body can still be served."""
BODY_COPIES = 3
"""Number of copies of a body in memory at its peak: the received pieces, the
joined body, and the data being sent."""


class InternalShare(NamedTuple):
  """What an internal service may use, so that none takes what others need."""

  connections: int
  """Connections, part of `_RESERVED_FILES`."""
  max_bytes: int
  """Memory, part of `_BASE_PROCESS_BYTES`."""


ROUTERS_SHARE = InternalShare(140, 18_000_000)
"""For calls of other routers."""
READINESS_SHARE = InternalShare(40, 4_000_000)
"""For the load balancer's checks."""
METRICS_SHARE = InternalShare(8, 2_000_000)
"""For the metrics."""


class ResourceLimiter:
  """Counts the connections and the memory of callers against their limits.

  Args:
    max_bytes: the memory limit.
    max_connections: the limit on open connections.
  """

  def __init__(self, max_bytes: float, max_connections: int) -> None:
    self.max_bytes = max_bytes
    self.max_connections = max_connections
    self.held_bytes = 0
    self.connections = 0
    self._freed = anyio.Event()

  @property
  def is_exhausted(self) -> bool:
    """Whether the connection limit is exceeded or no further request fits."""
    if self.connections > self.max_connections:
      return True
    return not self.fits(REQUEST_OVERHEAD_BYTES)

  @property
  def is_refusal_limit_reached(self) -> bool:
    """Whether there are too many connections to send each refused one a 503."""
    return self.connections > self.max_connections * _REFUSED_CONNECTIONS_RATIO

  @property
  def log_fields(self) -> dict[str, int]:
    """Connections and memory in use, as fields of a log line."""
    return {"connections": self.connections, "held_bytes": self.held_bytes}

  def new_allocation(self) -> "Allocation":
    """Returns an allocation; the connection or request must close it."""
    return Allocation(self)

  def fits(self, size: int, share: float = 1.0) -> bool:
    """Whether `size` more bytes fit into a share of the memory limit."""
    return self.held_bytes + size <= self.max_bytes * share

  def fits_when_empty(self, size: int) -> bool:
    """Whether `size` bytes would fit if nothing else were allocated."""
    return size <= self.max_bytes

  def adjust(self, size: int) -> None:
    """Adds `size`, which may be negative, to the allocated bytes."""
    self.held_bytes += size
    if size < 0:
      self._freed.set()
      self._freed = anyio.Event()

  async def wait(self) -> None:
    """Waits until memory is freed."""
    await self._freed.wait()


class Allocation:
  """The resources of one connection, or of the request on it, until `close`."""

  def __init__(self, limiter: ResourceLimiter) -> None:
    self._resource_limiter = limiter
    self.size = 0
    """Bytes that are allocated."""
    self._is_connection = False

  def add_connection(self) -> None:
    """Counts a connection, which has already been accepted."""
    self._is_connection = True
    self._resource_limiter.connections += 1
    self._grow(CONNECTION_BYTES)

  def allocate(self, size: int, share: float = 1.0) -> bool:
    """Allocates `size` more bytes.

    Args:
      size: bytes.
      share: the share of the memory limit into which they must fit.

    Returns:
      False, without effect, if they do not fit.
    """
    if not self._resource_limiter.fits(size, share):
      return False
    self._grow(size)
    return True

  def resize(self, size: int) -> None:
    """Allocates `size` bytes altogether, which are in use already."""
    if size != self.size:
      self._grow(size - self.size)

  def _grow(self, size: int) -> None:
    self.size += size
    self._resource_limiter.adjust(size)

  def close(self) -> None:
    """Frees everything; may be called again."""
    if self._is_connection:
      self._is_connection = False
      self._resource_limiter.connections -= 1
    self._grow(-self.size)


def new_caller_limiter(limits: settings.Limits) -> ResourceLimiter:
  """Returns a limiter with what a host's limits leave for callers."""
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


def new_internal_limiter(
    limits: settings.Limits, share: InternalShare
) -> ResourceLimiter:
  """Returns the limiter of an internal service."""
  connections = share.connections * _reserved_files(limits) / _RESERVED_FILES
  return ResourceLimiter(
      share.max_bytes, max(_MIN_INTERNAL_CONNECTIONS, int(connections))
  )


def _max_bytes(limits: settings.Limits) -> float:
  limit_bytes = limits.memory_mb * 1e6
  if not limits.memory_mb:
    limit_bytes = _host_memory_bytes() * _HOST_MEMORY_SHARE
  return max(
      _MIN_BYTES, limit_bytes * _USABLE_MEMORY_SHARE - _BASE_PROCESS_BYTES
  )


def _host_memory_bytes() -> int:
  return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def _max_connections(limits: settings.Limits) -> int:
  """Returns how many connections callers may have open.

  Each request in flight needs a second connection, to its endpoint, and refused
  callers need some as well.
  """
  available = _max_files(limits) - _reserved_files(limits)
  return int(available / (1 + _REFUSED_CONNECTIONS_RATIO))


def _max_files(limits: settings.Limits) -> int:
  files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
  return min(files, limits.files) if limits.files else files


def _reserved_files(limits: settings.Limits) -> float:
  return min(_RESERVED_FILES, _max_files(limits) * _RESERVED_FILES_SHARE)
