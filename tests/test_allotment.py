"""Tests of the allotment table: delegated parts, late and repeated messages."""

import testtools

from mustardfall import settings
from mustardfall.budget import allotment


def _table() -> allotment.Table:
  table = allotment.Table("r1:e", settings.Allotment())
  table.add("b", table.new_id(), 100, 0.0)
  return table


class PartTest(testtools.TestCase):

  def test_repeated_request_gets_the_same_part(self):
    # The owner's reply was lost and the router asks again: it must get the same
    # part, not a second one.
    table = _table()
    first = table.delegate("b", "r2:e:1", 10, 40, 1.0)
    self.assertEqual(first, table.delegate("b", "r2:e:1", 10, 40, 1.0))
    self.assertEqual(60, table.rows["r1:e:1"].free)

  def test_late_request_does_not_reopen_an_ended_part(self):
    # The router gave up and settled the part as unused, then its first request
    # arrives late. Tokens delegated now would never be returned.
    table = _table()
    table.settle_delegated("r2:e:1", 0)
    self.assertEqual((0, ""), table.delegate("b", "r2:e:1", 10, 40, 1.0))

  def test_repeated_settlement_is_taken_once(self):
    table = _table()
    table.delegate("b", "r2:e:1", 10, 40, 1.0)
    table.settle_delegated("r2:e:1", 15)
    table.settle_delegated("r2:e:1", 15)
    self.assertEqual(85, table.rows["r1:e:1"].free)

  def test_parts_of_a_part_are_not_delegated(self):
    # Only KV grants may be delegated: the ledger could not settle a part of a
    # part whose owner is gone.
    table = allotment.Table("r1:e", settings.Allotment())
    table.add("b", table.new_id(), 100, 0.0, source="r3:e", source_gid="g")
    self.assertEqual((0, ""), table.delegate("b", "r2:e:1", 10, 40, 1.0))

  def test_overrun_is_billed_and_shown(self):
    # An engine generates more than it was allowed. Not billing the overrun
    # would hide an overspend.
    table = _table()
    settled = table.settle(table.reserve("b", 10), 25)
    self.assertEqual((25, 15), settled)
    self.assertEqual(25, table.rows["r1:e:1"].own_drawn)
