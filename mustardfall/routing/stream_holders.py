"""Chooses the routers that hold the record of a stream.

Any router can tell the holders from the stream's key and the list of routers,
by rendezvous hashing: each router scores each stream, and the best ones hold
it. A router that joins or leaves changes only the holders of streams that it
holds itself.
"""

from collections.abc import Iterable
import hashlib
import heapq
import operator
from typing import NamedTuple

KEY_BYTES = 8
_MULTIPLIER = 0x9E3779B97F4A7C15
"""An odd number near 2**64 divided by the golden ratio: the upper bits of its
multiples are spread evenly."""
_MASK = (1 << 64) - 1


class Router(NamedTuple):
  """A router that may hold records."""

  name: str
  datacentre: str
  region: str


class _Datacentre(NamedTuple):
  """The routers of a data centre, and the hashes of their names."""

  hashes: list[int]
  routers: list[Router]


class Holders:
  """Ranks the routers of a region for each stream."""

  def __init__(self) -> None:
    self._datacentres: dict[str, dict[str, _Datacentre]] = {}
    """The routers of each data centre, by region and data centre."""

  def set(self, routers: Iterable[Router]) -> None:
    """Replaces the list of routers."""
    self._datacentres = {}
    for router in routers:
      region = self._datacentres.setdefault(router.region, {})
      datacentre = region.setdefault(router.datacentre, _Datacentre([], []))
      datacentre.hashes.append(_hash(router.name))
      datacentre.routers.append(router)

  @property
  def regions(self) -> list[str]:
    """The regions with routers."""
    return list(self._datacentres)

  def rank(self, key: bytes, region: str, count: int) -> list[Router]:
    """Returns the first `count` routers of a region for a stream.

    The best of each data centre come first, in the order of their scores, so
    that as few copies as possible are lost with one data centre.

    Args:
      key: the stream's key, `KEY_BYTES` long.
      region: the region whose routers are ranked.
      count: the most routers to return.
    """
    datacentres = self._datacentres.get(region, {}).values()
    depth = max(1, -(-count // max(1, len(datacentres))))
    placed: list[tuple[int, int, Router]] = []
    number = int.from_bytes(key)
    for hashes, routers in datacentres:
      scores = [((number ^ h) * _MULTIPLIER) & _MASK for h in hashes]
      best = [max(scores)] if depth == 1 else heapq.nlargest(count, scores)
      for position, score in enumerate(best):
        placed.append((position, -score, routers[scores.index(score)]))
    placed.sort(key=operator.itemgetter(0, 1))
    return [router for _, _, router in placed[:count]]


def key_of(team: str, request: str) -> bytes:
  """Returns the key of the stream that a team's request began."""
  text = f"{team}\0{request}".encode()
  return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def _hash(name: str) -> int:
  digest = hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()
  return int.from_bytes(digest)
