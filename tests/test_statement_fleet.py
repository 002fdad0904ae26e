"""What endpoints say of themselves binds routers in fleets of any size.

In virtual time, with the product's modules on all routers; the list of endpoints
has all of them as live throughout.
"""

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.bench.virtual import statement_fleet

_MIN_SERVED = 0.97
_MAX_IN_REST = 2
_FLEETS = ((1, 6), (9, 12), (25, 12))
"""Routers and endpoints."""


class StatementFleetTest(testtools.TestCase):

  def _play(self, fleet, seed=1, policy="shared", **day):
    routers, count = fleet
    day = statement_fleet.Day(
        routers=routers, endpoints=count, datacentres=min(3, routers), **day
    )
    return statement_fleet.simulate(day, policy, seed)

  def _check(self, result):
    figures = result.summary()
    self.assertEqual(0, result.late_leaving, figures)
    self.assertTrue(result.most_in_rest <= _MAX_IN_REST, figures)
    for span in ("before", "during", "after"):
      self.assertTrue(figures[span] >= _MIN_SERVED, figures)

  @hypothesis.settings(max_examples=8, deadline=None)
  @hypothesis.given(
      fleet=strategies.sampled_from(_FLEETS),
      kind=strategies.sampled_from(("leaving", "resting")),
      loss=strategies.sampled_from((0.005, 0.3)),
      unheard=strategies.sampled_from((0.0, 0.5, 1.0)),
      killed=strategies.sampled_from((0.0, 0.3)),
      seed=strategies.integers(0, 1_000),
  )
  def test_one_of_four_leaves_or_rests(
      self, fleet, kind, loss, unheard, killed, seed
  ):
    """Guards against fleets, losses or kills that undo a statement."""
    part = {kind: 0.25, "loss": loss, "unheard": unheard, "killed": killed}
    self._check(self._play(fleet, seed, **part))

  def test_routers_that_hear_others_send_fewer_to_one_that_leaves(self):
    """Guards against a fleet in which each router finds out by itself."""
    told = self._play((25, 12), leaving=0.25)
    alone = self._play((25, 12), policy="alone", leaving=0.25)
    self.assertTrue(
        told.to_leaving * 2 < alone.to_leaving,
        (told.to_leaving, alone.to_leaving),
    )

  def test_more_are_served_where_all_rest(self):
    """Guards against callers that come back while all endpoints rest."""
    told = self._play((9, 12), resting=1.0)
    unread = self._play((9, 12), policy="unread", resting=1.0)
    self.assertEqual(0, told.most_in_rest)
    self.assertTrue(unread.most_in_rest > _MAX_IN_REST, unread.most_in_rest)
    day = told.day
    self.assertTrue(
        told.served(day.at_s, day.until_s)
        > 2 * unread.served(day.at_s, day.until_s),
        (told.summary(), unread.summary()),
    )
    self.assertTrue(told.summary()["after"] >= _MIN_SERVED, told.summary())

  def test_ignored_statements_are_seen_by_the_model(self):
    """Guards against a model in which nothing can go wrong."""
    result = self._play((9, 12), policy="unread", leaving=0.25)
    self.assertTrue(result.late_leaving > 0)
