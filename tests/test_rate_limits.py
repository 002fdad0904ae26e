"""What a router knows of the request rates that endpoints name."""

import datetime

import testtools

from mustardfall.routing import rate_limits
from mustardfall.util import clock as clock_lib

_NAMED = rate_limits.NamedRate(2.0, "2")
_UNUSABLE = rate_limits.NamedRate(None, "soon")


class TableTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.table = rate_limits.Table(self.clock)

  def _answer(self, named, sent_ago_s=0.0, endpoint="e"):
    sent_at = self.clock.monotonic() - sent_ago_s
    self.table.note_answer(endpoint, "r", sent_at, named)

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _rate(self, endpoint="e"):
    limit = self.table.find(endpoint)
    return limit.per_s if limit is not None else None

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
