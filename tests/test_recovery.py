"""Tests that a budget is still usable after all routers have died.

Guards against refusals for lack of tokens that nobody used. On bad days all
routers are killed or lose power two or three times, each time while they hold
enough tokens to cover an outage of the store. When these were written off
whole, three deaths consumed an entire budget.
"""

import testtools

from tests import test_pool_states

_ROUTERS = ("r1", "r2", "r3")
_LIMIT = test_pool_states._LIMIT


class RecoveryTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.machine = test_pool_states.RestartedPoolMachine()
    self.addCleanup(self.machine.portal_cm.__exit__, None, None, None)

  def _serve(self, router, tokens):
    """Returns whether a request of `tokens` was served; it uses all of them."""
    before = len(self.machine.open)
    self.machine.reserve(router, tokens)
    if len(self.machine.open) == before:
      return False
    _, reservation = self.machine.open.pop()
    self.machine.world.pools[router].settle(reservation, tokens)
    return True

  def _die_and_start(self, power):
    for router in _ROUTERS:
      self.machine.kill(router)
    for router in _ROUTERS:
      self.machine.restart(router, 0.3, power)

  def test_three_deaths_of_all_leave_most_of_a_budget(self):
    served = 0
    for _ in range(3):
      for router in _ROUTERS:
        served += 10 * self._serve(router, 10)
      # The ledger has now been read: the next grant covers an outage.
      served += 30 * self._serve("r1", 30)
      self.machine.tick(2.0)
      self._die_and_start(power=False)
    while self._serve("r2", 10):
      served += 10
    self.assertTrue(served >= 0.75 * _LIMIT, served)

  def test_power_loss_of_all_costs_what_the_clocks_cannot_bound(self):
    # No clocks are compared here: the wall clock is trusted to 5 s, in which
    # the dead routers may have drawn more than their ceilings without growth.
    served = 0
    for router in _ROUTERS:
      served += 10 * self._serve(router, 10)
    self.machine.tick(2.0)
    self._die_and_start(power=True)
    while self._serve("r2", 10):
      served += 10
    self.assertTrue(served >= 0.6 * _LIMIT, served)
