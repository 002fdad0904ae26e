"""Second sends of a whole fleet stay within what its endpoints can take.

Pattern: servers fail part of their requests for some seconds while 195 routers
send to them. What all routers together may send once more does not grow with
their number.
"""

import datetime

import testtools

from mustardfall.membership import members as members_lib
from mustardfall.routing import retries
from mustardfall.util import clock as clock_lib

_SLACK = 430.0
"""Second sends that a service bears at once, beside a part of its requests."""
_SAFETY = 0.75
_RATIO = 0.2


class RetryTest(testtools.TestCase):

  def _made(self, routers: int, requests_each: int, lives: int = 1) -> int:
    """Returns the retries of a fleet all of whose requests fail.

    Args:
      routers: how many there are.
      requests_each: what each is sent.
      lives: how often all are started within that; the first life has saved
        up all that it may.
    """
    burst = _SLACK * _SAFETY / members_lib.CLOSE_FLEET
    made = 0
    for number in range(routers * requests_each):
      if number % (requests_each // lives) == 0:
        budget = retries.RetryBudget(
            _RATIO * _SAFETY,
            lambda: retries.burst_per_router(
                burst, members_lib.CLOSE_FLEET, routers
            ),
        )
        if number % requests_each == 0:
          for _ in range(10 * requests_each):
            budget.deposit()
      budget.deposit()
      made += budget.withdraw()
    return made

  def test_retries_of_a_fleet_do_not_grow_with_its_routers(self):
    """Guards against a storm of second sends when all routers' servers fail."""
    for routers, each in ((9, 68), (77, 34), (195, 12), (300, 8)):
      made = self._made(routers, each)
      allowed = _RATIO * routers * each + _SLACK
      self.assertTrue(made <= allowed, (routers, made, allowed))

  def test_routers_that_start_again_add_no_retries(self):
    """Guards against a storm of second sends when routers die in series."""
    for routers, each in ((9, 68), (77, 40), (195, 12)):
      made = self._made(routers, each, lives=4)
      allowed = _RATIO * routers * each + _SLACK
      self.assertTrue(made <= allowed, (routers, made, allowed))

  def test_one_retry_can_always_be_saved_up(self):
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

  def test_fleet_whose_leases_lapse_saves_up_no_more(self):
    """Guards against a third that is cut off and the others saving up for it."""
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
