"""Tests that a dead router's grants return, except what it may have drawn.

Guards against loss of budget when routers die. All routers may die at the end
of a day or in between and restart within seconds, and the KV is unavailable for
8 s twice a day. A grant sized for the outage is many times what a router draws
between two reports. Written off whole at each death, grants cost a sixth to a
quarter of a budget, and every third later request was refused.
"""

from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ceilings
from mustardfall.budget import holding
from mustardfall.budget import ledger
from mustardfall.kv import change
from mustardfall.util import clock as clock_lib

_LIMIT = ledger.Limit(1_000, 1)


def _at(boot_s: float, wall_s: float | None = None, error_s=None):
  """Returns a moment; the wall clock equals the boot clock by default."""
  return clock_lib.Moment(boot_s, boot_s if wall_s is None else wall_s, error_s)


def _granted(ceiling, used=0, gid="a:1:1", want=600):
  after = change.apply(
      ledger.Grant(gid, 1, want, 1.0, 0.0, _LIMIT, 0, ceiling), None
  )
  if used:
    after = change.apply(ledger.ReportUse(gid, used), after)
  return after


class ElapsedTest(testtools.TestCase):

  def test_boot_clock_bounds_the_time_after_a_kill(self):
    elapsed_s = ceilings.max_elapsed_s(_at(100.0), _at(102.0))
    self.assertTrue(2.0 <= elapsed_s <= 2.5, elapsed_s)

  def test_suspended_time_counts(self):
    # Monotonic clocks stop while a host is suspended; the boot clock and the
    # wall clock do not.
    elapsed_s = ceilings.max_elapsed_s(_at(100.0), _at(108.0))
    self.assertTrue(elapsed_s >= 8.0, elapsed_s)

  def test_wall_clock_and_its_error_bound_the_time_after_power_loss(self):
    elapsed_s = ceilings.max_elapsed_s(_at(100.0, 50.0), _at(0.4, 52.0))
    self.assertAlmostEqual(2.0 + ceilings._DEFAULT_WALL_ERROR_S, elapsed_s)

  def test_boot_clock_may_restart_at_any_value(self):
    # The boot clock may start at any value, here 54,600 s. Interpreted as the
    # time since power-on, it yielded a negative time, so no bound was found and
    # all that the dead router held was lost.
    issued, started = _at(55_733.7, 293.9, 0.01), _at(54_640.0, 295.8, 0.01)
    elapsed_s = ceilings.max_elapsed_s(issued, started)
    self.assertAlmostEqual(1.92, elapsed_s)

  def test_agreed_clocks_are_trusted_more(self):
    issued, started = _at(100.0, 50.0, 0.25), _at(0.4, 52.0, 0.25)
    found_s = ceilings.max_elapsed_s(issued, started)
    self.assertAlmostEqual(2.5, found_s)
    alone = issued._replace(error_s=None)
    self.assertAlmostEqual(7.0, ceilings.max_elapsed_s(alone, started))

  def test_stepped_wall_clock_within_one_boot_is_not_trusted(self):
    # The boot clock measures 2 s and the wall clock -0.4 s: this cannot be
    # confirmed as one boot, so the wall clock counts with its error.
    elapsed_s = ceilings.max_elapsed_s(_at(100.0), _at(102.0, 99.6))
    self.assertTrue(elapsed_s >= 2.0, elapsed_s)

  def test_clock_far_in_the_past_gives_no_bound(self):
    self.assertIsNone(ceilings.max_elapsed_s(_at(100.0), _at(0.4, 10.0)))

  @given(
      st.floats(0, 20),
      st.floats(-2.4, 2.4),
      st.floats(-2.4, 2.4),
      st.booleans(),
  )
  def test_never_less_than_what_has_passed(self, passed, before, after, power):
    issued = _at(100.0, 100.0 + before)
    boot_s = 0.4 if power else 100.0 + passed
    started = _at(boot_s, 100.0 + passed + after)
    elapsed_s = ceilings.max_elapsed_s(issued, started)
    self.assertTrue(elapsed_s is None or elapsed_s >= passed - 1e-6)


