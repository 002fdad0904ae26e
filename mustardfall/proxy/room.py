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

_OWN_BYTES = 72_000_000
"""Kept for the program itself, its tables and caches."""
_USABLE = 0.85
"""Part of the host's limit that is planned with: allocators hold more than is
in use."""
_LEAST_BYTES = 16_000_000
"""Room on the smallest hosts, where the above leaves less."""
_OWN_FILES = 400
"""Descriptors kept for the program's files (200 of them count as such), the
store, and other routers."""
_ROUTERS_CONNECTIONS = 150
"""Of those, for other routers' calls and the balancer's questions."""
_ROUTERS_BYTES = 24_000_000
"""Held for those, out of what is kept for the program itself."""
_OWN_FILES_SHARE = 0.3
"""The same where there are few, as a part of all."""
_TOLD = 1.25
"""Times the connections that may be open up to which one more is told that it
is refused; each of these takes a descriptor for up to half a second."""
CONNECTION_BYTES = 16_384
"""Held by an idle connection: socket, buffers, a task that waits."""
REQUEST_BYTES = 65_536
"""Held by a request at work beside its bodies: tasks, parsers, a connection to
its endpoint, and what a caller who does not read leaves in buffers."""
BODIES_SHARE = 0.75
"""Part of the room that requests' bodies may fill, so that those without one
still find some."""
COPIES = 3
"""Times that a body is in memory at its peak: as received, as one piece, as
sent on."""


class Room:
  """Counts connections and bytes that are held for callers.

  Args:
    most_bytes: held at most.
    most_connections: open at most.
  """

  def __init__(self, most_bytes: float, most_connections: int) -> None:
    self._most_bytes = most_bytes
    self.most_connections = most_connections
    self.held_bytes = 0
    self.connections = 0
    self._freed = anyio.Event()

  @property
  def is_over(self) -> bool:
    """Whether there is one connection too many, or none can be served."""
    if self.connections > self.most_connections:
      return True
    return not self.fits(REQUEST_BYTES)

  @property
  def is_far_over(self) -> bool:
    """Whether there are too many to tell each that there are."""
    return self.connections > self.most_connections * _TOLD

  @property
  def facts(self) -> dict[str, int]:
    """What is held, for the log."""
    return {"connections": self.connections, "held_bytes": self.held_bytes}

  def hold(self) -> "Holding":
    """Returns what one connection holds, to be closed with it."""
    return Holding(self)

  def fits(self, size: int, share: float = 1.0) -> bool:
    """Whether `size` more bytes may be held within a part of the room."""
    return self.held_bytes + size <= self._most_bytes * share

  def can_ever_fit(self, size: int) -> bool:
    """Whether `size` bytes would fit if nothing else were held."""
    return size <= self._most_bytes

  def count(self, size: int) -> None:
    """Counts `size` more bytes as held; fewer where it is negative."""
    self.held_bytes += size
    if size < 0:
      self._freed.set()
      self._freed = anyio.Event()

  async def wait(self) -> None:
    """Waits until somebody holds less."""
    await self._freed.wait()


class Holding:
  """What one connection, or the request on it, holds; close it in the end."""

  def __init__(self, room: Room) -> None:
    self._room = room
    self._bytes = 0
    self._is_connection = False
    self.gave_way = False
    """Whether the connection was closed to make room for others."""

  def connect(self) -> None:
    """Counts a connection, which has been accepted already."""
    self._is_connection = True
    self._room.connections += 1
    self._add(CONNECTION_BYTES)

  def take(self, size: int, share: float = 1.0) -> bool:
    """Holds `size` more bytes; returns False, holding none, if they don't fit.

    Args:
      size: bytes.
      share: the part of the room that they must fit into.
    """
    if not self._room.fits(size, share):
      return False
    self._add(size)
    return True

  def _add(self, size: int) -> None:
    self._bytes += size
    self._room.count(size)

  def give_way(self) -> None:
    """Holds nothing any more, in favour of others."""
    self.gave_way = True
    self.close()

  def close(self) -> None:
    """Holds nothing any more; may be called again."""
    if self._is_connection:
      self._is_connection = False
      self._room.connections -= 1
    self._add(-self._bytes)


def for_callers(limits: settings.Limits) -> Room:
  """Returns the room that a host's limits leave for callers."""
  room = Room(_most_bytes(limits), _most_connections(limits))
  logger.info(
      "room for callers",
      extra={
          "memory_mb": limits.memory_mb,
          "bytes": _most_bytes(limits),
          "connections": _most_connections(limits),
      },
  )
  return room


def for_routers() -> Room:
  """Returns the room for other routers, the balancer and metrics."""
  return Room(_ROUTERS_BYTES, _ROUTERS_CONNECTIONS)


def _most_bytes(limits: settings.Limits) -> float:
  if not limits.memory_mb:
    return float("inf")
  return max(_LEAST_BYTES, limits.memory_mb * 1e6 * _USABLE - _OWN_BYTES)


def _most_connections(limits: settings.Limits) -> int:
  """Returns how many connections callers may have open.

  Each request at work needs a second one, to its endpoint.
  """
  files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
  if limits.files:
    files = min(files, limits.files)
  kept = min(_OWN_FILES, files * _OWN_FILES_SHARE)
  return int((files - kept) / 2)
