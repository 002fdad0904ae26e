"""The retries of a whole fleet stay within what its endpoints can take.

Servers fail part of their requests for some seconds while 195 routers send to
them. The retries of all routers together must not grow with their number.
"""

import datetime

import testtools

from mustardfall.membership import members as members_lib
from mustardfall.routing import retries
from mustardfall.util import clock as clock_lib

_SLACK = 430.0
"""Retries that a service takes at once, in addition to a share of its
requests."""
_SAFETY = 0.75
_RATIO = 0.2


class RetryTest(testtools.TestCase):

  def _count_retries(
      self, routers: int, requests_each: int, lives: int = 1
  ) -> int:
    """Returns the retries of a fleet all of whose requests fail.

    Args:
      routers: the number of routers.
      requests_each: requests that each router is sent.
      lives: how often all routers are started during these requests; in the
        first life their budgets are full.
    """
    burst = _SLACK * _SAFETY / members_lib.MAX_SMALL_FLEET
    made = 0
    for number in range(routers * requests_each):
      if number % (requests_each // lives) == 0:
        budget = retries.RetryBudget(
            _RATIO * _SAFETY,
            lambda: retries.burst_per_router(
                burst, members_lib.MAX_SMALL_FLEET, routers
            ),
        )
        if number % requests_each == 0:
          for _ in range(10 * requests_each):
            budget.deposit()
      budget.deposit()
      made += budget.withdraw()
    return made

  def test_retries_of_a_fleet_do_not_grow_with_its_routers(self):
    """Guards against a retry storm when the servers of all routers fail."""
    for routers, each in ((9, 68), (77, 34), (195, 12), (300, 8)):
      made = self._count_retries(routers, each)
      allowed = _RATIO * routers * each + _SLACK
      self.assertTrue(made <= allowed, (routers, made, allowed))

  def test_restarted_routers_add_no_retries(self):
    """Guards against a retry storm when routers are killed repeatedly."""
    for routers, each in ((9, 68), (77, 40), (195, 12)):
      made = self._count_retries(routers, each, lives=4)
      allowed = _RATIO * routers * each + _SLACK
      self.assertTrue(made <= allowed, (routers, made, allowed))

  def test_every_budget_holds_at_least_one_retry(self):
    budget = retries.RetryBudget(
        0.15,
        lambda: retries.burst_per_router(27.0, 12, 5_000),
    )
    for _ in range(2):
      self.assertFalse(budget.withdraw())
      for _ in range(8):
        budget.deposit()
      self.assertTrue(budget.withdraw())
    self.assertFalse(budget.withdraw())

  def test_expired_leases_do_not_raise_the_burst(self):
    """Guards against not counting routers that serve without a lease."""
    clock = clock_lib.FakeClock()
    up = [77]
    fleet = retries.FleetSize(clock, lambda: up[0])
    self.assertEqual(77, fleet.peak())
    up[0] = 50
    for _ in range(5):
      clock.advance(datetime.timedelta(seconds=10))
      self.assertEqual(77, fleet.peak())
    for _ in range(3):
      clock.advance(datetime.timedelta(seconds=60))
      fleet.peak()
    self.assertEqual(50, fleet.peak())
