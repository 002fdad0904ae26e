"""Tests of what a router knows of budgets that are nearly used up.

Callers get 402, without a time to retry, if nothing that may be returned could
cover the request, and 429 with a time otherwise.
"""

import datetime

import testtools

from mustardfall import events
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import budget_view
from mustardfall.budget import ceilings
from mustardfall.budget import ledger
from mustardfall.budget import policy
from mustardfall.budget import retry_hint
from mustardfall.membership import members
from mustardfall.util import clock as clock_lib


class _KnownCase(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.limit = ledger.Limit(1_000, 1)
    config = settings.Allotment()
    self.table = allotment.Table("a:1", config)
    self.budget_view = budget_view.BudgetView(
        config,
        self.clock,
        None,
        self.table,
        lambda _: policy.CONFIGURED_BUDGETS,
        lambda _: self.limit,
        tuple,
    )


class ExhaustedTest(_KnownCase):

  def _pass(self, seconds: float) -> None:
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _is_exhausted(self, tokens: int = 50) -> bool:
    return self.budget_view.is_exhausted("b", tokens)

  def test_exhaustion_lasts_longer_each_time_it_is_found_again(self):
    # Guards against repeated useless reads: an exhausted budget requested 20
    # times a second at each of 8 routers cost one read of its ledger per half
    # second and router.
    for believed_s in (0.5, 1.0, 2.0, 4.0, 4.0):
      self.budget_view.note_exhausted("b", 50)
      self._pass(believed_s - 0.01)
      self.assertTrue(self._is_exhausted())
      self._pass(0.02)
      self.assertFalse(self._is_exhausted())

  def test_smaller_request_is_not_refused_for_a_larger_one(self):
    self.budget_view.note_exhausted("b", 50)
    self.assertFalse(self._is_exhausted(49))
    self.assertTrue(self._is_exhausted(51))

  def test_raised_limit_ends_exhaustion_at_once(self):
    self.budget_view.note_exhausted("b", 50)
    self.limit = ledger.Limit(2_000, 2)
    self.assertFalse(self._is_exhausted())

  def test_exhaustion_time_is_reset_after_an_idle_time(self):
    for _ in range(3):
      self.budget_view.note_exhausted("b", 50)
      self._pass(1.0)
    self._pass(10.0)
    self.budget_view.note_exhausted("b", 50)
    self._pass(0.51)
    self.assertFalse(self._is_exhausted())


class MaxAvailableTest(_KnownCase):

  def _found(self, **more) -> ledger.Ledger:
    found = ledger.Ledger(
        limit=1_000,
        limit_version=1,
        spent=700,
        grants={},
        lost={},
        lost_before=0,
        parts={},
        ops=[],
    )
    return {**found, **more}

  def test_counts_all_tokens_that_may_be_returned(self):
    # Other routers' grants, and a dead router's written-off grant that has a
    # ceiling and is not reviewed yet.
    ceiling = ceilings.encode(
        ceilings.Ceiling(10, 2.0, 1.0, clock_lib.Moment(0.0, 0.0))
    )
    found = self._found(
        grants={"c:1:1": 100}, lost={"d:1:1": 40}, ceilings={"d:1:1": ceiling}
    )
    self.budget_view.update("b", found)
    self.assertEqual(300 - 10, self.budget_view.max_available("b", 0.01))

  def test_tokens_written_off_for_good_do_not_count(self):
    self.budget_view.update("b", self._found(lost={"d:1:1": 40}))
    self.assertEqual(260 - 10, self.budget_view.max_available("b", 0.01))


class RetryHintTest(testtools.TestCase):

  def test_short_wait_while_the_store_answers(self):
    self.assertEqual(1.5, retry_hint.max_retry_s(False, 15.0))

  def test_long_wait_while_it_is_unavailable_but_in_time_for_the_answer(self):
    self.assertAlmostEqual(4.95, retry_hint.max_retry_s(True, 15.0))
    self.assertEqual(1.5, retry_hint.max_retry_s(True, 1.0))


class AskedFirstTest(testtools.TestCase):
  """Tests which routers are asked for tokens before the store.

  On 78 hosts, the store rejected the calls of 27 for nine seconds. Answers were
  late and the day was aborted as too slow. All routers drew directly on the
  store for the budgets owned by those 27 and conflicted on the same records:
  313 transactions per second instead of 70.
  """

  def _known(self, routers: int) -> budget_view.BudgetView:
    everyone = [
        members.Member(f"r{i}", "e", f"http://r{i}", "dc", "here")
        for i in range(routers)
    ]
    clock = clock_lib.FakeClock()
    config = settings.Membership()
    self.view = members.Members(None, everyone[0], config, clock, events.Bus())
    self.view.update(everyone)
    return budget_view.BudgetView(
        settings.Allotment(),
        clock,
        self.view,
        None,
        lambda _: policy.CONFIGURED_BUDGETS,
        lambda _: None,
        tuple,
    )

  def _not_mine(self, found: budget_view.BudgetView) -> str:
    """Returns a budget of which this router is neither owner nor deputy."""
    me = self.view.me
    names = (f"b{i}" for i in range(1000))
    return next(n for n in names if me not in self.view.candidates(n))

  def test_in_a_small_fleet_the_owner_only(self):
    found = self._known(9)
    budget = self._not_mine(found)
    self.assertEqual([self.view.owner(budget)], found.preferred_sources(budget))

  def test_in_a_large_fleet_its_deputies_too(self):
    found = self._known(78)
    budget = self._not_mine(found)
    owner, *deputies = self.view.candidates(budget)
    self.assertEqual([owner, *deputies], found.preferred_sources(budget))
    self.view.suspect(owner.life)
    self.assertEqual(deputies, found.preferred_sources(budget))
    for deputy in deputies:
      self.view.suspect(deputy.life)
    self.assertEqual([], found.preferred_sources(budget))

  def test_an_owner_goes_to_the_store_itself(self):
    found = self._known(78)
    names = (f"b{i}" for i in range(5000))
    own = next(n for n in names if found.owner(n) is None)
    self.assertEqual([], found.preferred_sources(own))
