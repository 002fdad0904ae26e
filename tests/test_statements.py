"""What a router knows of endpoints that said that they leave or want rest."""

import datetime
import json
import random

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall import settings
from mustardfall.routing import endpoints
from mustardfall.routing import statements
from mustardfall.util import clock as clock_lib

_MAX_REST_S = 100.0
_USE_S = 1.5
_ROUTERS = 9


def _rest(seconds):
  return statements.NamedRest(seconds, str(seconds))


class TableTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.rows = endpoints.Table(settings.Scheduler())
    self.table = self._table()
    self.row = self._list("e")

  def _table(self, seed=0, routers=_ROUTERS):
    return statements.Table(
        self.clock,
        lambda life: self.rows.find_life(life) is not None,
        _MAX_REST_S,
        lambda: routers,
        random.Random(seed),
    )

  def _list(self, name, **more):
    entry = {"name": name, "url": "h:1", "datacentre": "d", "kind": "k"}
    self.rows.update([entry | {"slots": 4, "version": "v1"} | more])
    return self.rows.rows[name]

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _reason(self, row=None, use_s=0.0, table=None):
    found = (table or self.table).reason_against(row or self.row, use_s)
    return found.reason if found is not None else None

  def _answer_well(self):
    sent_at = self.clock.monotonic()
    self.table.note_sent(self.row)
    self._advance(0.01)
    self.table.note_accepted(self.row, sent_at)

  def _end_rest(self):
    statement = self.table.find(self.row)
    self._advance(statement.resume_at - self.clock.monotonic())

  def test_leaving_binds_for_the_whole_life(self):
    self.assertIsNone(self._reason())
    self.assertTrue(self.table.note_leaving(self.row, "r", 200, 0.0))
    self.assertFalse(self.table.note_leaving(self.row, "r2", 200, 0.0))
    for _ in range(5):
      self._advance(100.0)
      self.table.prune()
      self.row = self._list("e")
      self.assertEqual("leaving", self._reason())

  def test_streams_go_on_at_an_endpoint_that_leaves_for_a_while(self):
    self.table.note_leaving(self.row, "r", 200, 0.0)
    self.assertIsNone(self._reason(use_s=_USE_S))
    self._advance(_USE_S)
    self.assertEqual("leaving", self._reason(use_s=_USE_S))

  def test_new_life_begins_clean(self):
    """Guards against a restarted endpoint that is left alone for good."""
    self.row = self._list("e", started_ms=1)
    self.table.note_leaving(self.row, "r", 200, 0.0)
    self.assertEqual("leaving", self._reason())
    self.assertIsNone(self._reason(self._list("e", started_ms=2)))
    self.assertEqual("leaving", self._reason(self._list("e", started_ms=1)))
    self.assertIsNone(self._reason(self._list("e", version="v2")))

  def test_start_time_that_the_list_adds_or_omits_is_no_new_life(self):
    """Guards against a statement that is lost with a field of the list."""
    self.table.note_leaving(self.row, "r", 200, 0.0)
    self.row = self._list("e", started_ms=1)
    self.assertEqual("leaving", self._reason())
    self.row = self._list("e", started_ms=None)
    self.assertEqual("leaving", self._reason())

  def test_rest_is_kept_and_extended_only(self):
    """Guards against a rest that a later answer shortens."""
    self.assertTrue(self.table.note_rest(self.row, "r", 503, _rest(3.0)))
    self._advance(1.0)
    self.assertFalse(self.table.note_rest(self.row, "r", 503, _rest(0.5)))
    self.table.note_accepted(self.row, self.clock.monotonic())
    self._advance(1.9)
    self.assertEqual("resting", self._reason())
    self.assertTrue(self.table.note_rest(self.row, "r", 503, _rest(0.5)))
    self._advance(0.4)
    self.assertEqual("resting", self._reason())

  def test_unusable_rests_are_ignored(self):
    for seconds in (None, 0.0):
      self.assertFalse(self.table.note_rest(self.row, "r", 503, _rest(seconds)))
    self.assertIsNone(self._reason())

  def test_huge_rest_is_capped(self):
    self.table.note_rest(self.row, "r", 503, _rest(1e30))
    self._advance(_MAX_REST_S - 1)
    self.assertEqual("resting", self._reason())
    self._advance(1 + _MAX_REST_S)
    self.assertIsNone(self._reason())

  def test_requests_after_a_rest_grow_with_the_answers(self):
    """Guards against all requests of a router at once after a rest."""
    self.table.note_rest(self.row, "r", 503, _rest(1.0))
    self._end_rest()
    self.assertIsNone(self._reason())
    self.table.note_sent(self.row)
    self.assertEqual("recovering", self._reason())
    self._advance(0.01)
    self.table.note_accepted(self.row, self.clock.monotonic())
    for _ in range(2):
      self.assertIsNone(self._reason())
      self.table.note_sent(self.row)
    self.assertEqual("recovering", self._reason())

  def test_lost_answer_after_a_rest_does_not_block_the_endpoint(self):
    self.table.note_rest(self.row, "r", 503, _rest(1.0))
    self._end_rest()
    self.table.note_sent(self.row)
    self.assertEqual("recovering", self._reason())
    self._advance(1.1)
    self.assertIsNone(self._reason())

  def test_endpoint_that_answers_after_its_rest_is_sent_all_again(self):
    self.table.note_rest(self.row, "r", 503, _rest(1.0))
    self._end_rest()
    for _ in range(4):
      self._answer_well()
    for _ in range(50):
      self.table.note_sent(self.row)
    self.assertIsNone(self._reason())
    self.table.prune()
    self.assertIsNone(self.table.find(self.row))

  def test_answers_to_requests_from_before_the_rest_do_not_end_it(self):
    sent_at = self.clock.monotonic()
    self.table.note_rest(self.row, "r", 503, _rest(1.0))
    self._end_rest()
    for _ in range(9):
      self.table.note_accepted(self.row, sent_at)
    self.table.note_sent(self.row)
    self.assertEqual("recovering", self._reason())

  def test_leaving_reaches_other_routers_and_a_rest_does_not(self):
    other = self._table()
    self.table.note_leaving(self.row, "r", 200, 0.0)
    self.table.note_rest(self.row, "r", 503, _rest(5.0))
    self._advance(1.0)
    keys = self.table.keys()
    for key in keys:
      other.apply(json.loads(json.dumps(self.table.fact(key))))
    self.assertEqual("leaving", self._reason(table=other))
    self.assertIsNone(self._reason(use_s=_USE_S, table=other))
    self._advance(_USE_S - 1.0)
    self.assertEqual("leaving", self._reason(use_s=_USE_S, table=other))

  def test_rest_is_told_to_the_router_that_was_asked(self):
    exit_router = self._table()
    self.table.note_rest(self.row, "r", 503, _rest(2.0))
    exit_router.apply(self.table.rest_fact(self.row))
    self.assertEqual("resting", self._reason(table=exit_router))

  def test_malformed_facts_are_rejected(self):
    for fact in (
        None,
        [],
        ["e", "v1", 1.0],
        ["e", "v1", float("nan"), 0.0],
        ["e", "v1", 0.0, -1.0],
        ["e", "v1", 0.0, 1e9],
        ["e" * 500, "v1", 0.0, 0.0],
        [1, "v1", 0.0, 0.0],
        ["e", "v1", "x", 0.0],
    ):
      self.assertTrue(self._is_rejected(fact), fact)
    self.assertIsNone(self._reason())

  def _is_rejected(self, fact):
    try:
      self.table.apply(fact)
    except (TypeError, ValueError):
      return True
    return False

  def test_number_of_statements_is_bounded(self):
    """Guards against a table that grows with the endpoints of all days."""
    for number in range(statements._MAX_ROWS + 10):
      self.table.apply([f"e{number}", "v1", 0.0, 0.0])
    self.assertEqual(statements._MAX_ROWS, len(self.table.keys()))

  def test_statements_of_endpoints_that_have_gone_are_forgotten(self):
    self.table.note_leaving(self.row, "r", 200, 0.0)
    self.rows.update([])
    self._advance(10.0)
    self.table.prune()
    self.assertEqual(["e"], self.table.keys())
    self._advance(30.0)
    self.table.prune()
    self.assertEqual([], self.table.keys())

  @hypothesis.given(
      strategies.lists(
          strategies.tuples(
              strategies.sampled_from(("rest", "answer", "send", "wait")),
              strategies.floats(0, 10),
          ),
          max_size=30,
      )
  )
  def test_no_request_is_sent_during_a_rest(self, steps):
    """Guards against any order of answers that ends a rest early."""
    table = self._table()
    rest_until = -float("inf")
    for kind, value in steps:
      now = self.clock.monotonic()
      if kind == "rest":
        table.note_rest(self.row, "r", 503, _rest(value))
        rest_until = max(rest_until, now + value)
      elif kind == "answer":
        table.note_accepted(self.row, now - value)
      elif kind == "send" and table.reason_against(self.row) is None:
        self.assertTrue(now >= rest_until, (now, rest_until))
        table.note_sent(self.row)
      else:
        self._advance(value)
      table.prune()


