"""What a router knows of the request rates that endpoints name."""

import datetime
import json

import testtools

from mustardfall.routing import rate_limits
from mustardfall.util import clock as clock_lib

_NAMED = rate_limits.NamedRate(2.0, "2")
_UNUSABLE = rate_limits.NamedRate(None, "soon")


class TableTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.listed = {"e"}
    self.table = self._table()
    self.other = self._table()

  def _table(self):
    return rate_limits.Table(self.clock, lambda life: life in self.listed)

  def _answer(self, named, sent_ago_s=0.0, endpoint="e"):
    sent_at = self.clock.monotonic() - sent_ago_s
    return self.table.note_answer(endpoint, "r", sent_at, named)

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _rate(self, endpoint="e", table=None):
    limit = (table or self.table).find(endpoint)
    return limit.per_s if limit is not None else None

  def _is_rejected(self, fact):
    try:
      self.table.apply(fact)
    except (TypeError, ValueError):
      return True
    return False

  def _exchange(self, sender, receiver):
    for key in sender.keys():
      receiver.apply(json.loads(json.dumps(sender.fact(key))))

  def test_limit_is_in_force_from_the_answer_that_names_it(self):
    self.assertIsNone(self._rate())
    self._answer(_NAMED)
    self.assertEqual(2.0, self._rate())
    self._answer(rate_limits.NamedRate(5.0, "5"))
    self.assertEqual(5.0, self._rate())

  def test_limit_ends_when_a_later_request_is_answered_without_it(self):
    self._answer(_NAMED)
    self._advance(1.0)
    self._answer(None, sent_ago_s=0.5)
    self.assertIsNone(self._rate())

  def test_answer_to_an_earlier_request_does_not_end_a_limit(self):
    """Guards against a late answer that was made before the limit was named."""
    self._advance(5.0)
    self._answer(_NAMED)
    self._advance(1.0)
    self._answer(None, sent_ago_s=4.0)
    self.assertEqual(2.0, self._rate())

  def test_unusable_value_keeps_the_last_usable_limit(self):
    """Guards against a limit that ends because its value cannot be read."""
    self._answer(_UNUSABLE)
    self.assertIsNone(self._rate())
    self._answer(_NAMED)
    self._advance(1.0)
    self._answer(_UNUSABLE)
    self.assertEqual(2.0, self._rate())
    self._advance(1.0)
    self._answer(None, sent_ago_s=1.5)
    self.assertEqual(2.0, self._rate())

  def test_number_of_known_limits_is_bounded(self):
    """Guards against a table that grows with the endpoints of all days."""
    for number in range(rate_limits._MAX_ROWS + 10):
      self._answer(_NAMED, endpoint=f"e{number}")
    self.assertIsNone(self._rate("e0"))
    self.assertEqual(2.0, self._rate("e100"))

  def test_only_changes_are_news(self):
    """Guards against a broadcast for each answer."""
    news = [self._answer(_NAMED) for _ in range(3)]
    news += [self._answer(_UNUSABLE), self._answer(None, sent_ago_s=9.0)]
    self.assertEqual([True, False, False, False, False], news)
    self._advance(1.0)
    self.assertTrue(self._answer(rate_limits.NamedRate(3.0, "3")))
    self._advance(1.0)
    self.assertTrue(self._answer(None))
    self.assertFalse(self._answer(None))

  def test_limit_and_its_end_reach_other_routers(self):
    self._answer(_NAMED)
    self._exchange(self.table, self.other)
    self.assertEqual(2.0, self._rate(table=self.other))
    self._advance(1.0)
    self._answer(None)
    self._exchange(self.other, self.table)
    self.assertIsNone(self._rate())
    self._exchange(self.table, self.other)
    self.assertIsNone(self._rate(table=self.other))

  def test_outdated_update_does_not_bring_an_ended_limit_back(self):
    """Guards against a limit that goes round between routers for good."""
    self._answer(_NAMED)
    outdated = self.table.fact("e")
    self._advance(1.0)
    self._answer(None)
    outdated[2] += 1.0
    self.table.apply(outdated)
    self.assertIsNone(self._rate())
    self.other.apply(self.table.fact("e"))
    self.other.apply(outdated)
    self.assertIsNone(self._rate(table=self.other))

  def test_answer_that_names_no_limit_ends_one_heard_from_others(self):
    self.table.apply(["e", 2.0, 3.0])
    self._answer(None, sent_ago_s=4.0)
    self.assertEqual(2.0, self._rate())
    self._answer(None, sent_ago_s=2.0)
    self.assertIsNone(self._rate())

  def test_malformed_updates_are_rejected(self):
    """Guards against another router's error that stops all requests."""
    for fact in (
        [],
        ["e", 2.0],
        ["e", -1.0, 0.0],
        ["e", float("nan"), 0.0],
        ["e", 1e12, 0.0],
        ["e", 1.0, -1.0],
        ["e", 1.0, float("inf")],
        [7, 1.0, 0.0],
        ["e" * 500, 1.0, 0.0],
        ["e", "soon", 0.0],
        ["e", None, 0.0],
    ):
      self.assertTrue(self._is_rejected(fact), fact)
    self.assertEqual([], self.table.keys())

  def test_limits_of_endpoints_that_have_gone_are_forgotten(self):
    """Guards against gossip that grows with all endpoints there ever were."""
    self._answer(_NAMED)
    self._answer(_NAMED, endpoint="gone")
    self._advance(31.0)
    self.table.prune()
    self.assertEqual(["e"], self.table.keys())
    self.table.apply(["gone", 2.0, 40.0])
    self.assertEqual(["e"], self.table.keys())
    self._answer(None)
    self._advance(31.0)
    self.table.prune()
    self.assertEqual([], self.table.keys())
