"""Tests of how much of a budget a router holds, and risks, at once.

The store is unavailable for 8 s twice a day and the tokens held by routers
cover it; all routers die at the end of most days, and what they hold is written
off. Guards against a holder that counts only its free tokens and so holds twice
its target, because it delegated parts of its grant.
"""

import testtools

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import holding

_LIMIT = 1_000_000
_CONFIG = settings.Allotment(
    min_tokens=40_000,
    horizon_s=7,
    headroom_share=0.35,
    share_held=0.1,
    requests_held=2.0,
)


def _view(**known) -> holding.SizingInput:
  """Returns the sizing input for a budget that nobody has drawn on yet."""
  usual = {
      "limit": _LIMIT,
      "headroom": _LIMIT,
      "held": 0,
      "rate": 0.0,
      "others_rate": 0.0,
      "mean_request": 5_000.0,
      "holders": 1,
  }
  return holding.SizingInput(**{**usual, **known})


def _target(**known) -> int:
  return holding.target(_view(**known), _CONFIG)


class HoldTest(testtools.TestCase):

  def test_holds_the_draw_of_an_outage_and_a_share_at_most(self):
    # 7 s at 30,000 tokens per second plus two requests.
    self.assertEqual(220_000, _target(rate=30_000.0))
    self.assertEqual(350_000, _target(rate=90_000.0))
    self.assertEqual(100_000, _target(rate=10.0))

  def test_holds_less_the_less_is_left(self):
    lefts = (1_000_000, 500_000, 200_000, 50_000, 0)
    holds = [_target(headroom=left, rate=40_000.0) for left in lefts]
    self.assertEqual([290_000, 175_000, 70_000, 17_500, 0], holds)

  def test_holders_together_hold_no_more_than_one_alone(self):
    # One of four routers with equal draw: each wants 220,000 and gets a fourth
    # of what a single router may hold.
    found = _target(rate=30_000.0, others_rate=90_000.0, holders=4)
    self.assertEqual(350_000 // 4, found)

  def test_one_that_draws_nearly_all_holds_nearly_all(self):
    found = _target(rate=60_000.0, others_rate=15_000.0, holders=4)
    self.assertEqual(280_000, found)

  def test_idle_holder_has_an_equal_share(self):
    # A team may send its next request to any router.
    found = _target(rate=0.0, others_rate=50_000.0, holders=4)
    self.assertEqual(25_000, found)

  def test_parts_and_reservations_count_as_held(self):
    # The owner delegated most of its grant and the rest is reserved. All of it
    # would be written off if the owner died, so it asks for no more.
    table = allotment.Table("r:e", _CONFIG)
    table.add("b", "r:e:1", 200_000, 0.0)
    table.delegate("b", "s:e:1", 1, 150_000, 1.0)
    table.reserve("b", 50_000)
    self.assertEqual(0, table.free("b"))
    self.assertEqual(200_000, table.at_risk("b"))
    held = table.at_risk("b")
    self.assertTrue(_target(held=held, headroom=_LIMIT - held) <= held)

  def test_what_was_used_is_not_at_risk(self):
    table = allotment.Table("r:e", _CONFIG)
    table.add("b", "r:e:1", 100, 0.0)
    reservation = table.reserve("b", 60)
    table.settle(reservation, 50)
    table.delegate("b", "s:e:1", 1, 20, 1.0)
    table.settle_delegated("s:e:1", 15)
    self.assertEqual(35, table.at_risk("b"))


class ReportPaceTest(testtools.TestCase):

  def test_writes_for_reports_do_not_grow_with_the_fleet(self):
    # With 78 routers, each reporting twice a second as in a fleet of 9, there
    # were 557 transactions per second on the same 24 ledgers, and most of them
    # conflicted and were retried. The store of a small fleet takes 400 writes
    # per second in total.
    config = settings.Allotment(report_s=0.5)
    for routers in (9, 12, 78, 760):
      writes = routers / holding.report_interval_s(config, routers)
      self.assertTrue(writes <= 400 / 10, (routers, writes))
    self.assertEqual(0.5, holding.report_interval_s(config, 9))
