"""Tests of configured limits, grants that grow, and usage reports."""

from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall.budget import ledger
from mustardfall.kv import change


def _grant(gid, want, limit, base=0, least=1):
  return ledger.Grant(gid, least, want, 1.0, 0.0, limit, base)


class LimitTest(testtools.TestCase):

  def test_older_limit_is_not_restored(self):
    # A router that was unreachable asks for tokens with the old, higher limit
    # after another router has asked with the reduced one. It must get none.
    after = change.apply(_grant("a:1:1", 10, ledger.Limit(10, 7)), None)
    refused = change.apply(_grant("b:1:1", 50, ledger.Limit(100, 3)), after)
    self.assertIsNone(refused)
    self.assertEqual(10, after["limit"])

  def test_top_up_is_taken_with_the_next_grant(self):
    after = change.apply(_grant("a:1:1", 10, ledger.Limit(10, 1)), None)
    after = change.apply(_grant("b:1:1", 5, ledger.Limit(15, 2)), after)
    self.assertEqual((15, 0), (after["limit"], ledger.headroom(after)))

  def test_limit_below_granted_tokens_leaves_no_headroom(self):
    after = change.apply(_grant("a:1:1", 10, ledger.Limit(20, 1)), None)
    refused = change.apply(_grant("b:1:1", 1, ledger.Limit(5, 2)), after)
    self.assertIsNone(refused)


class GrowthTest(testtools.TestCase):

  def test_growth_whose_answer_was_lost_is_not_taken_twice(self):
    # A holder's grant grows and the reply is lost. It asks again with the old
    # size; the ledger has applied the growth and must not add more.
    limit = ledger.Limit(100, 1)
    after = change.apply(_grant("a:1:1", 10, limit), None)
    grown = change.apply(_grant("a:1:1", 20, limit, base=10), after)
    self.assertEqual(30, ledger.granted(grown, "a:1:1"))
    self.assertIsNone(change.apply(_grant("a:1:1", 20, limit, 10), grown))

  def test_written_off_grant_does_not_grow(self):
    limit = ledger.Limit(100, 1)
    after = change.apply(_grant("a:1:1", 10, limit), None)
    after = change.apply(ledger.WriteOff("a:1:1"), after)
    self.assertIsNone(change.apply(_grant("a:1:1", 20, limit, 10), after))


class BillTest(testtools.TestCase):

  def test_only_what_was_not_reported_is_written_off(self):
    limit = ledger.Limit(100, 1)
    after = change.apply(_grant("a:1:1", 40, limit), None)
    after = change.apply(ledger.ReportUse("a:1:1", 30), after)
    after = change.apply(ledger.WriteOff("a:1:1"), after)
    self.assertEqual((30, 10), (after["spent"], ledger.lost(after)))
    self.assertEqual(60, ledger.headroom(after))

  def test_repeated_report_counts_once(self):
    after = change.apply(_grant("a:1:1", 40, ledger.Limit(100, 1)), None)
    after = change.apply(ledger.ReportUse("a:1:1", 30), after)
    self.assertIsNone(change.apply(ledger.ReportUse("a:1:1", 30), after))
    self.assertIsNone(change.apply(ledger.ReportUse("a:1:1", 20), after))

  @given(
      st.lists(st.integers(0, 20), max_size=6),
      st.booleans(),
      st.booleans(),
      st.integers(0, 20),
  )
  def test_reports_never_change_what_is_billed_in_the_end(
      self, steps, written_off, stopped, part
  ):
    # Whatever is reported in between, and whether the grant is written off or
    # its holder stops with a part outstanding, the final bill equals the usage.
    # Reports alone never free or take a token.
    after = change.apply(_grant("a:1:1", 200, ledger.Limit(300, 1)), None)
    used = 0
    for step in steps:
      used += step
      before = ledger.headroom(after)
      after = change.apply(ledger.ReportUse("a:1:1", used), after) or after
      self.assertEqual(before, ledger.headroom(after))
    if written_off:
      after = change.apply(ledger.WriteOff("a:1:1"), after)
    if stopped:
      out = {"b:1:1": 20}
      after = change.apply(ledger.Release("a:1:1", used, out), after)
      settle = ledger.SettlePart("a:1:1", "b:1:1", 20, part)
      after = change.apply(settle, after)
      used += part
    else:
      after = change.apply(ledger.Settle("a:1:1", used), after)
    self.assertEqual(
        (used, 300 - used), (after["spent"], ledger.headroom(after))
    )
    self.assertEqual({}, after.get("billed", {}))

  def test_part_reported_and_settled_here_is_billed_once_in_the_end(self):
    # The owner reports a part that was settled with it; the part's holder did
    # not receive the reply and settles it in the ledger as well.
    after = change.apply(_grant("a:1:1", 40, ledger.Limit(100, 1)), None)
    after = change.apply(ledger.ReportUse("a:1:1", 5, {"b:1:1": 7}), after)
    before = ledger.headroom(after)
    settle = ledger.SettlePart("a:1:1", "b:1:1", 10, 7)
    after = change.apply(settle, after)
    self.assertEqual(before, ledger.headroom(after))
    after = change.apply(ledger.Settle("a:1:1", 5, {"b:1:1": 7}), after)
    self.assertEqual((12, 88), (after["spent"], ledger.headroom(after)))
