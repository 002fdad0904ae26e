"""The routers that are up, agreed through leases in the KV.

Each router keeps `member/<name>` under a lease that it renews, and
watches the prefix. Nothing here carries safety: a router that is wrong
about who is up asks the wrong owner for tokens, or writes a grant off
that its holder settles later. Both cost efficiency, never an overspend.
"""

import collections
from collections.abc import Iterable, Mapping, Set
import functools
import hashlib
import json
import logging
from typing import Any, NamedTuple

import anyio

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.kv import protocol
from mustardfall.membership import ring
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

PREFIX = "member/"
_OWNERS_CACHED = 100_000
_RANKS_CACHED = 2_000
"""More than the routers of the largest fleet."""
_REPLACED_REMEMBERED = 4_000
"""Earlier lives remembered: two days of restarts in the largest fleet."""
_CANDIDATES = 3
"""Routers that are asked for tokens in turn: the owner, and two deputies that
may be in touch with the KV while it is not."""
MAX_SMALL_FLEET = 12
"""Routers up to which each can afford to tell all others, and to draw on the KV
itself; in a larger fleet few act for the others."""
_LOGGED = 8
"""Routers named in one log line."""
_RETRY_S = 0.5
_SUSPECT_S = 2.0
"""How long a router that did not answer is passed over."""


class Member(NamedTuple):
  """One life of a router, as it registers itself."""

  name: str
  epoch: str
  url: str
  """Where other routers reach it."""
  datacentre: str
  region: str

  @property
  def life(self) -> str:
    """The id of this life; grant ids start with it."""
    return f"{self.name}:{self.epoch}"


