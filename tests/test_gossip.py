"""Facts that routers learn from each other, in virtual time."""

from typing import Any, NamedTuple

import anyio
import testtools

from mustardfall.bench.virtual import loop
from mustardfall.bench.virtual import routers
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import gossip as gossip_lib
from mustardfall.membership import members as members_lib

_KEY = "bad"
_LEARN_S = 0.5
"""Time after its start within which a router has to know what others know."""
_MAX_QUESTIONS = 20


class _Day(NamedTuple):
  """A fleet of which some routers restart together; see `routers.Day`."""

  routers: int = 9
  datacentres: int = 3
  regions: int = 1
  killed: float = 0.67
  kill_at_s: float = 0.55
  down_s: float = 0.8
  unheard: float = 0.0
  loss: float = 0.0
  doubled: float = 0.0
  late: float = 0.0
  known: bool = True
  """Whether routers know a fact before they restart."""


class _Table:
  """A table with one fact, or none; see `gossip.Table`."""

  def __init__(self, *keys: str) -> None:
    self.known = list(keys)

  def keys(self) -> list[str]:
    return self.known

  def fact(self, key: str) -> list[Any]:
    return [key]

  def apply(self, fact: list[Any]) -> None:
    self.known = [fact[0]]


class _Router:
  """One life of a router that only gossips."""

  def __init__(self, fleet: "_Fleet", me: members_lib.Member) -> None:
    self.me = me
    self.port = routers.Port(fleet, me.name)
    self.scope = anyio.CancelScope()
    is_first = me.epoch == "1"
    self.table = _Table(_KEY) if fleet.day.known and is_first else _Table()
    self.gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.VERDICT,
        self.table,
        routers.Members(fleet, me),
        self.port,
        loop.Clock(),
        12,
        fleet.rng,
    )

  async def run(self) -> None:
    with self.scope:
      await self.gossip.run()


class _Fleet(routers.Fleet):

  def make_router(self, member: members_lib.Member) -> _Router:
    return _Router(self, member)


async def _play(day: _Day, seed: int, seconds: float) -> _Fleet:
  """Returns the fleet some time after routers have restarted."""
  async with anyio.create_task_group() as tasks:
    fleet = _Fleet(day, seed, tasks)
    await fleet.kill()
    await anyio.sleep(day.down_s)
    fleet.datagrams.clear()
    await anyio.sleep(seconds)
    tasks.cancel_scope.cancel()
  return fleet


class StartTest(testtools.TestCase):

  def _find_unaware(self, day: _Day, seed: int) -> list[str]:
    fleet = loop.run(_play, day, seed, _LEARN_S)
    return [n for n, r in sorted(fleet.up.items()) if not r.table.known]

  def test_routers_that_restart_together_learn_at_once(self):
    """Guards against asking only routers that have just started, too."""
    for seed in range(20):
      self.assertEqual([], self._find_unaware(_Day(), seed), seed)
      large = _Day(routers=195)
      self.assertEqual([], self._find_unaware(large, seed), seed)

  def test_lost_questions_are_repeated(self):
    """Guards against routers whose only question is lost."""
    for seed in range(20):
      day = _Day(killed=0.34, loss=0.2)
      self.assertEqual([], self._find_unaware(day, seed), seed)

  def test_router_that_was_answered_asks_no_more(self):
    """Guards against answers of the whole table from all routers."""
    day = _Day(killed=0.12)
    fleet = loop.run(_play, day, 1, _LEARN_S)
    (restarted,) = [n for n, r in fleet.up.items() if r.me.epoch == "2"]
    self.assertEqual(2, fleet.datagrams[restarted])

  def test_nothing_to_tell_costs_little(self):
    """Guards against questions that never end where no router knows a fact."""
    for size in (2, 9, 195):
      fleet = loop.run(_play, _Day(routers=size, known=False), 1, 30.0)
      for name, sent in fleet.datagrams.items():
        self.assertTrue(sent <= _MAX_QUESTIONS, (name, sent))