class ReclaimTest(testtools.TestCase):

  def _reclaim(self, found, at_s, life="a:2"):
    return change.apply(ledger.Reclaim(life, _at(at_s)), found)

  def test_tokens_above_the_ceiling_are_returned(self):
    # 600 granted, 100 reported as used, at most 180 in use for 2 s: a router
    # killed and restarted within 1.5 s loses 80 of its budget, not 500.
    ceiling = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    after = self._reclaim(_granted(ceiling, used=100), 51.5)
    self.assertEqual((80, 820), (ledger.lost(after), ledger.headroom(after)))
    self.assertEqual({}, after["ceilings"])

  def test_ceiling_grows_without_reports(self):
    ceiling = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    after = self._reclaim(_granted(ceiling, used=100), 55.75)
    self.assertEqual(80 + 30 * 4, ledger.lost(after))

  def test_written_off_before_it_is_reviewed(self):
    # Another router writes the dead one's grant off before it restarts.
    ceiling = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    found = _granted(ceiling, used=100)
    found = change.apply(ledger.WriteOff("a:1:1"), found)
    after = self._reclaim(found, 51.5)
    self.assertEqual((80, 820), (ledger.lost(after), ledger.headroom(after)))

  def test_only_earlier_lives_of_the_same_router_are_reviewed(self):
    ceiling = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    found = _granted(ceiling)
    self.assertIsNone(self._reclaim(found, 51.0, life="b:7"))
    self.assertIsNone(self._reclaim(found, 51.0, life="a:1"))

  def test_reviewed_once(self):
    ceiling = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    after = self._reclaim(_granted(ceiling), 51.0)
    self.assertIsNone(self._reclaim(after, 51.0, life="a:3"))

  def test_part_of_a_dead_holder_is_settled_after_the_review(self):
    # The dead router had delegated 70 tokens of its grant. The holder of that
    # part settles it in the ledger, and no token is returned twice.
    ceiling = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    after = self._reclaim(_granted(ceiling, used=100), 51.0)
    settle = ledger.SettlePart("a:1:1", "b:1:9", 70, 25)
    after = change.apply(settle, after)
    self.assertEqual((125, 55), (after["spent"], ledger.lost(after)))
    self.assertEqual(820, ledger.headroom(after))

  def test_late_report_does_not_restore_an_older_ceiling(self):
    newer = ceilings.Ceiling(300, 2.0, 30.0, _at(52.0))
    older = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    found = _granted(newer)
    after = change.apply(ledger.ReportUse("a:1:1", 40, {}, older), found)
    self.assertEqual(newer, ledger.ceiling(after, "a:1:1"))

  def test_settled_grant_leaves_no_ceiling(self):
    ceiling = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    after = change.apply(ledger.Settle("a:1:1", 30), _granted(ceiling))
    self.assertEqual({}, after["ceilings"])


class CapTest(testtools.TestCase):
  """Grants of routers whose hosts do not come back, or not soon."""

  _CEILING = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0), cap=250)

  def _written_off(self):
    found = _granted(self._CEILING, used=100)
    return change.apply(ledger.WriteOff("a:1:1"), found)

  def test_tokens_above_the_cap_return_without_a_later_life(self):
    """Guards against a budget that is lost with a host lost for good."""
    after = self._written_off()
    self.assertEqual((150, 750), (ledger.lost(after), ledger.headroom(after)))

  def test_holder_draws_no_more_than_the_cap_however_long_it_is_cut_off(self):
    """Guards against tokens used by a partitioned holder and granted again."""
    table = allotment.Table("a:1", settings.Allotment())
    table.add("b", "a:1:1", 600, 0.0)
    table.add_ceiling("a:1:1", self._CEILING, 0.0)
    table.update_ceiling("b", 1e6)
    self.assertEqual(250, table.rows["a:1:1"].free)

  def test_written_off_holder_cannot_raise_its_cap(self):
    """Guards against returned tokens that their former holder uses, too."""
    later = ceilings.Ceiling(200, 2.0, 30.0, _at(60.0), cap=400)
    report = ledger.ReportUse("a:1:1", 120, {}, later)
    after = change.apply(report, self._written_off())
    self.assertEqual(self._CEILING, ledger.ceiling(after, "a:1:1"))
    self.assertEqual((130, 750), (ledger.lost(after), ledger.headroom(after)))

  def test_report_that_arrives_before_the_write_off_keeps_its_tokens(self):
    """Guards against a write-off that is based on an outdated ceiling."""
    later = ceilings.Ceiling(200, 2.0, 30.0, _at(60.0), cap=400)
    found = _granted(self._CEILING, used=100)
    found = change.apply(ledger.ReportUse("a:1:1", 120, {}, later), found)
    after = change.apply(ledger.WriteOff("a:1:1"), found)
    self.assertEqual((280, 600), (ledger.lost(after), ledger.headroom(after)))

  def test_holder_that_returns_gets_the_rest_of_its_grant_billed_once(self):
    """Guards against tokens that return twice, with and after a write-off."""
    after = change.apply(ledger.Settle("a:1:1", 160), self._written_off())
    self.assertEqual((160, 840), (after["spent"], ledger.headroom(after)))
    self.assertEqual(({}, {}), (after["caps"], after["ceilings"]))

  def test_later_life_returns_more_of_a_written_off_grant(self):
    """Guards against a cap that hides what the clocks of the host show."""
    reclaim = ledger.Reclaim("a:2", _at(51.5))
    after = change.apply(reclaim, self._written_off())
    self.assertEqual((80, 820), (ledger.lost(after), ledger.headroom(after)))

  def test_cap_bounds_the_loss_where_the_clocks_give_no_bound(self):
    """Guards against a whole grant lost as clocks contradict each other."""
    reclaim = ledger.Reclaim("a:2", _at(0.4, 10.0))
    after = change.apply(reclaim, _granted(self._CEILING, used=100))
    self.assertEqual((150, 750), (ledger.lost(after), ledger.headroom(after)))

  def test_cap_is_a_share_of_the_remaining_tokens(self):
    """Guards against a holder that may use most of a budget without reports."""
    config = settings.Allotment(outage_share=0.3, outage_s=30.0)
    sizing = holding.SizingInput(1_000, 100, 200, 50.0, 0.0, 10.0, holders=1)
    self.assertEqual(90, holding.outage_draw(sizing, config, 20))
    self.assertEqual(120, holding.outage_draw(sizing, config, 120))
    idle = sizing._replace(limit=100_000, headroom=90_000, rate=1.0)
    slack_tokens = 20
    self.assertEqual(
        slack_tokens + holding.ceiling_growth(idle, config) * 30,
        holding.outage_draw(idle, config, slack_tokens),
    )


class IssuedCeilingTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.config = settings.Allotment(
        slack_s=2.0, slack_left=0.25, ceiling_grace_s=2.0
    )
    self.table = allotment.Table("a:1", self.config)
    self.table.add("b", "a:1:1", 600, 0.0)
    self.row = self.table.rows["a:1:1"]

  def _issue(self, tokens, at_s, rate=30.0):
    ceiling = ceilings.Ceiling(tokens, 2.0, rate, _at(at_s))
    self.table.add_ceiling("a:1:1", ceiling, at_s)
    return ceiling

  def test_no_more_is_drawn_than_the_ceiling_allows(self):
    self._issue(100, 0.0)
    self.assertIsNotNone(self.table.reserve("b", 100))
    self.assertIsNone(self.table.reserve("b", 1))
    self.assertEqual((0, ""), self.table.delegate("b", "c:1:1", 1, 10, 0.5))

  def test_ceiling_grows_while_the_store_is_unavailable(self):
    self._issue(100, 0.0)
    self.table.update_ceiling("b", 2.0)
    self.assertEqual(100, self.row.free)
    self.table.update_ceiling("b", 6.0)
    self.assertEqual(220, self.row.free)
    self.table.update_ceiling("b", 1e6)
    self.assertEqual(600, self.row.free)

  def test_unconfirmed_ceiling_and_its_predecessor_both_bind(self):
    # The reply to the second report was lost: the ledger may hold either
    # ceiling.
    first = self._issue(100, 0.0)
    second = self._issue(300, 1.0)
    self.assertEqual(100, self.row.free)
    self.table.confirm_ceiling("a:1:1", first, 1.1)
    self.assertEqual(100, self.row.free)
    self.table.confirm_ceiling("a:1:1", second, 1.2)
    self.assertEqual(300, self.row.free)

  def test_ceiling_that_was_not_written_does_not_bind(self):
    self._issue(200, 0.0)
    lower = self._issue(50, 1.0)
    self.assertEqual(50, self.row.free)
    self.table.withdraw_ceiling("a:1:1", lower, 1.1)
    self.assertEqual(200, self.row.free)

  def test_little_is_at_risk_when_a_budget_is_nearly_used_up(self):
    # 120 of 1,000 tokens are left and 50 a second are drawn. Two seconds of
    # draw would be 100 of these 120 tokens, all lost at the next death. A
    # fourth of what is left, times the fraction that is left, is 3.6.
    sizing = holding.SizingInput(1_000, 100, 20, 50.0, 0.0, 10.0, holders=1)
    self.assertEqual(3, holding.slack(sizing, self.config))
    self.assertEqual(
        110, holding.slack(sizing._replace(headroom=980), self.config)
    )

  def test_holders_with_equal_draw_risk_equal_shares(self):
    # Four holders draw equally on the remaining 400 tokens: each may risk a
    # fourth of 40.
    sizing = holding.SizingInput(1_000, 370, 30, 50.0, 150.0, 10.0, holders=4)
    self.assertEqual(10, holding.slack(sizing, self.config))

  def test_ceiling_is_raised_before_it_is_reached(self):
    self._issue(100, 0.0)
    self.table.reserve("b", 50)
    self.assertFalse(self.table.nears_ceiling("b"))
    self.table.reserve("b", 20)
    self.assertTrue(self.table.nears_ceiling("b"))
