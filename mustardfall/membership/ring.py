"""A consistent-hash ring of routers that is cheap to change.

Its points are those of ketama: 160 for each router, from the MD5 of its name.
The points of an added router are merged in. When a fleet starts, its members
register one by one, and rebuilding the ring each time would cost every router
seconds of processor time.
"""

import bisect
from collections.abc import Iterable, Iterator
import hashlib
import struct

_DIGESTS_PER_ROUTER = 40
"""Number of digests for each router; each gives four points."""
_DIGEST_POINTS = struct.Struct("<4I")


class Ring:
  """Maps a key to routers, in the order of their points on the ring."""

  def __init__(self) -> None:
    self._points: dict[str, list[int]] = {}
    """Each router's points, sorted."""
    self._names: dict[int, str] = {}
    """The router at each point; if several collide, the first by name."""
    self._collisions: dict[int, list[str]] = {}
    """The routers, sorted by name, of each point that several have."""
    self._sorted_points: list[int] = []

  def set(self, names: Iterable[str]) -> None:
    """Adds and removes routers, so that the ring holds exactly `names`."""
    wanted = set(names)
    removed = self._points.keys() - wanted
    if removed:
      self._remove(removed)
    added = wanted - self._points.keys()
    if added:
      self._add(added)

  def _remove(self, names: Iterable[str]) -> None:
    freed = []
    for name in names:
      for point in self._points.pop(name):
        colliding = self._collisions.get(point)
        if colliding is None:
          del self._names[point]
          freed.append(point)
          continue
        colliding.remove(name)
        self._names[point] = colliding[0]
        if len(colliding) == 1:
          del self._collisions[point]
    self._sorted_points = _without(self._sorted_points, sorted(freed))

  def _add(self, names: Iterable[str]) -> None:
    new = []
    for name in names:
      self._points[name] = _points(name)
      for point in self._points[name]:
        other = self._names.setdefault(point, name)
        if other is name:
          new.append(point)
          continue
        colliding = self._collisions.setdefault(point, [other])
        bisect.insort(colliding, name)
        self._names[point] = colliding[0]
    # Both parts are sorted, so that the sort only has to merge them.
    self._sorted_points = sorted(self._sorted_points + sorted(new))

  def find(self, key: str, count: int) -> list[str]:
    """Returns the first `count` distinct routers on the ring after a key.

    Returns all routers if there are no more than `count`.
    """
    names: dict[str, None] = {}
    for name in self._names_after(key):
      names[name] = None
      if len(names) == count:
        break
    return list(names)

  def _names_after(self, key: str) -> Iterator[str]:
    """Yields the router at each point, starting after the hash of a key."""
    ring = self._sorted_points
    start = bisect.bisect_right(ring, _hash(key))
    for offset in range(len(ring)):
      yield self._names[ring[(start + offset) % len(ring)]]


def _without(points: list[int], removed: list[int]) -> list[int]:
  """Returns `points` without those in `removed`; both are sorted."""
  kept: list[int] = []
  start = 0
  for point in removed:
    end = bisect.bisect_left(points, point, start)
    kept += points[start:end]
    start = end + 1
  return kept + points[start:]


def _digest(text: str) -> bytes:
  return hashlib.md5(text.encode(), usedforsecurity=False).digest()


def _hash(key: str) -> int:
  return _DIGEST_POINTS.unpack(_digest(key))[0]


def _points(name: str) -> list[int]:
  """Returns a router's points on the ring, sorted."""
  return sorted(
      point
      for index in range(_DIGESTS_PER_ROUTER)
      for point in _DIGEST_POINTS.unpack(_digest(f"{name}-{index}"))
  )
