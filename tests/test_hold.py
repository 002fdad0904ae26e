"""How much of a budget a router holds, and risks, at once.

Pattern: the users' days. The store is away for 8 s, twice a day, and what
routers hold bridges it; all routers die at the end of most days, and what
they hold is written off. A holder that counted only its free tokens held
twice what it meant to: parts of its grant lay with the others.
"""

import types

import testtools

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ledger
from mustardfall.budget import policy
from mustardfall.budget import pool as pool_lib
from mustardfall.util import clock as clock_lib
from tests import configs

_LIMIT = 1_000_000
_CONFIG = settings.Allotment(
    min_tokens=40_000, horizon_s=7, headroom_share=0.35, least_share=0.1
)


def _pool() -> pool_lib.Pool:
  members = types.SimpleNamespace(
      me=types.SimpleNamespace(life="r:e"), lives={}
  )
  return pool_lib.Pool(
      configs.router(allotment=_CONFIG),
      clock_lib.FakeClock(),
      members,
      None,
      None,
      lambda _: policy.Policy(margin=0.0, patience_s=0.0),
      lambda _: ledger.Limit(_LIMIT, 1),
  )


def _ledger(lost: int) -> ledger.Ledger:
  return ledger.Ledger(
      limit=_LIMIT,
      spent=0,
      grants={},
      lost={"dead:e:1": lost} if lost else {},
      lost_before=0,
      parts={},
      ops=[],
  )


class HoldTest(testtools.TestCase):

  def _hold(self, pool, want=200_000):
    return pool._hold("b", want, ledger.Limit(_LIMIT, 1))

  def test_holds_the_draw_of_an_outage_and_a_share_at_most(self):
    pool = _pool()
    pool._seen["b"] = _ledger(0)
    self.assertEqual(200_000, self._hold(pool))
    self.assertEqual(350_000, self._hold(pool, want=900_000))
    self.assertEqual(100_000, self._hold(pool, want=10))

  def test_holds_little_before_it_knows_the_ledger(self):
    # A router that starts after all have died does not know yet what was
    # lost; a usual grant could be the last of the budget.
    self.assertEqual(40_000, self._hold(_pool(), want=40_000))

  def test_losses_make_holders_careful(self):
    holds = []
    for lost in (0, 50_000, 100_000, 300_000):
      pool = _pool()
      pool._seen["b"] = _ledger(lost)
      holds.append(self._hold(pool, want=400_000))
    self.assertEqual(sorted(holds, reverse=True), holds)
    self.assertTrue(holds[-1] <= 0.04 * _LIMIT, holds)

  def test_parts_and_reservations_count_as_held(self):
    # The owner handed most of its grant on and the rest is reserved; all
    # of that is written off with it, so it asks for no more.
    pool = _pool()
    pool._seen["b"] = _ledger(0)
    pool.table.add("b", "r:e:1", 200_000, 0.0)
    pool.table.hand_on("b", "s:e:1", 1, 150_000, 1.0)
    pool.table.reserve("b", 50_000)
    self.assertEqual(0, pool.table.free("b"))
    self.assertEqual(200_000, pool.table.at_risk("b"))
    self.assertEqual(0, self._hold(pool))

  def test_what_was_used_is_not_at_risk(self):
    table = allotment.Table("r:e", _CONFIG)
    table.add("b", "r:e:1", 100, 0.0)
    reservation = table.reserve("b", 60)
    table.settle(reservation, 50)
    table.hand_on("b", "s:e:1", 1, 20, 1.0)
    table.take_back("s:e:1", 15)
    self.assertEqual(35, table.at_risk("b"))