class RetryAfterTest(testtools.TestCase):

  def test_callers_return_after_the_first_rest_and_one_by_one(self):
    reasons = [
        statements.Withheld("resting", 4.0),
        statements.Withheld("leaving", None),
        statements.Withheld("resting", 2.0),
    ]
    times = [
        statements.retry_after_s(reasons, 1.0, draw / 10) for draw in range(11)
    ]
    self.assertEqual((2.0, 4.0), (min(times), max(times)))

  def test_callers_return_within_twice_the_rest_of_a_late_router(self):
    """Guards against counting a router's own delay after a rest twice."""
    statement = statements.Statement(
        "v1", "r", 0.0, rest_until=30.0, resume_at=33.0
    )
    reasons = [statements.find_reason(statement, 0.0, 1.0)]
    times = [statements.retry_after_s(reasons, 1.0, draw) for draw in (0, 1)]
    self.assertEqual([33.0, 60.0], times)

  def test_callers_return_soon_where_all_endpoints_leave(self):
    reasons = [statements.Withheld("leaving", None)]
    self.assertEqual(0.5, statements.retry_after_s(reasons, 1.0, 0.0))
    self.assertEqual(1.0, statements.retry_after_s(reasons, 1.0, 1.0))

  def test_spread_after_a_rest_grows_with_the_fleet(self):
    ratios = [statements.spread_ratio(n, 64) for n in (1, 9, 300, 760)]
    self.assertEqual(sorted(ratios), ratios)
    self.assertTrue(ratios[0] < 0.01, ratios)
    self.assertTrue(0.4 < ratios[-1] < 0.5, ratios)
