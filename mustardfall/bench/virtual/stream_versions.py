"""Compares ways to know which software version began a stream.

Streams are under way when routers end and endpoints are replaced; a caller
whose stream breaks off comes back at any router that is left. Datagrams are
not simulated: what is counted is who has been told, and who can be asked.
"""

from collections.abc import Callable
import hashlib
import random
from typing import Any, NamedTuple

from mustardfall.routing import stream_holders

_REGION = "region"
_VERSIONS = ("v1", "v2", "v3")


class Day(NamedTuple):
  """A fleet, and what happens to it."""

  routers: int = 9
  datacentres: int = 3
  streams_per_router: int = 30
  """Streams under way when routers end."""
  killed: float = 1 / 3
  """Share of the routers that end at the same moment."""
  whole_datacentre: bool = False
  """Whether the routers of a data centre end instead."""
  lost: float = 0.005
  """Share of the datagrams that are lost."""
  sends: int = 2
  """How often a record is sent to a holder until it confirms."""
  versions: int = 1
  """Versions that are added between the begin and the resumption."""


class Result(NamedTuple):
  """What came of the streams of the routers that ended."""

  resumed: int
  known: int
  """Resumptions at the version that began the stream."""
  wrong: int
  """Resumptions at another version."""
  datagrams_per_stream: float
  datagrams_per_resumption: float
  writes_per_stream: float

  def summary(self) -> dict[str, Any]:
    """The figures, as shares of the resumptions."""
    return {
        "known": round(self.known / max(1, self.resumed), 4),
        "wrong": round(self.wrong / max(1, self.resumed), 4),
        "per_stream": round(self.datagrams_per_stream, 1),
        "per_resumption": round(self.datagrams_per_resumption, 1),
        "writes_per_stream": self.writes_per_stream,
    }


class _Fleet:
  """The routers of a day, and which of them end."""

  def __init__(self, day: Day, rng: random.Random) -> None:
    self.day = day
    self.rng = rng
    self.routers = [
        stream_holders.Router(f"r-{n}", f"dc-{n % day.datacentres}", _REGION)
        for n in range(day.routers)
    ]
    self.holders = stream_holders.Holders()
    self.holders.set(self.routers)
    self.ended = self._draw_ended()
    self.left = [r for r in self.routers if r not in self.ended]

  def _draw_ended(self) -> set[stream_holders.Router]:
    if self.day.whole_datacentre:
      return {r for r in self.routers if r.datacentre == "dc-0"}
    count = min(
        len(self.routers) - 1, round(self.day.killed * len(self.routers))
    )
    return set(self.rng.sample(self.routers, count))

  def arrives(self) -> bool:
    """Whether a record that is sent until it is confirmed arrives."""
    return any(
        self.rng.random() >= self.day.lost for _ in range(self.day.sends)
    )


class _Found(NamedTuple):
  """What a resumption found."""

  version: str | None
  told: int
  """Datagrams sent when the stream began, with confirmations."""
  asked: int
  """Datagrams of the resumption, with answers."""


Way = Callable[[_Fleet, bytes, stream_holders.Router, str], _Found]
"""How a resumption finds the version of a stream with a key and an origin."""


def _copies(count: int) -> Way:
  """Records at `count` routers by rendezvous, besides the origin."""

  def find(fleet, key, origin, version) -> _Found:
    ranked = fleet.holders.rank(key, _REGION, count + 1)
    holders = [router for router in ranked if router != origin][:count]
    known = any(h not in fleet.ended and fleet.arrives() for h in holders)
    asked = 2 * len(ranked)
    return _Found(version if known else None, 2 * len(holders), asked)

  return find


def _all(fleet, key, origin, version) -> _Found:
  """Records at all routers."""
  del key, origin
  return _Found(version if fleet.arrives() else None, fleet.day.routers - 1, 0)


def _asking(fleet, key, origin, version) -> _Found:
  """No records: all routers are asked for the streams that they began."""
  del key
  known = origin not in fleet.ended
  return _Found(version if known else None, 0, 2 * (fleet.day.routers - 1))


def _by_id(fleet, key, origin, version) -> _Found:
  """The version follows from the id and the versions that are listed now."""
  del origin, version
  versions = _VERSIONS[: 1 + fleet.day.versions]
  return _Found(_version_by_id(key, versions), 0, 0)


def _store(fleet, key, origin, version) -> _Found:
  """A record in the store for each stream."""
  del fleet, key, origin
  return _Found(version, 0, 0)


WAYS: dict[str, Way] = {
    "copies-1": _copies(1),
    "copies-2": _copies(2),
    "copies-3": _copies(3),
    "all": _all,
    "asking": _asking,
    "by-id": _by_id,
    "store": _store,
}


def _version_by_id(key: bytes, versions: tuple[str, ...]) -> str:
  return max(versions, key=lambda v: hashlib.blake2b(key + v.encode()).digest())


def simulate(day: Day, way: str, seed: int) -> Result:
  """Plays the resumptions of all streams whose router ends."""
  fleet = _Fleet(day, random.Random(f"{seed}"))
  find = WAYS[way]
  resumed = known = wrong = told = asked = 0
  for router in fleet.ended:
    for number in range(day.streams_per_router):
      key = stream_holders.key_of("team", f"{seed}-{router.name}-{number}")
      version = _VERSIONS[0]
      if way == "by-id":
        version = _version_by_id(key, _VERSIONS[:1])
      found = find(fleet, key, router, version)
      resumed += 1
      known += found.version == version
      wrong += found.version not in (None, version)
      told, asked = told + found.told, asked + found.asked
  count = max(1, resumed)
  writes = 1.0 if way == "store" else 0.0
  return Result(resumed, known, wrong, told / count, asked / count, writes)
