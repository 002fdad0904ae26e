"""Router membership, through leases in the KV.

Each router keeps `member/<name>` under a lease that it renews, and watches
the prefix. Correctness does not depend on the list: a router whose list is
wrong asks the wrong owner for tokens, or writes off a grant that its holder
settles later. Both cost efficiency, but never overspend a budget.
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
_OWNER_CACHE_SIZE = 100_000
_RANK_CACHE_SIZE = 2_000
"""More than the number of routers in the largest fleet."""
_MAX_REPLACED_LIVES = 4_000
"""Replaced lives (a router's life is one run of its process) remembered: two
days of restarts in the largest fleet."""
_CANDIDATE_COUNT = 3
"""Routers that are asked for tokens in turn: the owner, and two deputies that
may reach the KV while the owner does not."""
MAX_SMALL_FLEET = 12
"""Number of routers up to which each can send messages to all others and draw
tokens from the KV itself; in a larger fleet a few act for the others."""
_MAX_LOGGED_LIVES = 8
"""Lives listed in one log line."""
_RETRY_S = 0.5
_PROBE_RETRY_S = 0.1
"""The same while the store counts as unreachable. The client then sends few of
these calls; they are the cheapest way to find out that the store is back."""
_REACHABLE_POLL_S = 0.25
"""Pause between two looks whether the store counts as reachable."""
_UNREACHABLE_POLLS = 2
"""Consecutive looks that find it unreachable before the lease is renewed early.
"""
_SETTLE_S = 0.4
"""How long the list must be unchanged before a router that started without the
store relies on it. Routers that start together retry twice a second."""
_MAX_SETTLE_S = 2.0
"""How long after its first reading the list is relied on in any case: routers
may restart one after the other for minutes."""
_STABLE_S = 1.0
"""How long the list must be unchanged after the start before tokens are granted
that no request needs yet."""
_MAX_UNSTABLE_S = 4.0
"""The same as `_MAX_SETTLE_S` for these."""
_SUSPECT_S = 2.0
"""How long a router that did not answer is asked only as a last resort."""
_CERTAIN_LIST_AGE_S = 5.0
"""Greatest age of the list of routers with which a router is certain of it."""
_CERTAIN_MARGIN_S = 1.0
"""Added to that age for a registration: a read of the list may be answered some
time before its answer arrives."""


class Member(NamedTuple):
  """The registration of one life (one run of the process) of a router."""

  name: str
  epoch: str
  """Distinguishes the lives of a router."""
  url: str
  """The address for calls from other routers."""
  datacentre: str
  region: str
  load_port: int = 0
  """The port on which it gets datagrams; 0: the same as this router."""
  tunnel_port: int = 0
  """The port on which it opens tunnels; 0: the same as this router."""

  @property
  def life(self) -> str:
    """The id of this life; the ids of its grants start with it."""
    return f"{self.name}:{self.epoch}"


_MAX_PORT = 65_535
_PORT_FIELDS = ("load_port", "tunnel_port")
"""Routers of earlier versions register without them."""
_TEXT_FIELDS = tuple(f for f in Member._fields if f not in _PORT_FIELDS)


class Members:
  """Registers this router and keeps the list of all routers current.

  Args:
    kv: the KV client.
    me: the registration of this router.
    config: lease term and grace period.
    clock: the time source.
    bus: receives `MEMBERS_CHANGED` events.
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
    """Lives that did not answer, and until when they are suspected."""
    self._absent_since: dict[str, float] = {}
    self._replaced: collections.OrderedDict[str, None]
    self._replaced = collections.OrderedDict()
    """Lives that were followed by a later life of the same router, oldest
    first."""
    self._connected_since: float | None = None
    self._first_listed_at: float | None = None
    """When the list of routers was first read; None: it was not yet."""
    self._names: tuple[str, ...] | None = None
    """The value of `names`; None: not computed since the list changed."""
    self._lease = 0
    self._registered_at: float | None = None
    """When this router was registered under its current lease, seconds of the
    boot clock, as the next two; None: it is not registered."""
    self._has_left = False
    """Whether this router has left the list, and must not register again while
    it returns its tokens."""
    self._lease_ends_at = -float("inf")
    """Until when its lease is in force at least."""
    self._list_as_of = -float("inf")
    """When the list of routers was current."""
    self._started_without_store = False
    """Whether the store was unavailable when this router started, and the list
    of routers has not settled since."""
    self._list_changed_at = -float("inf")
    self._is_stable = False
    self._owner_names: list[str] = []
    self._ranked: list[str] = []
    """Names of the region's routers, ordered by `rank_key`."""
    self.rank = 0
    """This router's position in that order."""
    self._ring = ring.Ring()
    self._ring_is_stale = True
    """Whether the eligible owners have changed since the ring was updated."""
    self._find_on_ring = functools.lru_cache(_OWNER_CACHE_SIZE)(
        lambda name: self._ring.find(name, _CANDIDATE_COUNT)
    )
    self._update_ranks()

  def _update_ranks(self) -> None:
    """Computes the ranks of the region and the routers eligible as owners."""
    # By name, not by life: a router that restarts owns the same budgets as
    # before, and no budgets of other routers change their owner.
    in_region = [
        m.name for m in self._by_name.values() if m.region == self.me.region
    ]
    self._ranked = sorted(in_region, key=rank_key)
    self.rank = self._ranked.index(self.me.name)
    # Fewer owners write larger batches: KV writes grow with the number of
    # owners, not with that of routers.
    owner_names = self._ranked[: self._config.owners or None]
    if owner_names == self._owner_names:
      return  # the ring and the cached owners are still valid
    self._owner_names = owner_names
    self._ring_is_stale = True

  def _owners_of(self, name: str) -> list[str]:
    """Returns the owner of `name`, then its deputies.

    The ring is updated only when needed: dozens of members may join or leave
    at once, while owners are looked up only a few times a second.
    """
    if self._ring_is_stale:
      self._ring_is_stale = False
      self._ring.set(self._owner_names)
      self._find_on_ring.cache_clear()
    return self._find_on_ring(name)

  @property
  def lives(self) -> dict[str, Member]:
    """All routers that are up, by life, as last known."""
    return self._lives

  @property
  def lease(self) -> int:
    """The lease of this router's registration; 0: it is not registered."""
    return self._lease if self._registered_at is not None else 0

  @property
  def was_listed(self) -> bool:
    """Whether the list of routers was ever read."""
    return self._first_listed_at is not None

  @property
  def names(self) -> tuple[str, ...]:
    """The sorted names of all routers that are up, as last known."""
    if self._names is None:
      self._names = tuple(sorted(self._by_name))
    return self._names

  @property
  def is_certain(self) -> bool:
    """Whether each other router that is certain is in this router's list.

    Of two routers that are certain at the same time, both have been registered
    for longer than the lists of both are old. So each is in the other's list,
    whatever the network or the store does, and both agree on which of them
    comes first in any order of the routers.
    """
    now = self._boot_s()
    if self._registered_at is None or now >= self._lease_ends_at:
      return False
    registered_s = now - self._registered_at
    list_age_s = now - self._list_as_of
    return (
        list_age_s <= _CERTAIN_LIST_AGE_S
        and registered_s >= _CERTAIN_LIST_AGE_S + _CERTAIN_MARGIN_S
    )

  def _boot_s(self) -> float:
    """Returns the boot clock's time, which goes on while a host is suspended."""
    return self._clock.moment().boot_s

  def find(self, name: str) -> Member | None:
    """Returns the router with a name if it is up, as last known."""
    return self._by_name.get(name)

  @property
  def others(self) -> list[Member]:
    """The other routers that are up, as last known."""
    return [m for m in self._lives.values() if m != self.me]

  @property
  def ranked(self) -> list[Member]:
    """The region's routers, ordered by `rank_key`."""
    return [self._by_name[name] for name in self._ranked]

  @property
  def is_large(self) -> bool:
    """Whether the fleet is too large for messages from all to all."""
    return len(self._lives) > MAX_SMALL_FLEET

  @property
  def region_count(self) -> int:
    """The number of regions with routers that are up."""
    return len({m.region for m in self._by_name.values()})

  def owner(self, name: str) -> Member:
    """Returns the router of this region that owns a budget or engine.

    While the owner is suspected, that is its first deputy.
    """
    return self.candidates(name)[0]

  def candidates(self, name: str) -> list[Member]:
    """Returns the owner and its deputies, suspected ones last."""
    candidates = [self._by_name[owner] for owner in self._owners_of(name)]
    if self._suspected:
      candidates.sort(key=lambda m: self.is_suspected(m.life))
    return candidates

  def is_suspected(self, life: str) -> bool:
    """Whether a router recently failed to answer."""
    return self._suspected.get(life, 0.0) > self._clock.monotonic()

  def suspect(self, life: str) -> None:
    """Marks a router that did not answer as suspected for some time.

    Its lease expires only after many seconds. If it were asked during all that
    time, each request that draws on its budgets would wait for a timeout.
    """
    now = self._clock.monotonic()
    for other, until in list(self._suspected.items()):
      if until <= now:
        del self._suspected[other]
    self._suspected[life] = now + _SUSPECT_S

  def has_gone(self, life: str) -> bool:
    """Whether `life` was replaced, or absent for the whole grace period.

    A host runs one router, so a life is dead as soon as a later life of the
    same router has registered, without waiting for the grace period. This holds
    only for lives that were once in the list: an unknown life may be a new one
    that is not listed yet.
    """
    if life in self._replaced and life not in self._lives:
      return True
    return self.absent_s(life) >= self._config.grace_s

  def successor(self, life: str) -> Member | None:
    """Returns another life of the same router that is up, or None."""
    current = self._by_name.get(life.rpartition(":")[0])
    return None if current is None or current.life == life else current

  def absent_s(self, life: str) -> float:
    """Returns for how many seconds `life` has been absent; -1 if it is not.

    Only time with a current list counts: a router that was disconnected from
    the KV, or paused, must not consider all others gone.
    """
    now = self._clock.monotonic()
    if life in self._lives or self._connected_since is None:
      self._absent_since.pop(life, None)
      return -1.0
    since = self._absent_since.setdefault(life, now)
    return now - max(since, self._connected_since)

  async def register(self) -> None:
    """Keeps this router registered until cancelled or `leave` was called."""
    while True:
      renewed_at = self._boot_s()
      try:
        if (
            self._registered_at is None
            or await self._kv.keep_alive(self._lease) == 0
        ):
          if self._has_left:
            return
          # The first registration, or the lease expired while this router was
          # paused or disconnected, and the others consider it gone.
          self._registered_at = None
          self._lease = await self._kv.grant_lease(self._config.ttl_s)
          value = json.dumps(self.me._asdict()).encode()
          await self._kv.put(PREFIX + self.me.name, value, self._lease)
          self._registered_at = self._boot_s()
          logger.info("registered", extra={"life": self.me.life})
        self._lease_ends_at = renewed_at + self._config.ttl_s
      except (errors.KvUnavailableError, errors.KvUnknownError):
        if not self.was_listed:
          self._started_without_store = True
        reachable = self._kv.reachable
        await anyio.sleep(_RETRY_S if reachable else _PROBE_RETRY_S)
        continue
      await self._wait_for_renewal()

  async def _wait_for_renewal(self) -> None:
    """Waits until the lease is to be renewed, or the store is unreachable."""
    due_at = self._clock.monotonic() + self._config.ttl_s / 3
    unreachable_polls = 0
    # A client may count the store as unreachable while its first call is in
    # progress.
    while unreachable_polls < _UNREACHABLE_POLLS:
      left_s = due_at - self._clock.monotonic()
      if left_s <= 0:
        return
      await anyio.sleep(min(left_s, _REACHABLE_POLL_S))
      unreachable_polls = 0 if self._kv.reachable else unreachable_polls + 1

  async def leave(self) -> None:
    """Removes this router from the list, so that none asks it for tokens."""
    self._has_left = True
    self._registered_at = None
    try:
      if self._lease:
        await self._kv.revoke_lease(self._lease)
    except (errors.KvUnavailableError, errors.KvUnknownError):
      pass  # the lease expires anyway

  async def follow(self) -> None:
    """Keeps the list of routers current until cancelled."""
    while True:
      try:
        as_of = self._clock.monotonic()
        revision, records = await self._kv.get_prefix(PREFIX)
        self.set_list_current(True)
        self.update(decode(records), as_of)
        async for event in self._kv.watch(
            PREFIX, revision + 1, self._config.watch_idle_s
        ):
          self._apply_event(event)
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.debug("watching the member list failed: %s", exc)
      # While disconnected, the last known list stays in use, and no
      # router is considered gone.
      self.set_list_current(False)
      await anyio.sleep(_RETRY_S)

  @property
  def is_stable(self) -> bool:
    """Whether the list was unchanged for a while since it was first read.

    Stays true from then on. Routers that start together register within about
    a second, and the list of each is incomplete until then.
    """
    if not self._is_stable:
      self._is_stable = self._is_unchanged(_STABLE_S, _MAX_UNSTABLE_S)
    return self._is_stable

  def _is_unchanged(self, for_s: float, max_s: float) -> bool:
    """Whether the list did not change `for_s`, or is known for `max_s`."""
    if self._first_listed_at is None:
      return False
    now = self._clock.monotonic()
    unchanged = now - self._list_changed_at >= for_s
    return unchanged or now - self._first_listed_at >= max_s

  @property
  def is_settled(self) -> bool:
    """Whether the owners of budgets can be told from the list.

    False for some tenths of a second after an outage of the store in which this
    router started. If all routers started then, each finds a part of the others
    in the list at first, and takes itself for the owner of most budgets.
    """
    if self._started_without_store:
      has_settled = self._is_unchanged(_SETTLE_S, _MAX_SETTLE_S)
      self._started_without_store = not has_settled
    return not self._started_without_store

  def set_list_current(self, is_connected: bool) -> None:
    """Records whether the list of routers is being kept current."""
    if not is_connected:
      self._connected_since = None
    elif self._connected_since is None:
      self._connected_since = self._clock.monotonic()
    if is_connected and self._first_listed_at is None:
      self._first_listed_at = self._clock.monotonic()
      self._list_changed_at = self._first_listed_at

  def _apply_event(self, event: protocol.Event) -> None:
    members = dict(self._by_name)
    if event.deleted:
      members.pop(event.record.key.removeprefix(PREFIX), None)
    else:
      for member in decode([event.record]):
        members[member.name] = member
    self.update(list(members.values()), self._clock.monotonic())

  def update(self, members: list[Member], as_of: float | None = None) -> None:
    """Replaces the list of routers; emits an event if it has changed.

    Args:
      members: all routers that are registered.
      as_of: when this was the list, monotonic seconds; None: unknown.
    """
    if as_of is not None:
      age_s = max(0.0, self._clock.monotonic() - as_of)
      self._list_as_of = max(self._list_as_of, self._boot_s() - age_s)
      if self.me not in members:
        self._check_registration()
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
    while len(self._replaced) > _MAX_REPLACED_LIVES:
      self._replaced.popitem(last=False)
    for life in lives.keys() - self._lives.keys():
      self._absent_since.pop(life, None)
    self._by_name, self._lives = by_name, lives
    self._names = None
    if self._first_listed_at is not None:
      self._list_changed_at = self._clock.monotonic()
    self._update_ranks()
    self._bus.emit(events.Name.MEMBERS_CHANGED, lives)

  def _check_registration(self) -> None:
    """Registers again if a later list does not have this router.

    A write without an answer may be applied seconds later, with the lease of an
    earlier registration, and then the entry is removed when that lease expires.
    """
    registered_at = self._registered_at
    if registered_at is None:
      return
    if self._list_as_of > registered_at + _CERTAIN_MARGIN_S:
      logger.warning("registration lost", extra={"life": self.me.life})
      self._registered_at = None


@functools.lru_cache(_RANK_CACHE_SIZE)
def rank_key(name: str) -> bytes:
  """Returns the sort key of a name, which is the same on all routers.

  It is a hash, so a router that joins or leaves does not reorder the others.
  """
  return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _log_gone(lives: Set[str]) -> None:
  """Logs the lives that have gone, in one line however many there are."""
  logged = sorted(lives)[:_MAX_LOGGED_LIVES]
  logger.info("routers gone", extra={"count": len(lives), "lives": logged})


def from_row(row: Mapping[str, Any]) -> Member:
  """Returns the member described by a mapping of its fields.

  Raises:
    KeyError, TypeError, ValueError: a field is missing or invalid, or `row` is
      not a mapping.
  """
  texts = {field: str(row[field]) for field in _TEXT_FIELDS}
  ports = {field: int(row.get(field, 0)) for field in _PORT_FIELDS}
  if not all(0 <= port <= _MAX_PORT for port in ports.values()):
    raise ValueError(f"port out of range: {ports}")
  return Member(**texts, **ports)


def decode(records: Iterable[protocol.Record]) -> list[Member]:
  """Returns the registered routers; malformed entries are skipped."""
  members = (_decode_record(record) for record in records)
  return [member for member in members if member is not None]


def _decode_record(record: protocol.Record) -> Member | None:
  """Returns the registered router, None if the entry is malformed."""
  try:
    return from_row(json.loads(record.value))
  except (KeyError, TypeError, ValueError, RecursionError) as exc:
    logger.error(
        "member entry unreadable",
        extra={"entry": record.key, "error": repr(exc)},
    )
    return None