class Members:
  """Registers this router and follows the others.

  Args:
    kv: the KV client.
    me: this router, as others shall see it.
    config: lease term and grace.
    clock: the time source.
    bus: told of changes.
  """

  def __init__(
      self,
      kv: protocol.Store,
      me: Member,
      config: settings.Membership,
      clock: clock_lib.Clock,
      bus: events.Bus,
  ) -> None:
    self._kv = kv
    self.me = me
    self._config = config
    self._clock = clock
    self._bus = bus
    self._by_name: dict[str, Member] = {me.name: me}
    self._lives: dict[str, Member] = {me.life: me}
    self._suspected: dict[str, float] = {}
    """Routers that did not answer, and until when they are passed over."""
    self._absent_since: dict[str, float] = {}
    self._replaced: collections.OrderedDict[str, None]
    self._replaced = collections.OrderedDict()
    """Lives that were seen before a later life of the same router."""
    self._connected_since: float | None = None
    self._lease = 0
    self._near: list[str] = []
    self._ranked: list[str] = []
    """Names of the region's routers in the order of `rank`."""
    self.rank = 0
    """This router's place among those of its region, see `rank`."""
    self._ring = ring.Ring()
    self._ring_is_old = True
    """Whether it does not hold the routers that may own budgets yet."""
    self._find_owners = functools.lru_cache(_OWNERS_CACHED)(
        lambda name: self._ring.find(name, _CANDIDATES)
    )
    self._set_near()

  def _set_near(self) -> None:
    """Notes which routers may own budgets."""
    # By name, not by life: a router that starts again owns what it owned, and
    # nobody's budgets change hands twice for it.
    near = [
        m.name for m in self._by_name.values() if m.region == self.me.region
    ]
    self._ranked = sorted(near, key=rank)
    self.rank = self._ranked.index(self.me.name)
    # Few owners batch more: KV writes grow with owners, not with routers.
    near = self._ranked[: self._config.owners or None]
    if near == self._near:
      return  # what was looked up still holds
    self._near = near
    self._ring_is_old = True

  def _owners_of(self, name: str) -> list[str]:
    """Returns the owner of `name`, then its deputies.

    The ring is laid only once it is needed: members come and go by the
    dozen, and an owner is looked for a few times a second.
    """
    if self._ring_is_old:
      self._ring_is_old = False
      self._ring.set(self._near)
      self._find_owners.cache_clear()
    return self._find_owners(name)

  @property
  def lives(self) -> dict[str, Member]:
    """The lives that are up, as last heard."""
    return self._lives

  @property
  def others(self) -> list[Member]:
    """The other routers that are up, as last heard."""
    return [m for m in self._lives.values() if m != self.me]

  @property
  def ranked(self) -> list[Member]:
    """The region's routers in the order of `rank`."""
    return [self._by_name[name] for name in self._ranked]

  @property
  def is_large(self) -> bool:
    """Whether the fleet is too large for all to act with all."""
    return len(self._lives) > MAX_SMALL_FLEET

  @property
  def regions(self) -> int:
    """How many regions have routers up."""
    return len({m.region for m in self._by_name.values()})

  def owner(self, name: str) -> Member:
    """Returns the router of this region that owns a budget or engine.

    While it is suspected, its deputy stands in for it.
    """
    return self.candidates(name)[0]

  def candidates(self, name: str) -> list[Member]:
    """Returns the owner and its deputies, those that are suspected last."""
    found = [self._by_name[near] for near in self._owners_of(name)]
    if self._suspected:
      found.sort(key=lambda m: self.is_suspected(m.life))
    return found

  def is_suspected(self, life: str) -> bool:
    """Whether a router lately gave no answer."""
    return self._suspected.get(life, 0.0) > self._clock.monotonic()

  def suspect(self, life: str) -> None:
    """Notes that a router did not answer.

    Its lease lapses only after many seconds. Asking it all that time
    would cost each request that draws on its budgets a timeout.
    """
    now = self._clock.monotonic()
    for other, until in list(self._suspected.items()):
      if until <= now:
        del self._suspected[other]
    self._suspected[life] = now + _SUSPECT_S

  def has_gone(self, life: str) -> bool:
    """Whether `life` has been absent for the whole grace time.

    A host runs one router: once a later life of the same router has
    registered, the earlier one is dead, and nothing is left to wait for.
    A life that was never seen may be the later one, just started, while
    the list still shows the one before it.
    """
    if life in self._replaced and life not in self._lives:
      return True
    return self.absent_s(life) >= self._config.grace_s

  def successor(self, life: str) -> Member | None:
    """Returns the other life of the same router that is up, if any."""
    found = self._by_name.get(life.rpartition(":")[0])
    return None if found is None or found.life == life else found

  def absent_s(self, life: str) -> float:
    """Returns for how long `life` has been absent, seconds; else -1.

    Only time in touch with the KV counts: a router that was cut off, or
    paused, has heard of nobody and must not take everyone for gone.
    """
    now = self._clock.monotonic()
    if life in self._lives or self._connected_since is None:
      self._absent_since.pop(life, None)
      return -1.0
    since = self._absent_since.setdefault(life, now)
    return now - max(since, self._connected_since)

  async def register(self) -> None:
    """Keeps this router registered until cancelled."""
    while True:
      try:
        if self._lease == 0 or await self._kv.keep_alive(self._lease) == 0:
          # First time, or the lease lapsed while this router was paused
          # or cut off: the others think it gone, so it says it is back.
          self._lease = await self._kv.grant_lease(self._config.ttl_s)
          value = json.dumps(self.me._asdict()).encode()
          await self._kv.put(PREFIX + self.me.name, value, self._lease)
          logger.info("registered", extra={"life": self.me.life})
      except (errors.KvUnavailableError, errors.KvUnknownError):
        await anyio.sleep(_RETRY_S)
        continue
      await anyio.sleep(self._config.ttl_s / 3)

  async def leave(self) -> None:
    """Takes this router off the list, so that no one asks it for tokens."""
    try:
      if self._lease:
        await self._kv.revoke_lease(self._lease)
    except (errors.KvUnavailableError, errors.KvUnknownError):
      pass  # the lease lapses by itself

  async def follow(self) -> None:
    """Keeps the list of others until cancelled."""
    while True:
      try:
        revision, records = await self._kv.get_prefix(PREFIX)
        self.set_connected(True)
        self.update(decode(records))
        async for event in self._kv.watch(
            PREFIX, revision + 1, self._config.watch_idle_s
        ):
          self._take(event)
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.debug("member watch broke: %s", exc)
      # Out of touch: the list as last heard stays, nobody is gone.
      self.set_connected(False)
      await anyio.sleep(_RETRY_S)

  def set_connected(self, is_in_touch: bool) -> None:
    """Notes whether the list of others is kept current."""
    if not is_in_touch:
      self._connected_since = None
    elif self._connected_since is None:
      self._connected_since = self._clock.monotonic()

  def _take(self, event: protocol.Event) -> None:
    members = dict(self._by_name)
    if event.deleted:
      members.pop(event.record.key.removeprefix(PREFIX), None)
    else:
      for member in decode([event.record]):
        members[member.name] = member
    self.update(list(members.values()))

  def update(self, members: list[Member]) -> None:
    """Takes the whole list of others in."""
    by_name = {m.name: m for m in members} | {self.me.name: self.me}
    if by_name == self._by_name:
      return
    lives = {m.life: m for m in by_name.values()}
    gone = self._lives.keys() - lives.keys()
    if gone:
      _log_gone(gone)
    for life in gone:
      self._absent_since[life] = self._clock.monotonic()
      self._suspected.pop(life, None)
      if life.rpartition(":")[0] in by_name:
        self._replaced[life] = None
    while len(self._replaced) > _REPLACED_REMEMBERED:
      self._replaced.popitem(last=False)
    for life in lives.keys() - self._lives.keys():
      self._absent_since.pop(life, None)
    self._by_name, self._lives = by_name, lives
    self._set_near()
    self._bus.emit(events.Name.MEMBERS_CHANGED, lives)


@functools.lru_cache(_RANKS_CACHED)
def rank(name: str) -> bytes:
  """Returns where a name stands in an order that all routers agree on.

  A hash: a router's coming or going moves nobody else.
  """
  return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _log_gone(lives: Set[str]) -> None:
  """Logs who has gone: one line, however many have."""
  named = sorted(lives)[:_LOGGED]
  logger.info("routers gone", extra={"count": len(lives), "lives": named})


def from_row(row: Mapping[str, Any]) -> Member:
  """Returns a router as a table of its fields tells it.

  Raises:
    KeyError, TypeError: a field is missing, or it is no table.
  """
  return Member(**{field: str(row[field]) for field in Member._fields})


def decode(records: Iterable[protocol.Record]) -> list[Member]:
  """Returns who registered; entries that make no sense are passed over."""
  members = (_member(record) for record in records)
  return [member for member in members if member is not None]


def _member(record: protocol.Record) -> Member | None:
  """Returns who registered, None where the entry makes no sense."""
  try:
    return from_row(json.loads(record.value))
  except (KeyError, TypeError, ValueError, RecursionError) as exc:
    logger.error(
        "member entry unreadable",
        extra={"entry": record.key, "error": repr(exc)},
    )
    return None
