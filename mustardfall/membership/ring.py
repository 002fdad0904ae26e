"""A consistent-hash ring over routers that is cheap to change.

The points of a ring as ketama lays them out: 160 a router, from the MD5 of its
name. A router that comes has its points merged in; as a fleet starts, members
register one by one, and a ring laid anew each time takes seconds of each.
"""

import bisect
from collections.abc import Iterable, Iterator
import hashlib
import struct

_KNOTS = 40
"""Digests taken for each router, each with four points."""
_POINTS = struct.Struct("<4I")


class Ring:
  """Routers by name, in the order in which they come up for a key."""

  def __init__(self) -> None:
    self._points: dict[str, list[int]] = {}
    """Each router's points, in order."""
    self._names: dict[int, str] = {}
    """The router at each point; where several meet, the first by name."""
    self._met: dict[int, list[str]] = {}
    """All routers of points where several meet, by name."""
    self._sorted: list[int] = []

  def set(self, names: Iterable[str]) -> None:
    """Has the ring hold just these routers."""
    wanted = set(names)
    gone = self._points.keys() - wanted
    if gone:
      self._remove(gone)
    come = wanted - self._points.keys()
    if come:
      self._add(come)

  def _remove(self, names: Iterable[str]) -> None:
    empty = []
    for name in names:
      for point in self._points.pop(name):
        met = self._met.get(point)
        if met is None:
          del self._names[point]
          empty.append(point)
          continue
        met.remove(name)
        self._names[point] = met[0]
        if len(met) == 1:
          del self._met[point]
    self._sorted = _without(self._sorted, sorted(empty))

  def _add(self, names: Iterable[str]) -> None:
    new = []
    for name in names:
      self._points[name] = _points(name)
      for point in self._points[name]:
        other = self._names.setdefault(point, name)
        if other is name:
          new.append(point)
          continue
        met = self._met.setdefault(point, [other])
        bisect.insort(met, name)
        self._names[point] = met[0]
    # The points before are in order, so that sorting merges the new ones in.
    self._sorted = sorted(self._sorted + sorted(new))

  def find(self, key: str, count: int) -> list[str]:
    """Returns the next `count` routers on the ring from a key, or all."""
    found: dict[str, None] = {}
    for name in self._from(key):
      found[name] = None
      if len(found) == count:
        break
    return list(found)

  def _from(self, key: str) -> Iterator[str]:
    """Yields the names at the ring's points, beginning at a key."""
    ring = self._sorted
    begin = bisect.bisect_right(ring, _hash(key))
    for number in range(len(ring)):
      yield self._names[ring[(begin + number) % len(ring)]]


def _without(points: list[int], gone: list[int]) -> list[int]:
  """Returns points without some of them, both in order."""
  kept: list[int] = []
  begin = 0
  for point in gone:
    end = bisect.bisect_left(points, point, begin)
    kept += points[begin:end]
    begin = end + 1
  return kept + points[begin:]


def _digest(text: str) -> bytes:
  return hashlib.md5(text.encode(), usedforsecurity=False).digest()


def _hash(key: str) -> int:
  return _POINTS.unpack(_digest(key))[0]


def _points(name: str) -> list[int]:
  """Returns a router's points on the ring, in order."""
  return sorted(
      point
      for knot in range(_KNOTS)
      for point in _POINTS.unpack(_digest(f"{name}-{knot}"))
  )
