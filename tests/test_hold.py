"""How much of a budget a router holds, and risks, at once.

Pattern: the users' days. The store is away for 8 s, twice a day, and what
routers hold bridges it; all routers die at the end of most days, and what
they hold is written off. A holder that counted only its free tokens held
twice what it meant to: parts of its grant lay with the others.
"""

import testtools

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import holding

_LIMIT = 1_000_000
_CONFIG = settings.Allotment(
    min_tokens=40_000, horizon_s=7, headroom_share=0.35, least_share=0.1
)


def _view(free: int | None = _LIMIT, lost: int = 0, **more) -> holding.View:
  """Returns what a holder knows of a budget of which `lost` was lost."""
  given = {"limit": _LIMIT, "want": 200_000, "held": 0, **more}
  left = None if free is None else free - lost
  return holding.View(free=left, lost=lost, **given)


def _ask(**known) -> int:
  return holding.ask(_view(**known), _CONFIG)


class HoldTest(testtools.TestCase):

  def test_holds_the_draw_of_an_outage_and_a_share_at_most(self):
    self.assertEqual(200_000, _ask())
    self.assertEqual(350_000, _ask(want=900_000))
    self.assertEqual(100_000, _ask(want=10))

  def test_holds_little_before_it_knows_the_ledger(self):
    # A router that starts after all have died does not know yet what was
    # lost; a usual grant could be the last of the budget.
    self.assertEqual(40_000, _ask(free=None, want=40_000))

  def test_losses_make_holders_careful(self):
    losses = (0, 50_000, 100_000, 300_000)
    holds = [_ask(lost=lost, want=400_000) for lost in losses]
    self.assertEqual(sorted(holds, reverse=True), holds)
    self.assertTrue(holds[-1] <= 0.04 * _LIMIT, holds)

  def test_parts_and_reservations_count_as_held(self):
    # The owner handed most of its grant on and the rest is reserved; all
    # of that is written off with it, so it asks for no more.
    table = allotment.Table("r:e", _CONFIG)
    table.add("b", "r:e:1", 200_000, 0.0)
    table.hand_on("b", "s:e:1", 1, 150_000, 1.0)
    table.reserve("b", 50_000)
    self.assertEqual(0, table.free("b"))
    self.assertEqual(200_000, table.at_risk("b"))
    self.assertEqual(0, _ask(held=table.at_risk("b"), free=_LIMIT - 200_000))

  def test_what_was_used_is_not_at_risk(self):
    table = allotment.Table("r:e", _CONFIG)
    table.add("b", "r:e:1", 100, 0.0)
    reservation = table.reserve("b", 60)
    table.settle(reservation, 50)
    table.hand_on("b", "s:e:1", 1, 20, 1.0)
    table.take_back("s:e:1", 15)
    self.assertEqual(35, table.at_risk("b"))
