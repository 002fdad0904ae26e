"""Simulated routers that exchange datagrams, are killed and start again.

A model derives its fleet from `Fleet` and runs the product's own modules in each
router.
"""

import asyncio
import collections
import random
from typing import Any, Protocol

import anyio

from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from mustardfall.membership import ring as ring_lib

_HOP_S = 0.001
_REMOTE_HOP_S = 0.03
"""One way between regions."""
_CANDIDATE_ROUTERS = 3
"""The owner of a key, and its deputies."""


class Day(Protocol):
  """What the fleets of all models' days have in common."""

  routers: int
  datacentres: int
  regions: int
  killed: float
  """Share of the routers that are killed together."""
  kill_at_s: float
  down_s: float
  unheard: float
  """Share of the routers whose datagrams are all lost."""
  loss: float
  doubled: float
  late: float
  """Share of the datagrams that take up to 50 ms longer."""


class Members:
  """The list of routers as one of them sees it; see `members.Members`.

  Args:
    fleet: all routers.
    me: the router.
  """

  was_listed = True
  is_stable = True
  is_certain = True

  def __init__(self, fleet: "Fleet", me: members_lib.Member) -> None:
    self._fleet = fleet
    self.me = me

  @property
  def lives(self) -> dict[str, members_lib.Member]:
    """All routers that are listed, by life."""
    return self._fleet.lives

  @property
  def names(self) -> tuple[str, ...]:
    """Their sorted names."""
    return self._fleet.names

  @property
  def others(self) -> list[members_lib.Member]:
    """The other routers."""
    return [m for m in self._fleet.lives.values() if m.name != self.me.name]

  @property
  def is_large(self) -> bool:
    """Whether few routers act for the others."""
    return len(self._fleet.lives) > members_lib.MAX_SMALL_FLEET

  def find(self, name: str) -> members_lib.Member | None:
    """Returns the router with a name."""
    return self._fleet.by_name.get(name)

  def candidates(self, key: str) -> list[members_lib.Member]:
    """Returns the owner of a key and its deputies."""
    return self._fleet.candidates(key)


class Port:
  """Carries a router's datagrams; see `datagrams.Datagrams`.

  Args:
    fleet: all routers.
    name: the router's name.
  """

  is_open = True

  def __init__(self, fleet: "Fleet", name: str) -> None:
    self._fleet = fleet
    self._name = name
    self.handlers: dict[datagrams_lib.Kind, Any] = {}

  def connect_with_sender(self, kind, handler) -> None:
    """Registers the handler of a kind of datagram."""
    self.handlers[kind] = handler

  def connect(self, kind, handler) -> None:
    """The same for a handler that does not need the sender."""
    self.connect_with_sender(kind, lambda content, sender: handler(content))

  def heard_s(self, member: members_lib.Member | None = None) -> float:
    """Returns the seconds since a router was heard from; None: any router."""
    names = {self._name} if member is None else {self._name, member.name}
    return float("inf") if self._fleet.unheard & names else 0.0

  def enqueue(self, kind, content, member) -> None:
    """Sends to a router."""
    self.enqueue_to(kind, content, member.name)

  def enqueue_to(self, kind, content, host) -> None:
    """Sends to an address."""
    self._fleet.carry(kind, content, self._name, host)

  async def send(self, kind, content, receivers) -> None:
    """Sends to several routers."""
    for member in receivers:
      self.enqueue(kind, content, member)


class Router(Protocol):
  """One life of a router, as a model makes it."""

  me: members_lib.Member
  port: Port
  scope: anyio.CancelScope
  """Ends what runs in this life."""

  async def run(self) -> None:
    """Runs the router's modules until its scope is cancelled."""


class Fleet:
  """All routers of a day.

  Args:
    day: sizes and troubles.
    seed: of all random draws.
    tasks: runs the routers.
  """

  def __init__(self, day: Day, seed: int, tasks) -> None:
    self.day = day
    self.rng = random.Random(f"{seed}")
    self.tasks = tasks
    self.lives: dict[str, members_lib.Member] = {}
    self.by_name: dict[str, members_lib.Member] = {}
    self.names: tuple[str, ...] = ()
    self.up: dict[str, Router] = {}
    self.datagrams: collections.Counter[str] = collections.Counter()
    """Datagrams sent, by router."""
    self.sent_bytes: collections.Counter[str] = collections.Counter()
    self._ring = ring_lib.Ring()
    self._found: dict[str, list[str]] = {}
    members = [self._member(number) for number in range(day.routers)]
    count = round(day.unheard * day.routers)
    self.unheard = {m.name for m in self.rng.sample(members, count)}
    self._list(members)
    self._ring.set(list(self.names))
    for member in members:
      self._start(member)

  def make_router(self, member: members_lib.Member) -> Router:
    """Returns a new life of a router."""
    raise NotImplementedError

  def _member(self, number: int) -> members_lib.Member:
    datacentre = number % self.day.datacentres
    name = f"r{number:03}"
    region = f"region{datacentre % self.day.regions}"
    url = f"http://{name}:1"
    return members_lib.Member(name, "1", url, f"dc{datacentre}", region)

  def _list(self, members: list[members_lib.Member]) -> None:
    self.lives = {m.life: m for m in members}
    self.by_name = {m.name: m for m in members}
    self.names = tuple(sorted(self.by_name))

  def candidates(self, key: str) -> list[members_lib.Member]:
    """Returns the owner of a key and its deputies."""
    if key not in self._found:
      self._found[key] = self._ring.find(key, _CANDIDATE_ROUTERS)
    return [self.by_name[name] for name in self._found[key]]

  def _start(self, member: members_lib.Member) -> None:
    router = self.up[member.name] = self.make_router(member)
    self.tasks.start_soon(router.run)

  def carry(self, kind, content: bytes, sender: str, host: str) -> None:
    """Delivers a datagram after a hop, unless it is lost."""
    self.datagrams[sender] += 1
    self.sent_bytes[sender] += len(content) + 1
    if self.unheard & {sender, host}:
      return
    copies = 2 if self.rng.random() < self.day.doubled else 1
    for _ in range(copies):
      if self.rng.random() < self.day.loss:
        continue
      delay_s = self._hop_s(sender, host)
      if self.rng.random() < self.day.late:
        delay_s += self.rng.uniform(0.0, 0.05)
      asyncio.get_running_loop().call_later(
          delay_s, self._deliver, kind, content, sender, host
      )

  def _hop_s(self, sender: str, host: str) -> float:
    same = self.by_name[sender].region == self.by_name[host].region
    return _HOP_S if same else _REMOTE_HOP_S

  def _deliver(self, kind, content: bytes, sender: str, host: str) -> None:
    router = self.up.get(host)
    if router is not None:
      router.port.handlers[kind](content, sender)

  async def kill(self) -> None:
    """Kills some routers, which start again with nothing."""
    await anyio.sleep(self.day.kill_at_s)
    count = min(self.day.routers - 1, round(self.day.killed * self.day.routers))
    for name in self.rng.sample(sorted(self.up), count):
      router = self.up.pop(name)
      router.scope.cancel()
      self.tasks.start_soon(self._start_again, router.me)

  async def _start_again(self, before: members_lib.Member) -> None:
    await anyio.sleep(self.day.down_s)
    member = before._replace(epoch="2")
    others = [m for m in self.lives.values() if m.name != member.name]
    self._list([*others, member])
    self._start(member)
